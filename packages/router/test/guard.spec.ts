import { describe, expect, it } from 'vitest';
import {
  loadHashFunctions,
  createLog,
  createMetrics,
  createSystemClock,
} from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { createSuspectGuard } from '../src/stream/guard';
import type { EngineId, FailureDomain, Fingerprint, RequestId } from '@mimosamill/core';
import type { SharedSuspectGuard, SuspectGuardDeps } from '../src/stream/guard';

const NAMES = ['r1', 'r2'];

/** Guards of two routers that reach each other directly, while gossip carries nothing. */
async function createGuards(): Promise<SharedSuspectGuard[]> {
  const { hash32 } = await loadHashFunctions();
  const guards = new Map<string, SharedSuspectGuard>();
  const members = NAMES.map((name) => ({
    routerId: asId<never>(name),
    address: name,
    peerAddress: name,
    region: asId<never>('amman'),
    failureDomain: asId<never>('marka'),
    state: 'alive' as const,
    incarnation: 1,
  }));
  const clientOf = (_name: string, address: string): unknown => ({
    report: {
      mutate: (items: never) =>
        guards.get(address)?.router.createCaller({ remoteAddress: '' }).report(items),
    },
  });
  NAMES.forEach((name, index) => {
    const peers = {
      self: () => members[index],
      members: () => members,
      pool: { client: clientOf },
      publish: () => undefined,
      onItem: () => undefined,
    } as unknown as SuspectGuardDeps['peers'];
    const guard = createSuspectGuard({
      clock: createSystemClock(),
      hash: hash32,
      peers,
      metrics: createMetrics(),
      log: createLog(name, 'error'),
      culpritExpiryMs: 600_000,
    });
    guards.set(name, guard);
  });
  return [...guards.values()];
}

describe('suspect guard', () => {
  // Guards against a resend that another router runs before gossip has told it of the death.
  it('tells the other routers of a death at once, without gossip', async () => {
    const [first, second] = await createGuards();
    const fingerprint = asId<Fingerprint>('f1');
    const engine = {
      engineId: asId<EngineId>('e1'),
      failureDomain: asId<FailureDomain>('marka'),
    } as Parameters<SharedSuspectGuard['onDeath']>[0];
    expect(second?.admit(fingerprint, asId<RequestId>('q2')).kind).toBe('run');
    first?.onDeath(engine, [{ fingerprint, requestId: asId<RequestId>('q1'), tokenCount: 3 }]);
    await new Promise(setImmediate);
    expect(second?.admit(fingerprint, asId<RequestId>('q3')).kind).toBe('wait');
  });
});
