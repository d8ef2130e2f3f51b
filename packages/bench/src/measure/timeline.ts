/** Runs callbacks on a virtual clock in order of time and, at equal times, of scheduling. */
export interface Timeline {
  readonly nowMs: () => number;
  readonly schedule: (atMs: number, fn: () => void) => void;
  readonly runUntil: (endMs: number) => void;
}

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly fn: () => void;
}

/** Creates an empty timeline at time 0, stored as a binary heap. */
export function createTimeline(): Timeline {
  const heap: Entry[] = [];
  let nowMs = 0;
  let order = 0;

  function push(entry: Entry): void {
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = heap[parentIndex];
      if (parent === undefined || isBefore(parent, entry)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = entry;
  }

  function pop(): Entry | undefined {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      const childIndex = smallerChild(index);
      const child = heap[childIndex];
      if (child === undefined || isBefore(last, child)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
    return first;
  }

  function smallerChild(index: number): number {
    const left = heap[2 * index + 1];
    const right = heap[2 * index + 2];
    return left !== undefined && right !== undefined && isBefore(right, left)
      ? 2 * index + 2
      : 2 * index + 1;
  }

  return {
    nowMs: () => nowMs,
    schedule: (atMs, fn) => {
      order += 1;
      push({ atMs: Math.max(nowMs, atMs), order, fn });
    },
    runUntil: (endMs) => {
      for (;;) {
        const next = heap[0];
        if (next === undefined || next.atMs > endMs) break;
        pop();
        nowMs = next.atMs;
        next.fn();
      }
      nowMs = endMs;
    },
  };
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
