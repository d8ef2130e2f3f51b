import { assertNever } from '../outcome';
import type { EngineRecord } from './engine';
import type { EngineRole, RoutePriority } from './types';

/** Measured means of one model, over all engines. */
export interface ModelMeans {
  /** Time from send to end. */
  serviceMs: number;
  /** Time an engine spends on a prompt, after cache hits. */
  prefillMs: number;
  /** Observed time to first token over the expected one. */
  ttftRatio: number;
  gapMs: number;
}

/** Means before anything has been measured. */
export function createModelMeans(): ModelMeans {
  return { serviceMs: 8_000, prefillMs: 100, ttftRatio: 1, gapMs: 0 };
}

/** Weight of the newest value in the means. */
const SMOOTHING_RATIO = 0.05;
/** A queue of prompts is worked off within a few prompts' time, so its length is soon out of date. */
const QUEUE_MEMORY_PROMPTS = 3;
const MAX_UTILIZATION = 0.95;

export function learnMean(mean: number, value: number): number {
  return mean + SMOOTHING_RATIO * (value - mean);
}

/** Part of the even share that an engine keeps as its room, so that every one can be drawn. */
const MIN_ROOM_RATIO = 0.05;
const LEVEL_ROUNDS = 4;

/**
 * Estimates each engine's present load from its report. What was running decays with the time of
 * service; the requests that the whole fleet has sent since (by Little's law) are assumed to have
 * gone where the reports showed room. They raise the engines with low reports to one level, so a
 * low report is worth less the older it is, and an engine's room is what it took of them.
 */
export function fillToLevel(
  records: readonly EngineRecord[],
  means: ModelMeans,
  nowMs: number,
): void {
  let sum = 0;
  let arrivals = 0;
  let stepSum = 0;
  for (const record of records) {
    const ageMs = Math.max(0, nowMs - record.measuredAtMs);
    record.freshness = Math.exp(-ageMs / means.serviceMs);
    record.agedRunning = record.running * record.freshness + record.queued;
    arrivals += (record.running * ageMs) / means.serviceMs;
    sum += record.agedRunning;
    stepSum += record.stepMs;
  }
  const level = levelOf(records, sum, arrivals);
  const minRoom = Math.max(1e-6, (MIN_ROOM_RATIO * arrivals) / records.length);
  const meanStepMs = stepSum / records.length;
  for (const record of records) {
    record.room = Math.max(minRoom, level - record.agedRunning);
    record.agedRunning = Math.max(level, record.agedRunning);
    record.agedStepMs = meanStepMs + (record.stepMs - meanStepMs) * record.freshness;
  }
}

/** Level to which the arrivals raise the lowest engines. Starts too low and rises. */
function levelOf(records: readonly EngineRecord[], sum: number, arrivals: number): number {
  let level = (sum + arrivals) / records.length;
  for (let round = 0; round < LEVEL_ROUNDS; round += 1) {
    let lowSum = 0;
    let lowCount = 0;
    for (const record of records) {
      if (record.agedRunning >= level) continue;
      lowSum += record.agedRunning;
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
  const freshness = Math.exp(-ageMs / (QUEUE_MEMORY_PROMPTS * means.prefillMs + 1));
  const reportedMs = record.queued * means.prefillMs;
  const utilization = Math.min(
    MAX_UTILIZATION,
    (record.agedRunning * means.prefillMs) / means.serviceMs,
  );
  const steadyMs = (means.prefillMs * utilization) / (1 - utilization);
  return freshness * reportedMs + (1 - freshness) * steadyMs;
}

/** Wait for a free place in the batch. */
export function expectedSlotWaitMs(record: EngineRecord, means: ModelMeans): number {
  const occupancy = record.agedRunning + record.unreflectedRequests;
  const waiting = occupancy - record.maxRunning + 1;
  return waiting <= 0 ? 0 : (waiting * means.serviceMs) / record.maxRunning;
}

/** Engines serve urgent requests first, so they wait behind a smaller part of the queue. */
export function queueFactor(priority: RoutePriority): number {
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
export function paceFactor(role: EngineRole): number {
  return role === 'prefill' ? 4 : 1;
}
