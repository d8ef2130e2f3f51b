/**
 * Judges servers by the outcome of real requests, per route, against the other servers of the same
 * service. It serves engines and plain servers alike.
 */
export interface OutlierDetector {
  /** Servers that belong to the service; others are forgotten. */
  readonly setServers: (service: string, serverIds: readonly string[]) => void;
  readonly onResult: (serverId: string, route: string, result: ServerResult, nowMs: number) => void;
  /** False if the server's weight may be below 1 on some route. */
  readonly isFullyHealthy: (serverId: string) => boolean;
  /** Share of its normal traffic that the server gets on the route; 0 while it is ejected. */
  readonly weight: (serverId: string, route: string) => number;
  /** Claims a probe of an ejected server, at most one per probe period. */
  readonly claimProbe: (serverId: string, route: string, nowMs: number) => boolean;
  readonly ejectedCount: (service: string) => number;
  /** Number of servers ejected on the route, to skip the search for probes. */
  readonly hasEjected: (service: string) => boolean;
}

export interface ServerResult {
  readonly isSuccess: boolean;
  /** Time taken as a multiple of the time expected; undefined if it was not measured. */
  readonly slownessRatio?: number;
}

export interface OutlierDetectorSettings {
  /** Bound on the ejected part of a service's servers; read at each use, so that it may change. */
  readonly ejectedMaxRatio: (service: string) => number;
}

/** Results before a server is judged; fewer say little about a rate. */
const MIN_RESULTS = 8;
const NEWEST_RESULT_WEIGHT = 0.15;
/** A server with less than this share of its peers' health is ejected. */
const EJECTION_HEALTH_RATIO = 0.3;
/** A server that is not ejected keeps some traffic, so that its recovery is seen. */
const MIN_WEIGHT = 0.1;
/** Health lost to ordinary noise between equal servers. */
const TOLERATED_SLOWNESS = 2;
const MAX_SLOWNESS = 20;
/** The last trace of an old failure is not worth a draw per decision. */
const FULL_HEALTH = 0.99;
const FIRST_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 120_000;
const PROBE_PERIOD_MS = 1_000;
const PROBES_TO_READMIT = 3;
const MAX_ROUTES_PER_SERVER = 16;
/** While too many servers look bad, each check looks at all of them. */
const SUSPENSION_CHECK_PERIOD_MS = 1_000;

interface RouteHealth {
  resultCount: number;
  successRatio: number;
  slownessRatio: number;
  /** Undefined while the server is not ejected. */
  ejectedUntilMs: number | undefined;
  ejectionMs: number;
  successfulProbes: number;
  nextProbeAtMs: number;
}

interface ServerHealth {
  readonly service: string;
  readonly routes: Map<string, RouteHealth>;
}

interface ServiceHealth {
  readonly serverIds: Set<string>;
  ejectedCount: number;
  /** Too many servers look bad, so the judge does not trust its own measure. */
  isEjectionSuspended: boolean;
  nextSuspensionCheckAtMs: number;
}

export function createOutlierDetector(settings: OutlierDetectorSettings): OutlierDetector {
  const servers = new Map<string, ServerHealth>();
  const services = new Map<string, ServiceHealth>();

  function maxEjected(name: string, service: ServiceHealth): number {
    return Math.floor(settings.ejectedMaxRatio(name) * service.serverIds.size);
  }

  function routeOf(server: ServerHealth, route: string): RouteHealth {
    const known = server.routes.get(route);
    if (known !== undefined) return known;
    const created = createRouteHealth();
    if (server.routes.size >= MAX_ROUTES_PER_SERVER) dropOldestRoute(server);
    server.routes.set(route, created);
    return created;
  }

  function dropOldestRoute(server: ServerHealth): void {
    for (const [route, health] of server.routes) {
      if (health.ejectedUntilMs === undefined) {
        server.routes.delete(route);
        return;
      }
    }
  }

  /** Health of the peers on the route, from those with enough results. */
  function peerHealth(service: ServiceHealth, route: string): number {
    const values: number[] = [];
    service.serverIds.forEach((serverId) => {
      const health = servers.get(serverId)?.routes.get(route);
      if (health !== undefined && health.resultCount >= MIN_RESULTS) values.push(healthOf(health));
    });
    values.sort((a, b) => a - b);
    return values[Math.floor(values.length / 2)] ?? 1;
  }

  function relativeHealth(service: ServiceHealth, route: string, health: RouteHealth): number {
    if (health.resultCount < MIN_RESULTS) return 1;
    const peers = peerHealth(service, route);
    return peers <= 0 ? 1 : Math.min(1, healthOf(health) / peers);
  }

  /** Servers that are ejected now or would be if there were no bound. */
  function countBad(service: ServiceHealth): number {
    let count = 0;
    service.serverIds.forEach((serverId) => {
      const server = servers.get(serverId);
      if (server !== undefined && isBad(service, server)) count += 1;
    });
    return count;
  }

  function isBad(service: ServiceHealth, server: ServerHealth): boolean {
    for (const [route, health] of server.routes) {
      if (health.ejectedUntilMs !== undefined) return true;
      if (relativeHealth(service, route, health) < EJECTION_HEALTH_RATIO) return true;
    }
    return false;
  }

  function isEjected(server: ServerHealth): boolean {
    for (const health of server.routes.values()) {
      if (health.ejectedUntilMs !== undefined) return true;
    }
    return false;
  }

  function countEjected(service: ServiceHealth): number {
    let count = 0;
    service.serverIds.forEach((serverId) => {
      const server = servers.get(serverId);
      if (server !== undefined && isEjected(server)) count += 1;
    });
    return count;
  }

  function readmitAll(service: ServiceHealth): void {
    service.serverIds.forEach((serverId) => {
      servers.get(serverId)?.routes.forEach((health) => {
        health.ejectedUntilMs = undefined;
      });
    });
    service.ejectedCount = 0;
  }

  function eject(health: RouteHealth, nowMs: number): void {
    health.ejectedUntilMs = nowMs + health.ejectionMs;
    health.nextProbeAtMs = health.ejectedUntilMs;
    health.ejectionMs = Math.min(MAX_EJECTION_MS, health.ejectionMs * 2);
    health.successfulProbes = 0;
  }

  function judge(server: ServerHealth, service: ServiceHealth, route: string, nowMs: number): void {
    const health = server.routes.get(route);
    if (health === undefined) return;
    // The bound may have been lowered since the ejections.
    if (service.ejectedCount > 0 && service.ejectedCount > maxEjected(server.service, service)) {
      readmitAll(service);
    }
    const weight = relativeHealth(service, route, health);
    const isNewlyBad = health.ejectedUntilMs === undefined && weight < EJECTION_HEALTH_RATIO;
    const isCheckDue = service.isEjectionSuspended && nowMs >= service.nextSuspensionCheckAtMs;
    if (service.isEjectionSuspended ? !isCheckDue : !isNewlyBad) return;
    service.nextSuspensionCheckAtMs = nowMs + SUSPENSION_CHECK_PERIOD_MS;
    const maxCount = maxEjected(server.service, service);
    service.isEjectionSuspended = countBad(service) > Math.max(1, maxCount);
    if (service.isEjectionSuspended) readmitAll(service);
    else if (isNewlyBad && (isEjected(server) || countEjected(service) < maxCount)) {
      eject(health, nowMs);
    }
    service.ejectedCount = countEjected(service);
  }

  function onProbeResult(health: RouteHealth, result: ServerResult, nowMs: number): void {
    const isGood = result.isSuccess && (result.slownessRatio ?? 1) <= TOLERATED_SLOWNESS;
    if (!isGood) {
      eject(health, nowMs);
      return;
    }
    health.successfulProbes += 1;
    if (health.successfulProbes < PROBES_TO_READMIT) return;
    health.ejectedUntilMs = undefined;
    // Starts over with few results and half of the traffic.
    health.resultCount = 0;
    health.successRatio = 1;
    health.slownessRatio = TOLERATED_SLOWNESS * 2;
  }

  return {
    setServers: (name, serverIds) => {
      const service = services.get(name);
      const kept = new Set(serverIds);
      service?.serverIds.forEach((serverId) => {
        if (!kept.has(serverId)) servers.delete(serverId);
      });
      serverIds.forEach((serverId) => {
        if (!servers.has(serverId)) servers.set(serverId, { service: name, routes: new Map() });
      });
      const isEjectionSuspended = service?.isEjectionSuspended ?? false;
      const next: ServiceHealth = {
        serverIds: kept,
        ejectedCount: 0,
        isEjectionSuspended,
        nextSuspensionCheckAtMs: 0,
      };
      services.set(name, next);
      next.ejectedCount = countEjected(next);
      // The service or its bound may have shrunk below the number that is ejected.
      if (next.ejectedCount > maxEjected(name, next)) readmitAll(next);
    },
    onResult: (serverId, route, result, nowMs) => {
      const server = servers.get(serverId);
      const service = server === undefined ? undefined : services.get(server.service);
      if (server === undefined || service === undefined) return;
      const health = routeOf(server, route);
      addResult(health, result);
      if (health.ejectedUntilMs !== undefined && nowMs >= health.ejectedUntilMs) {
        onProbeResult(health, result, nowMs);
        service.ejectedCount = countEjected(service);
        return;
      }
      judge(server, service, route, nowMs);
    },
    isFullyHealthy: (serverId) => {
      for (const health of servers.get(serverId)?.routes.values() ?? []) {
        if (health.ejectedUntilMs !== undefined || healthOf(health) < FULL_HEALTH) return false;
      }
      return true;
    },
    weight: (serverId, route) => {
      const server = servers.get(serverId);
      const service = server === undefined ? undefined : services.get(server.service);
      const health = server?.routes.get(route);
      if (service === undefined || health === undefined || service.isEjectionSuspended) return 1;
      if (health.ejectedUntilMs !== undefined) return 0;
      return Math.max(MIN_WEIGHT, healthOf(health));
    },
    claimProbe: (serverId, route, nowMs) => {
      const health = servers.get(serverId)?.routes.get(route);
      if (health?.ejectedUntilMs === undefined) return false;
      if (nowMs < health.ejectedUntilMs || nowMs < health.nextProbeAtMs) return false;
      health.nextProbeAtMs = nowMs + PROBE_PERIOD_MS;
      return true;
    },
    ejectedCount: (name) => services.get(name)?.ejectedCount ?? 0,
    hasEjected: (name) => (services.get(name)?.ejectedCount ?? 0) > 0,
  };
}

function createRouteHealth(): RouteHealth {
  return {
    resultCount: 0,
    successRatio: 1,
    slownessRatio: 1,
    ejectedUntilMs: undefined,
    ejectionMs: FIRST_EJECTION_MS,
    successfulProbes: 0,
    nextProbeAtMs: 0,
  };
}

function addResult(health: RouteHealth, result: ServerResult): void {
  health.resultCount += 1;
  health.successRatio += NEWEST_RESULT_WEIGHT * ((result.isSuccess ? 1 : 0) - health.successRatio);
  if (result.slownessRatio === undefined) return;
  const slowness = Math.min(MAX_SLOWNESS, result.slownessRatio);
  health.slownessRatio += NEWEST_RESULT_WEIGHT * (slowness - health.slownessRatio);
}

/** Success counts squared: a retry costs the caller more than a slow answer. */
function healthOf(health: RouteHealth): number {
  const pace = Math.min(1, TOLERATED_SLOWNESS / Math.max(health.slownessRatio, 0.01));
  return health.successRatio * health.successRatio * pace;
}
