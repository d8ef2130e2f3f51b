import { rankByRendezvous } from '../hash/rendezvous';
import { LEASE_MS } from './allocator';
import type { Hash32 } from '../hash/rendezvous';

/** Tells which host allocates a scope, and since when that is certain. */
export interface Duty {
  /** Called with the reachable routers of the region whenever they change. */
  readonly setHosts: (hosts: readonly string[], nowMs: number) => void;
  /** The scope's allocator; undefined without hosts. */
  readonly allocatorOf: (scope: string) => string | undefined;
  /**
   * Until when `host` must not grant shares of the scope, because another allocator may have granted
   * some that are still in force.
   */
  readonly heldOffUntilMs: (scope: string, host: string, nowMs: number) => number;
}

interface View {
  readonly fromMs: number;
  readonly hosts: readonly string[];
}

/** Views kept; a fleet that changes faster holds off longer. */
const MAX_VIEWS = 16;
const MAX_RANKED = 8_192;

export function createDuty(hash: Hash32, startMs: number): Duty {
  let views: View[] = [{ fromMs: startMs, hosts: [] }];
  let ranked = new Map<string, string | undefined>();

  function firstOf(scope: string, hosts: readonly string[]): string | undefined {
    return rankByRendezvous(scope, hosts, (host) => host, hash)[0];
  }

  return {
    setHosts: (hosts, nowMs) => {
      views = [...views.slice(1 - MAX_VIEWS), { fromMs: nowMs, hosts }];
      ranked = new Map();
    },
    allocatorOf: (scope) => {
      if (ranked.has(scope)) return ranked.get(scope);
      const first = firstOf(scope, views.at(-1)?.hosts ?? []);
      if (ranked.size >= MAX_RANKED) ranked.clear();
      ranked.set(scope, first);
      return first;
    },
    heldOffUntilMs: (scope, host, nowMs) => {
      let untilMs = 0;
      views.forEach((view, at) => {
        const endMs = views[at + 1]?.fromMs ?? Infinity;
        const isRecent = endMs + LEASE_MS > nowMs;
        // While another host was first, it may have granted until the end of the view.
        if (isRecent && firstOf(scope, view.hosts) !== host) untilMs = endMs + LEASE_MS;
      });
      return untilMs;
    },
  };
}
