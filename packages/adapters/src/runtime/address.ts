export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Parts of an `IP:PORT` address. */
export function splitAddress(address: string): HostPort {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}
