import {
  createConfigStore,
  createLog,
  createMetrics,
  createSystemClock,
  sha256Hex,
} from '@mimosamill/adapters';
import { asRevision } from '@mimosamill/core';
import {
  createFakeObjectStore,
  createFakeTableStore,
  createTableStoreModel,
  NO_FAULTS,
} from '@mimosamill/fakes';
import {
  createAdminClient,
  createAdminServer,
  createCommands,
  createConfigAdmin,
  createFirstAdministrator,
  createMoveAdmin,
} from '../src/index';
import type { Clock, Metrics, TableStore } from '@mimosamill/adapters';
import type { Region } from '@mimosamill/core';
import type { StoreFaults } from '@mimosamill/fakes';
import type { AdminClient, RouterRevision } from '../src/index';

export const FLEET_KEY = 'fleet-key';
const NOW_MS = Date.UTC(2026, 11, 4, 12, 0, 0);

export interface AdminFixture {
  readonly metrics: Metrics;
  readonly tables: TableStore;
  /** Number of table reads so far. */
  readonly tableReads: () => number;
  readonly address: string;
  readonly clientFor: (key: string) => AdminClient;
  /** Runs a command of mimosactl; returns what it printed and its exit code. */
  readonly runCommand: (
    key: string,
    command: (commands: ReturnType<typeof createCommands>) => Promise<number>,
  ) => Promise<string>;
  readonly setFaults: (faults: Partial<StoreFaults>) => void;
  /** Creates the first administrator again, as a restarted process does. */
  readonly createFirstAdministrator: (key: string) => Promise<unknown>;
  readonly close: () => Promise<void>;
}

function createRouterRevision(
  routerId: string,
  region: string,
  revision: number | undefined,
): RouterRevision {
  return {
    routerId,
    region: region as Region,
    failureDomain: `${region}-1`,
    state: 'alive',
    revision: revision === undefined ? undefined : asRevision(revision),
  };
}

/** Starts the administration API on loopback, with in-process fakes and a fixed wall-clock time. */
export async function startAdminFixture(): Promise<AdminFixture> {
  const systemClock = createSystemClock();
  const clock: Clock = { ...systemClock, nowMs: () => NOW_MS };
  let faults: StoreFaults = NO_FAULTS;
  const model = createTableStoreModel();
  const tables = createFakeTableStore(
    model,
    clock,
    () => faults,
    () => 0,
  );
  const objects = createFakeObjectStore(
    clock,
    () => faults,
    () => 0,
  );
  const store = createConfigStore(tables, objects, clock);
  const metrics = createMetrics();
  const server = createAdminServer({
    config: createConfigAdmin(store, clock, () => undefined),
    moves: createMoveAdmin(tables, clock, async (order) =>
      order.toVersion === 'missing' ? 'the weight store has no version missing' : undefined,
    ),
    readRouterRevisions: async () => ({
      kind: 'ok',
      nodes: [
        createRouterRevision('r1', 'guild', 4),
        createRouterRevision('r2', 'guild', 3),
        createRouterRevision('r3', 'traunsee', undefined),
      ],
    }),
    clock,
    metrics,
    log: createLog('test', 'silent'),
    version: '0.0.0',
  });
  const createFirstAdministratorWith = (key: string): Promise<unknown> =>
    createFirstAdministrator(store, clock, {
      team: 'operators',
      name: 'ana',
      keyHash: sha256Hex(key),
    });
  await createFirstAdministratorWith(FLEET_KEY);
  const address = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
  const clients = new Map<string, AdminClient>();

  function clientFor(key: string): AdminClient {
    const known = clients.get(key) ?? createAdminClient({ server: address, key });
    clients.set(key, known);
    return known;
  }

  return {
    metrics,
    tables,
    tableReads: () => model.operationCounts().reads,
    address,
    clientFor,
    createFirstAdministrator: createFirstAdministratorWith,
    runCommand: async (key, command) => {
      const lines: string[] = [];
      const print = (text: string): void => {
        lines.push(text);
      };
      const context = { client: clientFor(key), print, printError: print, nowMs: () => NOW_MS };
      const code = await command(createCommands(context));
      return `${lines.join('\n')}\nexit ${code}`;
    },
    setFaults: (next) => {
      faults = { ...NO_FAULTS, ...next };
    },
    close: async () => {
      await Promise.all([...clients.values()].map((client) => client.close()));
      await server.close();
    },
  };
}
