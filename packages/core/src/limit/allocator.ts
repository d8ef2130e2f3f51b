import { mapQuota, QUOTA_DIMENSIONS, NO_QUOTA } from './amounts';
import type { Quota, QuotaDimension } from './amounts';

/** A holder asks for a share of a scope's limit; the request also renews what it has. */
export interface QuotaRequest {
  readonly scope: string;
  readonly holder: string;
  /** What the holder could use in the next lease. */
  readonly wanted: Quota;
  /** Streams it runs now; they stay counted even if the share shrinks. */
  readonly streamsInUse: number;
}

export type QuotaAnswer =
  | { readonly kind: 'granted'; readonly quota: Quota; readonly leaseMs: number }
  /** Leases of an earlier allocator may still be in force. */
  | { readonly kind: 'not_ready'; readonly retryAfterMs: number }
  | { readonly kind: 'not_responsible' };

/** Divides each scope's pool among the holders that ask, by short leases. */
export interface QuotaAllocator {
  readonly request: (request: QuotaRequest, pool: Quota, nowMs: number) => QuotaAnswer;
  /** Leases of an earlier allocator of the scope run until then. */
  readonly refuseUntil: (scope: string, untilMs: number) => void;
  readonly totalGranted: (scope: string, nowMs: number) => Quota;
  /** What all holders of the scope want together. */
  readonly totalWanted: (scope: string, nowMs: number) => Quota;
  readonly scopeCount: () => number;
}

/** Holders renew twice per lease, so one lost message costs nothing. */
export const QUOTA_LEASE_MS = 2_000;
/** Fair shares are computed at most this often per scope. */
const FAIR_SHARE_PERIOD_MS = 50;
/** A scope nobody asked about is forgotten after this many leases. */
const IDLE_SCOPE_LEASES = 5;

interface QuotaGrant {
  quota: Quota;
  wanted: Quota;
  expiresAtMs: number;
}

interface ScopeState {
  readonly grants: Map<string, QuotaGrant>;
  /** Per meter, the most that a holder gets while all want more than their part. */
  fairShare: Quota;
  fairShareAtMs: number;
  lastRequestAtMs: number;
}

export function createQuotaAllocator(): QuotaAllocator {
  const scopes = new Map<string, ScopeState>();
  const heldOffUntilMs = new Map<string, number>();
  let sweptAtMs = 0;

  function scopeOf(name: string): ScopeState {
    const known = scopes.get(name);
    if (known !== undefined) return known;
    const created: ScopeState = {
      grants: new Map(),
      fairShare: NO_QUOTA,
      fairShareAtMs: -Infinity,
      lastRequestAtMs: 0,
    };
    scopes.set(name, created);
    return created;
  }

  function sweep(nowMs: number): void {
    if (nowMs - sweptAtMs < QUOTA_LEASE_MS) return;
    sweptAtMs = nowMs;
    scopes.forEach((scope, name) => {
      if (nowMs - scope.lastRequestAtMs > IDLE_SCOPE_LEASES * QUOTA_LEASE_MS) scopes.delete(name);
    });
    heldOffUntilMs.forEach((untilMs, name) => {
      if (untilMs <= nowMs) heldOffUntilMs.delete(name);
    });
  }

  function grant(request: QuotaRequest, scope: ScopeState, pool: Quota, nowMs: number): Quota {
    dropExpired(scope, nowMs);
    const others = sumGranted(scope, request.holder);
    const isKnown = scope.grants.has(request.holder);
    const own = scope.grants.get(request.holder) ?? { quota: NO_QUOTA, wanted: NO_QUOTA };
    scope.grants.set(request.holder, {
      quota: own.quota,
      wanted: request.wanted,
      expiresAtMs: nowMs + QUOTA_LEASE_MS,
    });
    if (!isKnown || nowMs - scope.fairShareAtMs >= FAIR_SHARE_PERIOD_MS) {
      scope.fairShare = fairShares(scope, pool);
      scope.fairShareAtMs = nowMs;
    }
    const amounts = mapQuota((meter) => {
      const free = Math.max(0, pool[meter] - others[meter]);
      return Math.min(free, request.wanted[meter], scope.fairShare[meter]);
    });
    // Running streams cannot be taken back, so they are counted until they end.
    const counted = { ...amounts, streams: Math.max(amounts.streams, request.streamsInUse) };
    scope.grants.set(request.holder, {
      quota: counted,
      wanted: request.wanted,
      expiresAtMs: nowMs + QUOTA_LEASE_MS,
    });
    return amounts;
  }

  return {
    request: (request, pool, nowMs) => {
      sweep(nowMs);
      const untilMs = heldOffUntilMs.get(request.scope) ?? 0;
      if (nowMs < untilMs) return { kind: 'not_ready', retryAfterMs: untilMs - nowMs };
      const scope = scopeOf(request.scope);
      scope.lastRequestAtMs = nowMs;
      return {
        kind: 'granted',
        quota: grant(request, scope, pool, nowMs),
        leaseMs: QUOTA_LEASE_MS,
      };
    },
    refuseUntil: (scope, untilMs) => {
      heldOffUntilMs.set(scope, Math.max(untilMs, heldOffUntilMs.get(scope) ?? 0));
    },
    totalGranted: (name, nowMs) => {
      const scope = scopes.get(name);
      if (scope === undefined) return NO_QUOTA;
      dropExpired(scope, nowMs);
      return sumGranted(scope, undefined);
    },
    totalWanted: (name, nowMs) => {
      const scope = scopes.get(name);
      if (scope === undefined) return NO_QUOTA;
      dropExpired(scope, nowMs);
      return mapQuota((meter) => {
        let sum = 0;
        for (const entry of scope.grants.values()) sum += entry.wanted[meter];
        return sum;
      });
    },
    scopeCount: () => scopes.size,
  };
}

function dropExpired(scope: ScopeState, nowMs: number): void {
  for (const [holder, entry] of scope.grants) {
    if (entry.expiresAtMs <= nowMs) scope.grants.delete(holder);
  }
}

function sumGranted(scope: ScopeState, except: string | undefined): Quota {
  let requestsPerSec = 0;
  let tokensPerSec = 0;
  let streams = 0;
  for (const [holder, { quota }] of scope.grants) {
    if (holder === except) continue;
    requestsPerSec += quota.requestsPerSec;
    tokensPerSec += quota.tokensPerSec;
    streams += quota.streams;
  }
  return { requestsPerSec, tokensPerSec, streams };
}

/** Max-min fairness: small wishes are met in full, the rest is divided evenly. */
function fairShares(scope: ScopeState, pool: Quota): Quota {
  const levels: Record<QuotaDimension, number> = { ...NO_QUOTA };
  QUOTA_DIMENSIONS.forEach((meter) => {
    const wishes = [...scope.grants.values()].map((entry) => entry.wanted[meter]);
    levels[meter] = maxMinFairShare(wishes, pool[meter]);
  });
  return levels;
}

function maxMinFairShare(wishes: number[], pool: number): number {
  wishes.sort((a, b) => a - b);
  let left = pool;
  for (let at = 0; at < wishes.length; at += 1) {
    const wish = wishes[at] ?? 0;
    const part = left / (wishes.length - at);
    if (wish >= part) return part;
    left -= wish;
  }
  return Infinity;
}
