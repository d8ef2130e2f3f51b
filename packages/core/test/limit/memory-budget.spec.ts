import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  createMemoryBudget,
  hostLimits,
  progressDueAtMs,
  SMALL_CLAIM_BYTES,
} from '../../src/index';
import type { HeldKind } from '../../src/index';

const MIB = 1_048_576;
const KINDS: readonly HeldKind[] = ['request', 'answer', 'event', 'unsent'];

describe('the budget of held bytes', () => {
  it('keeps its bound, and counts what is held, whatever is claimed, revoked and released', () => {
    // Guards against a count that drifts, by which a router would refuse everything or hold too much.
    const step = fc.record({
      holder: fc.nat(7),
      sizeBytes: fc.nat(4 * MIB),
      dueInMs: fc.option(fc.nat(2_000)),
      isRelease: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const budget = createMemoryBudget(8 * MIB);
        const held = new Map<number, number>();
        const claims = Array.from({ length: 8 }, (_, no) =>
          budget.open(KINDS[no % 4] ?? 'request', () => held.delete(no)),
        );
        steps.forEach(({ holder, sizeBytes, dueInMs, isRelease }, no) => {
          const nowMs = no * 100;
          const claim = claims[holder];
          if (isRelease) {
            claim?.release();
            held.delete(holder);
          } else if (
            claim?.resize(sizeBytes, nowMs, dueInMs === null ? undefined : nowMs + dueInMs)
          ) {
            held.set(holder, sizeBytes);
          }
          const sum = [...held.values()].reduce((a, b) => a + b, 0);
          expect(budget.heldBytes()).toBe(sum);
          expect(KINDS.reduce((a, kind) => a + budget.heldBytes(kind), 0)).toBe(sum);
          expect(sum).toBeLessThanOrEqual(budget.maxBytes);
        });
        claims.forEach(({ release }) => release());
        expect(budget.heldBytes()).toBe(0);
      }),
    );
  });

  it('keeps room for small holders when large ones hold all that they may', () => {
    // Guards against ordinary requests that are refused beside a crowd of large ones.
    const budget = createMemoryBudget(8 * MIB);
    const isGranted = (bytes: number): boolean => budget.open('request').resize(bytes, 0);
    expect([4 * MIB, 2 * MIB, MIB, SMALL_CLAIM_BYTES].map(isGranted)).toEqual([
      true,
      true,
      false,
      true,
    ]);
  });

  it('gives the room of transfers that stand still to others, the longest overdue first', () => {
    // Guards against callers that stop a byte short of the end and hold the budget for ever.
    const budget = createMemoryBudget(8 * MIB);
    const revoked: string[] = [];
    const open = (name: string, atMs: number): void => {
      const claim = budget.open('request', () => revoked.push(name));
      expect(claim.resize(2 * MIB, atMs, progressDueAtMs(atMs, 2 * MIB, atMs))).toBe(true);
    };
    open('first', 0);
    open('second', 10);
    open('third', 900);
    expect(budget.open('request').resize(MIB, 950)).toBe(false);
    expect(budget.open('request').resize(MIB, 1_100)).toBe(true);
    expect(revoked).toEqual(['first']);
    expect(budget.revokedCount()).toBe(1);
  });

  it('revokes nothing if that would not make enough room', () => {
    const budget = createMemoryBudget(8 * MIB);
    const revoked: string[] = [];
    budget.open('answer').resize(5 * MIB, 0);
    budget.open('unsent', () => revoked.push('unsent')).resize(MIB, 0, 10);
    expect(budget.open('request').resize(4 * MIB, 100)).toBe(false);
    expect(revoked).toEqual([]);
  });
});

describe('the time by which a transfer must go on', () => {
  it('comes a second after its last byte, and sooner only for one that is slow altogether', () => {
    expect(progressDueAtMs(0, 4 * MIB, 5_000)).toBe(6_000);
    expect(progressDueAtMs(0, 125_000, 5_000)).toBe(2_000);
  });
});

describe('the limits of a host', () => {
  it('grow with it, and stay usable for one that is tiny or not known', () => {
    // Guards against a wrong size in the settings, by which everything would be refused.
    expect(
      [
        {},
        { memoryMb: 210, maxFds: 2_212 },
        { memoryMb: 350, maxFds: 4_200 },
        { memoryMb: 1, maxFds: 1 },
      ].map(hostLimits),
    ).toMatchInlineSnapshot(`
      [
        {
          "callerConnectionsMax": undefined,
          "heldMaxBytes": 27525120,
        },
        {
          "callerConnectionsMax": 976,
          "heldMaxBytes": 27525120,
        },
        {
          "callerConnectionsMax": 1970,
          "heldMaxBytes": 45875200,
        },
        {
          "callerConnectionsMax": 64,
          "heldMaxBytes": 12582912,
        },
      ]
    `);
  });
});
