import { describe, expect, it } from 'vitest';
import { asId, isMajorityHeard, isNewVersionWorse, nextMoveStep } from '../../src/index';
import { createRandom } from './fixtures';
import type {
  HostId,
  MoveEvidence,
  MoveProgress,
  MoveStep,
  ServiceName,
  VersionOrder,
  VersionServers,
} from '../../src/index';

const ORDER: VersionOrder = { service: asId<ServiceName>('s'), version: 'v2', withinMs: 12_000 };

const evidence = (answers: number, bad: number, former = 100, formerBad = 0): MoveEvidence => ({
  fresh: { answers, bad },
  former: { answers: former, bad: formerBad },
});

const THREE_SERVERS: VersionServers = { presentCount: 3, expectedCount: 3 };

type Progress = Omit<MoveProgress, 'servers' | 'isInformed'> & Partial<MoveProgress>;

/** The next step of a move with servers and news of the other routers, unless the progress says otherwise. */
const stepOf = (progress: Progress): MoveStep =>
  nextMoveStep(ORDER, { servers: THREE_SERVERS, isInformed: true, ...progress });

describe('a move to a new version', () => {
  it('raises the share in stages and completes once the former version is idle', () => {
    const steps = [0, 2_300, 3_000, 6_000, 11_000].map((elapsedMs) =>
      stepOf({ evidence: evidence(20, 0), elapsedMs, isFormerBusy: true }),
    );
    expect(steps).toEqual([
      { kind: 'serve', shareRatio: 0.08 },
      { kind: 'serve', shareRatio: 0.08 },
      { kind: 'serve', shareRatio: 0.3 },
      { kind: 'serve', shareRatio: 1 },
      { kind: 'complete' },
    ]);
    const drained = { evidence: evidence(20, 0), elapsedMs: 6_000, isFormerBusy: false };
    expect(stepOf(drained).kind).toBe('complete');
  });

  it('gets all traffic only after enough good answers, or when time presses and none were bad', () => {
    // Guards against completing a move to a version whose answers are too slow to arrive in time.
    const stepAt = (elapsedMs: number, answers: number, bad: number) =>
      stepOf({ evidence: evidence(answers, bad, 20), elapsedMs, isFormerBusy: true });
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
      stepOf({
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
    const step = stepOf({
      evidence: evidence(4, 3, 20, 14),
      elapsedMs: 8_500,
      isFormerBusy: true,
    });
    expect(step).toEqual({ kind: 'serve', shareRatio: 1 });
  });

  it('begins with a larger share at a service with little traffic, to get answers in time', () => {
    const step = stepOf({
      evidence: evidence(1, 0, 7),
      elapsedMs: 2_000,
      isFormerBusy: true,
    });
    expect(step).toEqual({ kind: 'serve', shareRatio: 0.3 });
  });

  it('is rolled back at any stage once the new version is significantly worse', () => {
    const progress = { evidence: evidence(12, 7), elapsedMs: 300, isFormerBusy: true };
    expect(stepOf(progress)).toEqual({ kind: 'roll_back' });
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

// Guards against stopping the former version's servers for a version that nothing has shown to be sound.
describe('a move to a version without good answers', () => {
  it('is not completed, and is rolled back when its time is over', () => {
    const steps = [0.71, 0.95, 0.99, 1.01].map((timeRatio) =>
      stepOf({
        evidence: evidence(0, 0, 400),
        elapsedMs: timeRatio * ORDER.withinMs,
        isFormerBusy: false,
      }),
    );
    expect(steps.map(({ kind }) => kind)).toEqual(['serve', 'serve', 'serve', 'roll_back']);
  });

  it('is not completed for one good answer among much traffic of the former version', () => {
    // Guards against servers that start late, and of which a single good answer says little.
    const stepWith = (answers: number) =>
      stepOf({ evidence: evidence(answers, 0, 400), elapsedMs: 9_600, isFormerBusy: false });
    expect(stepWith(1)).toEqual({ kind: 'serve', shareRatio: 0.3 });
    expect(stepWith(8)).toEqual({ kind: 'complete' });
  });

  it('gets all traffic for a trial if there is little of it, and is completed by one good answer', () => {
    const stepWith = (answers: number) =>
      stepOf({ evidence: evidence(answers, 0, 5), elapsedMs: 9_600, isFormerBusy: false });
    expect(stepWith(0)).toEqual({ kind: 'serve', shareRatio: 1 });
    expect(stepWith(1)).toEqual({ kind: 'complete' });
  });

  it('is completed by the answers that are left when many routers were killed meanwhile', () => {
    // Guards against rolling back a sound version for want of the counts that were lost with its routers.
    const stepWith = (answers: number) =>
      stepOf({ evidence: evidence(answers, 0, 45), elapsedMs: 9_600, isFormerBusy: false });
    expect(stepWith(6)).toEqual({ kind: 'complete' });
    expect(stepWith(2).kind).toBe('serve');
  });
});

// Guards against stopping the former version's servers when most of the new ones have been lost.
describe('a move to a version that has lost its servers', () => {
  const stepWith = (servers: VersionServers, elapsedMs: number) =>
    stepOf({ evidence: evidence(40, 0, 400), elapsedMs, isFormerBusy: false, servers });

  it.each([
    { presentCount: 0, expectedCount: 0 },
    { presentCount: 0, expectedCount: 1 },
    { presentCount: 1, expectedCount: 3 },
  ])(
    'is not completed with $presentCount of $expectedCount, and is rolled back later',
    (servers) => {
      expect(stepWith(servers, 6_000)).toEqual({ kind: 'serve', shareRatio: 0.3 });
      expect(stepWith(servers, 13_000)).toEqual({ kind: 'serve', shareRatio: 0.3 });
      expect(stepWith(servers, 15_100)).toEqual({ kind: 'roll_back' });
    },
  );

  it('is completed while at least half of them are present', () => {
    expect(stepWith({ presentCount: 2, expectedCount: 3 }, 6_000)).toEqual({ kind: 'complete' });
    expect(stepWith({ presentCount: 3, expectedCount: 3 }, 12_500)).toEqual({ kind: 'complete' });
  });
});

// Guards against a router that completes a move, or gives the new version more traffic, by what it knew before it
// stood still or was cut off.
describe('a move at a router without news of the others', () => {
  const stepWith = (answers: number, bad: number, timeRatio: number) =>
    stepOf({
      evidence: evidence(answers, bad),
      elapsedMs: timeRatio * ORDER.withinMs,
      isFormerBusy: false,
      isInformed: false,
    });

  it('holds its share at each stage, and after its time', () => {
    const steps = [0.1, 0.25, 0.5, 0.95, 1.3].map((timeRatio) => stepWith(40, 0, timeRatio));
    expect(steps.every(({ kind }) => kind === 'hold')).toBe(true);
  });

  it('is rolled back all the same by bad answers, which no news can make good', () => {
    expect(stepWith(40, 30, 0.5)).toEqual({ kind: 'roll_back' });
  });
});

describe('the majority of the routers', () => {
  const hosts = (...names: string[]): HostId[] => names.map((name) => asId<HostId>(name));

  it.each([
    { known: [], heard: [], isMajority: true },
    { known: ['b'], heard: [], isMajority: false },
    { known: ['b'], heard: ['b'], isMajority: true },
    { known: ['b', 'c'], heard: [], isMajority: false },
    { known: ['b', 'c'], heard: ['c'], isMajority: true },
    { known: ['b', 'c', 'd'], heard: ['b'], isMajority: false },
    { known: ['b', 'c', 'd'], heard: ['e', 'f', 'g'], isMajority: true },
  ])('beside $known: hears $heard', ({ known, heard, isMajority }) => {
    expect(isMajorityHeard(hosts(...known), hosts(...heard))).toBe(isMajority);
  });
});
