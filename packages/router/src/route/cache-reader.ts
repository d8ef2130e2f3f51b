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

/** Follows the engines' cache events, and reads snapshots where events are missing. */
export interface CacheReader {
  /** One round for one engine; rounds for the same engine don't overlap. */
  readonly read: (engineId: EngineId, address: string) => Promise<void>;
}

export function createCacheReader(options: CacheReaderOptions): CacheReader {
  const { engines, picker, clock, hash } = options;
  const reading = new Set<EngineId>();
  const rebuilds = options.metrics.counter(
    'mimosamill_cache_view_rebuilds_total',
    'Cache snapshots read because events were missing',
  );

  function toBatch(events: CacheEvents): CacheEventBatch {
    const keys = toBlockKeys(
      events.events.map(({ blockHash }) => blockHash),
      hash,
    );
    return {
      events: events.events.map(({ seq, kind }, at) => ({ seq, kind, blockKey: keys[at] ?? 0 })),
      oldestSeq: events.oldestSeq,
      latestSeq: events.latestSeq,
    };
  }

  async function readEvents(engineId: EngineId, address: string): Promise<CacheEffect> {
    const answer = await engines.readCacheEvents(address, picker.cacheCursor(engineId));
    if (answer.kind === 'unavailable') return { kind: 'none' };
    return picker.onCacheEvents(engineId, toBatch(answer.value), clock.monotonicMs());
  }

  /** The events, and with them the tip, were read before; see `createCacheView`. */
  async function readSnapshot(engineId: EngineId, address: string): Promise<void> {
    rebuilds.inc();
    const answer = await engines.readCacheSnapshot(address);
    if (answer.kind === 'unavailable') return;
    const { asOfSeq, blockHashes } = answer.value;
    picker.onCacheSnapshot(engineId, { asOfSeq, blockKeys: toBlockKeys(blockHashes, hash) });
  }

  return {
    read: async (engineId, address) => {
      if (reading.has(engineId)) return;
      reading.add(engineId);
      try {
        const effect = await readEvents(engineId, address);
        // Late events are read again in the next round.
        if (effect.kind === 'fetch_snapshot') await readSnapshot(engineId, address);
      } finally {
        reading.delete(engineId);
      }
    },
  };
}
