import { createLog, createMetrics } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { createRandom, createVirtualTime } from '@mimosamill/fakes';
import { describe, expect, it } from 'vitest';
import { createBackends } from '../src/route/backends';
import { createLoadSource } from '../src/route/load-source';
import { hash32 } from './peer/nodes';
import type { EngineClient, ListedHost, ServiceClient } from '@mimosamill/adapters';
import type { EngineId, EngineReport, RouteRequest } from '@mimosamill/core';

const REGION = asId<never>('traunsee');
const MIN_ENGINES = 40;
const PERIOD_MS = 250;
const MAX_DIRECT_READS = 16;
const REQUEST: RouteRequest = {
  model: 'm',
  version: 'v1',
  adapter: '',
  priority: 'normal',
  promptTokens: 100,
  blockKeys: [],
  excluded: new Set(),
};

function reportOf(isIdle: boolean): EngineReport {
  return {
    state: 'live',
    role: 'mixed',
    running: isIdle ? 0 : 16,
    queued: isIdle ? 0 : 40,
    maxRunning: 16,
    cacheUsedRatio: 0,
    stepMs: 20,
    loaded: [{ model: 'm', version: 'v1', adapters: [] }],
    reportAgeMs: 100,
  };
}

/** Engines of which one is idle, and digests that another router would send every second. */
function createWorld(engineCount: number) {
  const time = createVirtualTime();
  const ids = Array.from({ length: engineCount }, (_, at) => asId<EngineId>(`e${at}`));
  const state = { idle: ids[0], areDigestsOn: true, dead: new Set<string>(), reads: 0 };
  const hosts = ids.map((engineId): ListedHost => ({
    hostId: asId(engineId),
    role: 'engine',
    service: 'lackschrift',
    address: engineId,
    region: REGION,
    failureDomain: asId('gmunden'),
    state: 'live',
  }));
  const engines: Partial<EngineClient> = {
    readLoad: async (address) => {
      state.reads += 1;
      if (state.dead.has(address)) return { kind: 'unavailable', message: 'dead' };
      const engineId = asId<EngineId>(address);
      return { kind: 'ok', value: { ...reportOf(engineId === state.idle), engineId } };
    },
    readCacheEvents: async () => ({ kind: 'unavailable', message: 'none' }),
  };
  const source = createLoadSource({
    clock: time.clock,
    region: REGION,
    digestMinEngines: MIN_ENGINES,
    backends: () => backends,
    digests: () => ({ loads: () => new Map(ids.map((id) => [id, reportOf(id === state.idle)])) }),
  });
  const backends = createBackends({
    clock: time.clock,
    random: createRandom(5),
    hosts: { read: async () => ({ kind: 'ok', hosts, asOfMs: 0 }) },
    engines: engines as EngineClient,
    services: {} as ServiceClient,
    metrics: createMetrics(),
    log: createLog('test', 'silent', {}),
    picker: {
      region: REGION,
      failureDomain: asId('gmunden'),
      hash: hash32,
      blockTokens: 16,
      prefillTokensPerMs: 8,
      ownDomainRoundTripMs: 0.5,
      ownRegionRoundTripMs: 1,
      otherRegionRoundTripMs: 40,
      ejectedMaxRatio: () => 0.3,
    },
    hostListPeriodMs: 1_000,
    loadPeriodMs: PERIOD_MS,
    isPolled: source.isPolled,
  });
  time.clock.runEvery(1_000, () => {
    if (state.areDigestsOn) source.onDigestsReceived();
  });
  return { time, ids, state, source, backends };
}

function picked(backends: ReturnType<typeof createBackends>): Set<string> {
  const picks = Array.from({ length: 20 }, () => backends.pick(REQUEST));
  return new Set(picks.map((pick) => (pick.kind === 'ok' ? pick.engineId : pick.reason)));
}

describe('load source', () => {
  // Guards against a small fleet that depends on digests, or reads its engines twice.
  it('reads every engine itself below the limit', async () => {
    const { time, ids, state, source, backends } = createWorld(MIN_ENGINES - 1);
    void backends.start();
    await time.run(2_100);
    expect(source.enginesForDigests()).toEqual([]);
    state.reads = 0;
    await time.run(2_100 + 4 * PERIOD_MS);
    expect(state.reads).toBe(4 * ids.length);
    backends.stop();
  });

  // Guards against routers that all read all engines, against routing that ignores digests, and
  // against routing by old loads for ever once digests stop.
  it('routes by digests without reading, and reads within a bound when they stop', async () => {
    const { time, ids, state, source, backends } = createWorld(MIN_ENGINES);
    void backends.start();
    await time.run(2_100);
    expect(source.enginesForDigests()).toHaveLength(MIN_ENGINES);
    state.reads = 0;
    state.idle = ids[7];
    await time.run(8_100);
    expect(state.reads).toBe(0);
    expect(picked(backends)).toEqual(new Set(['e7']));

    state.areDigestsOn = false;
    state.idle = ids[30];
    await time.run(10_900);
    expect(state.reads).toBe(0);
    await time.run(12_900);
    expect(picked(backends)).toEqual(new Set(['e30']));
    expect(state.reads).toBeGreaterThan(MIN_ENGINES);
    expect(state.reads).toBeLessThanOrEqual((2_000 / PERIOD_MS) * MAX_DIRECT_READS);
    state.areDigestsOn = true;
    await time.run(14_100);
    state.reads = 0;
    await time.run(16_100);
    expect(state.reads).toBe(0);
    backends.stop();
  });

  // Guards against a dead engine that gets requests because a digest goes on confirming its load.
  it('uses an engine that it found down only after the engine has answered again', async () => {
    const { time, ids, state, backends } = createWorld(MIN_ENGINES);
    void backends.start();
    await time.run(4_100);
    expect(picked(backends)).toEqual(new Set(['e0']));
    state.dead.add('e0');
    expect(await backends.confirmDown(asId<EngineId>('e0'))).toBe(true);
    await time.run(9_100);
    expect(picked(backends).has('e0')).toBe(false);
    state.dead.clear();
    state.idle = ids[0];
    await time.run(12_100);
    expect(picked(backends)).toEqual(new Set(['e0']));
    backends.stop();
  });
});
