import { mapQuota, QUOTA_DIMENSIONS, scaleQuota } from './amounts';
import { CLAIM_RETRY_MS, createQuotaLease } from './quota-lease';
import type { Quota } from './amounts';
import type { SentClaim } from './quota-lease';

/** A region's part of a scope's limit, which the region's allocator divides among its routers. */
export interface RegionQuota {
  readonly quota: (nowMs: number) => Quota;
  /** The claim to send to the scope's root allocator, if one is due. */
  readonly dueClaim: (wanted: Quota, nowMs: number) => RegionQuotaClaim | undefined;
  readonly onGrant: (claim: RegionQuotaClaim, granted: Quota, leaseMs: number) => void;
  readonly onClaimFailed: (nowMs: number, retryAfterMs?: number) => void;
  /** `routerRatio` is the number of the region's routers over that of all routers. */
  readonly setLimit: (limit: Quota, routerRatio: number) => void;
}

export interface RegionQuotaClaim extends SentClaim {
  readonly wanted: Quota;
}

/** Part of every limit that is not leased but divided between the regions by their number of routers. */
export const REGION_UNLEASED_RATIO = 0.1;
const RENEW_MS = 1_000;
/** A region whose demand has changed claims at once, but not more often than this. */
const MIN_CLAIM_INTERVAL_MS = 100;
/** Demand below this part of the last claim leads to a smaller claim at once, which returns the rest. */
const RETURN_RATIO = 0.5;
/** A claim asks for this multiple of the demand, for holders that join before the next claim. */
const HEADROOM_RATIO = 1.5;
const PEAK_DECAY_MS = 2_000;
/** Bounds the decaying peak: a large demand that moved to another region must not stay reserved here. */
const MAX_DECAYED_PEAK_RATIO = 0.1;

export function createRegionQuota(limit: Quota, routerRatio: number): RegionQuota {
  const lease = createQuotaLease();
  let currentLimit = limit;
  let unleased = scaleQuota(limit, REGION_UNLEASED_RATIO * routerRatio);
  let evenPart = scaleQuota(limit, routerRatio);
  let claimed = unleased;
  let peak = unleased;
  let peakAtMs = 0;

  function quota(nowMs: number): Quota {
    const granted = lease.grantedQuota(nowMs);
    if (granted !== undefined) return mapQuota((key) => unleased[key] + granted[key]);
    return lease.isAllocatorUnreachable() ? evenPart : unleased;
  }

  /** Replaces the present demand by its decaying peak, because it drops to zero between requests. */
  function decayingPeak(wanted: Quota, nowMs: number): Quota {
    const decay = Math.exp(-Math.max(0, nowMs - peakAtMs) / PEAK_DECAY_MS);
    peakAtMs = nowMs;
    const decayed = peak;
    peak = mapQuota((dimension) => {
      const kept = Math.min(
        decayed[dimension] * decay,
        currentLimit[dimension] * MAX_DECAYED_PEAK_RATIO,
      );
      return Math.max(wanted[dimension], kept);
    });
    return peak;
  }

  return {
    quota,
    dueClaim: (demand, nowMs) => {
      const wanted = decayingPeak(demand, nowMs);
      if (!lease.canClaim(nowMs)) return undefined;
      const isMore = QUOTA_DIMENSIONS.some((dimension) => wanted[dimension] > claimed[dimension]);
      const isFarLess = QUOTA_DIMENSIONS.some(
        (dimension) => wanted[dimension] < claimed[dimension] * RETURN_RATIO,
      );
      const sinceMs = lease.sinceClaimMs(nowMs);
      if (sinceMs < (isMore || isFarLess ? MIN_CLAIM_INTERVAL_MS : RENEW_MS)) return undefined;
      const isUnleasedEnough = QUOTA_DIMENSIONS.every(
        (dimension) => wanted[dimension] <= unleased[dimension],
      );
      if (isUnleasedEnough && lease.grantedQuota(nowMs) === undefined) return undefined;
      claimed = wanted;
      const wantedWithHeadroom = mapQuota((dimension) =>
        Math.min(currentLimit[dimension], wanted[dimension] * HEADROOM_RATIO),
      );
      return { ...lease.startClaim(nowMs), wanted: wantedWithHeadroom };
    },
    onGrant: lease.onGrant,
    onClaimFailed: (nowMs, retryAfterMs = CLAIM_RETRY_MS) =>
      lease.onClaimFailed(nowMs, retryAfterMs),
    setLimit: (next, nextRouterRatio) => {
      currentLimit = next;
      unleased = scaleQuota(next, REGION_UNLEASED_RATIO * nextRouterRatio);
      evenPart = scaleQuota(next, nextRouterRatio);
    },
  };
}
