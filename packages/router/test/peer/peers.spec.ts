import { afterEach, describe, expect, it } from 'vitest';
import { createPeerRouter, peerProcedure } from '../../src/peer/trpc';
import { startFleet, stopAll, waitUntil } from './nodes';
import type { TestRouter } from './nodes';

const echoRouter = createPeerRouter({
  echo: peerProcedure.input((value) => String(value)).query(({ input }) => input),
  never: peerProcedure.query(() => new Promise<string>(() => undefined)),
});

function memberStates(router: TestRouter): string[] {
  return router.peers
    .members()
    .map(({ routerId, state }) => `${routerId} ${state}`)
    .sort();
}

afterEach(stopAll);

describe('membership service and peer server', () => {
  // Guards against membership and gossip messages that get lost in the wire format or the server.
  it('discover all routers from one seed, detect a crash and deliver a published item', async () => {
    const fleet = await startFleet(4);
    const [first, , , last] = fleet as [TestRouter, TestRouter, TestRouter, TestRouter];
    await waitUntil(() =>
      fleet.every((router) => memberStates(router).join() === expected('alive')),
    );

    const receivedItems: string[] = [];
    last.peers.onGossipItem('withdrawal', (item) =>
      receivedItems.push(`${item.key}=${item.payload}`),
    );
    first.peers.publish({ kind: 'withdrawal', key: 'v2', payload: 'x', ttlMs: 60_000 });
    await waitUntil(() => receivedItems.length > 0);
    expect(receivedItems).toEqual(['v2=x']);

    await last.server.close();
    await last.peers.stop();
    await waitUntil(() =>
      fleet.slice(0, 3).every((router) => memberStates(router).join() === expected('dead')),
    );
  });

  // Guards against a slow peer for which unanswered calls pile up in this process.
  it('reject further calls at once when too many to the same peer are unanswered', async () => {
    const [first, second] = (await startFleet(2, () => ({ echo: echoRouter }))) as [
      TestRouter,
      TestRouter,
    ];
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

  // Guards against an oversized message that takes unbounded memory or stops the server.
  it('reject a body above the size limit and continue to serve', async () => {
    const [first, second] = (await startFleet(2, () => ({ echo: echoRouter }))) as [
      TestRouter,
      TestRouter,
    ];
    const address = second.peers.self().peerAddress;
    const client = first.peers.pool.client<typeof echoRouter>('echo', address);
    await expect(client.echo.query('x'.repeat(9_000))).rejects.toThrow();
    expect(await client.echo.query('y')).toBe('y');
  });

  // Guards against a malformed message that stops the server or gets no answer.
  it('answer malformed messages with an error in the format of tRPC', async () => {
    const [, second] = (await startFleet(2)) as [TestRouter, TestRouter];
    const postRaw = async (path: string, body: string): Promise<string> => {
      const url = `http://${second.peers.self().peerAddress}/${path}`;
      const headers = { 'content-type': 'application/json' };
      const response = await fetch(url, { method: 'POST', headers, body });
      const answer = (await response.json()) as { error: { data: { code: string } } };
      return `${response.status} ${answer.error.data.code}`;
    };
    expect(await postRaw('member.ping', '{')).toBe('400 PARSE_ERROR');
    expect(await postRaw('member.ping', '[[1],2]')).toBe('400 BAD_REQUEST');
    expect(await postRaw('member.none', '1')).toBe('404 NOT_FOUND');
  });
});

function expected(lastState: string): string {
  return ['r0 alive', 'r1 alive', 'r2 alive', `r3 ${lastState}`].join();
}
