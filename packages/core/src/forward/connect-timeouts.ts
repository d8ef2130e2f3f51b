import type { FailureDomain, ServerId } from '../ids';
import type { ForwardServer } from './types';

/**
 * Tells servers that accept no connections from a host whose own connections are slow to all sides.
 *
 * It answers the load of a host with a narrow link: when a failure domain is lost, dozens of streams
 * move at once, packets queue at the host's link, and connections to sound servers time out. Taken
 * for failures of those servers, and told to all routers, they cause more moves and more messages, so
 * that the link never recovers.
 */
export interface ConnectTimeouts {
  /** A connection attempt timed out; true if that says nothing about the server. */
  readonly onTimeout: (server: ForwardServer, nowMs: number) => boolean;
  /** A new connection was made in time, or bytes arrived from the server. */
  readonly onConnected: (server: ForwardServer, nowMs: number) => void;
  /** Time allowed for a connection that usually gets `usualMs`. */
  readonly timeoutMs: (usualMs: number, nowMs: number) => number;
  /** Whether connections to all sides are slow now. */
  readonly isOwnTrouble: (nowMs: number) => boolean;
}

/** Allowed for a connection while the host itself is slow: a lost packet is sent again after a second. */
const SLOW_CONNECT_TIMEOUT_MS = 1_200;
/**
 * A host counts as slow for this long at most, and then not for as long again: timeouts that go on may be
 * those of servers that are really lost, which others have to avoid.
 */
const TROUBLE_MAX_MS = 2_500;
/** Attempts count for this time, in which an attempt with the longer timeout ends. */
const WINDOW_MS = 1_500;
/** Servers in this many failure domains must be affected: a lost domain is not the host's trouble. */
const DOMAINS_MIN = 2;
const SERVERS_MIN = 3;
/**
 * Part of the recent attempts, by server, that must have timed out. Some servers of several domains may
 * be away at the same time while connections to the others are made as usual.
 */
const TIMED_OUT_MIN_RATIO = 0.5;

interface ServerAttempt {
  readonly failureDomain: FailureDomain;
  readonly hasTimedOut: boolean;
  readonly atMs: number;
}

export function createConnectTimeouts(): ConnectTimeouts {
  /** The last attempt at each server within the window. */
  const attempts = new Map<ServerId, ServerAttempt>();
  let lastTimeoutAtMs = -Infinity;
  let troubleSinceMs: number | undefined;

  function record(server: ForwardServer, hasTimedOut: boolean, nowMs: number): void {
    attempts.delete(server.serverId);
    attempts.set(server.serverId, {
      failureDomain: server.failureDomain,
      hasTimedOut,
      atMs: nowMs,
    });
    for (const [serverId, { atMs }] of attempts) {
      if (nowMs - atMs <= WINDOW_MS) return;
      attempts.delete(serverId);
    }
  }

  function isOwnTrouble(nowMs: number): boolean {
    if (!isSlowToAll(nowMs)) {
      troubleSinceMs = undefined;
      return false;
    }
    troubleSinceMs ??= nowMs;
    return (nowMs - troubleSinceMs) % (2 * TROUBLE_MAX_MS) < TROUBLE_MAX_MS;
  }

  function isSlowToAll(nowMs: number): boolean {
    // Asked before each send; connections seldom time out.
    if (nowMs - lastTimeoutAtMs > WINDOW_MS) return false;
    const recent = [...attempts.values()].filter(({ atMs }) => nowMs - atMs <= WINDOW_MS);
    const timedOut = recent.filter(({ hasTimedOut }) => hasTimedOut);
    const domains = new Set(timedOut.map(({ failureDomain }) => failureDomain));
    return (
      timedOut.length >= SERVERS_MIN &&
      domains.size >= DOMAINS_MIN &&
      timedOut.length >= recent.length * TIMED_OUT_MIN_RATIO
    );
  }

  return {
    onTimeout: (server, nowMs) => {
      lastTimeoutAtMs = nowMs;
      record(server, true, nowMs);
      return isOwnTrouble(nowMs);
    },
    onConnected: (server, nowMs) => record(server, false, nowMs),
    timeoutMs: (usualMs, nowMs) => (isOwnTrouble(nowMs) ? SLOW_CONNECT_TIMEOUT_MS : usualMs),
    isOwnTrouble,
  };
}
