import * as z from 'zod';
import { parseResponseBody } from '../runtime/response-body';
import { followStream } from './stream';
import type { EngineId } from '@mimosamill/core';
import type { HttpClient } from '../runtime/fetch';
import type {
  CacheEvents,
  CacheSnapshot,
  EngineReadOutcome,
  EngineClient,
  EngineLoad,
  EngineOrder,
  EngineState,
  GenerateRequest,
  EngineOrderOutcome,
} from './client';

const STATUS_OK = 200;
const JSON_HEADERS = { 'content-type': 'application/json' };

const loadedModelSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
});
const roleSchema = z.enum(['mixed', 'prefill', 'decode']);
const loadSchema = z.object({
  engine_id: z.string(),
  state: z.enum(['live', 'leaving']),
  role: roleSchema,
  running: z.number(),
  queued: z.number(),
  max_running: z.number(),
  cache_used_ratio: z.number(),
  step_ms: z.number(),
  loaded: z.array(loadedModelSchema),
  report_age_ms: z.number(),
});
const cacheEventsSchema = z.object({
  oldest_seq: z.number(),
  latest_seq: z.number(),
  events: z.array(
    z.object({ seq: z.number(), kind: z.enum(['stored', 'removed']), block_hash: z.string() }),
  ),
});
const cacheSnapshotSchema = z.object({
  as_of_seq: z.number(),
  block_hashes: z.array(z.string()),
});
const targetSchema = z.object({ loaded: z.array(loadedModelSchema), role: roleSchema });
const stateSchema = z.object({
  engine_id: z.string(),
  target: targetSchema,
  loaded: z.array(loadedModelSchema),
  loading: z.array(loadedModelSchema),
  highest_fencing_number: z.number(),
});
const staleSchema = z.object({ error: z.object({ highest_fencing_number: z.number() }) });

export interface EngineClientOptions {
  /** Timeout of every call but generation and orders. */
  readonly timeoutMs: number;
  readonly orderTimeoutMs: number;
}

/** Client of engines with the completions API and the extensions in docs/interfaces.md. */
export function createEngineClient(http: HttpClient, options: EngineClientOptions): EngineClient {
  const { timeoutMs } = options;

  async function get<S extends z.ZodType, T>(
    url: string,
    schema: S,
    convert: (value: z.infer<S>) => T,
  ): Promise<EngineReadOutcome<T>> {
    const outcome = await http.fetch(url, { method: 'GET', timeoutMs });
    if (outcome.kind !== 'ok') return { kind: 'unavailable', message: outcome.message };
    if (outcome.status !== STATUS_OK) {
      return { kind: 'unavailable', message: `expected status 200, got ${outcome.status}` };
    }
    const parsed = parseResponseBody(outcome.body, schema);
    if (parsed.kind === 'malformed') return { kind: 'unavailable', message: parsed.message };
    return { kind: 'ok', value: convert(parsed.value) };
  }

  return {
    generate: (address, request, onEvent) =>
      followStream(
        http.dispatcher,
        {
          url: `http://${address}/v1/completions`,
          method: 'POST',
          body: JSON.stringify(toWireRequest(request)),
          headers: withTraceparent(JSON_HEADERS, request.traceparent),
          attemptNo: request.attemptNo,
        },
        onEvent,
      ),
    attach: (address, requestId, attemptNo, fromIndex, onEvent) => {
      const query = new URLSearchParams({ from: String(fromIndex), attempt: String(attemptNo) });
      const url = `http://${address}/v1/requests/${requestId}/stream?${query.toString()}`;
      const call = { url, method: 'GET', headers: {}, attemptNo } as const;
      return followStream(http.dispatcher, call, onEvent);
    },
    cancel: async (address, requestId, attemptNo) => {
      await http.fetch(`http://${address}/v1/requests/${requestId}/cancel`, {
        method: 'POST',
        headers: JSON_HEADERS,
        body: JSON.stringify({ attempt: attemptNo }),
        timeoutMs,
      });
    },
    readLoad: (address) => get(`http://${address}/v1/load`, loadSchema, toLoad),
    readCacheEvents: (address, afterSeq) =>
      get(`http://${address}/v1/cache-events?after=${afterSeq}`, cacheEventsSchema, toCacheEvents),
    readCacheSnapshot: (address) =>
      get(`http://${address}/v1/cache-snapshot`, cacheSnapshotSchema, toCacheSnapshot),
    readState: (address) => get(`http://${address}/v1/state`, stateSchema, toState),
    sendOrder: (address, order) => postOrder(http, address, order, options.orderTimeoutMs),
  };
}

async function postOrder(
  http: HttpClient,
  address: string,
  order: EngineOrder,
  timeoutMs: number,
): Promise<EngineOrderOutcome> {
  const outcome = await http.fetch(`http://${address}/v1/orders`, {
    method: 'POST',
    headers: JSON_HEADERS,
    body: JSON.stringify({
      order_id: order.orderId,
      fencing_number: order.fencingNumber,
      target: order.target,
    }),
    timeoutMs,
  });
  if (outcome.kind === 'not_sent') return { kind: 'unavailable', message: outcome.message };
  if (outcome.kind === 'no_answer') return { kind: 'unknown', message: outcome.message };
  if (outcome.status === STATUS_OK) return { kind: 'ok' };
  if (outcome.status === 409) {
    const parsed = parseResponseBody(outcome.body, staleSchema);
    if (parsed.kind === 'malformed') return { kind: 'refused', message: parsed.message };
    return { kind: 'stale', highestFencingNumber: parsed.value.error.highest_fencing_number };
  }
  return {
    kind: 'refused',
    message: `the engine refused the order with status ${outcome.status}: ${outcome.body}`,
  };
}

function withTraceparent(
  headers: Readonly<Record<string, string>>,
  traceparent: string | undefined,
): Record<string, string> {
  return traceparent === undefined ? { ...headers } : { ...headers, traceparent };
}

function toWireRequest(request: GenerateRequest): unknown {
  return {
    request_id: request.requestId,
    attempt: request.attemptNo,
    model: request.model,
    version: request.version,
    adapter: request.adapter,
    prompt: request.prompt,
    prefix: request.generatedTokens,
    max_tokens: request.maxTokens,
    seed: request.seed,
    priority: request.priority,
    stream: true,
  };
}

function toLoad(load: z.infer<typeof loadSchema>): EngineLoad {
  return {
    engineId: load.engine_id as EngineId,
    state: load.state,
    role: load.role,
    running: load.running,
    queued: load.queued,
    maxRunning: load.max_running,
    cacheUsedRatio: load.cache_used_ratio,
    stepMs: load.step_ms,
    loaded: load.loaded,
    reportAgeMs: load.report_age_ms,
  };
}

function toCacheEvents(events: z.infer<typeof cacheEventsSchema>): CacheEvents {
  return {
    oldestSeq: events.oldest_seq,
    latestSeq: events.latest_seq,
    events: events.events.map(({ seq, kind, block_hash: blockHash }) => ({ seq, kind, blockHash })),
  };
}

function toCacheSnapshot(snapshot: z.infer<typeof cacheSnapshotSchema>): CacheSnapshot {
  return { asOfSeq: snapshot.as_of_seq, blockHashes: snapshot.block_hashes };
}

function toState(state: z.infer<typeof stateSchema>): EngineState {
  return {
    engineId: state.engine_id as EngineId,
    target: state.target,
    loaded: state.loaded,
    loading: state.loading,
    highestFencingNumber: state.highest_fencing_number,
  };
}
