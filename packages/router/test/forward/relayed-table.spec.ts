import { describe, expect, it } from 'vitest';
import { asStoreEra, createStoreEras } from '@mimosamill/core';
import { createTableWatch } from '../../src/forward/table-watch';
import { createManualClock } from './clock';
import type { ManualClock } from './clock';
import type { TableWatch } from '../../src/forward/table-watch';
import type { RelaySource, WatchedTable } from '../../src/forward/watched-table';

const ERA = asStoreEra(1);
const WAIT_MS = 1_500;
/** Time that the store needs beyond the wait; calls between routers take half of it. */
const STORE_DELAY_MS = 20;
const RELAY_DELAY_MS = 10;

/** A store without changes: it answers a poll when its wait is over, and counts the calls. */
function createQuietStore(clock: ManualClock) {
  let calls = 0;
  const after = <R>(delayMs: number, answer: () => R): Promise<R> =>
    new Promise((resolve) => {
      calls += 1;
      clock.runAfter(delayMs, () => resolve(answer()));
    });
  const state = () => ({ revision: 5, era: ERA, storeNowMs: clock.monotonicMs() });
  const table: WatchedTable<string> = {
    readAll: () =>
      after(STORE_DELAY_MS, () => ({
        kind: 'ok' as const,
        rows: [{ key: 'a', value: 'a1' }],
        ...state(),
      })),
    readChanges: (_since, waitMs) =>
      after(waitMs + STORE_DELAY_MS, () => ({ kind: 'ok' as const, changes: [], ...state() })),
  };
  return { table, calls: () => calls };
}

function createWatch(
  clock: ManualClock,
  store: WatchedTable<string>,
  relays: readonly RelaySource<string>[],
): TableWatch {
  const eras = createStoreEras();
  eras.observe(ERA);
  const log = (): void => undefined;
  return createTableWatch(
    { store, isReader: () => relays.length === 0, eras, relays: () => relays },
    clock,
    () => 0,
    { routine: log, notable: log, vital: log, droppedCount: () => 0 },
    { name: 'operator', waitMs: WAIT_MS, timeoutMarginMs: 450, retryMaxMs: 380 },
    { onRows: () => undefined },
  );
}

/** Reads from a watch in the same process, as over a connection. */
function relayFrom(clock: ManualClock, watch: TableWatch): RelaySource<string> {
  const delay = (): Promise<void> =>
    new Promise((resolve) => {
      clock.runAfter(RELAY_DELAY_MS, resolve);
    });
  return {
    name: 'reader',
    readChanges: async (query, signal) => {
      const aborted = new Promise<undefined>((resolve) => {
        signal.addEventListener('abort', () => resolve(undefined));
      });
      const answered = delay().then(() => watch.relayed.waitForNewer(query));
      const answer = await Promise.race([answered, aborted]);
      await delay();
      if (answer === undefined) return { kind: 'unavailable', message: 'no answer' };
      return {
        ...answer,
        kind: 'relayed',
        changes: answer.changes.map(({ key, value }) => ({ key, value: value as string })),
        era: ERA,
        sinceOutageMs: Infinity,
      };
    },
  };
}

describe('a router that reads a table from another one', () => {
  it('makes no call to the store while the other one has confirmed the content in time', async () => {
    // Guards against a poll that arrives just after a confirmation and, with half of the time that the
    // content may age left, waits for the next one: half of 90 routers then asked the store.
    const clock = createManualClock();
    const readerStore = createQuietStore(clock);
    const reader = createWatch(clock, readerStore.table, []);
    const followerStore = createQuietStore(clock);
    const follower = createWatch(clock, followerStore.table, [relayFrom(clock, reader)]);
    reader.start();
    follower.start();
    for (let step = 0; step < 6_000; step += 1) {
      clock.advance(5);
      for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    }
    expect(follower.ageMs()).toBeLessThan(2_000);
    // The first call reads the whole table.
    expect(followerStore.calls()).toBe(1);
    reader.stop();
    follower.stop();
  });
});
