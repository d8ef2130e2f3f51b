import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { faultPairs } from '../src/calls/faults';
import { checkCalls } from '../src/calls/check';
import { createCallSimulation } from '../src/calls/simulation';

const BOOKINGS = 30;

describe('bookings under faults', () => {
  // Guards against double runs, runs reported as "not run", wrong answers and missing answers when two
  // faults of routers, servers, tables or connections overlap while callers resend.
  it('run at most once and are reported correctly under any pair of faults', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(1_000_000),
        fc.constantFrom(...faultPairs()),
        async (seed, faults) => {
          const simulation = createCallSimulation({
            seed,
            faults,
            bookings: BOOKINGS,
            isClaiming: true,
          });
          await simulation.run();
          expect(checkCalls(simulation, BOOKINGS)).toMatchObject({
            doubleRuns: 0,
            falseNotRun: 0,
            wrongAnswers: 0,
            unanswered: 0,
            leftUnknownWithLookup: 0,
          });
        },
      ),
      { seed: 13, numRuns: 30 },
    );
  });

  // Guards against a call protocol that writes more than two rows per booking to the shared tables.
  it('write two rows each without faults', async () => {
    const simulation = createCallSimulation({
      seed: 1,
      faults: [],
      bookings: BOOKINGS,
      isClaiming: true,
    });
    await simulation.run();
    expect(simulation.tableWrites()).toBeLessThanOrEqual(2 * BOOKINGS);
  });
});
