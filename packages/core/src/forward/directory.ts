import type { ServerId } from '../ids';
import type { ForwardServer } from './types';

/**
 * The list of servers over outages of the store. Entries lapse while the store is away and their
 * servers live on; they are back soon after its return.
 */
export interface ServerDirectory {
  /** Replaces the list; `sinceOutageMs` is the time since the store was last out of reach. */
  readonly update: (
    servers: readonly ForwardServer[],
    sinceOutageMs: number,
    nowMs: number,
  ) => void;
  /** Listed servers, and those that may only have lapsed, marked as uncertain. */
  readonly servers: (nowMs: number) => readonly ForwardServer[];
  /** When the next uncertain entry is taken as gone; undefined if there is none. */
  readonly nextExpiryMs: () => number | undefined;
}

/** Living servers have written their entries again within this time of the store's return. */
const LAPSE_GRACE_MS = 2_200;

export function createServerDirectory(): ServerDirectory {
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
      const graceLeftMs = LAPSE_GRACE_MS - sinceOutageMs;
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
