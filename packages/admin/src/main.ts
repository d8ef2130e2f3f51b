import '@mimosamill/adapters/flags';
import 'reflect-metadata';
import { cac } from 'cac';
import { container, instanceCachingFactory } from 'tsyringe';
import {
  createConfigStore,
  createHostList,
  createHttpClient,
  createLog,
  createMetrics,
  createObjectStore,
  createSystemClock,
  createTableStore,
  createWeightStore,
  runProgram,
} from '@mimosamill/adapters';
import { createAdminServer } from './api/server';
import { createConfigAdmin } from './config/admin';
import { createFirstAdministrator } from './config/first-administrator';
import { createRevisionAnnouncer, createRouterRevisionReader } from './fleet/router-revisions';
import { createMoveAdmin } from './move/admin';
import { createFeasibilityCheck } from './move/feasibility';
import { adminSettingsSchema } from './settings';
import type {
  Clock,
  ConfigStore,
  HttpClient,
  HttpServer,
  Log,
  Metrics,
  ProgramOptions,
  RunningProgram,
  TableStore,
} from '@mimosamill/adapters';
import type { DependencyContainer, InjectionToken } from 'tsyringe';
import type { ConfigAdmin } from './config/admin';
import type { MoveAdmin } from './move/admin';
import type { AdminSettings } from './settings';

const VERSION = '0.1.0';
const FIRST_ADMINISTRATOR_RETRY_MS = 2_000;
const DRAIN_TIMEOUT_MS = 5_000;

const TOKENS = {
  clock: Symbol('clock'),
  log: Symbol('log'),
  metrics: Symbol('metrics'),
  http: Symbol('http'),
  tables: Symbol('tables'),
  store: Symbol('store'),
  config: Symbol('config'),
  moves: Symbol('moves'),
  server: Symbol('server'),
} as const;

/** Registers the components of the binary; no other code uses the dependency container. */
function compose(settings: AdminSettings): DependencyContainer {
  const root = container.createChildContainer();
  const platform = { address: settings.platform, timeoutMs: settings.platformTimeoutMs };
  const add = <T>(token: InjectionToken<T>, create: (c: DependencyContainer) => T): void => {
    root.register(token, { useFactory: instanceCachingFactory(create) });
  };
  add<Clock>(TOKENS.clock, createSystemClock);
  add<Log>(TOKENS.log, () => createLog('admin', settings.logLevel));
  add<Metrics>(TOKENS.metrics, createMetrics);
  add<HttpClient>(TOKENS.http, () => createHttpClient());
  add<TableStore>(TOKENS.tables, (c) => createTableStore(c.resolve(TOKENS.http), platform));
  add<ConfigStore>(TOKENS.store, (c) =>
    createConfigStore(
      c.resolve(TOKENS.tables),
      createObjectStore(c.resolve(TOKENS.http), platform),
      c.resolve(TOKENS.clock),
    ),
  );
  add<ConfigAdmin>(TOKENS.config, (c) =>
    createConfigAdmin(
      c.resolve(TOKENS.store),
      c.resolve(TOKENS.clock),
      createRevisionAnnouncer(settings.routerPeer),
    ),
  );
  add<MoveAdmin>(TOKENS.moves, (c) => {
    const http = c.resolve<HttpClient>(TOKENS.http);
    const clock = c.resolve<Clock>(TOKENS.clock);
    const feasibility = createFeasibilityCheck(
      createHostList(http, platform),
      createWeightStore(http, platform),
      clock,
    );
    return createMoveAdmin(c.resolve(TOKENS.tables), clock, feasibility);
  });
  add<HttpServer>(TOKENS.server, (c) =>
    createAdminServer({
      config: c.resolve(TOKENS.config),
      moves: c.resolve(TOKENS.moves),
      readRouterRevisions: createRouterRevisionReader(settings.routerPeer),
      clock: c.resolve(TOKENS.clock),
      metrics: c.resolve(TOKENS.metrics),
      log: c.resolve(TOKENS.log),
      version: VERSION,
    }),
  );
  return root;
}

/** Creates the first administrator of the settings, and tries again while the store is down. */
async function ensureFirstAdministrator(
  settings: AdminSettings,
  root: DependencyContainer,
): Promise<void> {
  const { firstAdministrator } = settings;
  if (firstAdministrator === undefined) return;
  const clock = root.resolve<Clock>(TOKENS.clock);
  const log = root.resolve<Log>(TOKENS.log);
  const outcome = await createFirstAdministrator(
    root.resolve(TOKENS.store),
    clock,
    firstAdministrator,
  );
  if (outcome === 'retry') {
    clock.runAfter(FIRST_ADMINISTRATOR_RETRY_MS, () => {
      void ensureFirstAdministrator(settings, root);
    });
  } else if (outcome === 'created') {
    log.info('the first administrator was created', { administrator: firstAdministrator.name });
  } else if (outcome !== 'not_needed') {
    log.error('firstAdministrator in the settings is not valid; no administrator was created', {
      message: outcome.message,
    });
  }
}

async function start(settings: AdminSettings): Promise<RunningProgram> {
  const root = compose(settings);
  await ensureFirstAdministrator(settings, root);
  const server = root.resolve<HttpServer>(TOKENS.server);
  const port = await server.listen(settings.ip, settings.port);
  root.resolve<Log>(TOKENS.log).info('listening', { ip: settings.ip, port });
  process.stdout.write('ready\n');
  return {
    stop: async () => {
      await server.drain(DRAIN_TIMEOUT_MS);
      await root.resolve<HttpClient>(TOKENS.http).close();
    },
  };
}

const cli = cac('mimosamill-admin');
cli
  .command('', 'Serve the administration API')
  .option('--config <file>', 'Settings file')
  .option('--check-config', 'Check the settings and exit')
  .action((options: ProgramOptions) => runProgram(options, adminSettingsSchema, start));
cli.help();
cli.version(VERSION);
cli.parse();
