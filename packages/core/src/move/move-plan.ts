/** What the schedule of a version move (a rollout in steps) depends on. */
export interface MovePlanInput {
  readonly nowMs: number;
  /** When the move was ordered; absent for a new one, which starts at `nowMs`. */
  readonly orderedAtMs?: number;
  readonly deadlineMs: number;
  /** Traffic share that the new version has already reached; 0 for a new move. */
  readonly reachedShareRatio: number;
  readonly engineCount: number;
  /** Engines that already hold the new version. */
  readonly loadedCount: number;
  /** Expected load of the service's engines during the move. */
  readonly busyRatio: number;
  /** Size of the version's weights; zero if they need no loading. */
  readonly sizeBytes: number;
  /** Rate limit of the weight store, shared by all engines that load. */
  readonly bytesPerSec: number;
}

export interface PlannedStep {
  readonly shareRatio: number;
  readonly atMs: number;
  /** Engines that must hold the new version before the step. */
  readonly engineCount: number;
  /** Load of the engines onto which the step's traffic is packed. */
  readonly engineLoadRatio: number;
}

export interface MovePlan {
  readonly steps: readonly PlannedStep[];
  /** Engines that may load at the same time without overloading the others. */
  readonly loadConcurrency: number;
}

export type MovePlanOutcome =
  | { readonly kind: 'ok'; readonly plan: MovePlan }
  | { readonly kind: 'refused'; readonly reason: string };

export const STEP_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 1];

/**
 * Shares of the spare time that the steps at 1, 5, 20 and 50% get. The last two give most pairs,
 * which it takes to find faults of one route or of routes with little traffic.
 */
const STEP_TIME_WEIGHTS: readonly number[] = [0.2, 0.25, 0.3, 0.25];

/** A step takes up to 8 s to reach every router, so a shorter one would show nothing. */
const MIN_STEP_MS = 15_000;

/** If the controller's host fails, another needs up to two lease terms to take over and finish. */
const FINISH_MARGIN_MS = 30_000;

/** A move that has begun keeps only the time for the transaction that records its end. */
const RESUMED_FINISH_MARGIN_MS = 2_000;

/** Time that an engine needs to start a version after its weights have arrived. */
const LOAD_OVERHEAD_MS = 10_000;

/** While engines load, the others must stay below this load. */
const MAX_BUSY_RATIO = 0.95;

/** Capacity that an engine loses while it loads; it continues to serve, but more slowly. */
const LOADING_LOSS_RATIO = 0.2;

/** Up to this share, the new version's traffic is packed as tightly as is safe. */
const MAX_TIGHTLY_PACKED_SHARE = 0.2;

/** Load that packed engines should reach, to expose faults that appear only under load. */
const PACKED_LOAD_RATIO = 0.9;

/** Above that share, engines only need more load than all will have after the move. */
const ABOVE_FINAL_FACTOR = 1.15;

/** Plans the steps backwards from the deadline, or gives the reason why it can't be met. */
export function planMove(input: MovePlanInput): MovePlanOutcome {
  if (input.engineCount === 0) return refuse('the service has no engines');
  const loadConcurrency = maxConcurrentLoads(input);
  if (loadConcurrency === 0) {
    const busyPercent = Math.round(input.busyRatio * 100);
    return refuse(
      `no engine can be spared for loading: ${input.engineCount} engines are ${busyPercent}% busy`,
    );
  }
  const finishMs = input.deadlineMs - FINISH_MARGIN_MS;
  const schedule = scheduleBackwards(earliestTimesFromOrder(input, loadConcurrency), finishMs);
  const firstStep = STEP_SHARES.findIndex((share) => share > input.reachedShareRatio);
  const shares = firstStep < 0 ? [] : STEP_SHARES.slice(firstStep);
  const earliestMs = earliestTimesFromNow(input, shares, loadConcurrency);
  // A new lease holder keeps the move's schedule, and holds each overdue step for the minimum time.
  const times = earliestMs.map((ms, i) => Math.max(ms, schedule[firstStep + i] ?? ms));
  // The margin is for takeovers, so a move that has begun may use it up.
  const marginMs = input.reachedShareRatio === 0 ? FINISH_MARGIN_MS : RESUMED_FINISH_MARGIN_MS;
  const lastStepMs = times.at(-1) ?? input.nowMs;
  if (lastStepMs > input.deadlineMs - marginMs) {
    const neededSec = Math.ceil((lastStepMs + marginMs - input.nowMs) / 1_000);
    const givenSec = Math.floor((input.deadlineMs - input.nowMs) / 1_000);
    return refuse(`the move needs ${neededSec} s and the deadline leaves ${givenSec} s`);
  }
  const steps = shares.map((shareRatio, i) => ({
    shareRatio,
    atMs: times[i] ?? finishMs,
    engineCount: engineCountFor(input, shareRatio),
    engineLoadRatio: engineLoadRatioFor(input, shareRatio),
  }));
  return { kind: 'ok', plan: { steps, loadConcurrency } };
}

/**
 * Number of engines onto which a traffic share is packed. They get a higher load than an even
 * spread would give, at which the new version has not been tried yet.
 */
export function packedEngineCount(
  shareRatio: number,
  engineCount: number,
  busyRatio: number,
): number {
  if (shareRatio >= 1) return engineCount;
  const isTightlyPacked = shareRatio <= MAX_TIGHTLY_PACKED_SHARE;
  const loadAboveFinal = Math.max(
    busyRatio,
    Math.min(PACKED_LOAD_RATIO, busyRatio * ABOVE_FINAL_FACTOR),
  );
  const loadRatio = isTightlyPacked ? PACKED_LOAD_RATIO : loadAboveFinal;
  const busyEngines = shareRatio * engineCount * busyRatio;
  if (busyEngines === 0) return Math.max(1, Math.ceil(shareRatio * engineCount));
  // The tolerance keeps rounding errors from adding an engine.
  return Math.max(1, Math.ceil(busyEngines / loadRatio - 1e-9));
}

function refuse(reason: string): MovePlanOutcome {
  return { kind: 'refused', reason };
}

function maxConcurrentLoads(input: MovePlanInput): number {
  if (input.sizeBytes === 0) return input.engineCount;
  const spareEngines = input.engineCount * (1 - input.busyRatio / MAX_BUSY_RATIO);
  const loads = Math.floor(spareEngines / LOADING_LOSS_RATIO);
  return Math.min(input.engineCount, Math.max(0, loads));
}

function engineCountFor(input: MovePlanInput, shareRatio: number): number {
  return packedEngineCount(shareRatio, input.engineCount, input.busyRatio);
}

function engineLoadRatioFor(input: MovePlanInput, shareRatio: number): number {
  const busyEngines = shareRatio * input.engineCount * input.busyRatio;
  return busyEngines / engineCountFor(input, shareRatio);
}

/** Earliest times of all steps, as planned when the move was ordered. */
function earliestTimesFromOrder(input: MovePlanInput, concurrency: number): number[] {
  const isNew = input.reachedShareRatio === 0;
  const loadedCount = isNew ? input.loadedCount : 0;
  const nowMs = input.orderedAtMs ?? input.nowMs;
  return earliestTimes({ ...input, nowMs, loadedCount }, STEP_SHARES, concurrency, nowMs);
}

/** Earliest times of the remaining steps. The current one may have only begun, so it is held again. */
function earliestTimesFromNow(
  input: MovePlanInput,
  shares: readonly number[],
  concurrency: number,
): number[] {
  const startMs = input.reachedShareRatio === 0 ? input.nowMs : input.nowMs + MIN_STEP_MS;
  return earliestTimes(input, shares, concurrency, startMs);
}

function earliestTimes(
  input: MovePlanInput,
  shares: readonly number[],
  concurrency: number,
  startMs: number,
): number[] {
  let previousMs = startMs - MIN_STEP_MS;
  return shares.map((share) => {
    previousMs = Math.max(loadedAtMs(input, share, concurrency), previousMs + MIN_STEP_MS);
    return previousMs;
  });
}

function loadedAtMs(input: MovePlanInput, shareRatio: number, concurrency: number): number {
  if (input.sizeBytes === 0) return input.nowMs;
  const missingEngines = Math.max(0, engineCountFor(input, shareRatio) - input.loadedCount);
  const loadRounds = Math.ceil(missingEngines / concurrency);
  const transferMs = (missingEngines * input.sizeBytes * 1_000) / input.bytesPerSec;
  return input.nowMs + transferMs + loadRounds * LOAD_OVERHEAD_MS;
}

/** Places the steps backwards from the finish, none before its earliest time. */
function scheduleBackwards(earliestMs: readonly number[], finishMs: number): number[] {
  const spanMs = finishMs - (earliestMs[0] ?? finishMs);
  const times = [...earliestMs];
  let nextMs = finishMs;
  for (let i = times.length - 1; i >= 0; i -= 1) {
    times[i] = Math.max(earliestMs[i] ?? nextMs, nextMs);
    const holdMs = (STEP_TIME_WEIGHTS[i - 1] ?? 0) * spanMs;
    nextMs = (times[i] ?? finishMs) - Math.max(MIN_STEP_MS, holdMs);
  }
  return times;
}
