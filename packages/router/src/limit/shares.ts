import {
  UNLEASED_RATIO,
  createQuotaAllocator,
  createAllocatorAssignment,
  createRegionQuota,
  createQuotaShare,
  REGION_UNLEASED_RATIO,
  scaleQuota,
} from '@mimosamill/core';
import { createLimitRouter, MAX_CLAIMS_PER_MESSAGE, packClaim, unpackAnswer } from './limit-router';
import type { Clock, Log, Metrics } from '@mimosamill/adapters';
import type {
  AcquireOutcome,
  Quota,
  Hash32,
  RegionQuota,
  RegionQuotaClaim,
  QuotaShare,
  QuotaAnswer,
  QuotaClaim,
  QuotaRequest,
} from '@mimosamill/core';
import type { Member, Membership } from '../peer/membership';
import type { PeerPool } from '../peer/pool';
import type { ClaimsMessage, LimitRouter } from './limit-router';

export interface QuotaSharesOptions {
  readonly clock: Clock;
  readonly hash: Hash32;
  readonly random: () => number;
  readonly membership: Membership;
  readonly pool: PeerPool;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Limit of a scope over the whole fleet; undefined if the scope is not configured. */
  readonly limitOf: (scope: string) => Quota | undefined;
}

/** This router's parts of the fleet-wide limits, and the limits that it allocates for others. */
export interface QuotaShares {
  /** To be mounted as 'limits'. */
  readonly router: LimitRouter;
  /** Waits for the answer to a claim if the share does not admit the request at once. */
  readonly acquire: (scope: string, maxTokens: number) => Promise<AcquireOutcome>;
  readonly start: () => void;
  readonly stop: () => void;
}

interface ScopeShare {
  readonly share: QuotaShare;
  claimWaiters: (() => void)[];
  /** Requests that wait for their turn under the limit. */
  delayedCount: number;
}

/** A claim of this router, as a holder of a share or for its region's pool. */
interface OutgoingClaim {
  readonly scope: string;
  readonly wanted: Quota;
  readonly streamsInUse: number;
  readonly onAnswer: (answer: QuotaAnswer | undefined) => void;
}

const TICK_MS = 250;
const CLAIM_TIMEOUT_MS = 500;
/** A request waits this long for the answer to a claim. */
const CLAIM_WAIT_MS = 150;
/** A request over its limit is refused if its turn is further away than this. */
const MAX_DELAY_MS = 1_000;
/** Held requests look again after this time, as leases arrive. */
const RECHECK_INTERVAL_MS = 150;
const MAX_DELAYED_REQUESTS = 256;
const MIN_RECHECK_DELAY_MS = 5;
const ROOT_SCOPE_PREFIX = 'root/';
const ZERO_QUOTA: Quota = { requestsPerSec: 0, tokensPerSec: 0, streams: 0 };

export function createQuotaShares(options: QuotaSharesOptions): QuotaShares {
  const { clock, hash, membership, limitOf } = options;
  const startedAtMs = clock.monotonicMs();
  const entries = new Map<string, ScopeShare>();
  const pools = new Map<string, RegionQuota>();
  const allocator = createQuotaAllocator();
  const regionDuty = createAllocatorAssignment(hash, startedAtMs);
  const rootDuty = createAllocatorAssignment(hash, startedAtMs);
  let regionRatio = 1;
  let reachableRatio = 1;
  let routerCount = 1;
  let dutyKey = '';
  let stopTicks: (() => void) | undefined;
  const failures = options.metrics.counter(
    'mimosamill_share_claims_failed_total',
    'Claims that no allocator answered; the even part of the limit is used meanwhile',
  );

  function onMembers(members: readonly Member[]): void {
    const { region } = membership.self();
    const serving = members.filter(({ state }) => state === 'alive' || state === 'suspect');
    const inRegion = serving.filter((member) => member.region === region);
    // Routers that are gone still count for a while, because they may only be out of reach.
    routerCount = Math.max(1, members.length);
    reachableRatio = Math.max(1, serving.length) / routerCount;
    regionRatio = Math.max(1, inRegion.length) / routerCount;
    setHosts(inRegion.map(idOf), serving.map(idOf));
  }

  function setHosts(inRegion: string[], serving: string[]): void {
    const nextKey = [...serving].sort().join(' ');
    if (nextKey === dutyKey) return;
    dutyKey = nextKey;
    regionDuty.setHosts(inRegion, clock.monotonicMs());
    rootDuty.setHosts(serving, clock.monotonicMs());
  }

  function entryOf(scope: string): ScopeShare {
    const known = entries.get(scope);
    if (known !== undefined) return known;
    const limit = limitOf(scope) ?? ZERO_QUOTA;
    const share = createQuotaShare(limit, routerCount, clock.monotonicMs(), options.random());
    const created: ScopeShare = { share, claimWaiters: [], delayedCount: 0 };
    entries.set(scope, created);
    return created;
  }

  function poolOf(scope: string): RegionQuota {
    const limit = scaleQuota(limitOf(scope) ?? ZERO_QUOTA, 1 - UNLEASED_RATIO);
    const known = pools.get(scope);
    known?.setLimit(limit, regionRatio);
    const pool = known ?? createRegionQuota(limit, regionRatio);
    pools.set(scope, pool);
    return pool;
  }

  /** Answers a claim, of another router or of this one. */
  function onClaim(request: QuotaRequest): QuotaAnswer {
    const nowMs = clock.monotonicMs();
    const { routerId } = membership.self();
    const isRoot = request.scope.startsWith(ROOT_SCOPE_PREFIX);
    const duty = isRoot ? rootDuty : regionDuty;
    if (duty.allocatorOf(request.scope) !== routerId) return { kind: 'not_responsible' };
    allocator.refuseUntil(request.scope, duty.earlierLeasesEndMs(request.scope, routerId, nowMs));
    const limit = limitOf(isRoot ? request.scope.slice(ROOT_SCOPE_PREFIX.length) : request.scope);
    if (limit === undefined) return { kind: 'not_responsible' };
    if (isRoot) {
      const ratio = (1 - UNLEASED_RATIO) * (1 - REGION_UNLEASED_RATIO) * reachableRatio;
      return allocator.request(request, scaleQuota(limit, ratio), nowMs);
    }
    const pool = poolOf(request.scope);
    const answer = allocator.request(request, pool.quota(nowMs), nowMs);
    send(poolClaims([request.scope]));
    return answer;
  }

  function shareClaims(scopes: Iterable<string>): OutgoingClaim[] {
    const nowMs = clock.monotonicMs();
    return [...scopes].flatMap((scope) => {
      const entry = entries.get(scope);
      const claim = entry?.share.dueClaim(nowMs);
      if (entry === undefined || claim === undefined) return [];
      const onAnswer = (answer: QuotaAnswer | undefined): void => applyShare(entry, claim, answer);
      return [{ scope, wanted: claim.wanted, streamsInUse: claim.streamsInUse, onAnswer }];
    });
  }

  function applyShare(entry: ScopeShare, claim: QuotaClaim, answer: QuotaAnswer | undefined): void {
    const nowMs = clock.monotonicMs();
    if (answer?.kind === 'granted') {
      entry.share.onGrant(claim, answer.quota, answer.leaseMs, nowMs);
    } else {
      failures.inc();
      entry.share.onClaimFailed(
        nowMs,
        answer?.kind === 'not_ready' ? answer.retryAfterMs : undefined,
      );
    }
    const { claimWaiters } = entry;
    entry.claimWaiters = [];
    claimWaiters.forEach((resume) => resume());
  }

  function poolClaims(scopes: Iterable<string>): OutgoingClaim[] {
    const nowMs = clock.monotonicMs();
    return [...scopes].flatMap((scope) => {
      const pool = pools.get(scope);
      const claim = pool?.dueClaim(allocator.totalWanted(scope, nowMs), nowMs);
      if (pool === undefined || claim === undefined) return [];
      const onAnswer = (answer: QuotaAnswer | undefined): void => applyPool(pool, claim, answer);
      const rootScope = `${ROOT_SCOPE_PREFIX}${scope}`;
      return [{ scope: rootScope, wanted: claim.wanted, streamsInUse: 0, onAnswer }];
    });
  }

  function applyPool(
    pool: RegionQuota,
    claim: RegionQuotaClaim,
    answer: QuotaAnswer | undefined,
  ): void {
    if (answer?.kind === 'granted') pool.onGrant(claim, answer.quota, answer.leaseMs);
    else pool.onClaimFailed(clock.monotonicMs());
  }

  /** Sends claims to their allocators, those for the same one together. */
  function send(claims: readonly OutgoingClaim[]): void {
    const byTarget = new Map<string, OutgoingClaim[]>();
    claims.forEach((claim) => {
      const duty = claim.scope.startsWith(ROOT_SCOPE_PREFIX) ? rootDuty : regionDuty;
      const target = duty.allocatorOf(claim.scope) ?? '';
      const list = byTarget.get(target) ?? [];
      list.push(claim);
      byTarget.set(target, list);
    });
    byTarget.forEach((list, target) => {
      for (let at = 0; at < list.length; at += MAX_CLAIMS_PER_MESSAGE) {
        void sendTo(target, list.slice(at, at + MAX_CLAIMS_PER_MESSAGE));
      }
    });
  }

  async function sendTo(target: string, claims: readonly OutgoingClaim[]): Promise<void> {
    const { routerId, region } = membership.self();
    // A region holds its pool under one name, whichever of its routers allocates at the time.
    const holderOf = ({ scope }: OutgoingClaim): string =>
      scope.startsWith(ROOT_SCOPE_PREFIX) ? `region ${region}` : routerId;
    if (target === routerId) {
      claims.forEach((claim) => {
        const { scope, wanted, streamsInUse } = claim;
        claim.onAnswer(onClaim({ scope, holder: holderOf(claim), wanted, streamsInUse }));
      });
      return;
    }
    const address = membership.members().find((member) => idOf(member) === target)?.peerAddress;
    const holders = [...new Set(claims.map(holderOf))];
    await Promise.all(
      holders.map(async (holder) => {
        const own = claims.filter((claim) => holderOf(claim) === holder);
        const answers = address === undefined ? [] : await post(address, holder, own);
        own.forEach((claim, at) => claim.onAnswer(unpackAnswer(answers[at])));
      }),
    );
  }

  async function post(address: string, holder: string, claims: readonly OutgoingClaim[]) {
    const message: ClaimsMessage = {
      holder,
      claims: claims.map(({ scope, wanted, streamsInUse }) =>
        packClaim(scope, wanted, streamsInUse),
      ),
    };
    try {
      return await options.pool
        .client<LimitRouter>('limits', address)
        .claim.mutate(message, { context: { timeoutMs: CLAIM_TIMEOUT_MS } });
    } catch (cause) {
      options.log.debug('no answer to a claim', { address, cause: String(cause) });
      return [];
    }
  }

  function waitForClaim(entry: ScopeShare): Promise<void> {
    return new Promise((resolve) => {
      const cancel = clock.runAfter(CLAIM_WAIT_MS, resolve);
      entry.claimWaiters.push(() => {
        cancel();
        resolve();
      });
    });
  }

  /** Holds a request for a moment instead of refusing a short burst. */
  async function acquire(scope: string, maxTokens: number): Promise<AcquireOutcome> {
    const entry = entryOf(scope);
    const untilMs = clock.monotonicMs() + MAX_DELAY_MS;
    entry.delayedCount += 1;
    try {
      for (;;) {
        const outcome = await tryOnce(entry, scope, maxTokens);
        if (outcome.kind === 'ok') return outcome;
        // The time named is that at the present share, which a claim may raise at any moment.
        const waitMs = Math.max(
          MIN_RECHECK_DELAY_MS,
          Math.min(outcome.retryAfterMs, RECHECK_INTERVAL_MS),
        );
        const isPatient = clock.monotonicMs() + waitMs < untilMs;
        if (!isPatient || entry.delayedCount > mostHeld(scope)) return outcome;
        await pause(waitMs);
      }
    } finally {
      entry.delayedCount -= 1;
    }
  }

  /** As many as the whole limit admits while they are held; more would wait in vain. */
  function mostHeld(scope: string): number {
    const { requestsPerSec } = limitOf(scope) ?? ZERO_QUOTA;
    return Math.min(MAX_DELAYED_REQUESTS, requestsPerSec * (MAX_DELAY_MS / 1_000));
  }

  async function tryOnce(
    entry: ScopeShare,
    scope: string,
    maxTokens: number,
  ): Promise<AcquireOutcome> {
    const outcome = entry.share.tryAcquire(clock.monotonicMs(), maxTokens);
    const claims = shareClaims([scope]);
    const isAnswerDue = claims.length > 0 || entry.share.isClaiming(clock.monotonicMs());
    if (outcome.kind === 'ok' || !isAnswerDue) {
      send(claims);
      return outcome;
    }
    const answered = waitForClaim(entry);
    send(claims);
    await answered;
    return entry.share.tryAcquire(clock.monotonicMs(), maxTokens);
  }

  function pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      clock.runAfter(delayMs, resolve);
    });
  }

  function tick(): void {
    const nowMs = clock.monotonicMs();
    entries.forEach(({ share, delayedCount }, scope) => {
      const limit = limitOf(scope);
      if (limit !== undefined) share.setLimit(limit, routerCount, nowMs);
      if (share.isIdle(nowMs) && delayedCount === 0) entries.delete(scope);
    });
    send([...shareClaims(entries.keys()), ...poolClaims(pools.keys())]);
  }

  return {
    router: createLimitRouter({ onClaim }),
    acquire,
    start: () => {
      onMembers(membership.members());
      membership.onChange(onMembers);
      stopTicks = clock.runEvery(TICK_MS, tick);
    },
    stop: () => stopTicks?.(),
  };
}

function idOf(member: Member): string {
  return member.routerId;
}
