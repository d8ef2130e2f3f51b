import { loadHashFunctions } from '@mimosamill/adapters';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  asAttemptNo,
  asId,
  createReplicaHolder,
  createReplicaSender,
  REPLICA_HOLDER_DEFAULTS,
  placementKey,
  planReplicaLookup,
  REPLICA_SENDER_DEFAULTS,
  toRequestId,
} from '../src/index';
import type { ReplicaHolder, ReplicaPeer, ReplicaSender, ReplicaMetadata, RequestId } from '../src';

const { hash32 } = await loadHashFunctions();

function createPeer(name: string, failureDomain: string): ReplicaPeer {
  return {
    routerId: asId(name),
    peerAddress: name,
    region: asId('north'),
    failureDomain: asId(failureDomain),
  };
}

const SELF = createPeer('self', 'a');
const PEERS = [createPeer('p1', 'b'), createPeer('p2', 'b'), createPeer('p3', 'c')];

function createStart(requestId: RequestId, takeoverCount = 0): ReplicaMetadata {
  return {
    requestId,
    bodyHash: 'h',
    engineId: asId('e1'),
    engineAddress: '10.0.0.1:80',
    version: asId('v1'),
    attemptNo: asAttemptNo(1),
    takeoverCount,
  };
}

function createSender(self = SELF, maxBatchBytes = 200): ReplicaSender {
  const sender = createReplicaSender({
    ...REPLICA_SENDER_DEFAULTS,
    self,
    incarnation: 1,
    hash: hash32,
    maxBatchBytes,
  });
  sender.onPeers([SELF, ...PEERS]);
  return sender;
}

/** Outcome of a flush: delivered, lost before or after the holder applied it, holder restarted. */
const fateArbitrary = fc.constantFrom('ok', 'ok', 'ok', 'lost', 'answer lost', 'restart');

function deliver(
  sender: ReplicaSender,
  byPeer: Map<string, ReplicaHolder>,
  fate: string,
  nowMs: number,
): void {
  sender.flush(nowMs).forEach(({ holder: peer, batch }) => {
    if (fate === 'restart') byPeer.set(peer.routerId, createReplicaHolder(REPLICA_HOLDER_DEFAULTS));
    if (fate === 'lost') {
      sender.onFailure(peer.routerId, nowMs);
      return;
    }
    const answer = byPeer.get(peer.routerId)?.onBatch(batch, nowMs);
    if (fate === 'answer lost' || answer === undefined) sender.onFailure(peer.routerId, nowMs);
    else sender.onAnswer(peer.routerId, answer, nowMs);
  });
}

function createHolders(maxBytes = REPLICA_HOLDER_DEFAULTS.maxBytes): Map<string, ReplicaHolder> {
  return new Map(
    PEERS.map(({ routerId }) => [
      routerId,
      createReplicaHolder({ ...REPLICA_HOLDER_DEFAULTS, maxBytes }),
    ]),
  );
}

describe('journal replicas', () => {
  // Guards against a replica with a gap or a wrong token after lost messages and changes of holder.
  it('are always a prefix of the journal, and whole once the network works again', () => {
    const property = fc.property(
      fc.array(fc.tuple(fc.nat({ max: 5 }), fateArbitrary), { maxLength: 60 }),
      fc.integer({ min: 1, max: 5 }),
      (steps, streamCount) => {
        const sender = createSender();
        const holders = createHolders();
        const ids = Array.from({ length: streamCount }, (_, n) => toRequestId('self', `${n}`));
        const texts = new Map<RequestId, string[]>(ids.map((id) => [id, []]));
        ids.forEach((id) => sender.onStart(createStart(id), []));
        let nowMs = 0;
        const check = (): void => {
          holders.forEach((holder) => {
            ids.forEach((id) => {
              const held = holder.find(id)?.texts ?? [];
              expect(held).toEqual(texts.get(id)?.slice(0, held.length));
            });
          });
        };
        steps.forEach(([count, fate]) => {
          ids.forEach((id) => {
            for (let n = 0; n < count; n += 1) {
              const known = texts.get(id) ?? [];
              sender.onToken(id, known.length, ` t${known.length}`);
              known.push(` t${known.length}`);
            }
          });
          nowMs += 100;
          deliver(sender, holders, fate, nowMs);
          check();
        });
        for (let n = 0; n < 200; n += 1) {
          nowMs += 100;
          deliver(sender, holders, 'ok', nowMs);
        }
        ids.forEach((id) => {
          const lengths = [...holders.values()].map((holder) => holder.find(id)?.texts.length ?? 0);
          expect(Math.max(...lengths)).toBe(texts.get(id)?.length);
        });
      },
    );
    fc.assert(property, { seed: 31, numRuns: 200 });
  });

  // Guards against streams without a replica after every peer has failed once, for example one peer
  // that died and another that missed a deadline on an overloaded machine.
  it('are sent to the peer that failed longest ago when all have failed', () => {
    const sender = createSender();
    sender.onStart(createStart(toRequestId('self', '1')), ['a']);
    const tried = PEERS.map((_, step) => {
      const [outgoing] = sender.flush(step);
      const holder = outgoing?.holder.routerId;
      if (holder !== undefined) sender.onFailure(holder, step);
      return holder;
    });
    expect(new Set(tried).size).toBe(PEERS.length);
    expect(sender.flush(PEERS.length)[0]?.holder.routerId).toBe(tried[0]);
  });

  // Guards against a holder whose memory grows with the load, or that never drops ended streams.
  it('stay within the memory of the holder and expire a reconnect window after the end', () => {
    const sender = createSender(SELF, 16_384);
    const holders = createHolders(20_000);
    const ids = Array.from({ length: 100 }, (_, n) => toRequestId('self', `${n}`));
    ids.forEach((id) => sender.onStart(createStart(id), ['one', 'two']));
    deliver(sender, holders, 'ok', 100);
    const busy = [...holders.values()].find((holder) => holder.size() > 0) as ReplicaHolder;
    expect(busy.sizeBytes()).toBeLessThanOrEqual(20_000 + 1_024);
    expect(busy.size()).toBeGreaterThan(10);
    ids.forEach((id) => sender.onEnd(id, 'stop'));
    for (let nowMs = 200; nowMs < 20_000; nowMs += 100) deliver(sender, holders, 'ok', nowMs);
    expect(sender.size()).toBe(0);
    const kept = ids.filter((id) => busy.find(id)?.reason === 'stop');
    expect(kept.length).toBeGreaterThan(10);
    busy.expire(20_000 + REPLICA_HOLDER_DEFAULTS.reconnectWindowMs);
    expect(busy.size()).toBe(0);
    expect(busy.sizeBytes()).toBe(0);
  });

  // Guards against output that joins tokens of a paused router to those of its successor.
  it('prefer the latest takeover and report it to the earlier router', () => {
    const id = toRequestId('self', '1');
    const holder = createReplicaHolder(REPLICA_HOLDER_DEFAULTS);
    const before = createSender();
    before.onStart(createStart(id), ['a', 'b', 'late', 'tokens']);
    const after = createSender(createPeer('other', 'a'));
    after.onStart(createStart(id, 1), ['a', 'b', 'c']);
    const [first] = before.flush(0);
    const [second] = after.flush(0);
    if (first === undefined || second === undefined) throw new Error('nothing was sent');
    expect(holder.onBatch(first.batch, 0).superseded).toEqual([]);
    holder.onBatch(second.batch, 0);
    expect(holder.find(id)?.texts).toEqual(['a', 'b', 'c']);
    const answer = holder.onBatch(first.batch, 10);
    expect(before.onAnswer(first.holder.routerId, answer, 10)).toEqual([id]);
    expect(before.size()).toBe(0);
  });

  // Guards against a lookup that does not ask the holder, or asks every router of the region.
  it('are looked up at likely holders of each failure domain first, then at a limited rest', () => {
    const peers = Array.from({ length: 120 }, (_, n) => createPeer(`r${n}`, `d${n % 3}`));
    const groups = planReplicaLookup('label', asId('north'), peers, hash32);
    expect(groups[0]?.length).toBe(9);
    expect(groups.flat().length).toBe(9 + 32);
    expect(new Set(groups.flat().map(({ routerId }) => routerId)).size).toBe(9 + 32);
    expect(placementKey(asId('label.1'))).toBe('label');
    expect(placementKey(asId('plain'))).toBe('plain');
  });
});
