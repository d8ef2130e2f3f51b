import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createUpstream } from '../src/index';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Upstream } from '../src/index';

const SETTINGS = { connectTimeoutMs: () => 300, connectionsPerServer: 1 };
const REQUEST_END = '\r\n\r\n';

let upstream: Upstream | undefined;
let server: Server | undefined;

afterEach(async () => {
  await upstream?.close();
  server?.close();
  server = undefined;
});

/** Sends a request; resolves with the statuses of its responses and how it ended. */
function exchange(address: string, requestId: string): Promise<string[]> {
  upstream ??= createUpstream(SETTINGS);
  const seen: string[] = [];
  return new Promise((resolve) => {
    upstream?.send(
      { address, method: 'GET', path: '/', headers: ['x-id', requestId], body: undefined },
      {
        onSent: () => undefined,
        onHead: ({ status, fields }) => {
          seen.push(`${status} ${String(fields.get('x-id'))}`);
        },
        onData: () => undefined,
        onEnd: () => resolve([...seen, 'end']),
        onFailure: (failure) => resolve([...seen, failure]),
      },
    );
  });
}

const response = (status: string, id: string): string =>
  `HTTP/1.1 ${status}\r\nx-id: ${id}\r\ncontent-length: 0${REQUEST_END}`;

/** A server whose connections answer each request by `answer`, which gets the number of the request. */
async function startRawServer(answer: (socket: Socket, no: number, id: string) => void) {
  let count = 0;
  let connections = 0;
  server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      count += 1;
      answer(socket, count, /x-id: (\S+)/u.exec(bytes.toString())?.[1] ?? '');
    });
  });
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, connectionCount: () => connections };
}

describe('a request to an address that is not valid', () => {
  it.each(['127.0.0.1:99999', '127.0.0.1:x', '999.1.1.1:80', 'no address', 'a b:80'])(
    '%s counts as not sent, and as a server that takes no connections',
    async (address) => {
      upstream = createUpstream(SETTINGS);
      expect(await exchange(address, 'r1')).toEqual(['not_sent']);
      expect(await upstream.isAccepting(address)).toBe(false);
    },
  );
});

describe('an earlier answer that a server writes once more on a kept connection', () => {
  it('closes the connection if it arrives while no request waits there', async () => {
    upstream = createUpstream(SETTINGS);
    const { address, connectionCount } = await startRawServer((socket, no, id) => {
      socket.write(response('503 Busy', id));
      if (no === 1) setTimeout(() => socket.write(response('503 Busy', id)), 20);
    });
    expect(await exchange(address, 'r1')).toEqual(['503 r1', 'end']);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect(await exchange(address, 'r2')).toEqual(['503 r2', 'end']);
    expect(connectionCount()).toBe(2);
  });

  it('closes the connection if it arrives together with the answer', async () => {
    upstream = createUpstream(SETTINGS);
    const { address, connectionCount } = await startRawServer((socket, no, id) => {
      const answer = response('503 Busy', id);
      socket.write(no === 1 ? `${answer}${answer}` : answer);
    });
    expect((await exchange(address, 'r1'))[0]).toBe('503 r1');
    expect(await exchange(address, 'r2')).toEqual(['503 r2', 'end']);
    expect(connectionCount()).toBe(2);
  });

  it('bears the earlier id if it is read as the answer to the next request', async () => {
    upstream = createUpstream(SETTINGS);
    const { address } = await startRawServer((socket, no, id) => {
      socket.write(response('503 Busy', no === 1 ? id : 'r1'));
    });
    expect(await exchange(address, 'r1')).toEqual(['503 r1', 'end']);
    expect(await exchange(address, 'r2')).toEqual(['503 r1', 'end']);
  });
});
