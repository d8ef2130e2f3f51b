import { createServer } from 'node:net';
import { loadHashFunctions, createSystemClock } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { Registry } from 'prom-client';
import { expect } from 'vitest';
import { createMembershipService } from '../../src/peer/membership';
import { createPeerServer, PEER_SERVER_DEFAULTS } from '../../src/peer/server';
import { createPeerTraffic } from '../../src/peer/traffic';
import type { AddressInfo } from 'node:net';
import type { MembershipService } from '../../src/peer/membership';
import type { PeerRouters, PeerServer } from '../../src/peer/server';

const PERIOD_MS = 100;
export const { hash32 } = await loadHashFunctions();

export interface TestRouter {
  readonly peers: MembershipService;
  readonly server: PeerServer;
}

const startedRouters: TestRouter[] = [];

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Starts membership and peer server of a router on a free port; `mount` adds sub-routers. */
export async function startTestRouter(
  routerId: string,
  seeds: readonly string[],
  mount: (peers: MembershipService) => PeerRouters = () => ({}),
): Promise<TestRouter> {
  const port = await freePort();
  const traffic = createPeerTraffic(new Registry());
  const peers = createMembershipService(
    {
      routerId: asId(routerId),
      address: `127.0.0.1:${port}`,
      peerAddress: `127.0.0.1:${port}`,
      region: asId('north'),
      failureDomain: asId(startedRouters.length % 2 === 0 ? 'a' : 'b'),
      seeds,
      swim: { periodMs: PERIOD_MS, syncIntervalMs: 500, reconnectIntervalMs: 500 },
      pool: { maxCallsPerPeer: 4 },
    },
    {
      clock: createSystemClock(),
      hash: hash32,
      random: Math.random,
      traffic,
      log: { info: () => undefined },
    },
  );
  const server = createPeerServer(
    { host: '127.0.0.1', port, ...PEER_SERVER_DEFAULTS, maxBodyBytes: 8_192 },
    { member: peers.router, ...mount(peers) },
    traffic,
  );
  await server.listen();
  peers.start();
  const router = { peers, server };
  startedRouters.push(router);
  return router;
}

export async function startFleet(
  count: number,
  mount?: (peers: MembershipService) => PeerRouters,
): Promise<TestRouter[]> {
  const first = await startTestRouter('r0', [], mount);
  const rest = [];
  for (let index = 1; index < count; index += 1) {
    rest.push(await startTestRouter(`r${index}`, [first.peers.self().peerAddress], mount));
  }
  return [first, ...rest];
}

export async function waitUntil(isMet: () => boolean): Promise<void> {
  const endMs = Date.now() + 20_000;
  while (!isMet() && Date.now() < endMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  expect(isMet()).toBe(true);
}

export async function stopTestRouter({ peers, server }: TestRouter): Promise<void> {
  await peers.stop();
  await server.close();
}

export async function stopAll(): Promise<void> {
  await Promise.all(startedRouters.splice(0).map(stopTestRouter));
}
