import { checkAccess, createServeError, pickTarget } from '@mimosamill/core';
import { createHttpServer, DEFAULT_HTTP_LIMITS } from '@mimosamill/adapters';
import { isSuccessStatus } from './status';
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import type { HttpServer } from '@mimosamill/adapters';
import type {
  RequestHead,
  CallResult,
  CustomerId,
  ForwardRoute,
  ForwardTable,
  FreshnessBounds,
  ServeError,
} from '@mimosamill/core';
import type { CallForwarder, RunningCall, BufferedResponse } from './call';
import type { ForwardPorts, ForwardRequest } from './ports';
import type { StreamForwarder, StreamSink } from './stream';

/** The configuration in force and how old it is. */
export interface CurrentConfig {
  readonly table: () => ForwardTable | undefined;
  readonly ageMs: () => number;
  /** Asks for newer knowledge; true if there is an answer that is newer than the call. */
  readonly refresh: () => Promise<boolean>;
}

export interface IngressSettings {
  readonly freshness: () => FreshnessBounds;
}

/** Takes callers' requests. */
export interface Ingress {
  readonly shell: HttpServer;
  /**
   * From now on each answer asks its caller to use another connection, and what would not end by
   * `cutAtMs` is refused.
   */
  readonly startDraining: (cutAtMs: number) => void;
  /** Takes no more connections, and closes each one that becomes idle. */
  readonly stopAccepting: (timeoutMs: number) => Promise<void>;
  /** Gives up what is still running. */
  readonly cancelAll: () => void;
  readonly activeCount: () => number;
}

type Admission =
  | { readonly kind: 'ok'; readonly request: ForwardRequest }
  | { readonly kind: 'refused'; readonly error: ServeError };

/** Longest wait for newer knowledge before a request is refused. */
const REFRESH_TIMEOUT_MS = 350;
/** Part of the deadline that is kept for writing the answer. */
const RESPONSE_MARGIN_MS = 15;
const NO_BACKEND_RETRY_MS = 500;
/** Callers return after about half as long as the store has been away, within these bounds. */
const STALE_RETRY_MIN_MS = 300;
const STALE_RETRY_MAX_MS = 3_000;
const STALE_RETRY_RATIO = 0.5;
const STALE_RETRY_JITTER_RATIO = 0.4;
/** Bytes that a caller may leave unread before its stream is cut. */
const UNSENT_MAX_BYTES = 4_194_304;
/** Another router is ready for what this one refuses because it is stopping. */
const STOPPING_RETRY_MS = 50;
/** Times vary; a request that is cut is worse than one that goes elsewhere. */
const STOPPING_DURATION_MARGIN = 1.3;

export function createIngress(
  ports: ForwardPorts,
  calls: CallForwarder,
  streams: StreamForwarder,
  knowledge: CurrentConfig,
  settings: IngressSettings,
): Ingress {
  const { clock, codec, decisions, metrics } = ports;
  const active = new Map<ServerResponse, () => void>();
  /** Set once the router is stopping. */
  let drainUntilMs: number | undefined;

  const shell = createHttpServer({ ...DEFAULT_HTTP_LIMITS, maxHeaderBytes: 65_536 }, (req, res) => {
    void handle(req, res);
  });

  async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const receivedAtMs = clock.monotonicMs();
    if (drainUntilMs !== undefined) res.setHeader('connection', 'close');
    const outcome = codec.parseRequest(req.method ?? 'GET', req.url ?? '/', req.headers);
    if (outcome.kind === 'invalid') {
      refuse(res, undefined, createServeError('bad_request', outcome.message), receivedAtMs);
      return;
    }
    const { head } = outcome;
    const maxBytes =
      knowledge.table()?.config.limits.bodyMaxBytes ?? DEFAULT_HTTP_LIMITS.maxBodyBytes;
    const body = await readBody(req, maxBytes);
    if (body.kind === 'gone') return;
    if (body.kind === 'too_large') {
      res.setHeader('connection', 'close');
      const message = `the body is larger than ${maxBytes} bytes`;
      refuse(res, head, createServeError('body_too_large', message), receivedAtMs);
      return;
    }
    const admission = await admit(req, head, body.bytes, receivedAtMs);
    if (res.destroyed) return;
    if (admission.kind === 'refused') {
      refuse(res, head, admission.error, receivedAtMs);
      return;
    }
    if (admission.request.route.kind === 'stream') serveStream(admission.request, res);
    else await serveCall(admission.request, res);
  }

  /** Decides on what is known; asks the store first if that is too old for the decision. */
  async function admit(
    req: IncomingMessage,
    head: RequestHead,
    body: Uint8Array | undefined,
    receivedAtMs: number,
  ): Promise<Admission> {
    const { serveMaxAgeMs, denyMaxAgeMs } = settings.freshness();
    let table = knowledge.table();
    let route = table?.match(head.host, head.path);
    let access = table && route ? checkAccess(table, route, head.key) : undefined;
    const isDenial = route === undefined || access?.kind === 'denied';
    const needsKey = access?.kind === 'customer';
    const ageLimitMs = isDenial ? denyMaxAgeMs : serveMaxAgeMs;
    const ageMs = knowledge.ageMs();
    if ((isDenial || needsKey) && ageMs > ageLimitMs) {
      const isNew = await refreshWithin(REFRESH_TIMEOUT_MS);
      if (!isNew || knowledge.ageMs() > ageLimitMs) return refuseStale(ageMs);
      table = knowledge.table();
      route = table?.match(head.host, head.path);
      access = table && route ? checkAccess(table, route, head.key) : undefined;
    }
    if (table === undefined) return refuseStale(ageMs);
    if (route === undefined) return refused('not_found', 'no route matches the host and path');
    if (access === undefined || access.kind === 'denied') {
      return refused('unauthorized', 'the key is not known');
    }
    const customerId = access.kind === 'customer' ? access.customerId : undefined;
    return assign(table, route, customerId, { req, head, body, receivedAtMs });
  }

  function assign(
    table: ForwardTable,
    route: ForwardRoute,
    customerId: CustomerId | undefined,
    parts: {
      readonly req: IncomingMessage;
      readonly head: RequestHead;
      readonly body: Uint8Array | undefined;
      readonly receivedAtMs: number;
    },
  ): Admission {
    const { req, head, body, receivedAtMs } = parts;
    const name = pickTarget(route.targets, ports.random());
    const service = name === undefined ? undefined : table.service(name);
    if (service === undefined) {
      return refused('no_backend', 'the route has no service', NO_BACKEND_RETRY_MS);
    }
    if (ports.fleet.usable(service.name).length === 0) {
      return refused('no_backend', 'no server of the service is listed', NO_BACKEND_RETRY_MS);
    }
    if (!endsInTime(route, receivedAtMs)) {
      return refused('shutting_down', 'the router is stopping', STOPPING_RETRY_MS);
    }
    const budgetMs = Math.min(route.timeoutMs, head.budgetMs ?? Infinity);
    return {
      kind: 'ok',
      request: {
        head,
        rawHeaders: req.rawHeaders,
        body,
        route,
        service,
        customerId,
        receivedAtMs,
        deadlineAtMs: receivedAtMs + Math.max(1, budgetMs - RESPONSE_MARGIN_MS),
      },
    };
  }

  /** Whether a request of the route would probably end before the router does. */
  function endsInTime(route: ForwardRoute, nowMs: number): boolean {
    if (drainUntilMs === undefined) return true;
    const expectedMs = route.kind === 'stream' ? streams.meanDurationMs() : route.targetMs;
    return nowMs + expectedMs * STOPPING_DURATION_MARGIN < drainUntilMs;
  }

  function refused(code: ServeError['code'], message: string, retryAfterMs?: number): Admission {
    return { kind: 'refused', error: createServeError(code, message, 'not_run', retryAfterMs) };
  }

  function refuseStale(ageMs: number): Admission {
    const awayMs = Number.isFinite(ageMs) ? ageMs : 0;
    const meanMs = Math.min(
      STALE_RETRY_MAX_MS,
      Math.max(STALE_RETRY_MIN_MS, awayMs * STALE_RETRY_RATIO),
    );
    // Callers that were refused together must not return together.
    const retryAfterMs = meanMs * (1 + STALE_RETRY_JITTER_RATIO * (2 * ports.random() - 1));
    const message = 'what is known of the configuration is too old to serve the request';
    return refused('not_ready', message, retryAfterMs);
  }

  function refreshWithin(waitMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const cancel = clock.runAfter(waitMs, () => resolve(false));
      void knowledge.refresh().then((isNew) => {
        cancel();
        resolve(isNew);
      });
    });
  }

  function refuse(
    res: ServerResponse,
    head: RequestHead | undefined,
    error: ServeError,
    receivedAtMs: number,
  ): void {
    const tookMs = clock.monotonicMs() - receivedAtMs;
    metrics.onAnswer('refused', error.code, tookMs);
    const ageMs = knowledge.ageMs();
    decisions.notable('request.refused', {
      request: head?.requestId,
      code: error.code,
      reason: error.message,
      run: error.runState,
      retry_after_ms: error.retryAfterMs,
      config_revision: knowledge.table()?.config.revision,
      config_age_ms: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      took_ms: Math.round(tookMs),
    });
    sendError(res, error);
  }

  function sendError(res: ServerResponse, error: ServeError): void {
    if (res.headersSent || res.destroyed) {
      res.destroy();
      return;
    }
    const answer = codec.toErrorResponse(error);
    res.writeHead(answer.status, answer.headers);
    res.end(answer.body);
  }

  function sendWhole(res: ServerResponse, answer: BufferedResponse): void {
    if (res.destroyed) return;
    res.writeHead(answer.status, {
      ...codec.toCallerHeaders(answer.headers),
      'content-length': answer.body.length,
    });
    res.end(answer.body);
  }

  async function serveCall(request: ForwardRequest, res: ServerResponse): Promise<void> {
    const running = calls.forward(request);
    active.set(res, running.abandon);
    res.once('close', () => {
      active.delete(res);
      if (!res.writableEnded) {
        running.abandon();
        noteCall(request, running, 'abandoned');
      }
    });
    const result = await running.result;
    answerCall(request, running, res, result);
  }

  function answerCall(
    request: ForwardRequest,
    running: RunningCall,
    res: ServerResponse,
    result: CallResult<BufferedResponse>,
  ): void {
    if (res.destroyed) return;
    if (result.kind === 'ok') {
      const outcome = isSuccessStatus(result.status) ? 'complete' : 'server_failure';
      noteCall(request, running, outcome, result.status);
      sendWhole(res, result.body);
      return;
    }
    noteCall(request, running, result.error.code, undefined, result.error);
    sendError(res, result.error);
  }

  function noteCall(
    request: ForwardRequest,
    running: RunningCall,
    outcome: string,
    status?: number,
    error?: ServeError,
  ): void {
    const tookMs = clock.monotonicMs() - request.receivedAtMs;
    metrics.onAnswer(request.route.kind, outcome, tookMs);
    const fields = {
      request: request.head.requestId,
      route: request.route.name,
      outcome,
      status,
      servers: running.servers(),
      reason: error?.message,
      run: error?.runState,
      retry_after_ms: error?.retryAfterMs,
      took_ms: Math.round(tookMs),
    };
    if (outcome === 'complete') decisions.routine('call.end', fields);
    else decisions.notable('call.end', fields);
  }

  function serveStream(request: ForwardRequest, res: ServerResponse): void {
    const running = streams.forward(request, createSink(res));
    active.set(res, running.abandon);
    res.once('close', () => {
      active.delete(res);
      if (!res.writableEnded) running.abandon();
    });
  }

  function createSink(res: ServerResponse): StreamSink {
    return {
      writeHead: (status, headers: IncomingHttpHeaders) => {
        res.writeHead(status, codec.toCallerHeaders(headers));
      },
      write: (bytes) => {
        res.write(bytes);
        if (res.writableLength > UNSENT_MAX_BYTES) res.destroy();
      },
      end: () => res.end(),
      sendErrorResponse: (status, headers, body) => sendWhole(res, { status, headers, body }),
      fail: (error) => sendError(res, error),
      abort: () => res.destroy(),
    };
  }

  return {
    shell,
    startDraining: (cutAtMs) => {
      drainUntilMs = cutAtMs;
    },
    stopAccepting: (timeoutMs) => shell.drain(timeoutMs),
    cancelAll: () => [...active.values()].forEach((abandon) => abandon()),
    activeCount: () => active.size,
  };
}

type BodyOutcome =
  | { readonly kind: 'ok'; readonly bytes: Uint8Array | undefined }
  | { readonly kind: 'too_large' }
  /** The caller left before its body was whole. */
  | { readonly kind: 'gone' };

function readBody(req: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    req.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= maxBytes) chunks.push(chunk);
      else resolve({ kind: 'too_large' });
    });
    req.once('end', () => {
      const hasBody = chunks.length > 0 || req.headers['content-length'] !== undefined;
      resolve({ kind: 'ok', bytes: hasBody ? Buffer.concat(chunks) : undefined });
    });
    req.once('close', () => resolve({ kind: 'gone' }));
  });
}
