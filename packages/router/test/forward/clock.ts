import type { Clock } from '@mimosamill/adapters';

export interface ManualClock extends Clock {
  readonly advance: (ms: number) => void;
  /** Time passes, as for a process that stands still; timers that became due run at the next advance. */
  readonly standStill: (ms: number) => void;
}

/** A clock that only a test advances; timers that become due run in order of their times. */
export function createManualClock(): ManualClock {
  let nowMs = 1_000;
  let timers: { readonly atMs: number; readonly fn: () => void }[] = [];

  function runAfter(delayMs: number, fn: () => void): () => void {
    const timer = { atMs: nowMs + delayMs, fn };
    timers.push(timer);
    return () => {
      timers = timers.filter((other) => other !== timer);
    };
  }

  return {
    nowMs: () => nowMs,
    monotonicMs: () => nowMs,
    runAfter,
    runEvery: (periodMs, fn) => {
      let cancel = (): void => undefined;
      const step = (): void => {
        fn();
        cancel = runAfter(periodMs, step);
      };
      cancel = runAfter(periodMs, step);
      return () => cancel();
    },
    standStill: (ms) => {
      nowMs += ms;
    },
    advance: (ms) => {
      const endMs = nowMs + ms;
      for (;;) {
        const next = timers.filter(({ atMs }) => atMs <= endMs).sort((a, b) => a.atMs - b.atMs)[0];
        if (next === undefined) break;
        timers = timers.filter((timer) => timer !== next);
        nowMs = Math.max(nowMs, next.atMs);
        next.fn();
      }
      nowMs = endMs;
    },
  };
}
