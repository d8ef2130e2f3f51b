import { assertNever } from '../outcome';
import type { EngineRecord } from './engine';
import type { EngineRole, RoutePriority } from './types';

/** Measured means of one model, over all engines. */
export interface ModelMeans {
  /** Time from send to end. */
  requestMs: number;
  /** Time an engine spends on a prompt, after cache hits. */
  prefillMs: number;
  /** Observed time to first token over the expected one. */
  ttftRatio: number;
  tokenGapMs: number;
}

/** Means before anything has been measured. */
export function createModelMeans(): ModelMeans {
  return { requestMs: 8_000, prefillMs: 100, ttftRatio: 1, tokenGapMs: 0 };
}

/** Weight of the newest value in the means. */
const NEWEST_VALUE_WEIGHT = 0.05;
/** A queue of prompts is worked off within a few prompts' time, so its length is soon out of date. */
const QUEUE_DECAY_PROMPTS = 3;
const MAX_UTILIZATION = 0.95;

export function updateMean(mean: number, value: number): number {
  return mean + NEWEST_VALUE_WEIGHT * (value - mean);
}

/** Part of the even share that an engine keeps as its room, so that every one can be drawn. */
const MIN_SPARE_RATIO = 0.05;
const WATER_FILLING_ROUNDS = 4;

/**
 * Estimates each engine's present load from its report. What was running decays with the time of
 * service; the requests that the whole fleet has sent since (by Little's law) are assumed to have
 * gone where the reports showed room. They raise the engines with low reports to one level, so a
 * low report is worth less the older it is, and an engine's room is what it took of them.
 */
export function estimateLoads(
  records: readonly EngineRecord[],
  means: ModelMeans,
  nowMs: number,
): void {
  let sum = 0;
  let arrivals = 0;
  let stepSum = 0;
  for (const record of records) {
    const ageMs = Math.max(0, nowMs - record.reportMeasuredAtMs);
    record.reportWeight = Math.exp(-ageMs / means.requestMs);
    record.estimatedRunning = record.running * record.reportWeight + record.queued;
    arrivals += (record.running * ageMs) / means.requestMs;
    sum += record.estimatedRunning;
    stepSum += record.stepMs;
  }
  const level = waterFillingLevel(records, sum, arrivals);
  const minRoom = Math.max(1e-6, (MIN_SPARE_RATIO * arrivals) / records.length);
  const meanStepMs = stepSum / records.length;
  for (const record of records) {
    record.spareCapacity = Math.max(minRoom, level - record.estimatedRunning);
    record.estimatedRunning = Math.max(level, record.estimatedRunning);
    record.estimatedStepMs = meanStepMs + (record.stepMs - meanStepMs) * record.reportWeight;
  }
}

/** Level to which the arrivals raise the lowest engines. Starts too low and rises. */
function waterFillingLevel(
  records: readonly EngineRecord[],
  sum: number,
  arrivals: number,
): number {
  let level = (sum + arrivals) / records.length;
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
 * Wait for the prompts ahead. A fresh report tells the queue; as it ages, the wait that follows
 * from the engine's rate of arrivals takes its place (Little's law: the number running, which
 * changes slowly, over the time each one runs).
 */
export function expectedPromptWaitMs(
  record: EngineRecord,
  means: ModelMeans,
  ageMs: number,
): number {
  const freshness = Math.exp(-ageMs / (QUEUE_DECAY_PROMPTS * means.prefillMs + 1));
  const reportedMs = record.queued * means.prefillMs;
  const utilization = Math.min(
    MAX_UTILIZATION,
    (record.estimatedRunning * means.prefillMs) / means.requestMs,
  );
  const steadyMs = (means.prefillMs * utilization) / (1 - utilization);
  return freshness * reportedMs + (1 - freshness) * steadyMs;
}

/** Wait for a free place in the batch. */
export function expectedSlotWaitMs(record: EngineRecord, means: ModelMeans): number {
  const occupancy = record.estimatedRunning + record.unreportedRequests;
  const waiting = occupancy - record.maxRunning + 1;
  return waiting <= 0 ? 0 : (waiting * means.requestMs) / record.maxRunning;
}

/** Engines serve urgent requests first, so they wait behind a smaller part of the queue. */
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

/** A decode engine processes prompts, but slowly. */
export function prefillFactor(role: EngineRole): number {
  return role === 'decode' ? 4 : 1;
}

/** A prefill engine generates, but slowly. */
export function decodeFactor(role: EngineRole): number {
  return role === 'prefill' ? 4 : 1;
}
