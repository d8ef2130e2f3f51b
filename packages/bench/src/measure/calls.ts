import { faultPairs } from '../calls/faults';
import { measureCallProcesses } from '../calls/processes';
import { checkCalls } from '../calls/check';
import { createCallSimulation } from '../calls/simulation';
import type { CallCheckResult } from '../calls/check';
import type { CallFault } from '../calls/faults';
import type { Measurement, MeasureOptions, MeasureResult } from './measurement';

const BOOKINGS_PER_PAIR = 40;
const FULL_ROUNDS = 10;
const BASELINE_PAIRS = 10;

interface Trial extends CallCheckResult {
  readonly pair: string;
  readonly tableWrites: number;
  readonly tableReads: number;
}

/**
 * Compares calls that are claimed before they run with plain retries: makes bookings in simulated
 * time under every pair of faults and counts double runs, wrong answers and missing ones.
 */
export const callsMeasurement: Measurement = {
  name: 'calls',
  summary: 'bookings under pairs of faults: double runs, false "not run" answers, wrong answers',
  run: measure,
};

async function measure({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const rounds = isFull ? FULL_ROUNDS : 1;
  const pairs = faultPairs();
  const trials: Trial[] = [];
  const baseline: Trial[] = [];
  for (let round = 0; round < rounds; round += 1) {
    for (const [index, pair] of pairs.entries()) {
      const simulationSeed = seed + round * pairs.length + index;
      trials.push(await runTrial(simulationSeed, pair, true));
      const isBaselineRun = round === 0 && index % Math.floor(pairs.length / BASELINE_PAIRS) === 0;
      if (isBaselineRun) baseline.push(await runTrial(simulationSeed, pair, false));
    }
  }
  const faultFree = await runTrial(seed, [], true);
  return {
    ...summariseFaults(trials),
    fault_pairs: pairs.length,
    faulty_pairs: listFailedPairs(trials),
    bookings_run: sum(trials, 'bookingsRun'),
    bookings_answered: sum(trials, 'bookingsAnswered'),
    left_unknown: sum(trials, 'leftUnknown'),
    left_unknown_with_lookup: sum(trials, 'leftUnknownWithLookup'),
    table_writes_per_booking_run: ratio(trials, 'tableWrites'),
    table_reads_per_booking_run: ratio(trials, 'tableReads'),
    without_faults: {
      bookings_run: faultFree.bookingsRun,
      table_writes_per_booking: faultFree.tableWrites / faultFree.bookingsRun,
      table_reads_per_booking: faultFree.tableReads / faultFree.bookingsRun,
    },
    baseline_retry_without_claim: summariseFaults(baseline),
    real_processes: await measureCallProcesses(seed),
  };
}

async function runTrial(
  seed: number,
  faults: readonly CallFault[],
  isClaiming: boolean,
): Promise<Trial> {
  const simulation = createCallSimulation({
    seed,
    faults,
    bookings: BOOKINGS_PER_PAIR,
    isClaiming,
  });
  await simulation.run();
  return {
    ...checkCalls(simulation, BOOKINGS_PER_PAIR),
    pair: faults.join('+'),
    tableWrites: simulation.tableWrites(),
    tableReads: simulation.tableReads(),
  };
}

/** Sums over the trials; with claims, all figures except `trials` must be 0. */
function summariseFaults(trials: readonly Trial[]): MeasureResult {
  return {
    double_runs: sum(trials, 'doubleRuns'),
    false_not_run: sum(trials, 'falseNotRun'),
    wrong_answers: sum(trials, 'wrongAnswers'),
    unanswered: sum(trials, 'unanswered'),
    trials: trials.length * BOOKINGS_PER_PAIR,
  };
}

function listFailedPairs(trials: readonly Trial[]): string[] {
  const isFaulty = (trial: Trial): boolean =>
    trial.doubleRuns + trial.falseNotRun + trial.wrongAnswers + trial.unanswered > 0;
  return trials.filter(isFaulty).map(({ pair }) => pair);
}

function sum(trials: readonly Trial[], field: Exclude<keyof Trial, 'pair'>): number {
  return trials.reduce((total, trial) => total + trial[field], 0);
}

function ratio(trials: readonly Trial[], field: 'tableWrites' | 'tableReads'): number {
  return Number((sum(trials, field) / sum(trials, 'bookingsRun')).toFixed(3));
}
