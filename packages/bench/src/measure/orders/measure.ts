import { loadHashFunctions } from '@mimosamill/adapters';
import { runTrial } from './trial';
import type { Hash32 } from '@mimosamill/core';
import type { Measurement, MeasureResult } from '../measurement';
import type { OrderTrialResult } from './trial';

const TRIALS = 400;
const FULL_TRIALS = 1_000;

/** Pauses, deaths and takeovers of the controllers that send orders to engines. */
export const ordersMeasurement: Measurement = {
  name: 'orders',
  summary: 'Orders to engines under pauses and takeovers, with and without fencing',
  run: async ({ seed, isFull }) => {
    const { hash32 } = await loadHashFunctions();
    const count = isFull ? FULL_TRIALS : TRIALS;
    const enforced = await runAll(count, seed, 'enforced', hash32);
    const ignored = await runAll(count, seed, 'ignored', hash32);
    return {
      trials: 2 * count,
      wrong_final_state: sum([...enforced, ...ignored], (each) => each.wrongFinalStates),
      stale_orders_applied: sum([...enforced, ...ignored], (each) => each.staleApplied),
      fencing_enforced: summarize(enforced),
      fencing_ignored: summarize(ignored),
    };
  },
};

async function runAll(
  count: number,
  seed: number,
  fencing: 'enforced' | 'ignored',
  hash: Hash32,
): Promise<OrderTrialResult[]> {
  const results: OrderTrialResult[] = [];
  for (let i = 0; i < count; i += 1) results.push(await runTrial(seed + i * 6_151, fencing, hash));
  return results;
}

function summarize(results: readonly OrderTrialResult[]): MeasureResult {
  return {
    trials: results.length,
    wrong_final_state: sum(results, (each) => each.wrongFinalStates),
    orders_sent: sum(results, (each) => each.ordersSent),
    takeovers: sum(results, (each) => each.takeovers),
    stale_orders_applied: sum(results, (each) => each.staleApplied),
    stale_orders_refused: sum(results, (each) => each.staleRefused),
    longest_wrong_at_rest_ms: Math.round(Math.max(...results.map((each) => each.longestWrongMs))),
  };
}

function sum(results: readonly OrderTrialResult[], of: (each: OrderTrialResult) => number): number {
  return results.reduce((total, each) => total + of(each), 0);
}
