import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Latencies recorded recently. */
export interface LatencyWindow {
  readonly record: (latencyMs: number, nowMs: number) => void;
  /** Undefined if there are too few samples for a quantile. */
  readonly quantileMs: (quantile: number, nowMs: number) => number | undefined;
}

/** With fewer samples the 95% quantile is the maximum, which a single slow answer determines. */
const SAMPLES_MIN = 20;
const MAX_LATENCY_MS = 600_000;

/** Creates a window that covers the current period and the one before it. */
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
