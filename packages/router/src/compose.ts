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
const TABLES: InjectionToken<TableStore> = Symbol('TableStore');
const OBJECTS: InjectionToken<ObjectStore> = Symbol('ObjectStore');
const HOST_LIST: InjectionToken<HostList> = Symbol('HostList');
const ENGINES: InjectionToken<EngineClient> = Symbol('EngineClient');
const SERVICES: InjectionToken<ServiceClient> = Symbol('ServiceClient');
const TRAFFIC: InjectionToken<PeerTraffic> = Symbol('PeerTraffic');
const PEERS: InjectionToken<MembershipService> = Symbol('MembershipService');
const PEER_SERVER: InjectionToken<PeerServer> = Symbol('PeerServer');
const CONFIG_FEED: InjectionToken<ConfigFeed> = Symbol('ConfigFeed');
const REPLICAS: InjectionToken<Replicas> = Symbol('Replicas');
const MOVES: InjectionToken<MoveMonitor> = Symbol('MoveMonitor');
const BACKENDS: InjectionToken<Backends> = Symbol('Backends');
const DIGESTS: InjectionToken<LoadDigests> = Symbol('LoadDigests');
const LOAD_SOURCE: InjectionToken<LoadSource> = Symbol('LoadSource');
const RETRY_BUDGET: InjectionToken<RetryBudget> = Symbol('RetryBudget');
const CALLS: InjectionToken<Calls> = Symbol('Calls');
const SUSPECTS: InjectionToken<SharedSuspectGuard> = Symbol('SuspectGuard');
const STREAMS: InjectionToken<Streams> = Symbol('Streams');
const SHARES: InjectionToken<QuotaShares> = Symbol('QuotaShares');
const ADMISSION: InjectionToken<Admission> = Symbol('Admission');
const CALLER_SERVER: InjectionToken<HttpServer> = Symbol('CallerServer');

/** Block size of the engines' prefix caches, whose tokens are words. */
const TOKENS_PER_CACHE_BLOCK = 16;
const PREFILL_TOKENS_PER_MS = 40;
const OWN_DOMAIN_ROUND_TRIP_MS = 0.5;
const OWN_REGION_ROUND_TRIP_MS = 1;
const OTHER_REGION_ROUND_TRIP_MS = 40;
const REQUEST_LABEL_CHARS = 8;

/** Shared by the HTTP server and the stop procedure. */
interface Readiness {
  isStopping: boolean;
}

/** Builds and starts a router. */
export async function startRouter(settings: RouterSettings): Promise<RunningProgram> {
  const hashes = await loadHashFunctions();
  const readiness: Readiness = { isStopping: false };
  const dependencies = container.createChildContainer();
  const provide = <T>(token: InjectionToken<T>, create: () => T): void => {
    dependencies.register(token, { useFactory: instanceCachingFactory(create) });
  };
  const resolve = <T>(token: InjectionToken<T>): T => dependencies.resolve(token);

  provideRuntime(settings, provide, resolve);
  provideFleet(settings, hashes, provide, resolve);
  provideServing(settings, hashes, readiness, provide, resolve);
  return run(settings, readiness, resolve);
}

type Provide = <T>(token: InjectionToken<T>, create: () => T) => void;
type Resolve = <T>(token: InjectionToken<T>) => T;

function provideRuntime(settings: RouterSettings, provide: Provide, resolve: Resolve): void {
  const platform = { address: settings.platform, timeoutMs: settings.platformTimeoutMs };
  provide(CLOCK, createSystemClock);
  provide(LOG, () => createLog('router', settings.logLevel, { router: settings.routerId }));
  provide(METRICS, createMetrics);
  provide(TRACER, () =>
    createTracer('router', {
      sampleRatio: settings.traceSampleRatio,
      onSpans: (spans) => spans.forEach((span) => resolve(LOG).debug('span', { ...span })),
    }),
  );
  provide(HTTP, () => createHttpClient());
  provide(TABLES, () => createTableStore(resolve(HTTP), platform));
  provide(OBJECTS, () => createObjectStore(resolve(HTTP), platform));
  provide(HOST_LIST, () => createHostList(resolve(HTTP), platform));
  provide(ENGINES, () =>
    createEngineClient(resolve(HTTP), {
      timeoutMs: settings.loadTimeoutMs,
      orderTimeoutMs: settings.platformTimeoutMs,
    }),
  );
  provide(SERVICES, () => createServiceClient(resolve(HTTP), settings.loadTimeoutMs));
}

function provideFleet(
  settings: RouterSettings,
  hashes: HashFunctions,
  provide: Provide,
  resolve: Resolve,
): void {
  provide(TRAFFIC, () => createPeerTraffic(resolve(METRICS).registry));
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
        clock: resolve(CLOCK),
        hash: hashes.hash32,
        random: Math.random,
        traffic: resolve(TRAFFIC),
        log: resolve(LOG),
        hosts: resolve(HOST_LIST),
      },
    ),
  );
  provide(CONFIG_FEED, () =>
    createConfigFeed({
      store: createConfigReader(resolve(TABLES), resolve(OBJECTS)),
      peers: createConfigPeers((address) =>
        resolve(PEERS).pool.client<ConfigRouter>('config', address),
      ),
      membership: resolve(PEERS),
      clock: resolve(CLOCK),
      hash: hashes.hash32,
      random: Math.random,
      log: resolve(LOG),
      metrics: resolve(METRICS),
      settings: DEFAULT_FEED_SETTINGS,
    }),
  );
  provide(REPLICAS, () =>
    createReplicas(REPLICA_DEFAULTS, {
      membership: resolve(PEERS),
      pool: resolve(PEERS).pool,
      clock: resolve(CLOCK),
      hash: hashes.hash32,
    }),
  );
  provide(MOVES, () =>
    createMoveMonitor({
      config: resolve(CONFIG_FEED),
      membership: resolve(PEERS),
      gossip: createWithdrawalGossip(resolve(PEERS)),
      clock: resolve(CLOCK),
      hash: hashes.hash32,
      readRecord: (moveId) => readMoveRecord(resolve(TABLES), moveId),
      sendEvidence: (peer, message) =>
        resolve(PEERS)
          .pool.client<MovePeerRouter>('moves', peer.peerAddress)
          .evidence.mutate(message)
          .catch(() => undefined),
      onWithdrawn: (item, origin) => resolve(LOG).warn('version withdrawn', { ...item, origin }),
    }),
  );
  provide(SHARES, () =>
    createQuotaShares({
      clock: resolve(CLOCK),
      hash: hashes.hash32,
      random: Math.random,
      membership: resolve(PEERS),
      pool: resolve(PEERS).pool,
      metrics: resolve(METRICS),
      log: resolve(LOG),
      limitOf: (scope) => limitOfScope(resolve(CONFIG_FEED).current(), scope),
    }),
  );
  provide(LOAD_SOURCE, () =>
    createLoadSource({
      clock: resolve(CLOCK),
      region: asId<Region>(settings.region),
      digestMinEngines: settings.digestMinEngines,
      backends: () => resolve(BACKENDS),
      digests: () => resolve(DIGESTS),
    }),
  );
  provide(DIGESTS, () =>
    createLoadDigests({
      membership: resolve(PEERS),
      pool: resolve(PEERS).pool,
      clock: resolve(CLOCK),
      hash: hashes.hash32,
      random: Math.random,
      engines: () => resolve(LOAD_SOURCE).enginesForDigests(),
      readLoad: (engineId) => resolve(BACKENDS).readLoad(engineId),
    }),
  );
  provide(PEER_SERVER, () =>
    createPeerServer(
      { host: settings.ip, port: settings.peerPort, ...PEER_SERVER_DEFAULTS },
      {
        member: resolve(PEERS).router,
        config: createConfigRouter(resolve(CONFIG_FEED).handler),
        // tRPC reserves the name 'call'.
        calls: createCallRouter(resolve(CALLS)),
        replica: resolve(REPLICAS).router,
        limits: resolve(SHARES).router,
        digest: resolve(DIGESTS).router,
        moves: createMovePeerRouter(resolve(MOVES)),
        suspects: resolve(SUSPECTS).router,
      },
      resolve(TRAFFIC),
    ),
  );
}

function provideServing(
  settings: RouterSettings,
  hashes: HashFunctions,
  readiness: Readiness,
  provide: Provide,
  resolve: Resolve,
): void {
  provide(RETRY_BUDGET, () => createRetryBudget(RETRY_BUDGET_DEFAULTS));
  provide(BACKENDS, () =>
    createBackends({
      clock: resolve(CLOCK),
      random: Math.random,
      hosts: resolve(HOST_LIST),
      engines: resolve(ENGINES),
      services: resolve(SERVICES),
      metrics: resolve(METRICS),
      log: resolve(LOG),
      picker: {
        region: asId<Region>(settings.region),
        failureDomain: asId<FailureDomain>(settings.failureDomain),
        hash: hashes.hash32,
        blockTokens: TOKENS_PER_CACHE_BLOCK,
        prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
        ownDomainRoundTripMs: OWN_DOMAIN_ROUND_TRIP_MS,
        ownRegionRoundTripMs: OWN_REGION_ROUND_TRIP_MS,
        otherRegionRoundTripMs: OTHER_REGION_ROUND_TRIP_MS,
        ejectedMaxRatio: (service) => ejectedMaxRatioOf(settings, resolve(CONFIG_FEED), service),
      },
      hostListPeriodMs: settings.hostListPeriodMs,
      loadPeriodMs: settings.loadPeriodMs,
      isPolled: (engineId) => resolve(LOAD_SOURCE).isPolled(engineId),
    }),
  );
  provide(CALLS, () =>
    createCalls({
      routerId: asId<RouterId>(settings.routerId),
      clock: resolve(CLOCK),
      tables: resolve(TABLES),
      services: resolve(SERVICES),
      servers: resolve(BACKENDS).servers,
      owners: createOwnerClient(
        (routerId) =>
          resolve(PEERS)
            .members()
            .find((member) => member.routerId === routerId)?.peerAddress,
        (address, question, timeoutMs) =>
          resolve(PEERS)
            .pool.client<CallRouter>('calls', address)
            .askOwner.mutate(question, { context: { timeoutMs } }),
      ),
      retryBudget: resolve(RETRY_BUDGET),
      serviceConfig: (service) => {
        const found = resolve(CONFIG_FEED).current()?.services[service];
        return found?.kind === 'plain' ? found : undefined;
      },
      createId: randomUUID,
      hashBody: sha256Hex,
    }),
  );
  provide(SUSPECTS, () =>
    createSuspectGuard({
      clock: resolve(CLOCK),
      hash: hashes.hash32,
      peers: resolve(PEERS),
      metrics: resolve(METRICS),
      log: resolve(LOG),
      culpritExpiryMs:
        resolve(CONFIG_FEED).current()?.defaults.culpritExpiryMs ?? FLEET_DEFAULTS.culpritExpiryMs,
    }),
  );
  provide(STREAMS, () =>
    createStreams({
      clock: resolve(CLOCK),
      log: resolve(LOG),
      engines: resolve(ENGINES),
      directory: resolve(BACKENDS),
      replicas: resolve(REPLICAS),
      suspects: resolve(SUSPECTS),
      versions: resolve(MOVES),
      metrics: resolve(METRICS),
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
    createAdmission({ clock: resolve(CLOCK), shares: resolve(SHARES), metrics: resolve(METRICS) }),
  );
  provide(CALLER_SERVER, () =>
    createCallerServer({
      config: resolve(CONFIG_FEED),
      streams: resolve(STREAMS),
      calls: resolve(CALLS),
      admission: resolve(ADMISSION),
      clock: resolve(CLOCK),
      tracer: resolve(TRACER),
      metrics: resolve(METRICS),
      log: resolve(LOG),
      limits: {
        maxBodyBytes: settings.maxBodyBytes,
        maxHeaderBytes: settings.maxHeaderBytes,
        headersTimeoutMs: settings.headersTimeoutMs,
        requestTimeoutMs: settings.requestTimeoutMs,
        maxConnections: settings.maxConnections,
      },
      // The label in a request id determines the peer that holds the stream's replica, so one label
      // per router keeps the replicas of all its streams at one peer.
      createRequestId: () => toRequestId(requestLabel, randomUUID()),
      settingsFor: (config, service, customer) =>
        effectiveSettings(config, {
          service,
          customer: customer.id,
          failureDomain: asId<FailureDomain>(settings.failureDomain),
        }),
      notReadyReason: () =>
        readiness.isStopping ? 'this router is stopping' : resolve(CONFIG_FEED).notReadyReason(),
    }),
  );
}

async function run(
  settings: RouterSettings,
  readiness: Readiness,
  resolve: Resolve,
): Promise<RunningProgram> {
  const log = resolve(LOG);
  const peers = resolve(PEERS);
  const feed = resolve(CONFIG_FEED);
  await resolve(PEER_SERVER).listen();
  peers.onNewerConfigRevision(feed.notePeerRevision);
  feed.onChange((config) => peers.setConfigRevision(config.revision));
  peers.start();
  feed.start();
  resolve(REPLICAS).start();
  const stopMoves = resolve(MOVES).start();
  resolve(SHARES).start();
  resolve(ADMISSION).start();
  resolve(BACKENDS).onDown(
    createDomainLossDetector({
      clock: resolve(CLOCK),
      admission: resolve(ADMISSION),
      enginesOf: resolve(BACKENDS).enginesOf,
    }),
  );
  resolve(DIGESTS).onLoads(() => resolve(LOAD_SOURCE).onDigestsReceived());
  await resolve(BACKENDS).start();
  resolve(DIGESTS).start();
  const port = await resolve(CALLER_SERVER).listen(settings.ip, settings.port);
  log.info('router started', { port });
  process.stdout.write('ready\n');

  return {
    stop: async () => {
      log.info('router stopping', { streams: resolve(STREAMS).runningCount() });
      readiness.isStopping = true;
      peers.leave();
      await wait(resolve(CLOCK), settings.drainNoticeMs);
      await drain(settings, resolve);
      resolve(SHARES).stop();
      resolve(ADMISSION).stop();
      resolve(DIGESTS).stop();
      resolve(BACKENDS).stop();
      resolve(STREAMS).stop();
      resolve(REPLICAS).stop();
      stopMoves();
      feed.stop();
      await peers.stop();
      await resolve(PEER_SERVER).close();
      await resolve(TRACER).shutdown();
      await resolve(HTTP).close();
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
 * Waits for streams and calls, then for the connections of callers: a slow caller still reads after
 * its stream has ended, and a request may have been on its way when the stop began.
 */
async function drain(settings: RouterSettings, resolve: Resolve): Promise<void> {
  const clock = resolve(CLOCK);
  const untilMs = clock.monotonicMs() + settings.drainTimeoutMs;
  const calls = resolve(CALLS).drain(0, settings.drainTimeoutMs);
  const work = Promise.all([resolve(STREAMS).drained(), calls]);
  await Promise.race([work, wait(clock, settings.drainTimeoutMs)]);
  await resolve(CALLER_SERVER).drain(Math.max(0, untilMs - clock.monotonicMs()));
}

function wait(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.runAfter(delayMs, resolve);
  });
}
