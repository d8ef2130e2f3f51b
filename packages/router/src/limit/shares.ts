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

/**
 * This router's shares of the fleet-wide limits. The router is also the allocator of some scopes and
 * grants shares of those to other routers.
 */
export interface QuotaShares {
  /** Sub-router for the name 'limits' on the peer server. */
  readonly router: LimitRouter;
  /**
   * Admits a request under the limit of a scope. A request that the share does not admit at once is
   * delayed for up to MAX_DELAY_MS, because a claim may enlarge the share.
   */
  readonly acquire: (scope: string, maxTokens: number) => Promise<AcquireOutcome>;
  readonly start: () => void;
  readonly stop: () => void;
}

interface ScopeShare {
  readonly share: QuotaShare;
  claimWaiters: (() => void)[];
  /** Requests in `acquire` at present. */
  delayedCount: number;
}

/** A claim for this router's share of a scope, or for its region's quota. */
interface OutgoingClaim {
  readonly scope: string;
  readonly wanted: Quota;
  readonly streamsInUse: number;
  readonly onAnswer: (answer: QuotaAnswer | undefined) => void;
}

const TICK_MS = 250;
const CLAIM_TIMEOUT_MS = 500;
/** Longest wait of a request for the answer to a claim. */
const CLAIM_WAIT_MS = 150;
/** A request over its limit is refused rather than delayed for longer than this. */
const MAX_DELAY_MS = 1_000;
/** Delayed requests try again at least this often, because leases may have arrived meanwhile. */
const RECHECK_INTERVAL_MS = 150;
const MAX_DELAYED_REQUESTS = 256;
const MIN_RECHECK_DELAY_MS = 5;
/** Marks a scope at its fleet-wide allocator, from which the regions' allocators get their quota. */
const ROOT_SCOPE_PREFIX = 'root/';
const ZERO_QUOTA: Quota = { requestsPerSec: 0, tokensPerSec: 0, streams: 0 };

export function createQuotaShares(options: QuotaSharesOptions): QuotaShares {
  const { clock, hash, membership, limitOf } = options;
  const startedAtMs = clock.monotonicMs();
  const shares = new Map<string, ScopeShare>();
  const regionQuotas = new Map<string, RegionQuota>();
  const allocator = createQuotaAllocator();
  const regionAssignment = createAllocatorAssignment(hash, startedAtMs);
  const rootAssignment = createAllocatorAssignment(hash, startedAtMs);
  let regionRatio = 1;
  let reachableRatio = 1;
  let routerCount = 1;
  let assignedRoutersKey = '';
  let stopTicks: (() => void) | undefined;
  const failedClaims = options.metrics.counter(
    'mimosamill_share_claims_failed_total',
    'Claims that no allocator answered; the even part of the limit is used meanwhile',
  );

  function onMembersChanged(members: readonly Member[]): void {
    const { region } = membership.self();
    const serving = members.filter(({ state }) => state === 'alive' || state === 'suspect');
    const inRegion = serving.filter((member) => member.region === region);
    // Dead members count until the membership removes them: they may be unreachable from here but
    // still admit requests.
    routerCount = Math.max(1, members.length);
    reachableRatio = Math.max(1, serving.length) / routerCount;
    regionRatio = Math.max(1, inRegion.length) / routerCount;
    assignAllocators(inRegion.map(idOf), serving.map(idOf));
  }

  function assignAllocators(inRegion: string[], serving: string[]): void {
    const routersKey = [...serving].sort().join(' ');
    if (routersKey === assignedRoutersKey) return;
    assignedRoutersKey = routersKey;
    regionAssignment.setHosts(inRegion, clock.monotonicMs());
    rootAssignment.setHosts(serving, clock.monotonicMs());
  }

  function shareOf(scope: string): ScopeShare {
    const existing = shares.get(scope);
    if (existing !== undefined) return existing;
    const limit = limitOf(scope) ?? ZERO_QUOTA;
    const share = createQuotaShare(limit, routerCount, clock.monotonicMs(), options.random());
    const created: ScopeShare = { share, claimWaiters: [], delayedCount: 0 };
    shares.set(scope, created);
    return created;
  }

  function regionQuotaOf(scope: string): RegionQuota {
    const limit = scaleQuota(limitOf(scope) ?? ZERO_QUOTA, 1 - UNLEASED_RATIO);
    const existing = regionQuotas.get(scope);
    existing?.setLimit(limit, regionRatio);
    const regionQuota = existing ?? createRegionQuota(limit, regionRatio);
    regionQuotas.set(scope, regionQuota);
    return regionQuota;
  }

  /** Answers a claim of another router or of this router itself. */
  function onClaim(request: QuotaRequest): QuotaAnswer {
    const nowMs = clock.monotonicMs();
    const { routerId } = membership.self();
    const isRoot = request.scope.startsWith(ROOT_SCOPE_PREFIX);
    const assignment = isRoot ? rootAssignment : regionAssignment;
    if (assignment.allocatorOf(request.scope) !== routerId) return { kind: 'not_responsible' };
    allocator.refuseUntil(
      request.scope,
      assignment.earlierLeasesEndMs(request.scope, routerId, nowMs),
    );
    const limit = limitOf(isRoot ? request.scope.slice(ROOT_SCOPE_PREFIX.length) : request.scope);
    if (limit === undefined) return { kind: 'not_responsible' };
    if (isRoot) {
      const ratio = (1 - UNLEASED_RATIO) * (1 - REGION_UNLEASED_RATIO) * reachableRatio;
      return allocator.request(request, scaleQuota(limit, ratio), nowMs);
    }
    const regionQuota = regionQuotaOf(request.scope);
    const answer = allocator.request(request, regionQuota.quota(nowMs), nowMs);
    sendClaims(regionClaims([request.scope]));
    return answer;
  }

  function shareClaims(scopes: Iterable<string>): OutgoingClaim[] {
    const nowMs = clock.monotonicMs();
    return [...scopes].flatMap((scope) => {
      const scopeShare = shares.get(scope);
      const claim = scopeShare?.share.dueClaim(nowMs);
      if (scopeShare === undefined || claim === undefined) return [];
      const onAnswer = (answer: QuotaAnswer | undefined): void =>
        applyShareAnswer(scopeShare, claim, answer);
      return [{ scope, wanted: claim.wanted, streamsInUse: claim.streamsInUse, onAnswer }];
    });
  }

  function applyShareAnswer(
    scopeShare: ScopeShare,
    claim: QuotaClaim,
    answer: QuotaAnswer | undefined,
  ): void {
    const nowMs = clock.monotonicMs();
    if (answer?.kind === 'granted') {
      scopeShare.share.onGrant(claim, answer.quota, answer.leaseMs, nowMs);
    } else {
      failedClaims.inc();
      scopeShare.share.onClaimFailed(
        nowMs,
        answer?.kind === 'not_ready' ? answer.retryAfterMs : undefined,
      );
    }
    const { claimWaiters } = scopeShare;
    scopeShare.claimWaiters = [];
    claimWaiters.forEach((resume) => resume());
  }

  function regionClaims(scopes: Iterable<string>): OutgoingClaim[] {
    const nowMs = clock.monotonicMs();
    return [...scopes].flatMap((scope) => {
      const regionQuota = regionQuotas.get(scope);
      const claim = regionQuota?.dueClaim(allocator.totalWanted(scope, nowMs), nowMs);
      if (regionQuota === undefined || claim === undefined) return [];
      const onAnswer = (answer: QuotaAnswer | undefined): void =>
        applyRegionAnswer(regionQuota, claim, answer);
      const rootScope = `${ROOT_SCOPE_PREFIX}${scope}`;
      return [{ scope: rootScope, wanted: claim.wanted, streamsInUse: 0, onAnswer }];
    });
  }

  function applyRegionAnswer(
    regionQuota: RegionQuota,
    claim: RegionQuotaClaim,
    answer: QuotaAnswer | undefined,
  ): void {
    if (answer?.kind === 'granted') regionQuota.onGrant(claim, answer.quota, answer.leaseMs);
    else regionQuota.onClaimFailed(clock.monotonicMs());
  }

  /** Sends claims to their allocators, batched per allocator. */
  function sendClaims(claims: readonly OutgoingClaim[]): void {
    const claimsByAllocator = new Map<string, OutgoingClaim[]>();
    claims.forEach((claim) => {
      const assignment = claim.scope.startsWith(ROOT_SCOPE_PREFIX)
        ? rootAssignment
        : regionAssignment;
      const allocatorId = assignment.allocatorOf(claim.scope) ?? '';
      const allocatorClaims = claimsByAllocator.get(allocatorId) ?? [];
      allocatorClaims.push(claim);
      claimsByAllocator.set(allocatorId, allocatorClaims);
    });
    claimsByAllocator.forEach((allocatorClaims, allocatorId) => {
      for (let index = 0; index < allocatorClaims.length; index += MAX_CLAIMS_PER_MESSAGE) {
        void sendToAllocator(
          allocatorId,
          allocatorClaims.slice(index, index + MAX_CLAIMS_PER_MESSAGE),
        );
      }
    });
  }

  async function sendToAllocator(
    allocatorId: string,
    claims: readonly OutgoingClaim[],
  ): Promise<void> {
    const { routerId, region } = membership.self();
    // A region's quota is leased to one holder name, so that the lease outlasts a change of the
    // region's allocator.
    const holderOf = ({ scope }: OutgoingClaim): string =>
      scope.startsWith(ROOT_SCOPE_PREFIX) ? `region ${region}` : routerId;
    if (allocatorId === routerId) {
      claims.forEach((claim) => {
        const { scope, wanted, streamsInUse } = claim;
        claim.onAnswer(onClaim({ scope, holder: holderOf(claim), wanted, streamsInUse }));
      });
      return;
    }
    const address = membership
      .members()
      .find((member) => idOf(member) === allocatorId)?.peerAddress;
    const holders = [...new Set(claims.map(holderOf))];
    await Promise.all(
      holders.map(async (holder) => {
        const own = claims.filter((claim) => holderOf(claim) === holder);
        const answers = address === undefined ? [] : await postClaims(address, holder, own);
        own.forEach((claim, index) => claim.onAnswer(unpackAnswer(answers[index])));
      }),
    );
  }

  async function postClaims(address: string, holder: string, claims: readonly OutgoingClaim[]) {
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

  function waitForClaim(scopeShare: ScopeShare): Promise<void> {
    return new Promise((resolve) => {
      const cancel = clock.runAfter(CLAIM_WAIT_MS, resolve);
      scopeShare.claimWaiters.push(() => {
        cancel();
        resolve();
      });
    });
  }

  /** Delays a request for a moment rather than refuse a short burst. */
  async function acquire(scope: string, maxTokens: number): Promise<AcquireOutcome> {
    const scopeShare = shareOf(scope);
    const latestMs = clock.monotonicMs() + MAX_DELAY_MS;
    scopeShare.delayedCount += 1;
    try {
      for (;;) {
        const outcome = await tryAcquire(scopeShare, scope, maxTokens);
        if (outcome.kind === 'ok') return outcome;
        // `retryAfterMs` assumes the present share, which an answer to a claim may enlarge before.
        const waitMs = Math.max(
          MIN_RECHECK_DELAY_MS,
          Math.min(outcome.retryAfterMs, RECHECK_INTERVAL_MS),
        );
        const hasTime = clock.monotonicMs() + waitMs < latestMs;
        if (!hasTime || scopeShare.delayedCount > maxDelayed(scope)) return outcome;
        await wait(waitMs);
      }
    } finally {
      scopeShare.delayedCount -= 1;
    }
  }

  /** The number of requests that the whole limit admits within MAX_DELAY_MS; more could not run. */
  function maxDelayed(scope: string): number {
    const { requestsPerSec } = limitOf(scope) ?? ZERO_QUOTA;
    return Math.min(MAX_DELAYED_REQUESTS, requestsPerSec * (MAX_DELAY_MS / 1_000));
  }

  async function tryAcquire(
    scopeShare: ScopeShare,
    scope: string,
    maxTokens: number,
  ): Promise<AcquireOutcome> {
    const outcome = scopeShare.share.tryAcquire(clock.monotonicMs(), maxTokens);
    const claims = shareClaims([scope]);
    const isAnswerPending = claims.length > 0 || scopeShare.share.isClaiming(clock.monotonicMs());
    if (outcome.kind === 'ok' || !isAnswerPending) {
      sendClaims(claims);
      return outcome;
    }
    const answered = waitForClaim(scopeShare);
    sendClaims(claims);
    await answered;
    return scopeShare.share.tryAcquire(clock.monotonicMs(), maxTokens);
  }

  function wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      clock.runAfter(delayMs, resolve);
    });
  }

  function tick(): void {
    const nowMs = clock.monotonicMs();
    shares.forEach(({ share, delayedCount }, scope) => {
      const limit = limitOf(scope);
      if (limit !== undefined) share.setLimit(limit, routerCount, nowMs);
      if (share.isIdle(nowMs) && delayedCount === 0) shares.delete(scope);
    });
    sendClaims([...shareClaims(shares.keys()), ...regionClaims(regionQuotas.keys())]);
  }

  return {
    router: createLimitRouter({ onClaim }),
    acquire,
    start: () => {
      onMembersChanged(membership.members());
      membership.onChange(onMembersChanged);
      stopTicks = clock.runEvery(TICK_MS, tick);
    },
    stop: () => stopTicks?.(),
  };
}

function idOf(member: Member): string {
  return member.routerId;
}
