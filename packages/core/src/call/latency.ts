import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Latencies of the recent past. */
export interface LatencyWindow {
  readonly record: (latencyMs: number, nowMs: number) => void;
  /** Undefined until there are enough samples for the quantile. */
  readonly quantileMs: (quantile: number, nowMs: number) => number | undefined;
}

/** Below this many samples a 95% quantile is the maximum, which one slow answer decides. */
const SAMPLES_MIN = 20;
const MAX_LATENCY_MS = 600_000;

/** Creates a window of one to two periods: the current period and the one before it. */
export function createLatencyWindow(periodMs: number): LatencyWindow {
  let current = createHistogram();
  let previous = createHistogram();
  let startedAtMs: number | undefined;

  function rotate(nowMs: number): void {
    startedAtMs ??= nowMs;
    const elapsedMs = nowMs - startedAtMs;
    if (elapsedMs < periodMs) return;
    const isStale = elapsedMs >= 2 * periodMs;
    previous.reset();
    if (isStale) current.reset();
    [current, previous] = [previous, current];
    startedAtMs = nowMs;
  }

  return {
    record: (latencyMs, nowMs) => {
      rotate(nowMs);
      current.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
    },
    quantileMs: (quantile, nowMs) => {
      rotate(nowMs);
      if (current.totalCount + previous.totalCount < SAMPLES_MIN) return undefined;
      const merged = createHistogram();
      merged.add(previous);
      merged.add(current);
      return merged.getValueAtPercentile(quantile * 100);
    },
  };
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_024,
    numberOfSignificantValueDigits: 2,
  });
}
