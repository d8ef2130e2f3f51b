import { defineConfig } from 'vitest/config';

/** Tests that load a whole router process: one at a time, apart from all other tests. */
export default defineConfig({
  test: {
    include: ['platform/test/**/*.hostile.spec.ts'],
    pool: 'forks',
    maxWorkers: 1,
    fileParallelism: false,
    testTimeout: 180_000,
    hookTimeout: 60_000,
    allowOnly: false,
    passWithNoTests: false,
  },
});
