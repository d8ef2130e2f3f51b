import {
  asId,
  createCallOutcomeTracker,
  createFleet,
  createMemoryBudget,
  createOutputSizes,
  createPeerRegistry,
  createPlacer,
  createResponseBuffers,
  createServiceLoads,
  createStreamDurations,
  hostLimits,
} from '@mimosamill/core';
import {
  createHttpServer,
  createUpstream,
  noteFreedBytes,
  openDatagramSocket,
  sendJson,
  sendText,
  splitAddress,
} from '@mimosamill/adapters';
import { createCallForwarder } from './call';
import { createExplainer } from './explain';
import { finiteMs } from './finite';
import { stopGracefully } from './graceful-stop';
import { createConnectionWatch } from './connection-watch';
import { createForwardMetrics } from './metrics';
import { createRetryBudgets } from './retry-budgets';
import { createRouterRegistry } from './router-registry';
import { isElected } from './election';
import { createIngress } from './ingress';
import { createCrashGuard } from './crash-guard';
import { createStateBroadcast } from './state-broadcast';
import { createStoreReaders } from './store-readers';
import { createRelayServer } from './relay';
import { createStreamForwarder } from './stream';
import { createVersionMoves } from './version-moves';
import { createStoreWatches } from './store-watches';
import type {
  Clock,
  DatagramSocket,
  DecisionFields,
  DecisionLog,
  HashFunctions,
  HttpClient,
  Metrics,
  RunningProgram,
} from '@mimosamill/adapters';
import type { ForwardServer, FreshnessBounds, StoreEras } from '@mimosamill/core';
import type { ForwardCodec } from './codec';
import type { Ingress } from './ingress';
import type { RouterTable } from './router-registry';
import type { ForwardPorts, KvCacheCopyClient } from './ports';
import type { OperatorRecord } from './operator-record';
import type { GatewaySettings } from './settings';
import type { CondemnedTable } from './crash-guard';
import type { MoveTable } from './version-moves';
import type { WatchedTable } from './watched-table';

/** Adapters of the platform and the runtime that a gateway uses. */
export interface GatewayEnvironment {
  readonly clock: Clock;
  readonly random: () => number;
  readonly hashes: HashFunctions;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly codec: ForwardCodec;
  readonly storeEras: StoreEras;
  readonly operatorTable: WatchedTable<OperatorRecord>;
  readonly serverTable: WatchedTable<ForwardServer>;
  readonly routerTable: RouterTable;
  readonly kvCopies: KvCacheCopyClient;
  readonly moveTable: MoveTable;
  readonly condemnedTable: CondemnedTable;
  /** Client for calls to other routers. */
  readonly http: HttpClient;
  /** Differs at each start of the process, so that peers notice a restart. */
  readonly incarnationId: string;
}

export interface Gateway extends RunningProgram {
  /** Applies settings that may change while the process runs. */
  readonly reload: (settings: GatewaySettings) => void;
}

/**
 * Age, as a part of the revocation bound, up to which configuration is used to serve requests; the
 * rest covers clock drift.
 */
const SERVE_MAX_AGE_RATIO = 0.9;
const DENY_MAX_AGE_RATIO = 0.8;
/** Connecting takes one round trip; with a lost packet it would take a second, so it is given up before. */
const CONNECT_TIMEOUT_MS = 300;
const CONNECTIONS_PER_SERVER = 64;
const METRICS_PATH = '/metrics';
const READY_PATH = '/readyz';
const EXPLAIN_PATH = '/explain';

/** Starts a router that forwards the requests of callers to backend servers. */
export async function startGateway(
  initial: GatewaySettings,
  environment: GatewayEnvironment,
): Promise<Gateway> {
  const { clock, decisions, metrics, storeEras } = environment;
  let settings = initial;
  const fleet = createFleet();
  const forwardMetrics = createForwardMetrics(metrics);
  const connections = createConnectionWatch(clock, decisions, forwardMetrics);
  const limits = hostLimits(settings);
  const memory = createMemoryBudget(limits.heldMaxBytes, noteFreedBytes);
  const upstream = createUpstream({
    connectTimeoutMs: () => connections.timeoutMs(CONNECT_TIMEOUT_MS),
    connectionsPerServer: CONNECTIONS_PER_SERVER,
  });
  const peerRegistry = createPeerRegistry();
  const callOutcomes = createCallOutcomeTracker(fleet.outlierDetector);
  const placer = createPlacer(
    fleet,
    peerRegistry,
    asId(settings.hostId),
    environment.hashes.hash32,
  );
  const peerAddress = `${settings.ip}:${settings.peerPort}`;
  const routerRegistry = createRouterRegistry(
    environment.routerTable,
    clock,
    environment.random,
    decisions,
    {
      hostId: asId(settings.hostId),
      peerAddress,
      failureDomain: asId(settings.failureDomain),
    },
    {
      onStarted: () => {
        stateBroadcast.sendSoon();
        watches.operator.start();
        watches.servers.start();
      },
      onStoreClock: (sentAtMs, storeNowMs) => {
        watches.operator.onStoreClock(sentAtMs, storeNowMs);
        watches.servers.onStoreClock(sentAtMs, storeNowMs);
      },
    },
  );
  const retryBudgets = createRetryBudgets(
    { ratio: settings.retryRatio, slack: settings.retrySlack },
    clock,
    environment.random,
    () => ({
      known: routerRegistry.listed().length + 1,
      heard: peerRegistry.routers(clock.monotonicMs()).length + 1,
    }),
  );
  const socket: { datagrams?: DatagramSocket } = {};
  const stateBroadcast = createStateBroadcast(
    {
      hostId: asId(settings.hostId),
      failureDomain: asId(settings.failureDomain),
      incarnationId: environment.incarnationId,
      linkMbps: settings.linkMbps,
    },
    {
      clock,
      decisions,
      fleet,
      peerRegistry,
      callOutcomes,
      retryBudgets,
      peers: routerRegistry,
      datagrams: () => socket.datagrams,
      onDomainSuspected: (failureDomain) => streams.onDomainSuspected(failureDomain),
      onServerLost: (serverId) => streams.onServerLost(serverId),
      prefillMsPerToken: placer.prefillMsPerToken,
      canReadStore,
      ownMoves: () => versionMoves.ownMoves(),
      ownCrashReports: (nowMs) => crashGuard.ownReports(nowMs),
      onCrashReports: (reports) => crashGuard.onPeerReports(reports),
    },
  );
  const versionMoves = createVersionMoves(asId(settings.hostId), {
    clock,
    decisions,
    fleet,
    peerRegistry,
    hashes: environment.hashes,
    table: environment.moveTable,
    isAccepting: upstream.isAccepting,
    serverListAgeMs: () => watches.servers.ageMs(),
    knownRouters: () =>
      routerRegistry.isListKnown()
        ? routerRegistry.listed().map(({ hostId }) => hostId)
        : undefined,
    broadcastSoon: stateBroadcast.sendSoon,
    broadcastLater: stateBroadcast.sendLater,
  });
  const crashGuard = createCrashGuard({
    clock,
    decisions,
    upstream,
    table: environment.condemnedTable,
    isElected: () =>
      isElected(
        'condemned',
        asId(settings.hostId),
        peerRegistry,
        environment.hashes,
        clock.monotonicMs(),
      ),
    broadcastSoon: stateBroadcast.sendSoon,
    onCondemned: () => {
      calls.onCondemned();
      streams.onCondemned();
    },
  });
  const ports = createPorts(environment, {
    fleet,
    memory,
    placer,
    serviceLoads: createServiceLoads(fleet, peerRegistry, placer.prefillMsPerToken),
    callOutcomes,
    upstream,
    connections,
    metrics: forwardMetrics,
    stateBroadcast,
    versionMoves,
    crashGuard,
    serverListAgeMs: () => watches.servers.ageMs(),
    servesUrgentFirst: () => settings.urgentStreamsFirst ?? false,
    retryBudgetOf: retryBudgets.of,
    onServerLeaving: (serverId) => streams.onServerLeaving(serverId),
  });
  const calls = createCallForwarder(ports);
  const streams = createStreamForwarder(ports);
  let isStopping = false;
  let wasReady = false;

  const storeReaders = createStoreReaders(
    settings,
    peerRegistry,
    environment,
    canReadStore,
    routerRegistry.listed,
  );
  const watches = createStoreWatches(settings, environment, storeReaders, {
    fleet,
    memory,
    upstream,
    callOutcomes,
    versionMoves,
    streams,
    ingressShell: () => ingress.shell,
  });
  const storeRestores = metrics.counter(
    'mimosamill_forward_store_restores_total',
    'Times that the store was found to be restored from a copy',
  );
  storeEras.onRestored((era, before) => {
    storeRestores.inc();
    decisions.vital('store.restored', {
      before,
      era,
      operator_revision: watches.operator.revision(),
      servers_revision: watches.servers.revision(),
    });
    routerRegistry.onStoreRestored();
    versionMoves.onStoreRestored();
    crashGuard.onStoreRestored();
  });
  const relay = createRelayServer([watches.operator.relayed, watches.servers.relayed], storeEras);

  function canReadStore(): boolean {
    return !isStopping && watches.isStoreReachable();
  }

  const ingress: Ingress = createIngress(
    ports,
    calls,
    streams,
    {
      table: watches.table,
      ageMs: () => watches.operator.ageMs(),
      refresh: () => watches.operator.refresh(),
    },
    {
      freshness: () => freshnessOf(settings),
      maxConnections: limits.callerConnectionsMax,
    },
  );

  /** 'ready', or the reason why the load balancer should send no callers here. */
  function readiness(): string {
    if (isStopping) return 'stopping';
    if (watches.table() === undefined) return 'no configuration';
    if (!watches.isServerListKnown()) return 'no list of servers';
    const { serveMaxAgeMs } = freshnessOf(settings);
    if (watches.operator.ageMs() > serveMaxAgeMs) return 'configuration too old';
    return 'ready';
  }

  function checkReadiness(): string {
    const state = readiness();
    const isReady = state === 'ready';
    if (isReady !== wasReady) {
      const ageMs = watches.operator.ageMs();
      decisions.vital('router.readiness', {
        state,
        config_revision: watches.table()?.config.revision,
        config_age_ms: finiteMs(ageMs),
      });
    }
    wasReady = isReady;
    return state;
  }

  const readyShell = createHttpServer();
  readyShell.app.get(READY_PATH, (_req, res) => {
    const state = checkReadiness();
    sendJson(res, state === 'ready' ? 200 : 503, { state });
  });
  const metricsShell = createHttpServer();
  metricsShell.app.get(METRICS_PATH, async (_req, res) => {
    sendText(res, 200, metrics.contentType, await metrics.text());
  });
  const explain = createExplainer({
    hostId: settings.hostId,
    clock,
    fleet,
    placer,
    // Sums of its own: those that requests are decided by are kept for a while.
    serviceLoads: createServiceLoads(fleet, peerRegistry, placer.prefillMsPerToken),
    outputSizes: ports.outputSizes,
    versionMoves,
    table: watches.table,
    configAgeMs: () => watches.operator.ageMs(),
    serverListAgeMs: () => watches.servers.ageMs(),
    freshness: () => freshnessOf(settings),
    meanDurationMs: streams.meanDurationMs,
    refusesToStop: ingress.refusesToStop,
  });
  metricsShell.app.get(EXPLAIN_PATH, (req, res) => {
    const { status, body } = explain(req.url);
    sendJson(res, status, body);
  });
  registerGauges(metrics, {
    streams: streams.activeCount,
    connections_opened: upstream.openedConnectionCount,
    log_lines_dropped: decisions.droppedCount,
    servers: fleet.serverCount,
    paced_servers: fleet.pace.count,
    limited_servers: () => fleet.limits.count(clock.monotonicMs()),
    peers: () => peerRegistry.routers(clock.monotonicMs()).length,
    response_bytes_held: ports.responseBuffers.heldBytes,
    request_bytes_held: () => memory.heldBytes('request'),
    unsent_bytes_held: () => memory.heldBytes('unsent'),
    held_bytes_max: () => memory.maxBytes,
    holders_revoked: memory.revokedCount,
    caller_connections_evicted: ingress.shell.evictedConnectionCount,
  });

  await relay.listen(settings.ip, settings.peerPort);
  socket.datagrams = await openDatagramSocket(
    settings.ip,
    settings.peerPort,
    stateBroadcast.onMessage,
  );
  routerRegistry.start();
  crashGuard.start();
  await listenOn(ingress.shell.listen, settings.callerAddress);
  await listenOn(readyShell.listen, settings.readyAddress);
  await metricsShell.listen(settings.ip, settings.metricsPort);
  decisions.vital('router.started', {
    version: PRODUCT_VERSION,
    node: process.version,
    ...describeSettings(settings),
  });

  function stop(): Promise<void> {
    isStopping = true;
    return stopGracefully(settings.graceMs, {
      clock,
      decisions,
      ingress,
      stopParts: () => {
        watches.operator.stop();
        watches.servers.stop();
        routerRegistry.stop();
        stateBroadcast.stop();
        versionMoves.stop();
        crashGuard.stop();
        socket.datagrams?.close();
      },
      close: () => ({
        ready: readyShell.close(),
        relay: relay.close(),
        metrics: metricsShell.close(),
        upstream: upstream.close(),
      }),
    });
  }

  let stopped: Promise<void> | undefined;
  return {
    stop: () => {
      stopped ??= stop();
      return stopped;
    },
    reload: (next) => {
      settings = next;
      decisions.vital('router.reloaded', describeSettings(next));
    },
  };
}

/** Written in the log line of each process start. */
const PRODUCT_VERSION = '0.1.0';

function createPorts(
  environment: GatewayEnvironment,
  parts: Pick<
    ForwardPorts,
    | 'fleet'
    | 'memory'
    | 'placer'
    | 'serviceLoads'
    | 'callOutcomes'
    | 'upstream'
    | 'connections'
    | 'metrics'
    | 'stateBroadcast'
    | 'versionMoves'
    | 'crashGuard'
    | 'serverListAgeMs'
    | 'servesUrgentFirst'
    | 'onServerLeaving'
    | 'retryBudgetOf'
  >,
): ForwardPorts {
  const { clock, random, decisions, codec, kvCopies } = environment;
  return {
    clock,
    random,
    ...parts,
    streamDurations: createStreamDurations(),
    outputSizes: createOutputSizes(),
    responseBuffers: createResponseBuffers(parts.memory, clock.monotonicMs),
    kvCopies,
    codec,
    decisions,
    hash64: environment.hashes.hash64,
  };
}

function freshnessOf(settings: GatewaySettings): FreshnessBounds {
  return {
    serveMaxAgeMs: (settings.revokeMs ?? Infinity) * SERVE_MAX_AGE_RATIO,
    denyMaxAgeMs: settings.configMs * DENY_MAX_AGE_RATIO,
  };
}

function describeSettings(settings: GatewaySettings): DecisionFields {
  return { ...settings };
}

function registerGauges(metrics: Metrics, counts: Readonly<Record<string, () => number>>): void {
  const gauge = metrics.gauge('mimosamill_forward_state', 'Present counts, by what', ['what']);
  const collect = (): void => {
    Object.entries(counts).forEach(([what, count]) => gauge.set({ what }, count()));
  };
  Object.assign(gauge, { collect });
}

function listenOn(
  listen: (ip: string, port: number) => Promise<number>,
  address: string,
): Promise<number> {
  const { host, port } = splitAddress(address);
  return listen(host, port);
}
