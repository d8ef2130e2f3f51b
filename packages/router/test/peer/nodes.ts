import { createServer } from 'node:net';
import { loadHashFunctions, createSystemClock } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { Registry } from 'prom-client';
import { expect } from 'vitest';
import { createPeers } from '../../src/peer/member';
import { createPeerServer, SERVER_DEFAULTS } from '../../src/peer/server';
import { createPeerTraffic } from '../../src/peer/traffic';
import type { AddressInfo } from 'node:net';
import type { Peers } from '../../src/peer/member';
import type { PeerRouters, PeerServer } from '../../src/peer/server';

const PERIOD_MS = 100;
export const { hash32 } = await loadHashFunctions();

export interface Node {
  readonly peers: Peers;
  readonly server: PeerServer;
}

const nodes: Node[] = [];

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
export async function startNode(
  name: string,
  seeds: readonly string[],
  mount: (peers: Peers) => PeerRouters = () => ({}),
): Promise<Node> {
  const port = await freePort();
  const traffic = createPeerTraffic(new Registry());
  const peers = createPeers(
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
    { host: '127.0.0.1', port, ...SERVER_DEFAULTS, maxBodyBytes: 8_192 },
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
  mount?: (peers: Peers) => PeerRouters,
): Promise<Node[]> {
  const first = await startNode('r0', [], mount);
  const rest = [];
  for (let index = 1; index < count; index += 1) {
    rest.push(await startNode(`r${index}`, [first.peers.self().peerAddress], mount));
  }
  return [first, ...rest];
}

export async function until(isTrue: () => boolean): Promise<void> {
  const endMs = Date.now() + 20_000;
  while (!isTrue() && Date.now() < endMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  expect(isTrue()).toBe(true);
}

export async function stopNode({ peers, server }: Node): Promise<void> {
  await peers.stop();
  await server.close();
}

export async function stopAll(): Promise<void> {
  await Promise.all(nodes.splice(0).map(stopNode));
}
