import type { ServerId } from '../ids';
import type { ForwardServer } from './types';

/**
 * Corrects the list of servers after the store came back from an older copy. The copy shows servers as they
 * were when it was made, until each has written its entry again.
 */
export interface RestoredEntries {
  /** The server's entry was removed, or is no longer kept. */
  readonly onRemoved: (server: ForwardServer, nowMs: number) => void;
  /** Finds the entries of the copy that are older than what is known. */
  readonly onCopyRead: (
    copy: readonly ForwardServer[],
    known: readonly ForwardServer[],
    nowMs: number,
  ) => void;
  /** The listed servers, with outdated entries of the copy replaced by what was known, or left out. */
  readonly correct: (listed: readonly ForwardServer[], nowMs: number) => readonly ForwardServer[];
  /** Time at which the next outdated entry counts as current; undefined if there is none. */
  readonly nextExpiryMs: () => number | undefined;
}

interface OutdatedEntry {
  readonly entry: ForwardServer;
  /** What was known of the server; undefined if it had been removed. */
  readonly known: ForwardServer | undefined;
  readonly untilMs: number;
}

/** By then the store itself has removed the entries of the copy whose servers are gone. */
const OUTDATED_MAX_MS = 6_000;
/** Longer than the time between a copy and the restore from it. */
const REMOVED_MEMORY_MS = 60_000;

export function createRestoredEntries(): RestoredEntries {
  const removed = new Map<ServerId, { readonly server: ForwardServer; readonly atMs: number }>();
  const outdated = new Map<ServerId, OutdatedEntry>();

  function forget(nowMs: number): void {
    removed.forEach(({ atMs }, serverId) => {
      if (nowMs - atMs > REMOVED_MEMORY_MS) removed.delete(serverId);
    });
    outdated.forEach(({ untilMs }, serverId) => {
      if (untilMs <= nowMs) outdated.delete(serverId);
    });
  }

  /** A server that has said that it is leaving stays so until its own entry says it again. */
  function findOutdated(
    entry: ForwardServer,
    known: ForwardServer | undefined,
    nowMs: number,
  ): OutdatedEntry | undefined {
    const untilMs = nowMs + OUTDATED_MAX_MS;
    if (known !== undefined) {
      if (startedBefore(entry, known)) return { entry, known, untilMs };
      const hasReturned = isSameStart(entry, known) && known.isLeaving && !entry.isLeaving;
      return hasReturned ? { entry, known, untilMs: Infinity } : undefined;
    }
    const gone = removed.get(entry.serverId)?.server;
    if (gone === undefined || !(isSameStart(entry, gone) || startedBefore(entry, gone))) {
      return undefined;
    }
    return { entry, known: undefined, untilMs };
  }

  return {
    onRemoved: (server, nowMs) => {
      removed.set(server.serverId, { server, atMs: nowMs });
    },
    onCopyRead: (copy, known, nowMs) => {
      forget(nowMs);
      const knownById = new Map(known.map((server) => [server.serverId, server]));
      copy.forEach((entry) => {
        const found = findOutdated(entry, knownById.get(entry.serverId), nowMs);
        if (found !== undefined) outdated.set(entry.serverId, found);
      });
    },
    correct: (listed, nowMs) => {
      forget(nowMs);
      const listedIds = new Set(listed.map(({ serverId }) => serverId));
      outdated.forEach((_, serverId) => {
        if (!listedIds.has(serverId)) outdated.delete(serverId);
      });
      return listed.flatMap((server) => {
        const found = outdated.get(server.serverId);
        if (found === undefined) return [server];
        if (isSameEntry(server, found.entry)) return found.known === undefined ? [] : [found.known];
        outdated.delete(server.serverId);
        return [server];
      });
    },
    nextExpiryMs: () => {
      const untilMs = Math.min(...[...outdated.values()].map((entry) => entry.untilMs));
      return Number.isFinite(untilMs) ? untilMs : undefined;
    },
  };
}

function isSameStart(a: ForwardServer, b: ForwardServer): boolean {
  return a.address === b.address && a.startedAtMs === b.startedAtMs;
}

function startedBefore(a: ForwardServer, b: ForwardServer): boolean {
  if (a.startedAtMs === undefined || b.startedAtMs === undefined) return false;
  return a.startedAtMs < b.startedAtMs;
}

function isSameEntry(a: ForwardServer, b: ForwardServer): boolean {
  return isSameStart(a, b) && a.isLeaving === b.isLeaving && a.version === b.version;
}
