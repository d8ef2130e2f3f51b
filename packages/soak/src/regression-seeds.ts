/** A seed that broke a promise once, and the cause. Every run starts with these seeds. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 704_435,
    cause:
      'a stopping router waited for a connection that never closed, so its process did not exit',
  },
];
