import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { describe, expect, it } from 'vitest';
import { asId, createEnginePicker } from '../src/index';
import type {
  EngineId,
  FailureDomain,
  LoadReport,
  Region,
  RouteRequest,
  RoutedRequest,
} from '../src/index';

const DOMAINS = ['gmunden', 'altmuenster', 'ebensee'];
const PREFIX = Array.from({ length: 24 }, (_, at) => 1_000 + at);
const LOAD: LoadReport = {
  state: 'live',
  role: 'mixed',
  running: 6,
  queued: 0,
  maxRunning: 16,
  stepMs: 20,
  loaded: [{ model: 'm', version: 'v1', adapters: [] }],
  reportAgeMs: 300,
};

function engineId(at: number): EngineId {
  return asId<EngineId>(`e${at}`);
}

/** One router, nine engines in three failure domains, and what happens to them in 80 steps. */
function runSession(): string[] {
  const generator = xoroshiro128plus(17);
  const random = (): number => (generator.next() + 2 ** 31) / 2 ** 32;
  const picker = createEnginePicker({
    region: asId<Region>('traunsee'),
    failureDomain: asId<FailureDomain>('gmunden'),
    hash: (text) => (text.codePointAt(1) ?? 0) * 40_503_979,
    blockTokens: 64,
    prefillTokensPerMs: 8,
    ownDomainRoundTripMs: 0.5,
    ownRegionRoundTripMs: 2,
    otherRegionRoundTripMs: 40,
    ejectedMaxRatio: () => 0.3,
  });
  const lines: string[] = [];
  const running: RoutedRequest[] = [];
  const engines = Array.from({ length: 9 }, (_, at) => ({
    engineId: engineId(at),
    service: 's',
    region: asId<Region>('traunsee'),
    failureDomain: asId<FailureDomain>(DOMAINS[at % 3] ?? ''),
    state: 'live' as const,
  }));
  picker.setEngines(engines);

  function report(nowMs: number): void {
    engines.forEach(({ engineId: id }, at) => {
      const queued = nowMs > 4_000 && at % 3 === 0 ? 12 : 0;
      picker.onLoad(id, { ...LOAD, queued }, nowMs);
    });
  }

  function showCache(nowMs: number): void {
    picker.onCacheEvents(engineId(4), { events: [], oldestSeq: 1, latestSeq: 0 }, nowMs);
    picker.onCacheSnapshot(engineId(4), { asOfSeq: 0, blockKeys: PREFIX });
  }

  function step(at: number): void {
    const nowMs = at * 100;
    if (at % 5 === 0) report(nowMs);
    if (at === 10) showCache(nowMs);
    if (at === 50) picker.onLeaving(engineId(5), nowMs);
    const request: RouteRequest = {
      model: 'm',
      version: 'v1',
      adapter: '',
      priority: at % 7 === 0 ? 'urgent' : 'normal',
      promptTokens: 1_700,
      blockKeys: at % 2 === 0 ? PREFIX : [],
      excluded: new Set(at === 30 ? [engineId(4)] : []),
    };
    const outcome = picker.pick(request, nowMs, random);
    if (outcome.kind === 'none') {
      lines.push(`${nowMs} none ${outcome.reason}`);
      return;
    }
    const prefix = request.blockKeys.length > 0 ? 'prefix' : 'plain';
    lines.push(
      `${nowMs} ${request.priority} ${prefix} ${outcome.engineId} ${outcome.cachedTokens}`,
    );
    running.push(picker.onSent(outcome.engineId, request, nowMs));
    const done = running.length > 6 ? running.shift() : undefined;
    if (done === undefined) return;
    const isFailing = done.engineId === engineId(7);
    if (!isFailing) picker.onFirstToken(done, nowMs - 50);
    picker.onEnd(done, isFailing ? 'failed' : 'ok', nowMs, 10);
  }

  for (let at = 0; at < 80; at += 1) step(at);
  return lines;
}

describe('routing session', () => {
  // Guards against an unintended change of routing: load, prefix, leaving and failing engines.
  it('routes a recorded session as before', () => {
    expect(runSession().join('\n')).toMatchSnapshot();
  });

  // Guards against state shared between pickers, which would make runs differ.
  it('gives the same session twice', () => {
    expect(runSession()).toEqual(runSession());
  });
});
