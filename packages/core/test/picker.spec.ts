import * as fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { describe, expect, it } from 'vitest';
import { asId, createEnginePicker } from '../src/index';
import type {
  EngineId,
  FailureDomain,
  LoadReport,
  EnginePicker,
  EnginePickerSettings,
  Region,
  RouteEngine,
  RouteRequest,
} from '../src/index';

const REGION = asId<Region>('north');
const DOMAIN = asId<FailureDomain>('marka');
const OTHER_DOMAIN = asId<FailureDomain>('sweileh');
/** Some hash; the tests do not depend on its quality. */
function hashText(text: string): number {
  return [...text].reduce((hash, char) => {
    const mixed = (hash * 31 + (char.codePointAt(0) ?? 0)) % 4_294_967_291;
    return (mixed * 16_777) % 4_294_967_291;
  }, 7);
}

const SETTINGS: EnginePickerSettings = {
  region: REGION,
  failureDomain: DOMAIN,
  hash: hashText,
  blockTokens: 64,
  prefillTokensPerMs: 8,
  ownDomainRoundTripMs: 0.5,
  ownRegionRoundTripMs: 2,
  otherRegionRoundTripMs: 40,
  ejectedMaxRatio: () => 0.3,
};
const LOAD: LoadReport = {
  state: 'live',
  role: 'mixed',
  running: 4,
  queued: 0,
  maxRunning: 16,
  stepMs: 20,
  loaded: [{ model: 'm', version: 'v1', adapters: [] }],
  reportAgeMs: 0,
};
const REQUEST: RouteRequest = {
  model: 'm',
  version: 'v1',
  adapter: '',
  priority: 'normal',
  promptTokens: 800,
  blockKeys: [],
  excluded: new Set(),
};

function engineId(at: number): EngineId {
  return asId<EngineId>(`e${at}`);
}

function engineAt(at: number, failureDomain = DOMAIN): RouteEngine {
  return { engineId: engineId(at), service: 's', region: REGION, failureDomain, state: 'live' };
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() + 2 ** 31) / 2 ** 32;
}

function createTestPicker(engines: readonly RouteEngine[], load = LOAD): EnginePicker {
  const picker = createEnginePicker(SETTINGS);
  picker.setEngines(engines);
  engines.forEach((engine) => picker.onLoad(engine.engineId, load, 0));
  return picker;
}

describe('picker', () => {
  // Guards against sending a resumed request back to the engine it was lost on, and against new
  // work for an engine that is shutting down.
  it('never returns an excluded or leaving engine', () => {
    const ids = fc.uniqueArray(fc.integer({ min: 0, max: 7 }));
    fc.assert(
      fc.property(ids, ids, ids, ids, fc.integer(), (listed, reported, refused, lost, seed) => {
        const engines = Array.from({ length: 8 }, (_, at) => engineAt(at));
        const picker = createTestPicker(engines);
        picker.setEngines(
          engines.map((engine, at) =>
            listed.includes(at) ? { ...engine, state: 'leaving' as const } : engine,
          ),
        );
        reported.forEach((at) => picker.onLoad(engineId(at), { ...LOAD, state: 'leaving' }, 10));
        refused.forEach((at) => picker.onLeaving(engineId(at), 20));
        // A report that was measured before the refusal must not revoke it.
        refused.forEach((at) => picker.onLoad(engineId(at), { ...LOAD, reportAgeMs: 5 }, 22));
        const banned = new Set([...listed, ...refused, ...lost].map(engineId));
        reported.filter((at) => !refused.includes(at)).forEach((at) => banned.add(engineId(at)));
        const request = { ...REQUEST, excluded: new Set(lost.map(engineId)) };
        const outcome = picker.pick(request, 30, createRandom(seed));
        if (outcome.kind === 'ok') expect(banned).not.toContain(outcome.engineId);
        else expect(banned.size).toBe(8);
      }),
      { seed: 11, numRuns: 500 },
    );
  });

  // Guards against a burst that goes to one engine because its report is old.
  it('counts own sends that no report includes yet', () => {
    const picker = createTestPicker([engineAt(0), engineAt(1), engineAt(2), engineAt(3)]);
    const random = createRandom(3);
    const counts = new Map<EngineId, number>();
    for (let sent = 0; sent < 40; sent += 1) {
      const outcome = picker.pick(REQUEST, 100, random);
      if (outcome.kind !== 'ok') throw new Error(outcome.reason);
      picker.onSent(outcome.engineId, REQUEST, 100);
      counts.set(outcome.engineId, (counts.get(outcome.engineId) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(12);
  });

  // Guards against needless traffic between failure domains.
  it('prefers its own failure domain at equal load and leaves it under load', () => {
    const engines = [engineAt(0), engineAt(1), engineAt(2, OTHER_DOMAIN)];
    const picker = createTestPicker(engines);
    const random = createRandom(1);
    const quiet = Array.from({ length: 200 }, () => picker.pick(REQUEST, 10, random));
    const local = quiet.filter((outcome) => outcome.kind === 'ok' && outcome.engineId !== 'e2');
    expect(local.length).toBeGreaterThan(100);
    [0, 1].forEach((at) => picker.onLoad(engineId(at), { ...LOAD, queued: 40 }, 20));
    const busy = picker.pick(REQUEST, 21, random);
    expect(busy).toMatchObject({ kind: 'ok', engine: 'e2' });
  });
});
