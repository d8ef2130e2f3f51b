/** Events on a virtual clock, run in order of time and, at equal times, of arrival. */
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

/** Creates an empty timeline at 0, a binary heap of callbacks. */
export function createTimeline(): Timeline {
  const heap: Entry[] = [];
  let nowMs = 0;
  let order = 0;

  function push(entry: Entry): void {
    let at = heap.length;
    heap.push(entry);
    while (at > 0) {
      const parentAt = Math.floor((at - 1) / 2);
      const parent = heap[parentAt];
      if (parent === undefined || isBefore(parent, entry)) break;
      heap[at] = parent;
      at = parentAt;
    }
    heap[at] = entry;
  }

  function pop(): Entry | undefined {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    let at = 0;
    for (;;) {
      const childAt = smallerChild(at);
      const child = heap[childAt];
      if (child === undefined || isBefore(last, child)) break;
      heap[at] = child;
      at = childAt;
    }
    heap[at] = last;
    return first;
  }

  function smallerChild(at: number): number {
    const left = heap[2 * at + 1];
    const right = heap[2 * at + 2];
    return left !== undefined && right !== undefined && isBefore(right, left)
      ? 2 * at + 2
      : 2 * at + 1;
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
