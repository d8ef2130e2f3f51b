import type { Quota } from './amounts';

/** Number and send time of a claim, as its sender keeps them until the answer. */
export interface SentClaim {
  readonly seq: number;
  readonly sentAtMs: number;
}

/** A holder's lease of a quota from an allocator, and its claim that waits for an answer. */
export interface QuotaLease {
  /** The leased quota; undefined once the lease has ended. */
  readonly grantedQuota: (nowMs: number) => Quota | undefined;
  readonly remainingMs: (nowMs: number) => number;
  readonly isAllocatorUnreachable: () => boolean;
  /** Whether a claim may be sent: none waits for an answer, and the retry delay is over. */
  readonly canClaim: (nowMs: number) => boolean;
  readonly isClaiming: (nowMs: number) => boolean;
  readonly startClaim: (nowMs: number) => SentClaim;
  readonly sinceClaimMs: (nowMs: number) => number;
  /** The lease starts when the claim was sent, so it ends here before it ends at the allocator. */
  readonly onGrant: (sentClaim: SentClaim, quota: Quota, leaseMs: number) => void;
  readonly onClaimFailed: (nowMs: number, retryAfterMs: number) => void;
}

/** Time-out of an unanswered claim, and longest delay before a failed one is retried. */
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
    onGrant: (sentClaim, quota, leaseMs) => {
      if (sentClaim.seq <= answeredSeq) return;
      answeredSeq = sentClaim.seq;
      isUnreachable = false;
      granted = quota;
      grantedUntilMs = sentClaim.sentAtMs + leaseMs;
    },
    onClaimFailed: (nowMs, retryAfterMs) => {
      answeredSeq = seq;
      isUnreachable = true;
      retryAtMs = nowMs + Math.min(CLAIM_RETRY_MS, retryAfterMs);
    },
  };
}
