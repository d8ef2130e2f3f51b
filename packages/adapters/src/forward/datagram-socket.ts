import { createSocket } from 'node:dgram';
import { lookup } from 'node:dns';
import { isIPv4 } from 'node:net';
import { splitAddress } from '../runtime/address';
import type { SocketOptions } from 'node:dgram';

/** Sends datagrams between routers. A datagram may be lost; the next one carries the full state again. */
export interface DatagramSocket {
  readonly send: (address: string, bytes: Uint8Array) => void;
  readonly close: () => void;
}

/** Binds a UDP socket and calls `onMessage` with each datagram and its sender's address. */
export function openDatagramSocket(
  ip: string,
  port: number,
  onMessage: (bytes: Buffer, from: string) => void,
): Promise<DatagramSocket> {
  const socket = createSocket({ type: 'udp4', lookup: lookupHost });
  let isClosed = false;
  socket.on('message', (bytes, from) => onMessage(bytes, `${from.address}:${from.port}`));
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, ip, () => {
      socket.off('error', reject);
      // Ignored: an unreachable peer is detected by the messages that it no longer sends.
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

type LookupFunction = NonNullable<SocketOptions['lookup']>;

/** Peers are listed by IP address; the standard lookup would defer each datagram to a later tick. */
const lookupHost: LookupFunction = (host, options, callback) => {
  if (isIPv4(host)) callback(null, host, 4);
  else lookup(host, options, callback);
};
