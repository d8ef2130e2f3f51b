import { createServer } from 'node:http';
import { App } from '@tinyhttp/app';
import { assertNever, createMemoryBudget, createServeError, httpStatus } from '@mimosamill/core';
import { createConnectionLimit } from './connection-limit';
import {
  createBodyReader,
  deferContinue,
  isBodyOutstanding,
  LINGERING_CLOSE_MS,
  respondBeforeBody,
} from './request-body';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { MemoryClaim, ServeError } from '@mimosamill/core';
import type { BodyReader } from './request-body';

export interface HttpLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Time in which the headers of a request must arrive, else the connection is closed. */
  readonly headersTimeoutMs: number;
  /** Time in which the whole request must arrive, else the connection is closed. */
  readonly requestTimeoutMs: number;
  readonly maxConnections: number;
}

export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxBodyBytes: 1_048_576,
  maxHeaderBytes: 16_384,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  maxConnections: 10_000,
};

type RouteHandler = (req: IncomingMessage, res: ServerResponse, next: unknown) => unknown;

const ROUTE_METHODS = ['get', 'post', 'put', 'patch', 'delete'] as const;
/** Room comes back as bodies end or are given up, which takes about a second. */
export const NO_ROOM_RETRY_MS = 1_000;
/** Period at which a graceful stop closes the connections that have become idle. */
const IDLE_CLOSE_PERIOD_MS = 100;

export interface HttpServer {
  readonly app: App;
  /** Resolves with the port, which the system chooses if `port` is 0. */
  readonly listen: (ip: string, port: number) => Promise<number>;
  /**
   * Stops accepting connections, closes idle ones and waits for running requests. Connections that
   * are left after `timeoutMs` are closed too.
   */
  readonly drain: (timeoutMs: number) => Promise<void>;
  /** Closes all connections at once. */
  readonly close: () => Promise<void>;
  /** Connections that were closed to make room for new ones. */
  readonly evictedConnectionCount: () => number;
  /** Sets how long a connection may stay idle and how long a request's headers may take. */
  readonly setTimeouts: (idleTimeoutMs: number, headersTimeoutMs: number) => void;
  /** Sets the size of the largest head that new connections may send. */
  readonly setMaxHeaderBytes: (maxHeaderBytes: number) => void;
}

/** Handles every request in place of the application's routes. */
export type RawRequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

export type JsonBodyOutcome =
  | { readonly kind: 'ok'; readonly text: string; readonly json: unknown }
  | { readonly kind: 'error'; readonly error: ServeError };

/**
 * Creates an HTTP server for a tinyhttp application. With `onRequest`, all requests go to that
 * handler instead, with their paths unchanged: the application would decode them.
 */
export function createHttpServer(
  limits: HttpLimits = DEFAULT_HTTP_LIMITS,
  onRequest?: RawRequestHandler,
): HttpServer {
  const app = new App({
    settings: { xPoweredBy: false },
    noMatchHandler: (_req, res) =>
      sendError(res, createServeError('not_found', 'no route matches the method and path')),
    onError: (error, _req, res) => sendHandlerError(res, error),
  });
  catchRejections(app);
  /** Latest response on each connection. */
  const responses = new WeakMap<Duplex, ServerResponse>();
  const idle = createIdleConnections();
  const connectionLimit = createConnectionLimit(limits.maxConnections);
  const server = createServer(
    {
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: 1_000,
      noDelay: true,
    },
    handle,
  );

  function handle(req: IncomingMessage, res: ServerResponse): void {
    responses.set(req.socket, res);
    idle.onRequest(req.socket, res);
    // Requests that arrived with the one for which the connection was closed are not looked at.
    if (!connectionLimit.onRequest(req, res)) return;
    if (onRequest !== undefined) {
      onRequest(req, res);
      return;
    }
    if (!hasValidPath(req.url ?? '')) {
      sendError(
        res,
        createServeError('bad_request', 'expected a path with valid percent-encoding'),
      );
      return;
    }
    try {
      app.handler(req as never, res as never);
    } catch (error) {
      sendHandlerError(res, error);
    }
  }

  server.on('checkContinue', (req, res) => {
    deferContinue(req, res);
    handle(req, res);
  });
  server.on('connection', connectionLimit.onConnection);
  server.maxConnections = limits.maxConnections;
  // Node's own would also close connections whose response is still being written.
  server.closeIdleConnections = idle.closeAll;
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (!socket.writable) return;
    const running = responses.get(socket);
    // An error response says "not run". It must not be written into another response, nor sent
    // for a request that its handler has received completely.
    if (running !== undefined && isInProgress(running)) {
      socket.destroy();
      return;
    }
    socket.end(parserErrorResponse(error.code ?? ''));
    setTimeout(() => socket.destroy(), LINGERING_CLOSE_MS).unref();
  });
  return {
    app,
    evictedConnectionCount: connectionLimit.evictedCount,
    listen: (ip, port) => listen(server, ip, port),
    drain: (timeoutMs) => drain(server, timeoutMs),
    close: () => closeNow(server),
    // Node reads the property for each new connection; its types don't have it.
    setMaxHeaderBytes: (maxHeaderBytes) => Object.assign(server, { maxHeaderSize: maxHeaderBytes }),
    setTimeouts: (idleTimeoutMs, headersTimeoutMs) => {
      server.keepAliveTimeout = idleTimeoutMs;
      server.headersTimeout = headersTimeoutMs;
    },
  };
}

/** Where the memory for a body comes from. The end of the response gives it back. */
export interface BodyRoom {
  readonly bodies: BodyReader;
  readonly res: ServerResponse;
}

/** Reads a JSON body of at most `maxBytes`; without `room`, several together have no bound. */
export async function readJsonBody(
  req: IncomingMessage,
  maxBytes: number,
  room?: BodyRoom,
): Promise<JsonBodyOutcome> {
  const bodies =
    room?.bodies ?? createBodyReader(createMemoryBudget(Infinity), () => performance.now());
  const body = await bodies.read(req, maxBytes);
  switch (body.kind) {
    case 'ok':
      if (room !== undefined) releaseAtEnd(room.res, body.claim);
      return parseJsonBody(body.bytes?.toString('utf8') ?? '');
    case 'too_large':
      return bodyError('body_too_large', `expected a body of at most ${maxBytes} bytes`);
    case 'no_room':
    case 'fragmented':
      return bodyError('overloaded', 'no room is left for the body', NO_ROOM_RETRY_MS);
    case 'too_slow':
      return bodyError('request_timeout', 'the body arrived too slowly', NO_ROOM_RETRY_MS);
    case 'gone':
      return bodyError('request_timeout', 'the body did not arrive completely');
    default:
      return assertNever(body);
  }
}

/** Releases memory once the response is sent or its connection is closed. */
export function releaseAtEnd(res: ServerResponse, claim: MemoryClaim): void {
  if (res.destroyed || res.closed) claim.release();
  else res.once('close', claim.release);
}

function bodyError(
  code: ServeError['code'],
  message: string,
  retryAfterMs?: number,
): JsonBodyOutcome {
  return { kind: 'error', error: createServeError(code, message, 'not_run', retryAfterMs) };
}

function parseJsonBody(text: string): JsonBodyOutcome {
  try {
    return { kind: 'ok', text, json: JSON.parse(text) as unknown };
  } catch {
    return bodyError('bad_json', 'expected valid JSON in the body');
  }
}

export function sendJson(res: ServerResponse, status: number, value: unknown): void {
  sendText(res, status, 'application/json', JSON.stringify(value));
}

export function sendText(
  res: ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  res.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** The body of an error response. */
export function toErrorBody(error: ServeError): unknown {
  const { code, message, runState, retryAfterMs } = error;
  const body = { code, message, not_run: runState === 'not_run', outcome: runState };
  return { error: retryAfterMs === undefined ? body : { ...body, retry_after_ms: retryAfterMs } };
}

export function sendError(res: ServerResponse, error: ServeError): void {
  // The end of a response that has begun would make what was sent of it look whole.
  if (res.headersSent) {
    res.destroy();
    return;
  }
  if (error.retryAfterMs !== undefined) {
    res.setHeader('retry-after', Math.ceil(error.retryAfterMs / 1000));
  }
  if (error.code !== 'body_too_large' && !isBodyOutstanding(res.req)) {
    sendJson(res, httpStatus(error.code), toErrorBody(error));
    return;
  }
  const text = JSON.stringify(toErrorBody(error));
  res.writeHead(httpStatus(error.code), {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    connection: 'close',
  });
  respondBeforeBody(res, text);
}

/** Responds to a request whose handler failed, with an unknown outcome: it may have run in part. */
function sendHandlerError(res: ServerResponse, error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  sendError(res, createServeError('backend_failed', message, 'unknown'));
}

/**
 * Wraps the route handlers, because tinyhttp awaits only functions that are declared async. A
 * rejected promise of any other handler would end the process.
 */
function catchRejections(app: App): void {
  ROUTE_METHODS.forEach((method) => {
    const register = app[method].bind(app) as unknown as (
      path: string,
      handler: RouteHandler,
    ) => App;
    const guarded = (path: string, handler: RouteHandler): App =>
      register(path, (req, res, next) => {
        void runHandler(handler, req, res, next);
      });
    app[method] = guarded as unknown as App[typeof method];
  });
}

async function runHandler(
  handler: RouteHandler,
  req: IncomingMessage,
  res: ServerResponse,
  next: unknown,
): Promise<void> {
  try {
    await handler(req, res, next);
  } catch (error) {
    sendHandlerError(res, error);
  }
}

function hasValidPath(url: string): boolean {
  try {
    decodeURIComponent(url.split('?')[0] ?? '');
    return true;
  } catch {
    return false;
  }
}

/** Whether an unfinished response has begun or belongs to a completely received request. */
function isInProgress(res: ServerResponse): boolean {
  return !res.writableFinished && (res.headersSent || res.req.complete);
}

function listen(server: Server, ip: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Connections whose last response has been written and on which no other request has begun. */
interface IdleConnections {
  readonly onRequest: (socket: Socket, res: ServerResponse) => void;
  readonly closeAll: () => void;
}

function createIdleConnections(): IdleConnections {
  /** Bytes that had been read from each when it became idle. */
  const readBytes = new Map<Socket, number>();
  const latest = new WeakMap<Socket, ServerResponse>();

  return {
    onRequest: (socket, res) => {
      if (!latest.has(socket)) socket.once('close', () => readBytes.delete(socket));
      latest.set(socket, res);
      readBytes.delete(socket);
      res.once('finish', () => {
        if (latest.get(socket) === res && !socket.destroyed) {
          readBytes.set(socket, socket.bytesRead);
        }
      });
    },
    closeAll: () => {
      readBytes.forEach((bytes, socket) => {
        if (socket.bytesRead === bytes) socket.destroy();
      });
    },
  };
}

function drain(server: Server, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => server.closeAllConnections(), timeoutMs);
    const idleTimer = setInterval(() => server.closeIdleConnections(), IDLE_CLOSE_PERIOD_MS);
    server.close(() => {
      clearTimeout(timer);
      clearInterval(idleTimer);
      resolve();
    });
    server.closeIdleConnections();
  });
}

function closeNow(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Response to a request that the HTTP parser rejected before a handler ran. */
function parserErrorResponse(cause: string): string {
  const status = PARSER_ERROR_STATUS[cause] ?? '400 Bad Request';
  const code = cause === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'request_timeout' : 'bad_request';
  const body = JSON.stringify(
    toErrorBody(createServeError(code, `expected a valid HTTP request (${cause})`)),
  );
  return [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}

const PARSER_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
