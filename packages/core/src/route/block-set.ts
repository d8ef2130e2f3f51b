/**
 * A set of block keys in two fixed arrays; when it is full, an added key replaces the oldest one. Keys
 * have 31 bits because V8 stores larger integers in a slower form.
 */
export interface BlockSet {
  readonly has: (key: number) => boolean;
  readonly add: (key: number) => void;
  readonly remove: (key: number) => void;
  readonly clear: () => void;
  readonly size: () => number;
  readonly sizeBytes: () => number;
}

/** Linear probing needs free slots: without them, each lookup visits many others. */
const SLOTS_PER_KEY = 1.5;

/** Creates a set of at most `capacity` keys. A key is an integer from 1 to 2^31 - 1. */
export function createBlockSet(capacity: number): BlockSet {
  const slotCount = Math.ceil(capacity * SLOTS_PER_KEY) + 1;
  const slots = new Int32Array(slotCount);
  // Keys in order of insertion. A removed key keeps its place until it is overwritten.
  const insertionOrder = new Int32Array(capacity);
  let nextInsertionAt = 0;
  let size = 0;

  function slotOf(key: number): number {
    let at = key % slotCount;
    for (;;) {
      const slotKey = slots[at];
      if (slotKey === key || slotKey === 0) return at;
      at = at + 1 === slotCount ? 0 : at + 1;
    }
  }

  /** Closes the hole by moving later keys of the probe sequence back; a lookup stops at a free slot. */
  function removeAt(start: number): void {
    let hole = start;
    let at = start;
    for (;;) {
      at = at + 1 === slotCount ? 0 : at + 1;
      const key = slots[at] ?? 0;
      if (key === 0) break;
      const home = key % slotCount;
      const isReachable = hole <= at ? home > hole && home <= at : home > hole || home <= at;
      if (!isReachable) {
        slots[hole] = key;
        hole = at;
      }
    }
    slots[hole] = 0;
    size -= 1;
  }

  function remove(key: number): void {
    const at = slotOf(key);
    if (slots[at] === key) removeAt(at);
  }

  return {
    has: (key) => slots[slotOf(key)] === key,
    add: (key) => {
      if (slots[slotOf(key)] === key) return;
      const oldest = insertionOrder[nextInsertionAt] ?? 0;
      if (oldest !== 0) remove(oldest);
      insertionOrder[nextInsertionAt] = key;
      nextInsertionAt = nextInsertionAt + 1 === capacity ? 0 : nextInsertionAt + 1;
      slots[slotOf(key)] = key;
      size += 1;
    },
    remove,
    clear: () => {
      slots.fill(0);
      insertionOrder.fill(0);
      nextInsertionAt = 0;
      size = 0;
    },
    size: () => size,
    sizeBytes: () => slots.byteLength + insertionOrder.byteLength,
  };
}
