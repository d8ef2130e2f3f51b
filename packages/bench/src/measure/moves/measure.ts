import { loadHashFunctions } from '@mimosamill/adapters';
import { ALL_AT_ONCE, FIXED_RAMP, simulateThresholdMove } from './baselines';
import { simulatePairedMove } from './paired';
import { createScenario } from './scenario';
import type { Measurement, MeasureResult } from '../measurement';
import type { MoveResult } from './result';
import type { Scenario } from './scenario';

interface Run {
  readonly scenario: Scenario;
  readonly result: MoveResult;
}

const MOVES = 300;
const FULL_MOVES = 2_000;

/** Good and bad versions moved under every kind of fault, load, noise and deadline. */
export const movesMeasurement: Measurement = {
  name: 'moves',
  summary: 'Version moves: good ones done on time, bad ones taken back, beside two baselines',
  run: async ({ seed, isFull }) => {
    const { hash32 } = await loadHashFunctions();
    const count = isFull ? FULL_MOVES : MOVES;
    const scenarios = Array.from({ length: count }, (_, i) => createScenario(i, seed));
    const paired: Run[] = [];
    for (const scenario of scenarios) {
      paired.push({ scenario, result: await simulatePairedMove(scenario, hash32) });
    }
    const ramp = scenarios.map((scenario) => ({
      scenario,
      result: simulateThresholdMove(scenario, FIXED_RAMP),
    }));
    const atOnce = scenarios.map((scenario) => ({
      scenario,
      result: simulateThresholdMove(scenario, ALL_AT_ONCE),
    }));
    return {
      moves: count,
      ...summarize(paired),
      baseline_fixed_ramp: summarize(ramp),
      baseline_all_at_once: summarize(atOnce),
      ...summarizeByFault(paired),
    };
  },
};

function summarize(runs: readonly Run[]): MeasureResult {
  const good = runs.filter(({ scenario }) => scenario.fault === undefined);
  const bad = runs.filter(({ scenario }) => scenario.fault !== undefined && !scenario.isSparse);
  const sparse = runs.filter(({ scenario }) => scenario.fault !== undefined && scenario.isSparse);
  return {
    good_done_on_time_ratio: ratio(good, ({ result }) => result.isOnTime),
    good_taken_back_ratio: ratio(good, ({ result }) => result.finalState === 'taken_back'),
    bad_taken_back_ratio: ratio(bad, ({ result }) => result.finalState === 'taken_back'),
    bad_share_of_traffic_p95: quantile(bad.map(badShareOfTraffic), 0.95),
    bad_requests_p50: quantile(
      bad.map(({ result }) => result.badRequests),
      0.5,
    ),
    bad_requests_p95: quantile(
      bad.map(({ result }) => result.badRequests),
      0.95,
    ),
    take_back_p50_ms: quantile(
      bad.flatMap(({ result }) => result.takeBackMs ?? []),
      0.5,
    ),
    take_back_p95_ms: quantile(
      bad.flatMap(({ result }) => result.takeBackMs ?? []),
      0.95,
    ),
    bad_with_little_traffic_taken_back_ratio: ratio(
      sparse,
      ({ result }) => result.finalState === 'taken_back',
    ),
    bad_with_little_traffic_share_p95: quantile(sparse.map(badShareOfTraffic), 0.95),
    both_outcomes: runs.filter(({ result }) => result.hasBothOutcomes).length,
    reported_other_than_once: runs.filter(({ result }) => result.reportCount !== 1).length,
    without_end: runs.filter(({ result }) => result.finalState === 'none').length,
  };
}

/** What went against the target, by kind, for whoever looks into it. */
function summarizeByFault(runs: readonly Run[]): MeasureResult {
  const kinds = [...new Set(runs.map(({ scenario }) => scenario.fault?.kind ?? 'good'))];
  const byKind = kinds.map((kind) => {
    const some = runs.filter(({ scenario }) => (scenario.fault?.kind ?? 'good') === kind);
    const dense = some.filter(({ scenario }) => !scenario.isSparse);
    const figures = {
      moves: some.length,
      taken_back_ratio: ratio(dense, ({ result }) => result.finalState === 'taken_back'),
      share_of_traffic_p95: quantile(dense.map(badShareOfTraffic), 0.95),
      take_back_p95_ms: quantile(
        dense.flatMap(({ result }) => result.takeBackMs ?? []),
        0.95,
      ),
    };
    return [kind, figures] as const;
  });
  return { by_kind: Object.fromEntries(byKind) };
}

function badShareOfTraffic({ scenario, result }: Run): number {
  const expected = (scenario.requestsPerSec * scenario.durationMs) / 1_000;
  return result.badRequests / Math.max(1, expected);
}

function ratio(runs: readonly Run[], holds: (run: Run) => boolean): number {
  return runs.length === 0 ? 0 : round(runs.filter(holds).length / runs.length);
}

function quantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return round(sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0);
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
