import { describe, expect, it } from 'vitest';
import { asStoreEra, createStoreEras } from '@mimosamill/core';
import { createTableReplica } from '../../src/forward/table-replica';
import { createTableWatch } from '../../src/forward/table-watch';
import { createManualClock } from './clock';
import type { StoreEra, StoreRevision } from '@mimosamill/core';
import type { WatchHandlers } from '../../src/forward/table-watch';
import type { ManualClock } from './clock';
import type {
  RelayedChanges,
  RelaySource,
  TableChanges,
  TableContent,
  WatchedTable,
} from '../../src/forward/watched-table';

const FIRST_ERA = asStoreEra(1);
const SECOND_ERA = asStoreEra(2);

type Answer = TableContent<string> | TableChanges<string>;

/** A table of the store whose reads the test answers, in the order that the test chooses. */
function createScriptedTable() {
  const calls: { readonly what: string; readonly answer: (answer: Answer) => void }[] = [];
  const pending = (what: string, signal: AbortSignal): Promise<never> =>
    new Promise((resolve) => {
      calls.push({ what, answer: resolve as unknown as (answer: Answer) => void });
      const aborted = { kind: 'unavailable', message: 'aborted' };
      signal.addEventListener('abort', () => resolve(aborted as never));
    });
  const table: WatchedTable<string> = {
    readAll: (signal) => pending('all', signal),
    readChanges: (since, _waitMs, signal) => pending(`since ${since}`, signal),
  };
  return { table, calls };
}

const flushMicrotasks = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
};

function createTestWatch(
  relay?: RelaySource<string>['readChanges'],
  isReader = true,
  keepLost?: WatchHandlers<string>['keepLost'],
) {
  const clock = createManualClock();
  const eras = createStoreEras();
  eras.observe(FIRST_ERA);
  const scriptedStore = createScriptedTable();
  const events: string[] = [];
  const published: string[][] = [];
  const outageAgesMs: number[] = [];
  const logEvent = (event: string): void => {
    events.push(event);
  };
  const watch = createTableWatch(
    {
      store: scriptedStore.table,
      isReader: () => isReader,
      eras,
      relays: () => (relay === undefined ? [] : [{ name: 'peer', readChanges: relay }]),
    },
    clock,
    () => 0,
    { routine: logEvent, notable: logEvent, vital: logEvent, droppedCount: () => 0 },
    { name: 'operator', waitMs: 1_000, timeoutMarginMs: 400, retryMaxMs: 380 },
    {
      onRows: (rows, context) => {
        published.push([...rows].map(([key, value]) => `${key}=${value}`));
        outageAgesMs.push(context.sinceOutageMs);
      },
      ...(keepLost === undefined ? {} : { keepLost }),
    },
  );
  return { clock, eras, scriptedStore, events, published, outageAgesMs, watch };
}

/** In `content` and `changes`, 'a1' is a row with the key 'a', and 'a-' its removal. */
const contentIn = (
  era: StoreEra,
  revision: number,
  storeNowMs: number,
  ...rows: string[]
): Answer => ({
  kind: 'ok',
  rows: rows.map((row) => ({ key: row.slice(0, 1), value: row })),
  revision,
  era,
  storeNowMs,
});

const content = (revision: number, storeNowMs: number, ...rows: string[]): Answer =>
  contentIn(FIRST_ERA, revision, storeNowMs, ...rows);

const changes = (revision: number, storeNowMs: number, ...rows: string[]): Answer => ({
  kind: 'ok',
  changes: rows.map((row) => ({
    key: row.slice(0, 1),
    value: row.endsWith('-') ? undefined : row,
  })),
  revision,
  era: FIRST_ERA,
  storeNowMs,
});

/** An answer of a relay whose content was current at a time on the clock of the store. */
const relayedAt = (
  revision: number,
  storeAsOfMs: number,
  ...rows: string[]
): Extract<RelayedChanges<string>, { kind: 'relayed' }> => ({
  kind: 'relayed',
  changes: rows.map((row) => ({
    key: row.slice(0, 1),
    value: row.endsWith('-') ? undefined : row,
  })),
  isAll: false,
  revision,
  era: FIRST_ERA,
  storeAsOfMs,
  sinceOutageMs: Infinity,
});

/** Lets a watch read the table, and the next poll of the store fail. */
async function readAndLoseStore({
  clock,
  scriptedStore,
  watch,
}: ReturnType<typeof createTestWatch>): Promise<void> {
  watch.start();
  scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
  await flushMicrotasks();
  clock.advance(100);
  await flushMicrotasks();
  scriptedStore.calls[1]?.answer({ kind: 'unavailable', message: '503' });
  await flushMicrotasks();
}

describe('a watch of a table', () => {
  it('publishes all rows after the first read of the table', async () => {
    const { scriptedStore, published, watch } = createTestWatch();
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1', 'b1'));
    await flushMicrotasks();
    expect(published).toEqual([['a=a1', 'b=b1']]);
    watch.stop();
  });

  it('detects a silent connection by a timeout, and retries on a new connection', async () => {
    const { clock, scriptedStore, events, watch } = createTestWatch();
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    expect(scriptedStore.calls.at(-1)?.what).toBe('since 5');
    clock.advance(1_400);
    await flushMicrotasks();
    expect(events).toEqual(['store.lost']);
    clock.advance(200);
    await flushMicrotasks();
    expect(scriptedStore.calls).toHaveLength(3);
    scriptedStore.calls[2]?.answer(changes(6, 2_000, 'a-'));
    await flushMicrotasks();
    expect(events).toEqual(['store.lost', 'store.regained']);
    watch.stop();
  });

  it('reads the whole table again when the store no longer has the history', async () => {
    const { clock, scriptedStore, published, watch } = createTestWatch();
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1', 'b1'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    scriptedStore.calls[1]?.answer({ kind: 'history_lost' });
    await flushMicrotasks();
    expect(scriptedStore.calls[2]?.what).toBe('all');
    scriptedStore.calls[2]?.answer(content(9, 200, 'b2'));
    await flushMicrotasks();
    expect(published.at(-1)).toEqual(['b=b2']);
    watch.stop();
  });

  it('does not restore a removed row when an older answer arrives late', async () => {
    const { clock, scriptedStore, published, watch } = createTestWatch();
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    const refreshed = watch.refresh();
    scriptedStore.calls[2]?.answer(changes(8, 150, 'a-'));
    await refreshed;
    scriptedStore.calls[1]?.answer(changes(6, 140, 'a2'));
    await flushMicrotasks();
    expect(published.at(-1)).toEqual([]);
    expect(watch.revision()).toBe(8);
    watch.stop();
  });

  it('counts the age from the time of the relayed content, not from the answer of the relay', async () => {
    const relayed: RelayedChanges<string> = {
      kind: 'relayed',
      changes: [],
      isAll: false,
      revision: 5,
      era: FIRST_ERA,
      storeAsOfMs: 300,
      sinceOutageMs: Infinity,
    };
    const { clock, scriptedStore, watch } = createTestWatch(() => Promise.resolve(relayed), false);
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
    await flushMicrotasks();
    const readAtMs = clock.monotonicMs();
    clock.advance(700);
    await flushMicrotasks();
    // The clock of the store showed 100 when the clock of the test showed `readAtMs`; the relayed
    // content is as of 300 on the clock of the store, which is 200 ms later.
    expect(watch.ageMs()).toBe(clock.monotonicMs() - readAtMs - 200);
    watch.stop();
  });

  it('reads the whole table from another router at the start, not from the store', async () => {
    // Guards against a fleet that starts together: each router read each table, and polled it.
    const all: RelayedChanges<string> = { ...relayedAt(5, 300, 'a1'), isAll: true };
    const { clock, scriptedStore, published, watch } = createTestWatch(
      () =>
        new Promise((resolve) => {
          clock.runAfter(200, () => resolve(all));
        }),
      false,
    );
    watch.onStoreClock(clock.monotonicMs(), 300);
    watch.start();
    clock.advance(200);
    await flushMicrotasks();
    expect(published).toEqual([['a=a1']]);
    expect(scriptedStore.calls).toEqual([]);
    expect(watch.ageMs()).toBe(200);
    watch.stop();
  });

  it('takes nothing for current at the start that the other router has not confirmed lately', async () => {
    // Guards against a restarted router that uses a withdrawn key or a server that left: a relay that
    // lost the store still gives what it has.
    const old: RelayedChanges<string> = { ...relayedAt(5, 300, 'a1'), isAll: true };
    const { clock, scriptedStore, watch } = createTestWatch(() => Promise.resolve(old), false);
    watch.onStoreClock(clock.monotonicMs(), 9_300);
    watch.start();
    await flushMicrotasks();
    expect(watch.ageMs()).toBe(9_000);
    expect(scriptedStore.calls.map(({ what }) => what)).toEqual(['since 5']);
    watch.stop();
  });

  it('reads the store at the start if the other router does not answer', async () => {
    const { clock, scriptedStore, watch } = createTestWatch(
      (_query, signal) =>
        new Promise((resolve) => {
          signal.addEventListener('abort', () => {
            resolve({ kind: 'unavailable', message: 'aborted' });
          });
        }),
      false,
    );
    watch.onStoreClock(clock.monotonicMs(), 300);
    watch.start();
    clock.advance(400);
    await flushMicrotasks();
    expect(scriptedStore.calls.map(({ what }) => what)).toEqual(['all']);
    watch.stop();
  });

  it('asks the store when a relay keeps answering with outdated content', async () => {
    let relayCalls = 0;
    const stale: RelayedChanges<string> = {
      kind: 'relayed',
      changes: [],
      isAll: false,
      revision: 5,
      era: FIRST_ERA,
      storeAsOfMs: 100,
      sinceOutageMs: Infinity,
    };
    const { clock, scriptedStore, watch } = createTestWatch(() => {
      relayCalls += 1;
      return new Promise((resolve) => {
        clock.runAfter(500, () => resolve(stale));
      });
    }, false);
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
    await flushMicrotasks();
    for (let step = 0; step < 25; step += 1) {
      clock.advance(100);
      await flushMicrotasks();
    }
    expect(relayCalls).toBeGreaterThan(1);
    expect(scriptedStore.calls.at(-1)?.what).toBe('since 5');
    watch.stop();
  });

  it('asks the store once the content is older than one wait, even if a relay does not answer', async () => {
    // Guards against a relay that lost the store: two waits for it would exceed the bounds on the age.
    const stale = relayedAt(5, 100);
    const { clock, scriptedStore, watch } = createTestWatch(
      (_query, signal) =>
        new Promise((resolve) => {
          clock.runAfter(1_000, () => resolve(stale));
          signal.addEventListener('abort', () => {
            resolve({ kind: 'unavailable', message: 'aborted' });
          });
        }),
      false,
    );
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
    await flushMicrotasks();
    for (let step = 0; step < 15; step += 1) {
      clock.advance(100);
      await flushMicrotasks();
    }
    expect(scriptedStore.calls.at(-1)?.what).toBe('since 5');
    expect(watch.ageMs()).toBeLessThanOrEqual(1_500);
    watch.stop();
  });

  it('reads from another router when the store refuses this one', async () => {
    const newer: RelayedChanges<string> = {
      kind: 'relayed',
      changes: [{ key: 'a', value: 'a9' }],
      isAll: false,
      revision: 9,
      era: FIRST_ERA,
      storeAsOfMs: 900,
      sinceOutageMs: Infinity,
    };
    const test = createTestWatch(() => Promise.resolve(newer));
    const { published, watch } = test;
    await readAndLoseStore(test);
    expect(published.at(-1)).toEqual(['a=a9']);
    watch.stop();
  });

  it('does not take its own loss of the store for an outage while a relay reaches the store', async () => {
    // Guards against keeping servers whose entries were removed, as if these had expired in an outage.
    const relayed: RelayedChanges<string>[] = [
      { kind: 'unavailable', message: 'the relaying router is gone' },
      relayedAt(6, 400, 'b1'),
      relayedAt(7, 900, 'a-'),
    ];
    const { clock, scriptedStore, events, outageAgesMs, watch } = createTestWatch(
      () => Promise.resolve(relayed.shift() ?? { kind: 'unavailable', message: 'no more' }),
      false,
    );
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    scriptedStore.calls[1]?.answer({ kind: 'unavailable', message: '503' });
    await flushMicrotasks();
    expect(events).toContain('store.lost');
    clock.advance(130);
    await flushMicrotasks();
    clock.advance(130);
    await flushMicrotasks();
    expect(watch.revision()).toBe(7);
    expect(outageAgesMs).toEqual([Infinity, Infinity, Infinity]);
    watch.stop();
  });
});

describe('a watch whose read throws an unexpected error', () => {
  it('goes on following the table, and answers a request for a fresh read', async () => {
    let isBroken = true;
    const relay = (): Promise<RelayedChanges<string>> =>
      isBroken
        ? Promise.reject(new TypeError('not an object'))
        : Promise.resolve(relayedAt(7, 100, 'a1'));
    const { clock, scriptedStore, events, published, watch } = createTestWatch(relay, false);
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a0'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    expect(events).toContain('table.read_failed');
    isBroken = false;
    clock.advance(1_000);
    await flushMicrotasks();
    expect(published.at(-1)).toEqual(['a=a1']);
    const refreshed = watch.refresh();
    scriptedStore.calls.at(-1)?.answer(changes(8, 300, 'a2'));
    expect(await refreshed).toBe(true);
    watch.stop();
  });
});

describe('a watch that reads from a relay after the loss of its own path to the store', () => {
  it('asks the store again by itself, so that the loss does not last for ever', async () => {
    const { clock, scriptedStore, events, watch } = createTestWatch(
      () =>
        new Promise((resolve) => {
          clock.runAfter(300, () => resolve(relayedAt(6, clock.monotonicMs() - 900)));
        }),
      false,
    );
    watch.start();
    scriptedStore.calls[0]?.answer(content(5, 100, 'a1'));
    await flushMicrotasks();
    void watch.refresh();
    scriptedStore.calls[1]?.answer({ kind: 'unavailable', message: '503' });
    await flushMicrotasks();
    expect(watch.isStoreUnreachable()).toBe(true);
    for (let step = 0; step < 25; step += 1) {
      clock.advance(100);
      scriptedStore.calls.at(-1)?.answer(changes(6, clock.monotonicMs() - 900));
      await flushMicrotasks();
    }
    expect(events).toContain('store.regained');
    expect(watch.isStoreUnreachable()).toBe(false);
    watch.stop();
  });
});

/** A store that answers nothing until it is back; a long poll without news is answered after its wait. */
function createAwayStore(clock: ManualClock, awayFromMs: number, backAtMs: number) {
  const sentAtMs: number[] = [];
  const answerAfter = (delayMs: number, answer: Answer, signal: AbortSignal): Promise<never> =>
    new Promise((resolve) => {
      const nowMs = clock.monotonicMs();
      sentAtMs.push(nowMs);
      signal.addEventListener('abort', () =>
        resolve({ kind: 'unavailable', message: 'aborted' } as never),
      );
      const isAway = nowMs + delayMs >= awayFromMs && nowMs < backAtMs;
      if (!isAway) clock.runAfter(delayMs, () => resolve(answer as never));
    });
  const table: WatchedTable<string> = {
    readAll: (signal) => answerAfter(4, content(5, clock.monotonicMs(), 'a1'), signal),
    readChanges: (_since, waitMs, signal) =>
      answerAfter(waitMs + 4, changes(5, clock.monotonicMs() + waitMs), signal),
  };
  return { table, sentAtMs };
}

describe('a watch whose store stays silent for 8 s, without a change meanwhile', () => {
  const PHASE_STEP_MS = 100;
  const AWAY_FROM_MS = 5_000;

  /** Time from the return of the store until the content is confirmed, and the calls meanwhile. */
  async function measureReturn(backAtMs: number) {
    const clock = createManualClock();
    const eras = createStoreEras();
    eras.observe(FIRST_ERA);
    const store = createAwayStore(clock, AWAY_FROM_MS, backAtMs);
    const ignore = (): void => undefined;
    const watch = createTableWatch(
      { store: store.table, isReader: () => true, eras, relays: () => [] },
      clock,
      () => 1,
      { routine: ignore, notable: ignore, vital: ignore, droppedCount: () => 0 },
      { name: 'operator', waitMs: 1_500, timeoutMarginMs: 450, retryMaxMs: 380 },
      { onRows: ignore },
    );
    watch.start();
    while (clock.monotonicMs() < backAtMs || watch.ageMs() > clock.monotonicMs() - backAtMs) {
      clock.advance(10);
      await flushMicrotasks();
    }
    watch.stop();
    const isDuring = (atMs: number): boolean => atMs >= AWAY_FROM_MS && atMs < backAtMs;
    return {
      tookMs: clock.monotonicMs() - backAtMs,
      calls: store.sentAtMs.filter(isDuring).length,
    };
  }

  it('is up to date within a second of the return, whenever that is, with a call a second', async () => {
    // Guards against routers that no caller reaches, e.g. as they are not ready, and that stay outdated
    // for seconds: a long poll hung until its timeout, and the next one waited for a change.
    for (let phaseMs = 0; phaseMs < 1_000; phaseMs += PHASE_STEP_MS) {
      const { tookMs, calls } = await measureReturn(13_000 + phaseMs);
      expect(tookMs).toBeLessThanOrEqual(1_000);
      expect(calls).toBeLessThanOrEqual(10);
    }
  });
});

describe('a watch asked for a fresh read just after a call has failed', () => {
  it('asks the store, which may have returned meanwhile', async () => {
    // Guards against callers that are refused for seconds although the store answers again.
    const test = createTestWatch();
    const { scriptedStore, watch } = test;
    await readAndLoseStore(test);
    const refreshed = watch.refresh();
    await flushMicrotasks();
    expect(scriptedStore.calls).toHaveLength(3);
    scriptedStore.calls.at(-1)?.answer(changes(5, 500));
    expect(await refreshed).toBe(true);
    watch.stop();
  });
});

describe('a watch that waits to ask the store again', () => {
  it('asks at once when the store has answered a call about another table', async () => {
    // Guards against an outdated list of servers for the rest of a long delay.
    const test = createTestWatch();
    const { clock, scriptedStore, events, watch } = test;
    await readAndLoseStore(test);
    watch.onStoreReachable();
    clock.advance(0);
    await flushMicrotasks();
    scriptedStore.calls[2]?.answer(changes(5, 500));
    await flushMicrotasks();
    expect(events).toContain('store.regained');
    watch.stop();
  });
});

describe('a watch whose store comes back from an older copy', () => {
  async function startAt(revision: number) {
    const test = createTestWatch();
    test.watch.start();
    test.scriptedStore.calls[0]?.answer(content(revision, 100, 'a1', 'b1'));
    await flushMicrotasks();
    test.clock.advance(100);
    await flushMicrotasks();
    return test;
  }

  it('replaces its rows by those of the copy, although their revision is lower', async () => {
    const { eras, scriptedStore, published, outageAgesMs, watch } = await startAt(27);
    eras.observe(SECOND_ERA);
    scriptedStore.calls[1]?.answer({ kind: 'history_lost' });
    await flushMicrotasks();
    expect(scriptedStore.calls.slice(2).map(({ what }) => what)).toEqual(['all']);
    scriptedStore.calls[2]?.answer(contentIn(SECOND_ERA, 25, 200, 'a0'));
    await flushMicrotasks();
    expect(published.at(-1)).toEqual(['a=a0']);
    expect(watch.revision()).toBe(25);
    // Entries that the copy lacks are kept like those that expired in an outage.
    expect(outageAgesMs).toEqual([Infinity, 0]);
    watch.stop();
  });

  it('does not apply changes since a revision that was given out again', async () => {
    const { eras, scriptedStore, published, watch } = await startAt(27);
    eras.observe(SECOND_ERA);
    scriptedStore.calls[1]?.answer({ ...changes(28, 200, 'a2'), era: SECOND_ERA } as Answer);
    await flushMicrotasks();
    expect(published).toHaveLength(1);
    expect(scriptedStore.calls.at(-1)?.what).toBe('all');
    watch.stop();
  });

  it('does not count as up to date while it has not read the restored table', async () => {
    const { clock, eras, scriptedStore, watch } = await startAt(27);
    const ageMs = watch.ageMs();
    eras.observe(SECOND_ERA);
    scriptedStore.calls[1]?.answer({ ...changes(28, 5_000), era: SECOND_ERA } as Answer);
    scriptedStore.calls[2]?.answer({ kind: 'unavailable', message: '503' });
    await flushMicrotasks();
    clock.advance(50);
    expect(watch.ageMs()).toBe(ageMs + 50);
    clock.advance(200);
    await flushMicrotasks();
    expect(scriptedStore.calls.at(-1)?.what).toBe('all');
    watch.stop();
  });
});

describe('a watch that has a call under way when the store comes back from an older copy', () => {
  it('reads the restored table at once although a full read of the era before gets no answer', async () => {
    const { clock, eras, scriptedStore, watch } = createTestWatch();
    watch.start();
    scriptedStore.calls[0]?.answer(content(27, 100, 'a1'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    scriptedStore.calls[1]?.answer({ kind: 'history_lost' });
    await flushMicrotasks();
    expect(scriptedStore.calls.map(({ what }) => what)).toEqual(['all', 'since 27', 'all']);
    eras.observe(SECOND_ERA);
    clock.advance(500);
    await flushMicrotasks();
    expect(scriptedStore.calls).toHaveLength(4);
    watch.stop();
  });

  it('does not count its path as lost for an answer of the era before', async () => {
    const { clock, eras, scriptedStore, events, watch } = createTestWatch();
    watch.start();
    scriptedStore.calls[0]?.answer(content(27, 100, 'a1'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    eras.observe(SECOND_ERA);
    scriptedStore.calls[2]?.answer(contentIn(SECOND_ERA, 25, 200, 'a0'));
    await flushMicrotasks();
    scriptedStore.calls[1]?.answer({
      kind: 'unavailable',
      message: 'the answer is older than a restore of the store',
    });
    await flushMicrotasks();
    expect(watch.isStoreUnreachable()).toBe(false);
    expect(events).not.toContain('store.lost');
    watch.stop();
  });
});

describe('a row that a restored copy lost and the watch keeps', () => {
  it('is kept until it is written again, also when the table is read twice before that', async () => {
    const { clock, eras, scriptedStore, published, watch } = createTestWatch(
      undefined,
      true,
      (known, copy) => [...copy, ...[...known].map(([key, value]) => ({ key, value }))],
    );
    watch.start();
    scriptedStore.calls[0]?.answer(content(27, 100, 'a1'));
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    eras.observe(SECOND_ERA);
    scriptedStore.calls[2]?.answer(contentIn(SECOND_ERA, 25, 200, 'a0'));
    await flushMicrotasks();
    expect(published.at(-1)).toEqual(['a=a1']);
    scriptedStore.calls[1]?.answer({ kind: 'history_lost' });
    await flushMicrotasks();
    clock.advance(100);
    await flushMicrotasks();
    scriptedStore.calls[3]?.answer({ kind: 'history_lost' });
    await flushMicrotasks();
    expect(scriptedStore.calls.at(-1)?.what).toBe('all');
    scriptedStore.calls.at(-1)?.answer(contentIn(SECOND_ERA, 25, 300, 'a0'));
    await flushMicrotasks();
    expect(published.at(-1)).toEqual(['a=a1']);
    watch.stop();
  });
});

describe('a watch that reads from a relay while the store comes back from an older copy', () => {
  const restored: RelayedChanges<string> = {
    kind: 'relayed',
    changes: [{ key: 'a', value: 'a0' }],
    isAll: true,
    revision: 25,
    era: SECOND_ERA,
    storeAsOfMs: 900,
    sinceOutageMs: Infinity,
  };

  async function startBehind(relayed: readonly RelayedChanges<string>[]) {
    const answers = [...relayed];
    const since: StoreRevision[] = [];
    const test = createTestWatch((query) => {
      since.push(query.since);
      return Promise.resolve(answers.shift() ?? { kind: 'unavailable', message: 'no more' });
    }, false);
    test.watch.start();
    test.scriptedStore.calls[0]?.answer(content(27, 100, 'a1', 'b1'));
    await flushMicrotasks();
    test.clock.advance(100);
    await flushMicrotasks();
    return { ...test, since };
  }

  it('takes all rows of the later era from the relay, although their revision is lower', async () => {
    const { eras, published, since, watch } = await startBehind([restored]);
    expect(since[0]).toEqual({ era: FIRST_ERA, revision: 27 });
    expect(published.at(-1)).toEqual(['a=a0']);
    expect(eras.current()).toBe(SECOND_ERA);
    watch.stop();
  });

  it('does not take the age of content from a time on the clock that the store had before', async () => {
    const { clock, watch } = await startBehind([restored]);
    const ageMs = watch.ageMs();
    clock.advance(10);
    expect(watch.ageMs()).toBe(ageMs + 10);
    watch.stop();
  });

  it('does not use what a relay still has of the era before', async () => {
    const late = createTestWatch(() => Promise.resolve(relayedAt(30, 900, 'b1')), false);
    late.eras.observe(SECOND_ERA);
    late.watch.start();
    late.scriptedStore.calls[0]?.answer(contentIn(SECOND_ERA, 25, 200, 'a0'));
    await flushMicrotasks();
    late.clock.advance(100);
    await flushMicrotasks();
    expect(late.published).toEqual([['a=a0']]);
    expect(late.scriptedStore.calls.at(-1)?.what).toBe('since 25');
    late.watch.stop();
  });

  it('answers a router of the era before with all rows as soon as it has read them', async () => {
    const { eras, scriptedStore, watch } = await startBehind([]);
    const waiting = watch.relayed.waitForNewer({
      since: { era: FIRST_ERA, revision: 27 },
      knownAsOfMs: undefined,
      waitMs: 1_000,
    });
    eras.observe(SECOND_ERA);
    scriptedStore.calls.at(-1)?.answer(contentIn(SECOND_ERA, 25, 200, 'a0'));
    await flushMicrotasks();
    const rows = [{ key: 'a', value: 'a0' }];
    expect(await waiting).toMatchObject({ changes: rows, isAll: true, revision: 25, era: 2 });
    watch.stop();
  });
});

describe('a table replica', () => {
  const at = (revision: number, era = 1): StoreRevision => ({ era: asStoreEra(era), revision });

  it('lists the changes since a revision, including removals', () => {
    const replica = createTableReplica<string>();
    replica.replace([{ key: 'a', value: 'a1' }], at(3));
    replica.apply([{ key: 'b', value: 'b1' }], at(4));
    replica.apply([{ key: 'a', value: undefined }], at(6));
    expect(replica.changesSince(at(4))).toEqual({
      changes: [{ key: 'a', value: undefined }],
      isAll: false,
      revision: 6,
    });
    expect(replica.changesSince(at(2))).toEqual({
      changes: [{ key: 'b', value: 'b1' }],
      isAll: true,
      revision: 6,
    });
  });

  it('takes a lower revision of a later era, and gives all rows to readers of the era before', () => {
    const replica = createTableReplica<string>();
    replica.replace([{ key: 'a', value: 'a1' }], at(9));
    expect(replica.apply([{ key: 'b', value: 'b1' }], at(10, 2))).toBe(false);
    expect(replica.replace([{ key: 'b', value: 'b2' }], at(4, 2))).toBe(true);
    expect(replica.replace([{ key: 'a', value: 'a3' }], at(12, 1))).toBe(false);
    expect(replica.changesSince(at(9))).toEqual({
      changes: [{ key: 'b', value: 'b2' }],
      isAll: true,
      revision: 4,
    });
  });
});
