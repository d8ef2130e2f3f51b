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
  /** Part of the blocks that the rebuilt view holds wrongly or misses. */
  readonly wrong_block_ratio: number;
  readonly trusted_after_ms_p95: number;
}

const TRIALS = 200;
const BLOCKS = 256;
/** An engine under load changes its cache some hundred times a second. */
const CACHE_CHANGE_INTERVAL_MS = 4;
const READ_DURATION_MS = 20;
/** The events and the snapshot lag behind the cache, the snapshot more. */
const EVENT_LAG_MS = 100;
const SNAPSHOT_LAG_MS = 300;
const POLL_INTERVAL_MS = 100;
const END_MS = 3_000;

type ReadOrder = 'tip_first' | 'snapshot_first';

/** Rebuilds views of changing caches in both orders and compares them with the truth. */
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
    const truth = cachedBlocksAt(log, END_MS);
    for (let key = 1; key <= BLOCKS; key += 1) {
      if (view.has(key) !== truth.has(key)) wrong += 1;
      if (truth.has(key)) total += 1;
    }
  }
  return {
    wrong_block_ratio: round(wrong / total, 4),
    trusted_after_ms_p95: round(percentile(trustedAfterMs, 0.95)),
  };
}

/** Changes until one second before the end, so that every event has arrived by then. */
function createLog(random: Random): CacheBlockEvent[] {
  const held = new Set<number>();
  const count = (END_MS - 1_000) / CACHE_CHANGE_INTERVAL_MS;
  return Array.from({ length: count }, (_, at) => {
    const blockKey = 1 + intBelow(BLOCKS, random);
    const kind = held.has(blockKey) ? 'removed' : 'stored';
    if (kind === 'stored') held.add(blockKey);
    else held.delete(blockKey);
    return { seq: at + 1, kind, blockKey };
  });
}

function seqAt(atMs: number, log: readonly CacheBlockEvent[]): number {
  return Math.max(0, Math.min(log.length, Math.floor(atMs / CACHE_CHANGE_INTERVAL_MS)));
}

function cachedBlocksAt(log: readonly CacheBlockEvent[], atMs: number): Set<number> {
  const held = new Set<number>();
  log.slice(0, seqAt(atMs, log)).forEach(({ kind, blockKey }) => {
    if (kind === 'stored') held.add(blockKey);
    else held.delete(blockKey);
  });
  return held;
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

/** Polls events until the end; the result is the time until the view was trusted. */
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

/** Takes the tip read after the snapshot for the snapshot's own position. */
function readSnapshotFirst(
  view: PrefixCacheView,
  log: readonly CacheBlockEvent[],
  startMs: number,
): number {
  const { blockKeys } = snapshotAt(log, startMs);
  const tip = eventsAt(log, 0, startMs + READ_DURATION_MS);
  view.onEvents(tip, startMs + READ_DURATION_MS);
  view.onSnapshot({ asOfSeq: tip.latestSeq, blockKeys });
  return pollEvents(view, log, startMs + 2 * READ_DURATION_MS, startMs);
}
