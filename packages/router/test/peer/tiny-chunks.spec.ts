import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '@mimosamill/adapters';
import { measureHeapBytes } from '@mimosamill/fakes';
import { Registry } from 'prom-client';
import { afterEach, describe, expect, it } from 'vitest';
import { createPeerPool, PEER_POOL_DEFAULTS } from '../../src/peer/pool';
import { createPeerServer, PEER_SERVER_DEFAULTS } from '../../src/peer/server';
import { createPeerTraffic } from '../../src/peer/traffic';
import { createPeerRouter, peerProcedure } from '../../src/peer/trpc';
import type { AddressInfo, Socket } from 'node:net';

const BODY_BYTES = 250_000;
const ANSWER_BYTES = 1_000_000;
/** A buffer for each byte would need a hundred times this, for the chunks below. */
const HEAP_GROWTH_MAX_BYTES = 16_777_216;
const CHUNKS_AT_ONCE = 10_000;
/** Time in which all chunks arrive. */
const ARRIVAL_MS = 1_500;
/** Time after which nothing of the last test is held any more. */
const SETTLE_MS = 300;

const echoRouter = createPeerRouter({
  echo: peerProcedure.input((value) => String(value)).query(({ input }) => input),
});

let closings: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const close of closings) await close();
  closings = [];
  await sleep(SETTLE_MS);
});

function createTraffic() {
  return createPeerTraffic(new Registry());
}

async function startPeerServer(): Promise<string> {
  const settings = { host: '127.0.0.1', port: 0, ...PEER_SERVER_DEFAULTS };
  const server = createPeerServer(settings, { test: echoRouter }, createTraffic());
  closings.push(server.close);
  return server.listen();
}

/** Sends all of a body but its end, in chunks of one byte; resolves when it has left this side. */
async function sendTinyChunks(address: string, path: string, type: string): Promise<Socket> {
  const [host = '', port] = address.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => undefined);
  closings.push(() => {
    socket.destroy();
  });
  const fields = [`content-type: ${type}`, 'transfer-encoding: chunked', 'host: peer'];
  socket.write(`POST ${path} HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`);
  const block = '1\r\n1\r\n'.repeat(CHUNKS_AT_ONCE);
  for (let sent = 0; sent < BODY_BYTES; sent += CHUNKS_AT_ONCE) {
    if (!socket.write(block)) await new Promise((resolve) => socket.once('drain', resolve));
  }
  return socket;
}

// Each guards against a peer, or a process in its place, whose message in tiny chunks fills the heap.
describe('a message of a peer in chunks of one byte', () => {
  it.each([
    ['a call', '/test.echo', 'application/json'],
    ['a binary call', '/test.echo', 'application/octet-stream'],
    ['a batch', '/test.echo,test.echo?batch=1', 'application/json'],
    ['an unknown call', '/none', 'application/octet-stream'],
  ])('takes memory in proportion to its bytes, as %s', async (_name, path, type) => {
    const address = await startPeerServer();
    const before = measureHeapBytes();
    const senders = Array.from({ length: 4 }, () => sendTinyChunks(address, path, type));
    await Promise.all(senders);
    await sleep(ARRIVAL_MS);
    expect(measureHeapBytes() - before).toBeLessThan(HEAP_GROWTH_MAX_BYTES);
  });

  it('is answered when it is whole', async () => {
    const address = await startPeerServer();
    const socket = await sendTinyChunks(address, '/test.echo', 'application/json');
    const answer = new Promise<string>((resolve) => {
      socket.once('data', (bytes) => resolve(bytes.toString()));
    });
    socket.write('0\r\n\r\n');
    expect(await answer).toMatch(/^HTTP\/1\.1 200 OK/u);
  });

  it('takes memory in proportion to its bytes, as an answer', async () => {
    const server = createServer((req, res) => {
      req.resume();
      res.flushHeaders();
      const block = '1\r\n1\r\n'.repeat(CHUNKS_AT_ONCE);
      for (let sent = 0; sent < ANSWER_BYTES; sent += CHUNKS_AT_ONCE) res.socket?.write(block);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closings.push(() => {
      server.closeAllConnections();
      server.close();
    });
    const pool = createPeerPool(PEER_POOL_DEFAULTS, createSystemClock(), createTraffic());
    closings.push(pool.close);
    const before = measureHeapBytes();
    const { port } = server.address() as AddressInfo;
    const client = pool.client<typeof echoRouter>('test', `127.0.0.1:${port}`);
    const call = client.echo.query('x', { context: { timeoutMs: 2_500 } }).catch(() => 'failed');
    await sleep(ARRIVAL_MS);
    const growth = measureHeapBytes() - before;
    expect(await call).toBe('failed');
    expect(growth).toBeLessThan(HEAP_GROWTH_MAX_BYTES);
  });
});
