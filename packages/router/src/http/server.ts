import {
  createBodyReader,
  createHttpServer,
  DEFAULT_HTTP_LIMITS,
  noteFreedBytes,
  readJsonBody,
  sendError,
  sendJson,
  sendText,
  sha256Hex,
} from '@mimosamill/adapters';
import { asId, createMemoryBudget, createServeError, hostLimits } from '@mimosamill/core';
import { scopesOf } from '../limit/scopes';
import { createAuthenticator, mayUse } from './auth';
import { createJsonConnection, createSseConnection } from './caller';
import { createCompletionEncoder, findService, parseCompletion } from './completions';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, HttpLimits, HttpServer, Log, Metrics, Tracer } from '@mimosamill/adapters';
import type {
  CustomerConfig,
  EngineServiceConfig,
  FleetConfig,
  FleetDefaults,
  MemoryBudget,
  RequestId,
  ServeError,
  ServiceName,
  CallResult,
} from '@mimosamill/core';
import type { Calls } from '../call/calls';
import type { Admission, AdmissionOutcome, AdmissionRequest } from '../limit/admission';
import type { ConfigSource } from '../config/source';
import type { StreamRequest } from '../stream/ports';
import type { OpenOutcome, Streams } from '../stream/streams';
import type { CompletionBody, CompletionKind } from './completions';

export interface CallerServerOptions {
  readonly config: ConfigSource;
  readonly streams: Streams;
  readonly calls: Calls;
  readonly admission: Pick<Admission, 'admit'>;
  readonly clock: Clock;
  readonly tracer: Tracer;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly limits?: Partial<HttpLimits>;
  /** Bounds the bodies of all requests together; by default that of the smallest host. */
  readonly memory?: MemoryBudget;
  readonly createRequestId: () => RequestId;
  /** Returns the settings in force for a service and customer. */
  readonly settingsFor: (
    config: FleetConfig,
    service: ServiceName,
    customer: CustomerConfig,
  ) => FleetDefaults;
  /** Why the router takes no new work; undefined while it does. */
  readonly notReadyReason: () => string | undefined;
}

interface Reconnect {
  readonly requestId: RequestId;
  readonly receivedTokens: number;
}

type LastEventIdOutcome =
  | { readonly kind: 'ok'; readonly reconnect: Reconnect | undefined }
  | { readonly kind: 'error'; readonly error: ServeError };

/** Creates the HTTP server for callers and for the health checks of the load balancer. */
export function createCallerServer(options: CallerServerOptions): HttpServer {
  const { streams, calls, clock, config } = options;
  const limits: HttpLimits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
  const memory = options.memory ?? createMemoryBudget(hostLimits({}).heldMaxBytes, noteFreedBytes);
  const bodies = createBodyReader(memory, clock.monotonicMs);
  const server = createHttpServer(limits);
  const auth = createAuthenticator(config, sha256Hex);
  const requests = options.metrics.counter(
    'mimosamill_requests_total',
    'Requests of callers by kind and outcome',
    ['kind', 'outcome'],
  );

  function refuse(res: ServerResponse, kind: string, error: ServeError): void {
    requests.inc({ kind, outcome: error.code });
    sendError(res, error);
  }

  async function complete(
    kind: CompletionKind,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const reason = options.notReadyReason();
    if (reason !== undefined) {
      return refuse(res, kind, createServeError('not_ready', reason, 'not_run', 1_000));
    }
    const caller = auth.authenticate(req);
    if (caller.kind === 'error') return refuse(res, kind, caller.error);
    const body = await readJsonBody(req, limits.maxBodyBytes, { bodies, res });
    if (body.kind === 'error') return refuse(res, kind, body.error);
    const parsed = parseCompletion(kind, body.json);
    if (parsed.kind === 'error') return refuse(res, kind, parsed.error);
    const service = findService(caller.config, parsed.body.model);
    if (service === undefined) {
      return refuse(
        res,
        kind,
        createServeError('unknown_model', 'no service has this name or model'),
      );
    }
    if (!mayUse(caller.customer, service.name)) {
      return refuse(
        res,
        kind,
        createServeError('forbidden', 'the customer of this key may not use the service'),
      );
    }
    const settings = options.settingsFor(caller.config, service.name, caller.customer);
    const problem = checkMaxTokens(parsed.body, settings);
    if (problem !== undefined) return refuse(res, kind, problem);
    const lastEventId = parseLastEventId(headerOf(req, 'last-event-id'));
    if (lastEventId.kind === 'error') return refuse(res, kind, lastEventId.error);
    const { reconnect } = lastEventId;
    const request = toStreamRequest(
      req,
      parsed.body,
      service,
      settings,
      caller.customer,
      reconnect,
    );
    if (reconnect !== undefined) return serve(res, parsed.body, request, reconnect);
    const { priority, maxTokens, deadlineAtMs } = request;
    const scope = { service: service.name, priority, maxTokens, deadlineAtMs };
    const admission = await admit(res, caller.customer, scope);
    if (admission.kind === 'error') {
      request.span.end(admission.error.code);
      return refuse(res, kind, admission.error);
    }
    await serve(res, parsed.body, { ...request, permit: admission.permit }, undefined);
  }

  /** Waits for the customer's limits and the service's queue, until the caller disconnects. */
  async function admit(
    res: ServerResponse,
    customer: CustomerConfig,
    scope: Pick<AdmissionRequest, 'service' | 'priority' | 'maxTokens' | 'deadlineAtMs'>,
  ): Promise<AdmissionOutcome> {
    const disconnected = new AbortController();
    const onClose = (): void => disconnected.abort();
    res.once('close', onClose);
    const { id, weight } = customer;
    const current = config.current();
    const scopes = current === undefined ? [] : scopesOf(current, customer);
    const request = { ...scope, customer: id, weight, scopes };
    const outcome = await options.admission.admit(request, disconnected.signal);
    res.off('close', onClose);
    return outcome;
  }

  async function serve(
    res: ServerResponse,
    body: CompletionBody,
    request: StreamRequest,
    reconnect: Reconnect | undefined,
  ): Promise<void> {
    const encoder = createCompletionEncoder(body.kind, request.requestId, body.model);
    res.setHeader('x-request-id', request.requestId);
    res.setHeader('traceparent', request.span.traceparent);
    const receivedTokens = reconnect?.receivedTokens ?? 0;
    const connection = body.isStream
      ? createSseConnection(res, encoder, receivedTokens)
      : createJsonConnection(res, encoder);
    const outcome: OpenOutcome =
      reconnect === undefined
        ? streams.open(request, connection)
        : await streams.reconnect(request, receivedTokens, connection);
    if (outcome.kind === 'error') {
      request.permit?.onEnd();
      request.span.end(outcome.error.code);
      return refuse(res, body.kind, outcome.error);
    }
    requests.inc({ kind: body.kind, outcome: 'accepted' });
    connection.bind(outcome.stream);
    // The caller may have disconnected while its stream was looked up.
    if (res.destroyed) outcome.stream.detach(connection);
  }

  function toStreamRequest(
    req: IncomingMessage,
    body: CompletionBody,
    service: EngineServiceConfig,
    settings: FleetDefaults,
    customer: CustomerConfig,
    reconnect: Reconnect | undefined,
  ): StreamRequest {
    const requestId = reconnect?.requestId ?? options.createRequestId();
    const span = options.tracer.start('request', headerOf(req, 'traceparent'), {
      request: requestId,
      service: service.name,
      customer: customer.id,
    });
    const maxTokens = body.maxTokens ?? settings.maxTokens;
    return {
      requestId,
      service,
      adapter: body.adapter,
      prompt: body.prompt,
      maxTokens,
      seed: body.seed,
      priority: body.priority,
      deadlineAtMs: clock.monotonicMs() + (body.deadlineMs ?? settings.deadlineMs),
      reconnectWindowMs: settings.reconnectWindowMs,
      silenceMinMs: settings.silenceMinMs,
      silenceMaxMs: settings.silenceMaxMs,
      // Includes the customer, so that no customer can continue the stream of another one.
      bodyHash: sha256Hex(
        JSON.stringify([
          customer.id,
          service.name,
          body.adapter,
          body.prompt,
          maxTokens,
          body.seed,
        ]),
      ),
      span,
    };
  }

  async function call(req: IncomingMessage, res: ServerResponse, path: CallPath): Promise<void> {
    const reason = options.notReadyReason();
    if (reason !== undefined) {
      return refuse(res, 'call', createServeError('not_ready', reason, 'not_run', 1_000));
    }
    const caller = auth.authenticate(req);
    if (caller.kind === 'error') return refuse(res, 'call', caller.error);
    const body = await readJsonBody(req, limits.maxBodyBytes, { bodies, res });
    if (body.kind === 'error') return refuse(res, 'call', body.error);
    const found = caller.config.services[path.service];
    if (found?.kind !== 'plain') {
      return refuse(
        res,
        'call',
        createServeError('unknown_service', 'no plain service has this name'),
      );
    }
    if (!mayUse(caller.customer, found.name)) {
      return refuse(
        res,
        'call',
        createServeError('forbidden', 'the customer of this key may not use the service'),
      );
    }
    const settings = options.settingsFor(caller.config, found.name, caller.customer);
    const deadlineMs = parseDeadlineMs(
      headerOf(req, 'x-deadline-ms'),
      Math.min(settings.deadlineMs, DEFAULT_CALL_DEADLINE_MS),
    );
    if (deadlineMs === undefined) {
      const message = `x-deadline-ms: expected 1 to ${MAX_CALL_DEADLINE_MS} ms`;
      return refuse(res, 'call', createServeError('bad_request', message));
    }
    const key = headerOf(req, 'idempotency-key');
    if (key !== undefined && !isValidKey(key)) return refuse(res, 'call', invalidKeyError());
    const admission = await admit(res, caller.customer, {
      service: found.name,
      priority: 'normal',
      maxTokens: 0,
      deadlineAtMs: clock.monotonicMs() + deadlineMs,
    });
    if (admission.kind === 'error') return refuse(res, 'call', admission.error);
    const span = options.tracer.start('call', headerOf(req, 'traceparent'), {
      service: found.name,
      operation: path.operation,
    });
    try {
      const result = await calls.run({
        service: found.name,
        operation: path.operation,
        ...(key === undefined ? {} : { key }),
        body: body.text,
        customerId: caller.customer.id,
        deadlineMs,
        span,
      });
      admission.permit.onFirstToken();
      span.end(result.kind === 'ok' ? undefined : result.error.code);
      sendCallResult(res, result);
    } finally {
      admission.permit.onEnd();
    }
  }

  function sendCallResult(res: ServerResponse, result: CallResult): void {
    if (result.kind === 'error') return refuse(res, 'call', result.error);
    requests.inc({ kind: 'call', outcome: 'ok' });
    sendText(res, result.status, 'application/json', result.body);
  }

  server.app.post('/v1/completions', (req, res) => complete('completion', req, res));
  server.app.post('/v1/chat/completions', (req, res) => complete('chat', req, res));

  server.app.get('/v1/services/:service/calls/:key', async (req, res) => {
    const caller = auth.authenticate(req);
    if (caller.kind === 'error') return refuse(res, 'lookup', caller.error);
    const service = asId<ServiceName>(req.params['service'] ?? '');
    if (!mayUse(caller.customer, service)) {
      return refuse(
        res,
        'lookup',
        createServeError('forbidden', 'the customer of this key may not use the service'),
      );
    }
    const key = req.params['key'] ?? '';
    if (!isValidKey(key)) return refuse(res, 'lookup', invalidKeyError());
    sendCallResult(res, await calls.lookup(caller.customer.id, service, key));
  });

  server.app.post('/v1/services/:service/:operation', (req, res) =>
    call(req, res, {
      service: req.params['service'] ?? '',
      operation: req.params['operation'] ?? '',
    }),
  );

  server.app.get('/healthz', (_req, res) => sendJson(res, 200, { status: 'ok' }));

  server.app.get('/readyz', (_req, res) => {
    const reason = options.notReadyReason();
    if (reason === undefined) sendJson(res, 200, { status: 'ready' });
    else sendJson(res, 503, { status: 'not_ready', reason });
  });

  server.app.get('/metrics', async (_req, res) => {
    sendText(res, 200, options.metrics.contentType, await options.metrics.text());
  });

  return server;
}

interface CallPath {
  readonly service: string;
  readonly operation: string;
}

const DEFAULT_CALL_DEADLINE_MS = 10_000;
const MAX_CALL_DEADLINE_MS = 600_000;
const MAX_KEY_CHARS = 256;

function isValidKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_CHARS;
}

function invalidKeyError(): ServeError {
  const message = `idempotency key: expected 1 to ${MAX_KEY_CHARS} characters`;
  return createServeError('bad_request', message);
}

function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function checkMaxTokens(body: CompletionBody, settings: FleetDefaults): ServeError | undefined {
  if (body.maxTokens === undefined || body.maxTokens <= settings.maxTokens) return undefined;
  return createServeError('bad_request', `max_tokens: expected at most ${settings.maxTokens}`);
}

/**
 * Parses `REQUEST_ID/INDEX` of the last event that the caller received. A malformed header is
 * refused, because a new generation would be appended to the tokens that the caller already has.
 */
function parseLastEventId(header: string | undefined): LastEventIdOutcome {
  if (header === undefined || header === '') return { kind: 'ok', reconnect: undefined };
  const match = /^([\w.-]{1,128})\/(\d{1,9})$/u.exec(header);
  if (match === null) {
    const message = 'last-event-id: expected REQUEST_ID/INDEX';
    return { kind: 'error', error: createServeError('bad_request', message) };
  }
  const requestId = asId<RequestId>(match[1] ?? '');
  return { kind: 'ok', reconnect: { requestId, receivedTokens: Number(match[2]) + 1 } };
}

/** Undefined if the header is not a number of milliseconds from 1 to the maximum. */
function parseDeadlineMs(header: string | undefined, defaultMs: number): number | undefined {
  if (header === undefined) return defaultMs;
  const deadlineMs = /^\d{1,9}$/u.test(header) ? Number(header) : 0;
  return deadlineMs > 0 && deadlineMs <= MAX_CALL_DEADLINE_MS ? deadlineMs : undefined;
}
