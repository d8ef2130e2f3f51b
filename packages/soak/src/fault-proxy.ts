import { connect, createServer } from 'node:net';
import { splitAddress } from '@mimosamill/adapters';
import { resetConnection } from '@mimosamill/platform/standin';
import type { AddressInfo, Socket } from 'node:net';

/** What a proxy does to its connections. */
export type LinkFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'delay'; readonly delayMs: number }
  /** Drops all bytes in both directions and keeps connections open. */
  | { readonly kind: 'silence' }
  /** Drops all bytes from the server to its clients. */
  | { readonly kind: 'cut_answers' }
  /** Resets open and new connections. */
  | { readonly kind: 'reset' };

export interface FaultProxy {
  readonly address: string;
  readonly setFault: (fault: LinkFault) => void;
  readonly close: () => Promise<void>;
}

/** Starts a TCP proxy on this machine that forwards connections to a server and injects faults. */
export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const sockets = new Set<Socket>();
  let fault: LinkFault = { kind: 'none' };

  function track(socket: Socket): void {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  }

  function forward(from: Socket, to: Socket, isFromServer: boolean): void {
    from.on('data', (bytes) => {
      const active = fault;
      if (active.kind === 'silence' || (active.kind === 'cut_answers' && isFromServer)) return;
      if (active.kind === 'delay') setTimeout(() => to.write(bytes), active.delayMs);
      else to.write(bytes);
    });
    from.on('end', () => {
      if (fault.kind === 'none' || fault.kind === 'delay') to.end();
    });
    from.on('close', () => to.destroy());
  }

  const server = createServer((client) => {
    track(client);
    if (fault.kind === 'reset') {
      resetConnection(client);
      return;
    }
    const upstream = connect(splitAddress(target));
    track(upstream);
    upstream.on('error', () => resetConnection(client));
    forward(client, upstream, false);
    forward(upstream, client, true);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setFault: (next) => {
      fault = next;
      if (next.kind === 'reset') sockets.forEach((socket) => resetConnection(socket));
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
}
