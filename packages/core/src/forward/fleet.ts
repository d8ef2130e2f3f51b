import { createServerLimits } from '../limit/server-limits';
import { createOutlierDetector } from '../route/outlier-detector';
import { createServerNotices, isRestart } from './server-notices';
import { createServerPace } from './server-pace';
import type { OutlierDetector } from '../route/outlier-detector';
import type { FailureDomain, RequestId, ServerId, ServiceName } from '../ids';
import type { LimitClaim, ServerLimits } from '../limit/server-limits';
import type { RouterLoad } from './peers';
import type { ServerPace } from './server-pace';
import type { ForwardServer } from './types';

/** Load that a server reports about itself: the requests of all its callers. */
export interface ServerLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there at this moment, in percent of the usual time; undefined if not stated. */
  readonly workTimePercent?: number | undefined;
}

/**
 * How a server failed. 'refused': no connection; 'silent': a response stopped making progress;
 * 'reset': a connection broke during an exchange; 'misdirected': another process listens at the
 * address; 'unread': the first event was late. A long queue of prompts also delays the first event,
 * so an 'unread' engine is avoided but does not count as lost.
 */
export type ServerFailure = 'refused' | 'silent' | 'reset' | 'misdirected' | 'unread';

/** A prompt that this process sent to an engine and that has no first event yet. */
interface Prefill {
  readonly tokens: number;
  readonly sentAtMs: number;
}

/** State of one server as this process knows it. */
export interface ServerState {
  server: ForwardServer;
  /** When this process learned, by the list or an answer, that the server is leaving. */
  leavingSinceMs: number | undefined;
  /** Requests of this router that the server runs. */
  ownRunning: number;
  /** Pending prefills in the order in which they were sent. */
  readonly prefills: Map<RequestId, Prefill>;
  /** When the last prefill of this router ended. */
  lastPrefillEndMs: number;
  /** KV cache that this router's streams need there, and their copies there, in tokens. */
  ownTokens: number;
  ownCopies: number;
  report: (ServerLoadReport & { readonly atMs: number; readonly ownRunning: number }) | undefined;
  avoidUntilMs: number;
  consecutiveFailures: number;
  /**
   * Another process listens at the address; the server is not used until its list entry changes.
   */
  isReplaced: boolean;
  lastFailure: { readonly kind: ServerFailure; readonly atMs: number } | undefined;
  /** First failure since bytes last arrived from the server. */
  lostAtMs: number | undefined;
  lastReceivedAtMs: number;
}

export interface FleetChange {
  readonly added: readonly ForwardServer[];
  readonly removed: readonly ForwardServer[];
  readonly leaving: readonly ForwardServer[];
  /** Servers that were listed as leaving and are listed as ready again. */
  readonly returned: readonly ForwardServer[];
  readonly restarted: readonly ForwardServer[];
}

/** State of all listed backend servers, from the requests of this router and of its peers. */
export interface Fleet {
  readonly setServers: (servers: readonly ForwardServer[], nowMs: number) => FleetChange;
  readonly get: (serverId: ServerId) => ServerState | undefined;
  /** All servers of a service, also those that are leaving or replaced. */
  readonly listed: (service: ServiceName) => readonly ServerState[];
  /** Servers of a service that are neither leaving nor replaced by another process. */
  readonly usable: (service: ServiceName) => readonly ServerState[];
  /** Those of the usable servers that take the request, by the limits and pauses they named. */
  readonly withRoom: (
    service: ServiceName,
    claim: LimitClaim,
    nowMs: number,
  ) => readonly ServerState[];
  /** Time until a usable server of the service may take a new request; 0 if one may now. */
  readonly roomInMs: (service: ServiceName, nowMs: number) => number;
  /** Number of listed servers of all services. */
  readonly serverCount: () => number;
  /**
   * The server says in an answer that it is leaving, which holds until its process starts anew; true
   * if that is news.
   */
  readonly onLeaving: (server: ForwardServer, nowMs: number) => boolean;
  /**
   * The server wants no requests of this router for so long, of its process as it is; true if it
   * took requests until now.
   */
  readonly onPause: (server: ForwardServer, pauseMs: number, nowMs: number) => boolean;
  /** Whether the server wants no requests of this router now. */
  readonly isPaused: (state: ServerState, nowMs: number) => boolean;
  readonly onLoadReport: (serverId: ServerId, load: ServerLoadReport, nowMs: number) => void;
  readonly onSent: (
    serverId: ServerId,
    requestId: RequestId,
    /** Prompt tokens that the server has to read. */
    tokens: number,
    nowMs: number,
    /** KV cache that the run will need there; the prompt alone by default. */
    memoryTokens?: number,
  ) => void;
  readonly onFirstEvent: (serverId: ServerId, requestId: RequestId, nowMs: number) => void;
  /** `memoryTokens` as they were given to `onSent`. */
  readonly onEnd: (serverId: ServerId, requestId: RequestId, memoryTokens: number) => void;
  readonly onCopy: (serverId: ServerId, tokens: number, delta: 1 | -1) => void;
  /** Bytes arrived from the server. */
  readonly onBytesReceived: (serverId: ServerId, nowMs: number) => void;
  readonly onFailure: (serverId: ServerId, failure: ServerFailure, nowMs: number) => FailureEffect;
  /** Another router reported the failure; undefined if newer information overrides it. */
  readonly onPeerFailure: (
    serverId: ServerId,
    failure: ServerFailure,
    atMs: number,
  ) => FailureEffect | undefined;
  /** Load that this router puts on each server. */
  readonly ownLoads: (nowMs: number, prefillMsPerToken: number) => RouterLoad[];
  /** Whether enough servers of the service are neither avoided nor suspected. */
  readonly hasSpareCapacity: (service: ServiceName, nowMs: number) => boolean;
  /**
   * Whether many servers of its failure domain were lost together and it has sent nothing since.
   */
  readonly isSuspected: (state: ServerState, nowMs: number) => boolean;
  readonly outlierDetector: OutlierDetector;
  readonly pace: ServerPace;
  /**
   * Time until an engine has done the prefills of this router, at the engine's pace where the service
   * states one.
   */
  readonly prefillLeftMs: (state: ServerState, nowMs: number, usualMsPerToken: number) => number;
  /** Limits that servers name for the requests of all routers together. */
  readonly limits: ServerLimits;
}

/** Consequences of a server's failure. */
export interface FailureEffect {
  /** Time for which the server is avoided. */
  readonly avoidMs: number;
  /** Set when this failure makes its whole failure domain suspected. */
  readonly suspectedDomain: FailureDomain | undefined;
}

/** Servers of one failure domain that are lost within this time count as lost together. */
const DOMAIN_FAILURE_WINDOW_MS = 1_500;
/**
 * Part of a failure domain's servers that must be lost together before the others are suspected.
 */
const DOMAIN_SUSPECT_RATIO = 0.3;
const DOMAIN_SUSPECT_MIN = 2;
/** Time for which a failure domain stays suspected. */
const SUSPICION_MS = 2_000;
/**
 * Streams leave a suspected engine only while at least this part of the service's servers can take
 * them.
 */
const SPARE_CAPACITY_RATIO = 0.4;
/** Time for which a server is avoided after its first failure; each further failure doubles it. */
const AVOID_MS: Readonly<Record<ServerFailure, number>> = {
  refused: 700,
  silent: 1_500,
  reset: 400,
  misdirected: 3_000,
  unread: 1_500,
};
const AVOID_MAX_MS = 5_000;
/** Outlier detection works per route; at most this part of a service's servers is ejected. */
const EJECTED_MAX_RATIO = 0.4;

export function createFleet(): Fleet {
  const states = new Map<ServerId, ServerState>();
  const byService = new Map<ServiceName, ServerState[]>();
  const byDomain = new Map<ServiceName, Map<FailureDomain, ServerState[]>>();
  /** The usable ones of `byService`, made anew after a change of the servers or of their usability. */
  const usableByService = new Map<ServiceName, readonly ServerState[]>();
  const suspectedAtMsByService = new Map<ServiceName, Map<FailureDomain, number>>();
  const limits = createServerLimits();
  const notices = createServerNotices();
  const pace = createServerPace();
  const outlierDetector = createOutlierDetector({ ejectedMaxRatio: () => EJECTED_MAX_RATIO });

  function rebuildIndex(): void {
    byService.clear();
    byDomain.clear();
    usableByService.clear();
    states.forEach((state) => {
      const { service, failureDomain } = state.server;
      addTo(byService, service, state);
      const domains = byDomain.get(service) ?? new Map<FailureDomain, ServerState[]>();
      byDomain.set(service, domains);
      addTo(domains, failureDomain, state);
    });
    byService.forEach((list, service) =>
      outlierDetector.setServers(
        service,
        list.map(({ server }) => server.serverId),
      ),
    );
  }

  /** When the server was found to be leaving: by its own answer, or by its entry at `listedAtMs`. */
  function leavingSinceMs(server: ForwardServer, listedAtMs: number): number | undefined {
    return notices.leavingSinceMs(server) ?? (server.isLeaving ? listedAtMs : undefined);
  }

  function setServers(servers: readonly ForwardServer[], nowMs: number): FleetChange {
    const added: ForwardServer[] = [];
    const leaving: ForwardServer[] = [];
    const returned: ForwardServer[] = [];
    const restarted: ForwardServer[] = [];
    const listed = new Set(servers.map(({ serverId }) => serverId));
    notices.onListed(listed, nowMs);
    servers.forEach((server) => {
      const known = states.get(server.serverId);
      if (known === undefined) {
        states.set(server.serverId, createServerState(server, leavingSinceMs(server, nowMs)));
        added.push(server);
        return;
      }
      if (isRestart(known.server, server)) {
        states.set(server.serverId, createServerState(server, leavingSinceMs(server, nowMs)));
        limits.forget(server.serverId);
        pace.forget(server.serverId);
        restarted.push(server);
        return;
      }
      const wasLeaving = known.leavingSinceMs !== undefined;
      known.server = server;
      known.leavingSinceMs = leavingSinceMs(server, known.leavingSinceMs ?? nowMs);
      const isLeaving = known.leavingSinceMs !== undefined;
      if (isLeaving && !wasLeaving) leaving.push(server);
      if (!isLeaving && wasLeaving) returned.push(server);
    });
    const removed: ForwardServer[] = [];
    states.forEach(({ server }, serverId) => {
      if (listed.has(serverId)) return;
      states.delete(serverId);
      limits.forget(serverId);
      pace.forget(serverId);
      removed.push(server);
    });
    rebuildIndex();
    return { added, removed, leaving, returned, restarted };
  }

  function usable(service: ServiceName): readonly ServerState[] {
    const known = usableByService.get(service);
    if (known !== undefined) return known;
    const made = (byService.get(service) ?? []).filter(
      (state) => state.leavingSinceMs === undefined && !state.isReplaced,
    );
    usableByService.set(service, made);
    return made;
  }

  function withRoom(
    service: ServiceName,
    claim: LimitClaim,
    nowMs: number,
  ): readonly ServerState[] {
    // Most servers never name a limit or a pause.
    if (!limits.hasAny() && !notices.hasPause(nowMs)) return usable(service);
    return usable(service).filter(
      (state) => !isPaused(state, nowMs) && limits.hasRoom(state.server.serverId, claim, nowMs),
    );
  }

  function isPaused({ server }: ServerState, nowMs: number): boolean {
    return notices.pauseLeftMs(server, nowMs) > 0;
  }

  function roomInMs(service: ServiceName, nowMs: number): number {
    const waitsMs = usable(service).map(({ server }) =>
      Math.max(limits.roomInMs([server.serverId], nowMs), notices.pauseLeftMs(server, nowMs)),
    );
    return Math.min(...waitsMs);
  }

  /** Marks the failure domain as suspected once enough of its servers were lost together. */
  function updateDomainSuspicion(server: ForwardServer, nowMs: number): FailureDomain | undefined {
    const servers = byDomain.get(server.service)?.get(server.failureDomain) ?? [];
    const lost = servers.filter(
      ({ lostAtMs }) => lostAtMs !== undefined && nowMs - lostAtMs <= DOMAIN_FAILURE_WINDOW_MS,
    );
    const needed = Math.max(DOMAIN_SUSPECT_MIN, Math.ceil(servers.length * DOMAIN_SUSPECT_RATIO));
    if (lost.length < needed) return undefined;
    const suspected =
      suspectedAtMsByService.get(server.service) ?? new Map<FailureDomain, number>();
    suspectedAtMsByService.set(server.service, suspected);
    const isNew = nowMs - (suspected.get(server.failureDomain) ?? -Infinity) > SUSPICION_MS;
    suspected.set(server.failureDomain, nowMs);
    return isNew ? server.failureDomain : undefined;
  }

  /**
   * Repeated failures of a server count as one loss; a replaced or merely late server is not lost.
   */
  function markLost(state: ServerState, failure: ServerFailure, atMs: number): void {
    if (failure === 'misdirected') {
      state.isReplaced = true;
      usableByService.delete(state.server.service);
    } else if (failure !== 'unread') state.lostAtMs ??= atMs;
  }

  function onFailure(serverId: ServerId, failure: ServerFailure, nowMs: number): FailureEffect {
    const state = states.get(serverId);
    if (state === undefined) return { avoidMs: 0, suspectedDomain: undefined };
    // Concurrent requests fail together and count as one failure.
    const isRepeat = state.lastFailure !== undefined && nowMs < state.avoidUntilMs;
    if (!isRepeat) state.consecutiveFailures += 1;
    state.lastFailure = { kind: failure, atMs: nowMs };
    markLost(state, failure, nowMs);
    const doubling = 2 ** Math.min(4, Math.max(0, state.consecutiveFailures - 1));
    const avoidMs = Math.min(AVOID_MAX_MS, AVOID_MS[failure] * doubling);
    state.avoidUntilMs = Math.max(state.avoidUntilMs, nowMs + avoidMs);
    return { avoidMs, suspectedDomain: updateDomainSuspicion(state.server, nowMs) };
  }

  /** Ignores a peer's report if bytes arrived, or the server failed here, after that failure. */
  function onPeerFailure(
    serverId: ServerId,
    failure: ServerFailure,
    atMs: number,
  ): FailureEffect | undefined {
    const state = states.get(serverId);
    if (state === undefined || state.lastReceivedAtMs > atMs) return undefined;
    if (state.lastFailure !== undefined && state.lastFailure.atMs >= atMs) return undefined;
    state.lastFailure = { kind: failure, atMs };
    markLost(state, failure, atMs);
    const avoidMs = AVOID_MS[failure];
    state.avoidUntilMs = Math.max(state.avoidUntilMs, atMs + avoidMs);
    return { avoidMs, suspectedDomain: updateDomainSuspicion(state.server, atMs) };
  }

  /**
   * An engine that states its pace and is late has a queue or is slow, so it is expected to need as long
   * again as it is late, at most the time of the prompts.
   */
  function prefillLeftMs(state: ServerState, nowMs: number, usualMsPerToken: number): number {
    if (state.prefills.size === 0) return 0;
    const { serverId, service } = state.server;
    const isPaced = pace.isStated(service);
    const msPerToken = isPaced
      ? usualMsPerToken * pace.paceRatio(serverId, nowMs)
      : usualMsPerToken;
    const { endAtMs, readingMs } = expectedPrefills(state, msPerToken);
    if (endAtMs >= nowMs) return endAtMs - nowMs;
    return isPaced ? Math.min(readingMs, nowMs - endAtMs) : 0;
  }

  function ownLoads(nowMs: number, prefillMsPerToken: number): RouterLoad[] {
    const loads: RouterLoad[] = [];
    states.forEach((state, serverId) => {
      if (state.ownRunning === 0 && state.ownCopies === 0) return;
      loads.push({
        serverId,
        running: state.ownRunning,
        prefillMs: prefillLeftMs(state, nowMs, prefillMsPerToken),
        copies: state.ownCopies,
        tokens: state.ownTokens,
      });
    });
    return loads;
  }

  function isSuspected(state: ServerState, nowMs: number): boolean {
    const { service, failureDomain } = state.server;
    const suspectedAtMs = suspectedAtMsByService.get(service)?.get(failureDomain);
    if (suspectedAtMs === undefined || nowMs - suspectedAtMs > SUSPICION_MS) return false;
    return state.lastReceivedAtMs <= suspectedAtMs;
  }

  return {
    setServers,
    onPeerFailure,
    ownLoads,
    get: (serverId) => states.get(serverId),
    listed: (service) => byService.get(service) ?? [],
    usable,
    withRoom,
    roomInMs,
    serverCount: () => states.size,
    onLeaving: (server, nowMs) => {
      if (!notices.onLeaving(server, nowMs)) return false;
      const state = states.get(server.serverId);
      // The answer may be of an earlier start of the server's process.
      if (state === undefined || isRestart(server, state.server)) return false;
      if (state.leavingSinceMs !== undefined) return false;
      state.leavingSinceMs = nowMs;
      usableByService.delete(state.server.service);
      return true;
    },
    onPause: (server, pauseMs, nowMs) => {
      const wasPaused = notices.pauseLeftMs(server, nowMs) > 0;
      notices.onPause(server, nowMs + pauseMs, nowMs);
      return !wasPaused;
    },
    isPaused,
    onLoadReport: (serverId, load, nowMs) => {
      const state = states.get(serverId);
      if (state === undefined) return;
      state.report = { ...load, atMs: nowMs, ownRunning: state.ownRunning };
      pace.onReport(state.server, load.workTimePercent, nowMs);
    },
    onSent: (serverId, requestId, tokens, nowMs, memoryTokens = tokens) => {
      const state = states.get(serverId);
      if (state === undefined) return;
      state.ownRunning += 1;
      state.ownTokens += memoryTokens;
      if (tokens > 0) state.prefills.set(requestId, { tokens, sentAtMs: nowMs });
    },
    onFirstEvent: (serverId, requestId, nowMs) => {
      const state = states.get(serverId);
      if (state?.prefills.delete(requestId) === true) state.lastPrefillEndMs = nowMs;
    },
    onEnd: (serverId, requestId, memoryTokens) => {
      const state = states.get(serverId);
      if (state === undefined) return;
      state.prefills.delete(requestId);
      state.ownRunning = Math.max(0, state.ownRunning - 1);
      state.ownTokens = Math.max(0, state.ownTokens - memoryTokens);
    },
    onCopy: (serverId, tokens, delta) => {
      const state = states.get(serverId);
      if (state === undefined) return;
      state.ownCopies = Math.max(0, state.ownCopies + delta);
      state.ownTokens = Math.max(0, state.ownTokens + delta * tokens);
    },
    onBytesReceived: (serverId, nowMs) => {
      const state = states.get(serverId);
      if (state === undefined) return;
      state.lastReceivedAtMs = nowMs;
      state.lostAtMs = undefined;
      if (state.avoidUntilMs > nowMs && state.lastFailure?.kind !== 'reset') return;
      state.consecutiveFailures = 0;
      state.avoidUntilMs = 0;
    },
    onFailure,
    hasSpareCapacity: (service, nowMs) => {
      const all = byService.get(service) ?? [];
      const spare = all.filter(
        (state) =>
          !state.isReplaced &&
          state.leavingSinceMs === undefined &&
          state.avoidUntilMs <= nowMs &&
          !isPaused(state, nowMs) &&
          !isSuspected(state, nowMs),
      );
      return spare.length >= all.length * SPARE_CAPACITY_RATIO;
    },
    isSuspected,
    outlierDetector,
    pace,
    prefillLeftMs,
    limits,
  };
}

/** An engine does the prefills of this router one after the other: when the last ends, and their sum. */
function expectedPrefills(
  state: ServerState,
  msPerToken: number,
): { readonly endAtMs: number; readonly readingMs: number } {
  let endAtMs = state.lastPrefillEndMs;
  let readingMs = 0;
  state.prefills.forEach(({ tokens, sentAtMs }) => {
    endAtMs = Math.max(endAtMs, sentAtMs) + tokens * msPerToken;
    readingMs += tokens * msPerToken;
  });
  return { endAtMs, readingMs };
}

function addTo<K>(lists: Map<K, ServerState[]>, key: K, state: ServerState): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [state]);
  else list.push(state);
}

function createServerState(server: ForwardServer, leavingSinceMs: number | undefined): ServerState {
  return {
    server,
    leavingSinceMs,
    ownRunning: 0,
    prefills: new Map(),
    lastPrefillEndMs: -Infinity,
    ownTokens: 0,
    ownCopies: 0,
    report: undefined,
    avoidUntilMs: 0,
    consecutiveFailures: 0,
    isReplaced: false,
    lastFailure: undefined,
    lostAtMs: undefined,
    lastReceivedAtMs: -Infinity,
  };
}
