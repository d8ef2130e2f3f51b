import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createHttpClient } from '../src/index';
import {
  listElements,
  parseResponseHead,
  singleValue,
  toFields,
} from '../src/runtime/response-head';
import type { AddressInfo, Server } from 'node:net';
import type { HttpClient } from '../src/index';

const TIMEOUT_MS = 5_000;

let server: Server | undefined;
let http: HttpClient | undefined;

afterEach(async () => {
  await http?.close();
  server?.close();
  server = undefined;
});

describe('the head of a response', () => {
  it.each([0, 1, 99, 101, 600, 999])('is malformed with the status %i', (status) => {
    // Guards against a status that HTTP does not have and that some user of the head takes for another one.
    expect(parseResponseHead('GET', status, {}).kind).toBe('malformed');
  });

  it('is interim below 200 and final from there on', () => {
    const kinds = [100, 103, 199, 200, 599].map(
      (status) => parseResponseHead('GET', status, {}).kind,
    );
    expect(kinds).toEqual(['interim', 'interim', 'interim', 'final', 'final']);
  });

  it('says what ends the body', () => {
    // Guards against a body that ends with its connection and is not known to.
    const framing = (
      method: string,
      status: number,
      headers: Record<string, string | string[]>,
    ) => {
      const outcome = parseResponseHead(method, status, headers);
      return outcome.kind === 'final' ? outcome.head.framing : outcome.kind;
    };
    expect([
      framing('GET', 200, { 'content-length': '5' }),
      framing('GET', 200, { 'transfer-encoding': 'Chunked' }),
      framing('GET', 200, {}),
      framing('GET', 200, { 'transfer-encoding': 'gzip' }),
      framing('GET', 200, { 'transfer-encoding': ['chunked', 'gzip'] }),
      framing('GET', 204, {}),
      framing('GET', 304, { 'content-length': '5' }),
      framing('HEAD', 200, {}),
    ]).toMatchSnapshot();
  });
});

describe('a field on several lines', () => {
  const fields = toFields({ A: ['x, Y', 'z'], same: ['1', '1'], other: ['1', '2'] });

  it('is one list of all lines', () => {
    expect(listElements(fields, 'a')).toEqual(['x', 'y', 'z']);
  });

  it('has a single value only if the lines agree', () => {
    expect(['same', 'other', 'absent'].map((name) => singleValue(fields, name))).toEqual([
      '1',
      undefined,
      undefined,
    ]);
  });
});

/** Starts a server that writes the text for each request and then ends the connection if it is told to. */
async function startServer(text: string, endsConnection: boolean): Promise<string> {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write(text);
      if (endsConnection) socket.end();
    });
  });
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('the HTTP client of our own interfaces', () => {
  it.each(['000 OK', '099 OK', '101 Switching Protocols', '600 Odd'])(
    'takes an answer with the status line %s for no answer',
    async (status) => {
      // Guards against a call that is answered with a status of a faulty server that means nothing.
      const address = await startServer(`HTTP/1.1 ${status}\r\ncontent-length: 2\r\n\r\nok`, true);
      http = createHttpClient();
      const outcome = await http.fetch(`http://${address}/`, {
        method: 'GET',
        timeoutMs: TIMEOUT_MS,
      });
      expect(outcome.kind).toBe('no_answer');
    },
  );
});
