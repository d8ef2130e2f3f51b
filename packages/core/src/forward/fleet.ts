import { createOutlierDetector } from '../route/outlier-detector';
import type { OutlierDetector } from '../route/outlier-detector';
import type { FailureDomain, RequestId, ServerId, ServiceName } from '../ids';
import type { RouterLoad } from './peers';
import type { ForwardServer } from './types';

/** Load as a server reports it, of all callers together. */
export interface ServerLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/**
 * How a server failed. 'refused': no connection; 'silent': a running exchange stood still; 'reset': an
 * exchange broke off; 'misdirected': another process has the address; 'unread': a prompt was not read
 * in time, which an engine with many prompts does as well as a dead one, so it is avoided but not
 * taken as lost.
 */
export type ServerFailure = 'refused' | 'silent' | 'reset' | 'misdirected' | 'unread';

/** A prompt that a server reads for this process. */
interface Prefill {
  readonly tokens: number;
  readonly sentAtMs: number;
}

/** What this process believes of one server. */
export interface ServerState {
  server: ForwardServer;
  /** Own requests at the server. */
  ownRunning: number;
  /** Prompts that are not read yet, in the order of their sends. */
  readonly prefills: Map<RequestId, Prefill>;
  /** When the last prompt was read. */
  lastPrefillEndMs: number;
  /** Tokens of own streams that run there, or of which it keeps a copy. */
  ownTokens: number;
  ownCopies: number;
  report: (ServerLoadReport & { readonly atMs: number; readonly ownRunning: number }) | undefined;
  avoidUntilMs: number;
  consecutiveFailures: number;
  /** Another process has the address: the entry names nothing until it changes. */
  isReplaced: boolean;
  lastFailure: { readonly kind: ServerFailure; readonly atMs: number } | undefined;
  /** First failure since the last sign of life. */
  lostAtMs: number | undefined;
  lastReceivedAtMs: number;
}

export interface FleetChange {
  readonly added: readonly ForwardServer[];
  readonly removed: readonly ForwardServer[];
  readonly leaving: readonly ForwardServer[];
  readonly restarted: readonly ForwardServer[];
}

/** Beliefs about all backend servers, from the list and from own and peers' requests. */
export interface Fleet {
  readonly setServers: (servers: readonly ForwardServer[]) => FleetChange;
  readonly get: (serverId: ServerId) => ServerState | undefined;
  /** Servers of a service that may get new requests. */
  readonly usable: (service: ServiceName) => readonly ServerState[];
  /** Listed servers of all services. */
  readonly serverCount: () => number;
  readonly onLoadReport: (serverId: ServerId, load: ServerLoadReport, nowMs: number) => void;
  readonly onSent: (
    serverId: ServerId,
    requestId: RequestId,
    tokens: number,
    nowMs: number,
  ) => void;
  readonly onFirstEvent: (serverId: ServerId, requestId: RequestId, nowMs: number) => void;
  readonly onEnd: (serverId: ServerId, requestId: RequestId, tokens: number) => void;
  readonly onCopy: (serverId: ServerId, tokens: number, delta: 1 | -1) => void;
  /** Bytes arrived from the server. */
  readonly onBytesReceived: (serverId: ServerId, nowMs: number) => void;
  readonly onFailure: (serverId: ServerId, failure: ServerFailure, nowMs: number) => FailureEffect;
  /** Another router lost the server; undefined if that changes nothing here. */
  readonly onPeerFailure: (
    serverId: ServerId,
    failure: ServerFailure,
    atMs: number,
  ) => FailureEffect | undefined;
  /** What this router has at each server. */
  readonly ownLoads: (nowMs: number, prefillMsPerToken: number) => RouterLoad[];
  /** Whether enough servers of the service are neither avoided nor doubted. */
  readonly hasSpareCapacity: (service: ServiceName, nowMs: number) => boolean;
  /** Whether many servers of the domain were lost together, and this one gave no sign since. */
  readonly isSuspected: (belief: ServerState, nowMs: number) => boolean;
  readonly outlierDetector: OutlierDetector;
}

/** What a failure changed beyond the server itself. */
export interface FailureEffect {
  readonly avoidMs: number;
  /** Set when this failure makes the whole failure domain doubtful. */
  readonly suspectedDomain: FailureDomain | undefined;
}

/** Failures of servers of one domain within this time count as one event. */
const DOMAIN_FAILURE_WINDOW_MS = 1_500;
/** Part of a domain's servers that have to fail together before the rest are doubted. */
const DOMAIN_SUSPECT_RATIO = 0.3;
const DOMAIN_SUSPECT_MIN = 2;
const SUSPICION_MS = 2_000;
/** Prompts are only moved on doubt while at least this part of the servers could take them. */
const SPARE_CAPACITY_RATIO = 0.4;
/** First time for which a server is avoided after each kind of failure; it doubles. */
const AVOID_MS: Readonly<Record<ServerFailure, number>> = {
  refused: 700,
  silent: 1_500,
  reset: 400,
  misdirected: 3_000,
  unread: 1_500,
};
const AVOID_MAX_MS = 5_000;
/** Routes learn on their own whether a server is slow; at most this part of a service is ejected. */
const EJECTED_MAX_RATIO = 0.4;

export function createFleet(): Fleet {
  const beliefs = new Map<ServerId, ServerState>();
  const byService = new Map<ServiceName, ServerState[]>();
  const doubts = new Map<string, number>();
  const outlierDetector = createOutlierDetector({ ejectedMaxRatio: () => EJECTED_MAX_RATIO });

  function index(): void {
    byService.clear();
    beliefs.forEach((belief) => {
      const list = byService.get(belief.server.service);
      if (list === undefined) byService.set(belief.server.service, [belief]);
      else list.push(belief);
    });
    byService.forEach((list, service) =>
      outlierDetector.setServers(
        service,
        list.map(({ server }) => server.serverId),
      ),
    );
  }

  function setServers(servers: readonly ForwardServer[]): FleetChange {
    const added: ForwardServer[] = [];
    const leaving: ForwardServer[] = [];
    const restarted: ForwardServer[] = [];
    const listed = new Set(servers.map(({ serverId }) => serverId));
    servers.forEach((server) => {
      const known = beliefs.get(server.serverId);
      if (known === undefined) {
        beliefs.set(server.serverId, createServerState(server));
        added.push(server);
        return;
      }
      if (isRestart(known.server, server)) {
        beliefs.set(server.serverId, createServerState(server));
        restarted.push(server);
        return;
      }
      if (server.isLeaving && !known.server.isLeaving) leaving.push(server);
      known.server = server;
    });
    const removed: ForwardServer[] = [];
    beliefs.forEach(({ server }, serverId) => {
      if (listed.has(serverId)) return;
      beliefs.delete(serverId);
      removed.push(server);
    });
    index();
    return { added, removed, leaving, restarted };
  }

  function domainServers(server: ForwardServer): ServerState[] {
    const list = byService.get(server.service) ?? [];
    return list.filter((other) => other.server.failureDomain === server.failureDomain);
  }

  /** Notes a lost domain once enough of its servers failed together. */
  function noteDomain(server: ForwardServer, nowMs: number): FailureDomain | undefined {
    const servers = domainServers(server);
    const lost = servers.filter(
      ({ lostAtMs }) => lostAtMs !== undefined && nowMs - lostAtMs <= DOMAIN_FAILURE_WINDOW_MS,
    );
    const needed = Math.max(DOMAIN_SUSPECT_MIN, Math.ceil(servers.length * DOMAIN_SUSPECT_RATIO));
    if (lost.length < needed) return undefined;
    const key = domainKey(server);
    const isNew = nowMs - (doubts.get(key) ?? -Infinity) > SUSPICION_MS;
    doubts.set(key, nowMs);
    return isNew ? server.failureDomain : undefined;
  }

  /** A server that fails again and again is one loss, and one that was replaced is none. */
  function noteLost(belief: ServerState, failure: ServerFailure, atMs: number): void {
    if (failure === 'misdirected') belief.isReplaced = true;
    else if (failure !== 'unread') belief.lostAtMs ??= atMs;
  }

  function onFailure(serverId: ServerId, failure: ServerFailure, nowMs: number): FailureEffect {
    const belief = beliefs.get(serverId);
    if (belief === undefined) return { avoidMs: 0, suspectedDomain: undefined };
    // Requests that were on the way together fail together: they are one failure.
    const isRepeat = belief.lastFailure !== undefined && nowMs < belief.avoidUntilMs;
    if (!isRepeat) belief.consecutiveFailures += 1;
    belief.lastFailure = { kind: failure, atMs: nowMs };
    noteLost(belief, failure, nowMs);
    const doubling = 2 ** Math.min(4, Math.max(0, belief.consecutiveFailures - 1));
    const avoidMs = Math.min(AVOID_MAX_MS, AVOID_MS[failure] * doubling);
    belief.avoidUntilMs = Math.max(belief.avoidUntilMs, nowMs + avoidMs);
    return { avoidMs, suspectedDomain: noteDomain(belief.server, nowMs) };
  }

  /** A sign of life that is newer than the peer's loss outweighs it. */
  function onPeerFailure(
    serverId: ServerId,
    failure: ServerFailure,
    atMs: number,
  ): FailureEffect | undefined {
    const belief = beliefs.get(serverId);
    if (belief === undefined || belief.lastReceivedAtMs > atMs) return undefined;
    if (belief.lastFailure !== undefined && belief.lastFailure.atMs >= atMs) return undefined;
    belief.lastFailure = { kind: failure, atMs };
    noteLost(belief, failure, atMs);
    const avoidMs = AVOID_MS[failure];
    belief.avoidUntilMs = Math.max(belief.avoidUntilMs, atMs + avoidMs);
    return { avoidMs, suspectedDomain: noteDomain(belief.server, atMs) };
  }

  function ownLoads(nowMs: number, prefillMsPerToken: number): RouterLoad[] {
    const loads: RouterLoad[] = [];
    beliefs.forEach((belief, serverId) => {
      if (belief.ownRunning === 0 && belief.ownCopies === 0) return;
      loads.push({
        serverId,
        running: belief.ownRunning,
        prefillMs: remainingPrefillMs(belief, nowMs, prefillMsPerToken),
        copies: belief.ownCopies,
        tokens: belief.ownTokens,
      });
    });
    return loads;
  }

  function isSuspected(belief: ServerState, nowMs: number): boolean {
    const sinceMs = doubts.get(domainKey(belief.server));
    if (sinceMs === undefined || nowMs - sinceMs > SUSPICION_MS) return false;
    return belief.lastReceivedAtMs <= sinceMs;
  }

  return {
    setServers,
    onPeerFailure,
    ownLoads,
    get: (serverId) => beliefs.get(serverId),
    usable: (service) =>
      (byService.get(service) ?? []).filter(
        ({ server, isReplaced }) => !server.isLeaving && !isReplaced,
      ),
    serverCount: () => beliefs.size,
    onLoadReport: (serverId, load, nowMs) => {
      const belief = beliefs.get(serverId);
      if (belief === undefined) return;
      belief.report = { ...load, atMs: nowMs, ownRunning: belief.ownRunning };
    },
    onSent: (serverId, requestId, tokens, nowMs) => {
      const belief = beliefs.get(serverId);
      if (belief === undefined) return;
      belief.ownRunning += 1;
      belief.ownTokens += tokens;
      if (tokens > 0) belief.prefills.set(requestId, { tokens, sentAtMs: nowMs });
    },
    onFirstEvent: (serverId, requestId, nowMs) => {
      const belief = beliefs.get(serverId);
      if (belief?.prefills.delete(requestId) === true) belief.lastPrefillEndMs = nowMs;
    },
    onEnd: (serverId, requestId, tokens) => {
      const belief = beliefs.get(serverId);
      if (belief === undefined) return;
      belief.prefills.delete(requestId);
      belief.ownRunning = Math.max(0, belief.ownRunning - 1);
      belief.ownTokens = Math.max(0, belief.ownTokens - tokens);
    },
    onCopy: (serverId, tokens, delta) => {
      const belief = beliefs.get(serverId);
      if (belief === undefined) return;
      belief.ownCopies = Math.max(0, belief.ownCopies + delta);
      belief.ownTokens = Math.max(0, belief.ownTokens + delta * tokens);
    },
    onBytesReceived: (serverId, nowMs) => {
      const belief = beliefs.get(serverId);
      if (belief === undefined) return;
      belief.lastReceivedAtMs = nowMs;
      belief.lostAtMs = undefined;
      if (belief.avoidUntilMs > nowMs && belief.lastFailure?.kind !== 'reset') return;
      belief.consecutiveFailures = 0;
      belief.avoidUntilMs = 0;
    },
    onFailure,
    hasSpareCapacity: (service, nowMs) => {
      const all = byService.get(service) ?? [];
      const spare = all.filter(
        (belief) =>
          !belief.isReplaced &&
          !belief.server.isLeaving &&
          belief.avoidUntilMs <= nowMs &&
          !isSuspected(belief, nowMs),
      );
      return spare.length >= all.length * SPARE_CAPACITY_RATIO;
    },
    isSuspected,
    outlierDetector,
  };
}

/**
 * Time until a server has read the prompts that this router sent it. An engine reads one prompt
 * after the other.
 */
export function remainingPrefillMs(
  belief: ServerState,
  nowMs: number,
  prefillMsPerToken: number,
): number {
  let readAtMs = belief.lastPrefillEndMs;
  belief.prefills.forEach(({ tokens, sentAtMs }) => {
    readAtMs = Math.max(readAtMs, sentAtMs) + tokens * prefillMsPerToken;
  });
  return belief.prefills.size === 0 ? 0 : Math.max(0, readAtMs - nowMs);
}

function createServerState(server: ForwardServer): ServerState {
  return {
    server,
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

function isRestart(before: ForwardServer, after: ForwardServer): boolean {
  if (before.address !== after.address) return true;
  if (before.startedAtMs === undefined || after.startedAtMs === undefined) return false;
  return before.startedAtMs !== after.startedAtMs;
}

function domainKey(server: ForwardServer): string {
  return `${server.service}\u0000${server.failureDomain}`;
}
