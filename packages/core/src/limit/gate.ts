import { createFairQueue } from './queue';
import { createWindow } from './window';
import type { QueueSettings, RefuseReason, Waiting } from './queue';
import type { WindowSettings } from './window';

/** What the shell has to do. A refused request has not run. */
export type GateEffect<T> =
  | { readonly kind: 'start'; readonly item: T }
  | {
      readonly kind: 'refuse';
      readonly item: T;
      readonly reason: RefuseReason;
      readonly retryAfterMs: number;
    };

export interface GateSettings {
  readonly queue: QueueSettings;
  readonly window: WindowSettings;
}

/** Admission of one service's requests: a window of running ones, a fair queue before it. */
export interface Gate<T> {
  readonly offer: (waiting: Waiting<T>, nowMs: number) => GateEffect<T>[];
  /** A started request got its first token `delayMs` later than without a queue at the backend. */
  readonly onDelay: (delayMs: number, nowMs: number) => GateEffect<T>[];
  readonly onRefused: (nowMs: number) => void;
  readonly onEnd: (nowMs: number) => GateEffect<T>[];
  /** The caller of a waiting request went away. */
  readonly withdraw: (item: T) => boolean;
  /** Refuses what has become too late while nothing was started. */
  readonly tick: (nowMs: number) => GateEffect<T>[];
  /** A failure domain was lost; `remainingRatio` of the backend is left. */
  readonly onCapacityLost: (remainingRatio: number, nowMs: number) => void;
  readonly waiting: () => number;
  readonly running: () => number;
  readonly limit: () => number;
}

const LATE_RETRY_MS = 1_000;

export function createGate<T>(settings: GateSettings): Gate<T> {
  const queue = createFairQueue<T>(settings.queue);
  const window = createWindow(settings.window);

  function refuse(waiting: Waiting<T>, reason: RefuseReason, retryAfterMs: number): GateEffect<T> {
    return { kind: 'refuse', item: waiting.item, reason, retryAfterMs };
  }

  function startWaiting(nowMs: number): GateEffect<T>[] {
    const effects: GateEffect<T>[] = [];
    while (window.hasRoom() && queue.size() > 0) {
      const { next, late } = queue.dequeue(nowMs);
      effects.push(...late.map((waiting) => refuse(waiting, 'deadline', LATE_RETRY_MS)));
      if (next === undefined) break;
      window.onStart();
      effects.push({ kind: 'start', item: next.item });
    }
    return effects;
  }

  return {
    offer: (waiting, nowMs) => {
      const outcome = queue.enqueue(waiting, nowMs);
      if (outcome.kind === 'refused') {
        return [refuse(waiting, outcome.reason, outcome.retryAfterMs)];
      }
      const displaced = outcome.displaced.map((other) =>
        refuse(other, 'queue_full', LATE_RETRY_MS),
      );
      return [...displaced, ...startWaiting(nowMs)];
    },
    onDelay: (delayMs, nowMs) => {
      window.onDelay(delayMs, nowMs);
      return startWaiting(nowMs);
    },
    onRefused: window.onRefused,
    onEnd: (nowMs) => {
      window.onEnd();
      return startWaiting(nowMs);
    },
    withdraw: queue.remove,
    tick: (nowMs) => queue.takeLate(nowMs).map((late) => refuse(late, 'deadline', LATE_RETRY_MS)),
    onCapacityLost: (remainingRatio, nowMs) => {
      window.scale(remainingRatio, nowMs);
      queue.onCapacityLost(nowMs);
    },
    waiting: queue.size,
    running: window.running,
    limit: window.limit,
  };
}
