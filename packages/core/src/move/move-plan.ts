/** What a move's timetable depends on. */
export interface MovePlanInput {
  readonly nowMs: number;
  /** When the move was ordered; the same as `nowMs` for a new one. */
  readonly orderedAtMs?: number;
  readonly deadlineMs: number;
  /** Share that was already reached; 0 for a new move. */
  readonly reachedShareRatio: number;
  readonly engineCount: number;
  /** Engines that already hold the new version. */
  readonly loadedCount: number;
  /** Expected load of the service's engines during the move. */
  readonly busyRatio: number;
  /** Zero for services whose versions need no loading. */
  readonly sizeBytes: number;
  /** Rate limit of the weight store, shared by all loads. */
  readonly bytesPerSec: number;
}

export interface PlannedStep {
  readonly shareRatio: number;
  readonly atMs: number;
  /** Engines that must hold the new version before the step. */
  readonly engineCount: number;
  /** Load of the new version's engines when the step's traffic is packed onto them. */
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
 * Parts of the spare time spent at 1, 5, 20 and 50%. Most pairs come from the last two, on which
 * faults of one route or with little traffic are found.
 */
const STEP_TIME_WEIGHTS: readonly number[] = [0.2, 0.25, 0.3, 0.25];

/** A step takes effect everywhere within 8 s; a shorter hold would show nothing. */
const MIN_STEP_MS = 15_000;

/** Another host needs up to two lease terms to take over and finish the move. */
const FINISH_MARGIN_MS = 30_000;

/** Time for the transaction that records the end. */
const RESUMED_FINISH_MARGIN_MS = 2_000;

/** Time to start a version whose weights have arrived. */
const LOAD_OVERHEAD_MS = 10_000;

/** Engines are kept below this load while others are loading. */
const MAX_BUSY_RATIO = 0.95;

/** Capacity that an engine loses while it loads; it goes on serving more slowly. */
const LOADING_LOSS_RATIO = 0.2;

/** Up to this share the traffic is packed as tightly as is safe. */
const MAX_TIGHTLY_PACKED_SHARE = 0.2;

/** Load that packed engines should reach, to show what appears only under load. */
const PACKED_LOAD_RATIO = 0.9;

/** From then on the load only has to exceed the one that all engines will have in the end. */
const ABOVE_FINAL_FACTOR = 1.15;

/** Plans the steps backwards from the deadline, or says why it cannot be met. */
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
  const timetable = scheduleBackwards(earliestTimesFromOrder(input, loadConcurrency), finishMs);
  const firstStep = STEP_SHARES.findIndex((share) => share > input.reachedShareRatio);
  const shares = firstStep < 0 ? [] : STEP_SHARES.slice(firstStep);
  const earliestMs = earliestTimesFromNow(input, shares, loadConcurrency);
  // A new holder keeps to the move's timetable, and waits between steps that are overdue.
  const times = earliestMs.map((ms, i) => Math.max(ms, timetable[firstStep + i] ?? ms));
  // The margin is for takeovers, so a move that was taken over may use it up.
  const marginMs = input.reachedShareRatio === 0 ? FINISH_MARGIN_MS : RESUMED_FINISH_MARGIN_MS;
  const lastMs = times.at(-1) ?? input.nowMs;
  if (lastMs > input.deadlineMs - marginMs) {
    const neededSec = Math.ceil((lastMs + marginMs - input.nowMs) / 1_000);
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
 * Engines onto which a share is packed, so that they work under a load that the service's engines
 * have not yet reached with the new version.
 */
export function packedEngineCount(
  shareRatio: number,
  engineCount: number,
  busyRatio: number,
): number {
  if (shareRatio >= 1) return engineCount;
  const isSmall = shareRatio <= MAX_TIGHTLY_PACKED_SHARE;
  const aboveFinal = Math.max(
    busyRatio,
    Math.min(PACKED_LOAD_RATIO, busyRatio * ABOVE_FINAL_FACTOR),
  );
  const loadRatio = isSmall ? PACKED_LOAD_RATIO : aboveFinal;
  const busyEngines = shareRatio * engineCount * busyRatio;
  if (busyEngines === 0) return Math.max(1, Math.ceil(shareRatio * engineCount));
  // Rounding errors must not cost an engine.
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

/** Earliest times of all steps, as they were when the move was ordered. */
function earliestTimesFromOrder(input: MovePlanInput, concurrency: number): number[] {
  const isNew = input.reachedShareRatio === 0;
  const loadedCount = isNew ? input.loadedCount : 0;
  const nowMs = input.orderedAtMs ?? input.nowMs;
  return earliestTimes({ ...input, nowMs, loadedCount }, STEP_SHARES, concurrency, nowMs);
}

/** Earliest times of the steps that are left; it is unknown how long the last one was held. */
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
  const missing = Math.max(0, engineCountFor(input, shareRatio) - input.loadedCount);
  const rounds = Math.ceil(missing / concurrency);
  const transferMs = (missing * input.sizeBytes * 1_000) / input.bytesPerSec;
  return input.nowMs + transferMs + rounds * LOAD_OVERHEAD_MS;
}

/** Walks back from the finish; no step is earlier than its earliest time. */
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
