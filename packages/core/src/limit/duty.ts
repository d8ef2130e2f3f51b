import { rankByRendezvous } from '../hash/rendezvous';
import { QUOTA_LEASE_MS } from './allocator';
import type { Hash32 } from '../hash/rendezvous';

/** Tells which host allocates a scope, and since when that is certain. */
export interface AllocatorAssignment {
  /** Called with the reachable routers of the region whenever they change. */
  readonly setHosts: (hosts: readonly string[], nowMs: number) => void;
  /** The scope's allocator; undefined without hosts. */
  readonly allocatorOf: (scope: string) => string | undefined;
  /**
   * Until when `host` must not grant shares of the scope, because another allocator may have granted
   * some that are still in force.
   */
  readonly earlierLeasesEndMs: (scope: string, host: string, nowMs: number) => number;
}

interface HostListPeriod {
  readonly sinceMs: number;
  readonly hosts: readonly string[];
}

/** Views kept; a fleet that changes faster holds off longer. */
const MAX_HOST_LISTS = 16;
const MAX_CACHED_SCOPES = 8_192;

export function createAllocatorAssignment(hash: Hash32, startMs: number): AllocatorAssignment {
  let views: HostListPeriod[] = [{ sinceMs: startMs, hosts: [] }];
  let ranked = new Map<string, string | undefined>();

  function firstOf(scope: string, hosts: readonly string[]): string | undefined {
    return rankByRendezvous(scope, hosts, (host) => host, hash)[0];
  }

  return {
    setHosts: (hosts, nowMs) => {
      views = [...views.slice(1 - MAX_HOST_LISTS), { sinceMs: nowMs, hosts }];
      ranked = new Map();
    },
    allocatorOf: (scope) => {
      if (ranked.has(scope)) return ranked.get(scope);
      const first = firstOf(scope, views.at(-1)?.hosts ?? []);
      if (ranked.size >= MAX_CACHED_SCOPES) ranked.clear();
      ranked.set(scope, first);
      return first;
    },
    earlierLeasesEndMs: (scope, host, nowMs) => {
      let untilMs = 0;
      views.forEach((view, at) => {
        const endMs = views[at + 1]?.sinceMs ?? Infinity;
        const isRecent = endMs + QUOTA_LEASE_MS > nowMs;
        // While another host was first, it may have granted until the end of the view.
        if (isRecent && firstOf(scope, view.hosts) !== host) untilMs = endMs + QUOTA_LEASE_MS;
      });
      return untilMs;
    },
  };
}
