import { assertNever } from '../outcome';
import type { EngineRecord } from './engine';
import type { EngineRole, RoutePriority } from './types';

/** Moving averages of one model's requests, over all engines. */
export interface ModelMeans {
  /** Time from sending a request to its end. */
  requestMs: number;
  /** Time an engine spends on a prompt, after cache hits. */
  prefillMs: number;
  /** Ratio of the observed to the expected time to first token. */
  ttftRatio: number;
  tokenGapMs: number;
}

/** Assumed values until the first requests have ended. */
export function createModelMeans(): ModelMeans {
  return { requestMs: 8_000, prefillMs: 100, ttftRatio: 1, tokenGapMs: 0 };
}

const NEWEST_VALUE_WEIGHT = 0.05;
/** An engine works off its queue within a few prompts' time, so a reported length is soon out of date. */
const QUEUE_DECAY_PROMPTS = 3;
const MAX_UTILIZATION = 0.95;

export function updateMean(mean: number, value: number): number {
  return mean + NEWEST_VALUE_WEIGHT * (value - mean);
}

/** Least spare capacity, as a part of the even share, so that every engine has a chance to be drawn. */
const MIN_SPARE_RATIO = 0.05;
const WATER_FILLING_ROUNDS = 4;

/**
 * Estimates each engine's present load from its latest report. The requests that it reported as running
 * decay with the mean request duration. The requests that all routers have sent since then, by Little's
 * law, are assumed to have gone to the engines that reported little load and to have filled them to one
 * level (water filling). An old report of little load thus counts less than a new one. An engine's spare
 * capacity is the number of these requests that it is assumed to have taken.
 */
export function estimateLoads(
  records: readonly EngineRecord[],
  means: ModelMeans,
  nowMs: number,
): void {
  let loadSum = 0;
  let arrivals = 0;
  let stepSum = 0;
  for (const record of records) {
    const ageMs = Math.max(0, nowMs - record.reportMeasuredAtMs);
    record.reportWeight = Math.exp(-ageMs / means.requestMs);
    record.estimatedRunning = record.running * record.reportWeight + record.queued;
    arrivals += (record.running * ageMs) / means.requestMs;
    loadSum += record.estimatedRunning;
    stepSum += record.stepMs;
  }
  const level = waterFillingLevel(records, loadSum, arrivals);
  const minSpareCapacity = Math.max(1e-6, (MIN_SPARE_RATIO * arrivals) / records.length);
  const meanStepMs = stepSum / records.length;
  for (const record of records) {
    record.spareCapacity = Math.max(minSpareCapacity, level - record.estimatedRunning);
    record.estimatedRunning = Math.max(level, record.estimatedRunning);
    record.estimatedStepMs = meanStepMs + (record.stepMs - meanStepMs) * record.reportWeight;
  }
}

/** Load to which the arrivals fill the least loaded engines; the rounds approach it from below. */
function waterFillingLevel(
  records: readonly EngineRecord[],
  loadSum: number,
  arrivals: number,
): number {
  let level = (loadSum + arrivals) / records.length;
  for (let round = 0; round < WATER_FILLING_ROUNDS; round += 1) {
    let lowSum = 0;
    let lowCount = 0;
    for (const record of records) {
      if (record.estimatedRunning >= level) continue;
      lowSum += record.estimatedRunning;
      lowCount += 1;
    }
    if (lowCount === 0) return level;
    level = (lowSum + arrivals) / lowCount;
  }
  return level;
}

/**
 * Expected wait for the prompts queued before a request. It starts at the reported queue length and, as
 * the report ages, moves to the mean wait at the engine's utilization. The arrival rate behind it is the
 * number of running requests, which changes slowly, over the mean request duration (Little's law).
 */
export function expectedPromptWaitMs(
  record: EngineRecord,
  means: ModelMeans,
  ageMs: number,
): number {
  const reportWeight = Math.exp(-ageMs / (QUEUE_DECAY_PROMPTS * means.prefillMs + 1));
  const reportedMs = record.queued * means.prefillMs;
  const utilization = Math.min(
    MAX_UTILIZATION,
    (record.estimatedRunning * means.prefillMs) / means.requestMs,
  );
  const steadyMs = (means.prefillMs * utilization) / (1 - utilization);
  return reportWeight * reportedMs + (1 - reportWeight) * steadyMs;
}

/** Expected wait for a free slot in the engine's batch. */
export function expectedSlotWaitMs(record: EngineRecord, means: ModelMeans): number {
  const occupancy = record.estimatedRunning + record.unreportedRequests;
  const waiting = occupancy - record.maxRunning + 1;
  return waiting <= 0 ? 0 : (waiting * means.requestMs) / record.maxRunning;
}

/** Engines serve urgent requests first, so an urgent request waits for a smaller part of the queue. */
export function queueWaitFactor(priority: RoutePriority): number {
  switch (priority) {
    case 'urgent':
      return 0.25;
    case 'normal':
      return 1;
    case 'batch':
      return 1.5;
    default:
      return assertNever(priority);
  }
}

/** A decode engine processes prompts more slowly than other engines. */
export function prefillFactor(role: EngineRole): number {
  return role === 'decode' ? 4 : 1;
}

/** A prefill engine generates tokens more slowly than other engines. */
export function decodeFactor(role: EngineRole): number {
  return role === 'prefill' ? 4 : 1;
}
