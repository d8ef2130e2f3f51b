import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createFeedCluster } from './feed-cluster';
import type { FeedCluster } from './feed-cluster';

const ROUTER_COUNT = 6;
/** Guarantee 9: an accepted revision is in force everywhere within 8 s. */
const IN_FORCE_MS = 8_000;

function revisions(cluster: FeedCluster): number[] {
  return cluster.nodes().map(({ feed }) => feed.revision());
}

function allAt(revision: number): number[] {
  return Array.from({ length: ROUTER_COUNT }, () => revision);
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
      node: fc.integer({ min: 0, max: ROUTER_COUNT - 1 }),
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

async function performStep(cluster: FeedCluster, step: Step): Promise<void> {
  switch (step.kind) {
    case 'change':
      await cluster.commitChange();
      return;
    case 'store_down':
      cluster.setFaults({ isDown: true });
      return;
    case 'store_up':
      cluster.setFaults({});
      return;
    case 'restart':
      cluster.start(step.node);
      return;
    case 'pause':
      cluster.node(step.node).process.pause(2_500);
      return;
    default:
      await cluster.run(step.ms);
  }
}

describe('configuration feed', () => {
  // Guards against a router that reverts to an older revision, skips a change or stays behind after
  // some sequence of store outages, pauses, restarts and lost messages.
  it('applies revisions in order on every router and reaches the last accepted one', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 10, maxLength: 30, size: 'max' }),
        fc.integer(),
        async (steps, seed) => {
          const cluster = createFeedCluster(ROUTER_COUNT, seed);
          cluster.setLossRatio(0.5);
          await cluster.run(1_000);
          for (const step of steps) await performStep(cluster, step);
          cluster.setFaults({});
          cluster.setLossRatio(0);
          await cluster.run(IN_FORCE_MS);
          expect(revisions(cluster)).toEqual(allAt(cluster.acceptedRevision()));
          const stored = await cluster.store.readConfig();
          cluster.nodes().forEach(({ feed, appliedRevisions }) => {
            expect(appliedRevisions).toEqual([...appliedRevisions].sort((a, b) => a - b));
            expect({ kind: 'ok', config: feed.current() }).toEqual(stored);
          });
        },
      ),
      { seed: 3, numRuns: 100 },
    );
  });

  // Guards against every router polling the store, which at full size causes 680 reads/s, not 36.
  it('lets two routers per failure domain poll the store', async () => {
    const cluster = createFeedCluster(ROUTER_COUNT, 1);
    await cluster.run(2_000);
    const reads = await countHeadReads(cluster, 10_000);
    expect(reads).toBeLessThanOrEqual(2 * 2 * 20 + 4);
  });

  // Guards against a store outage that begins before a store reader has polled an accepted revision,
  // so that the revision takes effect only after the outage.
  it('pushes an announced revision to all routers while the store is down', async () => {
    const cluster = createFeedCluster(ROUTER_COUNT, 1);
    await cluster.run(1_000);
    await cluster.commitChange();
    const stored = await cluster.store.readRevisionsAfter(0 as never);
    cluster.setFaults({ isDown: true });
    const acceptedRevisions = stored.kind === 'ok' ? stored.revisions : [];
    const { feed, member } = cluster.node(3);
    feed.handler.announce({
      from: member.peerAddress,
      revision: 1 as never,
      revisions: acceptedRevisions,
    });
    // Shorter than the interval of the membership messages that would also carry the revision.
    await cluster.run(100);
    expect(revisions(cluster)).toEqual(allAt(1));
  });

  // Guards against a router that other routers took for dead during a pause, and that then serves an
  // old configuration until a membership message reaches it.
  it('pulls missed revisions by itself after a pause', async () => {
    for (let index = 0; index < ROUTER_COUNT; index += 1) {
      const cluster = createFeedCluster(ROUTER_COUNT, index);
      await cluster.run(1_000);
      cluster.isolate(index);
      cluster.node(index).process.pause(2_500);
      await cluster.commitChange();
      await cluster.run(2_900);
      expect(cluster.node(index).feed.revision()).toBe(1);
    }
  });

  // Guards against a router that cannot start during a store outage although its peers have the
  // configuration, and against one that reports itself ready without any.
  it('bootstraps from peers while the store is down, and reports why it is not ready', async () => {
    const cluster = createFeedCluster(ROUTER_COUNT, 1);
    await cluster.run(1_000);
    for (let i = 0; i < 8; i += 1) await cluster.commitChange();
    await cluster.run(2_000);
    cluster.setFaults({ isDown: true });
    cluster.start(2);
    expect(cluster.node(2).feed.notReadyReason()).toBe('the configuration has not been read yet');
    await cluster.run(2_000);
    expect(revisions(cluster)).toEqual(allAt(8));
    expect(cluster.node(2).feed.notReadyReason()).toBeUndefined();

    cluster.setLossRatio(1);
    cluster.start(2);
    await cluster.run(5_000);
    expect(cluster.node(2).feed.current()).toBeUndefined();
    expect(cluster.node(2).feed.notReadyReason()).toContain('the store is unavailable (outage)');
  });
});

async function countHeadReads(cluster: FeedCluster, durationMs: number): Promise<number> {
  const readsBefore = cluster.tableReads();
  await cluster.run(durationMs);
  return cluster.tableReads() - readsBefore;
}
