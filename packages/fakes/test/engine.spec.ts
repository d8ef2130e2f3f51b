import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  createEngineClient,
  loadHashFunctions,
  createHttpClient,
  createSystemClock,
} from '@mimosamill/adapters';
import { asAttemptNo, asId } from '@mimosamill/core';
import {
  createEngineModel,
  createEngineServer,
  createRandom,
  DEFAULT_ENGINE_MODEL,
  expectedTokenTexts,
} from '../src/index';
import type {
  AttemptEvent,
  EngineClient,
  GenerateRequest,
  HashFunctions,
  HttpClient,
  HttpServer,
} from '@mimosamill/adapters';
import type { EngineId, RequestId } from '@mimosamill/core';

const LOADED = { model: 'guide', version: 'v1', adapters: [] };

function createRequest(id: string, generatedTokens: readonly string[] = []): GenerateRequest {
  return {
    requestId: asId<RequestId>(id),
    attemptNo: asAttemptNo(1),
    model: 'guide',
    version: 'v1',
    adapter: '',
    prompt: 'glue the third rib',
    generatedTokens,
    maxTokens: 20,
    seed: 3,
    priority: 'normal',
  };
}

describe('fake engine over HTTP', () => {
  let hashes: HashFunctions;
  let http: HttpClient;
  let server: HttpServer;
  let client: EngineClient;
  let address: string;

  beforeAll(async () => {
    hashes = await loadHashFunctions();
    http = createHttpClient();
    const model = createEngineModel(
      { ...DEFAULT_ENGINE_MODEL, engineId: asId<EngineId>('e1'), loaded: [LOADED], baseStepMs: 1 },
      hashes.hash32,
    );
    server = createEngineServer({
      model,
      clock: createSystemClock(),
      random: createRandom(1),
      fetchWeights: () => Promise.resolve(),
      onCrash: () => {
        throw new Error('the engine crashed, although these tests set no poison marker');
      },
      orphanMs: 5_000,
    });
    address = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
    client = createEngineClient(http, { timeoutMs: 1_000, orderTimeoutMs: 1_000 });
  });

  afterAll(async () => {
    await server.close();
    await http.close();
  });

  function collectEvents(
    start: (onEvent: (event: AttemptEvent) => void) => void,
  ): Promise<AttemptEvent[]> {
    return new Promise((resolve) => {
      const events: AttemptEvent[] = [];
      start((event) => {
        events.push(event);
        if (event.kind !== 'token') resolve(events);
      });
    });
  }

  const tokenTexts = (events: readonly AttemptEvent[]): string[] =>
    events.flatMap((event) => (event.kind === 'token' ? [event.text] : []));

  // Guards against a fake engine whose output after a resume differs from the uninterrupted output:
  // tests of resumption compare the two.
  it('resumes after generated tokens with exactly the rest of the uninterrupted output', async () => {
    const request = createRequest('whole');
    const uninterrupted = await collectEvents((onEvent) =>
      client.generate(address, request, onEvent),
    );
    const expected = expectedTokenTexts(request, request.maxTokens, hashes.hash32);
    expect(tokenTexts(uninterrupted)).toEqual(expected);
    expect(uninterrupted.at(-1)).toEqual({ kind: 'finish', attemptNo: 1, reason: 'length' });
    const rest = await collectEvents((onEvent) =>
      client.generate(address, createRequest('rest', expected.slice(0, 8)), onEvent),
    );
    expect(tokenTexts(rest)).toEqual(expected.slice(8));
  });

  // Guards against discarding the tokens of a finished request before its reader reconnects.
  it('lets a second reader attach to a finished request from any index', async () => {
    const request = createRequest('attach');
    await collectEvents((onEvent) => client.generate(address, request, onEvent));
    const attached = await collectEvents((onEvent) =>
      client.attach(address, request.requestId, asAttemptNo(2), 15, onEvent),
    );
    expect(tokenTexts(attached)).toEqual(expectedTokenTexts(request, 20, hashes.hash32).slice(15));
  });

  // Guards against reporting a refusal, after which nothing has run, as a lost attempt.
  it('refuses a request for a version that is not loaded', async () => {
    const request = { ...createRequest('other'), version: 'v9' };
    const events = await collectEvents((onEvent) => client.generate(address, request, onEvent));
    expect(events.map((event) => event.kind === 'refused' && event.cause)).toEqual(['no_version']);
  });

  // Guards against a former lease holder changing the target of an engine that enforces fencing.
  it('refuses an order with an outdated fencing number', async () => {
    const target = { loaded: [LOADED], role: 'mixed' } as const;
    expect(await client.sendOrder(address, { orderId: 'a', fencingNumber: 5, target })).toEqual({
      kind: 'ok',
    });
    expect(await client.sendOrder(address, { orderId: 'b', fencingNumber: 4, target })).toEqual({
      kind: 'stale',
      highestFencingNumber: 5,
    });
  });
});
