import { createLog, createMetrics } from '@mimosamill/adapters';
import { asId, chainBlockHashes, toBlockKeys } from '@mimosamill/core';
import { createRandom, createVirtualTime } from '@mimosamill/fakes';
import { describe, expect, it } from 'vitest';
import { createBackends } from '../src/route/backends';
import { hash32 } from './peer/nodes';
import type { EngineClient, ListedHost, ServiceClient } from '@mimosamill/adapters';
import type { EngineId, RouteRequest, ServiceName } from '@mimosamill/core';

const SERVICE = asId<ServiceName>('lackschrift');
const PLAIN = asId<ServiceName>('werkbuch');
/** So long that cached blocks save more than the cost difference below which engines count as equal. */
const PROMPT = Array.from({ length: 3_200 }, (_, index) => `word${index}`);
const BLOCKS = chainBlockHashes(PROMPT, 16, hash32);
const LOAD = {
  role: 'mixed',
  running: 4,
  queued: 0,
  maxRunning: 16,
  cacheUsedRatio: 0,
  stepMs: 20,
  loaded: [{ model: 'm', version: 'v1', adapters: [] }],
  reportAgeMs: 100,
} as const;

function hostAt(index: number, role: 'engine' | 'service'): ListedHost {
  return {
    hostId: asId(`${role}${index}`),
    role,
    service: role === 'engine' ? SERVICE : PLAIN,
    address: `10.0.0.${index}:1`,
    region: asId('traunsee'),
    failureDomain: asId('gmunden'),
    state: 'live',
  };
}

/** Five engines and some plain servers; the third engine has the prompt's blocks. */
function createWorld(serverCount = 3) {
  const time = createVirtualTime();
  const state = {
    hosts: [
      ...Array.from({ length: 5 }, (_, index) => hostAt(index, 'engine')),
      ...Array.from({ length: serverCount }, (_, index) => hostAt(10 + index, 'service')),
    ],
    leaving: new Set<string>(),
    snapshots: 0,
  };
  const stateOf = (address: string) => (state.leaving.has(address) ? 'leaving' : 'live');
  const engines: Partial<EngineClient> = {
    readLoad: async (address) => ({
      kind: 'ok',
      value: { ...LOAD, engineId: asId<EngineId>('e'), state: stateOf(address) },
    }),
    readCacheEvents: async () => ({
      kind: 'ok',
      value: { events: [], oldestSeq: BLOCKS.length + 1, latestSeq: BLOCKS.length },
    }),
    readCacheSnapshot: async (address) => {
      state.snapshots += 1;
      const blockHashes = address === '10.0.0.2:1' ? BLOCKS : [];
      return { kind: 'ok', value: { asOfSeq: BLOCKS.length, blockHashes } };
    },
  };
  const services: Partial<ServiceClient> = {
    readLoad: async (address) => ({ state: stateOf(address), running: 0, maxRunning: 8 }),
  };
  const backends = createBackends({
    clock: time.clock,
    random: createRandom(5),
    hosts: { read: async () => ({ kind: 'ok', hosts: state.hosts, asOfMs: 0 }) },
    engines: engines as EngineClient,
    services: services as ServiceClient,
    metrics: createMetrics(),
    log: createLog('test', 'silent', {}),
    picker: {
      region: asId('traunsee'),
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
    loadPeriodMs: 500,
  });
  return { time, state, backends };
}

const REQUEST: RouteRequest = {
  model: 'm',
  version: 'v1',
  adapter: '',
  priority: 'normal',
  promptTokens: PROMPT.length,
  blockKeys: toBlockKeys(BLOCKS, hash32),
  excluded: new Set(),
};

describe('backends', () => {
  // Guards against prefix caches that the picker never learns of, and against repeated snapshots.
  it('sends a prompt to the engine whose snapshot has its blocks', async () => {
    const { time, state, backends } = createWorld();
    void backends.start();
    await time.run(2_000);
    const picks = Array.from({ length: 20 }, () => backends.pick(REQUEST));
    expect(picks.every((pick) => pick.kind === 'ok' && pick.engineId === 'engine2')).toBe(true);
    expect(state.snapshots).toBe(5);
    backends.stop();
  });

  // Guards against new requests to a leaving server more than 3 s after the first sign, which may
  // be the host list, a load report or a refusal, and against a late report of the earlier state
  // that puts the server back into use.
  it('picks no leaving engine or server later than 3 s after any sign that it leaves', async () => {
    const { time, state, backends } = createWorld();
    void backends.start();
    await time.run(2_000);
    state.leaving.add('10.0.0.0:1');
    state.leaving.add('10.0.0.10:1');
    state.hosts = state.hosts.map((host) =>
      host.address === '10.0.0.1:1' || host.address === '10.0.0.11:1'
        ? { ...host, state: 'leaving' as const }
        : host,
    );
    await time.run(2_000 + 3_000);
    const refusedAt = asId<EngineId>('engine2');
    backends.onLeaving(refusedAt);
    for (let step = 0; step < 4; step += 1) {
      const engines = Array.from({ length: 50 }, () =>
        backends.pick({ ...REQUEST, blockKeys: [] }),
      );
      const ids = new Set(engines.map((pick) => (pick.kind === 'ok' ? pick.engineId : 'none')));
      expect([...ids].sort()).toEqual(['engine3', 'engine4']);
      const servers = Array.from({ length: 50 }, () => backends.servers.pick(PLAIN, new Set()));
      expect(new Set(servers)).toEqual(new Set(['10.0.0.12:1']));
      await time.run(5_000 + (step + 1) * 500);
    }
    backends.stop();
  });

  // Guards against a plain server that keeps its share of an operation's calls while it fails or is
  // slow on it, and against one that gets no calls again after it has recovered. An ejection applies
  // to one operation; the server still gets calls to its others.
  it.each([
    { name: 'fails', bad: { isSuccess: false, tookMs: 10 } },
    { name: 'is slow', bad: { isSuccess: true, tookMs: 2_000 } },
  ])('ejects a plain server that $name on one operation only, then probes it', async ({ bad }) => {
    const { time, backends } = createWorld(10);
    const { servers } = backends;
    const good = { isSuccess: true, tookMs: 50 };
    void backends.start();
    await time.run(1_100);
    for (let round = 0; round < 40; round += 1) {
      for (let index = 10; index < 20; index += 1) {
        const address = `10.0.0.${index}:1`;
        servers.onResult(PLAIN, address, 'book', index === 10 ? bad : good);
        servers.onResult(PLAIN, address, 'look', good);
      }
    }
    const picksOf = (operation: string): Set<string | undefined> =>
      new Set(Array.from({ length: 200 }, () => servers.pick(PLAIN, new Set(), operation)));
    expect(picksOf('book').has('10.0.0.10:1')).toBe(false);
    expect(picksOf('look').has('10.0.0.10:1')).toBe(true);
    for (let second = 10; second < 13; second += 1) {
      await time.run(second * 1_100);
      const picks = Array.from({ length: 50 }, () => servers.pick(PLAIN, new Set(), 'book'));
      expect(picks.filter((address) => address === '10.0.0.10:1')).toHaveLength(1);
      servers.onResult(PLAIN, '10.0.0.10:1', 'book', good);
    }
    expect(picksOf('book').has('10.0.0.10:1')).toBe(true);
    backends.stop();
  });

  // Guards against a service without capacity because a dependency of all its servers fails.
  it('ejects no plain server while more of them fail than may be ejected', async () => {
    const { time, backends } = createWorld(10);
    void backends.start();
    await time.run(1_100);
    for (let round = 0; round < 40; round += 1) {
      for (let index = 10; index < 20; index += 1) {
        const result = { isSuccess: index >= 14, tookMs: 50 };
        backends.servers.onResult(PLAIN, `10.0.0.${index}:1`, 'book', result);
      }
      await time.run(1_100 + (round + 1) * 500);
    }
    const picks = Array.from({ length: 300 }, () =>
      backends.servers.pick(PLAIN, new Set(), 'book'),
    );
    expect(new Set(picks).size).toBe(10);
    backends.stop();
  });

  // Guards against a limit that is rounded up, which would eject a third of a small service.
  it('ejects none of three plain servers at a limit of 30%, but uses a failing one less', async () => {
    const { time, backends } = createWorld(3);
    void backends.start();
    await time.run(1_100);
    for (let round = 0; round < 40; round += 1) {
      for (let index = 10; index < 13; index += 1) {
        const result = { isSuccess: index !== 10, tookMs: 50 };
        backends.servers.onResult(PLAIN, `10.0.0.${index}:1`, 'book', result);
      }
    }
    const picks = Array.from({ length: 600 }, () =>
      backends.servers.pick(PLAIN, new Set(), 'book'),
    );
    const failingPicks = picks.filter((address) => address === '10.0.0.10:1').length;
    expect(failingPicks).toBeGreaterThan(0);
    expect(failingPicks).toBeLessThan(picks.length / 6);
    backends.stop();
  });
});
