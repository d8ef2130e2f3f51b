import { mapQuota, QUOTA_DIMENSIONS, NO_QUOTA } from './amounts';
import type { Quota, QuotaDimension } from './amounts';

/** A holder's claim to a share of a scope's limit; it also renews the holder's lease. */
export interface QuotaRequest {
  readonly scope: string;
  readonly holder: string;
  /** Quota that the holder could use during the next lease. */
  readonly wanted: Quota;
  /** Streams that the holder runs now; they stay counted even if its share shrinks. */
  readonly streamsInUse: number;
}

export type QuotaAnswer =
  | { readonly kind: 'granted'; readonly quota: Quota; readonly leaseMs: number }
  /** Leases that an earlier allocator granted may still be in force. */
  | { readonly kind: 'not_ready'; readonly retryAfterMs: number }
  | { readonly kind: 'not_responsible' };

/** Divides the quota of each scope among the holders that claim it, in short leases. */
export interface QuotaAllocator {
  readonly request: (request: QuotaRequest, pool: Quota, nowMs: number) => QuotaAnswer;
  /** Answers 'not_ready' for the scope until then, because leases of an earlier allocator may run. */
  readonly refuseUntil: (scope: string, untilMs: number) => void;
  readonly totalGranted: (scope: string, nowMs: number) => Quota;
  /** Sum of the quotas that the scope's holders ask for. */
  readonly totalWanted: (scope: string, nowMs: number) => Quota;
  readonly scopeCount: () => number;
}

/** Holders renew twice per lease, so a single lost message does not end it. */
export const QUOTA_LEASE_MS = 2_000;
/** Shortest time between two computations of a scope's fair shares. */
const FAIR_SHARE_PERIOD_MS = 50;
/** Lease times without a claim after which a scope's state is dropped. */
const IDLE_SCOPE_LEASES = 5;

interface QuotaGrant {
  quota: Quota;
  wanted: Quota;
  expiresAtMs: number;
}

interface ScopeState {
  readonly grants: Map<string, QuotaGrant>;
  /** Largest quota that a holder gets by max-min fairness. */
  fairShare: Quota;
  fairShareAtMs: number;
  lastRequestAtMs: number;
}

export function createQuotaAllocator(): QuotaAllocator {
  const scopes = new Map<string, ScopeState>();
  const notReadyUntilMs = new Map<string, number>();
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

  function dropIdleScopes(nowMs: number): void {
    if (nowMs - sweptAtMs < QUOTA_LEASE_MS) return;
    sweptAtMs = nowMs;
    scopes.forEach((scope, name) => {
      if (nowMs - scope.lastRequestAtMs > IDLE_SCOPE_LEASES * QUOTA_LEASE_MS) scopes.delete(name);
    });
    notReadyUntilMs.forEach((untilMs, name) => {
      if (untilMs <= nowMs) notReadyUntilMs.delete(name);
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
    const granted = mapQuota((dimension) => {
      const free = Math.max(0, pool[dimension] - others[dimension]);
      return Math.min(free, request.wanted[dimension], scope.fairShare[dimension]);
    });
    // Running streams cannot be revoked, so they count as granted until they end.
    const counted = { ...granted, streams: Math.max(granted.streams, request.streamsInUse) };
    scope.grants.set(request.holder, {
      quota: counted,
      wanted: request.wanted,
      expiresAtMs: nowMs + QUOTA_LEASE_MS,
    });
    return granted;
  }

  return {
    request: (request, pool, nowMs) => {
      dropIdleScopes(nowMs);
      const untilMs = notReadyUntilMs.get(request.scope) ?? 0;
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
      notReadyUntilMs.set(scope, Math.max(untilMs, notReadyUntilMs.get(scope) ?? 0));
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
      return mapQuota((dimension) => {
        let sum = 0;
        for (const entry of scope.grants.values()) sum += entry.wanted[dimension];
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

function sumGranted(scope: ScopeState, excludedHolder: string | undefined): Quota {
  let requestsPerSec = 0;
  let tokensPerSec = 0;
  let streams = 0;
  for (const [holder, { quota }] of scope.grants) {
    if (holder === excludedHolder) continue;
    requestsPerSec += quota.requestsPerSec;
    tokensPerSec += quota.tokensPerSec;
    streams += quota.streams;
  }
  return { requestsPerSec, tokensPerSec, streams };
}

/** Max-min fairness: small claims are met in full, and the rest is divided evenly. */
function fairShares(scope: ScopeState, pool: Quota): Quota {
  const shares: Record<QuotaDimension, number> = { ...NO_QUOTA };
  QUOTA_DIMENSIONS.forEach((dimension) => {
    const claims = [...scope.grants.values()].map((entry) => entry.wanted[dimension]);
    shares[dimension] = maxMinFairShare(claims, pool[dimension]);
  });
  return shares;
}

function maxMinFairShare(claims: number[], pool: number): number {
  claims.sort((a, b) => a - b);
  let remaining = pool;
  for (let at = 0; at < claims.length; at += 1) {
    const claim = claims[at] ?? 0;
    const evenPart = remaining / (claims.length - at);
    if (claim >= evenPart) return evenPart;
    remaining -= claim;
  }
  return Infinity;
}
