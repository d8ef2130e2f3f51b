import type { Quota } from './amounts';

/** A claim as its sender remembers it. */
export interface SentClaim {
  readonly seq: number;
  readonly sentAtMs: number;
}

/** What one holder has from an allocator, and what it is waiting for. */
export interface QuotaLease {
  /** The amounts in force; undefined without a lease. */
  readonly grantedQuota: (nowMs: number) => Quota | undefined;
  readonly remainingMs: (nowMs: number) => number;
  readonly isAllocatorUnreachable: () => boolean;
  /** Whether a claim may be sent: none is under way and no pause was asked for. */
  readonly canClaim: (nowMs: number) => boolean;
  readonly isClaiming: (nowMs: number) => boolean;
  readonly startClaim: (nowMs: number) => SentClaim;
  readonly sinceClaimMs: (nowMs: number) => number;
  /** The lease is counted from the sending of the claim, so it ends before the allocator's does. */
  readonly onGrant: (mark: SentClaim, amounts: Quota, leaseMs: number) => void;
  readonly onClaimFailed: (nowMs: number, retryAfterMs: number) => void;
}

/** An unanswered claim is given up after this time, and a failed one repeated. */
export const CLAIM_RETRY_MS = 500;

export function createQuotaLease(): QuotaLease {
  let granted: Quota | undefined;
  let grantedUntilMs = 0;
  let isUnreachable = false;
  let seq = 0;
  let answeredSeq = 0;
  let claimedAtMs = -Infinity;
  let retryAtMs = 0;

  function isClaiming(nowMs: number): boolean {
    return seq > answeredSeq && nowMs - claimedAtMs < CLAIM_RETRY_MS;
  }

  return {
    grantedQuota: (nowMs) => (nowMs < grantedUntilMs ? granted : undefined),
    remainingMs: (nowMs) => Math.max(0, grantedUntilMs - nowMs),
    isAllocatorUnreachable: () => isUnreachable,
    canClaim: (nowMs) => !isClaiming(nowMs) && nowMs >= retryAtMs,
    isClaiming,
    startClaim: (nowMs) => {
      seq += 1;
      claimedAtMs = nowMs;
      return { seq, sentAtMs: nowMs };
    },
    sinceClaimMs: (nowMs) => nowMs - claimedAtMs,
    onGrant: (mark, amounts, leaseMs) => {
      if (mark.seq <= answeredSeq) return;
      answeredSeq = mark.seq;
      isUnreachable = false;
      granted = amounts;
      grantedUntilMs = mark.sentAtMs + leaseMs;
    },
    onClaimFailed: (nowMs, retryAfterMs) => {
      answeredSeq = seq;
      isUnreachable = true;
      retryAtMs = nowMs + Math.min(CLAIM_RETRY_MS, retryAfterMs);
    },
  };
}
