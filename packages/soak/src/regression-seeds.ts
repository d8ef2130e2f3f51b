/** A seed that once broke a promise, and why; played first by every run. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 704_435,
    cause: 'a router that had stopped waited for a connection that did not close, and did not end',
  },
];
