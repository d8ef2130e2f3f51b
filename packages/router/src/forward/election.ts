import { rankByRendezvous } from '@mimosamill/core';
import type { HashFunctions } from '@mimosamill/adapters';
import type { HostId, PeerRegistry } from '@mimosamill/core';

/**
 * Whether this router is the one that writes what all routers decide alike. All routers compute the same
 * ranking of those that can reach the store; when the first one is lost, the next takes its place.
 */
export function isElected(
  matter: string,
  hostId: HostId,
  peerRegistry: PeerRegistry,
  hashes: HashFunctions,
  nowMs: number,
): boolean {
  const hosts = [
    { hostId, canReadStore: true },
    ...peerRegistry.routers(nowMs).filter(({ canReadStore }) => canReadStore),
  ];
  const [first] = rankByRendezvous(matter, hosts, (host) => host.hostId, hashes.hash32);
  return first?.hostId === hostId;
}
