/** Faults injected into the table store and the object store of the platform. */
export interface StoreFaults {
  /** Every operation fails without taking effect. */
  readonly isDown: boolean;
  /** Time that every operation waits before it runs. */
  readonly delayMs: number;
  /** Share of writes that take effect but whose answer is lost. */
  readonly lostAnswerRatio: number;
}

export const NO_FAULTS: StoreFaults = { isDown: false, delayMs: 0, lostAnswerRatio: 0 };
