import { createServer } from 'node:http';
import { measureHeapBytes } from '@mimosamill/fakes';
import { afterEach, describe, expect, it } from 'vitest';
import { createHttpClient, readText } from '../src/index';
import type { AddressInfo, Server } from 'node:net';

const BODY_BYTES = 1_000_000;
const CHUNKS_AT_ONCE = 10_000;
const HEAP_GROWTH_MAX_BYTES = 16_777_216;

let server: Server | undefined;

afterEach(() => {
  server?.close();
});

/** A server whose answer comes in chunks of one byte. */
async function startServer(): Promise<string> {
  const http = createServer((_req, res) => {
    res.flushHeaders();
    const block = '1\r\n7\r\n'.repeat(CHUNKS_AT_ONCE);
    for (let sent = 0; sent < BODY_BYTES; sent += CHUNKS_AT_ONCE) res.socket?.write(block);
    res.socket?.write('0\r\n\r\n');
  });
  server = http;
  await new Promise<void>((resolve) => {
    http.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(http.address() as AddressInfo).port}/`;
}

describe('a body in chunks of one byte', () => {
  it('is read whole by the HTTP client', async () => {
    // Guards against an answer of the store, an engine or a service that is cut or refused for its chunks.
    const url = await startServer();
    const http = createHttpClient();
    const outcome = await http.fetch(url, { method: 'GET', timeoutMs: 20_000 });
    await http.close();
    expect(outcome.kind === 'ok' && outcome.body === '7'.repeat(BODY_BYTES)).toBe(true);
  });

  it('takes memory in proportion to its bytes, also when it comes chunk by chunk', async () => {
    // Guards against a buffer for each chunk, of some hundred bytes, until the body has ended.
    let growthBytes = 0;
    async function* chunks(): AsyncGenerator<Buffer> {
      const before = measureHeapBytes();
      for (let no = 0; no < BODY_BYTES; no += 1) yield Buffer.from([55]);
      growthBytes = measureHeapBytes() - before;
    }
    expect(await readText(chunks(), BODY_BYTES)).toHaveLength(BODY_BYTES);
    expect(growthBytes).toBeLessThan(HEAP_GROWTH_MAX_BYTES);
  });

  it('is refused once it has more bytes than the limit', async () => {
    async function* chunks(): AsyncGenerator<Buffer> {
      for (;;) yield Buffer.from([55]);
    }
    await expect(readText(chunks(), 1_000)).rejects.toThrow('more than 1000 bytes');
  });
});
