import { mapQuota, scaleQuota } from './amounts';
import { CLAIM_RETRY_MS, createQuotaLease } from './quota-lease';
import type { Quota, QuotaDimension } from './amounts';
import type { SentClaim } from './quota-lease';

/** One holder's part of a scope's limit: token buckets for the rates, a count for the streams. */
export interface QuotaShare {
  /** Reserves `maxTokens`, or the mean tokens of a request if that is less. */
  readonly tryAcquire: (nowMs: number, maxTokens: number) => AcquireOutcome;
  /** The claim to send to the allocator, if one is due. */
  readonly dueClaim: (nowMs: number) => QuotaClaim | undefined;
  readonly onGrant: (claim: QuotaClaim, granted: Quota, leaseMs: number, nowMs: number) => void;
  /** The allocator could not be reached or refused the claim for now. */
  readonly onClaimFailed: (nowMs: number, retryAfterMs?: number) => void;
  readonly setLimit: (limit: Quota, holderCount: number, nowMs: number) => void;
  readonly quota: (nowMs: number) => Quota;
  readonly streamsInUse: () => number;
  /** Whether an answer to a claim may still come. */
  readonly isClaiming: (nowMs: number) => boolean;
  readonly isIdle: (nowMs: number) => boolean;
}

export interface QuotaClaim extends SentClaim {
  readonly wanted: Quota;
  readonly streamsInUse: number;
}

/** Holds one stream of a share and charges its tokens until the request ends. */
export interface Permit {
  readonly onTokens: (count: number, nowMs: number) => void;
  readonly onEnd: (nowMs: number) => void;
}

export type AcquireOutcome =
  | { readonly kind: 'ok'; readonly permit: Permit }
  | { readonly kind: 'limited'; readonly dimension: QuotaDimension; readonly retryAfterMs: number };

/**
 * Part of every limit that is not leased but divided evenly between the holders, so that each may admit
 * a first request without asking an allocator. The rest is leased.
 */
export const UNLEASED_RATIO = 0.05;
const RENEW_MS = 1_000;
/** A holder that has refused a request or no longer has any renews its lease after this time. */
const EARLY_RENEW_MS = 250;
/** Least rate that an active holder asks for: enough for one request within a lease. */
const MIN_WANTED_PER_SEC = 0.6;
/** An unused share up to this rate is left to expire instead of being returned with a message. */
const MIN_RETURNED_PER_SEC = 1;
const MIN_INACTIVE_MS = 300;
const INACTIVE_REQUEST_GAPS = 4;
/** Capacity of the token buckets, in seconds of their rate; bounds the burst after an idle time. */
const BURST_SEC = 0.5;
/** A claim asks for this multiple of the demand, which may grow before the next renewal. */
const HEADROOM_RATIO = 1.3;
const NEWEST_DEMAND_WEIGHT = 0.5;
const DEMAND_PERIOD_MS = 250;
const DISCARD_AFTER_MS = 60_000;
const MAX_RETRY_AFTER_MS = 10_000;
/** Tokens assumed per request until the first requests have ended. */
const INITIAL_TOKENS_PER_REQUEST = 400;
const NEWEST_TOKEN_COUNT_WEIGHT = 0.1;
const DITHER_PERIOD_MS = 10_000;
const EPSILON = 1e-9;

/**
 * Creates a holder's share of one scope, whose limit `holderCount` holders divide. `initialFill` is a
 * random number below 1 at which the request bucket starts if its rate is slow. Of many such holders,
 * some can then start a request at once; if all started empty, none could.
 */
export function createQuotaShare(
  limit: Quota,
  holderCount: number,
  startMs: number,
  initialFill: number,
): QuotaShare {
  let unleased = scaleQuota(limit, UNLEASED_RATIO / holderCount);
  let evenPart = scaleQuota(limit, 1 / holderCount);
  let currentLimit = limit;
  const lease = createQuotaLease();
  let requestBucket = 0;
  let isFirstGrant = true;
  let tokenBucket = 0;
  let refilledAtMs = startMs;
  let streamCount = 0;
  let lastAttemptAtMs = startMs;
  let wasRefused = false;
  let attempts = 0;
  let attemptsPerSec = 0;
  let tokensPerRequest = INITIAL_TOKENS_PER_REQUEST;
  let demandUpdatedAtMs = startMs;

  function quota(nowMs: number): Quota {
    const granted = lease.grantedQuota(nowMs);
    if (granted !== undefined) return mapQuota((key) => unleased[key] + granted[key]);
    return lease.isAllocatorUnreachable() ? evenPart : unleased;
  }

  function refill(nowMs: number): void {
    // The time since the last refill is credited at the rates that were in force until now.
    const { requestsPerSec, tokensPerSec: rate } = quota(Math.max(refilledAtMs, nowMs - 1e-6));
    const elapsedSec = Math.max(0, nowMs - refilledAtMs) / 1_000;
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    const requestCapacity = Math.max(1, requestsPerSec * BURST_SEC);
    requestBucket = Math.min(requestCapacity, requestBucket + elapsedSec * requestsPerSec);
    tokenBucket = Math.min(Math.max(1, rate * BURST_SEC), tokenBucket + elapsedSec * rate);
  }

  function updateDemand(nowMs: number): void {
    const elapsedMs = nowMs - demandUpdatedAtMs;
    if (elapsedMs < DEMAND_PERIOD_MS) return;
    const weight = 1 - (1 - NEWEST_DEMAND_WEIGHT) ** (elapsedMs / DEMAND_PERIOD_MS);
    attemptsPerSec += weight * ((attempts * 1_000) / elapsedMs - attemptsPerSec);
    attempts = 0;
    demandUpdatedAtMs = nowMs;
  }

  function wanted(nowMs: number): Quota {
    const isInactive = nowMs - lastAttemptAtMs >= inactiveMs();
    const requestsPerSec = isInactive
      ? 0
      : Math.max(MIN_WANTED_PER_SEC, attemptsPerSec * HEADROOM_RATIO);
    const streams = isInactive ? streamCount : Math.floor(1 + streamCount * HEADROOM_RATIO);
    return {
      requestsPerSec: Math.min(currentLimit.requestsPerSec, requestsPerSec),
      tokensPerSec: Math.min(currentLimit.tokensPerSec, requestsPerSec * tokensPerRequest),
      streams: Math.min(currentLimit.streams, streams),
    };
  }

  /** Time without a request after which the holder counts as inactive. */
  function inactiveMs(): number {
    return Math.max(
      MIN_INACTIVE_MS,
      (INACTIVE_REQUEST_GAPS * 1_000) / Math.max(attemptsPerSec, 1e-3),
    );
  }

  /** Whether the rest of the lease will refill the request bucket enough to admit a request now. */
  function canBorrow(nowMs: number): boolean {
    if (requestBucket < 0) return false;
    const granted = lease.grantedQuota(nowMs);
    if (granted === undefined) return false;
    return requestBucket + granted.requestsPerSec * (lease.remainingMs(nowMs) / 1_000) >= 1;
  }

  /**
   * Rounds a fractional number of streams to a whole one. The rounding threshold differs between holders
   * and moves with time, so the sum over the holders stays at the limit and each of them gets its turn.
   */
  function streamCap(streams: number, nowMs: number): number {
    const dither = (initialFill + nowMs / DITHER_PERIOD_MS) % 1;
    return Math.floor(streams + dither + EPSILON);
  }

  /** Whether the rest of the lease pays off the token debt; only a holder without streams may use it. */
  function canBorrowTokens(nowMs: number): boolean {
    const granted = lease.grantedQuota(nowMs);
    if (granted === undefined || streamCount > 0) return false;
    return tokenBucket + granted.tokensPerSec * (lease.remainingMs(nowMs) / 1_000) >= 0;
  }

  function createPermit(reserved: number): Permit {
    let used = 0;
    let hasEnded = false;
    return {
      onTokens: (tokens, nowMs) => {
        refill(nowMs);
        const before = Math.max(used, reserved);
        used += tokens;
        tokenBucket -= Math.max(used, reserved) - before;
      },
      onEnd: (nowMs) => {
        if (hasEnded) return;
        hasEnded = true;
        refill(nowMs);
        tokenBucket += Math.max(0, reserved - used);
        tokensPerRequest += NEWEST_TOKEN_COUNT_WEIGHT * (used - tokensPerRequest);
        streamCount = Math.max(0, streamCount - 1);
      },
    };
  }

  function limited(dimension: QuotaDimension, missing: number, rate: number): AcquireOutcome {
    wasRefused = true;
    const waitMs = rate > 0 ? Math.ceil((missing / rate) * 1_000) : MAX_RETRY_AFTER_MS;
    return {
      kind: 'limited',
      dimension,
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(1, waitMs)),
    };
  }

  function isDue(nowMs: number): boolean {
    if (!lease.canClaim(nowMs)) return false;
    if (nowMs - lastAttemptAtMs > RENEW_MS && streamCount === 0) return false;
    const granted = lease.grantedQuota(nowMs);
    if (granted === undefined) {
      const isRecent = nowMs - lastAttemptAtMs < RENEW_MS;
      return (isRecent && (wasRefused || requestBucket < 1)) || streamCount > unleased.streams;
    }
    const sinceMs = lease.sinceClaimMs(nowMs);
    if (sinceMs >= RENEW_MS) return true;
    // An unused share is returned before its lease ends, so that another holder can use it.
    const isUnusedShare =
      granted.requestsPerSec > MIN_RETURNED_PER_SEC && nowMs - lastAttemptAtMs >= inactiveMs();
    return sinceMs >= EARLY_RENEW_MS && (wasRefused || isUnusedShare);
  }

  return {
    tryAcquire: (nowMs, maxTokens) => {
      refill(nowMs);
      attempts += 1;
      lastAttemptAtMs = nowMs;
      const now = quota(nowMs);
      if (requestBucket < 1 && !canBorrow(nowMs)) {
        return limited('requestsPerSec', 1 - requestBucket, now.requestsPerSec);
      }
      if (tokenBucket < 0 && !canBorrowTokens(nowMs)) {
        return limited('tokensPerSec', -tokenBucket, now.tokensPerSec);
      }
      if (streamCount >= streamCap(now.streams, nowMs)) return limited('streams', 1, 1);
      const reserved = Math.min(maxTokens, tokensPerRequest);
      requestBucket -= 1;
      tokenBucket -= reserved;
      streamCount += 1;
      return { kind: 'ok', permit: createPermit(reserved) };
    },
    dueClaim: (nowMs) => {
      refill(nowMs);
      updateDemand(nowMs);
      if (!isDue(nowMs)) return undefined;
      wasRefused = false;
      return { ...lease.startClaim(nowMs), wanted: wanted(nowMs), streamsInUse: streamCount };
    },
    onGrant: (claim, granted, leaseMs, nowMs) => {
      refill(nowMs);
      lease.onGrant(claim, granted, leaseMs);
      const isSlow = (granted.requestsPerSec * leaseMs) / 1_000 < 1;
      if (isFirstGrant && isSlow && granted.requestsPerSec > 0) {
        requestBucket = Math.max(requestBucket, initialFill);
      }
      isFirstGrant = false;
    },
    onClaimFailed: (nowMs, retryAfterMs = CLAIM_RETRY_MS) => {
      refill(nowMs);
      // Without an allocator, a new holder may admit one request at once.
      if (isFirstGrant) requestBucket = Math.max(requestBucket, 1);
      isFirstGrant = false;
      lease.onClaimFailed(nowMs, retryAfterMs);
    },
    setLimit: (next, nextCount, nowMs) => {
      refill(nowMs);
      currentLimit = next;
      unleased = scaleQuota(next, UNLEASED_RATIO / nextCount);
      evenPart = scaleQuota(next, 1 / nextCount);
    },
    quota,
    streamsInUse: () => streamCount,
    isClaiming: lease.isClaiming,
    isIdle: (nowMs) => streamCount === 0 && nowMs - lastAttemptAtMs > DISCARD_AFTER_MS,
  };
}
