import { createBlockSet } from './block-set';
import type { EngineId } from '../ids';
import type { BlockSet } from './block-set';

/** A block that an engine added to or evicted from its prefix cache. */
export interface CacheBlockEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  readonly blockKey: number;
}

/** An engine's answer to a read of the events after a sequence number. */
export interface CacheEventBatch {
  readonly events: readonly CacheBlockEvent[];
  /** Oldest event that the engine still keeps. */
  readonly oldestSeq: number;
  readonly latestSeq: number;
}

export interface CacheBlockSnapshot {
  readonly asOfSeq: number;
  readonly blockKeys: readonly number[];
}

/** What the caller has to read from the engine next. */
export type CacheEffect =
  | { readonly kind: 'none' }
  | { readonly kind: 'fetch_snapshot' }
  | { readonly kind: 'fetch_events' };

/** A router's copy of the block keys in one engine's prefix cache, maintained from its events. */
export interface PrefixCacheView {
  /** Sequence number of the last applied event; the next read starts after it. */
  readonly cursor: () => number;
  /** False after events were missed, until the view has caught up with the engine again. */
  readonly isTrusted: () => boolean;
  readonly has: (blockKey: number) => boolean;
  readonly onEvents: (batch: CacheEventBatch, nowMs: number) => CacheEffect;
  readonly onSnapshot: (snapshot: CacheBlockSnapshot) => CacheEffect;
  /** Discards all blocks, for example because the engine restarted. */
  readonly reset: () => void;
  readonly sizeBytes: () => number;
}

/** Blocks kept per engine; see the table of states in docs/design.md. */
export const CACHE_VIEW_MAX_BLOCKS = 512;
/** Events may arrive late; the view waits this long for a missing one before it asks for a snapshot. */
const LATE_EVENT_TIMEOUT_MS = 1_000;

type ViewState =
  /** No sequence number is known; the next batch of events tells the engine's latest one. */
  | { readonly kind: 'unknown' }
  /** A snapshot is awaited; it is trusted once events up to `trustFromSeq` are applied. */
  | { readonly kind: 'rebuilding'; readonly trustFromSeq: number }
  /** Events are applied in order; the view is trusted once the cursor reaches `trustFromSeq`. */
  | { readonly kind: 'following'; readonly trustFromSeq: number; readonly missingSinceMs?: number };

/** Creates an empty view. The first batch of events leads to a snapshot, whatever it contains. */
export function createPrefixCacheView(capacity = CACHE_VIEW_MAX_BLOCKS): PrefixCacheView {
  const blocks: BlockSet = createBlockSet(capacity);
  let state: ViewState = { kind: 'unknown' };
  let cursor = 0;
  let isTrusted = false;
  let highestLatestSeq = 0;

  /**
   * Records the engine's latest sequence number before the snapshot is read. A change between the two
   * is then either in the snapshot or among the events after it, and a snapshot older than that number
   * is not trusted until the events up to it are applied.
   */
  function rebuild(trustFromSeq: number): CacheEffect {
    blocks.clear();
    highestLatestSeq = trustFromSeq;
    setState({ kind: 'rebuilding', trustFromSeq });
    return { kind: 'fetch_snapshot' };
  }

  function applyEvent(event: CacheBlockEvent): void {
    if (event.kind === 'stored') blocks.add(event.blockKey);
    else blocks.remove(event.blockKey);
    cursor = event.seq;
  }

  function applyEvents(
    batch: CacheEventBatch,
    trustSeq: number,
    previousMissingSinceMs: number | undefined,
    nowMs: number,
  ): CacheEffect {
    // A snapshot may be newer than the events, but an engine's latest number falls only on a restart.
    const hasRestarted = batch.latestSeq < highestLatestSeq;
    const hasGap = batch.oldestSeq > cursor + 1;
    if (hasRestarted || hasGap) return rebuild(batch.latestSeq);
    highestLatestSeq = batch.latestSeq;
    const startSeq = cursor;
    const events = [...batch.events].sort((a, b) => a.seq - b.seq);
    for (const event of events) {
      if (event.seq === cursor + 1) applyEvent(event);
    }
    if (cursor >= batch.latestSeq) {
      setState({ kind: 'following', trustFromSeq: trustSeq });
      return { kind: 'none' };
    }
    const missingSinceMs = cursor > startSeq ? nowMs : (previousMissingSinceMs ?? nowMs);
    if (nowMs - missingSinceMs >= LATE_EVENT_TIMEOUT_MS) return rebuild(batch.latestSeq);
    // An event after the missing one proves a gap; without it, the newest events may just be late.
    const newestEventSeq = events.at(-1)?.seq ?? 0;
    setState({
      kind: 'following',
      trustFromSeq: Math.max(trustSeq, newestEventSeq),
      missingSinceMs,
    });
    return { kind: 'fetch_events' };
  }

  function setState(next: ViewState): void {
    state = next;
    isTrusted = next.kind === 'following' && cursor >= next.trustFromSeq;
  }

  return {
    cursor: () => cursor,
    isTrusted: () => isTrusted,
    has: (blockKey) => isTrusted && blocks.has(blockKey),
    onEvents: (batch, nowMs) => {
      if (state.kind === 'unknown') return rebuild(batch.latestSeq);
      if (state.kind === 'rebuilding') return { kind: 'fetch_snapshot' };
      return applyEvents(batch, state.trustFromSeq, state.missingSinceMs, nowMs);
    },
    onSnapshot: (snapshot) => {
      if (state.kind !== 'rebuilding') return { kind: 'none' };
      blocks.clear();
      snapshot.blockKeys.forEach((blockKey) => blocks.add(blockKey));
      cursor = snapshot.asOfSeq;
      setState({ kind: 'following', trustFromSeq: state.trustFromSeq });
      return isTrusted ? { kind: 'none' } : { kind: 'fetch_events' };
    },
    reset: () => {
      blocks.clear();
      setState({ kind: 'unknown' });
    },
    sizeBytes: blocks.sizeBytes,
  };
}

/** The cache views of all engines, created on first use. */
export interface PrefixCacheViews {
  readonly viewOf: (engineId: EngineId) => PrefixCacheView;
  readonly forget: (engineId: EngineId) => void;
}

export function createPrefixCacheViews(): PrefixCacheViews {
  const views = new Map<EngineId, PrefixCacheView>();
  return {
    viewOf: (engineId) => {
      const known = views.get(engineId);
      if (known !== undefined) return known;
      const created = createPrefixCacheView();
      views.set(engineId, created);
      return created;
    },
    forget: (engineId) => views.delete(engineId),
  };
}
