import { mapAmounts, METERS, scaleAmounts } from './amounts';
import { CLAIM_RETRY_MS, createHold } from './hold';
import type { Amounts } from './amounts';
import type { ClaimMark } from './hold';

/** A region's part of a scope's limit, held by the region's allocator. */
export interface Pool {
  readonly amounts: (nowMs: number) => Amounts;
  /** The claim to send to the scope's root allocator, if one is due. */
  readonly dueClaim: (wanted: Amounts, nowMs: number) => PoolClaim | undefined;
  readonly onGrant: (claim: PoolClaim, amounts: Amounts, leaseMs: number) => void;
  readonly onNoAnswer: (nowMs: number, retryAfterMs?: number) => void;
  /** `partRatio`: the region's routers over all routers. */
  readonly setLimit: (limit: Amounts, partRatio: number) => void;
}

export interface PoolClaim extends ClaimMark {
  readonly wanted: Amounts;
}

/** Part of every limit that the regions own without asking, by their number of routers. */
export const REGION_BASE_RATIO = 0.1;
const RENEW_MS = 1_000;
/** A region that needs more than it has asks again at once, but not with every request. */
const URGENT_MS = 100;
/** A region that needs less than this part of its claim gives the rest back at once. */
const RETURN_RATIO = 0.5;
/** Room for holders that come before the next claim. */
const HEADROOM_RATIO = 1.5;
const PEAK_MS = 2_000;
/** A large demand that has gone elsewhere must not be held back here. */
const MAX_KEPT_RATIO = 0.1;

export function createPool(limit: Amounts, partRatio: number): Pool {
  const hold = createHold();
  let whole = limit;
  let base = scaleAmounts(limit, REGION_BASE_RATIO * partRatio);
  let fallback = scaleAmounts(limit, partRatio);
  let claimed = base;
  let peak = base;
  let peakAtMs = 0;

  function amounts(nowMs: number): Amounts {
    const granted = hold.current(nowMs);
    if (granted !== undefined) return mapAmounts((meter) => base[meter] + granted[meter]);
    return hold.isUnreachable() ? fallback : base;
  }

  /** Single requests come and go; what they needed lately is a better measure than the moment. */
  function smooth(wanted: Amounts, nowMs: number): Amounts {
    const decay = Math.exp(-Math.max(0, nowMs - peakAtMs) / PEAK_MS);
    peakAtMs = nowMs;
    const decayed = peak;
    peak = mapAmounts((meter) => {
      const kept = Math.min(decayed[meter] * decay, whole[meter] * MAX_KEPT_RATIO);
      return Math.max(wanted[meter], kept);
    });
    return peak;
  }

  return {
    amounts,
    dueClaim: (wishes, nowMs) => {
      const wanted = smooth(wishes, nowMs);
      if (!hold.canClaim(nowMs)) return undefined;
      const isMore = METERS.some((meter) => wanted[meter] > claimed[meter]);
      const isFarLess = METERS.some((meter) => wanted[meter] < claimed[meter] * RETURN_RATIO);
      const sinceMs = hold.sinceClaimMs(nowMs);
      if (sinceMs < (isMore || isFarLess ? URGENT_MS : RENEW_MS)) return undefined;
      const isBaseEnough = METERS.every((meter) => wanted[meter] <= base[meter]);
      if (isBaseEnough && hold.current(nowMs) === undefined) return undefined;
      claimed = wanted;
      const wish = mapAmounts((meter) => Math.min(whole[meter], wanted[meter] * HEADROOM_RATIO));
      return { ...hold.claim(nowMs), wanted: wish };
    },
    onGrant: hold.onGrant,
    onNoAnswer: (nowMs, retryAfterMs = CLAIM_RETRY_MS) => hold.onNoAnswer(nowMs, retryAfterMs),
    setLimit: (next, nextRatio) => {
      whole = next;
      base = scaleAmounts(next, REGION_BASE_RATIO * nextRatio);
      fallback = scaleAmounts(next, nextRatio);
    },
  };
}
