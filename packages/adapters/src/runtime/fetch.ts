import { Agent, request } from 'undici';
import { createBodyBuffer } from './body-buffer';
import { rejectMalformedHeads } from './checked-responses';
import { parseResponseHead } from './response-head';
import type { Dispatcher } from 'undici';
import type { ResponseHead } from './response-head';

/**
 * Outcome of an HTTP request.
 *
 * - `not_sent`: no connection was made, so the server cannot have received the request
 * - `no_answer`: the server may have received the request
 */
export type FetchOutcome =
  | ({ readonly kind: 'ok'; readonly body: string } & ResponseHead)
  | { readonly kind: 'not_sent'; readonly message: string }
  | { readonly kind: 'no_answer'; readonly message: string };

export interface FetchOptions {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
  /** A response with a larger body counts as no answer. */
  readonly maxBodyBytes?: number;
  readonly signal?: AbortSignal;
}

export interface HttpClient {
  readonly fetch: (url: string, options: FetchOptions) => Promise<FetchOutcome>;
  readonly dispatcher: Dispatcher;
  readonly close: () => Promise<void>;
}

export const CONNECT_TIMEOUT_MS = 1_000;
/** Above the largest object of the platform's object store, 8 MiB. */
const DEFAULT_MAX_BODY_BYTES = 16_777_216;

/** Errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Creates a client with its own connection pool. Timeouts are set per request. */
export function createHttpClient(connectionsPerServer = 256): HttpClient {
  const agent = new Agent({
    connections: connectionsPerServer,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: 30_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const dispatcher = agent.compose(rejectMalformedHeads);

  async function fetch(url: string, options: FetchOptions): Promise<FetchOutcome> {
    // AbortSignal.timeout accepts only whole milliseconds, but remaining times have fractions.
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(options.timeoutMs)));
    const signal = options.signal ? AbortSignal.any([timeout, options.signal]) : timeout;
    try {
      const response = await request(url, {
        dispatcher,
        method: options.method,
        headers: { ...options.headers },
        body: options.body ?? null,
        signal,
      });
      const head = parseResponseHead(options.method, response.statusCode, response.headers);
      const body = await readText(response.body, options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES);
      if (head.kind !== 'final') throw new Error('the response has no final head');
      return { kind: 'ok', ...head.head, body };
    } catch (error) {
      const message = describeError(error);
      return isNotSent(error) ? { kind: 'not_sent', message } : { kind: 'no_answer', message };
    }
  }

  return { fetch, dispatcher, close: () => agent.destroy() };
}

/** Reads a body up to a limit; its connection is closed if there is more. */
export async function readText(body: AsyncIterable<Buffer>, maxBytes: number): Promise<string> {
  const text = createBodyBuffer(undefined, maxBytes);
  for await (const chunk of body) {
    if (!text.fits(chunk.length)) throw new Error(`the body has more than ${maxBytes} bytes`);
    text.add(chunk);
  }
  return text.bytes().toString();
}

/** Whether the error means that no connection was made. */
export function isNotSent(error: unknown): boolean {
  const { code, errors } = error as { code?: string; errors?: unknown[] };
  if (Array.isArray(errors) && errors.length > 0) return errors.every(isNotSent);
  return code !== undefined && NOT_SENT_CODES.has(code);
}

export function describeError(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}
