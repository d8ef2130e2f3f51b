import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createOutlierDetector } from '../src/index';
import type { OutlierDetector } from '../src/index';

const SERVICE = 's';
const RATIO = 0.3;

function createTestJudge(count: number): { judge: OutlierDetector; ids: string[] } {
  const ids = Array.from({ length: count }, (_, at) => `e${at}`);
  const judge = createOutlierDetector({ ejectedMaxRatio: () => RATIO });
  judge.setServers(SERVICE, ids);
  return { judge, ids };
}

const resultArbitrary = fc.record({
  at: fc.integer({ min: 0, max: 19 }),
  route: fc.constantFrom('r1', 'r2', 'r3'),
  isSuccess: fc.boolean(),
  slownessRatio: fc.double({ min: 0.1, max: 50, noNaN: true }),
  waitMs: fc.integer({ min: 0, max: 3_000 }),
});

describe('outlier judge', () => {
  // Guards against a faulty judge that takes away a service's capacity.
  it('never ejects more than the bound, whatever the results and changes of the service', () => {
    fc.assert(
      fc.property(
        fc.array(resultArbitrary, { maxLength: 400 }),
        fc.integer({ min: 1, max: 20 }),
        fc.integer({ min: 1, max: 20 }),
        (results, before, after) => {
          const { judge } = createTestJudge(before);
          let nowMs = 0;
          results.forEach(({ at, route, waitMs, ...result }, step) => {
            nowMs += waitMs;
            const count = step < results.length / 2 ? before : after;
            if (step === Math.ceil(results.length / 2)) {
              judge.setServers(
                SERVICE,
                Array.from({ length: after }, (_, id) => `e${id}`),
              );
            }
            judge.onResult(`e${at}`, route, result, nowMs);
            const ejected = Array.from({ length: count }, (_, id) => `e${id}`).filter((id) =>
              ['r1', 'r2', 'r3'].some((name) => judge.weight(id, name) === 0),
            );
            expect(ejected.length).toBeLessThanOrEqual(Math.floor(RATIO * count));
          });
        },
      ),
      { seed: 3, numRuns: 200 },
    );
  });

  // Guards against a gray failure that keeps its traffic, and against losing the other routes.
  it('ejects a server that fails on one route only there, probes it and readmits it', () => {
    const { judge, ids } = createTestJudge(10);
    for (let round = 0; round < 20; round += 1) {
      ids.forEach((id) => {
        judge.onResult(id, 'good', { isSuccess: true, slownessRatio: 1 }, round);
        judge.onResult(id, 'bad', { isSuccess: id !== 'e3', slownessRatio: 1 }, round);
      });
    }
    expect(judge.weight('e3', 'bad')).toBe(0);
    expect(judge.weight('e3', 'good')).toBe(1);
    expect(judge.claimProbe('e3', 'bad', 100)).toBe(false);
    for (let probe = 0; probe < 3; probe += 1) {
      const nowMs = 10_000 + probe * 1_000;
      expect(judge.claimProbe('e3', 'bad', nowMs)).toBe(true);
      expect(judge.claimProbe('e3', 'bad', nowMs + 1)).toBe(false);
      judge.onResult('e3', 'bad', { isSuccess: true, slownessRatio: 1 }, nowMs + 100);
    }
    expect(judge.weight('e3', 'bad')).toBeGreaterThan(0);
  });

  // Guards against ejecting a part of the servers at random when a dependency of all of them fails.
  it('ejects none while more than the bound look bad', () => {
    const { judge, ids } = createTestJudge(10);
    for (let round = 0; round < 40; round += 1) {
      ids.forEach((id, at) => {
        judge.onResult(id, 'r', { isSuccess: at >= 4, slownessRatio: 1 }, round * 500);
      });
    }
    expect(judge.ejectedCount(SERVICE)).toBe(0);
    expect(ids.map((id) => judge.weight(id, 'r'))).toEqual(ids.map(() => 1));
  });

  // Guards against a bound that is read only once, or shared by services that have different ones.
  it('follows a changed bound of one service and leaves the others alone', () => {
    const bounds = new Map([
      ['a', 0],
      ['b', 0.3],
    ]);
    const judge = createOutlierDetector({ ejectedMaxRatio: (service) => bounds.get(service) ?? 0 });
    const idsOf = (service: string): string[] =>
      Array.from({ length: 10 }, (_, at) => `${service}${at}`);
    const serve = (nowMs: number): void => {
      ['a', 'b'].forEach((service) => {
        judge.setServers(service, idsOf(service));
        idsOf(service).forEach((id, at) => {
          judge.onResult(id, 'r', { isSuccess: at !== 0, slownessRatio: 1 }, nowMs);
        });
      });
    };
    const counts = (): number[] => ['a', 'b'].map((service) => judge.ejectedCount(service));
    for (let nowMs = 0; nowMs < 20; nowMs += 1) serve(nowMs);
    expect(counts()).toEqual([0, 1]);
    bounds.set('a', 0.3);
    serve(20);
    expect(counts()).toEqual([1, 1]);
    bounds.set('a', 0);
    serve(21);
    expect(counts()).toEqual([0, 1]);
  });

  // Guards against a slow server that keeps its full share because it never fails.
  it('gives a slow server less traffic', () => {
    const { judge, ids } = createTestJudge(10);
    for (let round = 0; round < 40; round += 1) {
      ids.forEach((id, at) => {
        judge.onResult(id, 'r', { isSuccess: true, slownessRatio: at === 0 ? 4 : 1 }, round);
      });
    }
    expect(judge.weight('e0', 'r')).toBeLessThan(0.6);
    expect(judge.weight('e1', 'r')).toBe(1);
  });
});
