import * as z from 'zod';
import { parseResponseBody } from '../runtime/response-body';
import type { FetchOutcome, HttpClient } from '../runtime/fetch';
import type { ServiceCallOutcome, ServiceCall, ServiceClient } from './client';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

const loadSchema = z.object({
  state: z.enum(['live', 'leaving']),
  running: z.number(),
  max_running: z.number(),
});
const lookupSchema = z.object({ status: z.number(), body: z.string() });
const refusalSchema = z.object({
  error: z.object({ code: z.string(), not_run: z.boolean().optional() }),
});

/** Client of plain services that echo the request id and attempt they answer. */
export function createServiceClient(http: HttpClient, timeoutMs: number): ServiceClient {
  return {
    call: async (address, call, signal) => {
      const answer = await http.fetch(`http://${address}/${call.operation}`, {
        method: 'POST',
        headers: toHeaders(call),
        body: call.body,
        timeoutMs: call.timeoutMs,
        ...(signal === undefined ? {} : { signal }),
      });
      return toCallOutcome(call, answer);
    },
    lookup: async (address, idempotencyKey) => {
      const url = `http://${address}/calls/${encodeURIComponent(idempotencyKey)}`;
      const answer = await http.fetch(url, { method: 'GET', timeoutMs });
      if (answer.kind !== 'ok') return { kind: 'unavailable', message: answer.message };
      if (answer.status === STATUS_NOT_FOUND) return { kind: 'not_seen' };
      if (answer.status !== STATUS_OK) {
        return { kind: 'unavailable', message: `status ${answer.status}` };
      }
      const parsed = parseResponseBody(answer.body, lookupSchema);
      if (parsed.kind === 'malformed') return { kind: 'unavailable', message: parsed.message };
      return { kind: 'ran', ...parsed.value };
    },
    readLoad: async (address) => {
      const answer = await http.fetch(`http://${address}/load`, { method: 'GET', timeoutMs });
      if (answer.kind !== 'ok' || answer.status !== STATUS_OK) return undefined;
      const parsed = parseResponseBody(answer.body, loadSchema);
      if (parsed.kind === 'malformed') return undefined;
      const load = parsed.value;
      return { state: load.state, running: load.running, maxRunning: load.max_running };
    },
  };
}

function toHeaders(call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': call.requestId,
    'x-attempt': String(call.attemptNo),
  };
  if (call.idempotencyKey !== '') headers['idempotency-key'] = call.idempotencyKey;
  if (call.traceparent !== undefined) headers['traceparent'] = call.traceparent;
  return headers;
}

function toCallOutcome(call: ServiceCall, answer: FetchOutcome): ServiceCallOutcome {
  if (answer.kind === 'not_sent') {
    return { kind: 'not_sent', isLeaving: false, message: answer.message };
  }
  if (answer.kind === 'no_answer') return { kind: 'unknown', message: answer.message };
  // An answer is matched by what it echoes, never by its place on a connection.
  const isOwn =
    answer.headers['x-request-id'] === call.requestId &&
    answer.headers['x-attempt'] === String(call.attemptNo);
  if (!isOwn) return { kind: 'unknown', message: 'the answer belongs to another request' };
  if (answer.status === 503) return parseRefusal(answer.body);
  return { kind: 'ok', status: answer.status, body: answer.body };
}

/** A server that is leaving or full says whether it ran the call. */
function parseRefusal(body: string): ServiceCallOutcome {
  try {
    const { error } = refusalSchema.parse(JSON.parse(body));
    if (error.not_run === true) {
      return { kind: 'not_sent', isLeaving: error.code === 'leaving', message: error.code };
    }
  } catch {
    // A refusal in another form does not say whether the call ran.
  }
  return { kind: 'unknown', message: 'status 503' };
}
