import { connect, createServer } from 'node:net';
import { splitAddress } from '@mimosamill/adapters';
import type { AddressInfo, Socket } from 'node:net';

/** What a proxy does to the connections that pass through it. */
export type LinkFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'delay'; readonly delayMs: number }
  /** Nothing passes in either direction, and connections stay open. */
  | { readonly kind: 'silence' }
  /** Nothing passes from the server back to its callers. */
  | { readonly kind: 'cut_answers' }
  /** New connections and old ones are reset. */
  | { readonly kind: 'reset' };

export interface FaultProxy {
  readonly address: string;
  readonly setFault: (fault: LinkFault) => void;
  readonly close: () => Promise<void>;
}

/** Stands between a client and a server on this machine. */
export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const sockets = new Set<Socket>();
  let fault: LinkFault = { kind: 'none' };

  function keep(socket: Socket): void {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  }

  function pass(from: Socket, to: Socket, isAnswer: boolean): void {
    from.on('data', (bytes) => {
      const now = fault;
      if (now.kind === 'silence' || (now.kind === 'cut_answers' && isAnswer)) return;
      if (now.kind === 'delay') setTimeout(() => to.write(bytes), now.delayMs);
      else to.write(bytes);
    });
    from.on('end', () => {
      if (fault.kind === 'none' || fault.kind === 'delay') to.end();
    });
    from.on('close', () => to.destroy());
  }

  const server = createServer((client) => {
    keep(client);
    if (fault.kind === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const upstream = connect(splitAddress(target));
    keep(upstream);
    upstream.on('error', () => client.resetAndDestroy());
    pass(client, upstream, false);
    pass(upstream, client, true);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setFault: (next) => {
      fault = next;
      if (next.kind === 'reset') sockets.forEach((socket) => socket.resetAndDestroy());
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
}
