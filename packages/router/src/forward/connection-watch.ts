import { createConnectTimeouts } from '@mimosamill/core';
import type { Clock, DecisionLog } from '@mimosamill/adapters';
import type { ForwardServer } from '@mimosamill/core';
import type { ForwardMetrics } from './metrics';

/** Judges the new connections of this router, and logs when they become slow to all sides. */
export interface ConnectionWatch {
  /** Time allowed for a connection that usually gets `usualMs`. */
  readonly timeoutMs: (usualMs: number) => number;
  /** True if the timeout says nothing about the server, since the host's own connections are slow. */
  readonly onTimeout: (server: ForwardServer) => boolean;
  /** The request that was handed over at `sentAtMs` is being written to a connection. */
  readonly onWriting: (server: ForwardServer, sentAtMs: number) => void;
  /** Bytes arrived from the server, so that this host's link works. */
  readonly onReceived: (server: ForwardServer) => void;
  readonly isOwnTrouble: () => boolean;
}

/** A request that waited less got a connection that was open already, which says nothing about new ones. */
const NEW_CONNECTION_MIN_MS = 0.5;

export function createConnectionWatch(
  clock: Clock,
  decisions: DecisionLog,
  metrics: Pick<ForwardMetrics, 'onConnectTimeout'>,
): ConnectionWatch {
  const timeouts = createConnectTimeouts();
  let wasOwnTrouble = false;

  function note(isOwn: boolean): boolean {
    if (isOwn !== wasOwnTrouble) {
      wasOwnTrouble = isOwn;
      decisions.vital('host.connections', { state: isOwn ? 'slow to all servers' : 'usual' });
    }
    return isOwn;
  }

  function isOwnTrouble(): boolean {
    return note(timeouts.isOwnTrouble(clock.monotonicMs()));
  }

  return {
    timeoutMs: (usualMs) => {
      isOwnTrouble();
      return timeouts.timeoutMs(usualMs, clock.monotonicMs());
    },
    onTimeout: (server) => {
      const isOwn = note(timeouts.onTimeout(server, clock.monotonicMs()));
      metrics.onConnectTimeout(isOwn ? 'host' : 'server');
      return isOwn;
    },
    onWriting: (server, sentAtMs) => {
      const nowMs = clock.monotonicMs();
      if (nowMs - sentAtMs >= NEW_CONNECTION_MIN_MS) timeouts.onConnected(server, nowMs);
    },
    onReceived: (server) => {
      if (wasOwnTrouble) timeouts.onConnected(server, clock.monotonicMs());
    },
    isOwnTrouble,
  };
}
