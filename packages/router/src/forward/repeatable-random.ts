/** Random numbers from 0 to 1 that can be drawn once more. */
export interface RepeatableRandom {
  readonly next: () => number;
  /** The numbers drawn since the last reset come again, in the same order. */
  readonly rewind: () => void;
  /** Only new numbers come from now on. */
  readonly reset: () => void;
}

/** Lets a choice be tried first and then made with the same result. */
export function createRepeatableRandom(random: () => number): RepeatableRandom {
  let drawn: number[] = [];
  let at = 0;
  return {
    next: () => {
      const value = drawn[at] ?? random();
      drawn[at] = value;
      at += 1;
      return value;
    },
    rewind: () => {
      at = 0;
    },
    reset: () => {
      drawn = [];
      at = 0;
    },
  };
}
