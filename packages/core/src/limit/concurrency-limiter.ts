/** Bounds how many requests run at once, by the delay that they meet. */
export interface ConcurrencyLimiter {
  readonly hasRoom: () => boolean;
  readonly onStart: () => void;
  readonly onEnd: () => void;
  /** Time to first token of a request, over what it would be without waiting at the backend. */
  readonly onDelay: (delayMs: number, nowMs: number) => void;
  /** The backend refused for lack of room. */
  readonly onRefused: (nowMs: number) => void;
  /** A part of the backend was lost at once. */
  readonly scaleLimit: (ratio: number, nowMs: number) => void;
  readonly running: () => number;
  readonly limit: () => number;
}

export interface ConcurrencySettings {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Delay at the backend above which the window shrinks. */
  readonly targetDelayMs: number;
}

/**
 * Additive increase and multiplicative decrease, as congestion control does it. An engine's delay
 * rises at once when its batch is full, so a small step back is enough unless the delay is long.
 */
const DECREASE_RATIO = 0.97;
const LONG_DECREASE_RATIO = 0.9;
const LONG_DELAY_RATIO = 10;
/** Growth per undelayed request. It starts small after a decrease and doubles while all goes well. */
const MIN_INCREASE = 0.05;
const MAX_INCREASE = 1;
const INCREASE_DOUBLING_MS = 2_000;
/** One queue makes many requests late at the same time; it counts once per period. */
const DECREASE_PERIOD_MS = 1_000;
/** The window only changes by delay while it is used. */
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

  function step(nowMs: number): number {
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
      // A window that is not used up holds nothing back, so the delay has another cause.
      if (running < limit * MIN_USED_RATIO) return;
      if (delayMs > LONG_DELAY_RATIO * settings.targetDelayMs) decrease(LONG_DECREASE_RATIO, nowMs);
      else if (delayMs > settings.targetDelayMs) decrease(DECREASE_RATIO, nowMs);
      else limit = Math.min(settings.max, limit + step(nowMs));
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
