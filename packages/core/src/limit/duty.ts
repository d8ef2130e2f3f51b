import { rankByRendezvous } from '../hash/rendezvous';
import { QUOTA_LEASE_MS } from './allocator';
import type { Hash32 } from '../hash/rendezvous';

/** Assigns each scope's allocation to one host, and tells when leases of earlier hosts have ended. */
export interface AllocatorAssignment {
  /** Replaces the hosts that may allocate: the reachable routers of a region or of all regions. */
  readonly setHosts: (hosts: readonly string[], nowMs: number) => void;
  /** The scope's allocator; undefined without hosts. */
  readonly allocatorOf: (scope: string) => string | undefined;
  /**
   * Time before which `host` must not grant shares of the scope: until then, leases that another host
   * granted may be in force, and both together could exceed the limit.
   */
  readonly earlierLeasesEndMs: (scope: string, host: string, nowMs: number) => number;
}

interface HostListPeriod {
  readonly sinceMs: number;
  readonly hosts: readonly string[];
}

/** Host lists kept; if they change more often than this per lease, grants wait longer. */
const MAX_HOST_LISTS = 16;
const MAX_CACHED_SCOPES = 8_192;

export function createAllocatorAssignment(hash: Hash32, startMs: number): AllocatorAssignment {
  let hostLists: HostListPeriod[] = [{ sinceMs: startMs, hosts: [] }];
  let allocators = new Map<string, string | undefined>();

  function allocatorIn(scope: string, hosts: readonly string[]): string | undefined {
    return rankByRendezvous(scope, hosts, (host) => host, hash)[0];
  }

  return {
    setHosts: (hosts, nowMs) => {
      hostLists = [...hostLists.slice(1 - MAX_HOST_LISTS), { sinceMs: nowMs, hosts }];
      allocators = new Map();
    },
    allocatorOf: (scope) => {
      if (allocators.has(scope)) return allocators.get(scope);
      const allocator = allocatorIn(scope, hostLists.at(-1)?.hosts ?? []);
      if (allocators.size >= MAX_CACHED_SCOPES) allocators.clear();
      allocators.set(scope, allocator);
      return allocator;
    },
    earlierLeasesEndMs: (scope, host, nowMs) => {
      let untilMs = 0;
      hostLists.forEach((list, at) => {
        const endMs = hostLists[at + 1]?.sinceMs ?? Infinity;
        const isRecent = endMs + QUOTA_LEASE_MS > nowMs;
        // While another host was the allocator, it may have granted leases until the list changed.
        if (isRecent && allocatorIn(scope, list.hosts) !== host) untilMs = endMs + QUOTA_LEASE_MS;
      });
      return untilMs;
    },
  };
}
