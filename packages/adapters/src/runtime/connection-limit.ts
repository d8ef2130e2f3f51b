import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Closes connections that bring no request when others need their descriptors. It answers crowds that open
 * many connections and send nothing, or not all: without it, new callers could not connect.
 */
export interface ConnectionLimit {
  readonly onConnection: (socket: Socket) => void;
  /** False if the request must not be handled, because its connection is closed. */
  readonly onRequest: (req: IncomingMessage, res: ServerResponse) => boolean;
  readonly evictedCount: () => number;
}

/** Part of the connections from which on others are closed; past the maximum, new ones are refused. */
const EVICTION_RATIO = 0.9;
/** Requests of one connection that may run at once: callers wait for each answer, or send few ahead. */
const PIPELINED_MAX = 16;
/** Time after which a request whose body has not arrived may be given up for a new connection. */
const RECEIVE_GRACE_MS = 1_000;

export function createConnectionLimit(maxConnections: number): ConnectionLimit {
  const evictAbove = Math.floor(maxConnections * EVICTION_RATIO);
  /** Connections in the order in which they came to be so; a Set keeps the order of insertion. */
  const unused = new Set<Socket>();
  const idle = new Set<Socket>();
  /** The request whose body is arriving, and when it began. */
  const receiving = new Map<Socket, { readonly req: IncomingMessage; readonly sinceMs: number }>();
  const runningCounts = new Map<Socket, number>();
  const open = new Set<Socket>();
  let evictedCount = 0;

  function forget(socket: Socket): void {
    open.delete(socket);
    unused.delete(socket);
    idle.delete(socket);
    receiving.delete(socket);
    runningCounts.delete(socket);
  }

  function slowestReceiving(): Socket | undefined {
    const [first] = receiving;
    if (first === undefined) return undefined;
    const [socket, { sinceMs }] = first;
    return performance.now() - sinceMs > RECEIVE_GRACE_MS ? socket : undefined;
  }

  function evictOne(): void {
    const [oldestUnused] = unused;
    const [longestIdle] = idle;
    const socket = oldestUnused ?? slowestReceiving() ?? longestIdle;
    if (socket === undefined) return;
    forget(socket);
    evictedCount += 1;
    socket.destroy();
  }

  function onReceived(req: IncomingMessage): void {
    // A later request on the connection may still be arriving.
    if (receiving.get(req.socket)?.req === req) receiving.delete(req.socket);
  }

  function onEnded(req: IncomingMessage): void {
    const { socket } = req;
    if (!open.has(socket)) return;
    const count = (runningCounts.get(socket) ?? 1) - 1;
    runningCounts.set(socket, count);
    onReceived(req);
    if (count === 0 && !socket.destroyed) idle.add(socket);
  }

  return {
    onConnection: (socket) => {
      if (open.size >= evictAbove) evictOne();
      open.add(socket);
      unused.add(socket);
      socket.once('close', () => forget(socket));
    },
    onRequest: (req, res) => {
      const { socket } = req;
      if (socket.destroyed) return false;
      unused.delete(socket);
      idle.delete(socket);
      const count = (runningCounts.get(socket) ?? 0) + 1;
      if (count > PIPELINED_MAX) {
        socket.destroy();
        return false;
      }
      runningCounts.set(socket, count);
      receiving.set(socket, { req, sinceMs: performance.now() });
      req.once('end', () => onReceived(req));
      res.once('close', () => onEnded(req));
      return true;
    },
    evictedCount: () => evictedCount,
  };
}
