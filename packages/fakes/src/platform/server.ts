import * as z from 'zod';
import { createHttpServer, readJsonBody, sendJson, sendText } from '@mimosamill/adapters';
import { NO_FAULTS } from './faults';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, HttpServer, ListedHost, Transaction } from '@mimosamill/adapters';
import type { StoreFaults } from './faults';
import type { HostListModel, TableStoreModel, WeightStoreModel } from './model';

const MAX_BODY_BYTES = 16_777_216;

const readSchema = z.object({ keys: z.array(z.string()) });
const scanSchema = z.object({ prefix: z.string(), after_key: z.string(), limit: z.number() });
const commitSchema = z.object({
  conditions: z.array(
    z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('absent'), key: z.string() }),
      z.object({ kind: z.literal('version'), key: z.string(), version: z.number() }),
    ]),
  ),
  writes: z.array(
    z.discriminatedUnion('kind', [
      z.object({
        kind: z.literal('put'),
        key: z.string(),
        value: z.json(),
        expiresAtMs: z.number().optional(),
      }),
      z.object({ kind: z.literal('delete'), key: z.string() }),
    ]),
  ),
});
const faultsSchema = z.object({
  isDown: z.boolean().default(false),
  delayMs: z.number().default(0),
  lostAnswerRatio: z.number().default(0),
});
const hostSchema = z.object({
  hostId: z.string(),
  role: z.enum(['router', 'engine', 'service']),
  service: z.string(),
  address: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});

export interface PlatformServerOptions {
  readonly tables: TableStoreModel;
  readonly hosts: HostListModel;
  readonly weights: WeightStoreModel;
  readonly weightsBytesPerSec: number;
  readonly clock: Clock;
  readonly random: () => number;
}

/** Serves tables, objects, host list and weights over HTTP, with faults set by `POST /faults`. */
export function createPlatformServer(options: PlatformServerOptions): HttpServer {
  const { tables, hosts, weights, clock } = options;
  const shell = createHttpServer();
  const objects = new Map<string, string>();
  let faults: StoreFaults = NO_FAULTS;

  /** Runs a store operation under the faults of the moment. */
  function withFaults(
    res: ServerResponse,
    isWrite: boolean,
    operation: () => { status: number; body: unknown },
  ): void {
    clock.runAfter(faults.delayMs, () => {
      if (faults.isDown) {
        sendJson(res, 503, { error: { code: 'unavailable' } });
        return;
      }
      const { status, body } = operation();
      if (isWrite && options.random() < faults.lostAnswerRatio) res.destroy();
      else sendJson(res, status, body);
    });
  }

  async function parse<S extends z.ZodType>(
    req: IncomingMessage,
    res: ServerResponse,
    schema: S,
  ): Promise<z.infer<S> | undefined> {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    const parsed = body.kind === 'ok' ? schema.safeParse(body.json) : undefined;
    if (parsed?.success === true) return parsed.data;
    sendJson(res, 400, { error: { code: 'bad_request' } });
    return undefined;
  }

  shell.app.post('/tables/read', async (req, res) => {
    const body = await parse(req, res, readSchema);
    if (body === undefined) return;
    withFaults(res, false, () => {
      const rows = tables.read(body.keys, clock.nowMs());
      return { status: 200, body: { rows } };
    });
  });

  shell.app.post('/tables/scan', async (req, res) => {
    const body = await parse(req, res, scanSchema);
    if (body === undefined) return;
    withFaults(res, false, () => {
      const rows = tables.scan(body.prefix, body.after_key, body.limit, clock.nowMs());
      return { status: 200, body: { rows } };
    });
  });

  shell.app.post('/tables/commit', async (req, res) => {
    const body = await parse(req, res, commitSchema);
    if (body === undefined) return;
    withFaults(res, true, () => {
      const outcome = tables.commit(body as Transaction, clock.nowMs());
      if (outcome.kind === 'conflict') return { status: 409, body: { rows: outcome.rows } };
      return { status: 200, body: {} };
    });
  });

  shell.app.put('/objects/:name', async (req, res) => {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    withFaults(res, true, () => {
      objects.set(req.params['name'] ?? '', Buffer.concat(chunks).toString('utf8'));
      return { status: 200, body: {} };
    });
  });

  shell.app.get('/objects', (req, res) => {
    const prefix = String(req.query['prefix'] ?? '');
    withFaults(res, false, () => {
      const names = [...objects.keys()].filter((name) => name.startsWith(prefix)).sort();
      return { status: 200, body: { names } };
    });
  });

  shell.app.get('/objects/:name', (req, res) => {
    clock.runAfter(faults.delayMs, () => {
      const body = objects.get(req.params['name'] ?? '');
      if (faults.isDown) sendJson(res, 503, {});
      else if (body === undefined) sendJson(res, 404, {});
      else sendText(res, 200, 'text/plain', body);
    });
  });

  shell.app.get('/hosts', (_req, res) => {
    const { hosts: listed, asOfMs } = hosts.read(clock.nowMs());
    sendJson(res, 200, { as_of_ms: asOfMs, hosts: listed.map(toWireHost) });
  });

  shell.app.post('/hosts', async (req, res) => {
    const body = await parse(req, res, hostSchema);
    if (body === undefined) return;
    hosts.put(body as ListedHost, clock.nowMs());
    sendJson(res, 200, {});
  });

  shell.app.delete('/hosts/:id', (req, res) => {
    hosts.remove(req.params['id'] ?? '', clock.nowMs());
    sendJson(res, 200, {});
  });

  shell.app.get('/weights/:model/:version', (req, res) => {
    const { model = '', version = '' } = req.params;
    sendJson(res, 200, {
      size_bytes: weights.sizeBytes(model, version),
      bytes_per_sec: options.weightsBytesPerSec,
    });
  });

  shell.app.post('/weights/:model/:version/fetch', (req, res) => {
    const { model = '', version = '' } = req.params;
    const nowMs = clock.nowMs();
    const arrivesAtMs = weights.startDownload(model, version, nowMs);
    clock.runAfter(arrivesAtMs - nowMs, () => sendJson(res, 200, {}));
  });

  shell.app.post('/faults', async (req, res) => {
    const body = await parse(req, res, faultsSchema);
    if (body === undefined) return;
    faults = body;
    sendJson(res, 200, {});
  });

  shell.app.get('/counts', (_req, res) => {
    sendJson(res, 200, tables.operationCounts());
  });

  return shell;
}

function toWireHost(host: ListedHost): unknown {
  return {
    host_id: host.hostId,
    role: host.role,
    service: host.service,
    address: host.address,
    region: host.region,
    failure_domain: host.failureDomain,
    state: host.state,
  };
}
