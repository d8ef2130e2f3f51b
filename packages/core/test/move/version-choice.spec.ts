import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { asId, chooseVersion, createWithdrawals, enginesToAvoid, planMove } from '../../src/index';
import type {
  EngineId,
  EngineServiceConfig,
  MoveId,
  MovePlanInput,
  RequestId,
  ServiceName,
  TeamId,
  VersionName,
  Withdrawal,
} from '../../src/index';

const SERVICE = asId<ServiceName>('lackschrift');
const VERSIONS = ['v1', 'v2', 'v3'].map((name) => asId<VersionName>(name));

/** A variant of FNV-1a, which is uniform enough for traffic shares. */
function hash(text: string): number {
  let value = 2_166_136_261;
  for (const char of text) value = Math.imul(value + char.charCodeAt(0) * 7_919, 16_777_619);
  return ((value % 4_294_967_296) + 4_294_967_296) % 4_294_967_296;
}

const versionArbitrary = fc.constantFrom(...VERSIONS);
const serviceArbitrary = fc
  .record({
    stable: versionArbitrary,
    candidate: versionArbitrary,
    shareRatio: fc.double({ min: 0, max: 1, noNaN: true }),
  })
  .map(({ stable, candidate, shareRatio }): EngineServiceConfig => {
    const moveId = asId<MoveId>('m-1');
    return createService(stable, { moveId, version: candidate, shareRatio });
  });
const withdrawalArbitrary = fc
  .record({ version: versionArbitrary, fallback: versionArbitrary })
  .map((each): Withdrawal => ({
    ...each,
    moveId: asId<MoveId>('m-0'),
    service: SERVICE,
    reason: '',
  }));

function createService(
  stableVersion: VersionName,
  candidate: NonNullable<EngineServiceConfig['candidate']>,
): EngineServiceConfig {
  return {
    kind: 'engine',
    name: SERVICE,
    team: asId<TeamId>('t'),
    model: 'm',
    adapters: [],
    stableVersion,
    candidate,
    fencing: 'ignored',
  };
}

describe('version choice', () => {
  it('never chooses a withdrawn version again, whatever the configuration says', () => {
    fc.assert(
      fc.property(
        fc.array(withdrawalArbitrary, { minLength: 1, maxLength: 5 }),
        fc.array(serviceArbitrary, { minLength: 1, maxLength: 10 }),
        (items, services) => {
          const withdrawals = createWithdrawals();
          items.forEach((item, i) => {
            withdrawals.add(item);
            services.forEach((service, j) => {
              const id = asId<RequestId>(`r-${i}-${j}`);
              const choice = chooseVersion(service, id, withdrawals, hash);
              if (choice.kind === 'none') return;
              expect(withdrawals.find(SERVICE, choice.version)).toBeUndefined();
            });
          });
        },
      ),
    );
  });

  it('gives the new version its share of requests and the control group the same number', () => {
    const [stable, next] = VERSIONS;
    if (stable === undefined || next === undefined) throw new Error('no versions');
    const candidate = { moveId: asId<MoveId>('m-1'), version: next, shareRatio: 0.2 };
    const service = createService(stable, candidate);
    const counts = { new: 0, control: 0, other: 0 };
    for (let i = 0; i < 20_000; i += 1) {
      const choice = chooseVersion(service, asId(`r-${i}`), createWithdrawals(), hash);
      if (choice.kind === 'ok') counts[choice.group] += 1;
    }
    expect(counts.new / 20_000).toBeCloseTo(0.2, 1);
    expect(counts.control / 20_000).toBeCloseTo(0.2, 1);
  });

  it('starts a request on the old version after the new one has failed it', () => {
    const [stable, next] = VERSIONS;
    if (stable === undefined || next === undefined) throw new Error('no versions');
    const candidate = { moveId: asId<MoveId>('m-1'), version: next, shareRatio: 1 };
    const service = createService(stable, candidate);
    const choose = (failed: VersionName[]) =>
      chooseVersion(service, asId('r-1'), createWithdrawals(), hash, new Set(failed));
    expect(choose([])).toEqual({ kind: 'ok', version: next, group: 'new' });
    expect(choose([next])).toEqual({ kind: 'ok', version: stable, group: 'other' });
    expect(choose([next, stable])).toEqual({ kind: 'ok', version: stable, group: 'other' });
  });

  it('gives both versions an engine and no engine to two groups', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 2, max: 40 }),
        fc.integer({ min: 1, max: 39 }),
        fc.constantFrom(0.01, 0.05, 0.2, 0.5),
        fc.double({ min: 0.05, max: 1, noNaN: true }),
        (engineCount, newCount, shareRatio, busyRatio) => {
          const engines = Array.from({ length: engineCount }, (_, i) => ({
            engineId: asId<EngineId>(`e-${i}`),
            versions: i < Math.min(newCount, engineCount - 1) ? ['v1', 'v2'] : ['v1'],
          }));
          const newVersion = asId<VersionName>('v2');
          const input = { engines, newVersion, moveId: asId<MoveId>('m'), shareRatio, busyRatio };
          const used = (['new', 'control', 'other'] as const).map((group) => {
            const avoided = enginesToAvoid(group, input, hash);
            return engines.filter((engine) => !avoided.has(engine.engineId));
          });
          const [newGroup = [], control = [], other = []] = used;
          expect(newGroup.length).toBeGreaterThan(0);
          expect(new Set([...newGroup, ...control, ...other]).size).toBe(
            newGroup.length + control.length + other.length,
          );
          expect(control.length + other.length).toBeGreaterThan(0);
        },
      ),
    );
  });
});

describe('move plan', () => {
  const inputArbitrary: fc.Arbitrary<MovePlanInput> = fc.record({
    nowMs: fc.constant(1_000_000),
    deadlineMs: fc.integer({ min: 1_000_000, max: 9_000_000 }),
    reachedShareRatio: fc.constantFrom(0, 0.01, 0.05, 0.2, 0.5),
    engineCount: fc.integer({ min: 0, max: 200 }),
    loadedCount: fc.nat(50),
    busyRatio: fc.double({ min: 0, max: 1, noNaN: true }),
    sizeBytes: fc.integer({ min: 0, max: 100_000_000_000 }),
    bytesPerSec: fc.integer({ min: 100_000_000, max: 10_000_000_000 }),
  });

  it('ends before the deadline with ordered steps, each after its engines have loaded', () => {
    fc.assert(
      fc.property(inputArbitrary, (input) => {
        const outcome = planMove(input);
        if (outcome.kind === 'refused') {
          expect(outcome.reason).not.toBe('');
          return;
        }
        const { steps } = outcome.plan;
        const times = steps.map((step) => step.atMs);
        expect(times).toEqual([...times].sort((a, b) => a - b));
        expect(steps.at(-1)?.shareRatio).toBe(1);
        expect(times.at(-1)).toBeLessThan(input.deadlineMs);
        steps.forEach((step) => {
          const missing = Math.max(0, step.engineCount - input.loadedCount);
          const transferMs = (missing * input.sizeBytes * 1_000) / input.bytesPerSec;
          expect(step.atMs).toBeGreaterThanOrEqual(input.nowMs + transferMs - 1);
        });
      }),
    );
  });

  it('gives the reason why a move cannot meet its deadline', () => {
    const input = {
      nowMs: 0,
      deadlineMs: 600_000,
      reachedShareRatio: 0,
      engineCount: 13,
      loadedCount: 0,
      busyRatio: 0.6,
      sizeBytes: 140_000_000_000,
      bytesPerSec: 2_000_000_000,
    };
    const outcomes = [input, { ...input, busyRatio: 0.96 }, { ...input, engineCount: 0 }].map(
      (each) => planMove(each),
    );
    expect(outcomes).toMatchInlineSnapshot(`
      [
        {
          "kind": "refused",
          "reason": "the move needs 950 s and the deadline leaves 600 s",
        },
        {
          "kind": "refused",
          "reason": "no engine can be spared for loading: 13 engines are 96% busy",
        },
        {
          "kind": "refused",
          "reason": "the service has no engines",
        },
      ]
    `);
  });
});
