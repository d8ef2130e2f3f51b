import { mapQuota, scaleQuota } from './amounts';
import { CLAIM_RETRY_MS, createQuotaLease } from './quota-lease';
import type { Quota, QuotaDimension } from './amounts';
import type { SentClaim } from './quota-lease';

/** One holder's part of a scope's limit. */
export interface QuotaShare {
  /** The caller expects at most `maxTokens`; fewer are reserved if the customer's are usually few. */
  readonly tryAcquire: (nowMs: number, maxTokens: number) => AcquireOutcome;
  /** The share to ask for, if a request is due; the caller then sends it. */
  readonly dueClaim: (nowMs: number) => QuotaClaim | undefined;
  readonly onGrant: (claim: QuotaClaim, amounts: Quota, leaseMs: number, nowMs: number) => void;
  /** The allocator could not be reached, or is not ready. */
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

/** A request that runs under a share. */
export interface Permit {
  readonly onTokens: (count: number, nowMs: number) => void;
  readonly onEnd: (nowMs: number) => void;
}

export type AcquireOutcome =
  | { readonly kind: 'ok'; readonly permit: Permit }
  | { readonly kind: 'limited'; readonly dimension: QuotaDimension; readonly retryAfterMs: number };

/**
 * Part of every limit that is never leased but belongs to the holders in equal parts, so that each
 * may admit a first request without asking. Leases use the rest.
 */
export const UNLEASED_RATIO = 0.05;
const RENEW_MS = 1_000;
/** A holder that refuses requests, or no longer has any, does not wait for the renewal. */
const EARLY_RENEW_MS = 250;
/** The smallest wish lets one request pass within a lease. */
const MIN_WANTED_PER_SEC = 0.6;
/** Smaller shares are not worth a message to give them back. */
const MIN_RETURNED_PER_SEC = 1;
const MIN_INACTIVE_MS = 300;
const INACTIVE_REQUEST_GAPS = 4;
/** A bucket holds this much of its rate. It bounds the burst after a quiet time. */
const BURST_SEC = 0.5;
/** Demand may grow by this before the next renewal. */
const HEADROOM_RATIO = 1.3;
const NEWEST_DEMAND_WEIGHT = 0.5;
const DEMAND_PERIOD_MS = 250;
const DISCARD_AFTER_MS = 60_000;
const MAX_RETRY_AFTER_MS = 10_000;
/** Tokens of a request before any has been measured. */
const INITIAL_TOKENS_PER_REQUEST = 400;
const NEWEST_TOKEN_COUNT_WEIGHT = 0.1;
const DITHER_PERIOD_MS = 10_000;
const EPSILON = 1e-9;

/**
 * Creates a holder's state for one scope. `holderCount`: holders that share the limit. `firstLevel`
 * is a random number below 1: among many holders with slow rates, some have to start soon.
 */
export function createQuotaShare(
  limit: Quota,
  holderCount: number,
  startMs: number,
  firstLevel: number,
): QuotaShare {
  let base = scaleQuota(limit, UNLEASED_RATIO / holderCount);
  let fallback = scaleQuota(limit, 1 / holderCount);
  let whole = limit;
  const hold = createQuotaLease();
  let requestLevel = 0;
  let isFirstGrant = true;
  let tokenLevel = 0;
  let filledAtMs = startMs;
  let inUse = 0;
  let lastTriedAtMs = startMs;
  let wasRefused = false;
  let attempts = 0;
  let attemptsPerSec = 0;
  let tokensPerRequest = INITIAL_TOKENS_PER_REQUEST;
  let countedAtMs = startMs;

  function quota(nowMs: number): Quota {
    const granted = hold.grantedQuota(nowMs);
    if (granted !== undefined) return mapQuota((meter) => base[meter] + granted[meter]);
    return hold.isAllocatorUnreachable() ? fallback : base;
  }

  function fill(nowMs: number): void {
    // The rates in force until now apply to the time that has passed.
    const { requestsPerSec, tokensPerSec: rate } = quota(Math.max(filledAtMs, nowMs - 1e-6));
    const elapsedSec = Math.max(0, nowMs - filledAtMs) / 1_000;
    filledAtMs = Math.max(filledAtMs, nowMs);
    const requestCapacity = Math.max(1, requestsPerSec * BURST_SEC);
    requestLevel = Math.min(requestCapacity, requestLevel + elapsedSec * requestsPerSec);
    tokenLevel = Math.min(Math.max(1, rate * BURST_SEC), tokenLevel + elapsedSec * rate);
  }

  function count(nowMs: number): void {
    const elapsedMs = nowMs - countedAtMs;
    if (elapsedMs < DEMAND_PERIOD_MS) return;
    const weight = 1 - (1 - NEWEST_DEMAND_WEIGHT) ** (elapsedMs / DEMAND_PERIOD_MS);
    attemptsPerSec += weight * ((attempts * 1_000) / elapsedMs - attemptsPerSec);
    attempts = 0;
    countedAtMs = nowMs;
  }

  function wanted(nowMs: number): Quota {
    const isQuiet = nowMs - lastTriedAtMs >= quietMs();
    const requestsPerSec = isQuiet
      ? 0
      : Math.max(MIN_WANTED_PER_SEC, attemptsPerSec * HEADROOM_RATIO);
    const streams = isQuiet ? inUse : Math.floor(1 + inUse * HEADROOM_RATIO);
    return {
      requestsPerSec: Math.min(whole.requestsPerSec, requestsPerSec),
      tokensPerSec: Math.min(whole.tokensPerSec, requestsPerSec * tokensPerRequest),
      streams: Math.min(whole.streams, streams),
    };
  }

  /** Silence after which the demand counts as gone. */
  function quietMs(): number {
    return Math.max(
      MIN_INACTIVE_MS,
      (INACTIVE_REQUEST_GAPS * 1_000) / Math.max(attemptsPerSec, 1e-3),
    );
  }

  /** One request may be served ahead of the rate, if the rest of the lease covers it. */
  function canBorrow(nowMs: number): boolean {
    if (requestLevel < 0) return false;
    const granted = hold.grantedQuota(nowMs);
    if (granted === undefined) return false;
    return requestLevel + granted.requestsPerSec * (hold.remainingMs(nowMs) / 1_000) >= 1;
  }

  /**
   * Whole streams of a part that need not be whole. Rounding by a number that differs between
   * holders and moves with time keeps the sum at the limit, and each holder gets its turn.
   */
  function streamCap(part: number, nowMs: number): number {
    const dither = (firstLevel + nowMs / DITHER_PERIOD_MS) % 1;
    return Math.floor(part + dither + EPSILON);
  }

  /** A debt from before holds up no first request that the rest of the lease covers. */
  function canBorrowTokens(nowMs: number): boolean {
    const granted = hold.grantedQuota(nowMs);
    if (granted === undefined || inUse > 0) return false;
    return tokenLevel + granted.tokensPerSec * (hold.remainingMs(nowMs) / 1_000) >= 0;
  }

  function createPermit(reserved: number): Permit {
    let used = 0;
    let hasEnded = false;
    return {
      onTokens: (tokens, nowMs) => {
        fill(nowMs);
        const before = Math.max(used, reserved);
        used += tokens;
        tokenLevel -= Math.max(used, reserved) - before;
      },
      onEnd: (nowMs) => {
        if (hasEnded) return;
        hasEnded = true;
        fill(nowMs);
        tokenLevel += Math.max(0, reserved - used);
        tokensPerRequest += NEWEST_TOKEN_COUNT_WEIGHT * (used - tokensPerRequest);
        inUse = Math.max(0, inUse - 1);
      },
    };
  }

  function over(dimension: QuotaDimension, missing: number, rate: number): AcquireOutcome {
    wasRefused = true;
    const waitMs = rate > 0 ? Math.ceil((missing / rate) * 1_000) : MAX_RETRY_AFTER_MS;
    return {
      kind: 'limited',
      dimension,
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(1, waitMs)),
    };
  }

  function isDue(nowMs: number): boolean {
    if (!hold.canClaim(nowMs)) return false;
    if (nowMs - lastTriedAtMs > RENEW_MS && inUse === 0) return false;
    const granted = hold.grantedQuota(nowMs);
    if (granted === undefined) {
      const isRecent = nowMs - lastTriedAtMs < RENEW_MS;
      return (isRecent && (wasRefused || requestLevel < 1)) || inUse > base.streams;
    }
    const sinceMs = hold.sinceClaimMs(nowMs);
    if (sinceMs >= RENEW_MS) return true;
    // A share that is no longer used is given back, so that another holder can have it.
    const isIdleShare =
      granted.requestsPerSec > MIN_RETURNED_PER_SEC && nowMs - lastTriedAtMs >= quietMs();
    return sinceMs >= EARLY_RENEW_MS && (wasRefused || isIdleShare);
  }

  return {
    tryAcquire: (nowMs, maxTokens) => {
      fill(nowMs);
      attempts += 1;
      lastTriedAtMs = nowMs;
      const now = quota(nowMs);
      if (requestLevel < 1 && !canBorrow(nowMs)) {
        return over('requestsPerSec', 1 - requestLevel, now.requestsPerSec);
      }
      if (tokenLevel < 0 && !canBorrowTokens(nowMs)) {
        return over('tokensPerSec', -tokenLevel, now.tokensPerSec);
      }
      if (inUse >= streamCap(now.streams, nowMs)) return over('streams', 1, 1);
      const reserved = Math.min(maxTokens, tokensPerRequest);
      requestLevel -= 1;
      tokenLevel -= reserved;
      inUse += 1;
      return { kind: 'ok', permit: createPermit(reserved) };
    },
    dueClaim: (nowMs) => {
      fill(nowMs);
      count(nowMs);
      if (!isDue(nowMs)) return undefined;
      wasRefused = false;
      return { ...hold.startClaim(nowMs), wanted: wanted(nowMs), streamsInUse: inUse };
    },
    onGrant: (claim, given, leaseMs, nowMs) => {
      fill(nowMs);
      hold.onGrant(claim, given, leaseMs);
      const isSlow = (given.requestsPerSec * leaseMs) / 1_000 < 1;
      if (isFirstGrant && isSlow && given.requestsPerSec > 0) {
        requestLevel = Math.max(requestLevel, firstLevel);
      }
      isFirstGrant = false;
    },
    onClaimFailed: (nowMs, retryAfterMs = CLAIM_RETRY_MS) => {
      fill(nowMs);
      // Without an allocator a new holder may serve one request at once.
      if (isFirstGrant) requestLevel = Math.max(requestLevel, 1);
      isFirstGrant = false;
      hold.onClaimFailed(nowMs, retryAfterMs);
    },
    setLimit: (next, nextCount, nowMs) => {
      fill(nowMs);
      whole = next;
      base = scaleQuota(next, UNLEASED_RATIO / nextCount);
      fallback = scaleQuota(next, 1 / nextCount);
    },
    quota,
    streamsInUse: () => inUse,
    isClaiming: hold.isClaiming,
    isIdle: (nowMs) => inUse === 0 && nowMs - lastTriedAtMs > DISCARD_AFTER_MS,
  };
}
