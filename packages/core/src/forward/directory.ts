import { createRestoredEntries } from './restored-entries';
import type { ServerId } from '../ids';
import type { ForwardServer } from './types';

/**
 * List of servers that survives store outages. Servers cannot renew their entries during an outage,
 * so entries of running servers expire; the servers write them again soon after the store is back.
 */
export interface ServerDirectory {
  /**
   * Replaces the list; `sinceOutageMs` is the time since the store was last unreachable. `isCopy` tells that
   * the store has just been restored from an older copy, which the list shows.
   */
  readonly update: (
    servers: readonly ForwardServer[],
    sinceOutageMs: number,
    nowMs: number,
    isCopy?: boolean,
  ) => void;
  /** Listed servers, and servers whose entries may only have expired, marked as uncertain. */
  readonly servers: (nowMs: number) => readonly ForwardServer[];
  /** Time at which `servers` next changes by itself; undefined if it does not. */
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
  const restored = createRestoredEntries();
  const uncertain = new Map<
    ServerId,
    { readonly server: ForwardServer; readonly untilMs: number }
  >();

  function expire(nowMs: number): void {
    uncertain.forEach(({ server, untilMs }, serverId) => {
      if (untilMs > nowMs) return;
      uncertain.delete(serverId);
      restored.onRemoved(server, nowMs);
    });
  }

  function correctedList(nowMs: number): readonly ForwardServer[] {
    return restored.correct([...listed.values()], nowMs);
  }

  return {
    update: (servers, sinceOutageMs, nowMs, isCopy = false) => {
      expire(nowMs);
      const before = correctedList(nowMs);
      if (isCopy) {
        const lapsed = [...uncertain.values()].map(({ server }) => server);
        restored.onCopyRead(servers, [...lapsed, ...before], nowMs);
      }
      const next = new Map(servers.map((server) => [server.serverId, server]));
      const graceLeftMs = Math.min(LAPSE_GRACE_MS - sinceOutageMs, keepMaxMs);
      before.forEach((server) => {
        const { serverId } = server;
        if (next.has(serverId)) return;
        if (graceLeftMs <= 0 || server.isLeaving) restored.onRemoved(server, nowMs);
        else uncertain.set(serverId, { server, untilMs: nowMs + graceLeftMs });
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
      return [...correctedList(nowMs), ...lapsed];
    },
    nextExpiryMs: () => {
      const expiriesMs = [...uncertain.values()].map(({ untilMs }) => untilMs);
      const nextMs = Math.min(...expiriesMs, restored.nextExpiryMs() ?? Infinity);
      return Number.isFinite(nextMs) ? nextMs : undefined;
    },
  };
}
