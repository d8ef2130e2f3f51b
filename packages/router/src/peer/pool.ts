import { createTRPCClient, TRPCClientError } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import { buildConnector, Pool } from 'undici';
import type { TRPCClient, TRPCLink } from '@trpc/client';
import type { AnyRouter } from '@trpc/server';
import type { Clock } from '@mimosamill/adapters';
import type { PeerTraffic } from './traffic';

export interface PeerPoolSettings {
  readonly connectTimeoutMs: number;
  readonly callTimeoutMs: number;
  /** Calls to one peer at a time; further ones fail at once. */
  readonly maxCallsPerPeer: number;
  readonly maxResponseBytes: number;
}

export const PEER_POOL_DEFAULTS: PeerPoolSettings = {
  connectTimeoutMs: 500,
  callTimeoutMs: 2_000,
  maxCallsPerPeer: 16,
  maxResponseBytes: 1_048_576,
};

/** Connections to peers, and typed clients over them. */
export interface PeerPool {
  /**
   * Client of the sub-router mounted under `name`. A call's timeout is set by its options:
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
  /** Clients by sub-router; a probe a second would otherwise build one each time. */
  readonly clients: Map<string, unknown>;
  inFlightCalls: number;
  lastUsedMs: number;
}

const CONNECTIONS_PER_PEER = 2;
/**
 * A probe reaches the same peer about once a minute, so its connection is closed in between:
 * 340 open connections would cost several MB.
 */
const IDLE_CONNECTION_MS = 10_000;
const IDLE_PEER_MS = 30_000;

export function createPeerPool(
  settings: PeerPoolSettings,
  clock: Clock,
  traffic: PeerTraffic,
): PeerPool {
  const peers = new Map<string, PeerConnections>();
  const connector = buildConnector({ timeout: settings.connectTimeoutMs });
  const stopSweep = clock.runEvery(IDLE_PEER_MS, sweep);

  function open(peerAddress: string): PeerConnections {
    const known = peers.get(peerAddress);
    if (known !== undefined) return known;
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
    const peer: PeerConnections = {
      pool,
      clients: new Map(),
      inFlightCalls: 0,
      lastUsedMs: clock.monotonicMs(),
    };
    peers.set(peerAddress, peer);
    return peer;
  }

  function sweep(): void {
    const oldestMs = clock.monotonicMs() - IDLE_PEER_MS;
    peers.forEach((peer, peerAddress) => {
      if (peer.inFlightCalls === 0 && peer.lastUsedMs < oldestMs) {
        peers.delete(peerAddress);
        void peer.pool.destroy();
      }
    });
  }

  async function post(
    peer: PeerConnections,
    path: string,
    input: unknown,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<unknown> {
    const isBinary = input instanceof Uint8Array;
    const body = isBinary ? input : JSON.stringify(input);
    const sizeBytes = isBinary ? input.byteLength : Buffer.byteLength(body ?? '');
    traffic.countMessage('out', path, sizeBytes);
    const response = await peer.pool.request({
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
    const answer = await response.body.text();
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
    const peer = open(peerAddress);
    if (peer.inFlightCalls >= settings.maxCallsPerPeer) {
      throw new Error(`${peer.inFlightCalls} calls to peer ${peerAddress} are unanswered`);
    }
    peer.inFlightCalls += 1;
    peer.lastUsedMs = clock.monotonicMs();
    try {
      return await post(peer, path, input, timeoutMs, signal);
    } finally {
      peer.inFlightCalls -= 1;
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
            // An abort builds an error with a stack trace, which answered calls need not pay for.
            if (!isSettled) controller.abort();
          };
        });
  }

  return {
    client: <TRouter extends AnyRouter>(name: string, peerAddress: string) => {
      const { clients } = open(peerAddress);
      const known = clients.get(name) as TRPCClient<TRouter> | undefined;
      if (known !== undefined) return known;
      const links = [createLink(name, peerAddress) as TRPCLink<TRouter>];
      const created = createTRPCClient<TRouter>({ links });
      clients.set(name, created);
      return created;
    },
    size: () => peers.size,
    close: async () => {
      stopSweep();
      const pools = [...peers.values()].map(({ pool }) => pool);
      peers.clear();
      await Promise.all(pools.map((pool) => pool.destroy()));
    },
  };
}
