import { describe, expect, it } from 'vitest';
import { asId, createConnectTimeouts } from '../../src/index';
import type { ForwardServer } from '../../src/index';

const server = (domain: string, no: number): ForwardServer => ({
  serverId: asId(`${domain}${no}`),
  service: asId('guide'),
  address: `10.0.0.${no}:1`,
  failureDomain: asId(domain),
  version: '1',
  slots: 8,
  isLeaving: false,
  startedAtMs: 1,
});

/** Lets connections to servers of these domains time out, ten milliseconds apart. */
function timeOut(timeouts: ReturnType<typeof createConnectTimeouts>, domains: string): boolean[] {
  return [...domains].map((domain, at) => timeouts.onTimeout(server(domain, at), at * 10));
}

describe('connections that time out', () => {
  it('are the trouble of the host once servers of several failure domains are affected', () => {
    // Guards against a host with a full link that takes all servers for lost, and tells all routers so.
    const timeouts = createConnectTimeouts();
    expect(timeOut(timeouts, 'aab')).toEqual([false, false, true]);
    expect(timeouts.timeoutMs(200, 30)).toBe(1_200);
    expect(timeouts.timeoutMs(200, 1_531)).toBe(200);
  });

  it('are the trouble of the servers if all are of one failure domain', () => {
    // Guards against streams that stay on the engines of a domain that went dark.
    const timeouts = createConnectTimeouts();
    expect(timeOut(timeouts, 'aaaaaaaa')).not.toContain(true);
    expect(timeouts.timeoutMs(200, 80)).toBe(200);
  });

  it('are the trouble of the servers while connections to most others are made as usual', () => {
    const timeouts = createConnectTimeouts();
    for (let no = 10; no < 20; no += 1) timeouts.onConnected(server('c', no), 0);
    expect(timeOut(timeouts, 'aabb')).not.toContain(true);
  });

  it('are held against the servers again if they go on for seconds', () => {
    // Guards against servers of two lost failure domains that are never avoided.
    const timeouts = createConnectTimeouts();
    const verdicts = Array.from({ length: 100 }, (_, no) =>
      timeouts.onTimeout(server(no % 2 === 0 ? 'a' : 'b', no % 8), no * 100),
    );
    const longest = verdicts
      .map((isOwn) => (isOwn ? 'x' : ' '))
      .join('')
      .split(' ')
      .reduce((most, run) => Math.max(most, run.length), 0);
    expect(longest * 100).toBeLessThanOrEqual(2_500);
    expect(verdicts.filter(Boolean).length).toBeLessThanOrEqual(60);
  });

  it('count once for each server, by its last attempt', () => {
    // Guards against one server that is tried again and again, and against trouble that is over.
    const timeouts = createConnectTimeouts();
    for (let at = 0; at < 10; at += 1) timeouts.onTimeout(server('a', 1), at * 100);
    expect(timeouts.onTimeout(server('b', 1), 1_000)).toBe(false);
    expect(timeouts.onTimeout(server('b', 2), 1_000)).toBe(true);
    for (const no of [1, 2]) timeouts.onConnected(server('b', no), 1_100);
    expect(timeouts.isOwnTrouble(1_100)).toBe(false);
  });
});
