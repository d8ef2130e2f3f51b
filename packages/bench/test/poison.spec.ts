import * as fc from 'fast-check';
import { beforeAll, describe, expect, it } from 'vitest';
import { loadHashFunctions } from '@mimosamill/adapters';
import { runPoisonSimulation } from '../src/poison/simulation';
import type { Hash32 } from '@mimosamill/core';
import type { PoisonOptions } from '../src/poison/simulation';

let hash: Hash32;

beforeAll(async () => {
  hash = (await loadHashFunctions()).hash32;
});

function options(changes: Partial<PoisonOptions>): PoisonOptions {
  return {
    seed: 1,
    routers: 8,
    engines: 13,
    durationMs: 36_000,
    culpritIntervalMs: 60_000,
    culpritsAtOnce: 1,
    copies: 1,
    reportDelayMs: 5,
    hasUnrelatedCrashes: false,
    hasDomainLoss: false,
    hasProtection: true,
    hash,
    ...changes,
  };
}

describe('requests that crash engines', () => {
  // Guards against a poison request that crashes one engine after another, and against condemning
  // streams that ran beside it. The bound is the design page's: 1 + log(suspects) to the base of the
  // number of engines over which the suspects are spread.
  it('crash no more engines than it takes to isolate them, and fail no other stream', () => {
    fc.assert(
      fc.property(
        fc.nat(1_000_000),
        fc.integer({ min: 1, max: 8 }),
        fc.integer({ min: 9, max: 24 }),
        (seed, routers, engines) => {
          const figures = runPoisonSimulation(options({ seed, routers, engines }));
          expect(figures.culpritsOverBound).toBe(0);
          expect(figures.culpritsCondemned).toBe(1);
          expect(figures.innocentFailed).toBe(0);
        },
      ),
      { seed: 3, numRuns: 25 },
    );
  });

  // Guards against unbounded losses when a caller sends the culprit through several routers at once.
  it('crash at most one more engine for each further copy that runs at the first crash', () => {
    fc.assert(
      fc.property(fc.nat(1_000_000), fc.integer({ min: 2, max: 4 }), (seed, copies) => {
        const figures = runPoisonSimulation(options({ seed, copies }));
        expect(figures.culpritsOverBound).toBe(0);
        expect(figures.innocentCondemned).toBe(0);
      }),
      { seed: 4, numRuns: 15 },
    );
  });

  // Guards against condemning the streams that ran in a rack or failure domain that is lost.
  it('are not inferred from the loss of a failure domain', () => {
    fc.assert(
      fc.property(fc.nat(1_000_000), (seed) => {
        const figures = runPoisonSimulation(
          options({ seed, hasDomainLoss: true, culpritsAtOnce: 0 }),
        );
        expect(figures.enginesLost).toBeGreaterThan(2);
        expect(figures.innocentFailed).toBe(0);
      }),
      { seed: 5, numRuns: 15 },
    );
  });
});

describe('event sequence around a poison request', () => {
  // Guards against unnoticed changes of the events around a culprit and of their order.
  it('matches the recorded sequence', async () => {
    const lines: string[] = [];
    runPoisonSimulation(options({ seed: 7, engines: 9, onLine: (line) => lines.push(line) }));
    await expect(`${lines.join('\n')}\n`).toMatchFileSnapshot('golden/poison-session.txt');
  });
});
