import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createLease, decideOrder } from '../../src/index';
import type { Lease, LeaseAction, LeaseRow } from '../../src/index';

const TERM_MS = 10_000;

type Step =
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'next'; readonly who: number }
  /** An operation that is answered at once. */
  | { readonly kind: 'trip'; readonly who: number }
  /** Lets a process's operation reach the table, at once or long after it was sent. */
  | { readonly kind: 'arrive'; readonly who: number }
  | { readonly kind: 'answer'; readonly who: number; readonly isLost: boolean };

interface Process {
  readonly lease: Lease;
  readonly skewMs: number;
  sent: LeaseAction | undefined;
  /** What the table answered. */
  answer:
    | { readonly row: LeaseRow | undefined; readonly version: number; readonly isOk: boolean }
    | undefined;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('trip' as const), who: fc.nat(2) }) },
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 4_000 }) }),
  fc.record({ kind: fc.constant('next' as const), who: fc.nat(2) }),
  fc.record({ kind: fc.constant('arrive' as const), who: fc.nat(2) }),
  fc.record({
    kind: fc.constant('answer' as const),
    who: fc.nat(2),
    isLost: fc.boolean(),
  }),
);

/** Runs processes with unrelated clocks against one row. */
function run(steps: readonly Step[], check: (holders: Process[]) => void): void {
  const processes: Process[] = [0, 1, 2].map((i) => ({
    lease: createLease({ holder: `p-${i}`, termMs: TERM_MS, maxClockDriftRatio: 0.05 }),
    skewMs: i * 123_456,
    sent: undefined,
    answer: undefined,
  }));
  let nowMs = 0;
  let row: LeaseRow | undefined;
  let version = 0;

  function arrive(process: Process): void {
    const { sent } = process;
    if (sent === undefined || process.answer !== undefined) return;
    let isOk = true;
    if (sent.kind === 'write') {
      isOk = sent.ifVersion === undefined ? row === undefined : version === sent.ifVersion;
      if (isOk) {
        ({ row } = sent);
        version += 1;
      }
    }
    process.answer = { row, version, isOk };
  }

  function answer(process: Process, isLost: boolean): void {
    const { sent } = process;
    if (sent === undefined) return;
    const atMs = nowMs + process.skewMs;
    if (sent.kind === 'read') {
      if (isLost || process.answer === undefined) process.lease.onReadFailed(atMs);
      else process.lease.onRead(process.answer.row, process.answer.version, atMs);
    } else if (isLost || process.answer === undefined) process.lease.onWritten('unknown', atMs);
    else process.lease.onWritten(process.answer.isOk ? 'ok' : 'conflict', atMs);
    process.sent = undefined;
    process.answer = undefined;
  }

  steps.forEach((step) => {
    if (step.kind === 'wait') nowMs += step.ms;
    else {
      const process = processes[step.who];
      if (process === undefined) return;
      if (step.kind === 'next') process.sent ??= process.lease.next(nowMs + process.skewMs);
      else if (step.kind === 'arrive') arrive(process);
      else if (step.kind === 'trip') {
        process.sent ??= process.lease.next(nowMs + process.skewMs);
        arrive(process);
        answer(process, false);
      } else answer(process, step.isLost);
    }
    check(processes.filter((each) => each.lease.remainingMs(nowMs + each.skewMs) > 0));
  });
}

describe('lease', () => {
  it('is never held by two processes at once', () => {
    // Guards against terms that count from an answer, and against answers that are lost or late.
    let held = 0;
    fc.assert(
      fc.property(fc.array(stepArbitrary, { minLength: 50, maxLength: 300 }), (steps) => {
        run(steps, (holders) => {
          held += holders.length;
          expect(holders.length).toBeLessThanOrEqual(1);
        });
      }),
      { numRuns: 300 },
    );
    expect(held).toBeGreaterThan(0);
  });

  it('gives every holding a higher fencing number', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { minLength: 50, maxLength: 300 }), (steps) => {
        let highest = 0;
        run(steps, (holders) => {
          holders.forEach(({ lease }) => {
            expect(lease.fencingNumber()).toBeGreaterThanOrEqual(highest);
            highest = lease.fencingNumber();
          });
        });
      }),
      { numRuns: 300 },
    );
  });
});

describe('decision to send an order', () => {
  const engine = {
    wanted: 'v2',
    actual: 'v1',
    highestFencingNumber: 3,
    fencing: 'ignored',
  } as const;
  const holder = {
    fencingNumber: 4,
    remainingMs: 8_000,
    heldForMs: 6_000,
    wasHandedOver: false,
  };
  const limits = { orderTimeoutMs: 2_000, lingerMs: 3_000 };

  it('waits out orders in flight after a takeover where engines ignore fencing numbers', () => {
    const early = { ...holder, heldForMs: 4_999 };
    const decide = (who: typeof holder, fencing: 'ignored' | 'enforced') =>
      decideOrder({ ...engine, fencing }, who, limits);
    expect(decide(early, 'ignored')).toEqual({ kind: 'wait', reason: 'takeover' });
    expect(decide({ ...early, wasHandedOver: true }, 'ignored').kind).toBe('send');
    expect(decide(early, 'enforced')).toEqual({ kind: 'send', fencingNumber: 4 });
    expect(decide(holder, 'ignored')).toEqual({ kind: 'send', fencingNumber: 4 });
  });

  it('sends nothing that may still be in flight when the lease ends', () => {
    const decision = decideOrder(engine, { ...holder, remainingMs: 2_000 }, limits);
    expect(decision).toEqual({ kind: 'wait', reason: 'lease_short' });
  });

  it('shows its number to an engine that checks numbers, even if the state is right', () => {
    const right = { ...engine, actual: 'v2' };
    expect(decideOrder({ ...right, fencing: 'enforced' }, holder, limits).kind).toBe('send');
    expect(decideOrder(right, holder, limits)).toEqual({ kind: 'none' });
  });
});
