/**
 * A set of 31-bit keys in two fixed arrays; when it is full, the oldest key is dropped. Keys stay below
 * 2^31 because the engine's small integers end there and larger numbers make the lookups slow.
 */
export interface BlockSet {
  readonly has: (key: number) => boolean;
  readonly add: (key: number) => void;
  readonly remove: (key: number) => void;
  readonly clear: () => void;
  readonly size: () => number;
  readonly sizeBytes: () => number;
}

/** Slots per key. Linear probing needs some free slots to stay short. */
const SLOTS_PER_KEY = 1.5;

/** Creates a set of at most `capacity` keys. A key is an integer from 1 to 2^31 - 1. */
export function createBlockSet(capacity: number): BlockSet {
  const slotCount = Math.ceil(capacity * SLOTS_PER_KEY) + 1;
  const slots = new Int32Array(slotCount);
  // Keys in order of arrival. A removed key keeps its place until it is overwritten.
  const ring = new Int32Array(capacity);
  let ringAt = 0;
  let size = 0;

  function slotOf(key: number): number {
    let at = key % slotCount;
    for (;;) {
      const held = slots[at];
      if (held === key || held === 0) return at;
      at = at + 1 === slotCount ? 0 : at + 1;
    }
  }

  /** Moves later keys of the same probe run back, so that no search stops too early. */
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
      const oldest = ring[ringAt] ?? 0;
      if (oldest !== 0) remove(oldest);
      ring[ringAt] = key;
      ringAt = ringAt + 1 === capacity ? 0 : ringAt + 1;
      slots[slotOf(key)] = key;
      size += 1;
    },
    remove,
    clear: () => {
      slots.fill(0);
      ring.fill(0);
      ringAt = 0;
      size = 0;
    },
    size: () => size,
    sizeBytes: () => slots.byteLength + ring.byteLength,
  };
}
