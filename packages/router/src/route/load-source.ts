import type { Clock } from '@mimosamill/adapters';
import type { EngineId, Region } from '@mimosamill/core';
import type { LoadDigests } from '../peer/digest';
import type { Backends, ListedEngine } from './backends';

export interface LoadSourceOptions {
  readonly clock: Clock;
  readonly region: Region;
  /** Below this number of engines in the region every router reads all engines itself. */
  readonly digestMinEngines: number;
  readonly backends: () => Pick<Backends, 'listEngines' | 'onLoadReport'>;
  readonly digests: () => Pick<LoadDigests, 'loads'>;
}

/** Decides whether an engine's load is read by this router or taken from the digests. */
export interface LoadSource {
  /** Whether the periodic load reading includes the engine. */
  readonly isPolled: (engineId: EngineId) => boolean;
  /** Engines to be read by the digests' assigned readers; none in a small region. */
  readonly enginesForDigests: () => readonly ListedEngine[];
  /** To be called when digests have arrived. */
  readonly onDigestsReceived: () => void;
}

/** An unchanged engine is confirmed every 2 s; a longer silence means that its digest is missing. */
const DIGEST_MISSING_MS = 3_000;
/** The choice of engines to read directly holds for this long. */
const SELECTION_PERIOD_MS = 200;
/** At 250 ms between rounds, 200 engines of a region are read once in 3.1 s. */
const MAX_DIRECT_READS = 16;
/** No digest covers other regions; 400 engines there are read once in 50 s. */
const MAX_OTHER_REGION_READS = 2;
/** Ages are rounded on the way, so a smaller step is no new measurement. */
const MIN_MEASUREMENT_ADVANCE_MS = 2;

interface DigestLoadTimes {
  measuredAtMs: number;
  receivedAtMs: number;
}

export function createLoadSource(options: LoadSourceOptions): LoadSource {
  const { clock, region } = options;
  const heard = new Map<EngineId, DigestLoadTimes>();
  const readAtMs = new Map<EngineId, number>();
  let direct: ReadonlySet<EngineId> = new Set();
  let isSmall = true;
  let chosenAtMs = -Infinity;

  function isSmallRegion(engines: readonly ListedEngine[]): boolean {
    return engines.filter((engine) => engine.region === region).length < options.digestMinEngines;
  }

  function isMissing(engineId: EngineId, nowMs: number): boolean {
    return nowMs - (heard.get(engineId)?.receivedAtMs ?? -Infinity) > DIGEST_MISSING_MS;
  }

  function leastRecentlyRead(engines: readonly ListedEngine[], count: number): EngineId[] {
    const lastMs = (engineId: EngineId): number => readAtMs.get(engineId) ?? 0;
    return engines
      .map(({ engineId }) => engineId)
      .sort((a, b) => lastMs(a) - lastMs(b))
      .slice(0, count);
  }

  function choose(nowMs: number): void {
    const engines = options.backends().listEngines();
    const ids = new Set(engines.map(({ engineId }) => engineId));
    [heard, readAtMs].forEach((known) => {
      [...known.keys()].forEach((engineId) => {
        if (!ids.has(engineId)) known.delete(engineId);
      });
    });
    isSmall = isSmallRegion(engines);
    const missing = engines.filter(({ engineId }) => isMissing(engineId, nowMs));
    const own = missing.filter((engine) => engine.region === region);
    const others = missing.filter((engine) => engine.region !== region);
    direct = new Set([
      ...leastRecentlyRead(own, MAX_DIRECT_READS),
      ...leastRecentlyRead(others, MAX_OTHER_REGION_READS),
    ]);
    if (!isSmall) direct.forEach((engineId) => readAtMs.set(engineId, nowMs));
  }

  return {
    isPolled: (engineId) => {
      const nowMs = clock.monotonicMs();
      if (nowMs - chosenAtMs >= SELECTION_PERIOD_MS) {
        chosenAtMs = nowMs;
        choose(nowMs);
      }
      return isSmall || direct.has(engineId);
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
          const lastMs = heard.get(engineId)?.measuredAtMs ?? -Infinity;
          if (measuredAtMs < lastMs + MIN_MEASUREMENT_ADVANCE_MS) return;
          if (!options.backends().onLoadReport(engineId, report)) return;
          heard.set(engineId, { measuredAtMs, receivedAtMs: nowMs });
        });
    },
  };
}
