import type { ServerId } from '../ids';
import type { ForwardServer } from './types';

/**
 * List of servers that survives store outages. Servers cannot renew their entries during an outage,
 * so entries of running servers expire; the servers write them again soon after the store is back.
 */
export interface ServerDirectory {
  /** Replaces the list; `sinceOutageMs` is the time since the store was last unreachable. */
  readonly update: (
    servers: readonly ForwardServer[],
    sinceOutageMs: number,
    nowMs: number,
  ) => void;
  /** Listed servers, and servers whose entries may only have expired, marked as uncertain. */
  readonly servers: (nowMs: number) => readonly ForwardServer[];
  /** Time at which the next uncertain server is dropped; undefined if there is none. */
  readonly nextExpiryMs: () => number | undefined;
}

/** Running servers write their entries again within this time after the store is reachable. */
const LAPSE_GRACE_MS = 2_200;

/**
 * `keepMaxMs` is the longest time for which a removed server is kept: it may also have left just after
 * the outage, and then no request may reach it for longer.
 */
export function createServerDirectory(keepMaxMs: number): ServerDirectory {
  let listed = new Map<ServerId, ForwardServer>();
  const uncertain = new Map<
    ServerId,
    { readonly server: ForwardServer; readonly untilMs: number }
  >();

  function expire(nowMs: number): void {
    uncertain.forEach(({ untilMs }, serverId) => {
      if (untilMs <= nowMs) uncertain.delete(serverId);
    });
  }

  return {
    update: (servers, sinceOutageMs, nowMs) => {
      const next = new Map(servers.map((server) => [server.serverId, server]));
      const graceLeftMs = Math.min(LAPSE_GRACE_MS - sinceOutageMs, keepMaxMs);
      listed.forEach((server, serverId) => {
        if (next.has(serverId) || graceLeftMs <= 0 || server.isLeaving) return;
        uncertain.set(serverId, { server, untilMs: nowMs + graceLeftMs });
      });
      next.forEach((_, serverId) => uncertain.delete(serverId));
      listed = next;
    },
    servers: (nowMs) => {
      expire(nowMs);
      const lapsed = [...uncertain.values()].map(({ server }) => ({
        ...server,
        isUncertain: true,
      }));
      return [...listed.values(), ...lapsed];
    },
    nextExpiryMs: () => {
      if (uncertain.size === 0) return undefined;
      return Math.min(...[...uncertain.values()].map(({ untilMs }) => untilMs));
    },
  };
}
