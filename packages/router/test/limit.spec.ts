import { createMetrics, createLog, createSystemClock } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { createVirtualTime } from '@mimosamill/fakes';
import { afterEach, describe, expect, it } from 'vitest';
import { createAdmission } from '../src/limit/admission';
import { createDomainLossDetector } from '../src/limit/loss';
import { createQuotaShares } from '../src/limit/shares';
import { hash32, startFleet, stopAll, waitUntil } from './peer/nodes';
import type { AcquireOutcome, Quota, ServiceName } from '@mimosamill/core';
import type { AdmissionOutcome, AdmissionRequest } from '../src/limit/admission';
import type { QuotaShares } from '../src/limit/shares';
import type { MembershipService } from '../src/peer/membership';

const LIMIT: Quota = { requestsPerSec: 20, tokensPerSec: 1e6, streams: 1_000 };
const SCOPE = 'customer/acme';
const ROUTERS = 3;
const MAX_WINDOWS = 8;
const all: QuotaShares[] = [];

function mount(peers: MembershipService) {
  const shares = createQuotaShares({
    clock: createSystemClock(),
    hash: hash32,
    random: Math.random,
    membership: peers,
    pool: peers.pool,
    metrics: createMetrics(),
    log: createLog('test', 'silent', {}),
    limitOf: (scope) => (scope === SCOPE ? LIMIT : undefined),
  });
  all.push(shares);
  return { limits: shares.router };
}

/** Asks without a pause until the time is over; returns the number of admitted requests. */
async function offer(shares: QuotaShares, untilMs: number): Promise<number> {
  const outcome = await shares.acquire(SCOPE, 1);
  if (outcome.kind === 'ok') outcome.permit.onEnd(performance.now());
  if (Date.now() >= untilMs) return 0;
  return (outcome.kind === 'ok' ? 1 : 0) + (await offer(shares, untilMs));
}

async function offerFor(durationMs: number): Promise<number> {
  const untilMs = Date.now() + durationMs;
  const counts = await Promise.all(
    all.flatMap((shares) => Array.from({ length: 10 }, () => offer(shares, untilMs))),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

afterEach(async () => {
  all.splice(0).forEach((shares) => shares.stop());
  await stopAll();
});

describe('shares over the network', () => {
  // Guards against routers that each admit the whole limit, and against leases that never arrive.
  it('admit the limit together, and not much less', async () => {
    const fleet = await startFleet(ROUTERS, mount);
    await waitUntil(() => fleet.every(({ peers }) => peers.members().length === ROUTERS));
    all.forEach((shares) => shares.start());
    // The first leases may only be granted after the hold-off, and demand has to be seen.
    await offerFor(4_000);
    const seconds = 4;
    const burst = LIMIT.requestsPerSec * 0.5 + ROUTERS;
    const most = LIMIT.requestsPerSec * seconds + burst;
    const enough = LIMIT.requestsPerSec * seconds * 0.5;
    let best = 0;
    // A machine that stalls lets leases lapse, so a slow window is followed by another one; more
    // than the limit is wrong in every window.
    for (let round = 0; round < MAX_WINDOWS && best <= enough; round += 1) {
      const admitted = await offerFor(seconds * 1_000);
      expect(admitted).toBeLessThanOrEqual(most);
      best = Math.max(best, admitted);
    }
    expect(best).toBeGreaterThan(enough);
  });

  // Guards against refusing a short burst that is far below the limit: in the demo 28 of 40 calls at
  // once were refused under a limit of 100 a second, because leases had not been asked for yet.
  it('hold a burst until the leases arrive', async () => {
    const fleet = await startFleet(ROUTERS, mount);
    await waitUntil(() => fleet.every(({ peers }) => peers.members().length === ROUTERS));
    all.forEach((shares) => shares.start());
    // Allocators grant nothing during the hold-off after their start.
    await new Promise((resolve) => {
      setTimeout(resolve, 4_000);
    });
    const burst = LIMIT.requestsPerSec / 2;
    let admitted = 0;
    // A stalled machine may lose a round; the limit is never in question here.
    for (let round = 0; round < MAX_WINDOWS && admitted < burst; round += 1) {
      const outcomes = await Promise.all(
        Array.from({ length: burst }, (_, index) => all[index % ROUTERS]?.acquire(SCOPE, 1)),
      );
      admitted = outcomes.filter((outcome) => outcome?.kind === 'ok').length;
      outcomes.forEach((o) => o?.kind === 'ok' && o.permit.onEnd(performance.now()));
      await new Promise((resolve) => {
        setTimeout(resolve, 2_000);
      });
    }
    expect(admitted).toBe(burst);
  });
});

describe('admission', () => {
  const request: AdmissionRequest = {
    service: asId<ServiceName>('s'),
    customer: 'acme',
    weight: 1,
    scopes: [SCOPE, 'team/t'],
    priority: 'normal',
    maxTokens: 10,
    deadlineAtMs: 1e9,
  };

  function createTestAdmission(acquire: (scope: string) => AcquireOutcome) {
    return createAdmission({
      clock: createVirtualTime().clock,
      shares: { acquire: (scope) => Promise.resolve(acquire(scope)) },
      metrics: createMetrics(),
      controllerSettings: {
        queue: { maxWaiting: 4, maxWaitingPerCustomer: 4 },
        concurrency: { initial: 1, min: 1, max: 1, targetDelayMs: 100 },
      },
    });
  }

  // Guards against a limit that stays taken after a request was refused by another limit.
  it('gives back the first limit if the second one refuses', async () => {
    let ends = 0;
    const onEnd = (): void => {
      ends += 1;
    };
    const admission = createTestAdmission((scope) =>
      scope === SCOPE
        ? { kind: 'ok', permit: { onTokens: () => undefined, onEnd } }
        : { kind: 'limited', dimension: 'streams', retryAfterMs: 7 },
    );
    const outcome = await admission.admit(request);
    expect(outcome).toMatchObject({
      kind: 'error',
      error: { code: 'over_limit', runState: 'not_run', retryAfterMs: 7 },
    });
    expect(ends).toBe(1);
  });

  // Guards against a caller that went away and still takes a turn.
  it('lets the next one run after an end, and drops a caller that went away', async () => {
    const admission = createTestAdmission(() => ({
      kind: 'ok',
      permit: { onTokens: () => undefined, onEnd: () => undefined },
    }));
    const first = await admission.admit(request);
    const gone = new AbortController();
    const second = admission.admit(request, gone.signal);
    const third: Promise<AdmissionOutcome> = admission.admit(request);
    await Promise.resolve();
    gone.abort();
    expect(await second).toMatchObject({ kind: 'error', error: { code: 'request_timeout' } });
    if (first.kind === 'ok') first.permit.onEnd();
    expect(await third).toMatchObject({ kind: 'ok' });
  });
});

describe('loss watch', () => {
  // Guards against a single crash that is taken for the loss of a failure domain, and against a lost
  // domain that is not noticed.
  it('reports a failure domain once most of its engines are lost within 2 s', async () => {
    const time = createVirtualTime();
    const service = asId<ServiceName>('s');
    const engines = Array.from({ length: 12 }, (_, at) => ({
      engineId: `e${at}`,
      service,
      failureDomain: asId<never>(`d${at % 3}`),
    }));
    const losses: number[] = [];
    const onDown = createDomainLossDetector({
      clock: time.clock,
      admission: { onCapacityLost: (_service, remainingRatio) => losses.push(remainingRatio) },
      enginesOf: () => engines,
    });
    const lose = (at: number): void => {
      const engine = engines[at];
      if (engine !== undefined) onDown(engine);
    };
    lose(0);
    await time.run(3_000);
    lose(3);
    lose(1);
    expect(losses).toEqual([]);
    lose(4);
    expect(losses).toEqual([1 - 2 / 12]);
  });
});
