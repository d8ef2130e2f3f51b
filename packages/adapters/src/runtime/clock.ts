/** Time source of the code that does I/O; the core package gets times as plain numbers. */
export interface Clock {
  /** Wall-clock time, for records that other processes read. */
  readonly nowMs: () => number;
  /** Time that is never set or adjusted, for timeouts and leases. */
  readonly monotonicMs: () => number;
  /**
   * Calls `fn` once after a delay, never earlier by `monotonicMs`, and after the input that has arrived by
   * then: a process that stood still must not take a peer for silent. Returns a function that cancels the call.
   */
  readonly runAfter: (delayMs: number, fn: () => void) => () => void;
  /**
   * Calls `fn` periodically, likewise after the input that has arrived. Returns a function that ends the calls.
   */
  readonly runEvery: (periodMs: number, fn: () => void) => () => void;
}

/** Longest delay of a timer in Node.js; a longer one would end at once. */
const DELAY_MAX_MS = 2 ** 31 - 1;

/** Creates a clock on the system's time. Its pending timers keep the process running. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    runAfter: runAfterInput,
    runEvery: runEveryAfterInput,
  };
}

function runEveryAfterInput(periodMs: number, fn: () => void): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setInterval(() => {
    immediate = setImmediate(fn);
  }, periodMs);
  return () => {
    clearInterval(timer);
    clearImmediate(immediate);
  };
}

/** Runs `fn` after a delay and then after the input that is waiting, which Node.js reads after timers. */
export function runAfterInput(delayMs: number, fn: () => void): () => void {
  const dueAtMs = performance.now() + delayMs;
  let timer: NodeJS.Timeout | undefined;
  let immediate: NodeJS.Immediate | undefined;

  function wait(): void {
    const leftMs = dueAtMs - performance.now();
    timer = setTimeout(
      () => {
        immediate = setImmediate(onTimer);
      },
      Math.min(Math.ceil(leftMs), DELAY_MAX_MS),
    );
  }

  /** Node.js counts whole milliseconds from the start of the loop's turn, so a timer may be early. */
  function onTimer(): void {
    if (performance.now() < dueAtMs) wait();
    else fn();
  }

  wait();
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
