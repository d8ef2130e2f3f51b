/**
 * Compares servers, engines or plain ones, by the results of real requests with the other servers of
 * their service, for each route on its own. It gives unhealthy servers less traffic or ejects them.
 */
export interface OutlierDetector {
  /** Replaces the service's servers; the state of servers that are no longer listed is dropped. */
  readonly setServers: (service: string, serverIds: readonly string[]) => void;
  readonly onResult: (serverId: string, route: string, result: ServerResult, nowMs: number) => void;
  /** False if the server's weight may be below 1 on some route. */
  readonly isFullyHealthy: (serverId: string) => boolean;
  /** Share of its normal traffic that the server gets on the route; 0 while it is ejected. */
  readonly weight: (serverId: string, route: string) => number;
  /**
   * True if the caller may send a request to the ejected server as a probe: when its ejection time is
   * over, once per probe period.
   */
  readonly claimProbe: (serverId: string, route: string, nowMs: number) => boolean;
  /** Whether `claimProbe` would be true; claims nothing. */
  readonly isProbeDue: (serverId: string, route: string, nowMs: number) => boolean;
  readonly ejectedCount: (service: string) => number;
  /** Whether any server of the service is ejected; if not, there is nothing to probe. */
  readonly hasEjected: (service: string) => boolean;
}

export interface ServerResult {
  readonly isSuccess: boolean;
  /** Time taken over the expected time; undefined if it was not measured. */
  readonly slownessRatio?: number;
}

export interface OutlierDetectorSettings {
  /** Largest part of a service's servers that may be ejected at once; read at each use. */
  readonly ejectedMaxRatio: (service: string) => number;
}

/** Results that a server needs before it is compared; the success ratio of fewer is mostly chance. */
const MIN_RESULTS = 8;
const NEWEST_RESULT_WEIGHT = 0.15;
/** A server whose health is below this part of its peers' median is ejected. */
const EJECTION_HEALTH_RATIO = 0.3;
/** Weight that a server keeps while it is not ejected, so that results show its recovery. */
const MIN_WEIGHT = 0.1;
/** Slowness that does not lower the health: equal servers differ this much by chance. */
const TOLERATED_SLOWNESS = 2;
const MAX_SLOWNESS = 20;
/** From this health on, a server counts as fully healthy: old failures never decay to exactly zero. */
const FULL_HEALTH = 0.99;
const FIRST_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 120_000;
const PROBE_PERIOD_MS = 1_000;
const PROBES_TO_READMIT = 3;
const MAX_ROUTES_PER_SERVER = 16;
/** A check while ejection is suspended visits all servers of the service, so it is not done per result. */
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
  /** More servers look unhealthy than may be ejected, so the cause is probably not in the servers. */
  isEjectionSuspended: boolean;
  nextSuspensionCheckAtMs: number;
}

export function createOutlierDetector(settings: OutlierDetectorSettings): OutlierDetector {
  const servers = new Map<string, ServerHealth>();
  const services = new Map<string, ServiceHealth>();

  function maxEjected(name: string, service: ServiceHealth): number {
    return Math.floor(settings.ejectedMaxRatio(name) * service.serverIds.size);
  }

  function routeHealthOf(server: ServerHealth, route: string): RouteHealth {
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

  /** Median health on the route of the service's servers with enough results. */
  function medianHealth(service: ServiceHealth, route: string): number {
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
    const median = medianHealth(service, route);
    return median <= 0 ? 1 : Math.min(1, healthOf(health) / median);
  }

  /** Servers that are ejected or would be if any number could be. */
  function countUnhealthy(service: ServiceHealth): number {
    let count = 0;
    service.serverIds.forEach((serverId) => {
      const server = servers.get(serverId);
      if (server !== undefined && isUnhealthy(service, server)) count += 1;
    });
    return count;
  }

  function isUnhealthy(service: ServiceHealth, server: ServerHealth): boolean {
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

  function readmitServers(service: ServiceHealth): void {
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

  function updateEjection(
    server: ServerHealth,
    service: ServiceHealth,
    route: string,
    nowMs: number,
  ): void {
    const health = server.routes.get(route);
    if (health === undefined) return;
    // The allowed number may have fallen since the ejections.
    if (service.ejectedCount > 0 && service.ejectedCount > maxEjected(server.service, service)) {
      readmitServers(service);
    }
    const weight = relativeHealth(service, route, health);
    const isNewlyUnhealthy = health.ejectedUntilMs === undefined && weight < EJECTION_HEALTH_RATIO;
    const isCheckDue = service.isEjectionSuspended && nowMs >= service.nextSuspensionCheckAtMs;
    if (service.isEjectionSuspended ? !isCheckDue : !isNewlyUnhealthy) return;
    service.nextSuspensionCheckAtMs = nowMs + SUSPENSION_CHECK_PERIOD_MS;
    const maxCount = maxEjected(server.service, service);
    service.isEjectionSuspended = countUnhealthy(service) > Math.max(1, maxCount);
    if (service.isEjectionSuspended) readmitServers(service);
    else if (isNewlyUnhealthy && (isEjected(server) || countEjected(service) < maxCount)) {
      eject(health, nowMs);
    }
    service.ejectedCount = countEjected(service);
  }

  /** State of an ejected server on the route if a probe may be sent there now. */
  function dueProbe(serverId: string, route: string, nowMs: number): RouteHealth | undefined {
    const health = servers.get(serverId)?.routes.get(route);
    if (health?.ejectedUntilMs === undefined) return undefined;
    return nowMs < health.ejectedUntilMs || nowMs < health.nextProbeAtMs ? undefined : health;
  }

  function onProbeResult(health: RouteHealth, result: ServerResult, nowMs: number): void {
    const isProbeSuccessful = result.isSuccess && (result.slownessRatio ?? 1) <= TOLERATED_SLOWNESS;
    if (!isProbeSuccessful) {
      eject(health, nowMs);
      return;
    }
    health.successfulProbes += 1;
    if (health.successfulProbes < PROBES_TO_READMIT) return;
    health.ejectedUntilMs = undefined;
    // The server starts over without results and with half of its traffic.
    health.resultCount = 0;
    health.successRatio = 1;
    health.slownessRatio = TOLERATED_SLOWNESS * 2;
  }

  return {
    setServers: (name, serverIds) => {
      const service = services.get(name);
      const listed = new Set(serverIds);
      service?.serverIds.forEach((serverId) => {
        if (!listed.has(serverId)) servers.delete(serverId);
      });
      serverIds.forEach((serverId) => {
        if (!servers.has(serverId)) servers.set(serverId, { service: name, routes: new Map() });
      });
      const isEjectionSuspended = service?.isEjectionSuspended ?? false;
      const next: ServiceHealth = {
        serverIds: listed,
        ejectedCount: 0,
        isEjectionSuspended,
        nextSuspensionCheckAtMs: 0,
      };
      services.set(name, next);
      next.ejectedCount = countEjected(next);
      // More servers may be ejected than the smaller service or a lowered ratio allows.
      if (next.ejectedCount > maxEjected(name, next)) readmitServers(next);
    },
    onResult: (serverId, route, result, nowMs) => {
      const server = servers.get(serverId);
      const service = server === undefined ? undefined : services.get(server.service);
      if (server === undefined || service === undefined) return;
      const health = routeHealthOf(server, route);
      addResult(health, result);
      if (health.ejectedUntilMs !== undefined && nowMs >= health.ejectedUntilMs) {
        onProbeResult(health, result, nowMs);
        service.ejectedCount = countEjected(service);
        return;
      }
      updateEjection(server, service, route, nowMs);
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
      const health = dueProbe(serverId, route, nowMs);
      if (health === undefined) return false;
      health.nextProbeAtMs = nowMs + PROBE_PERIOD_MS;
      return true;
    },
    isProbeDue: (serverId, route, nowMs) => dueProbe(serverId, route, nowMs) !== undefined,
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

/** The success ratio is squared because a retry costs the caller more than a slow answer. */
function healthOf(health: RouteHealth): number {
  const speed = Math.min(1, TOLERATED_SLOWNESS / Math.max(health.slownessRatio, 0.01));
  return health.successRatio * health.successRatio * speed;
}
