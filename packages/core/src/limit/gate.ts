import { createFairQueue } from './fair-queue';
import { createConcurrencyLimiter } from './concurrency-limiter';
import type { FairQueueSettings, RefusalReason, QueuedRequest } from './fair-queue';
import type { ConcurrencySettings } from './concurrency-limiter';

/** What the caller has to do with a request. A refused one has not run. */
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

/** Admits one service's requests: a concurrency limit on the running ones, a fair queue for the others. */
export interface AdmissionController<T> {
  readonly submit: (waiting: QueuedRequest<T>, nowMs: number) => AdmissionEffect<T>[];
  /** A started request got its first token, `delayMs` later than without waiting at the backend. */
  readonly onDelay: (delayMs: number, nowMs: number) => AdmissionEffect<T>[];
  readonly onBackendRefusal: (nowMs: number) => void;
  readonly onEnd: (nowMs: number) => AdmissionEffect<T>[];
  /** Removes a queued request, for example because its caller disconnected; false if it is not queued. */
  readonly cancelWaiting: (item: T) => boolean;
  /** Refuses the queued requests that can no longer meet their deadline; called periodically. */
  readonly tick: (nowMs: number) => AdmissionEffect<T>[];
  /** A part of the backend was lost, such as a failure domain; `remainingRatio` of it is left. */
  readonly onCapacityLost: (remainingRatio: number, nowMs: number) => void;
  readonly waiting: () => number;
  readonly running: () => number;
  readonly concurrencyLimit: () => number;
}

const REFUSED_RETRY_AFTER_MS = 1_000;

export function createAdmissionController<T>(settings: AdmissionSettings): AdmissionController<T> {
  const queue = createFairQueue<T>(settings.queue);
  const limiter = createConcurrencyLimiter(settings.concurrency);

  function refuse(
    waiting: QueuedRequest<T>,
    reason: RefusalReason,
    retryAfterMs: number,
  ): AdmissionEffect<T> {
    return { kind: 'refuse', item: waiting.item, reason, retryAfterMs };
  }

  function startQueued(nowMs: number): AdmissionEffect<T>[] {
    const effects: AdmissionEffect<T>[] = [];
    while (limiter.hasRoom() && queue.size() > 0) {
      const { next, late } = queue.dequeue(nowMs);
      effects.push(...late.map((waiting) => refuse(waiting, 'deadline', REFUSED_RETRY_AFTER_MS)));
      if (next === undefined) break;
      limiter.onStart();
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
      const displaced = outcome.displaced.map((displacedRequest) =>
        refuse(displacedRequest, 'queue_full', REFUSED_RETRY_AFTER_MS),
      );
      return [...displaced, ...startQueued(nowMs)];
    },
    onDelay: (delayMs, nowMs) => {
      limiter.onDelay(delayMs, nowMs);
      return startQueued(nowMs);
    },
    onBackendRefusal: limiter.onRefused,
    onEnd: (nowMs) => {
      limiter.onEnd();
      return startQueued(nowMs);
    },
    cancelWaiting: queue.remove,
    tick: (nowMs) =>
      queue.removeLate(nowMs).map((late) => refuse(late, 'deadline', REFUSED_RETRY_AFTER_MS)),
    onCapacityLost: (remainingRatio, nowMs) => {
      limiter.scaleLimit(remainingRatio, nowMs);
      queue.onCapacityLost(nowMs);
    },
    waiting: queue.size,
    running: limiter.running,
    concurrencyLimit: limiter.limit,
  };
}
