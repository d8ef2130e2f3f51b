import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { createConnectionLimit } from '../src/runtime/connection-limit';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionLimit } from '../src/runtime/connection-limit';

interface FakeSocket extends EventEmitter {
  destroyed: boolean;
  readonly destroy: () => void;
}

function open(limit: ConnectionLimit): FakeSocket {
  const socket: FakeSocket = Object.assign(new EventEmitter(), {
    destroyed: false,
    destroy: () => {
      socket.destroyed = true;
    },
  });
  limit.onConnection(socket as unknown as Socket);
  return socket;
}

function sendRequest(limit: ConnectionLimit, socket: FakeSocket) {
  const req = Object.assign(new EventEmitter(), { socket });
  const res = new EventEmitter();
  const isHandled = limit.onRequest(
    req as unknown as IncomingMessage,
    res as unknown as ServerResponse,
  );
  return { isHandled, endBody: () => req.emit('end'), answer: () => res.emit('close') };
}

describe('the limit of connections', () => {
  it('closes those without a request before those that are idle, and none with a running request', () => {
    // Guards against silent connections that keep new callers out, and against cutting running requests.
    const limit = createConnectionLimit(4);
    const [running, idle, unused] = [open(limit), open(limit), open(limit)];
    sendRequest(limit, running).endBody();
    const served = sendRequest(limit, idle);
    served.endBody();
    served.answer();
    const isClosed = (): boolean[] => [running, idle, unused].map(({ destroyed }) => destroyed);
    const next = open(limit);
    expect(isClosed()).toEqual([false, false, true]);
    sendRequest(limit, next).endBody();
    open(limit);
    expect(isClosed()).toEqual([false, true, true]);
    expect(limit.evictedCount()).toBe(2);
  });

  it('closes a connection on which too many requests wait for their answers', () => {
    // Guards against pipelined requests: 40 connections with 100 each ended a process.
    const limit = createConnectionLimit(10);
    const socket = open(limit);
    const handled = Array.from({ length: 18 }, () => sendRequest(limit, socket).isHandled);
    expect(handled.filter(Boolean)).toHaveLength(16);
    expect(socket.destroyed).toBe(true);
  });

  it('closes one whose body does not come, also after another request on it', async () => {
    // Guards against pipelined requests that keep connections from being closed for others.
    const limit = createConnectionLimit(2);
    const socket = open(limit);
    const first = sendRequest(limit, socket);
    sendRequest(limit, socket);
    first.endBody();
    first.answer();
    await new Promise((resolve) => {
      setTimeout(resolve, 1_050);
    });
    open(limit);
    expect(socket.destroyed).toBe(true);
  });

  it('counts the requests that wait, not those that were answered', () => {
    const limit = createConnectionLimit(10);
    const socket = open(limit);
    for (let no = 0; no < 100; no += 1) sendRequest(limit, socket).answer();
    expect(sendRequest(limit, socket).isHandled).toBe(true);
  });
});
