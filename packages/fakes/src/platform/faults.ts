/** How the platform's table service or object store misbehaves at the moment. */
export interface StoreFaults {
  /** Every operation fails before it takes effect. */
  readonly isDown: boolean;
  readonly delayMs: number;
  /** Part of the writes whose answer is lost after they took effect. */
  readonly lostAnswerRatio: number;
}

export const NO_FAULTS: StoreFaults = { isDown: false, delayMs: 0, lostAnswerRatio: 0 };
