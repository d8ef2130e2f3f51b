import { createBlockSet } from './block-set';
import type { EngineId } from '../ids';
import type { BlockSet } from './block-set';

/** One change of an engine's prefix cache. */
export interface CacheBlockEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  readonly blockKey: number;
}

/** An engine's answer to "events after the cursor". */
export interface CacheEventBatch {
  readonly events: readonly CacheBlockEvent[];
  /** Events before this one are gone. */
  readonly oldestSeq: number;
  readonly latestSeq: number;
}

export interface CacheBlockSnapshot {
  readonly asOfSeq: number;
  readonly blockKeys: readonly number[];
}

/** What the reader of an engine's events has to do next. */
export type CacheEffect =
  | { readonly kind: 'none' }
  | { readonly kind: 'fetch_snapshot' }
  | { readonly kind: 'fetch_events' };

/** What is known of one engine's prefix cache. */
export interface PrefixCacheView {
  /** Events are to be read after this sequence number. */
  readonly cursor: () => number;
  /** False from a gap until everything up to it is known again. */
  readonly isTrusted: () => boolean;
  readonly has: (blockKey: number) => boolean;
  readonly onEvents: (batch: CacheEventBatch, nowMs: number) => CacheEffect;
  readonly onSnapshot: (content: CacheBlockSnapshot) => CacheEffect;
  /** The engine's cache is no longer known, for instance because it restarted. */
  readonly reset: () => void;
  readonly sizeBytes: () => number;
}

/** Blocks known per engine; see the table of states in the design page. */
export const CACHE_VIEW_MAX_BLOCKS = 512;
/** Events may arrive late, so a missing one is awaited this long before a snapshot is read. */
const LATE_EVENT_TIMEOUT_MS = 1_000;

type ViewState =
  /** Nothing is known; the next batch tells the tip. */
  | { readonly kind: 'unknown' }
  /** The tip is known and a snapshot is on its way. */
  | { readonly kind: 'rebuilding'; readonly trustFromSeq: number }
  /** Events are applied; nothing is trusted until the cursor reaches the tip. */
  | { readonly kind: 'following'; readonly trustFromSeq: number; readonly missingSinceMs?: number };

/** Creates a view that knows nothing. It starts with the tip, which any batch contains. */
export function createPrefixCacheView(capacity = CACHE_VIEW_MAX_BLOCKS): PrefixCacheView {
  const blocks: BlockSet = createBlockSet(capacity);
  let phase: ViewState = { kind: 'unknown' };
  let cursor = 0;
  let isTrusted = false;
  let highestTipSeq = 0;

  /**
   * The tip is noted before the snapshot is read. Whatever happens between the two is then either
   * in the snapshot or among the events after it, and a snapshot that is older than the tip is
   * recognised.
   */
  function rebuild(trustFromSeq: number): CacheEffect {
    blocks.clear();
    highestTipSeq = trustFromSeq;
    setPhase({ kind: 'rebuilding', trustFromSeq });
    return { kind: 'fetch_snapshot' };
  }

  function apply(change: CacheBlockEvent): void {
    if (change.kind === 'stored') blocks.add(change.blockKey);
    else blocks.remove(change.blockKey);
    cursor = change.seq;
  }

  function follow(
    batch: CacheEventBatch,
    tipSeq: number,
    since: number | undefined,
    nowMs: number,
  ): CacheEffect {
    // A snapshot may be ahead of the events, but the tip itself never goes back.
    const hasRestarted = batch.latestSeq < highestTipSeq;
    const isGone = batch.oldestSeq > cursor + 1;
    if (hasRestarted || isGone) return rebuild(batch.latestSeq);
    highestTipSeq = batch.latestSeq;
    const startSeq = cursor;
    const changes = [...batch.events].sort((a, b) => a.seq - b.seq);
    for (const change of changes) {
      if (change.seq === cursor + 1) apply(change);
    }
    if (cursor >= batch.latestSeq) {
      setPhase({ kind: 'following', trustFromSeq: tipSeq });
      return { kind: 'none' };
    }
    const missingSinceMs = cursor > startSeq ? nowMs : (since ?? nowMs);
    if (nowMs - missingSinceMs >= LATE_EVENT_TIMEOUT_MS) return rebuild(batch.latestSeq);
    // A later event shows a gap. Without one, the newest events are only late.
    const seenSeq = changes.at(-1)?.seq ?? 0;
    setPhase({ kind: 'following', trustFromSeq: Math.max(tipSeq, seenSeq), missingSinceMs });
    return { kind: 'fetch_events' };
  }

  function setPhase(next: ViewState): void {
    phase = next;
    isTrusted = next.kind === 'following' && cursor >= next.trustFromSeq;
  }

  return {
    cursor: () => cursor,
    isTrusted: () => isTrusted,
    has: (blockKey) => isTrusted && blocks.has(blockKey),
    onEvents: (batch, nowMs) => {
      if (phase.kind === 'unknown') return rebuild(batch.latestSeq);
      if (phase.kind === 'rebuilding') return { kind: 'fetch_snapshot' };
      return follow(batch, phase.trustFromSeq, phase.missingSinceMs, nowMs);
    },
    onSnapshot: (content) => {
      if (phase.kind !== 'rebuilding') return { kind: 'none' };
      blocks.clear();
      content.blockKeys.forEach((blockKey) => blocks.add(blockKey));
      cursor = content.asOfSeq;
      setPhase({ kind: 'following', trustFromSeq: phase.trustFromSeq });
      return isTrusted ? { kind: 'none' } : { kind: 'fetch_events' };
    },
    reset: () => {
      blocks.clear();
      setPhase({ kind: 'unknown' });
    },
    sizeBytes: blocks.sizeBytes,
  };
}

/** The views of all engines. */
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
