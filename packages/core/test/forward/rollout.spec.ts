import { describe, expect, it } from 'vitest';
import { asId, isNewVersionWorse, nextMoveStep } from '../../src/index';
import { createRandom } from './fixtures';
import type { MoveEvidence, ServiceName, VersionOrder } from '../../src/index';

const ORDER: VersionOrder = { service: asId<ServiceName>('s'), version: 'v2', withinMs: 12_000 };

const evidence = (answers: number, bad: number, former = 100, formerBad = 0): MoveEvidence => ({
  fresh: { answers, bad },
  former: { answers: former, bad: formerBad },
});

describe('a move to a new version', () => {
  it('raises the share in stages and completes once the former version is idle', () => {
    const steps = [0, 2_300, 3_000, 6_000, 11_000].map((elapsedMs) =>
      nextMoveStep(ORDER, { evidence: evidence(20, 0), elapsedMs, isFormerBusy: true }),
    );
    expect(steps).toEqual([
      { kind: 'serve', shareRatio: 0.08 },
      { kind: 'serve', shareRatio: 0.08 },
      { kind: 'serve', shareRatio: 0.3 },
      { kind: 'serve', shareRatio: 1 },
      { kind: 'complete' },
    ]);
    const drained = { evidence: evidence(20, 0), elapsedMs: 6_000, isFormerBusy: false };
    expect(nextMoveStep(ORDER, drained).kind).toBe('complete');
  });

  it('gets all traffic only after enough good answers, or when time presses and none were bad', () => {
    // Guards against completing a move to a version whose answers are too slow to arrive in time.
    const stepAt = (elapsedMs: number, answers: number, bad: number) =>
      nextMoveStep(ORDER, { evidence: evidence(answers, bad, 20), elapsedMs, isFormerBusy: true });
    expect(stepAt(6_000, 2, 0)).toEqual({ kind: 'serve', shareRatio: 0.3 });
    expect(stepAt(8_000, 4, 4)).toEqual({ kind: 'serve', shareRatio: 0.3 });
    expect(stepAt(8_500, 4, 4)).toEqual({ kind: 'roll_back' });
    expect(stepAt(8_500, 4, 1)).toEqual({ kind: 'serve', shareRatio: 1 });
    expect(stepAt(8_500, 0, 0)).toEqual({ kind: 'serve', shareRatio: 1 });
    expect(stepAt(6_000, 8, 0)).toEqual({ kind: 'serve', shareRatio: 1 });
  });

  it('gets no more traffic while it looks worse than the former version, and is rolled back then', () => {
    // Guards against taking half of the answers being slow for enough good answers.
    const stepAt = (elapsedMs: number, bad: number) =>
      nextMoveStep(ORDER, {
        evidence: evidence(21, bad, 185, 30),
        elapsedMs,
        isFormerBusy: false,
      });
    expect(stepAt(6_000, 10)).toEqual({ kind: 'serve', shareRatio: 0.3 });
    expect(stepAt(8_500, 10)).toEqual({ kind: 'roll_back' });
    expect(stepAt(6_000, 5)).toEqual({ kind: 'complete' });
  });

  it('is not rolled back for slow answers when those of the former version are as slow', () => {
    // Guards against blaming a version for a load under which all servers are slow.
    const step = nextMoveStep(ORDER, {
      evidence: evidence(4, 3, 20, 14),
      elapsedMs: 8_500,
      isFormerBusy: true,
    });
    expect(step).toEqual({ kind: 'serve', shareRatio: 1 });
  });

  it('begins with a larger share at a service with little traffic, to get answers in time', () => {
    const step = nextMoveStep(ORDER, {
      evidence: evidence(1, 0, 7),
      elapsedMs: 2_000,
      isFormerBusy: true,
    });
    expect(step).toEqual({ kind: 'serve', shareRatio: 0.3 });
  });

  it('is rolled back at any stage once the new version is significantly worse', () => {
    const progress = { evidence: evidence(12, 7), elapsedMs: 300, isFormerBusy: true };
    expect(nextMoveStep(ORDER, progress)).toEqual({ kind: 'roll_back' });
  });

  it('is not rolled back for failures that the former version has as well', () => {
    expect(isNewVersionWorse(evidence(40, 6, 400, 60))).toBe(false);
    expect(isNewVersionWorse(evidence(40, 25, 400, 60))).toBe(true);
  });

  it('is rolled back for almost every bad version within 60 answers, and for almost no good one', () => {
    // Both versions of a good move fail 14 of 100 requests; a bad new version fails 60 of 100.
    const simulateMove = (badRatio: number, seed: number): number | undefined => {
      const random = createRandom(seed);
      let [answers, bad, former, formerBad] = [0, 0, 0, 0];
      for (let no = 0; no < 60; no += 1) {
        answers += 1;
        bad += random() < badRatio ? 1 : 0;
        for (let other = 0; other < 8; other += 1) {
          former += 1;
          formerBad += random() < 0.14 ? 1 : 0;
        }
        if (isNewVersionWorse(evidence(answers, bad, former, formerBad))) return no + 1;
      }
      return undefined;
    };
    const seeds = Array.from({ length: 200 }, (_, at) => at + 1);
    const badRolledBack = seeds
      .map((seed) => simulateMove(0.6, seed))
      .filter((no) => no !== undefined);
    const goodRolledBack = seeds
      .map((seed) => simulateMove(0.14, seed))
      .filter((no) => no !== undefined);
    expect(badRolledBack.length).toBeGreaterThan(190);
    expect(Math.max(...badRolledBack)).toBeLessThanOrEqual(60);
    expect(goodRolledBack.length).toBeLessThan(6);
  });
});
