/** Time source of the code that does I/O; the core package gets times as plain numbers. */
export interface Clock {
  /** Wall-clock time, for records that other processes read. */
  readonly nowMs: () => number;
  /** Time that is never set or adjusted, for timeouts and leases. */
  readonly monotonicMs: () => number;
  /**
   * Calls `fn` once after a delay, of 24 days at most. Returns a function that cancels the call.
   */
  readonly runAfter: (delayMs: number, fn: () => void) => () => void;
  /** Calls `fn` periodically. Returns a function that ends the calls. */
  readonly runEvery: (periodMs: number, fn: () => void) => () => void;
}

/** Longest delay of a timer in Node.js; a longer one would end at once. */
const DELAY_MAX_MS = 2 ** 31 - 1;

/** Creates a clock on the system's time. Its pending timers keep the process running. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    runAfter: (delayMs, fn) => {
      const timer = setTimeout(fn, Math.min(delayMs, DELAY_MAX_MS));
      return () => clearTimeout(timer);
    },
    runEvery: (periodMs, fn) => {
      const timer = setInterval(fn, periodMs);
      return () => clearInterval(timer);
    },
  };
}
