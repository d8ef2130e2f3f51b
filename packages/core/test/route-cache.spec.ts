import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createPrefixCacheView } from '../src/index';
import type { CacheEventBatch, CacheBlockEvent } from '../src/index';

const KEYS = 12;

interface Step {
  readonly kind: 'stored' | 'removed';
  readonly blockKey: number;
  /** The engine's answers leave the event out before this read. */
  readonly lateUntilRead: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('stored' as const, 'stored' as const, 'removed' as const),
  blockKey: fc.integer({ min: 1, max: KEYS }),
  lateUntilRead: fc.integer({ min: -20, max: 12 }),
});

function blocksAfter(log: readonly CacheBlockEvent[], count: number): Set<number> {
  const blocks = new Set<number>();
  log.slice(0, count).forEach(({ kind, blockKey }) => {
    if (kind === 'stored') blocks.add(blockKey);
    else blocks.delete(blockKey);
  });
  return blocks;
}

describe('prefix cache view', () => {
  // Guards against routing by blocks whose removal was missed: a trusted view must contain exactly the
  // blocks that the engine had at the view's cursor.
  it('is not trusted after missed events until it has the blocks of the engine again', () => {
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, { minLength: 1, maxLength: 60 }),
        fc.integer({ min: 1, max: 8 }),
        fc.integer({ min: 3, max: 40 }),
        fc.integer({ min: 0, max: 10 }),
        (steps, eventsPerRead, keptEvents, snapshotLag) => {
          const log = steps.map(({ kind, blockKey }, at) => ({ seq: at + 1, kind, blockKey }));
          const view = createPrefixCacheView();
          for (let read = 0; read < 40; read += 1) {
            const latestSeq = Math.min(log.length, read * eventsPerRead);
            const oldestSeq = Math.max(1, latestSeq - keptEvents);
            const events = log.filter(
              ({ seq }) =>
                seq > view.cursor() &&
                seq >= oldestSeq &&
                seq <= latestSeq &&
                (steps[seq - 1]?.lateUntilRead ?? 0) <= read,
            );
            const effect = view.onEvents({ events, oldestSeq, latestSeq }, read * 200);
            if (effect.kind === 'fetch_snapshot') {
              const asOfSeq = Math.max(0, latestSeq - snapshotLag);
              view.onSnapshot({ asOfSeq, blockKeys: [...blocksAfter(log, asOfSeq)] });
            }
            if (!view.isTrusted()) continue;
            const expected = blocksAfter(log, view.cursor());
            for (let key = 1; key <= KEYS; key += 1) expect(view.has(key)).toBe(expected.has(key));
          }
        },
      ),
      { seed: 5, numRuns: 400 },
    );
  });

  // Guards against reading snapshots without end when late events are older than each snapshot.
  it('keeps a snapshot that is newer than the events, until the engine restarts', () => {
    const view = createPrefixCacheView();
    view.onEvents({ events: [], oldestSeq: 1, latestSeq: 95 }, 0);
    expect(view.onSnapshot({ asOfSeq: 100, blockKeys: [7] })).toEqual({ kind: 'none' });
    const late = { events: [], oldestSeq: 1, latestSeq: 97 };
    expect(view.onEvents(late, 100)).toEqual({ kind: 'none' });
    expect(view.has(7)).toBe(true);
    const restarted = { events: [], oldestSeq: 1, latestSeq: 2 };
    expect(view.onEvents(restarted, 200)).toEqual({ kind: 'fetch_snapshot' });
    expect(view.has(7)).toBe(false);
  });

  // Guards against memory use that grows with the number of events.
  it('keeps the newest blocks up to its capacity', () => {
    const view = createPrefixCacheView(16);
    const sizeBytes = view.sizeBytes();
    const changes = Array.from({ length: 500 }, (_, at): CacheBlockEvent => {
      return { seq: at + 1, kind: 'stored', blockKey: at + 1 };
    });
    const batch: CacheEventBatch = { events: changes, oldestSeq: 1, latestSeq: 500 };
    view.onEvents({ events: [], oldestSeq: 1, latestSeq: 0 }, 0);
    view.onSnapshot({ asOfSeq: 0, blockKeys: [] });
    view.onEvents(batch, 1);
    const keptSeqs = changes.filter(({ blockKey }) => view.has(blockKey)).map(({ seq }) => seq);
    expect(keptSeqs).toEqual(Array.from({ length: 16 }, (_, at) => 485 + at));
    expect(view.sizeBytes()).toBe(sizeBytes);
  });
});
