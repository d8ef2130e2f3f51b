import { toBlockKeys } from '@mimosamill/core';
import type { CacheEvents, Clock, EngineClient, Metrics } from '@mimosamill/adapters';
import type {
  CacheEventBatch,
  CacheEffect,
  EngineId,
  Hash32,
  EnginePicker,
} from '@mimosamill/core';

export interface CacheReaderOptions {
  readonly engines: Pick<EngineClient, 'readCacheEvents' | 'readCacheSnapshot'>;
  readonly picker: Pick<EnginePicker, 'cacheCursor' | 'onCacheEvents' | 'onCacheSnapshot'>;
  readonly clock: Clock;
  readonly hash: Hash32;
  readonly metrics: Metrics;
}

/** Follows the engines' prefix cache events, and reads a snapshot when events are missing. */
export interface CacheReader {
  /** Reads once from an engine; returns at once while an earlier read of it is in progress. */
  readonly read: (engineId: EngineId, address: string) => Promise<void>;
}

export function createCacheReader(options: CacheReaderOptions): CacheReader {
  const { engines, picker, clock, hash } = options;
  const enginesInProgress = new Set<EngineId>();
  const snapshotCounter = options.metrics.counter(
    'mimosamill_cache_view_rebuilds_total',
    'Cache snapshots read because events were missing',
  );

  function toBatch(events: CacheEvents): CacheEventBatch {
    const keys = toBlockKeys(
      events.events.map(({ blockHash }) => blockHash),
      hash,
    );
    return {
      events: events.events.map(({ seq, kind }, index) => ({
        seq,
        kind,
        blockKey: keys[index] ?? 0,
      })),
      oldestSeq: events.oldestSeq,
      latestSeq: events.latestSeq,
    };
  }

  async function readEvents(engineId: EngineId, address: string): Promise<CacheEffect> {
    const answer = await engines.readCacheEvents(address, picker.cacheCursor(engineId));
    if (answer.kind === 'unavailable') return { kind: 'none' };
    return picker.onCacheEvents(engineId, toBatch(answer.value), clock.monotonicMs());
  }

  /**
   * Called after a read of events, which gave the latest sequence number: the cache view trusts the
   * snapshot only once it has applied all events up to this number.
   */
  async function readSnapshot(engineId: EngineId, address: string): Promise<void> {
    snapshotCounter.inc();
    const answer = await engines.readCacheSnapshot(address);
    if (answer.kind === 'unavailable') return;
    const { asOfSeq, blockHashes } = answer.value;
    picker.onCacheSnapshot(engineId, { asOfSeq, blockKeys: toBlockKeys(blockHashes, hash) });
  }

  return {
    read: async (engineId, address) => {
      if (enginesInProgress.has(engineId)) return;
      enginesInProgress.add(engineId);
      try {
        const effect = await readEvents(engineId, address);
        // The effect `fetch_events` needs no action: the next call reads late events again.
        if (effect.kind === 'fetch_snapshot') await readSnapshot(engineId, address);
      } finally {
        enginesInProgress.delete(engineId);
      }
    },
  };
}
