import { rankByRendezvous } from '../hash/rendezvous';
import type { Hash32 } from '../hash/rendezvous';
import type { HostId, ServerId, ServiceName } from '../ids';
import type { ServerState } from './fleet';

/** A host's own rankings of the servers of each service, by rendezvous hashing. */
export interface ServerRanks {
  /** Position of each server in the host's own ranking, from 0 to 1. */
  readonly rankOf: (
    service: ServiceName,
    states: readonly ServerState[],
  ) => ReadonlyMap<ServerId, number>;
}

/** Remembers the ranking of each service until its servers change. */
export function createServerRanks(hostId: HostId, hash: Hash32): ServerRanks {
  const ranks = new Map<
    ServiceName,
    { readonly states: readonly ServerState[]; readonly rank: ReadonlyMap<ServerId, number> }
  >();

  return {
    rankOf: (service, states) => {
      const known = ranks.get(service);
      if (known !== undefined && haveSameIds(known.states, states)) return known.rank;
      const ordered = rankByRendezvous(hostId, states, ({ server }) => server.serverId, hash);
      const rank = new Map(
        ordered.map(({ server }, at) => [server.serverId, at / Math.max(1, ordered.length - 1)]),
      );
      ranks.set(service, { states, rank });
      return rank;
    },
  };
}

function haveSameIds(before: readonly ServerState[], after: readonly ServerState[]): boolean {
  if (before === after) return true;
  if (before.length !== after.length) return false;
  return before.every(({ server }, at) => server.serverId === after[at]?.server.serverId);
}
