import {
  createHttpServer,
  DEFAULT_HTTP_LIMITS,
  readJsonBody,
  sendJson,
  sendText,
  sha256Hex,
} from '@mimosamill/adapters';
import { findAdministrator } from '@mimosamill/core';
import { HTTP_STATUS_BY_CODE, adminError } from './errors';
import { createHandlers } from './handlers';
import { createOpenApi } from './openapi';
import { ROUTES } from './routes';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpServer, Log, Metrics } from '@mimosamill/adapters';
import type { Administrator, FleetConfig } from '@mimosamill/core';
import type { AdminError } from './errors';
import type { AdminAnswer, AdminCall, HandlerDeps } from './handlers';
import type { RouteName, RouteSpec } from './routes';

export interface AdminServerDeps extends HandlerDeps {
  readonly metrics: Metrics;
  readonly log: Log;
  readonly version: string;
}

interface AdminRequest extends IncomingMessage {
  readonly params: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, unknown>>;
}

const MAX_BODY_BYTES = 256 * 1024;
const UNKNOWN_KEY_READ_INTERVAL_MS = 1_000;
const UNKNOWN_KEY_ERROR = adminError('unauthorized', 'no administrator has this key');

/** Creates the server of the administration API. */
export function createAdminServer(deps: AdminServerDeps): HttpServer {
  const server = createHttpServer({ ...DEFAULT_HTTP_LIMITS, maxConnections: 1_000 });
  const handlers = createHandlers(deps);
  let lastUnknownKeyReadMs = -Infinity;
  const denials = deps.metrics.counter(
    'mimosamill_admin_denials_total',
    'Calls that were not authenticated or not allowed',
    ['code', 'route'],
  );
  const calls = deps.metrics.counter('mimosamill_admin_calls_total', 'Calls by outcome', [
    'code',
    'route',
  ]);

  async function authenticate(
    req: AdminRequest,
  ): Promise<{ admin: Administrator; config: FleetConfig } | AdminError> {
    const key = /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '')?.[1];
    if (key === undefined) return adminError('unauthorized', 'expected Authorization: Bearer KEY');
    const keyHash = sha256Hex(key);
    if (!mayRefresh(keyHash)) return UNKNOWN_KEY_ERROR;
    const config = await deps.config.refresh();
    if ('kind' in config) return config;
    const admin = findAdministrator(config, keyHash);
    return admin === undefined ? UNKNOWN_KEY_ERROR : { admin, config };
  }

  /** Limits the reads of the store that calls with unknown keys cause to one per interval. */
  function mayRefresh(keyHash: string): boolean {
    const known = deps.config.current();
    if (known === undefined || findAdministrator(known, keyHash) !== undefined) return true;
    const nowMs = deps.clock.monotonicMs();
    if (nowMs - lastUnknownKeyReadMs < UNKNOWN_KEY_READ_INTERVAL_MS) return false;
    lastUnknownKeyReadMs = nowMs;
    return true;
  }

  async function answer(route: RouteSpec, req: AdminRequest): Promise<AdminAnswer> {
    const identity = await authenticate(req);
    if ('kind' in identity) return identity;
    const { admin, config } = identity;
    if (!isPermitted(admin, route)) {
      return adminError(
        'forbidden',
        `the role ${admin.role} is not permitted to call ${route.name}`,
      );
    }
    const query = route.query.safeParse(req.query);
    if (!query.success) return badRequest(query.error.issues);
    const body = await readBody(route, req);
    if (body.kind === 'error') return body;
    const call = { admin, config, params: req.params, query: query.data, body: body.value };
    const handler = handlers[route.name as RouteName] as (
      checked: AdminCall<RouteName>,
    ) => AdminAnswer | Promise<AdminAnswer>;
    const result = await handler(call as unknown as AdminCall<RouteName>);
    return admin.role === 'viewer' ? (redactKeyHashes(result) as AdminAnswer) : result;
  }

  function register(route: RouteSpec): void {
    server.app[route.method](route.path, async (req, res) => {
      const result = await answer(route, req as unknown as AdminRequest);
      const code = isError(result) ? result.code : 'ok';
      calls.inc({ code, route: route.name });
      if (code === 'unauthorized' || code === 'forbidden') {
        denials.inc({ code, route: route.name });
      }
      if (isError(result)) {
        sendAdminError(res as unknown as ServerResponse, result);
        return;
      }
      if (route.method === 'post') deps.log.info('request accepted', { route: route.name });
      sendJson(res as unknown as ServerResponse, 200, result);
    });
  }

  const openApi = createOpenApi(deps.version);
  // Probes, metrics and the API description need no key, since they hold nothing confidential.
  server.app.get('/healthz', (_req, res) => sendJson(res, 200, { status: 'ok' }));
  server.app.get('/readyz', async (_req, res) => {
    const config = await deps.config.refresh();
    if ('kind' in config) sendAdminError(res, config);
    else sendJson(res, 200, { status: 'ready', revision: config.revision });
  });
  server.app.get('/metrics', async (_req, res) => {
    sendText(res, 200, deps.metrics.contentType, await deps.metrics.text());
  });
  server.app.get('/openapi.json', (_req, res) => sendJson(res, 200, openApi));
  Object.values(ROUTES).forEach(register);
  return server;
}

function isPermitted(admin: Administrator, route: RouteSpec): boolean {
  switch (route.permission) {
    case 'read':
      return true;
    case 'change':
      return admin.role !== 'viewer';
    case 'fleet':
      return admin.role === 'fleet';
    default:
      return route.permission satisfies never;
  }
}

type CheckedBody = { readonly kind: 'ok'; readonly value: unknown } | AdminError;

async function readBody(route: RouteSpec, req: IncomingMessage): Promise<CheckedBody> {
  if (route.body === undefined) return { kind: 'ok', value: undefined };
  const read = await readJsonBody(req, MAX_BODY_BYTES);
  if (read.kind === 'error') {
    const isTooLarge = read.error.code === 'body_too_large';
    return adminError(isTooLarge ? 'body_too_large' : 'bad_json', read.error.message);
  }
  const parsed = route.body.safeParse(read.json);
  return parsed.success ? { kind: 'ok', value: parsed.data } : badRequest(parsed.error.issues);
}

function badRequest(
  issues: readonly { path: readonly PropertyKey[]; message: string }[],
): AdminError {
  const problems = issues.map(({ path, message }) => ({ path: path.join('.'), message }));
  return adminError('bad_request', 'the request is not valid; the details list each problem', {
    problems,
  });
}

function isError(answer: AdminAnswer): answer is AdminError {
  return 'kind' in answer && answer.kind === 'error';
}

function sendAdminError(res: ServerResponse, error: AdminError): void {
  const { code, message, details } = error;
  // The rest of an oversized body is not read, so the connection cannot be reused.
  if (code === 'body_too_large') res.setHeader('connection', 'close');
  const body = details === undefined ? { code, message } : { code, message, details };
  sendJson(res, HTTP_STATUS_BY_CODE[code], { error: body });
}

/** Shortens each key hash to its first eight digits, for viewers. */
function redactKeyHashes(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(redactKeyHashes);
  if (typeof value === 'string') {
    return /^[0-9a-f]{64}$/.test(value) ? `${value.slice(0, 8)}…` : value;
  }
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, entry]) => [key, redactKeyHashes(entry)]),
  );
}
