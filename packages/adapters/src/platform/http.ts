import * as z from 'zod';
import { parseResponseBody } from '../runtime/response-body';
import type { FailureDomain, HostId, Region } from '@mimosamill/core';
import type { ParsedBody } from '../runtime/response-body';
import type { FetchOutcome, HttpClient } from '../runtime/fetch';
import type { HostList, ListedHost } from './host-list';
import type { ObjectStore } from './object-store';
import type { CommitOutcome, JsonValue, TableReadOutcome, Row, TableStore } from './table-store';
import type { WeightStore } from './weight-store';

const JSON_HEADERS = { 'content-type': 'application/json' };
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;

const rowSchema = z.object({ key: z.string(), version: z.number(), value: z.unknown() });
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const namesSchema = z.object({ names: z.array(z.string()) });

export interface PlatformOptions {
  /** IP and port of the platform's services. */
  readonly address: string;
  readonly timeoutMs: number;
}

/** Client of the table service. */
export function createTableStore(http: HttpClient, options: PlatformOptions): TableStore {
  const post = (path: string, body: unknown): Promise<FetchOutcome> =>
    http.fetch(`http://${options.address}/tables/${path}`, {
      method: 'POST',
      headers: JSON_HEADERS,
      body: JSON.stringify(body),
      timeoutMs: options.timeoutMs,
    });

  return {
    read: async (keys) => toRead(await post('read', { keys })),
    scan: async (prefix, afterKey, limit) =>
      toRead(await post('scan', { prefix, after_key: afterKey, limit })),
    commit: async (transaction) => toCommit(await post('commit', transaction)),
  };
}

function toRows(body: string): ParsedBody<Row[]> {
  const parsed = parseResponseBody(body, rowsSchema);
  if (parsed.kind === 'malformed') return parsed;
  return { kind: 'ok', value: parsed.value.rows as Row[] & { value: JsonValue }[] };
}

function toRead(answer: FetchOutcome): TableReadOutcome {
  if (answer.kind !== 'ok') return { kind: 'unavailable', message: answer.message };
  if (answer.status !== STATUS_OK) {
    return { kind: 'unavailable', message: `status ${answer.status}` };
  }
  const rows = toRows(answer.body);
  if (rows.kind === 'malformed') return { kind: 'unavailable', message: rows.message };
  return { kind: 'ok', rows: rows.value };
}

function toCommit(answer: FetchOutcome): CommitOutcome {
  if (answer.kind === 'not_sent') return { kind: 'unavailable', message: answer.message };
  if (answer.kind === 'no_answer') return { kind: 'unknown', message: answer.message };
  switch (answer.status) {
    case STATUS_OK:
      return { kind: 'ok' };
    case STATUS_CONFLICT: {
      const rows = toRows(answer.body);
      if (rows.kind === 'malformed') return { kind: 'unknown', message: rows.message };
      return { kind: 'conflict', rows: rows.value };
    }
    case 503:
      // The service's contract: 503 means that nothing was applied.
      return { kind: 'unavailable', message: 'status 503' };
    default:
      return { kind: 'unknown', message: `status ${answer.status}` };
  }
}

/** Client of the object store. */
export function createObjectStore(http: HttpClient, options: PlatformOptions): ObjectStore {
  const url = (name: string): string =>
    `http://${options.address}/objects/${encodeURIComponent(name)}`;
  const { timeoutMs } = options;
  return {
    put: async (name, body) => {
      const answer = await http.fetch(url(name), { method: 'PUT', body, timeoutMs });
      if (answer.kind === 'ok' && answer.status === STATUS_OK) return { kind: 'ok' };
      const message = answer.kind === 'ok' ? `status ${answer.status}` : answer.message;
      const kind = answer.kind === 'not_sent' ? 'unavailable' : 'unknown';
      return { kind, message };
    },
    get: async (name) => {
      const answer = await http.fetch(url(name), { method: 'GET', timeoutMs });
      if (answer.kind !== 'ok') return { kind: 'unavailable', message: answer.message };
      if (answer.status === STATUS_OK) return { kind: 'ok', body: answer.body };
      if (answer.status === STATUS_NOT_FOUND) return { kind: 'absent' };
      return { kind: 'unavailable', message: `status ${answer.status}` };
    },
    list: async (prefix) => {
      const query = new URLSearchParams({ prefix }).toString();
      const list = `http://${options.address}/objects?${query}`;
      const answer = await http.fetch(list, { method: 'GET', timeoutMs });
      if (answer.kind !== 'ok') return { kind: 'unavailable', message: answer.message };
      if (answer.status !== STATUS_OK) {
        return { kind: 'unavailable', message: `status ${answer.status}` };
      }
      const parsed = parseResponseBody(answer.body, namesSchema);
      if (parsed.kind === 'malformed') return { kind: 'unavailable', message: parsed.message };
      return { kind: 'ok', names: parsed.value.names };
    },
  };
}

const hostSchema = z.object({
  host_id: z.string(),
  role: z.enum(['router', 'engine', 'service']),
  service: z.string(),
  address: z.string(),
  region: z.string(),
  failure_domain: z.string(),
  state: z.enum(['live', 'leaving']),
});
const hostListSchema = z.object({ as_of_ms: z.number(), hosts: z.array(hostSchema) });

/** Client of the host list. */
export function createHostList(http: HttpClient, options: PlatformOptions): HostList {
  return {
    read: async () => {
      const url = `http://${options.address}/hosts`;
      const answer = await http.fetch(url, { method: 'GET', timeoutMs: options.timeoutMs });
      if (answer.kind !== 'ok') return { kind: 'unavailable', message: answer.message };
      if (answer.status !== STATUS_OK) {
        return { kind: 'unavailable', message: `status ${answer.status}` };
      }
      const parsed = parseResponseBody(answer.body, hostListSchema);
      if (parsed.kind === 'malformed') return { kind: 'unavailable', message: parsed.message };
      const list = parsed.value;
      return { kind: 'ok', asOfMs: list.as_of_ms, hosts: list.hosts.map(toListedHost) };
    },
  };
}

function toListedHost(host: z.infer<typeof hostSchema>): ListedHost {
  return {
    hostId: host.host_id as HostId,
    role: host.role,
    service: host.service,
    address: host.address,
    region: host.region as Region,
    failureDomain: host.failure_domain as FailureDomain,
    state: host.state,
  };
}

const weightsSchema = z.object({ size_bytes: z.number(), bytes_per_sec: z.number() });

/** Client of the weight store. */
export function createWeightStore(http: HttpClient, options: PlatformOptions): WeightStore {
  return {
    describe: async (model, version) => {
      const path = `${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
      const url = `http://${options.address}/weights/${path}`;
      const answer = await http.fetch(url, { method: 'GET', timeoutMs: options.timeoutMs });
      if (answer.kind !== 'ok') return { kind: 'unavailable', message: answer.message };
      if (answer.status === STATUS_NOT_FOUND) return { kind: 'absent' };
      if (answer.status !== STATUS_OK) {
        return { kind: 'unavailable', message: `status ${answer.status}` };
      }
      const parsed = parseResponseBody(answer.body, weightsSchema);
      if (parsed.kind === 'malformed') return { kind: 'unavailable', message: parsed.message };
      const weights = parsed.value;
      return { kind: 'ok', sizeBytes: weights.size_bytes, bytesPerSec: weights.bytes_per_sec };
    },
  };
}
