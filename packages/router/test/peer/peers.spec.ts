import { afterEach, describe, expect, it } from 'vitest';
import { createPeerRouter, peerProcedure } from '../../src/peer/trpc';
import { startFleet, stopAll, waitUntil } from './nodes';
import type { TestRouter } from './nodes';

const echoRouter = createPeerRouter({
  echo: peerProcedure.input((value) => String(value)).query(({ input }) => input),
  never: peerProcedure.query(() => new Promise<string>(() => undefined)),
});

function states(node: TestRouter): string[] {
  return node.peers
    .members()
    .map(({ routerId, state }) => `${routerId} ${state}`)
    .sort();
}

afterEach(stopAll);

describe('peers', () => {
  // Guards against messages that the wire format or the server loses.
  it('find each other from one seed, see a crash and learn a published item', async () => {
    const fleet = await startFleet(4);
    const [first, , , last] = fleet as [TestRouter, TestRouter, TestRouter, TestRouter];
    await waitUntil(() => fleet.every((node) => states(node).join() === expected('alive')));

    const heard: string[] = [];
    last.peers.onGossipItem('withdrawal', (item) => heard.push(`${item.key}=${item.payload}`));
    first.peers.publish({ kind: 'withdrawal', key: 'v2', payload: 'x', ttlMs: 60_000 });
    await waitUntil(() => heard.length > 0);
    expect(heard).toEqual(['v2=x']);

    await last.server.close();
    await last.peers.stop();
    await waitUntil(() =>
      fleet.slice(0, 3).every((node) => states(node).join() === expected('dead')),
    );
  });

  // Guards against a slow peer that fills this process with waiting calls.
  it('fail calls at once when too many to the same peer are unanswered', async () => {
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

  // Guards against unbounded memory use by a message that is too large.
  it('refuse a body above the bound and go on serving', async () => {
    const [first, second] = (await startFleet(2, () => ({ echo: echoRouter }))) as [
      TestRouter,
      TestRouter,
    ];
    const address = second.peers.self().peerAddress;
    const client = first.peers.pool.client<typeof echoRouter>('echo', address);
    await expect(client.echo.query('x'.repeat(9_000))).rejects.toThrow();
    expect(await client.echo.query('y')).toBe('y');
  });

  // Guards against a malformed message that stops the server or goes unanswered.
  it('answer malformed messages with an error in the form of the library', async () => {
    const [, second] = (await startFleet(2)) as [TestRouter, TestRouter];
    const send = async (path: string, body: string): Promise<string> => {
      const url = `http://${second.peers.self().peerAddress}/${path}`;
      const headers = { 'content-type': 'application/json' };
      const response = await fetch(url, { method: 'POST', headers, body });
      const answer = (await response.json()) as { error: { data: { code: string } } };
      return `${response.status} ${answer.error.data.code}`;
    };
    expect(await send('member.ping', '{')).toBe('400 PARSE_ERROR');
    expect(await send('member.ping', '[[1],2]')).toBe('400 BAD_REQUEST');
    expect(await send('member.none', '1')).toBe('404 NOT_FOUND');
  });
});

function expected(lastState: string): string {
  return ['r0 alive', 'r1 alive', 'r2 alive', `r3 ${lastState}`].join();
}
