import { loadHashFunctions } from '@mimosamill/adapters';
import { createRandom } from '@mimosamill/fakes';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createGossip, itemSizeBytes } from '../../src/index';
import type { Gossip, GossipItem } from '../../src/index';

const { hash32 } = await loadHashFunctions();

const itemArbitrary: fc.Arbitrary<GossipItem> = fc.record({
  kind: fc.constantFrom('withdrawal', 'culprit', 'death'),
  key: fc.constantFrom('k1', 'k2', 'k3', 'k4', 'k5', 'k6', 'k7', 'k8'),
  payload: fc.string({ maxLength: 8 }),
  expiresAtMs: fc.integer({ min: 500, max: 2_000 }),
});

function create(maxItems = 1_024): Gossip {
  return createGossip({ maxItems, maxItemBytes: 256, sendLimit: () => 3, hash: hash32 });
}

function exchange(from: Gossip, to: Gossip, nowMs: number): void {
  to.add(from.missing(to.buckets(nowMs), 8, nowMs), nowMs);
  from.add(to.missing(from.buckets(nowMs), 8, nowMs), nowMs);
}

function sorted(items: readonly GossipItem[]): string[] {
  return items.map((item) => JSON.stringify(item)).sort();
}

describe('gossip', () => {
  // Guards against items that a separated node never gets, and against sets that differ for ever.
  it('makes full or conflicting sets equal by anti-entropy alone', () => {
    const property = fc.property(
      fc.array(fc.array(itemArbitrary, { maxLength: 12 }), { minLength: 3, maxLength: 3 }),
      fc.integer({ min: 4, max: 30 }),
      fc.integer(),
      (given, maxItems, seed) => {
        const random = createRandom(seed);
        const nodes = given.map((items) => {
          const gossip = create(maxItems);
          gossip.add(items, 0);
          return gossip;
        });
        for (let round = 0; round < 60; round += 1) {
          const from = nodes[Math.floor(random() * 3)] as Gossip;
          const to = nodes[Math.floor(random() * 3)] as Gossip;
          if (from !== to) exchange(from, to, 100);
        }
        const [first, second, third] = nodes.map((gossip) => sorted(gossip.items(100)));
        expect(second).toEqual(first);
        expect(third).toEqual(first);
        expect(first?.length).toBeLessThanOrEqual(maxItems);
      },
    );
    fc.assert(property, { seed: 21, numRuns: 200 });
  });

  // Guards against an old message that revives an item after its expiry.
  it('keeps an item until its expiry and takes it in no more afterwards', () => {
    const gossip = create();
    const item = { kind: 'culprit', key: 'f', payload: '', expiresAtMs: 1_000 };
    expect(gossip.add([item], 0)).toEqual([item]);
    expect(gossip.add([item], 10)).toEqual([]);
    expect(gossip.items(999)).toEqual([item]);
    expect(gossip.items(1_000)).toEqual([]);
    expect(gossip.add([item], 1_001)).toEqual([]);
  });

  // Guards against messages above 1 KB and against items that are repeated without end.
  it('sends each item a bounded number of times and stays within the room given', () => {
    const property = fc.property(
      fc.array(itemArbitrary, { maxLength: 30 }),
      fc.integer({ min: 0, max: 400 }),
      (items, roomBytes) => {
        const gossip = create();
        gossip.add(items, 0);
        let sends = 0;
        for (let round = 0; round < 200; round += 1) {
          const taken = gossip.take(roomBytes, 0);
          expect(taken.reduce((sum, item) => sum + itemSizeBytes(item), 0)).toBeLessThanOrEqual(
            roomBytes,
          );
          sends += taken.length;
        }
        expect(sends).toBeLessThanOrEqual(3 * gossip.items(0).length);
      },
    );
    fc.assert(property, { seed: 22, numRuns: 100 });
  });
});
