import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createFeedCluster } from './feed-cluster';
import type { FeedCluster } from './feed-cluster';

const NODES = 6;
/** Guarantee 9: an accepted revision is in force everywhere within 8 s. */
const IN_FORCE_MS = 8_000;

function revisions(world: FeedCluster): number[] {
  return world.nodes().map(({ feed }) => feed.revision());
}

function allAt(revision: number): number[] {
  return Array.from({ length: NODES }, () => revision);
}

type Step =
  | { readonly kind: 'change' | 'store_down' | 'store_up' }
  | { readonly kind: 'restart' | 'pause'; readonly node: number }
  | { readonly kind: 'wait'; readonly ms: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.constant({ kind: 'change' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'store_down' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'store_up' as const }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('restart' as const, 'pause' as const),
      node: fc.integer({ min: 0, max: NODES - 1 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({ min: 1, max: 3_000 }),
    }),
  },
);

async function perform(world: FeedCluster, step: Step): Promise<void> {
  switch (step.kind) {
    case 'change':
      await world.commitChange();
      return;
    case 'store_down':
      world.setFaults({ isDown: true });
      return;
    case 'store_up':
      world.setFaults({});
      return;
    case 'restart':
      world.start(step.node);
      return;
    case 'pause':
      world.node(step.node).process.pause(2_500);
      return;
    default:
      await world.run(step.ms);
  }
}

describe('configuration feed', () => {
  // Guards against a revert, a skipped change or a router that stays behind after any mixture of
  // outages, pauses, restarts and lost messages.
  it('only moves forward and reaches every accepted revision', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 10, maxLength: 30, size: 'max' }),
        fc.integer(),
        async (steps, seed) => {
          const world = createFeedCluster(NODES, seed);
          world.setLossRatio(0.5);
          await world.run(1_000);
          for (const step of steps) await perform(world, step);
          world.setFaults({});
          world.setLossRatio(0);
          await world.run(IN_FORCE_MS);
          expect(revisions(world)).toEqual(allAt(world.acceptedRevision()));
          const stored = await world.store.readConfig();
          world.nodes().forEach(({ feed, appliedRevisions }) => {
            expect(appliedRevisions).toEqual([...appliedRevisions].sort((a, b) => a - b));
            expect({ kind: 'ok', config: feed.current() }).toEqual(stored);
          });
        },
      ),
      { seed: 3, numRuns: 100 },
    );
  });

  // Guards against a store polled by every router (680 reads/s at full size instead of 36).
  it('lets two routers per failure domain poll the store', async () => {
    const world = createFeedCluster(NODES, 1);
    await world.run(2_000);
    const reads = await countHeadReads(world, 10_000);
    expect(reads).toBeLessThanOrEqual(2 * 2 * 20 + 4);
  });

  // Guards against an accepted revision that waits for the end of an outage which began before
  // any reader had polled it.
  it('spreads an announced revision while the store is down', async () => {
    const world = createFeedCluster(NODES, 1);
    await world.run(1_000);
    await world.commitChange();
    const tail = await world.store.readRevisionsAfter(0 as never);
    world.setFaults({ isDown: true });
    const accepted = tail.kind === 'ok' ? tail.revisions : [];
    const { feed, member } = world.node(3);
    feed.handler.announce({ from: member.peerAddress, revision: 1 as never, revisions: accepted });
    // Less than the period of the messages by which routers would hear of it from each other.
    await world.run(100);
    expect(revisions(world)).toEqual(allAt(1));
  });

  // Guards against a router that serves an old configuration after a pause in which it was taken
  // for dead, until a membership message reaches it.
  it('catches up by itself after a pause', async () => {
    for (let index = 0; index < NODES; index += 1) {
      const world = createFeedCluster(NODES, index);
      await world.run(1_000);
      world.isolate(index);
      world.node(index).process.pause(2_500);
      await world.commitChange();
      await world.run(2_900);
      expect(world.node(index).feed.revision()).toBe(1);
    }
  });

  // Guards against a router that serves without configuration, or can't start in an outage.
  it('starts from peers while the store is down, and says why it is not ready', async () => {
    const world = createFeedCluster(NODES, 1);
    await world.run(1_000);
    for (let i = 0; i < 8; i += 1) await world.commitChange();
    await world.run(2_000);
    world.setFaults({ isDown: true });
    world.start(2);
    expect(world.node(2).feed.notReadyReason()).toBe('the configuration has not been read yet');
    await world.run(2_000);
    expect(revisions(world)).toEqual(allAt(8));
    expect(world.node(2).feed.notReadyReason()).toBeUndefined();

    world.setLossRatio(1);
    world.start(2);
    await world.run(5_000);
    expect(world.node(2).feed.current()).toBeUndefined();
    expect(world.node(2).feed.notReadyReason()).toContain('the store is unavailable (outage)');
  });
});

async function countHeadReads(world: FeedCluster, forMs: number): Promise<number> {
  const before = world.tableReads();
  await world.run(forMs);
  return world.tableReads() - before;
}
