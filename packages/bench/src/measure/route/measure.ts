import { loadHashFunctions } from '@mimosamill/adapters';
import { CACHE_VIEW_MAX_BLOCKS, createPrefixCacheView } from '@mimosamill/core';
import { percentile, round } from '../random';
import { measureCacheRebuild } from './rebuild';
import { simulateRouting } from './run';
import type { MeasureOptions, Measurement, MeasureResult } from '../measurement';
import type { PolicyName } from './policy';
import type { RoutingRunOptions, RoutingRunResult } from './run';

const LAGS_MS = [200, 1_000, 5_000];
const LOAD_RATIOS = [0.3, 0.8, 0.95];
const FULL_LOAD_RATIOS = [0.1, 0.2, 0.3, 0.5, 0.65, 0.8, 0.95];
/** The records of all routers do not fit the default minute. */
const ALL_ROUTERS = 340;
const REGION_ROUTERS = 113;
const SUMMARY_LOAD_RATIO = 0.8;
const BASELINES: readonly PolicyName[] = ['random', 'round_robin', 'least_reported', 'two_choices'];

interface LoadFigures {
  readonly ttft_p95_ms: number;
  readonly ttft_p50_ms: number;
  readonly prefix_hit_ratio: number;
  readonly baseline: Readonly<Record<string, number>>;
  /** Negative if the picker is faster than the best baseline. */
  readonly above_best_baseline_ratio: number;
}

/** 600 engines, 20 models, 340 routers: time to first token against four baselines. */
export const routeMeasurement: Measurement = {
  name: 'route',
  summary: 'time to first token and decision time of the picker under report lag',
  run: measureRoute,
};

async function measureRoute({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const { hash32 } = await loadHashFunctions();
  const base = {
    seed,
    hash: hash32,
    routerCount: isFull ? ALL_ROUTERS : REGION_ROUTERS,
    warmUpMs: isFull ? 20_000 : 8_000,
    measuredMs: isFull ? 30_000 : 10_000,
  };
  const decisionUs: number[] = [];
  const byLag: Record<string, Record<string, LoadFigures>> = {};
  // The first runs of the code are slower; they are not timed.
  simulateRouting({ ...base, policy: 'picker', lagMs: 200, loadRatio: 0.5, measuredMs: 1_000 });
  (isFull ? FULL_LOAD_RATIOS : LOAD_RATIOS).forEach((loadRatio) => {
    const baselines = new Map<string, RoutingRunResult>();
    LAGS_MS.forEach((lagMs) => {
      const options = { ...base, lagMs, loadRatio };
      const result = simulateRouting({ ...options, policy: 'picker' });
      decisionUs.push(...result.decisionUs);
      const lagKey = String(lagMs / 1_000);
      byLag[lagKey] ??= {};
      byLag[lagKey][String(loadRatio)] = compare(result, runBaselines(options, baselines));
    });
  });
  return { ...summarise(byLag, decisionUs), cache_rebuild: measureCacheRebuild(seed) };
}

/** Random and round robin read no reports, so one run serves all lags. */
function runBaselines(
  options: Omit<RoutingRunOptions, 'policy'>,
  known: Map<string, RoutingRunResult>,
): Record<string, number> {
  const entries = BASELINES.map((policy) => {
    const usesReports = policy === 'least_reported' || policy === 'two_choices';
    const key = usesReports ? `${policy} ${options.lagMs}` : policy;
    const result = known.get(key) ?? simulateRouting({ ...options, policy });
    known.set(key, result);
    return [policy, round(result.ttftP95Ms)] as const;
  });
  return Object.fromEntries(entries);
}

function compare(result: RoutingRunResult, baseline: Record<string, number>): LoadFigures {
  const best = Math.min(...Object.values(baseline));
  return {
    ttft_p95_ms: round(result.ttftP95Ms),
    ttft_p50_ms: round(result.ttftP50Ms),
    prefix_hit_ratio: round(result.prefixHitRatio, 3),
    baseline,
    above_best_baseline_ratio: round(result.ttftP95Ms / best - 1, 3),
  };
}

function summarise(
  byLag: Record<string, Record<string, LoadFigures>>,
  decisionUs: readonly number[],
): MeasureResult {
  const all = Object.values(byLag).flatMap((loads) => Object.values(loads));
  const stated = Object.fromEntries(
    Object.entries(byLag).map(([lag, loads]) => [lag, loads[String(SUMMARY_LOAD_RATIO)]]),
  );
  return {
    decision_us_p50: round(percentile(decisionUs, 0.5)),
    decision_us_p99: round(percentile(decisionUs, 0.99)),
    state_bytes_per_engine: measureStateBytes(),
    worst_above_best_baseline_ratio: Math.max(...all.map((f) => f.above_best_baseline_ratio)),
    lag: stated,
    by_load: byLag,
  };
}

/** Arrays of the cache view, and the record's numeric fields at 8 bytes each. */
function measureStateBytes(): number {
  const RECORD_FIELDS = 32;
  return createPrefixCacheView(CACHE_VIEW_MAX_BLOCKS).sizeBytes() + RECORD_FIELDS * 8;
}
