import { createSocket } from 'node:dgram';
import { splitAddress } from '../runtime/address';

/** Short messages between routers. One may be lost; the next says all that it said. */
export interface DatagramSocket {
  readonly send: (address: string, bytes: Uint8Array) => void;
  readonly close: () => void;
}

/** Binds a socket and hands over each message with its sender's address. */
export function openDatagramSocket(
  ip: string,
  port: number,
  onMessage: (bytes: Buffer, from: string) => void,
): Promise<DatagramSocket> {
  const socket = createSocket('udp4');
  let isClosed = false;
  socket.on('message', (bytes, from) => onMessage(bytes, `${from.address}:${from.port}`));
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, ip, () => {
      socket.off('error', reject);
      // An unreachable peer is found by its silence.
      socket.on('error', () => undefined);
      resolve({
        send: (address, bytes) => {
          if (isClosed) return;
          const { host, port: peerPort } = splitAddress(address);
          socket.send(bytes, peerPort, host);
        },
        close: () => {
          isClosed = true;
          socket.close();
        },
      });
    });
  });
}
