import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyChanges, asId, asRevision, EMPTY_CONFIG } from '@mimosamill/core';
import {
  createFakeObjectStore,
  createFakeTableStore,
  createTableStoreModel,
  NO_FAULTS,
} from '@mimosamill/fakes';
import { createConfigStore, SNAPSHOT_INTERVAL } from '../src/index';
import type { ConfigChange, FleetConfig, OperationId } from '@mimosamill/core';
import type {
  Clock,
  CommitRevisionOutcome,
  ConfigStore,
  ObjectStore,
  TableStore,
} from '../src/index';

/** Answers of successive commits; 'late' and 'lost' take effect, 'dropped' does not. */
type CommitFault = 'none' | 'lost' | 'dropped' | 'late' | 'unavailable';

/** Delays pass in one turn of the event loop. */
const INSTANT_CLOCK: Clock = {
  nowMs: () => 0,
  monotonicMs: () => 0,
  runAfter: (_delayMs, fn) => {
    setImmediate(fn);
    return () => undefined;
  },
  runEvery: () => () => undefined,
};

interface StoreFixture {
  readonly tables: TableStore;
  readonly objects: ObjectStore;
  readonly createStore: (faults?: readonly CommitFault[]) => ConfigStore;
  readonly applyLateCommits: () => Promise<void>;
  readonly commitCount: () => number;
}

function createStoreFixture(): StoreFixture {
  const tables = createFakeTableStore(
    createTableStoreModel(),
    INSTANT_CLOCK,
    () => NO_FAULTS,
    () => 1,
  );
  const objects = createFakeObjectStore(
    INSTANT_CLOCK,
    () => NO_FAULTS,
    () => 1,
  );
  const late: (() => Promise<unknown>)[] = [];
  let commits = 0;

  function withFaults(faults: CommitFault[]): TableStore {
    return {
      ...tables,
      commit: async (transaction) => {
        commits += 1;
        const fault = faults.shift() ?? 'none';
        if (fault === 'unavailable') return { kind: 'unavailable', message: 'test' };
        if (fault === 'lost') await tables.commit(transaction);
        if (fault === 'late') late.push(() => tables.commit(transaction));
        return fault === 'none' ? tables.commit(transaction) : { kind: 'unknown', message: 'test' };
      },
    };
  }

  return {
    tables,
    objects,
    createStore: (faults = []) =>
      createConfigStore(withFaults([...faults]), objects, INSTANT_CLOCK),
    applyLateCommits: async () => {
      await Promise.all(late.splice(0).map((apply) => apply()));
    },
    commitCount: () => commits,
  };
}

function rateLimitChange(value: number): ConfigChange {
  return { kind: 'set_defaults', defaults: { requestsPerSec: value } };
}

function submit(
  store: ConfigStore,
  baseConfig: FleetConfig,
  operationId: string,
  value: number,
): Promise<CommitRevisionOutcome> {
  return store.commit({
    baseConfig,
    changes: [rateLimitChange(value)],
    who: operationId,
    why: 'test',
    operationId: asId<OperationId>(operationId),
    digest: String(value),
    atMs: 0,
  });
}

async function readConfig(store: ConfigStore): Promise<FleetConfig> {
  const outcome = await store.readConfig();
  if (outcome.kind !== 'ok') throw new Error(outcome.message);
  return outcome.config;
}

describe('stored configuration', () => {
  // Guards against two operators who both read revision N and both believe theirs is N + 1, and
  // against an acceptance that is reported but not stored, or stored twice.
  it('accepts exactly one of two racing operators, whatever happens to the answers', async () => {
    const faults = fc.array(
      fc.constantFrom<CommitFault>('none', 'lost', 'dropped', 'late', 'unavailable'),
      { maxLength: 5 },
    );
    await fc.assert(
      fc.asyncProperty(faults, faults, async (mine, theirs) => {
        const world = createStoreFixture();
        const outcomes = await Promise.all([
          submit(world.createStore(mine), EMPTY_CONFIG, 'op-a', 1),
          submit(world.createStore(theirs), EMPTY_CONFIG, 'op-b', 2),
        ]);
        await world.applyLateCommits();
        const accepted = outcomes.filter(({ kind }) => kind === 'accepted');
        const config = await readConfig(world.createStore());
        const winner = config.defaults.requestsPerSec;
        expect(accepted.length).toBeLessThanOrEqual(1);
        expect(config.revision).toBeLessThanOrEqual(1);
        outcomes.forEach((outcome, index) => {
          const isInForce = config.revision === 1 && winner === index + 1;
          if (outcome.kind === 'accepted') expect(isInForce).toBe(true);
          if (outcome.kind === 'conflict' || outcome.kind === 'unavailable') {
            expect(isInForce).toBe(false);
          }
        });
        const isCertain = outcomes.every(({ kind }) => kind === 'accepted' || kind === 'conflict');
        if (isCertain) expect(accepted.length).toBe(1);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  // Guards against a lost answer that makes the operator's change be applied twice or reported lost.
  it('looks a lost answer up by its operation id and does not commit again', async () => {
    const world = createStoreFixture();
    const outcome = await submit(world.createStore(['lost']), EMPTY_CONFIG, 'op-a', 7);
    expect(outcome).toMatchObject({
      kind: 'accepted',
      wasLookedUp: true,
      revision: { revision: 1 },
    });
    expect(world.commitCount()).toBe(1);
    const repeated = await submit(world.createStore(), EMPTY_CONFIG, 'op-a', 7);
    expect(repeated).toMatchObject({ kind: 'accepted', wasLookedUp: true });
    expect(world.commitCount()).toBe(1);
    const reused = await submit(world.createStore(), EMPTY_CONFIG, 'op-a', 8);
    expect(reused.kind).toBe('operation_reused');
  });

  // Guards against calling an unanswered change refused although a late copy may still apply.
  it('reports an outcome it cannot establish as unknown', async () => {
    const world = createStoreFixture();
    const lost: CommitFault[] = ['late', 'dropped', 'dropped', 'dropped'];
    const outcome = await submit(world.createStore(lost), EMPTY_CONFIG, 'op-a', 1);
    expect(outcome.kind).toBe('unknown');
    await world.applyLateCommits();
    const found = await world.createStore().findOperation(asId<OperationId>('op-a'));
    expect(found.kind).toBe('found');
  });

  // Guards against an operator who cannot see what the own change collided with.
  it('returns the other change to the operator who came second', async () => {
    const store = createStoreFixture().createStore();
    await submit(store, EMPTY_CONFIG, 'op-a', 1);
    expect(await submit(store, EMPTY_CONFIG, 'op-b', 2)).toMatchObject({
      kind: 'conflict',
      theirs: [{ revision: 1, who: 'op-a', changes: [rateLimitChange(1)] }],
    });
  });

  // Guards against a bootstrap that grows with the history, or a snapshot that differs from it.
  it('reads the same configuration from snapshot and tail as from the whole history', async () => {
    const world = createStoreFixture();
    const store = world.createStore();
    const count = 2 * SNAPSHOT_INTERVAL + 7;
    let config = EMPTY_CONFIG;
    for (let value = 1; value <= count; value += 1) {
      await submit(store, config, `op-${value}`, value);
      config = applyChanges(config, [rateLimitChange(value)]);
    }
    const head = await store.readHead();
    expect(head).toMatchObject({
      head: { revision: count, snapshotRevision: 2 * SNAPSHOT_INTERVAL },
    });
    expect(await readConfig(store)).toEqual(config);
    const earlier = await store.readConfigAt(asRevision(SNAPSHOT_INTERVAL - 1));
    expect(earlier).toMatchObject({ config: { revision: SNAPSHOT_INTERVAL - 1 } });
  });

  // Guards against routers that cannot start because one object of the store is damaged.
  it('applies the whole history when the snapshot is damaged', async () => {
    const world = createStoreFixture();
    const store = world.createStore();
    let config = EMPTY_CONFIG;
    for (let value = 1; value <= SNAPSHOT_INTERVAL + 3; value += 1) {
      await submit(store, config, `op-${value}`, value);
      config = applyChanges(config, [rateLimitChange(value)]);
    }
    const names = await world.objects.list('');
    expect(names).toMatchObject({ kind: 'ok', names: [expect.any(String)] });
    const [name = ''] = names.kind === 'ok' ? names.names : [];
    for (const body of ['{"revision":50,"defaults"', '[]', '{"revision":50}']) {
      await world.objects.put(name, body);
      expect(await readConfig(store)).toEqual(config);
    }
  });
});
