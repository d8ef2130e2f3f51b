import { loadHashFunctions } from '@mimosamill/adapters';
import { quantileSorted } from 'simple-statistics';
import { measurePoisonProcesses } from '../poison/processes';
import { runPoisonSimulation } from '../poison/simulation';
import type { PoisonSimulationResult, PoisonOptions } from '../poison/simulation';
import type { Measurement, MeasureOptions, MeasureResult } from './measurement';

const RUNS = 4;
const FULL_RUNS = 20;

/** Requests that kill engines, among ordinary streams, in simulated time. */
export const poisonMeasurement: Measurement = {
  name: 'poison',
  summary: 'requests that kill engines: engines lost, streams failed and delayed',
  run: measure,
};

async function measure({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const { hash32 } = await loadHashFunctions();
  const base: Omit<PoisonOptions, 'seed'> = {
    routers: 8,
    engines: 13,
    durationMs: 90_000,
    culpritIntervalMs: 15_000,
    culpritsAtOnce: 1,
    copies: 1,
    hasUnrelatedCrashes: false,
    hasDomainLoss: false,
    reportDelayMs: 5,
    hasProtection: true,
    hash: hash32,
  };
  const runs = isFull ? FULL_RUNS : RUNS;
  const run = (options: Partial<PoisonOptions>): MeasureResult => {
    const figures: PoisonSimulationResult[] = [];
    for (let index = 0; index < runs; index += 1) {
      figures.push(runPoisonSimulation({ ...base, ...options, seed: seed + index }));
    }
    return summarise(figures);
  };
  return {
    ...run({}),
    engine_deaths_without_culprit: run({ culpritsAtOnce: 0, hasUnrelatedCrashes: true }),
    with_domain_loss: run({ hasDomainLoss: true }),
    two_culprits_at_once: run({ culpritsAtOnce: 2 }),
    three_copies_at_once: run({ copies: 3 }),
    reports_after_500_ms: run({ reportDelayMs: 500 }),
    baseline_plain_retry: run({ hasProtection: false }),
    baseline_plain_retry_with_domain_loss: run({ hasProtection: false, hasDomainLoss: true }),
    real_processes: await measurePoisonProcesses(seed),
  };
}

function summarise(runs: readonly PoisonSimulationResult[]): MeasureResult {
  const delaysMs = runs.flatMap((run) => run.resumeDelaysMs).sort((a, b) => a - b);
  const sum = (value: (run: PoisonSimulationResult) => number): number =>
    runs.reduce((total, run) => total + value(run), 0);
  const culprits = sum((run) => run.culprits);
  return {
    engines_lost_per_culprit_max: Math.max(...runs.map((run) => run.enginesLostPerCulpritMax)),
    engines_lost_per_culprit_mean: Number(
      (sum((run) => run.enginesLostPerCulpritMean * run.culprits) / Math.max(1, culprits)).toFixed(
        2,
      ),
    ),
    culprits_over_bound: sum((run) => run.culpritsOverBound),
    innocent_failed: sum((run) => run.innocentFailed),
    innocent_condemned: sum((run) => run.innocentCondemned),
    innocent_delay_p95_ms: delaysMs.length === 0 ? 0 : Math.round(quantileSorted(delaysMs, 0.95)),
    innocent_delay_max_ms: Math.round(delaysMs.at(-1) ?? 0),
    innocents: sum((run) => run.innocents),
    innocent_losses: delaysMs.length,
    culprits,
    culprits_condemned: sum((run) => run.culpritsCondemned),
    engines_lost: sum((run) => run.enginesLost),
  };
}
