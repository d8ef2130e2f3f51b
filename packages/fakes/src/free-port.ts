import { createServer } from 'node:net';

/**
 * First of a range of ports below those that the system uses for outgoing connections and for listeners
 * without a port of their own. None of these can take a port before the process listens that it is meant for.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;
/** Ports that this process has given out; nobody may listen on them yet. */
const givenPorts = new Set<number>();

/** Returns a loopback port that is free now, and that it has not returned before. */
export async function findFreePort(): Promise<number> {
  const first = Math.floor(Math.random() * PORT_COUNT);
  for (let no = 0; no < PORT_COUNT; no += 1) {
    const port = FIRST_PORT + ((first + no) % PORT_COUNT);
    if (!givenPorts.has(port)) {
      givenPorts.add(port);
      if (await isFree(port)) return port;
    }
  }
  throw new Error('no port is left for a process');
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
