import { addEvidence, asId, nextMoveStep, rankByRendezvous } from '@mimosamill/core';
import type { Clock, DecisionLog, HashFunctions } from '@mimosamill/adapters';
import type {
  Fleet,
  HostId,
  MoveEvidence,
  MoveState,
  MoveStep,
  PeerRegistry,
  PeerMove,
  ServerId,
  ServiceName,
  VersionOrder,
} from '@mimosamill/core';

/** Where the states of moves are kept for operators. */
export interface MoveTable {
  readonly read: (service: ServiceName) => Promise<MoveRecordOutcome>;
  /** Writes a state unless the row has changed since it had the revision. */
  readonly write: (
    service: ServiceName,
    version: string,
    state: MoveState,
    expectedRevision: number,
  ) => Promise<'ok' | 'conflict' | 'unknown'>;
}

export type MoveRecordOutcome =
  | {
      readonly kind: 'ok';
      /** Undefined if there is no row. */
      readonly record: { readonly version: string; readonly state: MoveState } | undefined;
      readonly revision: number;
    }
  | { readonly kind: 'unavailable' };

export interface VersionMovePorts {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly fleet: Fleet;
  readonly peerRegistry: PeerRegistry;
  readonly hashes: HashFunctions;
  readonly table: MoveTable;
  /** Something changed that the others must hear soon. */
  readonly broadcastSoon: () => void;
  readonly broadcastLater: () => void;
}

/** Moves services' traffic to new versions, and keeps bad ones from it. */
export interface VersionMoves {
  readonly setOrders: (orders: readonly VersionOrder[]) => void;
  /** Servers that a request must not use because of their version. */
  readonly excludedServers: (service: ServiceName, draw: number) => ReadonlySet<ServerId>;
  readonly onAnswer: (serverId: ServerId, isFailure: boolean, tookMs: number) => void;
  /** What the other routers are told. */
  readonly ownMoves: () => readonly PeerMove[];
  readonly stop: () => void;
}

interface Move {
  readonly order: VersionOrder;
  readonly startedAtMs: number;
  state: MoveState;
  endedAtMs: number;
  /** False until the store was asked whether the move has ended before. */
  isStateLoaded: boolean;
  isWriting: boolean;
  evidence: MoveEvidence;
  shareRatio: number;
  /** Moving mean of the former version's times. */
  formerMeanMs: number;
  revision: number;
}

const STEP_PERIOD_MS = 200;
const SLOW_ANSWER_FACTOR = 3;
/** The former version's servers are off the list by then. */
const FORMER_SERVERS_GONE_AFTER_MS = 10_000;
const SMOOTHING_RATIO = 0.1;
const NO_SERVERS: ReadonlySet<ServerId> = new Set();
const NO_EVIDENCE: MoveEvidence = {
  fresh: { answers: 0, bad: 0 },
  former: { answers: 0, bad: 0 },
};

export function createVersionMoves(hostId: HostId, ports: VersionMovePorts): VersionMoves {
  const { clock, decisions, fleet, peerRegistry } = ports;
  const moves = new Map<ServiceName, Move>();
  const cancel = clock.runEvery(STEP_PERIOD_MS, stepAll);

  function setOrders(orders: readonly VersionOrder[]): void {
    orders.forEach((order) => {
      if (moves.get(order.service)?.order.version === order.version) return;
      moves.set(order.service, createMove(order, clock.monotonicMs()));
      decisions.vital('move.ordered', {
        service: order.service,
        version: order.version,
        within_ms: order.withinMs,
      });
    });
  }

  /** A move may have ended before this process started. */
  async function learn(move: Move): Promise<void> {
    const outcome = await ports.table.read(move.order.service);
    if (outcome.kind === 'unavailable') return;
    move.isStateLoaded = true;
    move.revision = outcome.revision;
    if (outcome.record?.version !== move.order.version) return;
    if (outcome.record.state !== 'running') enter(move, outcome.record.state, 'store');
  }

  function enter(move: Move, state: MoveState, cause: string): void {
    if (move.state !== 'running') return;
    move.state = state;
    move.endedAtMs = clock.monotonicMs();
    const { fresh, former } = totals(move);
    decisions.vital('move.ended', {
      service: move.order.service,
      version: move.order.version,
      state,
      cause,
      answers: fresh.answers,
      bad: fresh.bad,
      former_answers: former.answers,
      former_bad: former.bad,
    });
    ports.broadcastSoon();
  }

  function totals(move: Move): MoveEvidence {
    return peerRegistry
      .movesOf(move.order.service, move.order.version)
      .reduce((sum, peer) => addEvidence(sum, peer.evidence), move.evidence);
  }

  function stepAll(): void {
    moves.forEach((move) => {
      if (!move.isStateLoaded && !move.isWriting) {
        move.isWriting = true;
        void learn(move).finally(() => {
          move.isWriting = false;
        });
      }
      step(move);
    });
  }

  function step(move: Move): void {
    if (move.state !== 'running') return;
    const ended = peerRegistry
      .movesOf(move.order.service, move.order.version)
      .find(({ state }) => state !== 'running');
    if (ended !== undefined) {
      enter(move, ended.state, 'peer');
      return;
    }
    const next = nextMoveStep(move.order, {
      evidence: totals(move),
      elapsedMs: clock.monotonicMs() - move.startedAtMs,
      isFormerBusy: isFormerBusy(move),
    });
    apply(move, next);
  }

  function apply(move: Move, next: MoveStep): void {
    if (next.kind === 'serve') {
      move.shareRatio = next.shareRatio;
      return;
    }
    // A withdrawal takes effect here at once, whether or not the store can be reached.
    if (next.kind === 'roll_back') move.shareRatio = 0;
    else move.shareRatio = 1;
    if (!isWriter(move)) return;
    void write(move, next.kind === 'roll_back' ? 'rolled_back' : 'completed');
  }

  /** The first router in an order that all compute alike writes; the next one if it is lost. */
  function isWriter(move: Move): boolean {
    const hosts = [
      { hostId, canReadStore: true },
      ...peerRegistry.routers(clock.monotonicMs()).filter(({ canReadStore }) => canReadStore),
    ];
    const [first] = rankByRendezvous(
      move.order.service,
      hosts,
      (host) => host.hostId,
      ports.hashes.hash32,
    );
    return first?.hostId === hostId;
  }

  async function write(move: Move, state: MoveState): Promise<void> {
    if (move.isWriting || !move.isStateLoaded) return;
    move.isWriting = true;
    const { service, version } = move.order;
    const outcome = await ports.table.write(service, version, state, move.revision);
    move.isWriting = false;
    if (outcome === 'ok') enter(move, state, 'written');
    // Another router has written, or this one's lost answer: the row tells.
    else await learn(move);
  }

  function isFormerBusy(move: Move): boolean {
    const nowMs = clock.monotonicMs();
    return fleet.usable(move.order.service).some((belief) => {
      if (belief.server.version === move.order.version) return false;
      return belief.ownRunning + peerRegistry.loadAt(belief.server.serverId, nowMs).running > 0;
    });
  }

  function excludedServers(service: ServiceName, draw: number): ReadonlySet<ServerId> {
    const move = moves.get(service);
    if (move === undefined || isHistory(move)) return NO_SERVERS;
    const servers = fleet.usable(service).map(({ server }) => server);
    const fresh = servers.filter(({ version }) => version === move.order.version);
    const former = servers.filter(({ version }) => version !== move.order.version);
    const takesFresh = draw < shareOf(move);
    const excluded = takesFresh ? former : fresh;
    const isLastChoice = excluded.length === servers.length && move.state !== 'rolled_back';
    return isLastChoice ? NO_SERVERS : new Set(excluded.map(({ serverId }) => serverId));
  }

  /** The former servers have been stopped; other versions may come without a move. */
  function isHistory(move: Move): boolean {
    return (
      move.state === 'completed' &&
      clock.monotonicMs() - move.endedAtMs > FORMER_SERVERS_GONE_AFTER_MS
    );
  }

  function shareOf(move: Move): number {
    if (move.state === 'completed') return 1;
    if (move.state === 'rolled_back' || !move.isStateLoaded) return 0;
    return move.shareRatio;
  }

  return {
    setOrders,
    excludedServers,
    onAnswer: (serverId, isFailure, tookMs) => {
      const server = fleet.get(serverId)?.server;
      const move = server === undefined ? undefined : moves.get(server.service);
      if (server === undefined || move?.state !== 'running') return;
      const isFresh = server.version === move.order.version;
      const isSlow = move.formerMeanMs > 0 && tookMs > SLOW_ANSWER_FACTOR * move.formerMeanMs;
      if (!isFresh && !isFailure) {
        const before = move.formerMeanMs === 0 ? tookMs : move.formerMeanMs;
        move.formerMeanMs = before + SMOOTHING_RATIO * (tookMs - before);
      }
      const count = { answers: 1, bad: isFailure || isSlow ? 1 : 0 };
      const none = NO_EVIDENCE.fresh;
      move.evidence = addEvidence(
        move.evidence,
        isFresh ? { fresh: count, former: none } : { fresh: none, former: count },
      );
      // A bad version is withdrawn by all routers' counts; good answers can wait.
      if (count.bad > 0) ports.broadcastSoon();
      else ports.broadcastLater();
    },
    ownMoves: () =>
      [...moves.values()].map(({ order, state, evidence }) => ({
        service: order.service,
        version: order.version,
        state,
        evidence,
      })),
    stop: cancel,
  };
}

function createMove(order: VersionOrder, startedAtMs: number): Move {
  return {
    order: { ...order, service: asId(order.service) },
    startedAtMs,
    state: 'running',
    endedAtMs: Infinity,
    isStateLoaded: false,
    isWriting: false,
    evidence: NO_EVIDENCE,
    shareRatio: 0,
    formerMeanMs: 0,
    revision: 0,
  };
}
