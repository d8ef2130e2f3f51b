import { createHttpServer, sendJson } from '@mimosamill/adapters';
import type { HttpClient, HttpServer } from '@mimosamill/adapters';
import type { RelayedChanges, RelaySource, TableChange } from './table-watch';

/** A table as its router passes it on. */
export interface RelayedTable {
  readonly name: string;
  /** Resolves when there is something newer, or when the store's answer was renewed. */
  readonly waitForNewer: (
    sinceRevision: number,
    waitMs: number,
  ) => Promise<RelayResponse | undefined>;
}

/** What a router knows of a table, as another one gets it. */
export interface RelayResponse {
  readonly changes: readonly TableChange<unknown>[];
  /** True if `changes` are all rows, instead of those since the revision that was asked for. */
  readonly isAll: boolean;
  readonly revision: number;
  /** The store's clock at the time that the content is known to be of. */
  readonly storeAsOfMs: number;
  readonly sinceOutageMs: number | null;
}

const RELAY_PATH = '/relay/:table';
const LONG_POLL_MAX_MS = 10_000;

/** Serves other routers what this one knows, so that not every one has to ask the store. */
export function createRelayServer(tables: readonly RelayedTable[]): HttpServer {
  const byName = new Map(tables.map((table) => [table.name, table]));
  const shell = createHttpServer();
  shell.app.get(RELAY_PATH, async (req, res) => {
    const table = byName.get(req.params['table'] ?? '');
    const query = new URL(req.url ?? '/', 'http://relay').searchParams;
    const since = Number(query.get('since'));
    const waitMs = Math.min(LONG_POLL_MAX_MS, Number(query.get('wait_ms')));
    if (table === undefined || !Number.isFinite(since) || !Number.isFinite(waitMs)) {
      sendJson(res, 400, { error: 'expected a known table, since and wait_ms' });
      return;
    }
    const answer = await table.waitForNewer(since, waitMs);
    if (answer === undefined) sendJson(res, 503, { error: 'nothing is known yet' });
    else sendJson(res, 200, answer);
  });
  return shell;
}

/** Another router as a source of a table. */
export function createRelaySource<T>(
  http: HttpClient,
  table: string,
  address: string,
): RelaySource<T> {
  return {
    name: address,
    readChanges: async (sinceRevision, waitMs, signal): Promise<RelayedChanges<T>> => {
      const query = `since=${sinceRevision}&wait_ms=${Math.round(waitMs)}`;
      const outcome = await http.fetch(`http://${address}/relay/${table}?${query}`, {
        method: 'GET',
        timeoutMs: LONG_POLL_MAX_MS + 1_000,
        signal,
      });
      if (outcome.kind !== 'ok') return { kind: 'unavailable', message: outcome.message };
      if (outcome.status !== 200) {
        return { kind: 'unavailable', message: `the router answered ${outcome.status}` };
      }
      const answer = parse(outcome.body);
      if (answer === undefined) return { kind: 'unavailable', message: 'unreadable answer' };
      return {
        kind: 'relayed',
        changes: answer.changes as readonly TableChange<T>[],
        isAll: answer.isAll,
        revision: answer.revision,
        storeAsOfMs: answer.storeAsOfMs,
        sinceOutageMs: answer.sinceOutageMs ?? Infinity,
      };
    },
  };
}

function parse(body: string): RelayResponse | undefined {
  try {
    return JSON.parse(body) as RelayResponse;
  } catch {
    return undefined;
  }
}
