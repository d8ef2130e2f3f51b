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

/**
 * What happens to a commit. Without an answer, it takes effect at once ('lost'), when the test
 * applies it later ('late') or never ('dropped').
 */
type CommitFault = 'none' | 'lost' | 'dropped' | 'late' | 'unavailable';

/** A clock whose delays end in the next turn of the event loop. */
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
  // Guards against two operators who both read revision N and are both told that their change is
  // N + 1, and against a change that is reported as accepted but not stored, or is stored twice.
  it('accepts exactly one of two concurrent changes if both outcomes are known, and never both', async () => {
    const faults = fc.array(
      fc.constantFrom<CommitFault>('none', 'lost', 'dropped', 'late', 'unavailable'),
      { maxLength: 5 },
    );
    await fc.assert(
      fc.asyncProperty(faults, faults, async (mine, theirs) => {
        const fixture = createStoreFixture();
        const outcomes = await Promise.all([
          submit(fixture.createStore(mine), EMPTY_CONFIG, 'op-a', 1),
          submit(fixture.createStore(theirs), EMPTY_CONFIG, 'op-b', 2),
        ]);
        await fixture.applyLateCommits();
        const accepted = outcomes.filter(({ kind }) => kind === 'accepted');
        const config = await readConfig(fixture.createStore());
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

  // Guards against a change that is applied twice or reported as failed because its answer was lost.
  it('finds a commit with a lost answer by its operation id and does not repeat it', async () => {
    const fixture = createStoreFixture();
    const outcome = await submit(fixture.createStore(['lost']), EMPTY_CONFIG, 'op-a', 7);
    expect(outcome).toMatchObject({
      kind: 'accepted',
      wasLookedUp: true,
      revision: { revision: 1 },
    });
    expect(fixture.commitCount()).toBe(1);
    const repeated = await submit(fixture.createStore(), EMPTY_CONFIG, 'op-a', 7);
    expect(repeated).toMatchObject({ kind: 'accepted', wasLookedUp: true });
    expect(fixture.commitCount()).toBe(1);
    const reused = await submit(fixture.createStore(), EMPTY_CONFIG, 'op-a', 8);
    expect(reused.kind).toBe('operation_reused');
  });

  // Guards against reporting an unanswered change as refused although it may still be applied.
  it('reports the outcome as unknown if no commit is answered', async () => {
    const fixture = createStoreFixture();
    const lost: CommitFault[] = ['late', 'dropped', 'dropped', 'dropped'];
    const outcome = await submit(fixture.createStore(lost), EMPTY_CONFIG, 'op-a', 1);
    expect(outcome.kind).toBe('unknown');
    await fixture.applyLateCommits();
    const found = await fixture.createStore().findOperation(asId<OperationId>('op-a'));
    expect(found.kind).toBe('found');
  });

  // Guards against a conflict that does not tell the operator which change caused it.
  it('returns the accepted change to the operator whose change conflicts with it', async () => {
    const store = createStoreFixture().createStore();
    await submit(store, EMPTY_CONFIG, 'op-a', 1);
    expect(await submit(store, EMPTY_CONFIG, 'op-b', 2)).toMatchObject({
      kind: 'conflict',
      theirs: [{ revision: 1, who: 'op-a', changes: [rateLimitChange(1)] }],
    });
  });

  // Guards against a start that reads the whole history, and against a wrong snapshot.
  it('reads the same configuration from a snapshot as from the whole history', async () => {
    const fixture = createStoreFixture();
    const store = fixture.createStore();
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

  // Guards against routers that cannot start because a snapshot object is damaged.
  it('applies the whole history if the snapshot is damaged', async () => {
    const fixture = createStoreFixture();
    const store = fixture.createStore();
    let config = EMPTY_CONFIG;
    for (let value = 1; value <= SNAPSHOT_INTERVAL + 3; value += 1) {
      await submit(store, config, `op-${value}`, value);
      config = applyChanges(config, [rateLimitChange(value)]);
    }
    const names = await fixture.objects.list('');
    expect(names).toMatchObject({ kind: 'ok', names: [expect.any(String)] });
    const [name = ''] = names.kind === 'ok' ? names.names : [];
    for (const body of ['{"revision":50,"defaults"', '[]', '{"revision":50}']) {
      await fixture.objects.put(name, body);
      expect(await readConfig(store)).toEqual(config);
    }
  });
});
