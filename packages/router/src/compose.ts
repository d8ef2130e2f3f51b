import 'reflect-metadata';
import { randomUUID } from 'node:crypto';
import { container, instanceCachingFactory } from 'tsyringe';
import {
  createConfigReader,
  createEngineClient,
  loadHashFunctions,
  createHostList,
  createHttpClient,
  createLog,
  createMetrics,
  createObjectStore,
  createServiceClient,
  createSystemClock,
  createTableStore,
  createTracer,
  sha256Hex,
} from '@mimosamill/adapters';
import {
  asId,
  chainBlockHashes,
  createRetryBudget,
  FLEET_DEFAULTS,
  effectiveSettings,
  RETRY_BUDGET_DEFAULTS,
  toBlockKeys,
  toRequestId,
} from '@mimosamill/core';
import { createCalls } from './call/calls';
import { createCallRouter, createOwnerClient } from './call/peer';
import { createConfigPeers } from './config/config-client';
import { createConfigFeed, DEFAULT_FEED_SETTINGS } from './config/feed';
import { createConfigRouter } from './config/config-router';
import { createCallerServer } from './http/server';
import { createAdmission } from './limit/admission';
import { createDomainLossDetector } from './limit/loss';
import { limitOfScope } from './limit/scopes';
import { createQuotaShares } from './limit/shares';
import { createWithdrawalGossip } from './move/withdrawal-gossip';
import { createMovePeerRouter } from './move/peer';
import { createMoveMonitor } from './move/move-monitor';
import { createLoadDigests } from './peer/digest';
import { createMembershipService } from './peer/membership';
import { createPeerServer, PEER_SERVER_DEFAULTS } from './peer/server';
import { createPeerTraffic } from './peer/traffic';
import { createBackends } from './route/backends';
import { createLoadSource } from './route/load-source';
import { createSuspectGuard } from './stream/guard';
import { createReplicas, REPLICA_DEFAULTS } from './stream/replica';
import { createStreams } from './stream/streams';
import type { InjectionToken } from 'tsyringe';
import type {
  Clock,
  EngineClient,
  HashFunctions,
  HostList,
  HttpClient,
  HttpServer,
  Log,
  Metrics,
  ObjectStore,
  RunningProgram,
  ServiceClient,
  TableStore,
  Tracer,
} from '@mimosamill/adapters';
import type {
  FailureDomain,
  Fingerprint,
  MoveId,
  MoveRecord,
  Region,
  RetryBudget,
  RouterId,
  ServiceName,
} from '@mimosamill/core';
import type { CallRouter } from './call/peer';
import type { Calls } from './call/calls';
import type { SharedSuspectGuard } from './stream/guard';
import type { ConfigFeed } from './config/feed';
import type { ConfigRouter } from './config/config-router';
import type { Admission } from './limit/admission';
import type { QuotaShares } from './limit/shares';
import type { MovePeerRouter } from './move/peer';
import type { MoveMonitor } from './move/move-monitor';
import type { LoadDigests } from './peer/digest';
import type { MembershipService } from './peer/membership';
import type { PeerServer } from './peer/server';
import type { PeerTraffic } from './peer/traffic';
import type { Backends } from './route/backends';
import type { LoadSource } from './route/load-source';
import type { RouterSettings } from './settings';
import type { Replicas } from './stream/replica';
import type { Streams } from './stream/streams';

const CLOCK: InjectionToken<Clock> = Symbol('Clock');
const LOG: InjectionToken<Log> = Symbol('Log');
const METRICS: InjectionToken<Metrics> = Symbol('Metrics');
const TRACER: InjectionToken<Tracer> = Symbol('Tracer');
const HTTP: InjectionToken<HttpClient> = Symbol('HttpClient');
const TABLES: InjectionToken<TableStore> = Symbol('Tables');
const OBJECTS: InjectionToken<ObjectStore> = Symbol('Objects');
const HOST_LIST: InjectionToken<HostList> = Symbol('HostList');
const ENGINES: InjectionToken<EngineClient> = Symbol('EngineClient');
const SERVICES: InjectionToken<ServiceClient> = Symbol('ServiceClient');
const TRAFFIC: InjectionToken<PeerTraffic> = Symbol('PeerTraffic');
const PEERS: InjectionToken<MembershipService> = Symbol('Peers');
const PEER_SERVER: InjectionToken<PeerServer> = Symbol('PeerServer');
const CONFIG_FEED: InjectionToken<ConfigFeed> = Symbol('ConfigFeed');
const REPLICAS: InjectionToken<Replicas> = Symbol('Replicas');
const MOVES: InjectionToken<MoveMonitor> = Symbol('MoveWatch');
const BACKENDS: InjectionToken<Backends> = Symbol('Backends');
const DIGESTS: InjectionToken<LoadDigests> = Symbol('LoadDigests');
const LOAD_SOURCE: InjectionToken<LoadSource> = Symbol('LoadSource');
const RETRY_BUDGET: InjectionToken<RetryBudget> = Symbol('RetryBudget');
const CALLS: InjectionToken<Calls> = Symbol('Calls');
const SUSPECTS: InjectionToken<SharedSuspectGuard> = Symbol('SuspectGuard');
const STREAMS: InjectionToken<Streams> = Symbol('Streams');
const SHARES: InjectionToken<QuotaShares> = Symbol('Shares');
const ADMISSION: InjectionToken<Admission> = Symbol('Admission');
const CALLER_SERVER: InjectionToken<HttpServer> = Symbol('CallerServer');

/** Tokens per cache block of the engines; their tokens are words. */
const TOKENS_PER_CACHE_BLOCK = 16;
const PREFILL_TOKENS_PER_MS = 40;
const OWN_DOMAIN_ROUND_TRIP_MS = 0.5;
const OWN_REGION_ROUND_TRIP_MS = 1;
const OTHER_REGION_ROUND_TRIP_MS = 40;
const REQUEST_LABEL_CHARS = 8;

/** Whether the router takes new work, and why not. */
interface Readiness {
  isStopping: boolean;
}

/** Builds and starts a router. */
export async function startRouter(settings: RouterSettings): Promise<RunningProgram> {
  const hashes = await loadHashFunctions();
  const readiness: Readiness = { isStopping: false };
  const di = container.createChildContainer();
  const provide = <T>(token: InjectionToken<T>, create: () => T): void => {
    di.register(token, { useFactory: instanceCachingFactory(create) });
  };
  const use = <T>(token: InjectionToken<T>): T => di.resolve(token);

  provideRuntime(settings, provide, use);
  provideFleet(settings, hashes, provide, use);
  provideServing(settings, hashes, readiness, provide, use);
  return run(settings, readiness, use);
}

type Provide = <T>(token: InjectionToken<T>, create: () => T) => void;
type Resolve = <T>(token: InjectionToken<T>) => T;

function provideRuntime(settings: RouterSettings, provide: Provide, use: Resolve): void {
  const platform = { address: settings.platform, timeoutMs: settings.platformTimeoutMs };
  provide(CLOCK, createSystemClock);
  provide(LOG, () => createLog('router', settings.logLevel, { router: settings.routerId }));
  provide(METRICS, createMetrics);
  provide(TRACER, () =>
    createTracer('router', {
      sampleRatio: settings.traceSampleRatio,
      onSpans: (spans) => spans.forEach((span) => use(LOG).debug('span', { ...span })),
    }),
  );
  provide(HTTP, () => createHttpClient());
  provide(TABLES, () => createTableStore(use(HTTP), platform));
  provide(OBJECTS, () => createObjectStore(use(HTTP), platform));
  provide(HOST_LIST, () => createHostList(use(HTTP), platform));
  provide(ENGINES, () =>
    createEngineClient(use(HTTP), {
      timeoutMs: settings.loadTimeoutMs,
      orderTimeoutMs: settings.platformTimeoutMs,
    }),
  );
  provide(SERVICES, () => createServiceClient(use(HTTP), settings.loadTimeoutMs));
}

function provideFleet(
  settings: RouterSettings,
  hashes: HashFunctions,
  provide: Provide,
  use: Resolve,
): void {
  provide(TRAFFIC, () => createPeerTraffic(use(METRICS).registry));
  provide(PEERS, () =>
    createMembershipService(
      {
        routerId: asId<RouterId>(settings.routerId),
        address: `${settings.ip}:${settings.port}`,
        peerAddress: `${settings.ip}:${settings.peerPort}`,
        region: asId<Region>(settings.region),
        failureDomain: asId<FailureDomain>(settings.failureDomain),
        seeds: settings.seeds,
      },
      {
        clock: use(CLOCK),
        hash: hashes.hash32,
        random: Math.random,
        traffic: use(TRAFFIC),
        log: use(LOG),
        hosts: use(HOST_LIST),
      },
    ),
  );
  provide(CONFIG_FEED, () =>
    createConfigFeed({
      store: createConfigReader(use(TABLES), use(OBJECTS)),
      peers: createConfigPeers((address) =>
        use(PEERS).pool.client<ConfigRouter>('config', address),
      ),
      membership: use(PEERS),
      clock: use(CLOCK),
      hash: hashes.hash32,
      random: Math.random,
      log: use(LOG),
      metrics: use(METRICS),
      settings: DEFAULT_FEED_SETTINGS,
    }),
  );
  provide(REPLICAS, () =>
    createReplicas(REPLICA_DEFAULTS, {
      membership: use(PEERS),
      pool: use(PEERS).pool,
      clock: use(CLOCK),
      hash: hashes.hash32,
    }),
  );
  provide(MOVES, () =>
    createMoveMonitor({
      config: use(CONFIG_FEED),
      membership: use(PEERS),
      gossip: createWithdrawalGossip(use(PEERS)),
      clock: use(CLOCK),
      hash: hashes.hash32,
      readRecord: (moveId) => readMoveRecord(use(TABLES), moveId),
      sendEvidence: (peer, message) =>
        use(PEERS)
          .pool.client<MovePeerRouter>('moves', peer.peerAddress)
          .evidence.mutate(message)
          .catch(() => undefined),
      onWithdrawn: (item, origin) => use(LOG).warn('version withdrawn', { ...item, origin }),
    }),
  );
  provide(SHARES, () =>
    createQuotaShares({
      clock: use(CLOCK),
      hash: hashes.hash32,
      random: Math.random,
      membership: use(PEERS),
      pool: use(PEERS).pool,
      metrics: use(METRICS),
      log: use(LOG),
      limitOf: (scope) => limitOfScope(use(CONFIG_FEED).current(), scope),
    }),
  );
  provide(LOAD_SOURCE, () =>
    createLoadSource({
      clock: use(CLOCK),
      region: asId<Region>(settings.region),
      digestMinEngines: settings.digestMinEngines,
      backends: () => use(BACKENDS),
      digests: () => use(DIGESTS),
    }),
  );
  provide(DIGESTS, () =>
    createLoadDigests({
      membership: use(PEERS),
      pool: use(PEERS).pool,
      clock: use(CLOCK),
      hash: hashes.hash32,
      random: Math.random,
      engines: () => use(LOAD_SOURCE).enginesForDigests(),
      readLoad: (engineId) => use(BACKENDS).readLoad(engineId),
    }),
  );
  provide(PEER_SERVER, () =>
    createPeerServer(
      { host: settings.ip, port: settings.peerPort, ...PEER_SERVER_DEFAULTS },
      {
        member: use(PEERS).router,
        config: createConfigRouter(use(CONFIG_FEED).handler),
        // tRPC reserves the name 'call'.
        calls: createCallRouter(use(CALLS)),
        replica: use(REPLICAS).router,
        limits: use(SHARES).router,
        digest: use(DIGESTS).router,
        moves: createMovePeerRouter(use(MOVES)),
        suspects: use(SUSPECTS).router,
      },
      use(TRAFFIC),
    ),
  );
}

function provideServing(
  settings: RouterSettings,
  hashes: HashFunctions,
  readiness: Readiness,
  provide: Provide,
  use: Resolve,
): void {
  provide(RETRY_BUDGET, () => createRetryBudget(RETRY_BUDGET_DEFAULTS));
  provide(BACKENDS, () =>
    createBackends({
      clock: use(CLOCK),
      random: Math.random,
      hosts: use(HOST_LIST),
      engines: use(ENGINES),
      services: use(SERVICES),
      metrics: use(METRICS),
      log: use(LOG),
      picker: {
        region: asId<Region>(settings.region),
        failureDomain: asId<FailureDomain>(settings.failureDomain),
        hash: hashes.hash32,
        blockTokens: TOKENS_PER_CACHE_BLOCK,
        prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
        ownDomainRoundTripMs: OWN_DOMAIN_ROUND_TRIP_MS,
        ownRegionRoundTripMs: OWN_REGION_ROUND_TRIP_MS,
        otherRegionRoundTripMs: OTHER_REGION_ROUND_TRIP_MS,
        ejectedMaxRatio: (service) => ejectedMaxRatioOf(settings, use(CONFIG_FEED), service),
      },
      hostListPeriodMs: settings.hostListPeriodMs,
      loadPeriodMs: settings.loadPeriodMs,
      isPolled: (engineId) => use(LOAD_SOURCE).isPolled(engineId),
    }),
  );
  provide(CALLS, () =>
    createCalls({
      routerId: asId<RouterId>(settings.routerId),
      clock: use(CLOCK),
      tables: use(TABLES),
      services: use(SERVICES),
      servers: use(BACKENDS).servers,
      owners: createOwnerClient(
        (routerId) =>
          use(PEERS)
            .members()
            .find((member) => member.routerId === routerId)?.peerAddress,
        (address, question, timeoutMs) =>
          use(PEERS)
            .pool.client<CallRouter>('calls', address)
            .askOwner.mutate(question, { context: { timeoutMs } }),
      ),
      retryBudget: use(RETRY_BUDGET),
      serviceConfig: (service) => {
        const found = use(CONFIG_FEED).current()?.services[service];
        return found?.kind === 'plain' ? found : undefined;
      },
      createId: randomUUID,
      hashBody: sha256Hex,
    }),
  );
  provide(SUSPECTS, () =>
    createSuspectGuard({
      clock: use(CLOCK),
      hash: hashes.hash32,
      peers: use(PEERS),
      metrics: use(METRICS),
      log: use(LOG),
      culpritExpiryMs:
        use(CONFIG_FEED).current()?.defaults.culpritExpiryMs ?? FLEET_DEFAULTS.culpritExpiryMs,
    }),
  );
  provide(STREAMS, () =>
    createStreams({
      clock: use(CLOCK),
      engines: use(ENGINES),
      directory: use(BACKENDS),
      replicas: use(REPLICAS),
      suspects: use(SUSPECTS),
      versions: use(MOVES),
      metrics: use(METRICS),
      blockKeysOf: (text) => {
        const words = text.split(/\s+/u).filter((word) => word !== '');
        return toBlockKeys(
          chainBlockHashes(words, TOKENS_PER_CACHE_BLOCK, hashes.hash32),
          hashes.hash32,
        );
      },
      fingerprintOf: (text) => asId<Fingerprint>(hashes.hash64(text)),
    }),
  );
  const requestLabel = randomUUID().slice(0, REQUEST_LABEL_CHARS);
  provide(ADMISSION, () =>
    createAdmission({ clock: use(CLOCK), shares: use(SHARES), metrics: use(METRICS) }),
  );
  provide(CALLER_SERVER, () =>
    createCallerServer({
      config: use(CONFIG_FEED),
      streams: use(STREAMS),
      calls: use(CALLS),
      admission: use(ADMISSION),
      clock: use(CLOCK),
      tracer: use(TRACER),
      metrics: use(METRICS),
      log: use(LOG),
      limits: {
        maxBodyBytes: settings.maxBodyBytes,
        maxHeaderBytes: settings.maxHeaderBytes,
        headersTimeoutMs: settings.headersTimeoutMs,
        requestTimeoutMs: settings.requestTimeoutMs,
        maxConnections: settings.maxConnections,
      },
      // One label a router, so that one peer holds the replicas of all its streams.
      createRequestId: () => toRequestId(requestLabel, randomUUID()),
      settingsFor: (config, service, customer) =>
        effectiveSettings(config, {
          service,
          customer: customer.id,
          failureDomain: asId<FailureDomain>(settings.failureDomain),
        }),
      notReadyReason: () =>
        readiness.isStopping ? 'this router is stopping' : use(CONFIG_FEED).notReadyReason(),
    }),
  );
}

async function run(
  settings: RouterSettings,
  readiness: Readiness,
  use: Resolve,
): Promise<RunningProgram> {
  const log = use(LOG);
  const peers = use(PEERS);
  const feed = use(CONFIG_FEED);
  await use(PEER_SERVER).listen();
  peers.onNewerConfigRevision(feed.notePeerRevision);
  feed.onChange((config) => peers.setConfigRevision(config.revision));
  peers.start();
  feed.start();
  use(REPLICAS).start();
  const stopMoves = use(MOVES).start();
  use(SHARES).start();
  use(ADMISSION).start();
  use(BACKENDS).onDown(
    createDomainLossDetector({
      clock: use(CLOCK),
      admission: use(ADMISSION),
      enginesOf: use(BACKENDS).enginesOf,
    }),
  );
  use(DIGESTS).onLoads(() => use(LOAD_SOURCE).onDigestsReceived());
  await use(BACKENDS).start();
  use(DIGESTS).start();
  const port = await use(CALLER_SERVER).listen(settings.ip, settings.port);
  log.info('router started', { port });
  process.stdout.write('ready\n');

  return {
    stop: async () => {
      log.info('router stopping', { streams: use(STREAMS).runningCount() });
      readiness.isStopping = true;
      peers.leave();
      await wait(use(CLOCK), settings.drainNoticeMs);
      await drain(settings, use);
      use(SHARES).stop();
      use(ADMISSION).stop();
      use(DIGESTS).stop();
      use(BACKENDS).stop();
      use(STREAMS).stop();
      use(REPLICAS).stop();
      stopMoves();
      feed.stop();
      await peers.stop();
      await use(PEER_SERVER).close();
      await use(TRACER).shutdown();
      await use(HTTP).close();
      log.info('router stopped');
    },
  };
}

function ejectedMaxRatioOf(settings: RouterSettings, feed: ConfigFeed, service: string): number {
  const config = feed.current();
  if (config === undefined) return FLEET_DEFAULTS.ejectedMaxRatio;
  const failureDomain = asId<FailureDomain>(settings.failureDomain);
  const place = { service: asId<ServiceName>(service), failureDomain };
  return effectiveSettings(config, place).ejectedMaxRatio;
}

async function readMoveRecord(tables: TableStore, moveId: MoveId): Promise<MoveRecord | undefined> {
  const answer = await tables.read([`moves/${moveId}`]);
  const [row] = answer.kind === 'ok' ? answer.rows : [];
  return row?.value as unknown as MoveRecord | undefined;
}

/**
 * Waits for streams and calls, then for their last bytes: a slow caller still reads after its
 * stream has ended, and a request may have been on its way in when the stop began.
 */
async function drain(settings: RouterSettings, use: Resolve): Promise<void> {
  const clock = use(CLOCK);
  const untilMs = clock.monotonicMs() + settings.drainTimeoutMs;
  const calls = use(CALLS).drain(0, settings.drainTimeoutMs);
  const work = Promise.all([use(STREAMS).drained(), calls]);
  await Promise.race([work, wait(clock, settings.drainTimeoutMs)]);
  await use(CALLER_SERVER).drain(Math.max(0, untilMs - clock.monotonicMs()));
}

function wait(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.runAfter(delayMs, resolve);
  });
}
