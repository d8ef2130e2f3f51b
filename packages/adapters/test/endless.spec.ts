import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { asAttemptNo, asId } from '@mimosamill/core';
import { createEngineClient, createHttpClient, createUpstream } from '../src/index';
import type { AddressInfo, Server } from 'node:net';
import type { RequestId } from '@mimosamill/core';
import type { AttemptEvent } from '../src/index';

const PIECE = 'x'.repeat(16_384);
/** Far more than any head, and less than what a loopback connection carries in the time limit. */
const ACCEPTED_MAX_BYTES = 8_000_000;
const CLOSE_LIMIT_MS = 3_000;

interface EndlessServer {
  readonly address: string;
  readonly sentBytes: () => number;
  /** Resolves when the client has closed the connection. */
  readonly closed: Promise<void>;
}

let open: Server[] = [];

afterEach(() => {
  open.forEach((server) => server.close());
  open = [];
});

/** Answers each request with `start`, and then `piece` again and again until the client closes. */
async function startEndless(start: string, piece: string): Promise<EndlessServer> {
  let sentBytes = 0;
  let close = (): void => undefined;
  const closed = new Promise<void>((resolve) => {
    close = resolve;
  });
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('close', close);
    socket.once('data', () => {
      socket.write(start);
      const pump = (): void => {
        if (socket.destroyed) return;
        sentBytes += piece.length;
        if (socket.write(piece)) setImmediate(pump);
        else socket.once('drain', pump);
      };
      pump();
    });
  });
  open.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, sentBytes: () => sentBytes, closed };
}

function withinLimit<T>(promise: Promise<T>): Promise<T | 'open'> {
  return Promise.race([
    promise,
    new Promise<'open'>((resolve) => {
      setTimeout(() => resolve('open'), CLOSE_LIMIT_MS);
    }),
  ]);
}

const OK = 'HTTP/1.1 200 OK\r\n';

// Guards against a server that sends bytes which are no answer until the caller closes.
describe.each([
  ['the reason of the status line', 'HTTP/1.1 200 ', PIECE],
  ['a header field', `${OK}x-field: `, PIECE],
  ['header fields', OK, `x-field: ${'y'.repeat(500)}\r\n`],
  ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'.repeat(400)],
  ['empty lines before the status line', '', '\r\n'.repeat(8_000)],
  ['a chunk extension', `${OK}transfer-encoding: chunked\r\n\r\n5;x=`, PIECE],
  ['trailer fields', `${OK}transfer-encoding: chunked\r\n\r\n0\r\n`, `x: ${'y'.repeat(500)}\r\n`],
])('a response that never ends, with endless bytes in %s', (_name, start, piece) => {
  it('fails, and its connection is closed after a bounded number of bytes', async () => {
    const server = await startEndless(start, piece);
    const upstream = createUpstream({ connectTimeoutMs: () => 300, connectionsPerServer: 1 });
    const failure = new Promise<string>((resolve) => {
      upstream.send(
        { address: server.address, method: 'GET', path: '/', headers: [], body: undefined },
        {
          onSent: () => undefined,
          onHead: () => undefined,
          onData: () => undefined,
          onEnd: () => resolve('end'),
          onFailure: resolve,
        },
      );
    });
    expect(await withinLimit(failure)).toBe('broken');
    expect(await withinLimit(server.closed)).not.toBe('open');
    expect(server.sentBytes()).toBeLessThan(ACCEPTED_MAX_BYTES);
    await upstream.close();
  });
});

describe('a body that never ends', () => {
  it('ends with its connection when its exchange is cancelled', async () => {
    const server = await startEndless(`${OK}\r\n`, PIECE);
    const upstream = createUpstream({ connectTimeoutMs: () => 300, connectionsPerServer: 1 });
    const exchange = upstream.send(
      { address: server.address, method: 'GET', path: '/', headers: [], body: undefined },
      {
        onSent: () => undefined,
        onHead: () => undefined,
        onData: () => exchange.cancel(),
        onEnd: () => undefined,
        onFailure: () => undefined,
      },
    );
    expect(await withinLimit(server.closed)).not.toBe('open');
    await upstream.close();
  });

  it.each([
    ['one event', 'data: '],
    ['comments', ': '],
  ])('makes an attempt that is streamed end as lost, with endless bytes in %s', async (_, line) => {
    const head = `${OK}content-type: text/event-stream\r\n\r\n${line}`;
    const server = await startEndless(head, line === ': ' ? `${PIECE}\n: ` : PIECE);
    const http = createHttpClient();
    const engine = createEngineClient(http, { timeoutMs: 20_000, orderTimeoutMs: 20_000 });
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
    const event = new Promise<AttemptEvent>((resolve) => {
      engine.generate(server.address, request, resolve);
    });
    expect(await withinLimit(event)).toMatchObject({ kind: 'lost', cause: 'ended_early' });
    expect(await withinLimit(server.closed)).not.toBe('open');
    await http.close();
  });

  it('makes a call of the HTTP client fail after a bounded number of bytes', async () => {
    const server = await startEndless(`${OK}\r\n`, PIECE);
    const http = createHttpClient();
    const outcome = await withinLimit(
      http.fetch(`http://${server.address}/`, { method: 'GET', timeoutMs: 20_000 }),
    );
    expect(outcome).toMatchObject({ kind: 'no_answer' });
    expect(await withinLimit(server.closed)).not.toBe('open');
    await http.close();
  });
});
