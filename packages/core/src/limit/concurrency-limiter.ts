/** Adapts the number of requests that may run at once to the delay that they meet at the backend. */
export interface ConcurrencyLimiter {
  readonly hasRoom: () => boolean;
  readonly onStart: () => void;
  readonly onEnd: () => void;
  /** A request's time to first token was this much longer than without waiting at the backend. */
  readonly onDelay: (delayMs: number, nowMs: number) => void;
  /** The backend refused a request because it had no free capacity. */
  readonly onRefused: (nowMs: number) => void;
  /** Multiplies the limit by `ratio`, the part of the backend that is left after a loss. */
  readonly scaleLimit: (ratio: number, nowMs: number) => void;
  readonly running: () => number;
  readonly limit: () => number;
}

export interface ConcurrencySettings {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Delay at the backend above which the limit is lowered. */
  readonly targetDelayMs: number;
}

/**
 * Additive increase and multiplicative decrease, as in TCP congestion control. An engine's delay rises
 * at once when its batch is full, so a small decrease is enough unless the delay is long.
 */
const DECREASE_RATIO = 0.97;
const LONG_DECREASE_RATIO = 0.9;
const LONG_DELAY_RATIO = 10;
/** Increase per request without delay: small after a decrease, then doubling up to the maximum. */
const MIN_INCREASE = 0.05;
const MAX_INCREASE = 1;
const INCREASE_DOUBLING_MS = 2_000;
/** One queue at the backend delays many requests at once, so they lower the limit once per period. */
const DECREASE_PERIOD_MS = 1_000;
/** Part of the limit that has to be in use for a delay to change it. */
const MIN_USED_RATIO = 0.8;

export function createConcurrencyLimiter(settings: ConcurrencySettings): ConcurrencyLimiter {
  let limit = settings.initial;
  let running = 0;
  let decreasedAtMs = -Infinity;

  function decrease(ratio: number, nowMs: number): void {
    if (nowMs - decreasedAtMs < DECREASE_PERIOD_MS) return;
    decreasedAtMs = nowMs;
    limit = Math.max(settings.min, limit * ratio);
  }

  function increase(nowMs: number): number {
    const doublings = (nowMs - decreasedAtMs) / INCREASE_DOUBLING_MS;
    return Math.min(MAX_INCREASE, MIN_INCREASE * 2 ** doublings);
  }

  return {
    hasRoom: () => running + 1 <= limit,
    onStart: () => {
      running += 1;
    },
    onEnd: () => {
      running = Math.max(0, running - 1);
    },
    onDelay: (delayMs, nowMs) => {
      // The limit holds no request back while it is not reached, so the delay has another cause.
      if (running < limit * MIN_USED_RATIO) return;
      if (delayMs > LONG_DELAY_RATIO * settings.targetDelayMs) decrease(LONG_DECREASE_RATIO, nowMs);
      else if (delayMs > settings.targetDelayMs) decrease(DECREASE_RATIO, nowMs);
      else limit = Math.min(settings.max, limit + increase(nowMs));
    },
    onRefused: (nowMs) => decrease(LONG_DECREASE_RATIO, nowMs),
    scaleLimit: (ratio, nowMs) => {
      limit = Math.max(settings.min, limit * ratio);
      decreasedAtMs = nowMs;
    },
    running: () => running,
    limit: () => limit,
  };
}
