import { createSystemClock } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { afterEach, describe, expect, it } from 'vitest';
import { createLoadDigests } from '../../src/peer/digest';
import { hash32, startFleet, stopAll, waitUntil } from './nodes';
import type { EngineId, EngineReport } from '@mimosamill/core';
import type { LoadDigests } from '../../src/peer/digest';
import type { MembershipService } from '../../src/peer/membership';

const ENGINES = Array.from({ length: 6 }, (_, n) => ({
  engineId: asId<EngineId>(`e${n}`),
  region: asId<never>('north'),
}));

const all: LoadDigests[] = [];
let reads = 0;

function readLoad(engineId: EngineId): Promise<EngineReport> {
  reads += 1;
  return Promise.resolve({
    state: 'live',
    role: 'mixed',
    running: Number(engineId.slice(1)),
    queued: 0,
    maxRunning: 8,
    stepMs: 20,
    cacheUsedRatio: 0,
    loaded: [{ model: 'm', version: 'v1', adapters: [] }],
    reportAgeMs: 0,
  });
}

function mount(peers: MembershipService) {
  const digests = createLoadDigests({
    membership: peers,
    pool: peers.pool,
    clock: createSystemClock(),
    hash: hash32,
    random: Math.random,
    engines: () => ENGINES,
    readLoad,
  });
  all.push(digests);
  return { digest: digests.router };
}

afterEach(async () => {
  all.splice(0).forEach((digests) => digests.stop());
  await stopAll();
});

describe('load digests over the network', () => {
  // Guards against a router that reads all engines itself, or that never hears of some.
  it('bring every engine to every router with two readers an engine', async () => {
    const fleet = await startFleet(5, mount);
    await waitUntil(() => fleet.every(({ peers }) => peers.members().length === 5));
    reads = 0;
    const startedMs = Date.now();
    all.forEach((digests) => digests.start());
    await waitUntil(() => all.every((digests) => digests.loads().size === ENGINES.length));
    const running = all.map((digests) =>
      ENGINES.map(({ engineId }) => digests.loads().get(engineId)?.running),
    );
    running.forEach((seen) => expect(seen).toEqual([0, 1, 2, 3, 4, 5]));
    const rounds = (Date.now() - startedMs) / 900 + 1;
    expect(reads).toBeLessThanOrEqual(2 * ENGINES.length * rounds);
  });
});
