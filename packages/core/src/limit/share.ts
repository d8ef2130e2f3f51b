import { mapAmounts, scaleAmounts } from './amounts';
import type { Amounts, Meter } from './amounts';

/** One holder's part of a scope's limit. */
export interface Share {
  readonly tryAcquire: (nowMs: number) => AcquireOutcome;
  /** Tokens are charged as they stream; a debt keeps new requests out. */
  readonly onTokens: (count: number, nowMs: number) => void;
  readonly onStreamEnd: () => void;
  /** The share to ask for, if a request is due; the caller then sends it. */
  readonly dueRequest: (nowMs: number) => ShareClaim | undefined;
  /** `sentAtMs`: when the request was sent, from which the holder counts the lease. */
  readonly onGrant: (request: ShareClaim, amounts: Amounts, leaseMs: number, nowMs: number) => void;
  /** The allocator could not be reached, or is not ready. */
  readonly onNoAnswer: (nowMs: number, retryAfterMs?: number) => void;
  readonly setLimit: (limit: Amounts, holderCount: number, nowMs: number) => void;
  readonly amounts: (nowMs: number) => Amounts;
  readonly streamsInUse: () => number;
  readonly isIdle: (nowMs: number) => boolean;
}

export interface ShareClaim {
  readonly seq: number;
  readonly sentAtMs: number;
  readonly wanted: Amounts;
  readonly streamsInUse: number;
}

export type AcquireOutcome =
  | { readonly kind: 'ok' }
  | { readonly kind: 'over'; readonly meter: Meter; readonly retryAfterMs: number };

/**
 * Part of every limit that is never leased but belongs to the holders in equal parts, so that each
 * may admit a first request without asking. Leases use the rest.
 */
export const BASE_RATIO = 0.05;
const RENEW_MS = 1_000;
/** A bucket holds this much of its rate. It bounds the burst after a quiet time. */
const BURST_SEC = 0.5;
/** Demand may grow by this before the next renewal. */
const HEADROOM_RATIO = 1.3;
const DEMAND_SMOOTHING = 0.3;
const DEMAND_PERIOD_MS = 250;
const IDLE_MS = 10_000;
const RETRY_MS = 500;
const MAX_RETRY_AFTER_MS = 10_000;
/** Tokens of a request before any has been measured. */
const INITIAL_TOKENS_PER_REQUEST = 400;

/** Creates a holder's state for one scope. `holderCount`: holders that share the limit. */
export function createShare(limit: Amounts, holderCount: number, startMs: number): Share {
  let base = scaleAmounts(limit, BASE_RATIO / holderCount);
  let fallback = scaleAmounts(limit, 1 / holderCount);
  let whole = limit;
  let granted: Amounts | undefined;
  let grantedUntilMs = 0;
  let isUnreachable = false;
  let requestLevel = 1;
  let tokenLevel = 0;
  let filledAtMs = startMs;
  let inUse = 0;
  let seq = 0;
  let answeredSeq = 0;
  let lastSentAtMs = -Infinity;
  let retryAtMs = 0;
  let lastTriedAtMs = startMs;
  let wasRefused = false;
  let attempts = 0;
  let tokens = 0;
  let attemptsPerSec = 0;
  let tokensPerSec = 0;
  let countedAtMs = startMs;

  function amounts(nowMs: number): Amounts {
    if (granted !== undefined && nowMs < grantedUntilMs) {
      const lease = granted;
      return mapAmounts((meter) => base[meter] + lease[meter]);
    }
    return isUnreachable ? fallback : base;
  }

  function fill(nowMs: number): void {
    // The rates in force until now apply to the time that has passed.
    const { requestsPerSec, tokensPerSec: rate } = amounts(Math.max(filledAtMs, nowMs - 1e-6));
    const elapsedSec = Math.max(0, nowMs - filledAtMs) / 1_000;
    filledAtMs = Math.max(filledAtMs, nowMs);
    const requestCapacity = Math.max(1, requestsPerSec * BURST_SEC);
    requestLevel = Math.min(requestCapacity, requestLevel + elapsedSec * requestsPerSec);
    tokenLevel = Math.min(Math.max(1, rate * BURST_SEC), tokenLevel + elapsedSec * rate);
  }

  function count(nowMs: number): void {
    const elapsedMs = nowMs - countedAtMs;
    if (elapsedMs < DEMAND_PERIOD_MS) return;
    const weight = 1 - (1 - DEMAND_SMOOTHING) ** (elapsedMs / DEMAND_PERIOD_MS);
    attemptsPerSec += weight * ((attempts * 1_000) / elapsedMs - attemptsPerSec);
    tokensPerSec += weight * ((tokens * 1_000) / elapsedMs - tokensPerSec);
    attempts = 0;
    tokens = 0;
    countedAtMs = nowMs;
  }

  function wanted(): Amounts {
    const perRequest =
      attemptsPerSec > 0 ? tokensPerSec / attemptsPerSec : INITIAL_TOKENS_PER_REQUEST;
    const requestsPerSec = Math.max(2, attemptsPerSec * HEADROOM_RATIO);
    const tokenWish = Math.max(tokensPerSec, attemptsPerSec * perRequest) * HEADROOM_RATIO;
    return {
      requestsPerSec: Math.min(whole.requestsPerSec, requestsPerSec),
      tokensPerSec: Math.min(whole.tokensPerSec, Math.max(INITIAL_TOKENS_PER_REQUEST, tokenWish)),
      streams: Math.min(whole.streams, Math.max(2, Math.ceil((inUse + 1) * HEADROOM_RATIO))),
    };
  }

  function over(meter: Meter, missing: number, rate: number): AcquireOutcome {
    wasRefused = true;
    const waitMs = rate > 0 ? Math.ceil((missing / rate) * 1_000) : MAX_RETRY_AFTER_MS;
    return { kind: 'over', meter, retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(1, waitMs)) };
  }

  function isDue(nowMs: number): boolean {
    if (nowMs < retryAtMs) return false;
    if (nowMs - lastTriedAtMs > RENEW_MS && inUse === 0) return false;
    const isWaiting = seq > answeredSeq;
    if (isWaiting) return nowMs - lastSentAtMs >= RETRY_MS;
    if (granted !== undefined && nowMs < grantedUntilMs) return nowMs - lastSentAtMs >= RENEW_MS;
    return wasRefused || requestLevel < 1 || inUse + 1 > base.streams;
  }

  return {
    tryAcquire: (nowMs) => {
      fill(nowMs);
      attempts += 1;
      lastTriedAtMs = nowMs;
      const now = amounts(nowMs);
      if (requestLevel < 1) return over('requestsPerSec', 1 - requestLevel, now.requestsPerSec);
      if (tokenLevel < 0) return over('tokensPerSec', -tokenLevel, now.tokensPerSec);
      // One stream per holder is part of the stated bound.
      if (inUse >= Math.max(1, Math.floor(now.streams + 1e-9))) return over('streams', 1, 1);
      requestLevel -= 1;
      inUse += 1;
      return { kind: 'ok' };
    },
    onTokens: (number, nowMs) => {
      fill(nowMs);
      tokens += number;
      tokenLevel -= number;
    },
    onStreamEnd: () => {
      inUse = Math.max(0, inUse - 1);
    },
    dueRequest: (nowMs) => {
      fill(nowMs);
      count(nowMs);
      if (!isDue(nowMs)) return undefined;
      seq += 1;
      lastSentAtMs = nowMs;
      wasRefused = false;
      return { seq, sentAtMs: nowMs, wanted: wanted(), streamsInUse: inUse };
    },
    onGrant: (request, given, leaseMs, nowMs) => {
      if (request.seq <= answeredSeq) return;
      fill(nowMs);
      answeredSeq = request.seq;
      isUnreachable = false;
      granted = given;
      grantedUntilMs = request.sentAtMs + leaseMs;
    },
    onNoAnswer: (nowMs, retryAfterMs = RETRY_MS) => {
      fill(nowMs);
      answeredSeq = seq;
      isUnreachable = true;
      retryAtMs = nowMs + Math.min(RETRY_MS, retryAfterMs);
    },
    setLimit: (next, nextCount, nowMs) => {
      fill(nowMs);
      whole = next;
      base = scaleAmounts(next, BASE_RATIO / nextCount);
      fallback = scaleAmounts(next, 1 / nextCount);
    },
    amounts,
    streamsInUse: () => inUse,
    isIdle: (nowMs) => inUse === 0 && nowMs - lastTriedAtMs > IDLE_MS,
  };
}
