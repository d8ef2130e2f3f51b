import type { Clock } from '@mimosamill/adapters';

/** A process of a simulated fleet. While it is paused, its timers and deliveries are held back. */
export interface VirtualProcess {
  readonly clock: Clock;
  /** Runs a function in the process, after a pause if there is one; never if the process is dead. */
  readonly deliver: (fn: () => void) => void;
  /** Passes on the outcome of a promise through `deliver`. */
  readonly receiveResult: <T>(promise: Promise<T>) => Promise<T>;
  readonly pause: (durationMs: number) => void;
  readonly kill: () => void;
  readonly isPaused: () => boolean;
  readonly isAlive: () => boolean;
  /** Total time for which the process has been paused. */
  readonly pausedMs: () => number;
}

/** Simulated time: scheduled events run one after another, in the order of their times. */
export interface VirtualTime {
  readonly clock: Clock;
  readonly createProcess: () => VirtualProcess;
  /** Runs events up to this time; with `Infinity`, until none is left. Settles promises in between. */
  readonly run: (untilMs: number) => Promise<void>;
  /** Like `run` for a simulation without promises, and several times faster. */
  readonly runSync: (untilMs: number) => void;
}

interface TimedEvent {
  readonly atMs: number;
  readonly scheduleSeq: number;
  readonly fn: () => void;
  isCancelled: boolean;
}

/** Wall-clock time at which every simulation starts. */
const START_TIME_MS = 1_796_342_400_000;

export function createVirtualTime(): VirtualTime {
  const queue = createEventQueue();
  let nowMs = 0;
  let scheduleSeq = 0;

  function schedule(atMs: number, fn: () => void): () => void {
    scheduleSeq += 1;
    const event: TimedEvent = { atMs, scheduleSeq, fn, isCancelled: false };
    queue.push(event);
    return () => {
      event.isCancelled = true;
    };
  }

  function repeat(periodMs: number, fn: () => void): () => void {
    let cancel = (): void => undefined;
    const next = (): void => {
      cancel = schedule(nowMs + periodMs, () => {
        next();
        fn();
      });
    };
    next();
    return () => cancel();
  }

  const clock: Clock = {
    nowMs: () => START_TIME_MS + nowMs,
    monotonicMs: () => nowMs,
    runAfter: (delayMs, fn) => schedule(nowMs + Math.max(0, delayMs), fn),
    runEvery: repeat,
  };

  /** Runs the next event; returns false if none is due by this time. */
  function runNext(untilMs: number): boolean {
    const event = queue.peek();
    if (event === undefined || event.atMs > untilMs) return false;
    queue.pop();
    if (!event.isCancelled) {
      nowMs = Math.max(nowMs, event.atMs);
      event.fn();
    }
    return true;
  }

  function runSync(untilMs: number): void {
    while (runNext(untilMs));
    if (untilMs !== Infinity) nowMs = Math.max(nowMs, untilMs);
  }

  async function run(untilMs: number): Promise<void> {
    await settlePromises();
    while (runNext(untilMs)) await settlePromises();
    if (untilMs !== Infinity) nowMs = Math.max(nowMs, untilMs);
  }

  return { clock, createProcess: () => createProcess(clock), run, runSync };
}

function createProcess(sharedClock: Clock): VirtualProcess {
  const heldDeliveries: (() => void)[] = [];
  let isAlive = true;
  let pausedAtMs = 0;
  let resumesAtMs = 0;
  let endedPausesMs = 0;

  function isPaused(): boolean {
    return sharedClock.monotonicMs() < resumesAtMs;
  }

  function deliver(fn: () => void): void {
    if (!isAlive) return;
    if (isPaused() || heldDeliveries.length > 0) heldDeliveries.push(fn);
    else fn();
  }

  function resume(): void {
    if (!isAlive || isPaused()) return;
    heldDeliveries.splice(0).forEach((fn) => fn());
  }

  function pause(durationMs: number): void {
    const nowMs = sharedClock.monotonicMs();
    if (!isPaused()) {
      endedPausesMs += resumesAtMs - pausedAtMs;
      pausedAtMs = nowMs;
      resumesAtMs = nowMs;
    }
    resumesAtMs += durationMs;
    sharedClock.runAfter(resumesAtMs - sharedClock.monotonicMs(), resume);
  }

  return {
    clock: {
      nowMs: sharedClock.nowMs,
      monotonicMs: sharedClock.monotonicMs,
      runAfter: (delayMs, fn) => {
        let isCancelled = false;
        const cancel = sharedClock.runAfter(delayMs, () =>
          deliver(() => {
            if (!isCancelled) fn();
          }),
        );
        return () => {
          isCancelled = true;
          cancel();
        };
      },
      runEvery: (periodMs, fn) => sharedClock.runEvery(periodMs, () => deliver(fn)),
    },
    deliver,
    receiveResult: (promise) =>
      new Promise((resolve, reject) => {
        promise.then(
          (value) => deliver(() => resolve(value)),
          (cause: Error) => deliver(() => reject(cause)),
        );
      }),
    pause,
    kill: () => {
      isAlive = false;
      heldDeliveries.length = 0;
    },
    isPaused,
    isAlive: () => isAlive,
    pausedMs: () => endedPausesMs + Math.min(sharedClock.monotonicMs(), resumesAtMs) - pausedAtMs,
  };
}

/** Lets all promises settle that do not wait for simulated time to pass. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

interface EventQueue {
  readonly push: (event: TimedEvent) => void;
  readonly peek: () => TimedEvent | undefined;
  readonly pop: () => void;
}

/** A binary heap, ordered by time; events of the same time run in the order of scheduling. */
function createEventQueue(): EventQueue {
  const heap: TimedEvent[] = [];

  function isBefore(a: number, b: number): boolean {
    const left = heap[a];
    const right = heap[b];
    if (left === undefined || right === undefined) return left !== undefined;
    return (
      left.atMs < right.atMs || (left.atMs === right.atMs && left.scheduleSeq < right.scheduleSeq)
    );
  }

  function swap(a: number, b: number): void {
    const left = heap[a];
    const right = heap[b];
    if (left === undefined || right === undefined) return;
    heap[a] = right;
    heap[b] = left;
  }

  function siftUp(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(index, parent)) return;
      swap(index, parent);
      index = parent;
    }
  }

  function siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let first = index;
      if (isBefore(left, first)) first = left;
      if (isBefore(right, first)) first = right;
      if (first === index) return;
      swap(index, first);
      index = first;
    }
  }

  return {
    push: (event) => {
      heap.push(event);
      siftUp(heap.length - 1);
    },
    peek: () => heap[0],
    pop: () => {
      swap(0, heap.length - 1);
      heap.pop();
      siftDown();
    },
  };
}
