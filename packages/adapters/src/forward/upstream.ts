import { connect as connectTcp } from 'node:net';
import { buildConnector, Pool } from 'undici';
import { assertNever } from '@mimosamill/core';
import { splitAddress } from '../runtime/address';
import { asBuffer } from '../runtime/body-buffer';
import { runAfterInput } from '../runtime/clock';
import { describeError } from '../runtime/fetch';
import { parseResponseHead } from '../runtime/response-head';
import { createFramingGuard } from './framing-guard';
import { createResetDetector } from './resets';
import type { Dispatcher } from 'undici';
import type { BodyFraming, ResponseHead } from '../runtime/response-head';

/** A request to a backend server. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Field names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /**
   * Asked when a response that has no length ends with its connection, which also happens when the server
   * dies: whether the response is whole. By default it is if the address accepts connections.
   */
  readonly confirmEnd?: () => Promise<boolean>;
}

/** Why an exchange ended without a complete response. 'not_sent': the server cannot have received it. */
export type ExchangeFailure = 'not_sent' | 'broken';

/** Reports of an exchange. None may throw: they are called from sockets and promises. */
export interface ExchangeHandler {
  /** Called when the request is about to be written to a connection. */
  readonly onSent: () => void;
  readonly onHead: (head: ResponseHead) => void;
  readonly onData: (bytes: Uint8Array) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: ExchangeFailure, message: string) => void;
}

export interface Exchange {
  /** Closes the connection, which makes the server stop; no handler is called afterwards. */
  readonly cancel: () => void;
}

/** Connection pools to backend servers. */
export interface Upstream {
  readonly send: (request: UpstreamRequest, handler: ExchangeHandler) => Exchange;
  /** Whether a server accepts connections. */
  readonly isAccepting: (address: string) => Promise<boolean>;
  /** Uses none of the current connections to the address for later requests. */
  readonly reconnect: (address: string) => void;
  /** Closes the connections to all other addresses, each after its exchange has ended. */
  readonly retainOnly: (addresses: ReadonlySet<string>) => void;
  readonly openedConnectionCount: () => number;
  readonly close: () => Promise<void>;
}

export interface UpstreamSettings {
  /** Time allowed for a connection that is begun now. */
  readonly connectTimeoutMs: () => number;
  readonly connectionsPerServer: number;
}

/** Idle time after which a connection is closed if the server's response gives no keep-alive time. */
const KEEP_ALIVE_DEFAULT_MS = 4_000;
/**
 * Subtracted from the server's keep-alive time, which starts when the server sends its last byte,
 * earlier than it arrives here; otherwise a request could meet a connection that is being closed.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const KEEP_ALIVE_MAX_MS = 600_000;
const PORT_MAX = 65_535;

type Connector = ReturnType<typeof buildConnector>;

export function createUpstream(settings: UpstreamSettings): Upstream {
  const pools = new Map<string, Pool>();
  /** By their timeouts, of which there are few. */
  const connectors = new Map<number, Connector>();
  let openedCount = 0;
  const resets = createResetDetector();
  const framing = createFramingGuard();

  function connectorFor(timeoutMs: number): Connector {
    const existing = connectors.get(timeoutMs);
    if (existing !== undefined) return existing;
    const connector = buildConnector({ timeout: timeoutMs });
    connectors.set(timeoutMs, connector);
    return connector;
  }

  function poolOf(address: string): Pool {
    const existing = pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      connections: settings.connectionsPerServer,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_DEFAULT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAX_MS,
      connect: (options, callback) => {
        connectorFor(settings.connectTimeoutMs())(options, (error, socket) => {
          if (error === null) {
            resets.watch(socket);
            framing.watch(socket);
            callback(null, socket);
            return;
          }
          callback(error, null);
        });
      },
    });
    pool.on('connect', () => {
      openedCount += 1;
    });
    pools.set(address, pool);
    return pool;
  }

  function isAccepting(address: string): Promise<boolean> {
    return new Promise((resolve) => {
      if (!isAddress(address)) {
        resolve(false);
        return;
      }
      const socket = connectTcp(splitAddress(address));
      const finish = (isUp: boolean): void => {
        cancelTimeout();
        socket.destroy();
        resolve(isUp);
      };
      const cancelTimeout = runAfterInput(settings.connectTimeoutMs(), () => finish(false));
      openedCount += 1;
      socket.once('connect', () => finish(true));
      socket.once('error', () => finish(false));
    });
  }

  function send(request: UpstreamRequest, handler: ExchangeHandler): Exchange {
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    let bodyFraming: BodyFraming | undefined;
    let bodyBytes = 0;
    const cancelled = new Error('cancelled');

    function failOnce(failure: ExchangeFailure, message: string): void {
      if (isOver) return;
      isOver = true;
      handler.onFailure(failure, message);
    }

    function endOnce(): void {
      if (isOver) return;
      isOver = true;
      handler.onEnd();
    }

    /** Ends a response that ended with its connection. */
    async function endIfConfirmed(): Promise<void> {
      const confirmEnd = request.confirmEnd ?? (() => isAccepting(request.address));
      const message = 'the response had no length, and its server may be gone';
      const problem = await confirmEnd().then(
        (isWhole) => (isWhole ? undefined : message),
        (error: unknown) => `${message}: ${describeError(error)}`,
      );
      if (problem === undefined) endOnce();
      else failOnce('broken', problem);
    }

    function cancel(): void {
      isOver = true;
      controller?.abort(cancelled);
    }

    if (!isAddress(request.address)) {
      // Deferred, since other failures too are reported once the caller has the exchange.
      queueMicrotask(() => failOnce('not_sent', `${request.address} is not a valid address`));
      return { cancel };
    }
    poolOf(request.address).dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [...request.headers],
        body: request.body === undefined ? null : asBuffer(request.body),
      },
      {
        onRequestStart: (started) => {
          controller = started;
          // A request that was cancelled while waiting for a connection must not be sent.
          if (isOver) {
            started.abort(cancelled);
            return;
          }
          handler.onSent();
          framing.onRequestStart({
            bodyBytes: () => bodyBytes,
            onExcess: (excessBytes) => {
              failOnce('broken', `${excessBytes} bytes arrived that are not part of an answer`);
              started.abort(cancelled);
            },
          });
        },
        onResponseStart: (started, status, headers) => {
          if (isOver) return;
          const outcome = parseResponseHead(request.method, status, headers);
          switch (outcome.kind) {
            case 'interim':
              return;
            case 'malformed':
              failOnce('broken', outcome.message);
              started.abort(cancelled);
              return;
            case 'final':
              bodyFraming = outcome.head.framing;
              handler.onHead(outcome.head);
              return;
            default:
              assertNever(outcome);
          }
        },
        onResponseData: (_started, chunk) => {
          bodyBytes += chunk.length;
          if (!isOver) handler.onData(chunk);
        },
        onResponseEnd: () => {
          if (resets.isHandlingReset()) {
            failOnce('broken', 'the connection was reset before the response ended');
            return;
          }
          if (bodyFraming === 'connection') void endIfConfirmed();
          else endOnce();
        },
        onResponseError: (_started, error) => {
          failOnce(controller === undefined ? 'not_sent' : 'broken', describeError(error));
        },
      },
    );
    return { cancel };
  }

  return {
    send,
    isAccepting,
    retainOnly: (addresses) => {
      pools.forEach((pool, address) => {
        if (addresses.has(address)) return;
        pools.delete(address);
        void pool.close();
      });
    },
    reconnect: (address) => {
      const pool = pools.get(address);
      pools.delete(address);
      void pool?.close();
    },
    openedConnectionCount: () => openedCount,
    close: async () => {
      const all = [...pools.values()];
      pools.clear();
      await Promise.all(all.map((pool) => pool.destroy()));
    },
  };
}

/** Whether a connection can be tried to the address; entries of other writers hold any text. */
function isAddress(address: string): boolean {
  const { port } = splitAddress(address);
  const isPort = Number.isInteger(port) && port > 0 && port <= PORT_MAX;
  return isPort && URL.canParse(`http://${address}`);
}
