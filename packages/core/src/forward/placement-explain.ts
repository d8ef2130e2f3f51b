import type { FailureDomain, ServerId, ServiceName } from '../ids';
import type { CallCost } from './call-placement';
import type { CopyChoices } from './copy-placement';
import type { Fleet, ServerState } from './fleet';
import type { PeerRegistry } from './peers';
import type {
  CallPlacementInput,
  CopyPlacementInput,
  CostPart,
  CostRecorder,
  StreamPlacementInput,
} from './placement-types';

/** What a placement would choose now, and why; no list is longer than `EXPLAINED_SERVERS_MAX`. */
export interface PlacementExplanation {
  /** The choice if the random part is 0; undefined if no server can be chosen. */
  readonly chosenId: ServerId | undefined;
  /** An ejected server is due for a probe, which goes before the cheapest server. */
  readonly isProbe: boolean;
  /** Each candidate's cost is raised by a random part of up to this. */
  readonly randomMaxMs: number;
  /** The cheapest first. */
  readonly candidates: readonly CandidateExplanation[];
  readonly candidateCount: number;
  readonly excluded: readonly ExcludedServer[];
  readonly excludedCount: number;
  /** Engines for a KV cache copy of the stream, if it goes to the chosen engine. */
  readonly copyCandidates: readonly CopyCandidate[];
  readonly copyCandidateCount: number;
}

export interface CandidateExplanation {
  readonly serverId: ServerId;
  readonly failureDomain: FailureDomain;
  readonly version: string;
  /** Without the random part. */
  readonly costMs: number;
  /** Parts that are not 0; they add up to the cost. */
  readonly parts: Readonly<Partial<Record<CostPart, number>>>;
  /** Time from the send to the first event; streams only. */
  readonly expectedFirstEventMs: number | undefined;
  /** Ages of what is known of the server; undefined where nothing is known. */
  readonly loadReportAgeMs: number | undefined;
  readonly peerLoadAgeMs: number | undefined;
  readonly paceAgeMs: number | undefined;
}

export interface ExcludedServer {
  readonly serverId: ServerId;
  readonly reasons: readonly ('leaving' | 'replaced' | 'version_move' | 'paused' | 'limit')[];
}

export interface CopyCandidate {
  readonly serverId: ServerId;
  readonly costMs: number;
  /** It costs little more than the cheapest one, and the choice among these is random. */
  readonly isInSpread: boolean;
}

/** Explains placements from the same state and costs, and changes nothing. */
export interface PlacementExplainer {
  readonly stream: (input: StreamPlacementInput, nowMs: number) => PlacementExplanation;
  readonly call: (input: CallPlacementInput, nowMs: number) => PlacementExplanation;
}

export interface PlacementExplainerParts {
  readonly fleet: Fleet;
  readonly peers: PeerRegistry;
  readonly engineCostMs: (
    state: ServerState,
    input: CopyPlacementInput,
    nowMs: number,
    record?: CostRecorder,
  ) => number;
  readonly callCostMs: CallCost;
  readonly callMaxJitterMs: number;
  readonly copyChoices: (
    engine: ServerState,
    input: CopyPlacementInput,
    nowMs: number,
  ) => CopyChoices;
  readonly maxJitterMsOf: (input: StreamPlacementInput) => number;
  readonly expectedFirstEventMs: (
    state: ServerState,
    input: StreamPlacementInput,
    nowMs: number,
  ) => number;
  /** Cost of an engine's position in the router's own ranking. */
  readonly rankCostOf: (service: ServiceName) => (state: ServerState) => number;
}

/** Services may have thousands of servers; those far behind the cheapest ones explain little. */
export const EXPLAINED_SERVERS_MAX = 50;

/** Answers the operators' question where a request would go now, without sending it. */
export function createPlacementExplainer(parts: PlacementExplainerParts): PlacementExplainer {
  const { fleet, peers, engineCostMs, callCostMs, copyChoices, expectedFirstEventMs } = parts;

  function explainCandidate(
    state: ServerState,
    nowMs: number,
    firstEventMs: number | undefined,
    costOf: (record: CostRecorder) => number,
  ): CandidateExplanation {
    const { serverId, failureDomain, version } = state.server;
    const costs: Partial<Record<CostPart, number>> = {};
    const costMs = costOf((part, partMs) => {
      if (partMs !== 0) costs[part] = partMs;
    });
    return {
      serverId,
      failureDomain,
      version,
      costMs,
      parts: costs,
      expectedFirstEventMs: firstEventMs,
      loadReportAgeMs: state.report === undefined ? undefined : nowMs - state.report.atMs,
      peerLoadAgeMs: peers.loadAgeMs(serverId, nowMs),
      paceAgeMs: fleet.pace.ageMs(serverId, nowMs),
    };
  }

  function excludedServers(
    { service, limitDraw: draw, excluded }: StreamPlacementInput | CallPlacementInput,
    nowMs: number,
  ): ExcludedServer[] {
    const claim = { service, draw, isFailover: false };
    return fleet.listed(service).flatMap((state): ExcludedServer[] => {
      const { serverId } = state.server;
      const reasons: ExcludedServer['reasons'] = [
        ...(state.leavingSinceMs === undefined ? [] : (['leaving'] as const)),
        ...(state.isReplaced ? (['replaced'] as const) : []),
        ...(excluded.has(serverId) ? (['version_move'] as const) : []),
        ...(fleet.isPaused(state, nowMs) ? (['paused'] as const) : []),
        ...(fleet.limits.hasRoom(serverId, claim, nowMs) ? [] : (['limit'] as const)),
      ];
      return reasons.length === 0 ? [] : [{ serverId, reasons }];
    });
  }

  function openFor(
    input: StreamPlacementInput | CallPlacementInput,
    nowMs: number,
  ): readonly ServerState[] {
    const { service, limitDraw: draw } = input;
    const open = fleet.withRoom(service, { service, draw, isFailover: false }, nowMs);
    return open.filter(({ server }) => !input.excluded.has(server.serverId));
  }

  function explainCopies(
    engineId: ServerId | undefined,
    input: StreamPlacementInput,
    nowMs: number,
  ): CopyCandidate[] {
    const engine = engineId === undefined ? undefined : fleet.get(engineId);
    if (engine === undefined) return [];
    const { choices, spreadMs } = copyChoices(engine, input, nowMs);
    const costs = choices
      .map((state) => ({
        serverId: state.server.serverId,
        costMs: engineCostMs(state, input, nowMs),
      }))
      .sort((a, b) => a.costMs - b.costMs);
    const limitMs = (costs[0]?.costMs ?? 0) + spreadMs;
    return costs.map((cost) => ({ ...cost, isInSpread: cost.costMs <= limitMs }));
  }

  return {
    stream: (input, nowMs) => {
      const rankCostOf = parts.rankCostOf(input.service);
      const candidates = openFor(input, nowMs).map((state) => {
        const firstEventMs = expectedFirstEventMs(state, input, nowMs);
        return explainCandidate(state, nowMs, firstEventMs, (record) => {
          const rankMs = rankCostOf(state);
          record('rank', rankMs);
          return engineCostMs(state, input, nowMs, record) + rankMs;
        });
      });
      candidates.sort((a, b) => a.costMs - b.costMs);
      const chosenId = candidates[0]?.serverId;
      return {
        chosenId,
        isProbe: false,
        randomMaxMs: parts.maxJitterMsOf(input),
        ...bounded(candidates, excludedServers(input, nowMs)),
        ...boundedCopies(explainCopies(chosenId, input, nowMs)),
      };
    },
    call: (input, nowMs) => {
      const open = openFor(input, nowMs);
      const probe = open.find(({ server }) =>
        fleet.outlierDetector.isProbeDue(server.serverId, input.route, nowMs),
      );
      const candidates = open
        .map((state) =>
          explainCandidate(state, nowMs, undefined, (record) =>
            callCostMs(state, input.route, nowMs, record),
          ),
        )
        .sort((a, b) => a.costMs - b.costMs);
      return {
        chosenId: probe?.server.serverId ?? candidates[0]?.serverId,
        isProbe: probe !== undefined,
        randomMaxMs: parts.callMaxJitterMs,
        ...bounded(candidates, excludedServers(input, nowMs)),
        ...boundedCopies([]),
      };
    },
  };
}

function bounded(candidates: readonly CandidateExplanation[], excluded: readonly ExcludedServer[]) {
  return {
    candidates: candidates.slice(0, EXPLAINED_SERVERS_MAX),
    candidateCount: candidates.length,
    excluded: excluded.slice(0, EXPLAINED_SERVERS_MAX),
    excludedCount: excluded.length,
  };
}

function boundedCopies(copies: readonly CopyCandidate[]) {
  return {
    copyCandidates: copies.slice(0, EXPLAINED_SERVERS_MAX),
    copyCandidateCount: copies.length,
  };
}
