import type { OutlierDetector } from '../route/outlier-detector';
import type { HostId, ServerId } from '../ids';

/** Results of one router at one server on one route, counted since the router's start. */
export interface CallCounts {
  readonly serverId: ServerId;
  readonly route: string;
  readonly successes: number;
  readonly failures: number;
  /** Sum of the times taken, each as a multiple of the time expected. */
  readonly slownessSum: number;
}

export interface CallOutcome {
  readonly isSuccess: boolean;
  readonly slownessRatio: number;
}

/**
 * Judges servers by the calls of all routers: each alone sends few to a server and would find a bad
 * one late. Counts only grow, so that a message that is lost costs nothing but time.
 */
export interface CallOutcomeTracker {
  readonly onOwnOutcome: (
    serverId: ServerId,
    route: string,
    outcome: CallOutcome,
    nowMs: number,
  ) => void;
  /** Own counts that changed lately. */
  readonly recentCounts: (nowMs: number) => readonly CallCounts[];
  /** A peer told its counts; `lifeId` changes at each of its starts. */
  readonly onPeerCounts: (
    hostId: HostId,
    incarnationId: string,
    counts: readonly CallCounts[],
    nowMs: number,
  ) => void;
  /** Forgets all other servers. */
  readonly retain: (serverIds: ReadonlySet<ServerId>) => void;
}

/** Counts are told again for this time after a change. */
const COUNTS_REPEAT_MS = 2_500;
/** Results taken from one message; more say nothing new. */
const RESULTS_PER_UPDATE_MAX = 16;

interface OwnCounts {
  counts: CallCounts;
  changedAtMs: number;
}

interface PeerCounts {
  readonly incarnationId: string;
  readonly byKey: Map<string, CallCounts>;
}

export function createCallOutcomeTracker(outlierDetector: OutlierDetector): CallOutcomeTracker {
  const own = new Map<string, OwnCounts>();
  const peers = new Map<HostId, PeerCounts>();

  function learn(serverId: ServerId, route: string, added: CallCounts, nowMs: number): void {
    const results = added.successes + added.failures;
    if (results <= 0) return;
    const slownessRatio = added.slownessSum / results;
    const taken = Math.min(RESULTS_PER_UPDATE_MAX, results);
    const failureRatio = added.failures / results;
    for (let no = 1; no <= taken; no += 1) {
      // Spreads the failures evenly over the results: their order is not known.
      const isFailure = Math.floor(no * failureRatio) > Math.floor((no - 1) * failureRatio);
      outlierDetector.onResult(serverId, route, { isSuccess: !isFailure, slownessRatio }, nowMs);
    }
  }

  return {
    onOwnOutcome: (serverId, route, { isSuccess, slownessRatio }, nowMs) => {
      outlierDetector.onResult(serverId, route, { isSuccess, slownessRatio }, nowMs);
      const key = keyOf(serverId, route);
      const before = own.get(key)?.counts ?? noCounts(serverId, route);
      const counts = {
        ...before,
        successes: before.successes + (isSuccess ? 1 : 0),
        failures: before.failures + (isSuccess ? 0 : 1),
        slownessSum: before.slownessSum + slownessRatio,
      };
      own.set(key, { counts, changedAtMs: nowMs });
    },
    recentCounts: (nowMs) =>
      [...own.values()]
        .filter(({ changedAtMs }) => nowMs - changedAtMs <= COUNTS_REPEAT_MS)
        .map(({ counts }) => counts),
    onPeerCounts: (hostId, incarnationId, counts, nowMs) => {
      const known = peers.get(hostId);
      const isKnown = known?.incarnationId === incarnationId;
      const peer = isKnown
        ? known
        : { incarnationId: incarnationId, byKey: new Map<string, CallCounts>() };
      peers.set(hostId, peer);
      // A bad server is found by comparison, so the good ones come first.
      const ordered = [...counts].sort((a, b) => a.failures - b.failures);
      ordered.forEach((count) => {
        const key = keyOf(count.serverId, count.route);
        const before = peer.byKey.get(key) ?? noCounts(count.serverId, count.route);
        peer.byKey.set(key, count);
        // What a peer counted before it was first heard may be old.
        if (isKnown) learn(count.serverId, count.route, subtract(count, before), nowMs);
      });
    },
    retain: (serverIds) => {
      own.forEach(({ counts }, key) => {
        if (!serverIds.has(counts.serverId)) own.delete(key);
      });
      peers.forEach(({ byKey }) => {
        byKey.forEach(({ serverId }, key) => {
          if (!serverIds.has(serverId)) byKey.delete(key);
        });
      });
    },
  };
}

function keyOf(serverId: ServerId, route: string): string {
  return `${serverId}\u0000${route}`;
}

function noCounts(serverId: ServerId, route: string): CallCounts {
  return { serverId, route, successes: 0, failures: 0, slownessSum: 0 };
}

function subtract(count: CallCounts, before: CallCounts): CallCounts {
  return {
    ...count,
    successes: count.successes - before.successes,
    failures: count.failures - before.failures,
    slownessSum: count.slownessSum - before.slownessSum,
  };
}
