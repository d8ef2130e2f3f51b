import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createOutlierDetector } from '../src/index';
import type { OutlierDetector } from '../src/index';

const SERVICE = 's';
const EJECTED_MAX_RATIO = 0.3;

function createTestDetector(count: number): { detector: OutlierDetector; ids: string[] } {
  const ids = Array.from({ length: count }, (_, at) => `e${at}`);
  const detector = createOutlierDetector({ ejectedMaxRatio: () => EJECTED_MAX_RATIO });
  detector.setServers(SERVICE, ids);
  return { detector, ids };
}

const resultArbitrary = fc.record({
  at: fc.integer({ min: 0, max: 19 }),
  route: fc.constantFrom('r1', 'r2', 'r3'),
  isSuccess: fc.boolean(),
  slownessRatio: fc.double({ min: 0.1, max: 50, noNaN: true }),
  waitMs: fc.integer({ min: 0, max: 3_000 }),
});

describe('outlier detector', () => {
  // Guards against ejecting so many servers that the rest cannot carry the service's traffic.
  it('never ejects more than the allowed part, whatever the results and changes of the service', () => {
    fc.assert(
      fc.property(
        fc.array(resultArbitrary, { maxLength: 400 }),
        fc.integer({ min: 1, max: 20 }),
        fc.integer({ min: 1, max: 20 }),
        (results, before, after) => {
          const { detector } = createTestDetector(before);
          let nowMs = 0;
          results.forEach(({ at, route, waitMs, ...result }, step) => {
            nowMs += waitMs;
            const count = step < results.length / 2 ? before : after;
            if (step === Math.ceil(results.length / 2)) {
              detector.setServers(
                SERVICE,
                Array.from({ length: after }, (_, id) => `e${id}`),
              );
            }
            detector.onResult(`e${at}`, route, result, nowMs);
            const ejected = Array.from({ length: count }, (_, id) => `e${id}`).filter((id) =>
              ['r1', 'r2', 'r3'].some((name) => detector.weight(id, name) === 0),
            );
            expect(ejected.length).toBeLessThanOrEqual(Math.floor(EJECTED_MAX_RATIO * count));
          });
        },
      ),
      { seed: 3, numRuns: 200 },
    );
  });

  // Guards against a server that keeps the traffic of a route on which it fails while its others work,
  // and against ejecting it from those as well.
  it('ejects a server only from the route on which it fails, probes it and readmits it', () => {
    const { detector, ids } = createTestDetector(10);
    for (let round = 0; round < 20; round += 1) {
      ids.forEach((id) => {
        detector.onResult(id, 'good', { isSuccess: true, slownessRatio: 1 }, round);
        detector.onResult(id, 'bad', { isSuccess: id !== 'e3', slownessRatio: 1 }, round);
      });
    }
    expect(detector.weight('e3', 'bad')).toBe(0);
    expect(detector.weight('e3', 'good')).toBe(1);
    expect(detector.claimProbe('e3', 'bad', 100)).toBe(false);
    for (let probe = 0; probe < 3; probe += 1) {
      const nowMs = 10_000 + probe * 1_000;
      expect(detector.claimProbe('e3', 'bad', nowMs)).toBe(true);
      expect(detector.claimProbe('e3', 'bad', nowMs + 1)).toBe(false);
      detector.onResult('e3', 'bad', { isSuccess: true, slownessRatio: 1 }, nowMs + 100);
    }
    expect(detector.weight('e3', 'bad')).toBeGreaterThan(0);
  });

  // Guards against ejecting some servers by chance when a dependency shared by all of them fails.
  it('ejects no server while more look unhealthy than may be ejected', () => {
    const { detector, ids } = createTestDetector(10);
    for (let round = 0; round < 40; round += 1) {
      ids.forEach((id, at) => {
        detector.onResult(id, 'r', { isSuccess: at >= 4, slownessRatio: 1 }, round * 500);
      });
    }
    expect(detector.ejectedCount(SERVICE)).toBe(0);
    expect(ids.map((id) => detector.weight(id, 'r'))).toEqual(ids.map(() => 1));
  });

  // Guards against an allowed part that is read only once, or used for another service than its own.
  it('follows a change of the allowed part of one service without affecting others', () => {
    const maxRatios = new Map([
      ['a', 0],
      ['b', 0.3],
    ]);
    const detector = createOutlierDetector({
      ejectedMaxRatio: (service) => maxRatios.get(service) ?? 0,
    });
    const idsOf = (service: string): string[] =>
      Array.from({ length: 10 }, (_, at) => `${service}${at}`);
    const recordResults = (nowMs: number): void => {
      ['a', 'b'].forEach((service) => {
        detector.setServers(service, idsOf(service));
        idsOf(service).forEach((id, at) => {
          detector.onResult(id, 'r', { isSuccess: at !== 0, slownessRatio: 1 }, nowMs);
        });
      });
    };
    const ejectedCounts = (): number[] =>
      ['a', 'b'].map((service) => detector.ejectedCount(service));
    for (let nowMs = 0; nowMs < 20; nowMs += 1) recordResults(nowMs);
    expect(ejectedCounts()).toEqual([0, 1]);
    maxRatios.set('a', 0.3);
    recordResults(20);
    expect(ejectedCounts()).toEqual([1, 1]);
    maxRatios.set('a', 0);
    recordResults(21);
    expect(ejectedCounts()).toEqual([0, 1]);
  });

  // Guards against a slow server that keeps its full traffic because it never fails.
  it('gives a slow server less traffic', () => {
    const { detector, ids } = createTestDetector(10);
    for (let round = 0; round < 40; round += 1) {
      ids.forEach((id, at) => {
        detector.onResult(id, 'r', { isSuccess: true, slownessRatio: at === 0 ? 4 : 1 }, round);
      });
    }
    expect(detector.weight('e0', 'r')).toBeLessThan(0.6);
    expect(detector.weight('e1', 'r')).toBe(1);
  });
});
