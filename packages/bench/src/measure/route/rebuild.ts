import { createPrefixCacheView } from '@mimosamill/core';
import { createRandom, intBelow, percentile, round } from '../random';
import type {
  CacheEventBatch,
  CacheBlockEvent,
  CacheBlockSnapshot,
  PrefixCacheView,
} from '@mimosamill/core';
import type { Random } from '../random';

export interface RebuildFigures {
  /** Blocks that the rebuilt view holds wrongly or lacks, relative to the cached blocks. */
  readonly wrong_block_ratio: number;
  readonly trusted_after_ms_p95: number;
}

const TRIALS = 200;
const BLOCKS = 256;
/** An engine under load changes its cache a few hundred times a second. */
const CACHE_CHANGE_INTERVAL_MS = 4;
const READ_DURATION_MS = 20;
/** Events and snapshots lag behind the cache, snapshots by more. */
const EVENT_LAG_MS = 100;
const SNAPSHOT_LAG_MS = 300;
const POLL_INTERVAL_MS = 100;
const END_MS = 3_000;

type ReadOrder = 'tip_first' | 'snapshot_first';

/**
 * Rebuilds views of changing caches by reading the latest event either before or after the snapshot,
 * and compares the views with the actual contents of the caches.
 */
export function measureCacheRebuild(seed: number): Readonly<Record<ReadOrder, RebuildFigures>> {
  return {
    tip_first: measureOrder('tip_first', seed),
    snapshot_first: measureOrder('snapshot_first', seed),
  };
}

function measureOrder(order: ReadOrder, seed: number): RebuildFigures {
  const random = createRandom(seed);
  let wrong = 0;
  let total = 0;
  const trustedAfterMs: number[] = [];
  for (let trial = 0; trial < TRIALS; trial += 1) {
    const log = createLog(random);
    const view = createPrefixCacheView();
    const startMs = 1_000 + intBelow(500, random);
    trustedAfterMs.push(
      order === 'tip_first'
        ? readTipFirst(view, log, startMs)
        : readSnapshotFirst(view, log, startMs),
    );
    const actualBlocks = cachedBlocksAt(log, END_MS);
    for (let key = 1; key <= BLOCKS; key += 1) {
      if (view.has(key) !== actualBlocks.has(key)) wrong += 1;
      if (actualBlocks.has(key)) total += 1;
    }
  }
  return {
    wrong_block_ratio: round(wrong / total, 4),
    trusted_after_ms_p95: round(percentile(trustedAfterMs, 0.95)),
  };
}

/** Creates changes up to one second before the end, so that every event arrives by then. */
function createLog(random: Random): CacheBlockEvent[] {
  const cached = new Set<number>();
  const count = (END_MS - 1_000) / CACHE_CHANGE_INTERVAL_MS;
  return Array.from({ length: count }, (_, index) => {
    const blockKey = 1 + intBelow(BLOCKS, random);
    const kind = cached.has(blockKey) ? 'removed' : 'stored';
    if (kind === 'stored') cached.add(blockKey);
    else cached.delete(blockKey);
    return { seq: index + 1, kind, blockKey };
  });
}

function seqAt(atMs: number, log: readonly CacheBlockEvent[]): number {
  return Math.max(0, Math.min(log.length, Math.floor(atMs / CACHE_CHANGE_INTERVAL_MS)));
}

function cachedBlocksAt(log: readonly CacheBlockEvent[], atMs: number): Set<number> {
  const cached = new Set<number>();
  log.slice(0, seqAt(atMs, log)).forEach(({ kind, blockKey }) => {
    if (kind === 'stored') cached.add(blockKey);
    else cached.delete(blockKey);
  });
  return cached;
}

function eventsAt(
  log: readonly CacheBlockEvent[],
  afterSeq: number,
  atMs: number,
): CacheEventBatch {
  const latestSeq = seqAt(atMs - EVENT_LAG_MS, log);
  return { events: log.slice(afterSeq, latestSeq), oldestSeq: 1, latestSeq };
}

function snapshotAt(log: readonly CacheBlockEvent[], atMs: number): CacheBlockSnapshot {
  const snapshotMs = atMs - SNAPSHOT_LAG_MS;
  return { asOfSeq: seqAt(snapshotMs, log), blockKeys: [...cachedBlocksAt(log, snapshotMs)] };
}

/** Polls events until the end, and returns the time until the view was trusted. */
function pollEvents(
  view: PrefixCacheView,
  log: readonly CacheBlockEvent[],
  fromMs: number,
  startMs: number,
) {
  let trustedAtMs = END_MS;
  for (let atMs = fromMs; atMs <= END_MS; atMs += POLL_INTERVAL_MS) {
    view.onEvents(eventsAt(log, view.cursor(), atMs), atMs);
    if (view.isTrusted()) trustedAtMs = Math.min(trustedAtMs, atMs);
  }
  return trustedAtMs - startMs;
}

function readTipFirst(
  view: PrefixCacheView,
  log: readonly CacheBlockEvent[],
  startMs: number,
): number {
  view.onEvents(eventsAt(log, 0, startMs), startMs);
  view.onSnapshot(snapshotAt(log, startMs + READ_DURATION_MS));
  return pollEvents(view, log, startMs + 2 * READ_DURATION_MS, startMs);
}

/**
 * Takes the latest event read after the snapshot for the snapshot's position, so that changes
 * between the two are missed.
 */
function readSnapshotFirst(
  view: PrefixCacheView,
  log: readonly CacheBlockEvent[],
  startMs: number,
): number {
  const { blockKeys } = snapshotAt(log, startMs);
  const latestEvents = eventsAt(log, 0, startMs + READ_DURATION_MS);
  view.onEvents(latestEvents, startMs + READ_DURATION_MS);
  view.onSnapshot({ asOfSeq: latestEvents.latestSeq, blockKeys });
  return pollEvents(view, log, startMs + 2 * READ_DURATION_MS, startMs);
}
