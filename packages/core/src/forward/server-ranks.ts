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
    { readonly servers: string; readonly rank: ReadonlyMap<ServerId, number> }
  >();

  return {
    rankOf: (service, states) => {
      const servers = states.map(({ server }) => server.serverId).join();
      const known = ranks.get(service);
      if (known?.servers === servers) return known.rank;
      const ordered = rankByRendezvous(hostId, states, ({ server }) => server.serverId, hash);
      const rank = new Map(
        ordered.map(({ server }, at) => [server.serverId, at / Math.max(1, ordered.length - 1)]),
      );
      ranks.set(service, { servers, rank });
      return rank;
    },
  };
}
