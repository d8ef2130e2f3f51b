/** Time for the shells; the core receives plain numbers. */
export interface Clock {
  /** Wall-clock time, for records that other processes read. */
  readonly nowMs: () => number;
  /** Time that never jumps, for timeouts and leases. */
  readonly monotonicMs: () => number;
  /** Calls back once after a delay; the result cancels it. */
  readonly runAfter: (delayMs: number, fn: () => void) => () => void;
  /** Calls back repeatedly; the result cancels it. */
  readonly runEvery: (periodMs: number, fn: () => void) => () => void;
}

/** The process's clock. Its timers keep the process alive. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    runAfter: (delayMs, fn) => {
      const timer = setTimeout(fn, delayMs);
      return () => clearTimeout(timer);
    },
    runEvery: (periodMs, fn) => {
      const timer = setInterval(fn, periodMs);
      return () => clearInterval(timer);
    },
  };
}
