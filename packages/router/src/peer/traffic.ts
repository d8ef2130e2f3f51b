import { Counter, Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import type { Socket } from 'node:net';

export type Direction = 'in' | 'out';

/** Messages and bytes exchanged with peers. */
export interface PeerTraffic {
  /** Counts one message body; `kind` is the procedure's path. */
  readonly countMessage: (direction: Direction, kind: string, sizeBytes: number) => void;
  /** Includes a connection in the totals on the wire. */
  readonly trackSocket: (socket: Socket) => void;
  /** Bytes on all connections to peers, HTTP headers included. */
  readonly wireBytes: () => { readonly in: number; readonly out: number };
}

/** Registers the metrics of the traffic between routers. */
export function createPeerTraffic(registry: Registry): PeerTraffic {
  const sockets = new Set<Socket>();
  const closed = { in: 0, out: 0 };
  const registers = [registry];
  const messages = new Counter({
    name: 'mimosamill_peer_messages_total',
    help: 'Messages exchanged with other routers',
    labelNames: ['direction', 'kind'],
    registers,
  });
  const bytes = new Counter({
    name: 'mimosamill_peer_body_bytes_total',
    help: 'Bytes of message bodies exchanged with other routers',
    labelNames: ['direction', 'kind'],
    registers,
  });

  function wireBytes(): { in: number; out: number } {
    const total = { ...closed };
    sockets.forEach((socket) => {
      total.in += socket.bytesRead;
      total.out += socket.bytesWritten;
    });
    return total;
  }

  const wire = new Gauge({
    name: 'mimosamill_peer_wire_bytes',
    help: 'Bytes on connections to other routers since the start, HTTP headers included',
    labelNames: ['direction'],
    registers,
    collect: () => {
      const total = wireBytes();
      wire.set({ direction: 'in' }, total.in);
      wire.set({ direction: 'out' }, total.out);
    },
  });

  return {
    countMessage: (direction, kind, sizeBytes) => {
      messages.inc({ direction, kind });
      bytes.inc({ direction, kind }, sizeBytes);
    },
    trackSocket: (socket) => {
      sockets.add(socket);
      socket.once('close', () => {
        sockets.delete(socket);
        closed.in += socket.bytesRead;
        closed.out += socket.bytesWritten;
      });
    },
    wireBytes,
  };
}
