import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A TCP relay on loopback that can simulate a network partition. */
export interface Relay {
  readonly address: string;
  /** Stops forwarding in both directions, while the connections stay open. */
  readonly cut: () => void;
  readonly heal: () => void;
  readonly close: () => Promise<void>;
}

export async function createRelay(targetAddress: string): Promise<Relay> {
  const [host = '', port = ''] = targetAddress.split(':');
  const sockets = new Set<Socket>();
  let isCut = false;

  const server = createServer((incoming) => {
    const outgoing = connect(Number(port), host);
    forward(incoming, outgoing);
    forward(outgoing, incoming);
  });

  function forward(from: Socket, to: Socket): void {
    from.setNoDelay(true);
    sockets.add(from);
    if (isCut) from.pause();
    from.on('data', (chunk) => {
      if (to.writable) to.write(chunk);
    });
    from.on('end', () => to.end());
    from.on('error', () => to.destroy());
    from.on('close', () => {
      sockets.delete(from);
      to.destroy();
    });
  }

  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port: ownPort } = server.address() as AddressInfo;

  return {
    address: `127.0.0.1:${ownPort}`,
    cut: () => {
      isCut = true;
      sockets.forEach((socket) => socket.pause());
    },
    heal: () => {
      isCut = false;
      sockets.forEach((socket) => socket.resume());
    },
    close: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
}
