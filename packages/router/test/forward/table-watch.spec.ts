import { describe, expect, it } from 'vitest';
import { createTableReplica } from '../../src/forward/table-replica';
import { createTableWatch } from '../../src/forward/table-watch';
import { createManualClock } from './clock';
import type {
  RelayedChanges,
  TableChanges,
  TableContent,
  WatchedTable,
} from '../../src/forward/table-watch';

type Answer = TableContent<string> | TableChanges<string>;

/** A store whose calls are answered by the test, one at a time. */
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

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
};

function createWorld(relay?: () => Promise<RelayedChanges<string>>, isReader = true) {
  const clock = createManualClock();
  const script = createScriptedTable();
  const events: string[] = [];
  const published: string[][] = [];
  const note = (event: string): void => {
    events.push(event);
  };
  const watch = createTableWatch(
    {
      store: script.table,
      isReader: () => isReader,
      relays: () => (relay === undefined ? [] : [{ name: 'peer', readChanges: relay }]),
    },
    clock,
    () => 0,
    { routine: note, notable: note, vital: note, droppedCount: () => 0 },
    { name: 'operator', waitMs: 1_000, timeoutMarginMs: 400 },
    {
      onRows: (rows) => {
        published.push([...rows].map(([key, value]) => `${key}=${value}`));
      },
    },
  );
  return { clock, script, events, published, watch };
}

const content = (revision: number, storeNowMs: number, ...rows: string[]): Answer => ({
  kind: 'ok',
  rows: rows.map((row) => ({ key: row.slice(0, 1), value: row })),
  revision,
  storeNowMs,
});

const changes = (revision: number, storeNowMs: number, ...rows: string[]): Answer => ({
  kind: 'ok',
  changes: rows.map((row) => ({
    key: row.slice(0, 1),
    value: row.endsWith('-') ? undefined : row,
  })),
  revision,
  storeNowMs,
});

describe('a watch of a table', () => {
  it('applies changes in order and removes rows', async () => {
    const { script, published, watch } = createWorld();
    watch.start();
    script.calls[0]?.answer(content(5, 100, 'a1', 'b1'));
    await settle();
    expect(published).toEqual([['a=a1', 'b=b1']]);
    watch.stop();
  });

  it('notices a connection that went silent, and asks again on a new one', async () => {
    const { clock, script, events, watch } = createWorld();
    watch.start();
    script.calls[0]?.answer(content(5, 100, 'a1'));
    await settle();
    clock.advance(100);
    await settle();
    expect(script.calls.at(-1)?.what).toBe('since 5');
    clock.advance(1_400);
    await settle();
    expect(events).toEqual(['store.lost']);
    clock.advance(200);
    await settle();
    expect(script.calls).toHaveLength(3);
    script.calls[2]?.answer(changes(6, 2_000, 'a-'));
    await settle();
    expect(events).toEqual(['store.lost', 'store.regained']);
    watch.stop();
  });

  it('reads the whole table when the history is gone', async () => {
    const { clock, script, published, watch } = createWorld();
    watch.start();
    script.calls[0]?.answer(content(5, 100, 'a1', 'b1'));
    await settle();
    clock.advance(100);
    await settle();
    script.calls[1]?.answer({ kind: 'history_lost' });
    await settle();
    expect(script.calls[2]?.what).toBe('all');
    script.calls[2]?.answer(content(9, 200, 'b2'));
    await settle();
    expect(published.at(-1)).toEqual(['b=b2']);
    watch.stop();
  });

  it('does not let an overtaken answer bring back what was removed', async () => {
    const { clock, script, published, watch } = createWorld();
    watch.start();
    script.calls[0]?.answer(content(5, 100, 'a1'));
    await settle();
    clock.advance(100);
    await settle();
    const refreshed = watch.refresh();
    script.calls[2]?.answer(changes(8, 150, 'a-'));
    await refreshed;
    script.calls[1]?.answer(changes(6, 140, 'a2'));
    await settle();
    expect(published.at(-1)).toEqual([]);
    expect(watch.revision()).toBe(8);
    watch.stop();
  });

  it('is as old as what the reader knew, not as the time since the reader answered', async () => {
    const relayed: RelayedChanges<string> = {
      kind: 'relayed',
      changes: [],
      isAll: false,
      revision: 5,
      storeAsOfMs: 300,
      sinceOutageMs: Infinity,
    };
    const { clock, script, watch } = createWorld(() => Promise.resolve(relayed), false);
    watch.start();
    script.calls[0]?.answer(content(5, 100, 'a1'));
    await settle();
    const readAtMs = clock.monotonicMs();
    clock.advance(700);
    await settle();
    // The store's clock was at 100 when this one was at `readAtMs`.
    expect(watch.ageMs()).toBe(clock.monotonicMs() - readAtMs - 200);
    watch.stop();
  });

  it('turns to the store when the reader passes on nothing newer', async () => {
    let relayCalls = 0;
    const stale: RelayedChanges<string> = {
      kind: 'relayed',
      changes: [],
      isAll: false,
      revision: 5,
      storeAsOfMs: 100,
      sinceOutageMs: Infinity,
    };
    const { clock, script, watch } = createWorld(() => {
      relayCalls += 1;
      return new Promise((resolve) => {
        clock.runAfter(500, () => resolve(stale));
      });
    }, false);
    watch.start();
    script.calls[0]?.answer(content(5, 100, 'a1'));
    await settle();
    for (let step = 0; step < 25; step += 1) {
      clock.advance(100);
      await settle();
    }
    expect(relayCalls).toBeGreaterThan(1);
    expect(script.calls.at(-1)?.what).toBe('since 5');
    watch.stop();
  });

  it('goes on from another router when the store turns this one away', async () => {
    const news: RelayedChanges<string> = {
      kind: 'relayed',
      changes: [{ key: 'a', value: 'a9' }],
      isAll: false,
      revision: 9,
      storeAsOfMs: 900,
      sinceOutageMs: Infinity,
    };
    const { clock, script, published, watch } = createWorld(() => Promise.resolve(news));
    watch.start();
    script.calls[0]?.answer(content(5, 100, 'a1'));
    await settle();
    clock.advance(100);
    await settle();
    script.calls[1]?.answer({ kind: 'unavailable', message: '503' });
    await settle();
    expect(published.at(-1)).toEqual(['a=a9']);
    watch.stop();
  });
});

describe('a copy of a table', () => {
  it('tells what changed since a revision, removals among it', () => {
    const copy = createTableReplica<string>();
    copy.replace([{ key: 'a', value: 'a1' }], 3);
    copy.apply([{ key: 'b', value: 'b1' }], 4);
    copy.apply([{ key: 'a', value: undefined }], 6);
    expect(copy.changesSince(4)).toEqual({
      changes: [{ key: 'a', value: undefined }],
      isAll: false,
      revision: 6,
    });
    expect(copy.changesSince(2)).toEqual({
      changes: [{ key: 'b', value: 'b1' }],
      isAll: true,
      revision: 6,
    });
  });
});
