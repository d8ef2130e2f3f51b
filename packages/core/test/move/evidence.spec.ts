import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createRandom } from '@mimosamill/fakes';
import {
  createEvidencePool,
  createAttemptPairing,
  decodeEvidenceBuckets,
  encodeEvidenceBuckets,
  EVIDENCE_SIGNALS,
  LOAD_LEVELS,
} from '../../src/index';
import type { EvidenceBucket, EvidenceSettings, AttemptPairing } from '../../src/index';

const SETTINGS: EvidenceSettings = {
  startMs: 0,
  deadlineMs: 600_000,
  falseAlarmRatio: 0.05,
  routeCount: 2,
};
const RUNS = 300;
const SECOND_MS = 1_000;

const pairs = fc.record({ againstNew: fc.nat(30), againstOld: fc.nat(30) });
const bucketArbitrary: fc.Arbitrary<EvidenceBucket> = fc.record({
  routeHash: fc.integer({ min: 0, max: 2 }),
  level: fc.constantFrom(...LOAD_LEVELS),
  epoch: fc.nat(2),
  counts: fc.record({ failure: pairs, first_token: pairs, pace: pairs }),
  newAttempts: fc.nat(1_000),
  oldAttempts: fc.nat(1_000),
});

interface Behaviour {
  readonly failureRatio: number;
  readonly firstTokenMs: number;
}

/** Runs attempts on both versions in random order; returns whether the new one was found bad. */
function findsBadVersion(
  seed: number,
  behaviourOf: (version: 'new' | 'old', nowMs: number) => Behaviour,
): boolean {
  const random = createRandom(seed);
  const pairing: AttemptPairing = createAttemptPairing(SETTINGS);
  const pool = createEvidencePool(SETTINGS);
  for (let nowMs = 0; nowMs < SETTINGS.deadlineMs; nowMs += SECOND_MS) {
    for (let i = 0; i < 4; i += 1) {
      const version = random() < 0.5 ? 'new' : 'old';
      const { failureRatio, firstTokenMs } = behaviourOf(version, nowMs);
      const scope = {
        comparedVersion: version,
        routeHash: i % 2,
        level: 'low',
        engineId: 'e',
      } as const;
      const observer = pairing.onAttempt(scope, nowMs + i);
      const waitMs = firstTokenMs * Math.exp(random() + random() - 1);
      if (random() < failureRatio) observer.onOutcome('failed', nowMs + i + waitMs);
      else {
        observer.onFirstToken(nowMs + i + waitMs);
        observer.onOutcome('ok', nowMs + i + waitMs);
      }
    }
    pool.merge('r', pairing.evidenceBuckets(nowMs));
    if (pool.verdict(nowMs) !== undefined) return true;
  }
  return false;
}

describe('evidence of a move', () => {
  it('keeps the false-alarm bound at the edge of the null hypothesis', () => {
    // Guards against a test that exceeds its bound because its verdict is read after every epoch.
    const alarms = Array.from({ length: RUNS }, (_, run) => {
      const random = createRandom(run * 977);
      const pool = createEvidencePool(SETTINGS);
      for (let epoch = 0; epoch < 120; epoch += 1) {
        const counts = { failure: draw(0.55), first_token: draw(0.5), pace: draw(0.5) };
        const bucket = {
          routeHash: 1,
          level: 'low',
          epoch,
          counts,
          newAttempts: 5,
          oldAttempts: 5,
        };
        pool.merge('r', [bucket as EvidenceBucket]);
        if (pool.verdict(epoch * 5_000) !== undefined) return true;
      }
      return false;

      function draw(againstNewRatio: number) {
        const all = 1 + Math.floor(random() * 8);
        const againstNew = Array.from({ length: all }, random).filter(
          (each) => each < againstNewRatio,
        ).length;
        return { againstNew, againstOld: all - againstNew };
      }
    }).filter(Boolean).length;
    expect(alarms / RUNS).toBeLessThanOrEqual(SETTINGS.falseAlarmRatio);
  });

  it('keeps the false-alarm bound when both versions are bad for some time', () => {
    // Guards against pairs of attempts that ran under different conditions.
    const alarms = Array.from({ length: RUNS }, (_, run) =>
      findsBadVersion(run * 1_009, (_side, nowMs) => {
        const isBurst = nowMs % 90_000 < 20_000;
        return { failureRatio: isBurst ? 0.3 : 0.01, firstTokenMs: isBurst ? 900 : 200 };
      }),
    ).filter(Boolean).length;
    expect(alarms / RUNS).toBeLessThanOrEqual(SETTINGS.falseAlarmRatio);
  });

  it.each([
    [
      'fails at once',
      (nowMs: number) => ({ failureRatio: nowMs >= 0 ? 0.3 : 0, firstTokenMs: 200 }),
    ],
    [
      'fails later',
      (nowMs: number) => ({ failureRatio: nowMs > 3e5 ? 0.5 : 0.01, firstTokenMs: 200 }),
    ],
    ['slow at once', () => ({ failureRatio: 0.01, firstTokenMs: 400 })],
    [
      'slow later',
      (nowMs: number) => ({ failureRatio: 0.01, firstTokenMs: nowMs > 3e5 ? 500 : 200 }),
    ],
  ])('finds a bad version: %s', (_name, behaviour) => {
    const good = { failureRatio: 0.01, firstTokenMs: 200 };
    const found = [1, 2, 3, 4, 5].map((seed) =>
      findsBadVersion(seed, (version, nowMs) => (version === 'new' ? behaviour(nowMs) : good)),
    );
    expect(found).toEqual([true, true, true, true, true]);
  });

  it('does not count attempts lost with an engine against a version', () => {
    const pairing = createAttemptPairing(SETTINGS);
    for (let i = 0; i < 200; i += 1) {
      const version = i % 2 === 0 ? 'new' : 'old';
      const scope = {
        comparedVersion: version,
        routeHash: 1,
        level: 'low',
        engineId: version,
      } as const;
      const observer = pairing.onAttempt(scope, i);
      observer.onOutcome(version === 'new' ? 'lost' : 'ok', 1_000);
    }
    pairing.onEngineDown('new', 2_000);
    const failures = pairing.evidenceBuckets(10_000).map((bucket) => bucket.counts.failure);
    expect(failures.every((each) => each.againstNew === 0)).toBe(true);
  });

  it('gives the same verdict for any order and number of reports', () => {
    // Guards against evidence that counts twice after a duplicated or reordered message.
    const report = fc.record({ router: fc.constantFrom('a', 'b', 'c'), bucket: bucketArbitrary });
    fc.assert(
      fc.property(
        fc.array(report, { maxLength: 12 }),
        fc.infiniteStream(fc.nat()),
        (all, order) => {
          // A router's later report of a bucket has the larger counts, so one report per bucket is kept.
          const unique = new Map(
            all.map((each) => [keyOf(each.router, each.bucket), each] as const),
          );
          const reports = [...unique.values()];
          const shuffled = [...reports, ...reports]
            .map((each) => ({ each, rank: order.next().value as number }))
            .sort((a, b) => a.rank - b.rank)
            .map(({ each }) => each);
          const one = createEvidencePool(SETTINGS);
          const other = createEvidencePool(SETTINGS);
          reports.forEach(({ router, bucket }) => one.merge(router, [bucket]));
          shuffled.forEach(({ router, bucket }) => other.merge(router, [bucket]));
          const isBad = one.verdict(10_000) !== undefined;
          expect(other.verdict(10_000) !== undefined).toBe(isBad);
        },
      ),
    );
  });

  it('decodes the buckets that it encodes in 48 bytes each', () => {
    fc.assert(
      fc.property(fc.array(bucketArbitrary), (buckets) => {
        const bytes = encodeEvidenceBuckets(buckets);
        expect(bytes.length).toBe(48 * buckets.length);
        expect(decodeEvidenceBuckets(bytes)).toEqual(buckets);
      }),
    );
    expect(decodeEvidenceBuckets(new Uint8Array(47))).toBeUndefined();
    expect(EVIDENCE_SIGNALS).toHaveLength(3);
  });
});

function keyOf(router: string, bucket: EvidenceBucket): string {
  return `${router}/${bucket.epoch}/${bucket.routeHash}/${bucket.level}`;
}
