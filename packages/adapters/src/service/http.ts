import * as z from 'zod';
import { parseResponseBody } from '../runtime/response-body';
import { singleValue } from '../runtime/response-head';
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

/** Client of plain services, whose responses carry the request id and attempt of the call. */
export function createServiceClient(http: HttpClient, timeoutMs: number): ServiceClient {
  return {
    call: async (address, call, signal) => {
      const outcome = await http.fetch(`http://${address}/${call.operation}`, {
        method: 'POST',
        headers: toHeaders(call),
        body: call.body,
        timeoutMs: call.timeoutMs,
        ...(signal === undefined ? {} : { signal }),
      });
      return toCallOutcome(call, outcome);
    },
    lookup: async (address, idempotencyKey) => {
      const url = `http://${address}/calls/${encodeURIComponent(idempotencyKey)}`;
      const outcome = await http.fetch(url, { method: 'GET', timeoutMs });
      if (outcome.kind !== 'ok') return { kind: 'unavailable', message: outcome.message };
      if (outcome.status === STATUS_NOT_FOUND) return { kind: 'not_seen' };
      if (outcome.status !== STATUS_OK) {
        return { kind: 'unavailable', message: `expected status 200, got ${outcome.status}` };
      }
      const parsed = parseResponseBody(outcome.body, lookupSchema);
      if (parsed.kind === 'malformed') return { kind: 'unavailable', message: parsed.message };
      return { kind: 'ran', ...parsed.value };
    },
    readLoad: async (address) => {
      const outcome = await http.fetch(`http://${address}/load`, { method: 'GET', timeoutMs });
      if (outcome.kind !== 'ok' || outcome.status !== STATUS_OK) return undefined;
      const parsed = parseResponseBody(outcome.body, loadSchema);
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

function toCallOutcome(call: ServiceCall, outcome: FetchOutcome): ServiceCallOutcome {
  if (outcome.kind === 'not_sent') {
    return { kind: 'not_sent', isLeaving: false, message: outcome.message };
  }
  if (outcome.kind === 'no_answer') return { kind: 'unknown', message: outcome.message };
  // A response belongs to the request whose id and attempt it carries. Its place on the connection
  // proves nothing: a faulty server may send an extra response.
  const isOwn =
    singleValue(outcome.fields, 'x-request-id') === call.requestId &&
    singleValue(outcome.fields, 'x-attempt') === String(call.attemptNo);
  if (!isOwn) return { kind: 'unknown', message: 'the response is for another request or attempt' };
  if (outcome.framing === 'connection') {
    return { kind: 'unknown', message: 'the response has no length, so it may have been cut off' };
  }
  if (outcome.status === 503) return parseRefusal(outcome.body);
  return { kind: 'ok', status: outcome.status, body: outcome.body };
}

/** Reads the refusal of a leaving or full server, which says whether the call was run. */
function parseRefusal(body: string): ServiceCallOutcome {
  try {
    const { error } = refusalSchema.parse(JSON.parse(body));
    if (error.not_run === true) {
      return { kind: 'not_sent', isLeaving: error.code === 'leaving', message: error.code };
    }
  } catch {
    // A refusal in any other format does not say whether the call was run.
  }
  return { kind: 'unknown', message: 'status 503 without a statement that the call was not run' };
}
