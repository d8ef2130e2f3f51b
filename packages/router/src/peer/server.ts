import { createServer } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createPeerRouter } from './trpc';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { AnyRouter } from '@trpc/server';
import type { PeerTraffic } from './traffic';

/** Sub-routers by the name under which peers call them. */
export type PeerRouters = Readonly<Record<string, AnyRouter>>;

export interface PeerServerSettings {
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly maxConnections: number;
}

export const SERVER_DEFAULTS = { maxBodyBytes: 262_144, maxConnections: 2_048 } as const;

/** The HTTP server that other routers call. */
export interface PeerServer {
  /** Starts to listen and returns the address. */
  readonly listen: () => Promise<string>;
  readonly close: () => Promise<void>;
}

const MAX_BATCH = 16;
const HEADERS_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 5_000;
/** Longer than the clients keep idle connections, so that no request meets a closing one. */
const KEEP_ALIVE_MS = 20_000;
const MAX_HEADER_BYTES = 4_096;

/** Creates the server with the sub-routers mounted under their names. */
export function createPeerServer(
  settings: PeerServerSettings,
  routers: PeerRouters,
  traffic: PeerTraffic,
): PeerServer {
  const router = createPeerRouter(routers);
  const knownPaths = new Set(Object.keys(router._def.procedures));
  const handler = createHTTPHandler({
    router,
    createContext: ({ req }) => ({ remoteAddress: req.socket.remoteAddress ?? '' }),
    maxBodySize: settings.maxBodyBytes,
    maxBatchSize: MAX_BATCH,
    // Inputs travel in bodies, which have a bound of their own, rather than in URLs.
    allowMethodOverride: true,
  });
  const server: Server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, onRequest);
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.maxConnections = settings.maxConnections;
  server.on('connection', traffic.track);

  function onRequest(request: IncomingMessage, response: ServerResponse): void {
    const path = (request.url ?? '').slice(1).split('?')[0] ?? '';
    const kind = knownPaths.has(path) ? path : 'other';
    // Date and Keep-Alive would be a third of the answer to a probe.
    response.sendDate = false;
    response.setHeader('connection', 'keep-alive');
    countAnswer(request, response, kind);
    if (isBinary(request)) {
      traffic.count('in', kind, Number(request.headers['content-length'] ?? 0));
      handler(request, response);
      return;
    }
    readText(request, settings.maxBodyBytes, (body) => {
      if (body === undefined) {
        response.writeHead(413, { connection: 'close' }).end();
        return;
      }
      traffic.count('in', kind, body.length);
      // The adapter takes a body that was read before; that saves it a web stream per message.
      handler(Object.assign(request, { body }), response);
    });
  }

  /** Counts what goes over the wire, headers included. */
  function countAnswer(request: IncomingMessage, response: ServerResponse, kind: string): void {
    const { socket } = request;
    const before = socket.bytesWritten;
    response.once('finish', () => {
      traffic.count('out', `${kind} answer`, socket.bytesWritten - before);
    });
  }

  return {
    listen: () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(settings.port, settings.host, () => {
          const { address, port } = server.address() as AddressInfo;
          resolve(`${address}:${port}`);
        });
      }),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function isBinary(request: IncomingMessage): boolean {
  return request.headers['content-type'] === 'application/octet-stream';
}

function readText(
  request: IncomingMessage,
  maxBytes: number,
  done: (body: string | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  request.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.byteLength;
    if (sizeBytes <= maxBytes) {
      chunks.push(chunk);
      return;
    }
    request.pause();
    request.removeAllListeners('data');
    done(undefined);
  });
  request.on('end', () => done(Buffer.concat(chunks).toString('utf8')));
}
