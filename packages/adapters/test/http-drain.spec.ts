import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';
import { createHttpServer, DEFAULT_HTTP_LIMITS } from '../src/index';

const BODY_BYTES = 16_777_216;

describe('an HTTP server that drains', () => {
  it('does not cut a response that has ended but is not yet written to a slow caller', async () => {
    const shell = createHttpServer(DEFAULT_HTTP_LIMITS, (_req, res) => {
      res.writeHead(200, { 'content-length': BODY_BYTES });
      res.end(Buffer.alloc(BODY_BYTES));
    });
    const port = await shell.listen('127.0.0.1', 0);
    const socket = connect(port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    await new Promise((resolve) => {
      socket.once('readable', resolve);
    });
    const drained = shell.drain(5_000);
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    let receivedBytes = 0;
    const ended = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
    });
    await ended;
    await drained;
    expect(receivedBytes).toBeGreaterThan(BODY_BYTES);
  });

  it('closes a connection whose response has been read, without waiting for its time limit', async () => {
    const shell = createHttpServer(DEFAULT_HTTP_LIMITS, (_req, res) => {
      res.end('ok');
    });
    const port = await shell.listen('127.0.0.1', 0);
    const socket = connect(port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    await new Promise((resolve) => {
      socket.once('data', resolve);
    });
    const startedAtMs = performance.now();
    await shell.drain(5_000);
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
  });
});
