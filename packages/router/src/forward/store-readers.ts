import { asId, chooseStoreReaders } from '@mimosamill/core';
import { createRelaySource } from './relay';
import type { HttpClient, HashFunctions, Clock } from '@mimosamill/adapters';
import type { PeerRegistry, PeerRouter, StoreEras } from '@mimosamill/core';
import type { ListedRouter } from './router-registry';
import type { RelaySource, WatchedTable, WatchSources } from './watched-table';

export interface StoreReaderPorts {
  readonly clock: Clock;
  readonly hashes: HashFunctions;
  readonly http: HttpClient;
  readonly storeEras: StoreEras;
}

export interface StoreReaderSettings {
  readonly hostId: string;
  readonly failureDomain: string;
}

/** Chooses the routers that read the store on behalf of the others. */
export interface StoreReaders {
  readonly sourcesOf: <T>(name: string, store: WatchedTable<T>) => WatchSources<T>;
}

/**
 * One router of each failure domain reads the store and relays the tables to the others. A reader that
 * is lost or cannot reach the store is replaced as soon as the others learn of it.
 */
const READERS_PER_DOMAIN = 1;
/**
 * Routers that are only listed count as candidates for this time after the start: all routers of a
 * fleet may start together, and none has heard of another one then. Afterwards only those count that
 * have sent a message.
 */
const LISTED_CANDIDATE_MS = 2_000;

export function createStoreReaders(
  settings: StoreReaderSettings,
  peerRegistry: PeerRegistry,
  ports: StoreReaderPorts,
  canRead: () => boolean,
  listedRouters: () => readonly ListedRouter[],
): StoreReaders {
  const startedAtMs = ports.clock.monotonicMs();

  function listedOnly(heard: readonly PeerRouter[]): PeerRouter[] {
    if (ports.clock.monotonicMs() - startedAtMs > LISTED_CANDIDATE_MS) return [];
    const heardIds = new Set(heard.map(({ hostId }) => hostId));
    return listedRouters().flatMap(({ hostId, failureDomain, peerAddress }) =>
      failureDomain === undefined || heardIds.has(hostId)
        ? []
        : [{ hostId, failureDomain, address: peerAddress, canReadStore: true }],
    );
  }

  /** All routers that may be chosen, including this one. */
  function candidates(): PeerRouter[] {
    const heard = peerRegistry.routers(ports.clock.monotonicMs());
    const self: PeerRouter = {
      hostId: asId(settings.hostId),
      failureDomain: asId(settings.failureDomain),
      address: '',
      canReadStore: canRead(),
    };
    return [self, ...heard, ...listedOnly(heard)];
  }

  function readersOf(failureDomain: string, all: readonly PeerRouter[]): PeerRouter[] {
    const members = all.map((router) => ({
      routerId: asId<never>(router.hostId),
      failureDomain: router.failureDomain,
      state: router.canReadStore ? 'alive' : 'lost',
    }));
    const chosen = chooseStoreReaders(
      members,
      asId(failureDomain),
      ports.hashes.hash32,
      READERS_PER_DOMAIN,
    );
    return all.filter(({ hostId }) => chosen.includes(asId<never>(hostId)));
  }

  function isReader(): boolean {
    const readers = readersOf(settings.failureDomain, candidates());
    return readers.some(({ hostId }) => hostId === settings.hostId);
  }

  /** The chosen readers, those of this router's failure domain first. */
  function relays(): PeerRouter[] {
    const all = candidates();
    const domains = [...new Set(all.map(({ failureDomain }) => failureDomain))];
    const ordered = domains.sort((a, b) => rank(a) - rank(b));
    return ordered
      .flatMap((domain) => readersOf(domain, all))
      .filter(({ hostId }) => hostId !== settings.hostId);
  }

  function rank(failureDomain: string): number {
    return failureDomain === settings.failureDomain ? 0 : 1;
  }

  return {
    sourcesOf: <T>(name: string, store: WatchedTable<T>): WatchSources<T> => ({
      store,
      isReader,
      eras: ports.storeEras,
      relays: (): readonly RelaySource<T>[] =>
        relays().map(({ address }) => createRelaySource<T>(ports.http, name, address)),
    }),
  };
}
