import { mapQuota, QUOTA_DIMENSIONS, scaleQuota } from './amounts';
import { CLAIM_RETRY_MS, createQuotaLease } from './quota-lease';
import type { Quota } from './amounts';
import type { SentClaim } from './quota-lease';

/** A region's part of a scope's limit, held by the region's allocator. */
export interface RegionQuota {
  readonly quota: (nowMs: number) => Quota;
  /** The claim to send to the scope's root allocator, if one is due. */
  readonly dueClaim: (wanted: Quota, nowMs: number) => RegionQuotaClaim | undefined;
  readonly onGrant: (claim: RegionQuotaClaim, amounts: Quota, leaseMs: number) => void;
  readonly onClaimFailed: (nowMs: number, retryAfterMs?: number) => void;
  /** `partRatio`: the region's routers over all routers. */
  readonly setLimit: (limit: Quota, partRatio: number) => void;
}

export interface RegionQuotaClaim extends SentClaim {
  readonly wanted: Quota;
}

/** Part of every limit that the regions own without asking, by their number of routers. */
export const REGION_UNLEASED_RATIO = 0.1;
const RENEW_MS = 1_000;
/** A region that needs more than it has asks again at once, but not with every request. */
const MIN_CLAIM_INTERVAL_MS = 100;
/** A region that needs less than this part of its claim gives the rest back at once. */
const RETURN_RATIO = 0.5;
/** Room for holders that come before the next claim. */
const HEADROOM_RATIO = 1.5;
const PEAK_DECAY_MS = 2_000;
/** A large demand that has gone elsewhere must not be held back here. */
const MAX_DECAYED_PEAK_RATIO = 0.1;

export function createRegionQuota(limit: Quota, partRatio: number): RegionQuota {
  const hold = createQuotaLease();
  let whole = limit;
  let base = scaleQuota(limit, REGION_UNLEASED_RATIO * partRatio);
  let fallback = scaleQuota(limit, partRatio);
  let claimed = base;
  let peak = base;
  let peakAtMs = 0;

  function quota(nowMs: number): Quota {
    const granted = hold.grantedQuota(nowMs);
    if (granted !== undefined) return mapQuota((meter) => base[meter] + granted[meter]);
    return hold.isAllocatorUnreachable() ? fallback : base;
  }

  /** Single requests come and go; what they needed lately is a better measure than the moment. */
  function smooth(wanted: Quota, nowMs: number): Quota {
    const decay = Math.exp(-Math.max(0, nowMs - peakAtMs) / PEAK_DECAY_MS);
    peakAtMs = nowMs;
    const decayed = peak;
    peak = mapQuota((meter) => {
      const kept = Math.min(decayed[meter] * decay, whole[meter] * MAX_DECAYED_PEAK_RATIO);
      return Math.max(wanted[meter], kept);
    });
    return peak;
  }

  return {
    quota,
    dueClaim: (wishes, nowMs) => {
      const wanted = smooth(wishes, nowMs);
      if (!hold.canClaim(nowMs)) return undefined;
      const isMore = QUOTA_DIMENSIONS.some((meter) => wanted[meter] > claimed[meter]);
      const isFarLess = QUOTA_DIMENSIONS.some(
        (meter) => wanted[meter] < claimed[meter] * RETURN_RATIO,
      );
      const sinceMs = hold.sinceClaimMs(nowMs);
      if (sinceMs < (isMore || isFarLess ? MIN_CLAIM_INTERVAL_MS : RENEW_MS)) return undefined;
      const isBaseEnough = QUOTA_DIMENSIONS.every((meter) => wanted[meter] <= base[meter]);
      if (isBaseEnough && hold.grantedQuota(nowMs) === undefined) return undefined;
      claimed = wanted;
      const wish = mapQuota((meter) => Math.min(whole[meter], wanted[meter] * HEADROOM_RATIO));
      return { ...hold.startClaim(nowMs), wanted: wish };
    },
    onGrant: hold.onGrant,
    onClaimFailed: (nowMs, retryAfterMs = CLAIM_RETRY_MS) =>
      hold.onClaimFailed(nowMs, retryAfterMs),
    setLimit: (next, nextRatio) => {
      whole = next;
      base = scaleQuota(next, REGION_UNLEASED_RATIO * nextRatio);
      fallback = scaleQuota(next, nextRatio);
    },
  };
}
