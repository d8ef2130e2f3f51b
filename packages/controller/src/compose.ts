import { randomUUID } from 'node:crypto';
import { container, instanceCachingFactory } from 'tsyringe';
import {
  createConfigStore,
  createEngineClient,
  loadHashFunctions,
  createHostList,
  createHttpClient,
  createHttpServer,
  createLog,
  createMetrics,
  createObjectStore,
  createSystemClock,
  createTableStore,
  createWeightStore,
  sendText,
} from '@mimosamill/adapters';
import { runDuties } from './duties';
import { createLeaseManager } from './lease/manager';
import { createEngineFleet } from './move/fleet';
import { createMoveRunner } from './move/runner';
import { createVersionConfigStore } from './move/version-config';
import { createWithdrawalPoller } from './move/withdrawals';
import { createOrderRunner } from './order/runner';
import type {
  Clock,
  EngineClient,
  HashFunctions,
  HostList,
  HttpClient,
  HttpServer,
  Log,
  Metrics,
  RunningProgram,
  TableStore,
} from '@mimosamill/adapters';
import type { DependencyContainer, InjectionToken } from 'tsyringe';
import type { RunningDuties, Duty } from './duties';
import type { VersionConfigStore } from './move/version-config';
import type { WithdrawalPoller } from './move/withdrawals';
import type { ControllerSettings } from './settings';

const TOKENS = {
  clock: Symbol('clock'),
  log: Symbol('log'),
  metrics: Symbol('metrics'),
  http: Symbol('http'),
  tables: Symbol('tables'),
  hosts: Symbol('hosts'),
  engines: Symbol('engines'),
  config: Symbol('config'),
  withdrawals: Symbol('withdrawals'),
  moves: Symbol('moves'),
  orders: Symbol('orders'),
  server: Symbol('server'),
} as const;

const DRAIN_TIMEOUT_MS = 2_000;
const CONNECTIONS_PER_SERVER = 4;

/** Starts the duties, and the HTTP server for health probes and metrics. */
export async function startController(settings: ControllerSettings): Promise<RunningProgram> {
  const root = compose(settings, await loadHashFunctions());
  const clock = root.resolve<Clock>(TOKENS.clock);
  const log = root.resolve<Log>(TOKENS.log);
  const server = root.resolve<HttpServer>(TOKENS.server);
  const port = await server.listen(settings.ip, settings.port);
  const duties: RunningDuties = runDuties(
    [root.resolve<Duty>(TOKENS.moves), root.resolve<Duty>(TOKENS.orders)],
    clock,
    log,
  );
  log.info('listening', { ip: settings.ip, port });
  process.stdout.write('ready\n');
  return {
    stop: async () => {
      await duties.stop();
      await server.drain(DRAIN_TIMEOUT_MS);
      await root.resolve<HttpClient>(TOKENS.http).close();
    },
  };
}

/** Registers the components of the binary; no other code uses the dependency container. */
function compose(settings: ControllerSettings, hashes: HashFunctions): DependencyContainer {
  const root = container.createChildContainer();
  const platform = { address: settings.platform, timeoutMs: settings.platformTimeoutMs };
  // Unique per process, so that a restarted controller is a different holder of its leases.
  const holder = `${settings.hostId}/${randomUUID()}`;
  const add = <T>(token: InjectionToken<T>, create: (c: DependencyContainer) => T): void => {
    root.register(token, { useFactory: instanceCachingFactory(create) });
  };
  add<Clock>(TOKENS.clock, createSystemClock);
  add<Log>(TOKENS.log, () => createLog('controller', settings.logLevel));
  add<Metrics>(TOKENS.metrics, createMetrics);
  add<HttpClient>(TOKENS.http, () => createHttpClient(CONNECTIONS_PER_SERVER));
  add<TableStore>(TOKENS.tables, (c) => createTableStore(c.resolve(TOKENS.http), platform));
  add<HostList>(TOKENS.hosts, (c) => createHostList(c.resolve(TOKENS.http), platform));
  add<EngineClient>(TOKENS.engines, (c) =>
    createEngineClient(c.resolve(TOKENS.http), {
      timeoutMs: settings.engineTimeoutMs,
      orderTimeoutMs: settings.orderTimeoutMs,
    }),
  );
  add<VersionConfigStore>(TOKENS.config, (c) => {
    const objects = createObjectStore(c.resolve(TOKENS.http), platform);
    const clock = c.resolve<Clock>(TOKENS.clock);
    return createVersionConfigStore(
      createConfigStore(c.resolve(TOKENS.tables), objects, clock),
      clock,
    );
  });
  add<WithdrawalPoller>(TOKENS.withdrawals, (c) =>
    createWithdrawalPoller(
      c.resolve(TOKENS.http),
      settings.routerPeerAddress,
      c.resolve(TOKENS.clock),
    ),
  );
  add<Duty>(TOKENS.moves, (c) => createMovesDuty(c, settings, holder, hashes));
  add<Duty>(TOKENS.orders, (c) => createOrdersDuty(c, settings, holder));
  add<HttpServer>(TOKENS.server, (c) => createProbeServer(c.resolve(TOKENS.metrics)));
  return root;
}

function createMovesDuty(
  c: DependencyContainer,
  settings: ControllerSettings,
  holder: string,
  hashes: HashFunctions,
): Duty {
  const http = c.resolve<HttpClient>(TOKENS.http);
  const tables = c.resolve<TableStore>(TOKENS.tables);
  const clock = c.resolve<Clock>(TOKENS.clock);
  const log = c.resolve<Log>(TOKENS.log);
  const withdrawals = c.resolve<WithdrawalPoller>(TOKENS.withdrawals);
  const platform = { address: settings.platform, timeoutMs: settings.platformTimeoutMs };
  const metrics = c.resolve<Metrics>(TOKENS.metrics);
  const ended = metrics.counter('mimosamill_moves_ended_total', 'Version moves ended', ['state']);
  const reversed = metrics.counter(
    'mimosamill_moves_reversed_total',
    'Moves recorded as done whose new version was withdrawn afterwards',
  );
  const lease = createLeaseManager(
    { duty: 'moves', holder, termMs: settings.leaseTermMs },
    tables,
    clock,
  );
  const runner = createMoveRunner({
    tables,
    clock,
    lease,
    config: c.resolve<VersionConfigStore>(TOKENS.config),
    fleet: createEngineFleet({
      hosts: c.resolve(TOKENS.hosts),
      engines: c.resolve(TOKENS.engines),
      weights: createWeightStore(http, platform),
      tables,
      hash: hashes.hash32,
    }),
    withdrawals,
    onEnded: (record) => {
      ended.inc({ state: record.state });
      const { id, service, fromVersion, toVersion, state, reason } = record;
      log.info('a version move ended', { id, service, fromVersion, toVersion, state, reason });
    },
    onReversed: (record, reason) => {
      reversed.inc();
      const { id, service, fromVersion, toVersion } = record;
      const fields = { id, service, fromVersion, toVersion, reason };
      log.warn('a version was withdrawn after its move was done; the old version serves', fields);
    },
  });
  const poll = async (): Promise<void> => {
    await withdrawals.poll();
    await runner.poll();
  };
  return { name: 'moves', lease, poll };
}

function createOrdersDuty(
  c: DependencyContainer,
  settings: ControllerSettings,
  holder: string,
): Duty {
  const tables = c.resolve<TableStore>(TOKENS.tables);
  const clock = c.resolve<Clock>(TOKENS.clock);
  const config = c.resolve<VersionConfigStore>(TOKENS.config);
  const metrics = c.resolve<Metrics>(TOKENS.metrics);
  const sent = metrics.counter('mimosamill_orders_sent_total', 'Orders sent to engines', [
    'outcome',
  ]);
  const lease = createLeaseManager(
    { duty: 'orders', holder, termMs: settings.leaseTermMs },
    tables,
    clock,
  );
  const runner = createOrderRunner({
    tables,
    clock,
    lease,
    hosts: c.resolve(TOKENS.hosts),
    engines: c.resolve(TOKENS.engines),
    config,
    limits: { orderTimeoutMs: settings.orderTimeoutMs, lingerMs: settings.orderLingerMs },
    onOrderOutcome: (outcome) => sent.inc({ outcome }),
  });
  return { name: 'orders', lease, poll: runner.poll };
}

function createProbeServer(metrics: Metrics): HttpServer {
  const server = createHttpServer();
  server.app.get('/healthz', (_req, res) => sendText(res, 200, 'text/plain', 'ok\n'));
  server.app.get('/readyz', (_req, res) => sendText(res, 200, 'text/plain', 'ok\n'));
  server.app.get('/metrics', async (_req, res) => {
    sendText(res, 200, metrics.contentType, await metrics.text());
  });
  return server;
}
