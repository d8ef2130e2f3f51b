import type { OutlierDetector } from '../route/outlier-detector';
import type { HostId, ServerId } from '../ids';

/** Call outcomes of one router at one server on one route, counted since the router's start. */
export interface CallCounts {
  readonly serverId: ServerId;
  readonly route: string;
  readonly successes: number;
  readonly failures: number;
  /** Sum over the calls of the time taken as a multiple of the expected time. */
  readonly slownessSum: number;
}

export interface CallOutcome {
  readonly isSuccess: boolean;
  readonly slownessRatio: number;
}

/**
 * Feeds the outlier detector with the call outcomes of all routers: one router alone sends few
 * calls to a server and would detect a failing one late. The counts are cumulative, so a lost
 * message only delays their effect until the next one.
 */
export interface CallOutcomeTracker {
  readonly onOwnOutcome: (
    serverId: ServerId,
    route: string,
    outcome: CallOutcome,
    nowMs: number,
  ) => void;
  /** This router's counts that changed recently, to be sent to its peers. */
  readonly recentCounts: (nowMs: number) => readonly CallCounts[];
  /** Applies the counts of a peer; `incarnationId` differs after each start of the peer. */
  readonly onPeerCounts: (
    hostId: HostId,
    incarnationId: string,
    counts: readonly CallCounts[],
    nowMs: number,
  ) => void;
  /** Drops the counts of all servers that are not in the set. */
  readonly retain: (serverIds: ReadonlySet<ServerId>) => void;
}

/** Counts are repeated in updates for this time after a change, in case updates are lost. */
const COUNTS_REPEAT_MS = 2_500;
/** Most outcomes taken from one update of a peer; more would not change the detector's decision. */
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

  function feedDetector(serverId: ServerId, route: string, added: CallCounts, nowMs: number): void {
    const results = added.successes + added.failures;
    if (results <= 0) return;
    const slownessRatio = added.slownessSum / results;
    const taken = Math.min(RESULTS_PER_UPDATE_MAX, results);
    const failureRatio = added.failures / results;
    for (let no = 1; no <= taken; no += 1) {
      // Spreads the failures evenly over the outcomes, because the counts do not give their order.
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
      const peer = isKnown ? known : { incarnationId, byKey: new Map<string, CallCounts>() };
      peers.set(hostId, peer);
      // The detector compares a server with its peers, so outcomes of healthy servers come first.
      const ordered = [...counts].sort((a, b) => a.failures - b.failures);
      ordered.forEach((count) => {
        const key = keyOf(count.serverId, count.route);
        const before = peer.byKey.get(key) ?? noCounts(count.serverId, count.route);
        peer.byKey.set(key, count);
        // Outcomes counted before a peer's first update may be old, so only increments are used.
        if (isKnown) feedDetector(count.serverId, count.route, subtract(count, before), nowMs);
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
