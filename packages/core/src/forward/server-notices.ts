import type { ServerId } from '../ids';
import type { ForwardServer } from './types';

/**
 * What servers said of themselves in their answers. It holds for one start of a server's process,
 * whatever the list of servers says: entries are late, expire, and come back with a restored store.
 */
export interface ServerNotices {
  /** The server said that it is leaving; false if that is known. */
  readonly onLeaving: (server: ForwardServer, nowMs: number) => boolean;
  /** When the server first said that it is leaving; undefined if it has not. */
  readonly leavingSinceMs: (server: ForwardServer) => number | undefined;
  /** The server wants no requests of this router until then; an earlier notice may last longer. */
  readonly onPause: (server: ForwardServer, untilMs: number, nowMs: number) => void;
  /** Time for which the server wants no more requests; 0 if it takes them. */
  readonly pauseLeftMs: (server: ForwardServer, nowMs: number) => number;
  /** Whether any server may want no more requests. */
  readonly hasPause: (nowMs: number) => boolean;
  /** The servers are listed, so what they said must be kept. */
  readonly onListed: (serverIds: ReadonlySet<ServerId>, nowMs: number) => void;
}

interface Notice {
  readonly server: ForwardServer;
  leavingSinceMs: number | undefined;
  pausedUntilMs: number;
  /** When the server last said something or was listed. */
  neededAtMs: number;
}

/** Notices of servers that are no longer listed are kept for this time: an entry may come back. */
const UNLISTED_KEEP_MS = 600_000;

export function createServerNotices(): ServerNotices {
  const notices = new Map<ServerId, Notice>();
  let lastPauseEndMs = -Infinity;

  function noticeOf(server: ForwardServer): Notice | undefined {
    const notice = notices.get(server.serverId);
    return notice === undefined || isRestart(notice.server, server) ? undefined : notice;
  }

  function noticeFor(server: ForwardServer, nowMs: number): Notice {
    const known = noticeOf(server);
    if (known !== undefined) return known;
    const created: Notice = {
      server,
      leavingSinceMs: undefined,
      pausedUntilMs: -Infinity,
      neededAtMs: nowMs,
    };
    notices.set(server.serverId, created);
    return created;
  }

  function dropOld(nowMs: number): void {
    notices.forEach(({ neededAtMs }, serverId) => {
      if (nowMs - neededAtMs >= UNLISTED_KEEP_MS) notices.delete(serverId);
    });
  }

  return {
    onLeaving: (server, nowMs) => {
      const notice = noticeFor(server, nowMs);
      if (notice.leavingSinceMs !== undefined) return false;
      notice.leavingSinceMs = nowMs;
      return true;
    },
    onPause: (server, untilMs, nowMs) => {
      const notice = noticeFor(server, nowMs);
      notice.pausedUntilMs = Math.max(notice.pausedUntilMs, untilMs);
      lastPauseEndMs = Math.max(lastPauseEndMs, untilMs);
    },
    pauseLeftMs: (server, nowMs) =>
      Math.max(0, (noticeOf(server)?.pausedUntilMs ?? -Infinity) - nowMs),
    hasPause: (nowMs) => lastPauseEndMs > nowMs,
    leavingSinceMs: (server) => noticeOf(server)?.leavingSinceMs,
    onListed: (serverIds, nowMs) => {
      notices.forEach((notice, serverId) => {
        if (serverIds.has(serverId)) notice.neededAtMs = nowMs;
      });
      dropOld(nowMs);
    },
  };
}

/** Whether the entries of a server are of two starts of its process. */
export function isRestart(before: ForwardServer, after: ForwardServer): boolean {
  if (before.address !== after.address) return true;
  if (before.startedAtMs === undefined || after.startedAtMs === undefined) return false;
  return before.startedAtMs !== after.startedAtMs;
}
