import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { asAttemptNo, asId } from '@mimosamill/core';
import {
  createEngineClient,
  createHostList,
  createHttpClient,
  createHttpServer,
  createObjectStore,
  createServiceClient,
  createTableStore,
  createWeightStore,
  sendText,
} from '../src/index';
import type { AttemptEvent, HttpClient, HttpServer } from '../src/index';
import type { RequestId } from '@mimosamill/core';

const TIMEOUT_MS = 20_000;

// Guards against a malformed response that causes an exception in a timer or event handler. It ends
// the process, on every host that calls the faulty server.
describe.each([
  ['no JSON', '<html>'],
  ['JSON that does not match the schema', '{"a":1}'],
  ['null', 'null'],
])('a server that responds with %s', (_name, text) => {
  let server: HttpServer;
  let http: HttpClient;
  let address: string;

  beforeAll(async () => {
    server = createHttpServer();
    http = createHttpClient();
    server.app.post('/v1/completions', (_req, res) =>
      sendText(res, 200, 'text/event-stream', `data: ${text}\n\n`),
    );
    server.app.post('/v1/orders', (_req, res) => sendText(res, 409, 'application/json', text));
    server.app.post('/tables/commit', (_req, res) => sendText(res, 409, 'application/json', text));
    server.app.post('/tables/read', (_req, res) => sendText(res, 200, 'application/json', text));
    server.app.get('/*', (_req, res) => sendText(res, 200, 'application/json', text));
    address = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
  });

  afterAll(async () => {
    await server.close();
    await http.close();
  });

  it('is treated as an unavailable engine', async () => {
    const engine = createEngineClient(http, { timeoutMs: TIMEOUT_MS, orderTimeoutMs: TIMEOUT_MS });
    const unavailable = { kind: 'unavailable' };
    expect(await engine.readLoad(address)).toMatchObject(unavailable);
    expect(await engine.readState(address)).toMatchObject(unavailable);
    expect(await engine.readCacheEvents(address, 0)).toMatchObject(unavailable);
    expect(await engine.readCacheSnapshot(address)).toMatchObject(unavailable);
    const target = { loaded: [], role: 'mixed' } as const;
    const order = { orderId: 'o', fencingNumber: 1, target };
    expect(await engine.sendOrder(address, order)).toMatchObject({ kind: 'refused' });
  });

  it('makes the attempt that it streams end as lost', async () => {
    const engine = createEngineClient(http, { timeoutMs: TIMEOUT_MS, orderTimeoutMs: TIMEOUT_MS });
    const request = {
      requestId: asId<RequestId>('r'),
      attemptNo: asAttemptNo(1),
      model: 'guide',
      version: 'v1',
      adapter: '',
      prompt: 'p',
      generatedTokens: [],
      maxTokens: 1,
      seed: 0,
      priority: 'normal',
    } as const;
    const event = await new Promise<AttemptEvent>((resolve) => {
      engine.generate(address, request, resolve);
    });
    expect(event).toMatchObject({ kind: 'lost', cause: 'ended_early', attemptNo: 1 });
  });

  it('is treated as an unavailable plain service', async () => {
    const service = createServiceClient(http, TIMEOUT_MS);
    expect(await service.readLoad(address)).toBeUndefined();
    expect(await service.lookup(address, 'k')).toMatchObject({ kind: 'unavailable' });
  });

  it('is treated as an unavailable platform, with an unknown outcome of a commit', async () => {
    const options = { address, timeoutMs: TIMEOUT_MS };
    const unavailable = { kind: 'unavailable' };
    const tables = createTableStore(http, options);
    expect(await tables.read(['k'])).toMatchObject(unavailable);
    expect(await tables.commit({ conditions: [], writes: [] })).toMatchObject({ kind: 'unknown' });
    expect(await createObjectStore(http, options).list('')).toMatchObject(unavailable);
    expect(await createHostList(http, options).read()).toMatchObject(unavailable);
    expect(await createWeightStore(http, options).describe('m', 'v')).toMatchObject(unavailable);
  });
});
