import type { HostId, ServerId, ServiceName } from '../ids';

/** What one router tells the others about a server that has named a limit. */
export interface ServerLimitReport {
  readonly serverId: ServerId;
  /** What the server last said to this router; undefined if it has not said anything recently. */
  readonly named: NamedLimit | undefined;
  /** Requests that the router sent to the server, by their age in steps of `AGE_STEP_MS`. */
  readonly sentByAge: readonly number[];
}

/** Requests that a router could have sent to servers with limits of a service within the window. */
export interface LimitedDemand {
  readonly service: ServiceName;
  readonly requests: number;
}

/** What one router tells the others; short, since each message goes to all of them. */
export interface LimitReports {
  readonly servers: readonly ServerLimitReport[];
  readonly demands: readonly LimitedDemand[];
}

/** What a request claims of a server's limit. */
export interface LimitClaim {
  readonly service: ServiceName;
  /**
   * Random number from 0 to 1, drawn once a request. A server near its limit takes only requests with
   * a low one: other routers see the same room at the same time, and each would use it.
   */
  readonly draw: number;
  /** The request is a stream that has lost its engine. */
  readonly isFailover: boolean;
}

/** What a server said about its limit; `requestsPerSec` is undefined if it named none any more. */
export interface NamedLimit {
  readonly requestsPerSec: number | undefined;
  readonly ageMs: number;
}

/** A limit that was named, changed or ended. */
export interface LimitChange {
  readonly serverId: ServerId;
  readonly requestsPerSec: number | undefined;
}

/**
 * Keeps the routers together within the limits that servers name for all of them. Each router counts
 * its own requests to such a server and the others' by their reports.
 */
export interface ServerLimits {
  /** An answer of the server names this limit, or none. */
  readonly onAnswer: (
    serverId: ServerId,
    requestsPerSec: number | undefined,
    nowMs: number,
  ) => LimitChange | undefined;
  /** The latest reports of another router, which replace its earlier ones. */
  readonly onPeerReports: (
    hostId: HostId,
    reports: LimitReports,
    nowMs: number,
  ) => readonly LimitChange[];
  /** A request is sent to the server; true if the others should soon know, because it has a limit. */
  readonly onSent: (serverId: ServerId, nowMs: number) => boolean;
  /** A request of this router could be sent to any of these servers of the service. */
  readonly onWanted: (service: ServiceName, serverIds: readonly ServerId[], nowMs: number) => void;
  /** Whether any server may have a limit. */
  readonly hasAny: () => boolean;
  /** Whether the request may be sent to the server. */
  readonly hasRoom: (serverId: ServerId, claim: LimitClaim, nowMs: number) => boolean;
  /** Part of the server's limit that is used up, from 0 to 1; 0 without a limit. */
  readonly usedRatio: (serverId: ServerId, nowMs: number) => number;
  /** Time until one of the servers may have room for a new request; 0 if one may have room now. */
  readonly roomInMs: (serverIds: readonly ServerId[], nowMs: number) => number;
  readonly ownReports: (nowMs: number) => LimitReports;
  /** Number of servers with a limit. */
  readonly count: (nowMs: number) => number;
  readonly forget: (serverId: ServerId) => void;
}

/** Requests are counted over this time, short enough that a server in need gets no long bursts. */
const WINDOW_MS = 2_000;
/** Requests beyond the limit in a window, so that a slow limit admits two that come together. */
const BURST = 1;
/** Likewise, kept for streams that have lost their engine: callers have waited for them longest. */
const FAILOVER_BURST = 3;
/** Resolution of the ages of other routers' requests. */
export const AGE_STEP_MS = 250;
const AGE_STEPS = WINDOW_MS / AGE_STEP_MS;
/**
 * Time around a request in which routers do not know of each other's: the batch delay of a large fleet
 * and the network, before and after.
 */
const UNSEEN_MS = 120;
/** What a server said is repeated to the others for this time, since a datagram may be lost. */
const REPORT_REPEAT_MS = 1_500;
/** Without an answer for this time a limit no longer counts; the next answer tells. */
const LIMIT_EXPIRY_MS = 10_000;
/** Clocks and delays differ a little, so news must be newer by this much to replace a router's own. */
const NEWS_MARGIN_MS = 50;

interface LimitState {
  requestsPerSec: number | undefined;
  namedAtMs: number;
  /** When the server last told this router itself. */
  toldAtMs: number;
  /** Times of this router's requests within the window, in order. */
  sentAtMs: number[];
}

/** Requests that another router sent to a server, as of its last report that has some. */
interface PeerCounts {
  readonly atMs: number;
  readonly sentByAge: readonly number[];
}

interface PeerDemands {
  readonly atMs: number;
  readonly demands: readonly LimitedDemand[];
}

export function createServerLimits(): ServerLimits {
  const states = new Map<ServerId, LimitState>();
  const peerCounts = new Map<ServerId, Map<HostId, PeerCounts>>();
  const peerDemands = new Map<HostId, PeerDemands>();
  /** Times of this router's requests that servers with limits could have got, by service. */
  const wantedAtMs = new Map<ServiceName, number[]>();

  function stateOf(serverId: ServerId): LimitState {
    const known = states.get(serverId);
    if (known !== undefined) return known;
    const created: LimitState = {
      requestsPerSec: undefined,
      namedAtMs: -Infinity,
      toldAtMs: -Infinity,
      sentAtMs: [],
    };
    states.set(serverId, created);
    return created;
  }

  function limitOf(serverId: ServerId, nowMs: number): number | undefined {
    const state = states.get(serverId);
    if (state === undefined || nowMs - state.namedAtMs >= LIMIT_EXPIRY_MS) return undefined;
    return state.requestsPerSec;
  }

  function setNamed(
    serverId: ServerId,
    requestsPerSec: number | undefined,
    atMs: number,
  ): LimitChange | undefined {
    const state = stateOf(serverId);
    const before = limitOf(serverId, atMs);
    state.requestsPerSec = requestsPerSec;
    state.namedAtMs = atMs;
    return before === requestsPerSec ? undefined : { serverId, requestsPerSec };
  }

  function dropOld(state: LimitState, nowMs: number): void {
    state.sentAtMs = state.sentAtMs.filter((atMs) => nowMs - atMs < WINDOW_MS);
  }

  /** Requests that the other routers would send unseen if all their requests came to one server. */
  function unseenMax(service: ServiceName, nowMs: number): number {
    let wanted = 0;
    peerDemands.forEach(({ atMs, demands }, hostId) => {
      if (nowMs - atMs >= WINDOW_MS) peerDemands.delete(hostId);
      else wanted += demands.find((demand) => demand.service === service)?.requests ?? 0;
    });
    return (wanted / WINDOW_MS) * UNSEEN_MS;
  }

  function ownDemands(nowMs: number): LimitedDemand[] {
    return [...wantedAtMs].flatMap(([service, times]) => {
      const recent = times.filter((atMs) => nowMs - atMs < WINDOW_MS);
      wantedAtMs.set(service, recent);
      return recent.length === 0 ? [] : [{ service, requests: recent.length }];
    });
  }

  /** Times until the counted requests of all routers leave the window, in order. */
  function timesLeftMs(serverId: ServerId, nowMs: number): number[] {
    const state = stateOf(serverId);
    dropOld(state, nowMs);
    const left = state.sentAtMs.map((atMs) => atMs + WINDOW_MS - nowMs);
    const counts = peerCounts.get(serverId);
    counts?.forEach(({ atMs, sentByAge }, hostId) => {
      if (nowMs - atMs >= WINDOW_MS) counts.delete(hostId);
      sentByAge.forEach((count, step) => {
        const leftMs = WINDOW_MS - step * AGE_STEP_MS - (nowMs - atMs);
        if (leftMs > 0) for (let no = 0; no < count; no += 1) left.push(leftMs);
      });
    });
    return left.sort((a, b) => a - b);
  }

  /** Replaces what the router reported before; without reports, its requests leave the window by age. */
  function setPeerCounts(hostId: HostId, report: ServerLimitReport, atMs: number): void {
    const { serverId, sentByAge } = report;
    const counts = peerCounts.get(serverId) ?? new Map<HostId, PeerCounts>();
    peerCounts.set(serverId, counts);
    counts.set(hostId, { atMs, sentByAge });
  }

  /** Room that the server has for requests of all routers; Infinity without a limit. */
  function roomOf(serverId: ServerId, burst: number, nowMs: number): number {
    const limit = limitOf(serverId, nowMs);
    if (limit === undefined) return Infinity;
    return windowMax(limit, burst) - timesLeftMs(serverId, nowMs).length;
  }

  function hasRoom(serverId: ServerId, claim: LimitClaim, nowMs: number): boolean {
    const room = roomOf(serverId, claim.isFailover ? FAILOVER_BURST : BURST, nowMs);
    if (claim.isFailover || room === Infinity) return room > 0;
    return room > claim.draw * unseenMax(claim.service, nowMs);
  }

  /** Time until the server may have room; 0 if it may have room now. */
  function waitMs(serverId: ServerId, nowMs: number): number {
    const room = roomOf(serverId, BURST, nowMs);
    return room > 0 ? 0 : (timesLeftMs(serverId, nowMs)[-room] ?? 0);
  }

  /** Forgets servers that have named no limit for long; a report may arrive after a server has left. */
  function dropIdle(nowMs: number): void {
    states.forEach((state, serverId) => {
      dropOld(state, nowMs);
      if (nowMs - state.namedAtMs >= LIMIT_EXPIRY_MS) states.delete(serverId);
    });
    peerCounts.forEach((_, serverId) => {
      if (!states.has(serverId)) peerCounts.delete(serverId);
    });
  }

  function reportOf(serverId: ServerId, state: LimitState, nowMs: number): ServerLimitReport {
    const sentByAge = new Array<number>(AGE_STEPS).fill(0);
    state.sentAtMs.forEach((atMs) => {
      const step = Math.min(AGE_STEPS - 1, Math.floor((nowMs - atMs) / AGE_STEP_MS));
      sentByAge[step] = (sentByAge[step] ?? 0) + 1;
    });
    const { requestsPerSec, toldAtMs } = state;
    const ageMs = nowMs - toldAtMs;
    const named = ageMs < REPORT_REPEAT_MS ? { requestsPerSec, ageMs } : undefined;
    return { serverId, named, sentByAge };
  }

  return {
    onAnswer: (serverId, requestsPerSec, nowMs) => {
      // Most servers never name a limit.
      if (requestsPerSec === undefined && !states.has(serverId)) return undefined;
      const change = setNamed(serverId, requestsPerSec, nowMs);
      stateOf(serverId).toldAtMs = nowMs;
      return change;
    },
    onPeerReports: (hostId, reports, nowMs) => {
      peerDemands.set(hostId, { atMs: nowMs, demands: reports.demands });
      reports.servers.forEach((report) => setPeerCounts(hostId, report, nowMs));
      return reports.servers.flatMap(({ serverId, named }): LimitChange[] => {
        if (named === undefined) return [];
        const atMs = nowMs - named.ageMs;
        const knownAtMs = states.get(serverId)?.namedAtMs ?? -Infinity;
        if (atMs <= knownAtMs + NEWS_MARGIN_MS) return [];
        const change = setNamed(serverId, named.requestsPerSec, atMs);
        return change === undefined ? [] : [change];
      });
    },
    onSent: (serverId, nowMs) => {
      if (limitOf(serverId, nowMs) === undefined) return false;
      const state = stateOf(serverId);
      dropOld(state, nowMs);
      state.sentAtMs.push(nowMs);
      return true;
    },
    onWanted: (service, serverIds, nowMs) => {
      if (serverIds.every((serverId) => limitOf(serverId, nowMs) === undefined)) return;
      wantedAtMs.set(service, [...(wantedAtMs.get(service) ?? []), nowMs]);
    },
    hasAny: () => states.size > 0,
    hasRoom,
    usedRatio: (serverId, nowMs) => {
      const limit = limitOf(serverId, nowMs);
      if (limit === undefined) return 0;
      return Math.min(1, timesLeftMs(serverId, nowMs).length / windowMax(limit, BURST));
    },
    roomInMs: (serverIds, nowMs) =>
      Math.min(...serverIds.map((serverId) => waitMs(serverId, nowMs))),
    ownReports: (nowMs) => {
      dropIdle(nowMs);
      const servers = [...states]
        .filter(([, { sentAtMs, toldAtMs }]) => {
          return sentAtMs.length > 0 || nowMs - toldAtMs < REPORT_REPEAT_MS;
        })
        .map(([serverId, state]) => reportOf(serverId, state, nowMs));
      return { servers, demands: ownDemands(nowMs) };
    },
    count: (nowMs) =>
      [...states.keys()].filter((serverId) => limitOf(serverId, nowMs) !== undefined).length,
    forget: (serverId) => {
      states.delete(serverId);
      peerCounts.delete(serverId);
    },
  };
}

/** Most requests that all routers together may send within a window. */
function windowMax(requestsPerSec: number, burst: number): number {
  return Math.round((requestsPerSec * WINDOW_MS) / 1_000) + burst;
}
