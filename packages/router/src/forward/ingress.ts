import { checkAccess, createServeError, pickTarget } from '@mimosamill/core';
import {
  createBodyReader,
  createHttpServer,
  DEFAULT_HTTP_LIMITS,
  releaseAtEnd,
} from '@mimosamill/adapters';
import { finiteMs } from './finite';
import { createCallerResponses } from './caller-response';
import { createRequestContent } from './content';
import { condemnedMessage } from './crash-guard';
import { reportHandlingError } from './handling-error';
import { noRoomForMs } from './room';
import { isSuccessStatus } from './status';
import { bodyError } from './request-body';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpServer } from '@mimosamill/adapters';
import type {
  RequestHead,
  CallResult,
  CustomerId,
  ForwardRoute,
  ForwardTable,
  FreshnessBounds,
  ServeError,
  ServiceName,
} from '@mimosamill/core';
import type { CallForwarder, RunningCall, BufferedResponse } from './call';
import type { AdmissionTerms, ForwardPorts, ForwardRequest } from './ports';
import type { StreamForwarder } from './stream';

/** The configuration in use, and its age. */
export interface CurrentConfig {
  readonly table: () => ForwardTable | undefined;
  readonly ageMs: () => number;
  /** Reads the configuration from the store; true if it now reflects a time after the call. */
  readonly refresh: () => Promise<boolean>;
}

export interface IngressSettings {
  readonly freshness: () => FreshnessBounds;
  /** Connections of callers; undefined for the usual limit. */
  readonly maxConnections?: number | undefined;
}

/** Receives the requests of callers, admits or refuses them, and forwards the admitted ones. */
export interface Ingress {
  readonly shell: HttpServer;
  /**
   * From now on each response closes its connection, and a request that would probably not end by
   * `cutAtMs` is refused.
   */
  readonly startDraining: (cutAtMs: number) => void;
  /** Accepts no more connections, and closes each one that becomes idle. */
  readonly stopAccepting: (timeoutMs: number) => Promise<void>;
  /**
   * Ends all requests that are still running; those without a response yet get an error. Responses
   * that are complete are still sent to their callers.
   */
  readonly cutAll: () => void;
  readonly activeCount: () => number;
  /** Whether a request of the route would be refused now because the router stops; any if undefined. */
  readonly refusesToStop: (route: ForwardRoute | undefined) => boolean;
}

type Admission =
  | { readonly kind: 'ok'; readonly request: ForwardRequest }
  | { readonly kind: 'refused'; readonly error: ServeError };

/** Longest wait for a refresh of an outdated configuration before a request is refused. */
const REFRESH_TIMEOUT_MS = 350;
/** Reserved from the time of each request for writing the response. */
const RESPONSE_MARGIN_MS = 15;
export const NO_BACKEND_RETRY_MS = 500;
/**
 * With an outdated configuration, callers are told to retry after about half the time that the store
 * has been unreachable, within these limits.
 */
const STALE_RETRY_MIN_MS = 300;
const STALE_RETRY_MAX_MS = 3_000;
const STALE_RETRY_RATIO = 0.5;
const STALE_RETRY_JITTER_RATIO = 0.4;
/** Retry delay for requests refused while stopping; short, as other routers can serve them at once. */
export const STOPPING_RETRY_MS = 50;
/** Assumed for a route of which no stream has completed, while new connections are taken. */
const UNKNOWN_DURATION_MS = 5_000;
/** Durations vary, and cutting a stream off is worse than sending it to another router. */
const STOPPING_DURATION_MARGIN = 1.3;
/** A sound engine may fall silent for about a second in the middle of a stream. */
const ENGINE_PAUSE_MS = 1_000;

export const OUTDATED_MESSAGE = 'the configuration of this router is too old to serve the request';
export const NO_ROUTE_MESSAGE = 'no route matches the host and path';
export const NO_SERVICE_MESSAGE = 'the route has no service';
export const NO_SERVER_MESSAGE = 'no server of the service is listed';
export const NO_ROOM_MESSAGE =
  'no server of the service takes requests: they named limits or pauses';

/** When callers come back that an outdated configuration refuses; `draw` is from 0 to 1. */
export function outdatedRetryMs(ageMs: number, draw: number): number {
  const outageMs = Number.isFinite(ageMs) ? ageMs : 0;
  const meanMs = Math.min(
    STALE_RETRY_MAX_MS,
    Math.max(STALE_RETRY_MIN_MS, outageMs * STALE_RETRY_RATIO),
  );
  // Jitter: callers that were refused at the same time must not all retry at the same time.
  return meanMs * (1 + STALE_RETRY_JITTER_RATIO * (2 * draw - 1));
}

export function createIngress(
  ports: ForwardPorts,
  calls: CallForwarder,
  streams: StreamForwarder,
  currentConfig: CurrentConfig,
  settings: IngressSettings,
): Ingress {
  const { clock, codec, decisions, metrics } = ports;
  /** How to end each running request when the router stops. */
  const active = new Map<ServerResponse, () => void>();
  /** Set once the router is stopping. */
  let drainUntilMs: number | undefined;
  let takesConnections = true;

  const { maxConnections = DEFAULT_HTTP_LIMITS.maxConnections } = settings;
  const shell = createHttpServer(
    { ...DEFAULT_HTTP_LIMITS, maxHeaderBytes: 65_536, maxConnections },
    (req, res) => {
      handle(req, res).catch((error: unknown) => onHandlingFailed(req, res, error));
    },
  );
  const bodies = createBodyReader(ports.memory, clock.monotonicMs);
  const { sendError, sendErrorOrClose, sendCutError, sendWhole, createSink } =
    createCallerResponses(ports);

  /** An exception that nobody handles would end the process, and with it all other requests. */
  function onHandlingFailed(req: IncomingMessage, res: ServerResponse, cause: unknown): void {
    active.delete(res);
    const fields = { method: req.method, path: req.url };
    sendErrorOrClose(res, reportHandlingError(decisions, fields, cause));
  }

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
      currentConfig.table()?.config.limits.bodyMaxBytes ?? DEFAULT_HTTP_LIMITS.maxBodyBytes;
    const body = await bodies.read(req, maxBytes);
    if (body.kind === 'gone') return;
    if (body.kind !== 'ok') {
      metrics.onBodyRefused(body.kind);
      refuse(res, head, bodyError(body.kind, maxBytes, ports.random()), receivedAtMs);
      return;
    }
    releaseAtEnd(res, body.claim);
    const admission = await admit(req, head, body.bytes, receivedAtMs);
    if (res.destroyed) return;
    if (admission.kind === 'refused') {
      refuse(res, head, admission.error, receivedAtMs);
      return;
    }
    if (admission.request.route.kind === 'stream') serveStream(admission.request, res);
    else await serveCall(admission.request, res);
  }

  /** Decides by the configuration in use; refreshes it first if it is too old for the decision. */
  async function admit(
    req: IncomingMessage,
    head: RequestHead,
    body: Uint8Array | undefined,
    receivedAtMs: number,
  ): Promise<Admission> {
    if (stopsSoon()) return refuseStopping();
    const { serveMaxAgeMs, denyMaxAgeMs } = settings.freshness();
    let table = currentConfig.table();
    let route = table?.match(head.host, head.path);
    let access = table && route ? checkAccess(table, route, head.key) : undefined;
    const isDenial = route === undefined || access?.kind === 'denied';
    const needsKey = access?.kind === 'customer';
    const ageLimitMs = isDenial ? denyMaxAgeMs : serveMaxAgeMs;
    const ageMs = currentConfig.ageMs();
    if ((isDenial || needsKey) && ageMs > ageLimitMs) {
      const isRefreshed = await refreshWithin(REFRESH_TIMEOUT_MS);
      if (!isRefreshed || currentConfig.ageMs() > ageLimitMs) return refuseOutdated(ageMs);
      table = currentConfig.table();
      route = table?.match(head.host, head.path);
      access = table && route ? checkAccess(table, route, head.key) : undefined;
    }
    if (table === undefined) return refuseOutdated(ageMs);
    if (route === undefined) return refused('not_found', NO_ROUTE_MESSAGE);
    if (access === undefined || access.kind === 'denied') {
      return refused('unauthorized', 'the key is not known');
    }
    const customerId = access.kind === 'customer' ? access.customerId : undefined;
    return createRequest(table, route, customerId, { req, head, body, receivedAtMs });
  }

  function createRequest(
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
      return refused('no_backend', NO_SERVICE_MESSAGE, NO_BACKEND_RETRY_MS);
    }
    if (ports.fleet.usable(service.name).length === 0) {
      return refused('no_backend', NO_SERVER_MESSAGE, NO_BACKEND_RETRY_MS);
    }
    const isStream = route.kind === 'stream';
    const content = createRequestContent(head, body, customerId, isStream, ports.hash64);
    const condemnation = ports.crashGuard.findCondemned(content);
    if (condemnation !== undefined) {
      return refused('request_condemned', condemnedMessage(condemnation));
    }
    const budgetMs = Math.min(route.timeoutMs, head.budgetMs ?? Infinity);
    if (!endsInTime(route, budgetMs, receivedAtMs)) return refuseStopping();
    const limitDraw = ports.random();
    noteDemand(service.name);
    const noRoomMs = noRoomForMs(ports, service.name, limitDraw);
    if (noRoomMs !== undefined) {
      return refused('overloaded', NO_ROOM_MESSAGE, noRoomMs);
    }
    return {
      kind: 'ok',
      request: {
        head,
        rawHeaders: req.rawHeaders,
        body,
        route,
        service,
        customerId,
        content,
        limitDraw,
        receivedAtMs,
        deadlineAtMs: receivedAtMs + Math.max(1, budgetMs - RESPONSE_MARGIN_MS),
        admission: admissionTerms(table, route, service.name, head.key),
      },
    };
  }

  function admissionTerms(
    table: ForwardTable,
    route: ForwardRoute,
    service: ServiceName,
    key: string | undefined,
  ): AdmissionTerms | undefined {
    if (route.kind !== 'stream') return undefined;
    const priorityClass = table.priorityClassOf(route, service, key);
    return priorityClass === undefined ? undefined : { priorityClass, draw: ports.random() };
  }

  /** Counts the request among those that servers with limits could get. */
  function noteDemand(service: ServiceName): void {
    const ids = ports.fleet.usable(service).map(({ server }) => server.serverId);
    ports.fleet.limits.onWanted(service, ids, clock.monotonicMs());
  }

  /**
   * Whether a request ends before the router stops: a stream probably, a call certainly. A call that is
   * cut off may have run, so that its caller may not repeat it; another router can serve it at once.
   */
  function endsInTime(route: ForwardRoute, budgetMs: number, receivedAtMs: number): boolean {
    if (drainUntilMs === undefined) return true;
    const deadlineAtMs = receivedAtMs + budgetMs;
    return Math.min(deadlineAtMs, probableEndAtMs(route)) < drainUntilMs;
  }

  /**
   * Counted from now: the body, or a refresh of the configuration, may have taken a while. While the load
   * balancer still sends callers, other routers may be stopping too, and a refused caller may meet one of
   * them; the mean will do then, as most of the grace period is left. Later only connections that were kept
   * open bring requests, which another router can serve, so no stream is taken that could be cut.
   */
  function probableEndAtMs(route: ForwardRoute): number {
    if (route.kind !== 'stream') return Infinity;
    const nowMs = clock.monotonicMs();
    if (takesConnections) {
      const meanMs = streams.meanDurationMs(route.name) ?? UNKNOWN_DURATION_MS;
      return nowMs + meanMs * STOPPING_DURATION_MARGIN;
    }
    const longestMs = streams.longestDurationMs(route.name) ?? Infinity;
    return nowMs + longestMs * STOPPING_DURATION_MARGIN + ENGINE_PAUSE_MS;
  }

  /** Whether a request that had to wait for a refresh of the configuration could be cut off. */
  function stopsSoon(): boolean {
    return drainUntilMs !== undefined && clock.monotonicMs() + REFRESH_TIMEOUT_MS >= drainUntilMs;
  }

  function refuseStopping(): Admission {
    return refused('shutting_down', 'the router is stopping', STOPPING_RETRY_MS);
  }

  function refused(code: ServeError['code'], message: string, retryAfterMs?: number): Admission {
    return { kind: 'refused', error: createServeError(code, message, 'not_run', retryAfterMs) };
  }

  function refuseOutdated(ageMs: number): Admission {
    return refused('not_ready', OUTDATED_MESSAGE, outdatedRetryMs(ageMs, ports.random()));
  }

  function refreshWithin(waitMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const cancel = clock.runAfter(waitMs, () => resolve(false));
      void currentConfig.refresh().then((isRefreshed) => {
        cancel();
        resolve(isRefreshed);
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
    const ageMs = currentConfig.ageMs();
    decisions.notable('request.refused', {
      request: head?.requestId,
      code: error.code,
      reason: error.message,
      run: error.runState,
      retry_after_ms: error.retryAfterMs,
      config_revision: currentConfig.table()?.config.revision,
      config_age_ms: finiteMs(ageMs),
      took_ms: Math.round(tookMs),
    });
    sendError(res, error);
  }

  async function serveCall(request: ForwardRequest, res: ServerResponse): Promise<void> {
    const runningCall = calls.forward(request);
    active.set(res, () => {
      if (res.writableEnded) return;
      const error = cutError();
      runningCall.abandon();
      logCall(request, runningCall, 'cut', undefined, error);
      sendCutError(res, error);
    });
    res.once('close', () => {
      active.delete(res);
      if (!res.writableEnded) {
        runningCall.abandon();
        logCall(request, runningCall, 'abandoned');
      }
    });
    const result = await runningCall.result;
    answerCall(request, runningCall, res, result);
  }

  function answerCall(
    request: ForwardRequest,
    runningCall: RunningCall,
    res: ServerResponse,
    result: CallResult<BufferedResponse>,
  ): void {
    if (res.destroyed || res.writableEnded) return;
    if (result.kind === 'ok') {
      const outcome = isSuccessStatus(result.status) ? 'complete' : 'server_failure';
      logCall(request, runningCall, outcome, result.status);
      sendWhole(res, result.body);
      return;
    }
    logCall(request, runningCall, result.error.code, undefined, result.error);
    sendError(res, result.error);
  }

  function logCall(
    request: ForwardRequest,
    runningCall: RunningCall,
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
      servers: runningCall.servers(),
      reason: error?.message,
      run: error?.runState,
      retry_after_ms: error?.retryAfterMs,
      took_ms: Math.round(tookMs),
    };
    if (outcome === 'complete') decisions.routine('call.end', fields);
    else decisions.notable('call.end', fields);
  }

  function serveStream(request: ForwardRequest, res: ServerResponse): void {
    const runningCall = streams.forward(request, createSink(res));
    active.set(res, () => {
      if (res.writableEnded) return;
      runningCall.abandon('cut');
      sendCutError(res, cutError());
    });
    res.once('close', () => {
      active.delete(res);
      if (!res.writableEnded) runningCall.abandon('abandoned');
    });
  }

  function cutError(): ServeError {
    const message = 'the router stopped before the request ended';
    return createServeError('backend_failed', message, 'unknown');
  }

  return {
    shell,
    startDraining: (cutAtMs) => {
      drainUntilMs = cutAtMs;
    },
    stopAccepting: (timeoutMs) => {
      takesConnections = false;
      return shell.drain(timeoutMs);
    },
    cutAll: () => [...active.values()].forEach((cut) => cut()),
    activeCount: () => active.size,
    refusesToStop: (route) =>
      route === undefined ? stopsSoon() : !endsInTime(route, route.timeoutMs, clock.monotonicMs()),
  };
}
