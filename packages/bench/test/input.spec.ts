import { once } from 'node:events';
import { connect } from 'node:net';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { basicChanges, commitChanges, startFleet } from '../src/index';
import type { Fleet, FleetNode } from '../src/index';

const KEY = 'guild-key-1';
const OTHER_KEY = 'werkbuch-key-1';
const MAX_BODY_BYTES = 65_536;
const CALL = '/v1/services/guild-shop/book';
const COMPLETION = '/v1/completions';
const GOOD_BODY = JSON.stringify({ model: 'guide', prompt: 'Which clamp first?', max_tokens: 3 });

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

describe('bad input over HTTP', () => {
  let fleet: Fleet;
  let engine: FleetNode;
  let service: FleetNode;
  let router: FleetNode;

  beforeAll(async () => {
    fleet = await startFleet();
    engine = await fleet.startEngine({
      id: 'engine-0',
      service: 'bench-guide',
      model: 'guide',
      versions: ['v1'],
      failureDomain: 'marka',
      // Slow enough that a generation is still running when the next bytes arrive.
      modelSettings: { baseStepMs: 20 },
    });
    service = await fleet.startService('shop-0', 'guild-shop', 'marka');
    const own = { engineService: 'bench-guide', model: 'guide', version: 'v1' };
    const other = { engineService: 'lackschrift', model: 'lack', version: 'v1' };
    await commitChanges(fleet.platformAddress, [
      ...basicChanges({ ...own, plainService: 'guild-shop', customer: 'rib-gluers', key: KEY }),
      ...basicChanges({ ...other, plainService: 'werkbuch', customer: 'lackers', key: OTHER_KEY }),
    ]);
    router = await fleet.startRouter({
      id: 'router-0',
      failureDomain: 'marka',
      settings: { maxBodyBytes: MAX_BODY_BYTES, headersTimeoutMs: 1_000, requestTimeoutMs: 2_000 },
    });
    await fleet.waitReady([router]);
  });

  afterAll(() => fleet.stop());

  // Guards against bad input that ends the router or keeps it from serving the next request.
  afterEach(async () => {
    expect(router.process.isRunning()).toBe(true);
    expect((await post(COMPLETION, GOOD_BODY)).status).toBe(200);
  });

  async function post(
    path: string,
    body: string,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const answer = await fleet.http.fetch(`http://${router.address}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${KEY}`, ...headers },
      body,
      timeoutMs: 20_000,
    });
    if (answer.kind !== 'ok') throw new Error(`POST ${path}: ${answer.message}`);
    return { status: answer.status, body: JSON.parse(answer.body) };
  }

  /**
   * Sends raw bytes, then `afterFirstData` once the answer has begun, and reads until the router
   * closes the connection.
   */
  async function sendRaw(text: string, afterFirstData = ''): Promise<string> {
    const [host, port] = router.address.split(':');
    const socket = connect({ host: host ?? '', port: Number(port), allowHalfOpen: false });
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      if (received === '') socket.write(afterFirstData);
      received += chunk.toString('utf8');
    });
    socket.on('error', () => undefined);
    socket.write(text);
    await once(socket, 'close');
    return received;
  }

  function readRaw(text: string): Answer {
    const [head = '', body = ''] = text.split('\r\n\r\n');
    return { status: Number(head.split(' ')[1]), body: JSON.parse(body) };
  }

  /** The work counters of the engine and the runs of the service. */
  async function work(): Promise<unknown> {
    return [await fleet.get(engine.address, '/v1/work'), await fleet.get(service.address, '/runs')];
  }

  async function expectNotRun(
    send: () => Promise<Answer>,
    status: number,
    code: string,
  ): Promise<void> {
    const before = await work();
    const answer = await send();
    const error = { code, message: expect.any(String), not_run: true, outcome: 'not_run' };
    expect(answer).toMatchObject({ status, body: { error } });
    expect(await work()).toEqual(before);
  }

  const completion = (change: object): string =>
    JSON.stringify({ model: 'guide', prompt: 'p', max_tokens: 3, ...change });

  // Guards against bad input that is run, answered without an error code, or not reported as not run.
  it.each([
    ['malformed JSON', COMPLETION, '{"model":', {}, 400, 'bad_json'],
    ['an empty body', COMPLETION, '', {}, 400, 'bad_json'],
    ['a body that is not an object', COMPLETION, 'null', {}, 400, 'bad_request'],
    ['a prompt of a wrong type', COMPLETION, completion({ prompt: 7 }), {}, 400, 'bad_request'],
    ['too many tokens', COMPLETION, completion({ max_tokens: 1e9 }), {}, 400, 'bad_request'],
    ['a negative deadline', COMPLETION, completion({ deadline_ms: -1 }), {}, 400, 'bad_request'],
    ['messages of a wrong type', '/v1/chat/completions', completion({}), {}, 400, 'bad_request'],
    ['an unknown model', COMPLETION, completion({ model: 'x' }), {}, 404, 'unknown_model'],
    [
      'an inherited name as model',
      COMPLETION,
      completion({ model: 'constructor' }),
      {},
      404,
      'unknown_model',
    ],
    ['an unknown service', '/v1/services/none/book', '{}', {}, 404, 'unknown_service'],
    [
      'an inherited name as service',
      '/v1/services/__proto__/book',
      '{}',
      {},
      404,
      'unknown_service',
    ],
    ['an unknown operation', '/v1/services/guild-shop/none', '{}', {}, 404, 'not_found'],
    ['an unknown route', '/v2/completions', '{}', {}, 404, 'not_found'],
    [
      'a path that is not validly encoded',
      '/v1/services/%E0%A4%A/book',
      '{}',
      {},
      400,
      'bad_request',
    ],
    ['an oversized body', COMPLETION, 'x'.repeat(40 * MAX_BODY_BYTES), {}, 413, 'body_too_large'],
    ['an unknown key', COMPLETION, GOOD_BODY, { authorization: 'Bearer x' }, 401, 'unauthorized'],
    ['a missing key', COMPLETION, GOOD_BODY, { authorization: '' }, 401, 'unauthorized'],
    [
      "a key of another customer's service",
      COMPLETION,
      GOOD_BODY,
      { authorization: `Bearer ${OTHER_KEY}` },
      403,
      'forbidden',
    ],
    [
      "a call with a key of another customer's service",
      CALL,
      '{}',
      { authorization: `Bearer ${OTHER_KEY}` },
      403,
      'forbidden',
    ],
    [
      'a deadline that is not a number',
      CALL,
      '{}',
      { 'x-deadline-ms': 'soon' },
      400,
      'bad_request',
    ],
    ['a negative deadline of a call', CALL, '{}', { 'x-deadline-ms': '-5' }, 400, 'bad_request'],
    [
      'an over-long idempotency key',
      CALL,
      '{}',
      { 'idempotency-key': 'k'.repeat(257) },
      400,
      'bad_request',
    ],
    [
      'a malformed last event id',
      COMPLETION,
      GOOD_BODY,
      { 'last-event-id': 'no-index' },
      400,
      'bad_request',
    ],
  ] as [string, string, string, Record<string, string>, number, string][])(
    'refuses %s as not run',
    async (_name, path, body, headers, status, code) => {
      await expectNotRun(() => post(path, body, headers), status, code);
    },
  );

  const head = (length: number): string =>
    `POST ${COMPLETION} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer ${KEY}\r\ncontent-length: ${length}\r\n`;

  // Guards against connections kept open indefinitely for callers that stop sending.
  it.each([
    ['a body that does not arrive', `${head(500)}\r\n{"model"`, 408, 'request_timeout'],
    ['headers that do not end', head(2), 408, 'request_timeout'],
    ['oversized headers', `${head(2)}x-bomb: ${'b'.repeat(200_000)}\r\n\r\n{}`, 431, 'bad_request'],
    ['bytes that are not HTTP', 'not http at all\r\n\r\n', 400, 'bad_request'],
  ] as [string, string, number, string][])(
    'refuses %s as not run and closes the connection',
    async (_name, text, status, code) => {
      await expectNotRun(async () => readRaw(await sendRaw(text)), status, code);
    },
  );

  // Guards against an error written into a running response, and "not run" for a running request.
  it('does not answer bytes that follow a running request', async () => {
    const body = completion({ max_tokens: 200, stream: true });
    const request = `${head(body.length)}\r\n${body}`;
    const received = await sendRaw(request, 'not http at all\r\n\r\n');
    expect(received).toContain('200 OK');
    expect(received).not.toContain('not_run');
    // The generation continues for the reconnect window; its work must not count in another test.
    await expect
      .poll(() => fleet.get(engine.address, '/v1/running'), { timeout: 40_000 })
      .toEqual({ request_ids: [] });
  });

  // Guards against a router that ends when a caller closes the connection while sending its body.
  it('keeps serving when a caller disconnects in the middle of its body', async () => {
    const before = await work();
    const [host, port] = router.address.split(':');
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    await new Promise((resolve) => {
      socket.write(`${head(500)}\r\n{"model"`, resolve);
    });
    socket.resetAndDestroy();
    await once(socket, 'close');
    expect((await post('/v1/none', '{}')).status).toBe(404);
    expect(await work()).toEqual(before);
  });
});
