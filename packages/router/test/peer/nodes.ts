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

const nodes: TestRouter[] = [];

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

/** Starts a router's peer server on a free port; `mount` adds sub-routers. */
export async function startTestRouter(
  name: string,
  seeds: readonly string[],
  mount: (peers: MembershipService) => PeerRouters = () => ({}),
): Promise<TestRouter> {
  const port = await freePort();
  const traffic = createPeerTraffic(new Registry());
  const peers = createMembershipService(
    {
      routerId: asId(name),
      address: `127.0.0.1:${port}`,
      peerAddress: `127.0.0.1:${port}`,
      region: asId('north'),
      failureDomain: asId(nodes.length % 2 === 0 ? 'a' : 'b'),
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
  const node = { peers, server };
  nodes.push(node);
  return node;
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

export async function waitUntil(isTrue: () => boolean): Promise<void> {
  const endMs = Date.now() + 20_000;
  while (!isTrue() && Date.now() < endMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  expect(isTrue()).toBe(true);
}

export async function stopTestRouter({ peers, server }: TestRouter): Promise<void> {
  await peers.stop();
  await server.close();
}

export async function stopAll(): Promise<void> {
  await Promise.all(nodes.splice(0).map(stopTestRouter));
}
