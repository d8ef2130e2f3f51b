import { createServer } from 'node:http';
import { createBodyBuffer } from '@mimosamill/adapters';
import { callTRPCProcedure, TRPCError } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { getHTTPStatusCodeFromError } from '@trpc/server/http';
import { TRPC_ERROR_CODES_BY_KEY } from '@trpc/server/rpc';
import { createPeerRouter } from './trpc';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { AnyProcedure, AnyRouter } from '@trpc/server';
import type { PeerTraffic } from './traffic';

/** Sub-routers by the name that peers use in calls. */
export type PeerRouters = Readonly<Record<string, AnyRouter>>;

export interface PeerServerSettings {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly maxConnections: number;
}

export const PEER_SERVER_DEFAULTS = { maxBodyBytes: 262_144, maxConnections: 2_048 } as const;

/** The HTTP server that other routers call. */
export interface PeerServer {
  /** Returns the address on which the server listens. */
  readonly listen: () => Promise<string>;
  readonly close: () => Promise<void>;
}

const MAX_CALLS_PER_BATCH = 16;
const HEADERS_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 5_000;
/** Longer than clients keep idle connections; otherwise a request could meet a closing connection. */
const KEEP_ALIVE_MS = 20_000;
const MAX_HEADER_BYTES = 4_096;

export function createPeerServer(
  settings: PeerServerSettings,
  routers: PeerRouters,
  traffic: PeerTraffic,
): PeerServer {
  const router = createPeerRouter(routers);
  const typesByPath = procedureTypes(router);
  const knownPaths = new Set(Object.keys(typesByPath));
  const handler = createHTTPHandler({
    router,
    createContext: ({ req }) => ({ remoteAddress: req.socket.remoteAddress ?? '' }),
    maxBodySize: settings.maxBodyBytes,
    maxBatchSize: MAX_CALLS_PER_BATCH,
    // Lets queries be sent as POST: their inputs are in bodies, whose size is bounded, not in URLs.
    allowMethodOverride: true,
  });
  const server: Server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, onRequest);
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.maxConnections = settings.maxConnections;
  server.on('connection', traffic.trackSocket);

  function onRequest(request: IncomingMessage, response: ServerResponse): void {
    const path = (request.url ?? '').slice(1);
    const kind = knownPaths.has(path) ? path : 'other';
    // The header fields Date and Keep-Alive would make up a third of the answer to a probe.
    response.sendDate = false;
    response.setHeader('connection', 'keep-alive');
    countAnswerBytes(request, response, kind);
    const isSingleCall = kind !== 'other' && request.method === 'POST';
    if (!isSingleCall && isBinary(request)) {
      response.writeHead(415, { connection: 'close' }).end();
      return;
    }
    readBody(request, settings.maxBodyBytes, (body) => {
      if (body === undefined) {
        response.writeHead(413, { connection: 'close' }).end();
        return;
      }
      if (!isSingleCall) {
        // The adapter would keep each chunk of a body that it reads itself as an object of its own.
        handler(Object.assign(request, { body: body.toString() }), response);
        return;
      }
      traffic.countMessage('in', kind, body.length);
      void answerCall(request, response, path, body);
    });
  }

  /**
   * Answers a single call as tRPC's HTTP adapter does, but without its web requests and streams,
   * which are most of the cost of a small message. Batches and queries by GET go to the adapter, without
   * binary inputs.
   */
  async function answerCall(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    body: Buffer,
  ): Promise<void> {
    try {
      const data = await callTRPCProcedure({
        router,
        path,
        getRawInput: () => Promise.resolve(parseBody(request, body)),
        ctx: { remoteAddress: request.socket.remoteAddress ?? '' },
        type: typesByPath[path] ?? 'query',
        signal: undefined,
        batchIndex: 0,
      });
      sendJson(response, 200, { result: { data } });
    } catch (cause) {
      const error = cause instanceof TRPCError ? cause : createInternalError(cause);
      const { code, message } = error;
      const httpStatus = getHTTPStatusCodeFromError(error);
      const data = { code, httpStatus, path };
      sendJson(response, httpStatus, {
        error: { message, code: TRPC_ERROR_CODES_BY_KEY[code], data },
      });
    }
  }

  /** Counts the bytes of the answer, headers included. */
  function countAnswerBytes(
    request: IncomingMessage,
    response: ServerResponse,
    kind: string,
  ): void {
    const { socket } = request;
    const bytesBefore = socket.bytesWritten;
    response.once('finish', () => {
      traffic.countMessage('out', `${kind} answer`, socket.bytesWritten - bytesBefore);
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

/** Type of each procedure by its path. */
function procedureTypes(router: AnyRouter): Record<string, 'query' | 'mutation' | 'subscription'> {
  const procedures = Object.entries(router._def.procedures as Record<string, AnyProcedure>);
  return Object.fromEntries(procedures.map(([path, { _def }]) => [path, _def.type]));
}

function isBinary(request: IncomingMessage): boolean {
  return request.headers['content-type'] === 'application/octet-stream';
}

function parseBody(request: IncomingMessage, body: Buffer): unknown {
  if (isBinary(request)) return body;
  if (body.length === 0) return undefined;
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (cause) {
    throw new TRPCError({
      code: 'PARSE_ERROR',
      message: 'the request body is not valid JSON',
      cause,
    });
  }
}

function createInternalError(cause: unknown): TRPCError {
  return new TRPCError({ code: 'INTERNAL_SERVER_ERROR', cause });
}

function sendJson(response: ServerResponse, status: number, answer: unknown): void {
  const body = JSON.stringify(answer);
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.end(body);
}

function readBody(
  request: IncomingMessage,
  maxBytes: number,
  onBody: (body: Buffer | undefined) => void,
): void {
  const body = createBodyBuffer(undefined, maxBytes);
  request.on('data', (chunk: Buffer) => {
    if (body.fits(chunk.length)) {
      body.add(chunk);
      return;
    }
    request.pause();
    request.removeAllListeners('data');
    onBody(undefined);
  });
  request.on('end', () => onBody(body.bytes()));
}
