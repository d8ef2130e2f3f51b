import {
  addEvidence,
  asId,
  hasServers,
  isStoredSince,
  nextMoveStep,
  UNKNOWN_ERA,
} from '@mimosamill/core';
import { createAnswerJudge } from './answer-judge';
import { isElected } from './election';
import { createOrderHistory } from './order-history';
import { createPeerKnowledge } from './peer-knowledge';
import type { DecisionLog, HashFunctions } from '@mimosamill/adapters';
import type { AnswerJudge, JudgedPhase } from './answer-judge';
import type { PeerKnowledgePorts } from './peer-knowledge';
import type {
  Fleet,
  HostId,
  MoveEvidence,
  MoveState,
  MoveStep,
  PeerRegistry,
  PeerMove,
  ServerId,
  ServerState,
  ServiceName,
  StoreRevision,
  VersionOrder,
  VersionServers,
} from '@mimosamill/core';

/** Stored states of moves; operators read them too. */
export interface MoveTable {
  readonly read: (service: ServiceName) => Promise<MoveRecordOutcome>;
  /** Writes a state if the row still has the expected revision. */
  readonly write: (
    service: ServiceName,
    version: string,
    state: MoveState,
    expected: StoreRevision,
  ) => Promise<'ok' | 'conflict' | 'unknown'>;
}

export type MoveRecordOutcome =
  | {
      readonly kind: 'ok';
      /** Undefined if there is no row. */
      readonly record: { readonly version: string; readonly state: MoveState } | undefined;
      readonly at: StoreRevision;
    }
  | { readonly kind: 'unavailable' };

export interface VersionMovePorts extends PeerKnowledgePorts {
  readonly decisions: DecisionLog;
  readonly fleet: Fleet;
  readonly peerRegistry: PeerRegistry;
  readonly hashes: HashFunctions;
  readonly table: MoveTable;
  /** Whether a server accepts connections. */
  readonly isAccepting: (address: string) => Promise<boolean>;
  /** Sends this router's state to the other routers after a short batch delay. */
  readonly broadcastSoon: () => void;
  readonly broadcastLater: () => void;
}

/** Shifts the traffic of services to new versions step by step, and rolls bad versions back. */
export interface VersionMoves {
  /** `isCopy` tells that the store has just been restored from an older copy, which the orders show. */
  readonly setOrders: (orders: readonly VersionOrder[], isCopy?: boolean) => void;
  /** The store came back from an older copy, which may lack the ends of moves. */
  readonly onStoreRestored: () => void;
  /** Servers whose version must not serve a request; `draw` is a uniform random number. */
  readonly excludedServers: (service: ServiceName, draw: number) => ReadonlySet<ServerId>;
  /**
   * Servers that must hold no KV cache copy, and from whose copies no stream may resume: those of the new
   * version until it has all traffic or after a rollback, then those of the former one.
   */
  readonly excludedCopyHolders: (service: ServiceName) => ReadonlySet<ServerId>;
  readonly trackAttempt: AnswerJudge['trackAttempt'];
  /** States and answer counts of this router, for the other routers. */
  readonly ownMoves: () => readonly PeerMove[];
  readonly stop: () => void;
}

interface Move {
  order: VersionOrder;
  readonly startedAtMs: number;
  state: MoveState;
  endedAtMs: number;
  /** False until the store has told whether the move had already ended. */
  isStateLoaded: boolean;
  isWriting: boolean;
  evidence: MoveEvidence;
  shareRatio: number;
  /** Most servers of the new version that were usable at one time since the order. */
  serversMax: number;
  /** Time before which the servers are not tried again after one that did not accept connections. */
  nextServerCheckAtMs: number;
  /** Revision of the stored state. */
  at: StoreRevision;
  /** The store may have lost the end of the move. */
  isEndInDoubt: boolean;
  nextEndCheckAtMs: number;
}

const STEP_PERIOD_MS = 200;
/** Time after a completed move by which the former version's servers are no longer listed. */
const FORMER_SERVERS_GONE_AFTER_MS = 10_000;
/** Time between two checks of the new version's servers before the move is completed. */
const SERVER_CHECK_PERIOD_MS = 500;
/** Time between two looks for the end of a move that another router is to write again. */
const END_CHECK_PERIOD_MS = 1_000;
const NO_SERVERS: ReadonlySet<ServerId> = new Set();
const NO_EVIDENCE: MoveEvidence = {
  fresh: { answers: 0, bad: 0 },
  former: { answers: 0, bad: 0 },
};

export function createVersionMoves(hostId: HostId, ports: VersionMovePorts): VersionMoves {
  const { clock, decisions, fleet, peerRegistry } = ports;
  const moves = new Map<ServiceName, Move>();
  const orderHistory = createOrderHistory();
  let isRestored = false;
  const knowledge = createPeerKnowledge(ports);
  const judge = createAnswerJudge({
    clock,
    fleet,
    isOnTrial: (service, version) => {
      const move = moves.get(service);
      return move?.state === 'running' && version === move.order.version;
    },
    hasStoodStill: knowledge.hasStoodStill,
    onJudged: count,
  });
  const cancel = clock.runEvery(STEP_PERIOD_MS, advanceAll);

  function setOrders(orders: readonly VersionOrder[], isCopy = false): void {
    orders.forEach((order) => {
      if (!orderHistory.isNew(order, isCopy)) {
        if (!isCopy) updateOrder(order);
        return;
      }
      moves.set(order.service, createMove(order, clock.monotonicMs()));
      decisions.vital('move.ordered', {
        service: order.service,
        version: order.version,
        within_ms: order.withinMs,
        order_revision: order.revision,
      });
    });
  }

  /** Operators write an order again after the store was restored; it has another revision then. */
  function updateOrder(order: VersionOrder): void {
    const move = moves.get(order.service);
    if (move?.order.version === order.version) move.order = order;
  }

  /** Reads the stored state, because a move may have ended before this process started. */
  async function loadState(move: Move): Promise<void> {
    const outcome = await ports.table.read(move.order.service);
    if (outcome.kind === 'unavailable') return;
    move.isStateLoaded = true;
    move.at = outcome.at;
    const state = storedEnd(move, outcome);
    if (state !== undefined) endMove(move, state, 'store');
  }

  /** The end of the move as stored; undefined if the row is about another order, or says 'running'. */
  function storedEnd(
    { order }: Move,
    { record, at }: Extract<MoveRecordOutcome, { kind: 'ok' }>,
  ): MoveState | undefined {
    if (record?.version !== order.version || !isStoredSince(order, at.revision)) return undefined;
    return record.state === 'running' ? undefined : record.state;
  }

  function endMove(move: Move, state: MoveState, cause: string): void {
    if (move.state !== 'running') return;
    move.state = state;
    move.endedAtMs = clock.monotonicMs();
    move.isEndInDoubt = isRestored && cause === 'peer';
    const { fresh, former } = totalEvidence(move);
    decisions.vital('move.ended', {
      service: move.order.service,
      version: move.order.version,
      state,
      cause,
      order_revision: move.order.revision,
      answers: fresh.answers,
      bad: fresh.bad,
      former_answers: former.answers,
      former_bad: former.bad,
    });
    ports.broadcastSoon();
  }

  function totalEvidence(move: Move): MoveEvidence {
    return peerRegistry
      .movesOf(move.order)
      .reduce((sum, peer) => addEvidence(sum, peer.evidence), move.evidence);
  }

  function advanceAll(): void {
    const stoodMs = knowledge.onStep();
    if (stoodMs !== undefined) {
      decisions.notable('moves.stood_still', { for_ms: Math.round(stoodMs) });
      judge.forgetPending();
    }
    judge.judgePending();
    moves.forEach((move) => {
      if (!move.isStateLoaded && !move.isWriting) {
        move.isWriting = true;
        void loadState(move).finally(() => {
          move.isWriting = false;
        });
      }
      advance(move);
      if (move.isEndInDoubt && !move.isWriting && clock.monotonicMs() >= move.nextEndCheckAtMs) {
        void confirmEnd(move);
      }
    });
  }

  /** Writes the end of a move again if the store, restored from a copy, lacks it. */
  async function confirmEnd(move: Move): Promise<void> {
    move.isWriting = true;
    move.nextEndCheckAtMs = clock.monotonicMs() + END_CHECK_PERIOD_MS;
    const { service, version } = move.order;
    const outcome = await ports.table.read(service);
    if (outcome.kind === 'ok') {
      if (storedEnd(move, outcome) !== undefined) move.isEndInDoubt = false;
      else if (isWriterOf(service)) {
        const written = await ports.table.write(service, version, move.state, outcome.at);
        if (written === 'ok') {
          move.isEndInDoubt = false;
          decisions.vital('move.recorded_again', { service, version, state: move.state });
        }
      }
    }
    move.isWriting = false;
  }

  function isWriterOf(service: ServiceName): boolean {
    return isElected(service, hostId, peerRegistry, ports.hashes, clock.monotonicMs());
  }

  function advance(move: Move): void {
    if (move.state !== 'running') return;
    const ended = peerRegistry.movesOf(move.order).find(({ state }) => state !== 'running');
    if (ended !== undefined) {
      endMove(move, ended.state, 'peer');
      return;
    }
    apply(move, nextStep(move));
  }

  function nextStep(move: Move): MoveStep {
    return nextMoveStep(move.order, {
      evidence: totalEvidence(move),
      elapsedMs: clock.monotonicMs() - move.startedAtMs,
      isInformed: knowledge.isInformed(),
      isFormerBusy: isFormerBusy(move),
      servers: serversOf(move),
    });
  }

  function presentServers({ order }: Move): readonly ServerState[] {
    return fleet
      .usable(order.service)
      .filter(({ server, lostAtMs }) => server.version === order.version && lostAtMs === undefined);
  }

  function serversOf(move: Move): VersionServers {
    const usable = fleet.usable(move.order.service);
    const ofVersion = usable.filter(({ server }) => server.version === move.order.version);
    move.serversMax = Math.max(move.serversMax, ofVersion.length);
    return { presentCount: presentServers(move).length, expectedCount: move.serversMax };
  }

  function apply(move: Move, next: MoveStep): void {
    if (next.kind === 'hold') return;
    if (next.kind === 'serve') {
      move.shareRatio = next.shareRatio;
      return;
    }
    // A rollback takes effect in this router at once, even if the store cannot be reached.
    if (next.kind === 'roll_back') move.shareRatio = 0;
    else move.shareRatio = 1;
    const { service } = move.order;
    if (!isWriterOf(service)) return;
    if (next.kind === 'roll_back') void write(move, 'rolled_back');
    else void complete(move);
  }

  /** Completes a move if its servers can be reached: the former ones are stopped by it, for good. */
  async function complete(move: Move): Promise<void> {
    const isDue = clock.monotonicMs() >= move.nextServerCheckAtMs;
    if (move.isWriting || !move.isStateLoaded || !isDue) return;
    move.isWriting = true;
    const present = presentServers(move);
    const checks = await Promise.all(
      present.map(({ server }) => ports.isAccepting(server.address)),
    );
    move.isWriting = false;
    const presentCount = checks.filter((isAccepting) => isAccepting).length;
    if (!hasServers({ presentCount, expectedCount: move.serversMax })) {
      move.nextServerCheckAtMs = clock.monotonicMs() + SERVER_CHECK_PERIOD_MS;
      const { service, version } = move.order;
      decisions.notable('move.servers_missing', {
        service,
        version,
        listed: present.length,
        reachable: presentCount,
        expected: move.serversMax,
      });
      return;
    }
    // Time has passed, in which answers or reports of the others may have arrived.
    if (move.state !== 'running' || nextStep(move).kind !== 'complete') return;
    await write(move, 'completed');
  }

  async function write(move: Move, state: MoveState): Promise<void> {
    if (move.isWriting || !move.isStateLoaded) return;
    move.isWriting = true;
    const { service, version } = move.order;
    const outcome = await ports.table.write(service, version, state, move.at);
    move.isWriting = false;
    if (outcome === 'ok') endMove(move, state, 'written');
    // Another router wrote first, or this write was applied and its answer lost; the row tells which.
    else await loadState(move);
  }

  function isFormerBusy(move: Move): boolean {
    const nowMs = clock.monotonicMs();
    return fleet.usable(move.order.service).some((state) => {
      if (state.server.version === move.order.version) return false;
      return state.ownRunning + peerRegistry.loadAt(state.server.serverId, nowMs).running > 0;
    });
  }

  function count({ service, version, phase, isBad }: JudgedPhase): void {
    const move = moves.get(service);
    if (move?.state !== 'running' || (phase === 'pace' && !isBad)) return;
    const counts = { answers: 1, bad: isBad ? 1 : 0 };
    const none = NO_EVIDENCE.fresh;
    move.evidence = addEvidence(
      move.evidence,
      version === move.order.version
        ? { fresh: counts, former: none }
        : { fresh: none, former: counts },
    );
    // A rollback is decided on the sum of all routers' counts, so bad answers are sent at once.
    if (isBad) ports.broadcastSoon();
    else ports.broadcastLater();
  }

  function excludedServers(service: ServiceName, draw: number): ReadonlySet<ServerId> {
    const move = moves.get(service);
    return move === undefined ? NO_SERVERS : serversOfOther(move, draw < shareOf(move));
  }

  function excludedCopyHolders(service: ServiceName): ReadonlySet<ServerId> {
    const move = moves.get(service);
    return move === undefined ? NO_SERVERS : serversOfOther(move, shareOf(move) === 1);
  }

  /** Servers of the version that is not used; none if there would be no other server. */
  function serversOfOther(move: Move, usesNewVersion: boolean): ReadonlySet<ServerId> {
    if (isPast(move)) return NO_SERVERS;
    const servers = fleet.usable(move.order.service).map(({ server }) => server);
    const excluded = servers.filter(
      ({ version }) => (version === move.order.version) !== usesNewVersion,
    );
    const leavesNoServer = excluded.length === servers.length && move.state !== 'rolled_back';
    // Until the end, the former version answers for a new one all of whose servers are lost.
    const isLost = move.state === 'running' && usesNewVersion && presentServers(move).length === 0;
    if (leavesNoServer || isLost) return NO_SERVERS;
    return new Set(excluded.map(({ serverId }) => serverId));
  }

  /** The former servers are stopped; later versions may appear without a move. */
  function isPast(move: Move): boolean {
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
    onStoreRestored: () => {
      isRestored = true;
      moves.forEach((move) => {
        if (move.state !== 'running') move.isEndInDoubt = true;
      });
    },
    excludedServers,
    excludedCopyHolders,
    trackAttempt: judge.trackAttempt,
    ownMoves: () =>
      [...moves.values()].map(({ order, state, evidence }) => ({
        service: order.service,
        version: order.version,
        orderRevision: order.revision,
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
    serversMax: 0,
    nextServerCheckAtMs: -Infinity,
    at: { era: UNKNOWN_ERA, revision: 0 },
    isEndInDoubt: false,
    nextEndCheckAtMs: -Infinity,
  };
}
