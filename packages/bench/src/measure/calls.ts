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

/** Bookings under every pair of faults, in simulated time. */
export const callsMeasurement: Measurement = {
  name: 'calls',
  summary: 'bookings under pairs of faults: double runs, false refusals, wrong answers',
  run: measure,
};

async function measure({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const rounds = isFull ? FULL_ROUNDS : 1;
  const pairs = faultPairs();
  const trials: Trial[] = [];
  const baseline: Trial[] = [];
  for (let round = 0; round < rounds; round += 1) {
    for (const [index, pair] of pairs.entries()) {
      const worldSeed = seed + round * pairs.length + index;
      trials.push(await runTrial(worldSeed, pair, true));
      const isCompared = round === 0 && index % Math.floor(pairs.length / BASELINE_PAIRS) === 0;
      if (isCompared) baseline.push(await runTrial(worldSeed, pair, false));
    }
  }
  const calm = await runTrial(seed, [], true);
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
      bookings_run: calm.bookingsRun,
      table_writes_per_booking: calm.tableWrites / calm.bookingsRun,
      table_reads_per_booking: calm.tableReads / calm.bookingsRun,
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
  const world = createCallSimulation({ seed, faults, bookings: BOOKINGS_PER_PAIR, isClaiming });
  await world.run();
  return {
    ...checkCalls(world, BOOKINGS_PER_PAIR),
    pair: faults.join('+'),
    tableWrites: world.tableWrites(),
    tableReads: world.tableReads(),
  };
}

/** Of every trial; the first four have to be 0. */
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
