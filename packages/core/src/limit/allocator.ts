import { mapAmounts, METERS, NO_AMOUNTS } from './amounts';
import type { Amounts, Meter } from './amounts';

/** A holder asks for a share of a scope's limit; the request also renews what it has. */
export interface ShareRequest {
  readonly scope: string;
  readonly holder: string;
  /** What the holder could use in the next lease. */
  readonly wanted: Amounts;
  /** Streams it runs now; they stay counted even if the share shrinks. */
  readonly streamsInUse: number;
}

export type ShareAnswer =
  | { readonly kind: 'granted'; readonly amounts: Amounts; readonly leaseMs: number }
  /** Leases of an earlier allocator may still be in force. */
  | { readonly kind: 'not_ready'; readonly retryAfterMs: number }
  | { readonly kind: 'not_responsible' };

/** Divides each scope's pool among the holders that ask, by short leases. */
export interface Allocator {
  readonly request: (request: ShareRequest, pool: Amounts, nowMs: number) => ShareAnswer;
  /** Leases of an earlier allocator of the scope run until then. */
  readonly holdOff: (scope: string, untilMs: number) => void;
  readonly granted: (scope: string, nowMs: number) => Amounts;
  /** What all holders of the scope want together. */
  readonly wanted: (scope: string, nowMs: number) => Amounts;
  readonly scopeCount: () => number;
}

/** Holders renew twice per lease, so one lost message costs nothing. */
export const LEASE_MS = 2_000;
/** Fair shares are computed at most this often per scope. */
const SHARE_PERIOD_MS = 50;
/** A scope nobody asked about is forgotten after this many leases. */
const IDLE_LEASES = 5;

interface Grant {
  amounts: Amounts;
  wanted: Amounts;
  expiresAtMs: number;
}

interface Scope {
  readonly grants: Map<string, Grant>;
  /** Per meter, the most that a holder gets while all want more than their part. */
  level: Amounts;
  levelAtMs: number;
  lastAskedAtMs: number;
}

export function createAllocator(): Allocator {
  const scopes = new Map<string, Scope>();
  const heldOffUntilMs = new Map<string, number>();
  let sweptAtMs = 0;

  function scopeOf(name: string): Scope {
    const known = scopes.get(name);
    if (known !== undefined) return known;
    const created: Scope = {
      grants: new Map(),
      level: NO_AMOUNTS,
      levelAtMs: -Infinity,
      lastAskedAtMs: 0,
    };
    scopes.set(name, created);
    return created;
  }

  function sweep(nowMs: number): void {
    if (nowMs - sweptAtMs < LEASE_MS) return;
    sweptAtMs = nowMs;
    scopes.forEach((scope, name) => {
      if (nowMs - scope.lastAskedAtMs > IDLE_LEASES * LEASE_MS) scopes.delete(name);
    });
    heldOffUntilMs.forEach((untilMs, name) => {
      if (untilMs <= nowMs) heldOffUntilMs.delete(name);
    });
  }

  function grant(request: ShareRequest, scope: Scope, pool: Amounts, nowMs: number): Amounts {
    dropExpired(scope, nowMs);
    const others = sumOfOthers(scope, request.holder);
    const isKnown = scope.grants.has(request.holder);
    const own = scope.grants.get(request.holder) ?? { amounts: NO_AMOUNTS, wanted: NO_AMOUNTS };
    scope.grants.set(request.holder, {
      amounts: own.amounts,
      wanted: request.wanted,
      expiresAtMs: nowMs + LEASE_MS,
    });
    if (!isKnown || nowMs - scope.levelAtMs >= SHARE_PERIOD_MS) {
      scope.level = fairLevels(scope, pool);
      scope.levelAtMs = nowMs;
    }
    const amounts = mapAmounts((meter) => {
      const free = Math.max(0, pool[meter] - others[meter]);
      return Math.min(free, request.wanted[meter], scope.level[meter]);
    });
    // Running streams cannot be taken back, so they are counted until they end.
    const counted = { ...amounts, streams: Math.max(amounts.streams, request.streamsInUse) };
    scope.grants.set(request.holder, {
      amounts: counted,
      wanted: request.wanted,
      expiresAtMs: nowMs + LEASE_MS,
    });
    return amounts;
  }

  return {
    request: (request, pool, nowMs) => {
      sweep(nowMs);
      const untilMs = heldOffUntilMs.get(request.scope) ?? 0;
      if (nowMs < untilMs) return { kind: 'not_ready', retryAfterMs: untilMs - nowMs };
      const scope = scopeOf(request.scope);
      scope.lastAskedAtMs = nowMs;
      return { kind: 'granted', amounts: grant(request, scope, pool, nowMs), leaseMs: LEASE_MS };
    },
    holdOff: (scope, untilMs) => {
      heldOffUntilMs.set(scope, Math.max(untilMs, heldOffUntilMs.get(scope) ?? 0));
    },
    granted: (name, nowMs) => {
      const scope = scopes.get(name);
      if (scope === undefined) return NO_AMOUNTS;
      dropExpired(scope, nowMs);
      return sumOfOthers(scope, undefined);
    },
    wanted: (name, nowMs) => {
      const scope = scopes.get(name);
      if (scope === undefined) return NO_AMOUNTS;
      dropExpired(scope, nowMs);
      return mapAmounts((meter) => {
        let sum = 0;
        for (const entry of scope.grants.values()) sum += entry.wanted[meter];
        return sum;
      });
    },
    scopeCount: () => scopes.size,
  };
}

function dropExpired(scope: Scope, nowMs: number): void {
  for (const [holder, entry] of scope.grants) {
    if (entry.expiresAtMs <= nowMs) scope.grants.delete(holder);
  }
}

function sumOfOthers(scope: Scope, except: string | undefined): Amounts {
  let requestsPerSec = 0;
  let tokensPerSec = 0;
  let streams = 0;
  for (const [holder, { amounts }] of scope.grants) {
    if (holder === except) continue;
    requestsPerSec += amounts.requestsPerSec;
    tokensPerSec += amounts.tokensPerSec;
    streams += amounts.streams;
  }
  return { requestsPerSec, tokensPerSec, streams };
}

/** Max-min fairness: small wishes are met in full, the rest is divided evenly. */
function fairLevels(scope: Scope, pool: Amounts): Amounts {
  const levels: Record<Meter, number> = { ...NO_AMOUNTS };
  METERS.forEach((meter) => {
    const wishes = [...scope.grants.values()].map((entry) => entry.wanted[meter]);
    levels[meter] = fairLevel(wishes, pool[meter]);
  });
  return levels;
}

function fairLevel(wishes: number[], pool: number): number {
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
