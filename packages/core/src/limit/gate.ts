import { createFairQueue } from './fair-queue';
import { createConcurrencyLimiter } from './concurrency-limiter';
import type { FairQueueSettings, RefusalReason, QueuedRequest } from './fair-queue';
import type { ConcurrencySettings } from './concurrency-limiter';

/** What the shell has to do. A refused request has not run. */
export type AdmissionEffect<T> =
  | { readonly kind: 'start'; readonly item: T }
  | {
      readonly kind: 'refuse';
      readonly item: T;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

export interface AdmissionSettings {
  readonly queue: FairQueueSettings;
  readonly concurrency: ConcurrencySettings;
}

/** Admission of one service's requests: a window of running ones, a fair queue before it. */
export interface AdmissionController<T> {
  readonly submit: (waiting: QueuedRequest<T>, nowMs: number) => AdmissionEffect<T>[];
  /** A started request got its first token `delayMs` later than without a queue at the backend. */
  readonly onDelay: (delayMs: number, nowMs: number) => AdmissionEffect<T>[];
  readonly onBackendRefusal: (nowMs: number) => void;
  readonly onEnd: (nowMs: number) => AdmissionEffect<T>[];
  /** The caller of a waiting request went away. */
  readonly cancelWaiting: (item: T) => boolean;
  /** Refuses what has become too late while nothing was started. */
  readonly tick: (nowMs: number) => AdmissionEffect<T>[];
  /** A failure domain was lost; `remainingRatio` of the backend is left. */
  readonly onCapacityLost: (remainingRatio: number, nowMs: number) => void;
  readonly waiting: () => number;
  readonly running: () => number;
  readonly concurrencyLimit: () => number;
}

const REFUSED_RETRY_AFTER_MS = 1_000;

export function createAdmissionController<T>(settings: AdmissionSettings): AdmissionController<T> {
  const queue = createFairQueue<T>(settings.queue);
  const window = createConcurrencyLimiter(settings.concurrency);

  function refuse(
    waiting: QueuedRequest<T>,
    reason: RefusalReason,
    retryAfterMs: number,
  ): AdmissionEffect<T> {
    return { kind: 'refuse', item: waiting.item, reason, retryAfterMs };
  }

  function startWaiting(nowMs: number): AdmissionEffect<T>[] {
    const effects: AdmissionEffect<T>[] = [];
    while (window.hasRoom() && queue.size() > 0) {
      const { next, late } = queue.dequeue(nowMs);
      effects.push(...late.map((waiting) => refuse(waiting, 'deadline', REFUSED_RETRY_AFTER_MS)));
      if (next === undefined) break;
      window.onStart();
      effects.push({ kind: 'start', item: next.item });
    }
    return effects;
  }

  return {
    submit: (waiting, nowMs) => {
      const outcome = queue.enqueue(waiting, nowMs);
      if (outcome.kind === 'refused') {
        return [refuse(waiting, outcome.reason, outcome.retryAfterMs)];
      }
      const displaced = outcome.displaced.map((other) =>
        refuse(other, 'queue_full', REFUSED_RETRY_AFTER_MS),
      );
      return [...displaced, ...startWaiting(nowMs)];
    },
    onDelay: (delayMs, nowMs) => {
      window.onDelay(delayMs, nowMs);
      return startWaiting(nowMs);
    },
    onBackendRefusal: window.onRefused,
    onEnd: (nowMs) => {
      window.onEnd();
      return startWaiting(nowMs);
    },
    cancelWaiting: queue.remove,
    tick: (nowMs) =>
      queue.removeLate(nowMs).map((late) => refuse(late, 'deadline', REFUSED_RETRY_AFTER_MS)),
    onCapacityLost: (remainingRatio, nowMs) => {
      window.scaleLimit(remainingRatio, nowMs);
      queue.onCapacityLost(nowMs);
    },
    waiting: queue.size,
    running: window.running,
    concurrencyLimit: window.limit,
  };
}
