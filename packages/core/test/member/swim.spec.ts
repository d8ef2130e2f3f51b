import { loadHashFunctions } from '@mimosamill/adapters';
import { createRandom } from '@mimosamill/fakes';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createNetwork } from './simulated-network';
import type { NetworkFaults, Network, NodeSpec, Pause } from './simulated-network';

const { hash32 } = await loadHashFunctions();
const NO_FAULTS: NetworkFaults = { untilMs: 0, lossRatio: 0, duplicateRatio: 0, maxDelayMs: 0 };
const FAULTS_UNTIL_MS = 60_000;
const SETTLED_MS = 180_000;

function createSpecs(count: number, regions = 1): NodeSpec[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `r${String(index).padStart(2, '0')}`,
    region: `region${index % regions}`,
    failureDomain: `region${index % regions}-${index % 2}`,
  }));
}

function statesOf(network: Network): string[] {
  return [...new Set(network.states().map((line) => line.split(' ')[2] ?? ''))].sort();
}

const faultsArbitrary = fc.record({
  untilMs: fc.constant(FAULTS_UNTIL_MS),
  lossRatio: fc.double({ min: 0, max: 0.4, noNaN: true }),
  duplicateRatio: fc.double({ min: 0, max: 0.4, noNaN: true }),
  // Long enough for a message to arrive after the death and return of its sender.
  maxDelayMs: fc.constantFrom(0, 50, 2_000, 20_000),
});

const pausesArbitrary = fc.array(
  fc.record({
    node: fc.integer({ min: 0, max: 7 }),
    fromMs: fc.integer({ min: 5_000, max: 40_000 }),
    forMs: fc.integer({ min: 100, max: 20_000 }),
  }),
  { maxLength: 4 },
);

describe('membership', () => {
  // Guards against a live member that stays dead, and against views that never agree.
  it('agrees that every live member is alive after loss, reordering, copies and pauses', () => {
    const property = fc.property(
      fc.integer(),
      faultsArbitrary,
      pausesArbitrary,
      fc.integer({ min: 3, max: 8 }),
      (seed, faults, pauses, count) => {
        const specs = createSpecs(count);
        const own: Pause[] = pauses.filter(({ node }) => node < count);
        const network = createNetwork(specs, faults, own, hash32, createRandom(seed));
        network.run(SETTLED_MS);
        expect(network.states().length).toBe(count * (count - 1));
        expect(statesOf(network)).toEqual(['alive']);
        expect(network.maxUpdates()).toBeLessThanOrEqual(8);
      },
    );
    fc.assert(property, { seed: 11, numRuns: 60 });
  });

  // Guards against two members that ignore each other's messages because each is dead to the other.
  it('lets two parts that think each other dead find together again', () => {
    const network = createNetwork(createSpecs(6), NO_FAULTS, [], hash32, createRandom(4));
    network.run(20_000);
    network.partition((from, to) => from.failureDomain !== to.failureDomain);
    network.run(60_000);
    expect(statesOf(network)).toEqual(['alive', 'dead']);
    network.partition(() => false);
    network.run(120_000);
    expect(statesOf(network)).toEqual(['alive']);
  });

  // Guards against a killed member that messages still under way bring back to life.
  it('agrees on the death of a killed member and on the return of a restarted one', () => {
    const property = fc.property(fc.integer(), faultsArbitrary, (seed, faults) => {
      const network = createNetwork(createSpecs(6), faults, [], hash32, createRandom(seed));
      network.run(20_000);
      network.kill(2);
      network.kill(3);
      network.run(30_000);
      network.restart(3);
      network.run(SETTLED_MS);
      const found = network.states().filter((line) => line.includes(' r02 '));
      // Whoever has ever seen the member must know of its death; a node that has not may never
      // hear of it, because a death is news only to those who know the member.
      const required = ['r00', 'r01', 'r04', 'r05']
        .filter((observer) => network.log.some((line) => line.includes(`: ${observer} sees r02 `)))
        .map((observer) => `${observer} r02 dead`);
      expect(found.filter((line) => !line.startsWith('r03'))).toEqual(
        expect.arrayContaining(required),
      );
      expect(found.every((line) => line.endsWith('dead'))).toBe(true);
      const others = network.states().filter((line) => !line.includes(' r02 '));
      expect(new Set(others.map((line) => line.split(' ')[2]))).toEqual(new Set(['alive']));
      expect(others.length).toBe(20);
    });
    fc.assert(property, { seed: 12, numRuns: 40 });
  });

  // Guards against an old life of a router that undoes what its new life has announced.
  it('never goes back to a lower incarnation', () => {
    const property = fc.property(
      fc.integer(),
      faultsArbitrary,
      pausesArbitrary,
      (seed, faults, pauses) => {
        const network = createNetwork(createSpecs(8), faults, pauses, hash32, createRandom(seed));
        const highest = new Map<string, number>();
        for (let nowMs = 1_000; nowMs <= FAULTS_UNTIL_MS; nowMs += 1_000) {
          if (nowMs === 15_000) network.kill(5);
          if (nowMs === 25_000) network.restart(5);
          network.run(nowMs);
          for (let node = 0; node < 8; node += 1) {
            // The restarted node begins with an empty view.
            const observer = `${node} ${node === 5 && nowMs >= 25_000 ? 2 : 1}`;
            [...network.swim(node).entries()].forEach(({ update }) => {
              const key = `${observer} ${update.routerId}`;
              expect(update.incarnation).toBeGreaterThanOrEqual(highest.get(key) ?? 0);
              highest.set(key, update.incarnation);
            });
          }
        }
      },
    );
    fc.assert(property, { seed: 13, numRuns: 30 });
  });

  // Guards against counting a whole region as dead, and against a storm when it returns.
  it('marks a separated region unreachable for an hour and takes it back at once', () => {
    const specs = createSpecs(12, 2);
    const network = createNetwork(specs, NO_FAULTS, [], hash32, createRandom(3));
    network.run(60_000);
    network.partition((from, to) => from.region !== to.region);
    network.run(180_000);
    expect(statesOf(network)).toEqual(['alive', 'unreachable']);
    const sentBefore = network.sentCount();
    network.run(3_600_000);
    const sentPerNodePerSec = (network.sentCount() - sentBefore) / 3_420 / specs.length;
    // A probe and its answer each second, and some slack for reconnects and anti-entropy.
    expect(sentPerNodePerSec).toBeLessThan(3);
    expect(network.log.filter((line) => line.endsWith('dead'))).toEqual([]);
    network.partition(() => false);
    const sentAtReturn = network.sentCount();
    network.run(3_660_000);
    expect(statesOf(network)).toEqual(['alive']);
    expect((network.sentCount() - sentAtReturn) / 60 / specs.length).toBeLessThan(4);
  });

  // Guards against a planned stop that is taken for a failure.
  it('shows a leaving member as leaving, then as dead without a suspicion', () => {
    const network = createNetwork(createSpecs(5), NO_FAULTS, [], hash32, createRandom(5));
    network.run(30_000);
    network.swim(1).onEvent({ kind: 'leave' }, 30_000);
    network.run(45_000);
    const seen = network.states().filter((line) => line.includes(' r01 '));
    expect(new Set(seen.map((line) => line.split(' ')[2]))).toEqual(new Set(['leaving']));
    expect(network.log.filter((line) => line.endsWith('suspect'))).toEqual([]);
  });

  // Guards against unintended changes of the protocol: one kill, one pause, one restart.
  it('keeps the recorded session', () => {
    const pauses = [{ node: 1, fromMs: 40_000, forMs: 12_000 }];
    const network = createNetwork(createSpecs(4), NO_FAULTS, pauses, hash32, createRandom(1));
    network.run(20_000);
    network.kill(3);
    network.run(70_000);
    network.restart(3);
    network.run(90_000);
    expect(network.log).toMatchSnapshot();
  });
});
