import { PassThrough } from 'node:stream';
import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';
import { createMemoryBudget, createServeError } from '@mimosamill/core';
import { createBodyBuffer, createBodyReader, createHttpServer, sendError } from '../src/index';
import type { IncomingMessage } from 'node:http';

/** A request whose body is written to it. */
function createRequest(headers: Readonly<Record<string, string>>) {
  const stream = Object.assign(new PassThrough(), { headers });
  return { stream, req: stream as unknown as IncomingMessage };
}

const CHUNKED = { 'transfer-encoding': 'chunked' };

function createReader(maxBytes = Infinity, nowMs: () => number = () => 0) {
  const budget = createMemoryBudget(maxBytes);
  return { budget, reader: createBodyReader(budget, nowMs) };
}

describe('the buffer of a body', () => {
  it('takes no more than twice the bytes of one-byte chunks, and never more than the limit', () => {
    // Guards against a buffer object for each chunk: 40 such bodies ended a process.
    const buffer = createBodyBuffer(undefined, 10_000);
    for (let no = 0; no < 10_000; no += 1) buffer.add(Buffer.from([no % 256]));
    expect(buffer.capacityWith(0)).toBe(10_000);
    expect(buffer.bytes()).toEqual(
      Buffer.from(Array.from({ length: 10_000 }, (_, no) => no % 256)),
    );
  });

  it('copies nothing for a body that arrives in one piece', () => {
    const buffer = createBodyBuffer(3, 10);
    const chunk = Buffer.from('abc');
    buffer.add(chunk);
    expect(buffer.bytes().buffer).toBe(chunk.buffer);
  });
});

describe('reading a body', () => {
  it('refuses an announced length that has no room before it reads any of it', async () => {
    const { reader, budget } = createReader(1_000_000);
    const { req, stream } = createRequest({ 'content-length': '800000' });
    expect((await reader.read(req, 1_000_000)).kind).toBe('no_room');
    expect([stream.listenerCount('data'), budget.heldBytes()]).toEqual([0, 0]);
  });

  it('refuses chunks that grow past the limit or past the room', async () => {
    const { reader, budget } = createReader(1_000_000);
    const outcomes = [500_000, 5_000_000].map((maxBytes) => {
      const { req, stream } = createRequest(CHUNKED);
      const outcome = reader.read(req, maxBytes);
      for (let no = 0; no < 20; no += 1) stream.write(Buffer.alloc(60_000));
      return outcome;
    });
    expect((await Promise.all(outcomes)).map(({ kind }) => kind)).toEqual(['too_large', 'no_room']);
    expect(budget.heldBytes()).toBe(0);
  });

  it('gives up a body that stands still when another needs its room, and not before', async () => {
    // Guards against callers that stop a byte short of the end and hold the budget for ever.
    let nowMs = 0;
    const { reader } = createReader(1_000_000, () => nowMs);
    const slow = reader.read(createRequest({ 'content-length': '700000' }).req, 1_000_000);
    nowMs = 900;
    const early = createRequest({ 'content-length': '600000' });
    expect((await reader.read(early.req, 1_000_000)).kind).toBe('no_room');
    nowMs = 1_100;
    const late = createRequest({ 'content-length': '600000' });
    const outcome = reader.read(late.req, 1_000_000);
    expect((await slow).kind).toBe('too_slow');
    late.stream.end(Buffer.alloc(600_000));
    expect((await outcome).kind).toBe('ok');
  });

  it('reads two bodies in one-byte chunks at once, and refuses the third', async () => {
    // Guards against a crowd of them that keeps the process busy for all others.
    const { reader } = createReader();
    const all = Array.from({ length: 3 }, () => createRequest(CHUNKED));
    const outcomes = all.map(({ req }) => reader.read(req, 1_000_000));
    for (let no = 0; no < 5_000; no += 1) {
      all.forEach(({ stream }) => stream.write(Buffer.from('x')));
    }
    all.forEach(({ stream }) => stream.end());
    expect((await Promise.all(outcomes)).map(({ kind }) => kind)).toEqual([
      'ok',
      'ok',
      'fragmented',
    ]);
    const next = createRequest(CHUNKED);
    const outcome = reader.read(next.req, 1_000_000);
    for (let no = 0; no < 5_000; no += 1) next.stream.write(Buffer.from('x'));
    next.stream.end();
    expect((await outcome).kind).toBe('ok');
  });
});

/** What a server that refuses every body answers to these bytes, until the connection ends. */
async function exchange(sent: string): Promise<string> {
  const error = createServeError('overloaded', 'no room', 'not_run', 1_000);
  const server = createHttpServer(undefined, (_req, res) => sendError(res, error));
  const port = await server.listen('127.0.0.1', 0);
  const socket = connect(port, '127.0.0.1');
  let answer = '';
  socket.on('data', (bytes: Buffer) => {
    answer += bytes.toString();
  });
  socket.write(sent);
  await new Promise((resolve) => {
    socket.once('close', resolve);
    socket.on('error', () => undefined);
  });
  await server.close();
  return answer;
}

describe('a refusal before the body has arrived', () => {
  it('is sent at once, and the connection is closed in bounded time', async () => {
    // Guards against a connection that is kept open, and read from, for as long as its caller likes.
    const answer = await exchange(
      'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\nabc',
    );
    expect(answer).toMatch(/^HTTP\/1.1 503 /u);
    expect(answer).toMatch(/connection: close\r\n/iu);
    expect(answer).toMatch(/retry-after: 1\r\n/iu);
  });

  it('does not ask for a body that its caller holds back until it is asked', async () => {
    const answer = await exchange(
      'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nexpect: 100-continue\r\n\r\n',
    );
    expect(answer).toMatch(/^HTTP\/1.1 503 /u);
    expect(answer).toMatch(/connection: close\r\n/iu);
  });
});
