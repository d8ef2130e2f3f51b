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
  it('raises the share in steps and completes once nothing is left on the former version', () => {
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

  it('is withdrawn at any stage once the new version is clearly worse', () => {
    const view = { evidence: evidence(12, 7), elapsedMs: 300, isFormerBusy: true };
    expect(nextMoveStep(ORDER, view)).toEqual({ kind: 'roll_back' });
  });

  it('is not withdrawn for failures that the former version has as well', () => {
    expect(isNewVersionWorse(evidence(40, 6, 400, 60))).toBe(false);
    expect(isNewVersionWorse(evidence(40, 25, 400, 60))).toBe(true);
  });

  it('withdraws almost every bad version within its share, and almost no good one', () => {
    // Answers of a plain service whose versions both fail 14 in 100; bad versions fail 60 in 100.
    const play = (badRatio: number, seed: number): number | undefined => {
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
    const caught = seeds.map((seed) => play(0.6, seed)).filter((no) => no !== undefined);
    const wrong = seeds.map((seed) => play(0.14, seed)).filter((no) => no !== undefined);
    expect(caught.length).toBeGreaterThan(190);
    expect(Math.max(...caught)).toBeLessThanOrEqual(60);
    expect(wrong.length).toBeLessThan(6);
  });
});
