import { configDefaults, defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/test/**/*.spec.ts', 'platform/test/**/*.spec.ts'],
    // These run on their own, with vitest.hostile.config.ts.
    exclude: [...configDefaults.exclude, '**/*.hostile.spec.ts'],
    pool: 'forks',
    maxWorkers: 4,
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // A focused or empty test file must fail the run.
    allowOnly: false,
    passWithNoTests: false,
  },
});
