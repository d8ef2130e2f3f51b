/** Time for the shells; the core receives plain numbers. */
export interface Clock {
  /** Wall-clock time, for records that other processes read. */
  readonly nowMs: () => number;
  /** Time that never jumps, for timeouts and leases. */
  readonly monotonicMs: () => number;
  /** Calls back once after a delay; the result cancels it. */
  readonly after: (delayMs: number, fn: () => void) => () => void;
  /** Calls back repeatedly; the result cancels it. */
  readonly every: (periodMs: number, fn: () => void) => () => void;
}

/** The process's clock. Its timers keep the process alive. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    after: (delayMs, fn) => {
      const timer = setTimeout(fn, delayMs);
      return () => clearTimeout(timer);
    },
    every: (periodMs, fn) => {
      const timer = setInterval(fn, periodMs);
      return () => clearInterval(timer);
    },
  };
}
