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
const cellArbitrary: fc.Arbitrary<EvidenceBucket> = fc.record({
  routeHash: fc.integer({ min: 0, max: 2 }),
  level: fc.constantFrom(...LOAD_LEVELS),
  epoch: fc.nat(2),
  counts: fc.record({ failure: pairs, first_token: pairs, pace: pairs }),
  newStarts: fc.nat(1_000),
  oldStarts: fc.nat(1_000),
});

interface Behaviour {
  readonly failureRatio: number;
  readonly firstTokenMs: number;
}

/** Attempts of both versions in random order, on a day whose quality changes. */
function runDay(
  seed: number,
  behaviourOf: (side: 'new' | 'old', nowMs: number) => Behaviour,
): boolean {
  const random = createRandom(seed);
  const pairing: AttemptPairing = createAttemptPairing(SETTINGS);
  const pool = createEvidencePool(SETTINGS);
  for (let nowMs = 0; nowMs < SETTINGS.deadlineMs; nowMs += SECOND_MS) {
    for (let i = 0; i < 4; i += 1) {
      const side = random() < 0.5 ? 'new' : 'old';
      const { failureRatio, firstTokenMs } = behaviourOf(side, nowMs);
      const scope = { side, routeHash: i % 2, level: 'low', engineId: 'e' } as const;
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
  it('raises no more false alarms than stated at the edge of the null hypothesis', () => {
    // Guards against a test that loses its bound when it is looked at again and again.
    const alarms = Array.from({ length: RUNS }, (_, run) => {
      const random = createRandom(run * 977);
      const pool = createEvidencePool(SETTINGS);
      for (let epoch = 0; epoch < 120; epoch += 1) {
        const counts = { failure: draw(0.55), first_token: draw(0.5), pace: draw(0.5) };
        const cell = { routeHash: 1, level: 'low', epoch, counts, newStarts: 5, oldStarts: 5 };
        pool.merge('r', [cell as EvidenceBucket]);
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

  it('raises no more false alarms than stated on days that are bad for both versions', () => {
    // Guards against pairs whose members come from different parts of a changing day.
    const alarms = Array.from({ length: RUNS }, (_, run) =>
      runDay(run * 1_009, (_side, nowMs) => {
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
  ])('finds a version that is bad: %s', (_name, behaviour) => {
    const good = { failureRatio: 0.01, firstTokenMs: 200 };
    const found = [1, 2, 3, 4, 5].map((seed) =>
      runDay(seed, (side, nowMs) => (side === 'new' ? behaviour(nowMs) : good)),
    );
    expect(found).toEqual([true, true, true, true, true]);
  });

  it('does not blame a version for attempts lost with an engine', () => {
    const pairing = createAttemptPairing(SETTINGS);
    for (let i = 0; i < 200; i += 1) {
      const side = i % 2 === 0 ? 'new' : 'old';
      const scope = { side, routeHash: 1, level: 'low', engineId: side } as const;
      const observer = pairing.onAttempt(scope, i);
      observer.onOutcome(side === 'new' ? 'lost' : 'ok', 1_000);
    }
    pairing.onEngineDown('new', 2_000);
    const failures = pairing.evidenceBuckets(10_000).map((cell) => cell.counts.failure);
    expect(failures.every((each) => each.againstNew === 0)).toBe(true);
  });

  it('is the same whatever the order and number of the reports', () => {
    // Guards against evidence that counts twice after a repeated or overtaken message.
    const report = fc.record({ router: fc.constantFrom('a', 'b', 'c'), cell: cellArbitrary });
    fc.assert(
      fc.property(
        fc.array(report, { maxLength: 12 }),
        fc.infiniteStream(fc.nat()),
        (all, order) => {
          // A router's later report of a cell has the larger counts.
          const unique = new Map(all.map((each) => [keyOf(each.router, each.cell), each] as const));
          const reports = [...unique.values()];
          const shuffled = [...reports, ...reports]
            .map((each) => ({ each, rank: order.next().value as number }))
            .sort((a, b) => a.rank - b.rank)
            .map(({ each }) => each);
          const one = createEvidencePool(SETTINGS);
          const other = createEvidencePool(SETTINGS);
          reports.forEach(({ router, cell }) => one.merge(router, [cell]));
          shuffled.forEach(({ router, cell }) => other.merge(router, [cell]));
          const isBad = one.verdict(10_000) !== undefined;
          expect(other.verdict(10_000) !== undefined).toBe(isBad);
        },
      ),
    );
  });

  it('reads back the cells that it packs, 48 bytes each', () => {
    fc.assert(
      fc.property(fc.array(cellArbitrary), (cells) => {
        const bytes = encodeEvidenceBuckets(cells);
        expect(bytes.length).toBe(48 * cells.length);
        expect(decodeEvidenceBuckets(bytes)).toEqual(cells);
      }),
    );
    expect(decodeEvidenceBuckets(new Uint8Array(47))).toBeUndefined();
    expect(EVIDENCE_SIGNALS).toHaveLength(3);
  });
});

function keyOf(router: string, cell: EvidenceBucket): string {
  return `${router}/${cell.epoch}/${cell.routeHash}/${cell.level}`;
}
