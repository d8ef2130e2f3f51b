import { describe, expect, it } from 'vitest';
import { asId } from '@mimosamill/core';
import {
  createFakeTableStore,
  createTableStoreModel,
  createVirtualTime,
  NO_FAULTS,
} from '@mimosamill/fakes';
import {
  createEngineFleet,
  createLeaseManager,
  createOrderRunner,
  orderKey,
  runDuties,
  canonicalTargetText,
  toOrderValue,
} from '../src/index';
import { NEW_VERSION, OLD_VERSION, SERVICE } from './fixtures';
import type {
  EngineOrder,
  EngineTarget,
  ListedHost,
  Log,
  EngineOrderOutcome,
  TableStore,
} from '@mimosamill/adapters';
import type {
  EngineId,
  EngineServiceConfig,
  FailureDomain,
  HostId,
  Region,
  TeamId,
} from '@mimosamill/core';
import type { VirtualProcess } from '@mimosamill/fakes';
import type { RunningDuties } from '../src/index';

const ENGINE_HOST: ListedHost = {
  hostId: asId<HostId>('e-1'),
  role: 'engine',
  service: SERVICE,
  address: '10.0.0.1:1',
  region: asId<Region>('region'),
  failureDomain: asId<FailureDomain>('domain'),
  state: 'live',
};
const SILENT_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function createTarget(...versions: string[]): EngineTarget {
  const loaded = versions.map((version) => ({ model: 'm', version, adapters: [] }));
  return { loaded, role: 'mixed' };
}

function createService(fencing: 'enforced' | 'ignored'): EngineServiceConfig {
  return {
    kind: 'engine',
    name: SERVICE,
    team: asId<TeamId>('team'),
    model: 'm',
    adapters: [],
    stableVersion: OLD_VERSION,
    fencing,
  };
}

/** One engine, and controllers whose processes can be paused right before they send an order. */
function createOrderFixture(fencing: 'enforced' | 'ignored') {
  const time = createVirtualTime();
  const model = createTableStoreModel();
  const tables = createFakeTableStore(
    model,
    time.clock,
    () => NO_FAULTS,
    () => 0.5,
  );
  const engine = { target: createTarget(OLD_VERSION), highestFencingNumber: 0 };
  const log: string[] = [];
  let pauseBeforeOrderMs = 0;

  function apply(order: EngineOrder): EngineOrderOutcome {
    const { highestFencingNumber } = engine;
    const isStale = order.fencingNumber < highestFencingNumber;
    const versions = order.target.loaded.map((entry) => entry.version).join('+');
    const seconds = Math.floor(time.clock.monotonicMs() / 1_000);
    const isRefused = isStale && fencing === 'enforced';
    const verb = isRefused ? 'refused' : 'applied';
    log.push(`${seconds} s: ${verb} ${versions} with number ${order.fencingNumber}`);
    if (isRefused) return { kind: 'stale', highestFencingNumber };
    engine.target = order.target;
    engine.highestFencingNumber = Math.max(order.fencingNumber, highestFencingNumber);
    return { kind: 'ok' };
  }

  function start(holder: string): { process: VirtualProcess; duties: RunningDuties } {
    const process = time.createProcess();
    const ownTables: TableStore = {
      read: (keys) => process.receiveResult(tables.read(keys)),
      scan: (prefix, after, limit) => process.receiveResult(tables.scan(prefix, after, limit)),
      commit: (transaction) => process.receiveResult(tables.commit(transaction)),
    };
    const settings = { duty: 'orders', holder, termMs: 10_000 };
    const lease = createLeaseManager(settings, ownTables, process.clock);
    const runner = createOrderRunner({
      tables: ownTables,
      clock: process.clock,
      lease,
      hosts: { read: async () => ({ kind: 'ok', hosts: [ENGINE_HOST], asOfMs: 0 }) },
      engines: {
        readState: async () => ({
          kind: 'ok',
          value: { engineId: asId<EngineId>('e-1'), ...engine, loaded: [], loading: [] },
        }),
        sendOrder: (_address, order) => {
          // The process is paused after it has checked the lease and before it sends the order.
          if (pauseBeforeOrderMs > 0) process.pause(pauseBeforeOrderMs);
          pauseBeforeOrderMs = 0;
          return new Promise((resolve) => {
            process.clock.runAfter(0, () => resolve(apply(order)));
          });
        },
      },
      config: { read: async () => createService(fencing) },
      limits: { orderTimeoutMs: 2_000, lingerMs: 3_000 },
      onOrderOutcome: () => undefined,
    });
    const duties = runDuties(
      [{ name: 'orders', lease, poll: runner.poll }],
      process.clock,
      SILENT_LOG,
    );
    return { process, duties };
  }

  return {
    time,
    log,
    engine,
    start,
    setTarget: (target: EngineTarget) => {
      const value = toOrderValue({ engineId: 'e-1', service: SERVICE, target });
      const writes = [{ kind: 'put', key: orderKey('e-1'), value } as const];
      model.commit({ conditions: [], writes }, time.clock.nowMs());
    },
    pauseBeforeNextOrder: (forMs: number) => {
      pauseBeforeOrderMs = forMs;
    },
  };
}

describe('orders of a holder that was paused', () => {
  // Guards against an engine that keeps an old target: a holder that was paused after its check of
  // the lease sends its order only when another host has taken over.
  async function runPaused(fencing: 'enforced' | 'ignored') {
    const fixture = createOrderFixture(fencing);
    fixture.start('a');
    await fixture.time.run(2_000);
    fixture.pauseBeforeNextOrder(40_000);
    fixture.setTarget(createTarget(OLD_VERSION, NEW_VERSION));
    fixture.start('b');
    await fixture.time.run(5_000);
    fixture.setTarget(createTarget(OLD_VERSION));
    await fixture.time.run(20_000);
    fixture.setTarget(createTarget(NEW_VERSION));
    await fixture.time.run(90_000);
    expect(canonicalTargetText(fixture.engine.target)).toBe(
      canonicalTargetText(createTarget(NEW_VERSION)),
    );
    return fixture.log;
  }

  it('are refused by an engine that checks fencing numbers', async () => {
    expect(await runPaused('enforced')).toMatchInlineSnapshot(`
      [
        "15 s: applied v1 with number 2",
        "21 s: applied v2 with number 2",
        "43 s: refused v1+v2 with number 1",
      ]
    `);
  });

  it('are replaced by the new holder at an engine that ignores fencing numbers', async () => {
    expect(await runPaused('ignored')).toMatchInlineSnapshot(`
      [
        "25 s: applied v2 with number 2",
        "43 s: applied v1+v2 with number 1",
        "46 s: applied v2 with number 2",
      ]
    `);
  });

  it('do not delay the next holder after a planned stop', async () => {
    // Guards against a new holder that waits for orders in flight although the lease was released.
    const fixture = createOrderFixture('ignored');
    const first = fixture.start('a');
    await fixture.time.run(2_000);
    void first.duties.stop();
    fixture.start('b');
    await fixture.time.run(4_000);
    fixture.setTarget(createTarget(NEW_VERSION));
    await fixture.time.run(6_000);
    expect(canonicalTargetText(fixture.engine.target)).toBe(
      canonicalTargetText(createTarget(NEW_VERSION)),
    );
  });
});

describe('engine fleet', () => {
  it('orders a version onto no more engines than may load at a time', async () => {
    // Guards against further rounds that order the version onto more engines while the first ones
    // are still loading.
    const time = createVirtualTime();
    const model = createTableStoreModel();
    const hosts = Array.from({ length: 6 }, (_, i) => ({
      ...ENGINE_HOST,
      hostId: asId<HostId>(`e-${i}`),
    }));
    const { loaded } = createTarget(OLD_VERSION);
    const fleet = createEngineFleet({
      hosts: { read: async () => ({ kind: 'ok', hosts, asOfMs: 0 }) },
      engines: {
        readLoad: async () => ({ kind: 'ok', value: createLoad(loaded) }),
        readState: async () => ({
          kind: 'ok',
          value: {
            engineId: asId<EngineId>(''),
            target: createTarget(OLD_VERSION),
            loaded,
            loading: [],
            highestFencingNumber: 0,
          },
        }),
      },
      weights: { describe: async () => ({ kind: 'ok', sizeBytes: 1, bytesPerSec: 1 }) },
      tables: createFakeTableStore(
        model,
        time.clock,
        () => NO_FAULTS,
        () => 0.5,
      ),
      hash: (text) => text.length + text.charCodeAt(0),
    });
    for (let round = 0; round < 3; round += 1) {
      await fleet.load(createService('ignored'), NEW_VERSION, 4, 2);
    }
    const rows = model.scan('orders/', '', 10, 0);
    const targets = rows.map((row) => (row.value as unknown as { target: EngineTarget }).target);
    expect(targets.map(canonicalTargetText)).toEqual(
      Array(2).fill(canonicalTargetText(createTarget(OLD_VERSION, NEW_VERSION))),
    );
  });
});

function createLoad(loaded: EngineTarget['loaded']) {
  return {
    engineId: asId<EngineId>(''),
    state: 'live',
    role: 'mixed',
    running: 3,
    queued: 0,
    maxRunning: 10,
    cacheUsedRatio: 0,
    stepMs: 10,
    loaded,
    reportAgeMs: 0,
  } as const;
}
