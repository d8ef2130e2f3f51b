/** What a move's timetable depends on. */
export interface PlanInput {
  readonly nowMs: number;
  readonly byMs: number;
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

export type PlanOutcome =
  | { readonly kind: 'ok'; readonly plan: MovePlan }
  | { readonly kind: 'refused'; readonly reason: string };

export const STEP_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 1];

/** Parts of the spare time spent at 1, 5, 20 and 50%: long where a fault harms few requests. */
const HOLD_WEIGHTS: readonly number[] = [0.3, 0.25, 0.25, 0.2];

/** A step takes effect everywhere within 8 s; a shorter hold would show nothing. */
const MIN_HOLD_MS = 15_000;

/** Another host needs up to two lease terms to take over and finish the move. */
const FINISH_MARGIN_MS = 30_000;

/** Time for the transaction that records the end. */
const LAST_MARGIN_MS = 2_000;

/** Time to start a version whose weights have arrived. */
const LOAD_OVERHEAD_MS = 10_000;

/** Engines are kept below this load while others are loading. */
const MAX_BUSY_RATIO = 0.95;

/** Capacity that an engine loses while it loads; it goes on serving more slowly. */
const LOADING_LOSS_RATIO = 0.2;

/** Up to this share the new version's traffic is packed onto few engines. */
const PACKED_UP_TO_RATIO = 0.2;

/** Load that packed engines should reach, to show what appears only under load. */
const PACKED_LOAD_RATIO = 0.9;

/** Plans the steps backwards from the deadline, or says why it cannot be met. */
export function planMove(input: PlanInput): PlanOutcome {
  if (input.engineCount === 0) return refuse('the service has no engines');
  const loadConcurrency = loadsAtOnce(input);
  if (loadConcurrency === 0) {
    const busyPercent = Math.round(input.busyRatio * 100);
    return refuse(
      `no engine can be spared for loading: ${input.engineCount} engines are ${busyPercent}% busy`,
    );
  }
  const shares = STEP_SHARES.filter((share) => share > input.reachedShareRatio);
  const readyAtMs = shares.map((share) => loadedAtMs(input, share, loadConcurrency));
  const earliestMs = earliestTimes(readyAtMs, input.nowMs);
  // The margin is for takeovers, so a move that was taken over may use it up.
  const marginMs = input.reachedShareRatio === 0 ? FINISH_MARGIN_MS : LAST_MARGIN_MS;
  const earliestFinishMs = earliestMs.at(-1) ?? input.nowMs;
  const finishMs = Math.max(earliestFinishMs, input.byMs - FINISH_MARGIN_MS);
  if (earliestFinishMs > input.byMs - marginMs) {
    const neededSec = Math.ceil((earliestFinishMs + marginMs - input.nowMs) / 1_000);
    const givenSec = Math.floor((input.byMs - input.nowMs) / 1_000);
    return refuse(`the move needs ${neededSec} s and the deadline leaves ${givenSec} s`);
  }
  const times = spreadTimes(earliestMs, finishMs);
  const steps = shares.map((shareRatio, i) => ({
    shareRatio,
    atMs: times[i] ?? finishMs,
    engineCount: enginesAt(input, shareRatio),
    engineLoadRatio: engineLoadAt(input, shareRatio),
  }));
  return { kind: 'ok', plan: { steps, loadConcurrency } };
}

/** Engines onto which a small share is packed, so that they work under a high load. */
export function packedEngineCount(
  shareRatio: number,
  engineCount: number,
  busyRatio: number,
): number {
  if (shareRatio > PACKED_UP_TO_RATIO) return Math.ceil(engineCount * shareRatio);
  const busyEngines = shareRatio * engineCount * busyRatio;
  return Math.max(1, Math.ceil(busyEngines / PACKED_LOAD_RATIO));
}

function refuse(reason: string): PlanOutcome {
  return { kind: 'refused', reason };
}

function loadsAtOnce(input: PlanInput): number {
  if (input.sizeBytes === 0) return input.engineCount;
  const spareEngines = input.engineCount * (1 - input.busyRatio / MAX_BUSY_RATIO);
  const loads = Math.floor(spareEngines / LOADING_LOSS_RATIO);
  return Math.min(input.engineCount, Math.max(0, loads));
}

function enginesAt(input: PlanInput, shareRatio: number): number {
  return packedEngineCount(shareRatio, input.engineCount, input.busyRatio);
}

function engineLoadAt(input: PlanInput, shareRatio: number): number {
  const busyEngines = shareRatio * input.engineCount * input.busyRatio;
  return busyEngines / enginesAt(input, shareRatio);
}

function loadedAtMs(input: PlanInput, shareRatio: number, concurrency: number): number {
  if (input.sizeBytes === 0) return input.nowMs;
  const missing = Math.max(0, enginesAt(input, shareRatio) - input.loadedCount);
  const rounds = Math.ceil(missing / concurrency);
  const transferMs = (missing * input.sizeBytes * 1_000) / input.bytesPerSec;
  return input.nowMs + transferMs + rounds * LOAD_OVERHEAD_MS;
}

function earliestTimes(readyAtMs: readonly number[], nowMs: number): number[] {
  let previousMs = nowMs - MIN_HOLD_MS;
  return readyAtMs.map((readyMs) => {
    previousMs = Math.max(readyMs, previousMs + MIN_HOLD_MS);
    return previousMs;
  });
}

/** Walks back from the finish; no step is earlier than its earliest time. */
function spreadTimes(earliestMs: readonly number[], finishMs: number): number[] {
  const weights = HOLD_WEIGHTS.slice(HOLD_WEIGHTS.length - (earliestMs.length - 1));
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  const spanMs = finishMs - (earliestMs[0] ?? finishMs);
  const times = [...earliestMs];
  let nextMs = finishMs;
  for (let i = times.length - 1; i >= 0; i -= 1) {
    times[i] = Math.max(earliestMs[i] ?? nextMs, nextMs);
    const holdMs = i > 0 ? ((weights[i - 1] ?? 0) / weightSum) * spanMs : 0;
    nextMs = (times[i] ?? finishMs) - Math.max(MIN_HOLD_MS, holdMs);
  }
  return times;
}
