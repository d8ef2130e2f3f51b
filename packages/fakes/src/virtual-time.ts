import type { Clock } from '@mimosamill/adapters';

/** A process of a simulated fleet: what reaches it waits while it is paused. */
export interface VirtualProcess {
  readonly clock: Clock;
  /** Runs a function in the process; dropped if the process is dead. */
  readonly deliver: (fn: () => void) => void;
  /** Resolves in the process; never, if the process is dead by then. */
  readonly receiveResult: <T>(promise: Promise<T>) => Promise<T>;
  readonly pause: (forMs: number) => void;
  readonly kill: () => void;
  readonly isPaused: () => boolean;
  readonly isAlive: () => boolean;
  /** Total time the process was paused up to now. */
  readonly pausedMs: () => number;
}

/** Simulated time: events run in the order of their times, on one thread. */
export interface VirtualTime {
  readonly clock: Clock;
  readonly createProcess: () => VirtualProcess;
  /** Runs events until the time, or until there are none. */
  readonly run: (untilMs: number) => Promise<void>;
  /** The same for a simulation without promises, several times faster. */
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

  /** Runs the next event; false if there is none until the time. */
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

function createProcess(outer: Clock): VirtualProcess {
  const waiting: (() => void)[] = [];
  let isAlive = true;
  let pausedAtMs = 0;
  let resumesAtMs = 0;
  let earlierPausesMs = 0;

  function isPaused(): boolean {
    return outer.monotonicMs() < resumesAtMs;
  }

  function deliver(fn: () => void): void {
    if (!isAlive) return;
    if (isPaused() || waiting.length > 0) waiting.push(fn);
    else fn();
  }

  function resume(): void {
    if (!isAlive || isPaused()) return;
    waiting.splice(0).forEach((fn) => fn());
  }

  function pause(forMs: number): void {
    const nowMs = outer.monotonicMs();
    if (!isPaused()) {
      earlierPausesMs += resumesAtMs - pausedAtMs;
      pausedAtMs = nowMs;
      resumesAtMs = nowMs;
    }
    resumesAtMs += forMs;
    outer.runAfter(resumesAtMs - outer.monotonicMs(), resume);
  }

  return {
    clock: {
      nowMs: outer.nowMs,
      monotonicMs: outer.monotonicMs,
      runAfter: (delayMs, fn) => {
        let isCancelled = false;
        const cancel = outer.runAfter(delayMs, () =>
          deliver(() => {
            if (!isCancelled) fn();
          }),
        );
        return () => {
          isCancelled = true;
          cancel();
        };
      },
      runEvery: (periodMs, fn) => outer.runEvery(periodMs, () => deliver(fn)),
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
      waiting.length = 0;
    },
    isPaused,
    isAlive: () => isAlive,
    pausedMs: () => earlierPausesMs + Math.min(outer.monotonicMs(), resumesAtMs) - pausedAtMs,
  };
}

/** Lets every promise that can settle without time passing do so. */
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

/** A binary heap by time, then by order of scheduling. */
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
