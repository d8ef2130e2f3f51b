import { rankByRendezvous } from '../hash/rendezvous';
import { remainingPrefillMs } from './fleet';
import type { Hash32 } from '../hash/rendezvous';
import type { HostId, ServerId, ServiceName } from '../ids';
import type { Fleet, ServerState } from './fleet';
import type { PeerRegistry } from './peers';
import type { EngineCapacity } from './types';

/** Requirements of the KV cache copy of one stream on its engine. */
export interface CopyPlacementInput {
  readonly service: ServiceName;
  readonly capacity: EngineCapacity;
  readonly promptTokens: number;
  /** Engines that must hold no copy, and from whose copies the stream must not resume. */
  readonly excludedCopyHolders: ReadonlySet<ServerId>;
  /** The stream lost its engine; other streams probably lost theirs at the same moment. */
  readonly isFailover?: boolean;
}

/** Requirements of one stream on its engine. */
export interface StreamPlacementInput extends CopyPlacementInput {
  /** Engines on which the stream was lost, or whose version it must not use. */
  readonly excluded: ReadonlySet<ServerId>;
  /** Draw of the request among those for engines near the limits that they named. */
  readonly limitDraw: number;
  /**
   * Engine to use, if it is already decided; only the copy's engine is chosen then. There is no
   * placement if that engine is leaving, replaced, no longer listed or an excluded copy holder.
   */
  readonly fixedEngineId?: ServerId;
}

export type StreamPlacement =
  | {
      readonly kind: 'ok';
      readonly engineId: ServerId;
      /** Engine that is to hold a copy of the KV cache; undefined if none is suitable. */
      readonly copyEngineId: ServerId | undefined;
      /** Expected time from the send to the first event. */
      readonly expectedFirstEventMs: number;
      /** The engine does no prefill now, and less than half of its slots are in use. */
      readonly isLightlyLoaded: boolean;
    }
  | { readonly kind: 'none'; readonly reason: 'unlisted' | 'excluded' };

export interface CallPlacementInput {
  readonly service: ServiceName;
  /** The call can do without this attempt: it uses up no limit that others may need. */
  readonly isOptional?: boolean;
  /** Name of the route; a server may fail on one route only. */
  readonly route: string;
  readonly excluded: ReadonlySet<ServerId>;
  /** Draw of the request among those for servers near the limits that they named. */
  readonly limitDraw: number;
}

/** Chooses engines and servers, while many routers choose at the same time from the same state. */
export interface Placer {
  readonly placeStream: (
    input: StreamPlacementInput,
    nowMs: number,
    random: () => number,
  ) => StreamPlacement;
  /** Chooses the engine that is to hold a copy of the KV cache of a stream on `engineId`. */
  readonly placeCopy: (
    engineId: ServerId,
    input: CopyPlacementInput,
    nowMs: number,
    random: () => number,
  ) => ServerId | undefined;
  readonly placeCall: (
    input: CallPlacementInput,
    nowMs: number,
    random: () => number,
  ) => ServerId | undefined;
  /** A prefill took this time, with no other prefill of this router ahead of it. */
  readonly onPrefill: (tokens: number, tookMs: number) => void;
  readonly prefillMsPerToken: () => number;
}

/** Assumed prefill time of a token until a prefill has been observed. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.25;
/** Weight of the newest prefill in the moving average. */
const PREFILL_SMOOTHING_RATIO = 0.1;
/** Time from the send to the first event, without the prefill. */
const BASE_FIRST_EVENT_MS = 60;
/** Cost of a stream on the engine: it lengthens each decode step, and prefills delay its events. */
const STREAM_COST_MS = 60;
/** Cost of a KV cache copy on the engine: until it is used, it only takes memory. */
const COPY_COST_MS = 15;
/**
 * Highest cost of an engine's position in the router's own ranking. Each router ranks the engines
 * differently, so two routers that choose at the same time seldom choose the same engine.
 */
const RANK_COST_MAX_MS = 100;
const JITTER_MS = 30;
/**
 * Streams that lose their engines together are placed within a few milliseconds, before any router
 * learns of another's choice. Two prefills on one engine cost a second, a busier engine costs much
 * less, so these streams are spread evenly over all engines that cost at most this much more than
 * the cheapest one. The same holds for copies, which are used only when many streams lose their
 * engines.
 */
const FAILOVER_SPREAD_MS = 500;
const COPY_SPREAD_MS = 250;
/** Cost of an avoided server, which is used only if all others cost this much more. */
const AVOIDED_COST_MS = 20_000;
const REFUSED_COST_MS = 60_000;
const SUSPECTED_COST_MS = 10_000;
const UNCERTAIN_COST_MS = 15_000;
/** Cost of a server to which the outlier detector gives weight 0. */
const UNHEALTHY_COST_MS = 4_000;
/** Time constant with which other routers' load in a server's report decays. */
const REPORT_DECAY_MS = 3_000;
/** Part of an engine's KV cache, by known tokens, above which the engine counts as full. */
const MEMORY_FILL_RATIO = 0.9;
const FULL_ENGINE_COST_MS = 5_000;
/**
 * An engine gets a KV cache copy only up to this part of its memory, by known tokens. Copies do not
 * yield: in a crowd they would push running streams out, which then fall silent and move.
 */
const COPY_FILL_RATIO = 0.6;
/**
 * Below this part of its slots in use an engine is lightly loaded: a stream that may miss its
 * deadline takes no capacity from others there.
 */
const LIGHT_LOAD_RATIO = 0.5;
/** Cost of a server that has no room left under the limit that it named; proportionally less before. */
const LIMIT_COST_MS = 100;
/** Cost of a plain server whose slots are all in use; proportionally less or more otherwise. */
const CALL_QUEUE_COST_MS = 100;
const CALL_JITTER_MS = 20;

export function createPlacer(
  fleet: Fleet,
  peers: PeerRegistry,
  hostId: HostId,
  hash: Hash32,
): Placer {
  let prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  const ranks = new Map<
    ServiceName,
    { readonly states: readonly ServerState[]; readonly rank: Map<ServerId, number> }
  >();

  /** Position of each server in this router's ranking, from 0 to 1. */
  function rankOf(service: ServiceName, states: readonly ServerState[]): Map<ServerId, number> {
    const known = ranks.get(service);
    if (known !== undefined && haveSameIds(known.states, states)) return known.rank;
    const ordered = rankByRendezvous(hostId, states, ({ server }) => server.serverId, hash);
    const rank = new Map(
      ordered.map(({ server }, at) => [server.serverId, at / Math.max(1, ordered.length - 1)]),
    );
    ranks.set(service, { states, rank });
    return rank;
  }

  function penaltyMs(state: ServerState, nowMs: number): number {
    const avoidMs = state.avoidUntilMs > nowMs ? avoidCostMsOf(state) : 0;
    const suspectedMs = fleet.isSuspected(state, nowMs) ? SUSPECTED_COST_MS : 0;
    const uncertainMs = state.server.isUncertain === true ? UNCERTAIN_COST_MS : 0;
    return avoidMs + suspectedMs + uncertainMs;
  }

  function limitCostMs({ server }: ServerState, nowMs: number): number {
    return fleet.limits.usedRatio(server.serverId, nowMs) * LIMIT_COST_MS;
  }

  function engineCostMs(state: ServerState, input: CopyPlacementInput, nowMs: number): number {
    const peerLoad = peers.loadAt(state.server.serverId, nowMs);
    const running = state.ownRunning + peerLoad.running;
    const tokens = state.ownTokens + peerLoad.tokens + input.promptTokens;
    const isFull = tokens > input.capacity.memoryTokens * MEMORY_FILL_RATIO;
    const isOutOfSlots = running >= input.capacity.slots;
    return (
      remainingPrefillMs(state, nowMs, prefillMsPerToken) +
      peerLoad.prefillMs +
      running * STREAM_COST_MS +
      (state.ownCopies + peerLoad.copies) * COPY_COST_MS +
      (isFull || isOutOfSlots ? FULL_ENGINE_COST_MS : 0) +
      limitCostMs(state, nowMs) +
      penaltyMs(state, nowMs)
    );
  }

  function cheapest(
    states: readonly ServerState[],
    costOf: (state: ServerState) => number,
  ): ServerState | undefined {
    let cheapestState: ServerState | undefined;
    let cheapestMs = Infinity;
    states.forEach((state) => {
      const costMs = costOf(state);
      if (costMs >= cheapestMs) return;
      cheapestState = state;
      cheapestMs = costMs;
    });
    return cheapestState;
  }

  function isLightlyLoaded(state: ServerState, capacity: EngineCapacity, nowMs: number): boolean {
    const peerLoad = peers.loadAt(state.server.serverId, nowMs);
    const isPrefilling = state.prefills.size > 0 || peerLoad.prefillMs > 0;
    return !isPrefilling && state.ownRunning + peerLoad.running < capacity.slots * LIGHT_LOAD_RATIO;
  }

  /** Random choice among the servers that cost at most `spreadMs` more than the cheapest one. */
  function randomWithin(
    spreadMs: number,
    states: readonly ServerState[],
    costOf: (state: ServerState) => number,
    random: () => number,
  ): ServerState | undefined {
    const costs = states.map((state) => ({ state, costMs: costOf(state) }));
    const limitMs = Math.min(...costs.map(({ costMs }) => costMs)) + spreadMs;
    const near = costs.filter(({ costMs }) => costMs <= limitMs);
    return near[Math.floor(random() * near.length)]?.state;
  }

  function hasMemoryForCopy(state: ServerState, input: CopyPlacementInput, nowMs: number): boolean {
    const peerLoad = peers.loadAt(state.server.serverId, nowMs);
    const tokens = state.ownTokens + peerLoad.tokens + input.promptTokens;
    return tokens <= input.capacity.memoryTokens * COPY_FILL_RATIO;
  }

  /** Prefers engines of other failure domains, because a whole domain may be lost at once. */
  function placeCopy(
    engine: ServerState,
    input: CopyPlacementInput,
    nowMs: number,
    random: () => number,
  ): ServerId | undefined {
    if (!input.capacity.hasBackups) return undefined;
    const others = fleet
      .usable(input.service)
      .filter((state) => state !== engine && !input.excludedCopyHolders.has(state.server.serverId))
      .filter((state) => !fleet.isPaused(state, nowMs));
    const otherDomains = others.filter(
      ({ server }) => server.failureDomain !== engine.server.failureDomain,
    );
    const wanted = otherDomains.length > 0 ? otherDomains : others;
    const choices = wanted.filter((state) => hasMemoryForCopy(state, input, nowMs));
    const spreadMs = input.isFailover === true ? FAILOVER_SPREAD_MS : COPY_SPREAD_MS;
    const costOf = (state: ServerState): number => engineCostMs(state, input, nowMs);
    const chosen = randomWithin(spreadMs, choices, costOf, random);
    if (chosen === undefined || penaltyMs(chosen, nowMs) > 0) return undefined;
    return chosen.server.serverId;
  }

  return {
    placeStream: (input, nowMs, random) => {
      const all = fleet.usable(input.service);
      const { service, limitDraw: draw } = input;
      const claim = { service, draw, isFailover: input.isFailover === true };
      const open = fleet.withRoom(service, claim, nowMs);
      const choices = open.filter(({ server }) => !input.excluded.has(server.serverId));
      const rank = rankOf(input.service, all);
      const costOf = (state: ServerState): number => engineCostMs(state, input, nowMs);
      const rankedCostOf = (state: ServerState): number =>
        costOf(state) +
        (rank.get(state.server.serverId) ?? 0) * RANK_COST_MAX_MS +
        JITTER_MS * random();
      const chooseEngine = (): ServerState | undefined => {
        const { fixedEngineId } = input;
        if (fixedEngineId !== undefined) {
          if (input.excludedCopyHolders.has(fixedEngineId)) return undefined;
          return open.find(({ server }) => server.serverId === fixedEngineId);
        }
        return input.isFailover === true
          ? randomWithin(FAILOVER_SPREAD_MS, choices, costOf, random)
          : cheapest(choices, rankedCostOf);
      };
      const engine = chooseEngine();
      if (engine === undefined) {
        return { kind: 'none', reason: all.length === 0 ? 'unlisted' : 'excluded' };
      }
      return {
        kind: 'ok',
        engineId: engine.server.serverId,
        copyEngineId: placeCopy(engine, input, nowMs, random),
        expectedFirstEventMs:
          BASE_FIRST_EVENT_MS +
          remainingPrefillMs(engine, nowMs, prefillMsPerToken) +
          input.promptTokens * prefillMsPerToken,
        isLightlyLoaded: isLightlyLoaded(engine, input.capacity, nowMs),
      };
    },
    placeCopy: (engineId, input, nowMs, random) => {
      const engine = fleet.get(engineId);
      return engine === undefined ? undefined : placeCopy(engine, input, nowMs, random);
    },
    placeCall: (input, nowMs, random) => {
      const { service, limitDraw: draw } = input;
      const claim = { service, draw, isFailover: false };
      const open = fleet
        .withRoom(input.service, claim, nowMs)
        .filter(({ server: { serverId } }) => {
          const isSpare = fleet.limits.usedRatio(serverId, nowMs) === 0;
          return !input.excluded.has(serverId) && (input.isOptional !== true || isSpare);
        });
      const probe = open.find(({ server }) =>
        fleet.outlierDetector.claimProbe(server.serverId, input.route, nowMs),
      );
      if (probe !== undefined) return probe.server.serverId;
      return cheapest(open, (state) => {
        const running = state.ownRunning + othersRunning(state, nowMs);
        const weight = fleet.outlierDetector.weight(state.server.serverId, input.route);
        return (
          (running / Math.max(1, state.server.slots)) * CALL_QUEUE_COST_MS +
          (1 - weight) * UNHEALTHY_COST_MS +
          limitCostMs(state, nowMs) +
          penaltyMs(state, nowMs) +
          CALL_JITTER_MS * random()
        );
      })?.server.serverId;
    },
    onPrefill: (tokens, tookMs) => {
      if (tokens <= 0) return;
      const sample = Math.max(0, tookMs - BASE_FIRST_EVENT_MS) / tokens;
      prefillMsPerToken += PREFILL_SMOOTHING_RATIO * (sample - prefillMsPerToken);
    },
    prefillMsPerToken: () => prefillMsPerToken,
  };
}

function haveSameIds(before: readonly ServerState[], after: readonly ServerState[]): boolean {
  if (before === after) return true;
  if (before.length !== after.length) return false;
  return before.every(({ server }, at) => server.serverId === after[at]?.server.serverId);
}

function avoidCostMsOf(state: ServerState): number {
  return state.lastFailure?.kind === 'refused' ? REFUSED_COST_MS : AVOIDED_COST_MS;
}

/** Requests of other routers at the server, estimated from its last load report. */
function othersRunning(state: ServerState, nowMs: number): number {
  const { report } = state;
  if (report === undefined) return 0;
  const others = Math.max(0, report.running + report.waiting - report.ownRunning);
  return others * Math.exp(-Math.max(0, nowMs - report.atMs) / REPORT_DECAY_MS);
}
