import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { faultPairs } from '../src/calls/faults';
import { checkCalls } from '../src/calls/check';
import { createCallSimulation } from '../src/calls/simulation';

const BOOKINGS = 30;

describe('bookings under faults', () => {
  // Guards against double runs, false refusals, wrong answers and callers without an answer when
  // routers, servers, tables and connections fail in pairs while callers resend.
  it('run at most once and are reported truthfully under any pair of faults', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(1_000_000),
        fc.constantFrom(...faultPairs()),
        async (seed, faults) => {
          const world = createCallSimulation({
            seed,
            faults,
            bookings: BOOKINGS,
            isClaiming: true,
          });
          await world.run();
          expect(checkCalls(world, BOOKINGS)).toMatchObject({
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

  // Guards against a booking protocol that writes more to the shared tables than it may.
  it('write two rows each without faults', async () => {
    const world = createCallSimulation({
      seed: 1,
      faults: [],
      bookings: BOOKINGS,
      isClaiming: true,
    });
    await world.run();
    expect(world.tableWrites()).toBeLessThanOrEqual(2 * BOOKINGS);
  });
});
