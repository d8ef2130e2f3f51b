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

describe('requests that kill engines', () => {
  // Guards against a poison request that takes down the fleet, and against blaming its neighbours.
  // The bound is the design page's: 1 + log of the suspects to the base of the engines they part on.
  it('cost no more engines than it takes to part them, and fail no other stream', () => {
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

  // Guards against a caller that sends the culprit through several routers before it is known.
  it('cost one engine more for each further copy that runs when the first one dies', () => {
    fc.assert(
      fc.property(fc.nat(1_000_000), fc.integer({ min: 2, max: 4 }), (seed, copies) => {
        const figures = runPoisonSimulation(options({ seed, copies }));
        expect(figures.culpritsOverBound).toBe(0);
        expect(figures.innocentCondemned).toBe(0);
      }),
      { seed: 4, numRuns: 15 },
    );
  });

  // Guards against blaming the streams of a rack or a failure domain that is lost.
  it('are not seen in the loss of a failure domain', () => {
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

describe('session of a poison request', () => {
  // Guards against unnoticed changes of what happens, and in which order, around a culprit.
  it('goes as recorded', async () => {
    const lines: string[] = [];
    runPoisonSimulation(options({ seed: 7, engines: 9, onLine: (line) => lines.push(line) }));
    await expect(`${lines.join('\n')}\n`).toMatchFileSnapshot('golden/poison-session.txt');
  });
});
