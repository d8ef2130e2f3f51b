import { createTRPCClient, TRPCClientError } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import { buildConnector, Pool } from 'undici';
import { readText } from '@mimosamill/adapters';
import type { TRPCClient, TRPCLink } from '@trpc/client';
import type { AnyRouter } from '@trpc/server';
import type { Clock } from '@mimosamill/adapters';
import type { PeerTraffic } from './traffic';

export interface PeerPoolSettings {
  readonly connectTimeoutMs: number;
  readonly callTimeoutMs: number;
  /** Calls to one peer that may be unanswered; further ones fail at once. */
  readonly maxCallsPerPeer: number;
  readonly maxResponseBytes: number;
}

export const PEER_POOL_DEFAULTS: PeerPoolSettings = {
  connectTimeoutMs: 500,
  callTimeoutMs: 2_000,
  maxCallsPerPeer: 16,
  maxResponseBytes: 1_048_576,
};

/** Pools the connections to peers and creates typed clients that use them. */
export interface PeerPool {
  /**
   * Client of the peer's sub-router with this name. The options of a call may set its time-out:
   * `{ context: { timeoutMs: 500 } }`.
   */
  readonly client: <TRouter extends AnyRouter>(
    name: string,
    peerAddress: string,
  ) => TRPCClient<TRouter>;
  /** Number of peers with open connections. */
  readonly size: () => number;
  readonly close: () => Promise<void>;
}

interface PeerConnections {
  readonly pool: Pool;
  /** Clients by sub-router, kept because a client would otherwise be built for every probe. */
  readonly clients: Map<string, unknown>;
  inFlightCalls: number;
  lastUsedMs: number;
}

const CONNECTIONS_PER_PEER = 2;
/**
 * Idle connections are closed: each peer is probed only about once a minute, and keeping the
 * connections to 340 peers open would cost several MB.
 */
const IDLE_CONNECTION_MS = 10_000;
const IDLE_PEER_MS = 30_000;

export function createPeerPool(
  settings: PeerPoolSettings,
  clock: Clock,
  traffic: PeerTraffic,
): PeerPool {
  const connectionsByPeer = new Map<string, PeerConnections>();
  const connector = buildConnector({ timeout: settings.connectTimeoutMs });
  const stopClosingIdle = clock.runEvery(IDLE_PEER_MS, closeIdle);

  function connectionsTo(peerAddress: string): PeerConnections {
    const existing = connectionsByPeer.get(peerAddress);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${peerAddress}`, {
      connections: CONNECTIONS_PER_PEER,
      pipelining: 1,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      maxResponseSize: settings.maxResponseBytes,
      connect: (options, callback) => {
        connector(options, (error, socket) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          traffic.trackSocket(socket);
          callback(null, socket);
        });
      },
    });
    const connections: PeerConnections = {
      pool,
      clients: new Map(),
      inFlightCalls: 0,
      lastUsedMs: clock.monotonicMs(),
    };
    connectionsByPeer.set(peerAddress, connections);
    return connections;
  }

  function closeIdle(): void {
    const idleSinceMs = clock.monotonicMs() - IDLE_PEER_MS;
    connectionsByPeer.forEach((connections, peerAddress) => {
      if (connections.inFlightCalls === 0 && connections.lastUsedMs < idleSinceMs) {
        connectionsByPeer.delete(peerAddress);
        void connections.pool.destroy();
      }
    });
  }

  async function post(
    connections: PeerConnections,
    path: string,
    input: unknown,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<unknown> {
    const isBinary = input instanceof Uint8Array;
    const body = isBinary ? input : JSON.stringify(input);
    const sizeBytes = isBinary ? input.byteLength : Buffer.byteLength(body ?? '');
    traffic.countMessage('out', path, sizeBytes);
    const response = await connections.pool.request({
      method: 'POST',
      path: `/${path}`,
      headers: {
        'content-type': isBinary ? 'application/octet-stream' : 'application/json',
      },
      body: body ?? null,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal,
    });
    const answer = await readText(response.body, settings.maxResponseBytes);
    traffic.countMessage('in', `${path} answer`, answer.length);
    return JSON.parse(answer);
  }

  async function call(
    peerAddress: string,
    path: string,
    input: unknown,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<unknown> {
    const connections = connectionsTo(peerAddress);
    if (connections.inFlightCalls >= settings.maxCallsPerPeer) {
      throw new Error(`${connections.inFlightCalls} calls to peer ${peerAddress} are unanswered`);
    }
    connections.inFlightCalls += 1;
    connections.lastUsedMs = clock.monotonicMs();
    try {
      return await post(connections, path, input, timeoutMs, signal);
    } finally {
      connections.inFlightCalls -= 1;
    }
  }

  function createLink(name: string, peerAddress: string): TRPCLink<AnyRouter> {
    return () =>
      ({ op }) =>
        observable((observer) => {
          const controller = new AbortController();
          let isSettled = false;
          const timeoutMs = Number(op.context['timeoutMs'] ?? settings.callTimeoutMs);
          const cancel = clock.runAfter(timeoutMs, () =>
            controller.abort(new Error(`no answer from ${peerAddress} within ${timeoutMs} ms`)),
          );
          call(peerAddress, `${name}.${op.path}`, op.input, timeoutMs, controller.signal)
            .then((answer) => {
              const envelope = answer as { result?: { data?: unknown }; error?: unknown };
              if (envelope.error !== undefined) throw envelope;
              isSettled = true;
              observer.next({ result: { type: 'data', data: envelope.result?.data } });
              observer.complete();
            })
            .catch((cause) => {
              isSettled = true;
              observer.error(TRPCClientError.from(cause as Error));
            })
            .finally(cancel);
          return () => {
            // Aborting creates an error with a stack trace, a cost that an answered call can avoid.
            if (!isSettled) controller.abort();
          };
        });
  }

  return {
    client: <TRouter extends AnyRouter>(name: string, peerAddress: string) => {
      const { clients } = connectionsTo(peerAddress);
      const existing = clients.get(name) as TRPCClient<TRouter> | undefined;
      if (existing !== undefined) return existing;
      const links = [createLink(name, peerAddress) as TRPCLink<TRouter>];
      const created = createTRPCClient<TRouter>({ links });
      clients.set(name, created);
      return created;
    },
    size: () => connectionsByPeer.size,
    close: async () => {
      stopClosingIdle();
      const pools = [...connectionsByPeer.values()].map(({ pool }) => pool);
      connectionsByPeer.clear();
      await Promise.all(pools.map((pool) => pool.destroy()));
    },
  };
}
