import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';

/** What became of an HTTP exchange. 'not_sent': the server can't have seen the request. */
export type FetchOutcome =
  | {
      readonly kind: 'ok';
      readonly status: number;
      readonly headers: Readonly<Record<string, string | string[] | undefined>>;
      readonly body: string;
    }
  | { readonly kind: 'not_sent'; readonly message: string }
  | { readonly kind: 'no_answer'; readonly message: string };

export interface FetchOptions {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

export interface HttpClient {
  readonly fetch: (url: string, options: FetchOptions) => Promise<FetchOutcome>;
  readonly dispatcher: Dispatcher;
  readonly close: () => Promise<void>;
}

export const CONNECT_TIMEOUT_MS = 1_000;

/** Failures that happen before a byte of the request has left. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Creates a client with its own connection pool. */
export function createHttpClient(connectionsPerServer = 256): HttpClient {
  const dispatcher = new Agent({
    connections: connectionsPerServer,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: 30_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  async function fetch(url: string, options: FetchOptions): Promise<FetchOutcome> {
    // The platform takes whole milliseconds only; deadlines are differences of fractions.
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(options.timeoutMs)));
    const signal = options.signal ? AbortSignal.any([timeout, options.signal]) : timeout;
    try {
      const answer = await request(url, {
        dispatcher,
        method: options.method,
        headers: { ...options.headers },
        body: options.body ?? null,
        signal,
      });
      const body = await answer.body.text();
      return { kind: 'ok', status: answer.statusCode, headers: answer.headers, body };
    } catch (error) {
      const message = describeError(error);
      return isNotSent(error) ? { kind: 'not_sent', message } : { kind: 'no_answer', message };
    }
  }

  return { fetch, dispatcher, close: () => dispatcher.destroy() };
}

/** Whether an error means that no connection was made. */
export function isNotSent(error: unknown): boolean {
  const { code, errors } = error as { code?: string; errors?: unknown[] };
  if (Array.isArray(errors) && errors.length > 0) return errors.every(isNotSent);
  return code !== undefined && NOT_SENT_CODES.has(code);
}

export function describeError(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
