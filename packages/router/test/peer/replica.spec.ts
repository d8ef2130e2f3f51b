import { createSystemClock } from '@mimosamill/adapters';
import { asAttemptNo, asId, toRequestId } from '@mimosamill/core';
import { afterEach, describe, expect, it } from 'vitest';
import { createReplicas, REPLICA_DEFAULTS } from '../../src/stream/replica';
import { hash32, startFleet, stopAll, stopTestRouter, waitUntil } from './nodes';
import type { ReplicaMetadata } from '@mimosamill/core';
import type { MembershipService } from '../../src/peer/membership';
import type { Replicas } from '../../src/stream/replica';
import type { TestRouter } from './nodes';

const START: ReplicaMetadata = {
  requestId: toRequestId('r0', 'one'),
  bodyHash: 'h',
  engineId: asId('e1'),
  engineAddress: '10.0.0.1:80',
  version: asId('v1'),
  attemptNo: asAttemptNo(1),
  takeoverCount: 0,
};

const replicasOf = new Map<MembershipService, Replicas>();

function mount(peers: MembershipService) {
  const clock = createSystemClock();
  const replicas = createReplicas(REPLICA_DEFAULTS, {
    membership: peers,
    pool: peers.pool,
    clock,
    hash: hash32,
  });
  replicasOf.set(peers, replicas);
  return { replica: replicas.router };
}

async function startReplicas(count: number): Promise<{ node: TestRouter; replicas: Replicas }[]> {
  const fleet = await startFleet(count, mount);
  await waitUntil(() => fleet.every(({ peers }) => peers.members().length === count));
  return fleet.map((node) => {
    const replicas = replicasOf.get(node.peers) as Replicas;
    replicas.start();
    return { node, replicas };
  });
}

afterEach(async () => {
  replicasOf.forEach((replicas) => replicas.stop());
  replicasOf.clear();
  await stopAll();
});

describe('replicas over the network', () => {
  // Guards against a stream that is lost with its router.
  it('let another router find the stream of a router that has crashed', async () => {
    const [first, , , last] = await startReplicas(4);
    if (first === undefined || last === undefined) throw new Error('no fleet');
    first.replicas.onStart(START);
    const texts = Array.from({ length: 40 }, (_, index) => ` täg${index}`);
    texts.forEach((text, index) => first.replicas.onToken(START.requestId, index, text));
    await waitUntil(() => [...replicasOf.values()].some((replicas) => replicas.sizes().held === 1));
    first.replicas.stop();
    await stopTestRouter(first.node);
    const outcome = await last.replicas.find(START.requestId);
    if (outcome.kind !== 'found') throw new Error('the replica was not found');
    expect(outcome.replica).toEqual({ origin: 'r0', metadata: START, texts, reason: undefined });
    expect((await last.replicas.takeOver(outcome.replica)).texts).toEqual(texts);
    expect((await last.replicas.find(toRequestId('r0', 'two'))).kind).toBe('absent');
  });

  // Guards against two routers that both go on with a stream.
  it('make the earlier router give up a stream when another one takes it over', async () => {
    const [first, , , last] = await startReplicas(4);
    if (first === undefined || last === undefined) throw new Error('no fleet');
    const released: string[] = [];
    first.replicas.onRelease((requestId) => released.push(requestId));
    first.replicas.onStart(START);
    first.replicas.onToken(START.requestId, 0, 'a');
    await waitUntil(() => [...replicasOf.values()].some((replicas) => replicas.sizes().held === 1));
    const outcome = await last.replicas.find(START.requestId);
    if (outcome.kind !== 'found') throw new Error('the replica was not found');
    first.replicas.onToken(START.requestId, 1, 'b');
    const taken = await last.replicas.takeOver(outcome.replica);
    expect(taken.texts).toEqual(['a', 'b']);
    expect(released).toEqual([START.requestId]);
  });
});
