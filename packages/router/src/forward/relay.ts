import * as z from 'zod';
import { createHttpServer, sendJson } from '@mimosamill/adapters';
import { asStoreEra, UNKNOWN_ERA } from '@mimosamill/core';
import type { HttpClient, HttpServer } from '@mimosamill/adapters';
import type { StoreEra, StoreEras, StoreRevision } from '@mimosamill/core';
import type { RelayedChanges, RelaySource, TableChange } from './watched-table';

/** A table that this router relays to other routers. */
export interface RelayedTable {
  readonly name: string;
  /**
   * Long-polls for a newer revision; also resolves when the store confirmed that there is none, which
   * renews the age of the content, and after the time to wait. Undefined if the table was never read.
   */
  readonly waitForNewer: (query: RelayQuery) => Promise<RelayResponse | undefined>;
}

/** What a router has of a table when it asks another one for news. */
export interface RelayQuery {
  readonly since: StoreRevision;
  /**
   * Time by the store's clock as of which the asking router knows the content; undefined if unknown. A
   * relay that knows it to be current later answers at once: it may have learned that just before the
   * call arrived, and its next confirmation would come too late for the asking router.
   */
  readonly knownAsOfMs: number | undefined;
  readonly waitMs: number;
}

/** Response of a relay: the rows of a table and their age. */
export interface RelayResponse {
  readonly changes: readonly TableChange<unknown>[];
  /** True if `changes` holds all rows instead of those changed since the requested revision. */
  readonly isAll: boolean;
  readonly revision: number;
  /** Era of the revision; absent in responses of earlier versions of the router. */
  readonly era?: StoreEra;
  /** Time by the store's clock at which the content was known to be current. */
  readonly storeAsOfMs: number;
  readonly sinceOutageMs: number | null;
}

const RELAY_PATH = '/relay/:table';
const ERA_PATTERN = /^\d{1,15}$/u;
const LONG_POLL_MAX_MS = 10_000;

/** Serves this router's tables to other routers, so that not every router has to read the store. */
export function createRelayServer(tables: readonly RelayedTable[], eras: StoreEras): HttpServer {
  const byName = new Map(tables.map((table) => [table.name, table]));
  const shell = createHttpServer();
  shell.app.get(RELAY_PATH, async (req, res) => {
    const table = byName.get(req.params['table'] ?? '');
    const query = new URL(req.url ?? '/', 'http://relay').searchParams;
    const since = Number(query.get('since'));
    const waitMs = Math.min(LONG_POLL_MAX_MS, Number(query.get('wait_ms')));
    if (table === undefined || !Number.isFinite(since) || !Number.isFinite(waitMs)) {
      sendJson(res, 400, {
        error:
          'expected /relay/TABLE?since=REVISION&era=ERA&wait_ms=MS with a table that this router relays',
      });
      return;
    }
    const era = parseEra(query.get('era')) ?? eras.current();
    const knownAsOfMs = parseTimeMs(query.get('as_of_ms'));
    const answer = await table.waitForNewer({
      since: { era, revision: since },
      knownAsOfMs,
      waitMs,
    });
    if (answer === undefined) sendJson(res, 503, { error: 'the table has not been read yet' });
    else sendJson(res, 200, { ...answer, era: namedEra(answer.era) });
  });
  return shell;
}

/** Reads a table from another router. */
export function createRelaySource<T>(
  http: HttpClient,
  table: string,
  address: string,
): RelaySource<T> {
  return {
    name: address,
    readChanges: async ({ since, knownAsOfMs, waitMs }, signal): Promise<RelayedChanges<T>> => {
      const { revision, era } = since;
      const query = new URLSearchParams({
        since: String(revision),
        era: String(era),
        wait_ms: String(Math.round(waitMs)),
        ...(knownAsOfMs === undefined ? {} : { as_of_ms: String(Math.round(knownAsOfMs)) }),
      });
      const outcome = await http.fetch(`http://${address}/relay/${table}?${query.toString()}`, {
        method: 'GET',
        timeoutMs: LONG_POLL_MAX_MS + 1_000,
        signal,
      });
      if (outcome.kind !== 'ok') return { kind: 'unavailable', message: outcome.message };
      if (outcome.status !== 200) {
        return {
          kind: 'unavailable',
          message: `the relaying router answered with status ${outcome.status}`,
        };
      }
      const answer = parse(outcome.body);
      if (answer === undefined) return { kind: 'unavailable', message: 'malformed relay answer' };
      return {
        kind: 'relayed',
        changes: answer.changes as readonly TableChange<T>[],
        isAll: answer.isAll,
        revision: answer.revision,
        era: answer.era ?? era,
        storeAsOfMs: answer.storeAsOfMs,
        sinceOutageMs: answer.sinceOutageMs ?? Infinity,
      };
    },
  };
}

/** Another process may answer at the address of a router that is gone. */
const responseSchema = z.looseObject({
  changes: z.array(z.object({ key: z.string(), value: z.unknown().optional() })),
  isAll: z.boolean(),
  revision: z.number(),
  era: z.int().nonnegative().optional(),
  storeAsOfMs: z.number(),
  sinceOutageMs: z.number().nullable(),
});

/** An era that is not known is left out. */
function namedEra(era: StoreEra | undefined): StoreEra | undefined {
  return era === UNKNOWN_ERA ? undefined : era;
}

function parseEra(text: string | null): StoreEra | undefined {
  return text !== null && ERA_PATTERN.test(text) ? asStoreEra(Number(text)) : undefined;
}

function parseTimeMs(text: string | null): number | undefined {
  const timeMs = Number(text ?? NaN);
  return Number.isFinite(timeMs) ? timeMs : undefined;
}

function parse(body: string): RelayResponse | undefined {
  try {
    const json: unknown = JSON.parse(body);
    return responseSchema.safeParse(json).success ? (json as RelayResponse) : undefined;
  } catch {
    return undefined;
  }
}
