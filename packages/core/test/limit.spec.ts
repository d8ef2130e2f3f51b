import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  createQuotaAllocator,
  createAllocatorAssignment,
  createFairQueue,
  createAdmissionController,
  createQuotaShare,
  QUOTA_LEASE_MS,
  QUOTA_DIMENSIONS,
} from '../src/index';
import type { Quota, FairQueue, AdmissionSettings, QueuedRequest } from '../src/index';

const POOL: Quota = { requestsPerSec: 50, tokensPerSec: 20_000, streams: 40 };
const EPSILON = 1e-6;

const claimArbitrary = fc.record({
  holder: fc.integer({ min: 0, max: 9 }),
  wanted: fc.record({
    requestsPerSec: fc.double({ min: 0, max: 100, noNaN: true }),
    tokensPerSec: fc.double({ min: 0, max: 50_000, noNaN: true }),
    streams: fc.integer({ min: 0, max: 60 }),
  }),
  waitMs: fc.integer({ min: 0, max: 3_000 }),
});

describe('allocator', () => {
  // Guards against leases that together exceed the limit, in any order of claims and expiries.
  it('never has more granted than the pool', () => {
    fc.assert(
      fc.property(fc.array(claimArbitrary, { maxLength: 150 }), (claims) => {
        const allocator = createQuotaAllocator();
        const inForce = new Map<number, { amounts: Quota; untilMs: number }>();
        let nowMs = 0;
        claims.forEach(({ holder, wanted, waitMs }) => {
          nowMs += waitMs;
          const known = inForce.get(holder);
          const streamsInUse = known !== undefined && known.untilMs > nowMs ? 1 : 0;
          const answer = allocator.request(
            { scope: 'c', holder: `h${holder}`, wanted, streamsInUse },
            POOL,
            nowMs,
          );
          if (answer.kind !== 'granted') throw new Error(answer.kind);
          inForce.set(holder, { amounts: answer.quota, untilMs: nowMs + answer.leaseMs });
          QUOTA_DIMENSIONS.forEach((meter) => {
            const sum = [...inForce.values()]
              .filter(({ untilMs }) => untilMs > nowMs)
              .reduce((total, { amounts }) => total + amounts[meter], 0);
            expect(sum).toBeLessThanOrEqual(POOL[meter] + EPSILON);
          });
        });
      }),
      { seed: 2, numRuns: 300 },
    );
  });

  // Guards against two allocators that grant the same limit while the first one's leases still run.
  it('holds off a host for a lease after another one was responsible', () => {
    const hash = (text: string): number => text.length * 7_919 + (text.codePointAt(1) ?? 0);
    const duty = createAllocatorAssignment(hash, 0);
    duty.setHosts(['h1', 'h2', 'h3'], 1_000);
    const first = duty.allocatorOf('c') ?? '';
    expect(duty.earlierLeasesEndMs('c', first, 1_500)).toBe(1_000 + QUOTA_LEASE_MS);
    expect(duty.earlierLeasesEndMs('c', first, 9_000)).toBeLessThanOrEqual(9_000);
    const rest = ['h1', 'h2', 'h3'].filter((host) => host !== first);
    duty.setHosts(rest, 10_000);
    const second = duty.allocatorOf('c') ?? '';
    expect(second).not.toBe(first);
    expect(duty.earlierLeasesEndMs('c', second, 10_500)).toBe(10_000 + QUOTA_LEASE_MS);
  });
});

describe('share', () => {
  // Guards against a holder that admits more than its lease, base and one request allow.
  it('admits at most its rate plus the stated burst', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 120 }), { minLength: 1, maxLength: 400 }),
        fc.double({ min: 0, max: 20, noNaN: true }),
        (gaps, rate) => {
          const share = createQuotaShare(POOL, 10, 0, 0.5);
          let nowMs = 0;
          let admitted = 0;
          gaps.forEach((gapMs) => {
            nowMs += gapMs;
            const claim = share.dueClaim(nowMs);
            if (claim !== undefined) {
              const amounts = { requestsPerSec: rate, tokensPerSec: 1e9, streams: 1e9 };
              share.onGrant(claim, amounts, QUOTA_LEASE_MS, nowMs);
            }
            const outcome = share.tryAcquire(nowMs, 100);
            if (outcome.kind !== 'ok') return;
            admitted += 1;
            outcome.permit.onEnd(nowMs);
          });
          const baseRate = (POOL.requestsPerSec * 0.05) / 10;
          const burst = Math.max(1, (rate + baseRate) * 0.5) + 2;
          expect(admitted).toBeLessThanOrEqual(((rate + baseRate) * nowMs) / 1_000 + burst);
        },
      ),
      { seed: 8, numRuns: 300 },
    );
  });

  // Guards against a holder without an allocator that stops serving, or that serves without a bound.
  it('uses its even part of the limit while the allocator cannot be reached', () => {
    const share = createQuotaShare(POOL, 10, 0, 0);
    share.tryAcquire(0, 1);
    expect(share.dueClaim(0)).toBeDefined();
    share.onClaimFailed(100);
    expect(share.quota(100).requestsPerSec).toBeCloseTo(POOL.requestsPerSec / 10);
  });
});

function waitingOf(customer: string, cost: number, weight = 1): QueuedRequest<string> {
  const priority = 'normal';
  return {
    customer,
    weight,
    priority,
    deadlineAtMs: 1e9,
    expectedDurationMs: 1,
    cost,
    item: customer,
  };
}

function createTestQueue(): FairQueue<string> {
  return createFairQueue({ maxWaiting: 1_000_000, maxWaitingPerCustomer: 100_000 });
}

describe('fair queue', () => {
  // Guards against a customer that gets service by sending more or larger requests.
  it('serves customers with a backlog in proportion to their weights', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            weight: fc.integer({ min: 1, max: 4 }),
            cost: fc.integer({ min: 1, max: 900 }),
          }),
          { minLength: 2, maxLength: 6 },
        ),
        (customers) => {
          const queue = createTestQueue();
          customers.forEach(({ weight, cost }, at) => {
            const count = Math.ceil(20_000 / cost);
            for (let n = 0; n < count; n += 1) queue.enqueue(waitingOf(`c${at}`, cost, weight), 0);
          });
          const served = customers.map(() => 0);
          let total = 0;
          while (total < 18_000) {
            const { next } = queue.dequeue(0);
            if (next === undefined) break;
            const at = Number(next.customer.slice(1));
            served[at] = (served[at] ?? 0) + next.cost;
            total += next.cost;
          }
          const rates = served.map((cost, at) => cost / (customers[at]?.weight ?? 1));
          const largest = Math.max(...customers.map(({ cost, weight }) => cost / weight));
          // The known bound of start-time fair queueing: one request of each of the two.
          expect(Math.max(...rates) - Math.min(...rates)).toBeLessThanOrEqual(
            2 * largest + EPSILON,
          );
        },
      ),
      { seed: 4, numRuns: 200 },
    );
  });

  // Guards against short requests that wait behind a customer's own long generations.
  it('lets short requests pass long ones of the same customer', () => {
    const queue = createTestQueue();
    for (let n = 0; n < 50; n += 1) queue.enqueue(waitingOf('c', 5_000), 0);
    queue.enqueue(waitingOf('c', 50), 0);
    const costs = Array.from({ length: 2 }, () => queue.dequeue(0).next?.cost);
    expect(costs).toContain(50);
  });

  // Guards against batch work that is served before urgent work after a loss of capacity.
  it('serves the most urgent first after a loss of capacity', () => {
    const queue = createTestQueue();
    const priorities = ['batch', 'normal', 'urgent', 'normal', 'urgent', 'batch'] as const;
    priorities.forEach((priority, at) => {
      const deadlineAtMs = 1_000_000 - at;
      queue.enqueue({ ...waitingOf(`c${at}`, 10), priority, deadlineAtMs }, 0);
    });
    queue.onCapacityLost(0);
    const order = priorities.map(() => queue.dequeue(1).next?.customer);
    expect(order).toEqual(['c4', 'c2', 'c3', 'c1', 'c5', 'c0']);
  });
});

describe('gate', () => {
  const settings: AdmissionSettings = {
    queue: { maxWaiting: 8, maxWaitingPerCustomer: 4 },
    concurrency: { initial: 2, min: 1, max: 2, targetDelayMs: 100 },
  };

  // Guards against a request that is neither started nor refused, or that gets both answers.
  it('answers every request exactly once and keeps its bounds', () => {
    const offerArbitrary = fc.record({
      customer: fc.integer({ min: 0, max: 3 }),
      cost: fc.integer({ min: 1, max: 2_000 }),
      slackMs: fc.integer({ min: 0, max: 5_000 }),
      ends: fc.integer({ min: 0, max: 2 }),
      waitMs: fc.integer({ min: 0, max: 1_000 }),
    });
    fc.assert(
      fc.property(fc.array(offerArbitrary, { maxLength: 120 }), (offers) => {
        const gate = createAdmissionController<number>(settings);
        const answers = new Map<number, string>();
        let running = 0;
        let nowMs = 0;
        const note = (effects: ReturnType<typeof gate.submit>): void => {
          effects.forEach(({ item, kind }) => {
            expect(answers.has(item)).toBe(false);
            answers.set(item, kind);
            if (kind === 'start') running += 1;
          });
        };
        offers.forEach(({ customer, cost, slackMs, ends, waitMs }, item) => {
          nowMs += waitMs;
          const waiting = { ...waitingOf(`c${customer}`, cost), deadlineAtMs: nowMs + slackMs };
          note(gate.submit({ ...waiting, item }, nowMs));
          for (let n = 0; n < Math.min(ends, running); n += 1) {
            running -= 1;
            note(gate.onEnd(nowMs));
          }
          expect(gate.running()).toBe(running);
          expect(running).toBeLessThanOrEqual(2);
          expect(gate.waiting()).toBeLessThanOrEqual(8);
          expect(answers.size + gate.waiting()).toBe(item + 1);
        });
      }),
      { seed: 6, numRuns: 200 },
    );
  });
});
