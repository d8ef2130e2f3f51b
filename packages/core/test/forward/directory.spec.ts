import { describe, expect, it } from 'vitest';
import { asId, createServerDirectory } from '../../src/index';
import type { ForwardServer } from '../../src/index';

const KEEP_MAX_MS = 2_000;

function serverOf(changes: Partial<ForwardServer> = {}): ForwardServer {
  return {
    serverId: asId('s1'),
    service: asId('guide'),
    address: '10.0.0.1:80',
    failureDomain: asId('east'),
    version: 'v1',
    slots: 8,
    isLeaving: false,
    startedAtMs: 1,
    ...changes,
  };
}

describe('a list of servers that was read from a restored copy', () => {
  it('keeps out a server that had left in a second restore that follows', () => {
    const directory = createServerDirectory(KEEP_MAX_MS);
    directory.update([serverOf()], Infinity, 0);
    directory.update([serverOf({ isLeaving: true })], Infinity, 100);
    directory.update([], Infinity, 200);
    directory.update([serverOf()], 0, 1_000, true);
    expect(directory.servers(1_000)).toEqual([]);
    directory.update([], 500, 1_500);
    directory.update([serverOf()], 0, 2_000, true);
    expect(directory.servers(2_000)).toEqual([]);
  });

  it('keeps a server out that the router learnt to be gone only by a change of the copy', () => {
    const directory = createServerDirectory(KEEP_MAX_MS);
    directory.update(
      [serverOf(), serverOf({ serverId: asId('s2'), address: '10.0.0.2:80' })],
      Infinity,
      0,
    );
    directory.update([serverOf()], Infinity, 100);
    const s2 = serverOf({ serverId: asId('s2'), address: '10.0.0.2:80' });
    directory.update([serverOf(), s2], 0, 1_000, true);
    expect(directory.servers(1_000).map(({ serverId }) => serverId)).toEqual(['s1']);
    // Another server's change publishes all rows again.
    directory.update([serverOf({ isLeaving: true }), s2], 100, 1_100);
    expect(directory.servers(1_100).map(({ serverId }) => serverId)).toEqual(['s1']);
  });
});
