import type { Clock } from '@mimosamill/adapters';
import type { EngineId, Region } from '@mimosamill/core';
import type { LoadDigests } from '../peer/digest';
import type { Backends, ListedEngine } from './backends';

export interface LoadSourceOptions {
  readonly clock: Clock;
  readonly region: Region;
  /** Below this number of engines in the region, every router reads all engines itself. */
  readonly digestMinEngines: number;
  readonly backends: () => Pick<Backends, 'listEngines' | 'onLoadReport'>;
  readonly digests: () => Pick<LoadDigests, 'loads'>;
}

/** Decides whether this router reads an engine's load itself or takes it from digests. */
export interface LoadSource {
  /** Whether this router's periodic reads include the engine. */
  readonly isPolled: (engineId: EngineId) => boolean;
  /** Engines whose loads are shared by digests; none in a small region. */
  readonly enginesForDigests: () => readonly ListedEngine[];
  /** Takes over the loads of received digests. */
  readonly onDigestsReceived: () => void;
}

/** Digests confirm unchanged loads every 2 s; after a longer silence, a digest is missing. */
const DIGEST_MISSING_MS = 3_000;
/** How long a selection of engines to read directly is used. */
const SELECTION_PERIOD_MS = 200;
/** At 250 ms between reads, 200 engines of the region without digests are each read every 3.1 s. */
const MAX_DIRECT_READS = 16;
/** No digest covers other regions; at 250 ms, 400 engines there are each read every 50 s. */
const MAX_OTHER_REGION_READS = 2;
/** Digests round the age of a load, so a smaller difference is no new measurement. */
const MIN_MEASUREMENT_ADVANCE_MS = 2;

interface DigestLoadTimes {
  measuredAtMs: number;
  receivedAtMs: number;
}

export function createLoadSource(options: LoadSourceOptions): LoadSource {
  const { clock, region } = options;
  const digestTimes = new Map<EngineId, DigestLoadTimes>();
  const lastReadAtMs = new Map<EngineId, number>();
  let directlyRead: ReadonlySet<EngineId> = new Set();
  let isSmall = true;
  let selectedAtMs = -Infinity;

  function isSmallRegion(engines: readonly ListedEngine[]): boolean {
    return engines.filter((engine) => engine.region === region).length < options.digestMinEngines;
  }

  function isMissing(engineId: EngineId, nowMs: number): boolean {
    return nowMs - (digestTimes.get(engineId)?.receivedAtMs ?? -Infinity) > DIGEST_MISSING_MS;
  }

  function leastRecentlyRead(engines: readonly ListedEngine[], count: number): EngineId[] {
    const lastMs = (engineId: EngineId): number => lastReadAtMs.get(engineId) ?? 0;
    return engines
      .map(({ engineId }) => engineId)
      .sort((a, b) => lastMs(a) - lastMs(b))
      .slice(0, count);
  }

  function selectEngines(nowMs: number): void {
    const engines = options.backends().listEngines();
    const ids = new Set(engines.map(({ engineId }) => engineId));
    [digestTimes, lastReadAtMs].forEach((known) => {
      [...known.keys()].forEach((engineId) => {
        if (!ids.has(engineId)) known.delete(engineId);
      });
    });
    isSmall = isSmallRegion(engines);
    const missing = engines.filter(({ engineId }) => isMissing(engineId, nowMs));
    const ownRegion = missing.filter((engine) => engine.region === region);
    const otherRegions = missing.filter((engine) => engine.region !== region);
    directlyRead = new Set([
      ...leastRecentlyRead(ownRegion, MAX_DIRECT_READS),
      ...leastRecentlyRead(otherRegions, MAX_OTHER_REGION_READS),
    ]);
    if (!isSmall) directlyRead.forEach((engineId) => lastReadAtMs.set(engineId, nowMs));
  }

  return {
    isPolled: (engineId) => {
      const nowMs = clock.monotonicMs();
      if (nowMs - selectedAtMs >= SELECTION_PERIOD_MS) {
        selectedAtMs = nowMs;
        selectEngines(nowMs);
      }
      return isSmall || directlyRead.has(engineId);
    },
    enginesForDigests: () => {
      const engines = options.backends().listEngines();
      return isSmallRegion(engines) ? [] : engines;
    },
    onDigestsReceived: () => {
      const nowMs = clock.monotonicMs();
      options
        .digests()
        .loads()
        .forEach((report, engineId) => {
          const measuredAtMs = nowMs - report.reportAgeMs;
          const lastMs = digestTimes.get(engineId)?.measuredAtMs ?? -Infinity;
          if (measuredAtMs < lastMs + MIN_MEASUREMENT_ADVANCE_MS) return;
          if (!options.backends().onLoadReport(engineId, report)) return;
          digestTimes.set(engineId, { measuredAtMs, receivedAtMs: nowMs });
        });
    },
  };
}
