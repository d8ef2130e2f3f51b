import { createServer } from 'node:net';
import { createSystemClock } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { Registry } from 'prom-client';
import { afterEach, describe, expect, it } from 'vitest';
import createXxhash from 'xxhash-wasm';
import { createPeers } from '../../src/peer/member';
import { createPeerServer, SERVER_DEFAULTS } from '../../src/peer/server';
import { createPeerTraffic } from '../../src/peer/traffic';
import { createPeerRouter, peerProcedure } from '../../src/peer/trpc';
import type { AddressInfo } from 'node:net';
import type { Peers } from '../../src/peer/member';
import type { PeerServer } from '../../src/peer/server';

const PERIOD_MS = 100;
const { h32 } = await createXxhash();

interface Node {
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

const echoRouter = createPeerRouter({
  echo: peerProcedure.input((value) => String(value)).query(({ input }) => input),
  never: peerProcedure.query(() => new Promise<string>(() => undefined)),
});

async function startNode(name: string, seeds: readonly string[]): Promise<Node> {
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
      swim: { periodMs: PERIOD_MS, syncEveryMs: 500, reconnectEveryMs: 500 },
      pool: { maxCallsPerPeer: 4 },
    },
    {
      clock: createSystemClock(),
      hash: h32,
      random: Math.random,
      traffic,
      log: { info: () => undefined },
    },
  );
  const server = createPeerServer(
    { host: '127.0.0.1', port, ...SERVER_DEFAULTS, maxBodyBytes: 2_048 },
    { member: peers.router, echo: echoRouter },
    traffic,
  );
  await server.listen();
  peers.start();
  const node = { peers, server };
  nodes.push(node);
  return node;
}

async function startFleet(count: number): Promise<Node[]> {
  const first = await startNode('r0', []);
  const rest = [];
  for (let index = 1; index < count; index += 1) {
    rest.push(await startNode(`r${index}`, [first.peers.self().peerAddress]));
  }
  return [first, ...rest];
}

async function until(isTrue: () => boolean): Promise<void> {
  const endMs = Date.now() + 20_000;
  while (!isTrue() && Date.now() < endMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  expect(isTrue()).toBe(true);
}

function states(node: Node): string[] {
  return node.peers
    .members()
    .map(({ routerId, state }) => `${routerId} ${state}`)
    .sort();
}

afterEach(async () => {
  await Promise.all(
    nodes.splice(0).map(async ({ peers, server }) => {
      await peers.stop();
      await server.close();
    }),
  );
});

describe('peers', () => {
  // Guards against messages that the wire format or the server loses.
  it('find each other from one seed, see a crash and learn a published item', async () => {
    const fleet = await startFleet(4);
    const [first, , , last] = fleet as [Node, Node, Node, Node];
    await until(() => fleet.every((node) => states(node).join() === expected('alive')));

    const heard: string[] = [];
    last.peers.onItem('withdrawal', (item) => heard.push(`${item.key}=${item.payload}`));
    first.peers.publish({ kind: 'withdrawal', key: 'v2', payload: 'x', ttlMs: 60_000 });
    await until(() => heard.length > 0);
    expect(heard).toEqual(['v2=x']);

    await last.server.close();
    await last.peers.stop();
    await until(() => fleet.slice(0, 3).every((node) => states(node).join() === expected('dead')));
  });

  // Guards against a slow peer that fills this process with waiting calls.
  it('fail calls at once when too many to the same peer are unanswered', async () => {
    const [first, second] = (await startFleet(2)) as [Node, Node];
    const address = second.peers.self().peerAddress;
    const client = first.peers.pool.client<typeof echoRouter>('echo', address);
    const context = { timeoutMs: 500 };
    const calls = Array.from({ length: 12 }, () => client.never.query(undefined, { context }));
    const messages = (await Promise.allSettled(calls)).map((result) =>
      result.status === 'rejected' ? String(result.reason) : 'answered',
    );
    expect(messages.filter((message) => message.includes('are unanswered')).length).toBeGreaterThan(
      7,
    );
    expect(messages).not.toContain('answered');
    expect(await client.echo.query('x')).toBe('x');
  });

  // Guards against unbounded memory use by a message that is too large.
  it('refuse a body above the bound and go on serving', async () => {
    const [first, second] = (await startFleet(2)) as [Node, Node];
    const address = second.peers.self().peerAddress;
    const client = first.peers.pool.client<typeof echoRouter>('echo', address);
    await expect(client.echo.query('x'.repeat(3_000))).rejects.toThrow();
    expect(await client.echo.query('y')).toBe('y');
  });
});

function expected(lastState: string): string {
  return ['r0 alive', 'r1 alive', 'r2 alive', `r3 ${lastState}`].join();
}
