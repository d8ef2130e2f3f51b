import { STEP_SHARES } from '@mimosamill/core';
import { createBadRequestCounter } from './result';
import { createTimeline } from './timeline';
import { createTraffic } from './traffic';
import type { MoveResult } from './result';
import type { Scenario } from './scenario';

/** Share of the new version by time, for moves that watch thresholds. */
export type ShareSchedule = (timeRatio: number) => number;

/** Equal times at 1, 5, 20 and 50%, and the whole traffic after four fifths of the time. */
export const FIXED_RAMP: ShareSchedule = (timeRatio) =>
  STEP_SHARES[Math.min(STEP_SHARES.length - 1, Math.floor(timeRatio * STEP_SHARES.length))] ?? 1;

export const ALL_AT_ONCE: ShareSchedule = () => 1;

const SECOND_MS = 1_000;
const CHECK_INTERVAL_MS = 5_000;
const SAMPLE_WINDOW_MS = 60_000;
const MIN_SAMPLES = 20;
/** Thresholds of common rollout tools: 5% errors, or half as slow again as before the move. */
const MAX_FAILURE_RATIO = 0.05;
const MAX_SLOW_FACTOR = 1.5;
const REFERENCE_SAMPLES = 200;

interface Sample {
  readonly atMs: number;
  readonly hasFailed: boolean;
  readonly firstTokenMs: number;
}

/** Runs a move that is taken back when a threshold is crossed. */
export function simulateThresholdMove(scenario: Scenario, shareAt: ShareSchedule): MoveResult {
  const timeline = createTimeline(() => undefined);
  const traffic = createTraffic(scenario);
  const harm = createBadRequestCounter();
  const { durationMs, busyRatio, fault } = scenario;
  const referenceMs = median(
    Array.from({ length: REFERENCE_SAMPLES }, () => {
      return traffic.simulateAttempt('old', busyRatio, 0).firstTokenMs;
    }),
  );
  let window: Sample[] = [];
  let reason = '';

  function onRequest(atMs: number): void {
    harm.onRequest();
    if (reason !== '' || traffic.random() >= shareAt(atMs / durationMs)) return;
    const attempt = traffic.simulateAttempt('new', busyRatio, atMs);
    const isBadNow = fault !== undefined && atMs >= fault.onsetTimeRatio * durationMs;
    harm.onNewVersion(atMs, isBadNow, attempt.isAffected);
    const doneMs = atMs + attempt.firstTokenMs;
    const sample = { atMs: doneMs, ...attempt };
    timeline.schedule(doneMs, () => window.push(sample));
  }

  function findReason(nowMs: number): string {
    window = window.filter((sample) => sample.atMs > nowMs - SAMPLE_WINDOW_MS);
    if (window.length < MIN_SAMPLES) return '';
    const failures = window.filter((sample) => sample.hasFailed).length;
    if (failures / window.length > MAX_FAILURE_RATIO) return 'failures';
    const isSlow = median(window.map((each) => each.firstTokenMs)) > referenceMs * MAX_SLOW_FACTOR;
    return isSlow ? 'slow' : '';
  }

  let endMs = durationMs;
  for (let nowMs = 0; nowMs < durationMs; nowMs += SECOND_MS) {
    traffic.drawArrivals(nowMs).forEach((atMs) => timeline.schedule(atMs, () => onRequest(atMs)));
    timeline.runUntil(nowMs + SECOND_MS);
    crash(nowMs + SECOND_MS);
    if (nowMs % CHECK_INTERVAL_MS === 0) reason = findReason(nowMs + SECOND_MS);
    if (reason !== '') {
      endMs = nowMs + SECOND_MS;
      break;
    }
  }

  /** An engine that dies takes the requests of the last seconds that it held with it. */
  function crash(nowMs: number): void {
    const share = shareAt(nowMs / durationMs);
    const engineCount = Math.max(1, Math.ceil(share * scenario.engineCount));
    const isFault = fault?.kind === 'crashes_engines';
    if (!isFault && scenario.noise !== 'engine_crash') return;
    if (!traffic.drawEngineDeath('new', engineCount, nowMs)) return;
    window = window.map((sample) => {
      const isHit = sample.atMs > nowMs - 2 * SECOND_MS && traffic.random() < 1 / engineCount;
      return isHit ? { ...sample, hasFailed: true } : sample;
    });
  }

  const isBack = reason !== '';
  return {
    finalState: isBack ? 'taken_back' : 'done',
    isOnTime: !isBack && endMs <= durationMs,
    badRequests: harm.badRequests(),
    requests: harm.requests(),
    takeBackMs: isBack ? harm.takeBackMs() : undefined,
    reportCount: 1,
    hasBothOutcomes: false,
    reason,
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
