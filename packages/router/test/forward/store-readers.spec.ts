import { describe, expect, it } from 'vitest';
import { loadHashFunctions } from '@mimosamill/adapters';
import { asId, createPeerRegistry, createStoreEras, UNKNOWN_ERA } from '@mimosamill/core';
import { createStoreReaders } from '../../src/forward/store-readers';
import { createManualClock } from './clock';
import type { HttpClient } from '@mimosamill/adapters';
import type { FailureDomain } from '@mimosamill/core';
import type { ListedRouter } from '../../src/forward/router-registry';
import type { WatchedTable } from '../../src/forward/watched-table';

const DOMAINS = ['east', 'west', 'north'];
const ROUTERS = 90;
const hashes = await loadHashFunctions();

const routers: readonly ListedRouter[] = Array.from({ length: ROUTERS }, (_, no) => ({
  hostId: asId(`router-${no}`),
  peerAddress: `10.0.0.${no}:7000`,
  failureDomain: asId<FailureDomain>(DOMAINS[no % DOMAINS.length] ?? ''),
  at: { era: UNKNOWN_ERA, revision: no },
}));

/** The sources of a router that has just started and has heard of no other one. */
function sourcesOf(self: ListedRouter, listed: readonly ListedRouter[]) {
  const clock = createManualClock();
  const ports = { clock, hashes, http: {} as HttpClient, storeEras: createStoreEras() };
  const settings = { hostId: self.hostId, failureDomain: self.failureDomain ?? '' };
  const readers = createStoreReaders(
    settings,
    createPeerRegistry(),
    ports,
    () => true,
    () => listed.filter(({ hostId }) => hostId !== self.hostId),
  );
  return { clock, sources: readers.sourcesOf('servers', {} as WatchedTable<string>) };
}

describe('the readers of the store in a fleet that starts together', () => {
  it('are one router a failure domain, before any message has arrived', () => {
    // Guards against a start at which each of 90 routers reads and polls each table.
    const readers = routers.filter((self) => sourcesOf(self, routers).sources.isReader());
    expect(readers.map(({ failureDomain }) => failureDomain).sort()).toEqual([...DOMAINS].sort());
  });

  it('are named alike by all routers, the one of the own failure domain first', () => {
    const preferred = routers.map((self) => {
      const { sources } = sourcesOf(self, routers);
      return sources.isReader() ? self.peerAddress : sources.relays()[0]?.name;
    });
    expect(new Set(preferred).size).toBe(DOMAINS.length);
  });

  it('are not chosen among routers that are listed but have sent nothing for two seconds', () => {
    const [self] = routers;
    if (self === undefined) throw new Error('no router');
    const { clock, sources } = sourcesOf(self, routers);
    clock.advance(2_100);
    expect(sources.isReader()).toBe(true);
    expect(sources.relays()).toEqual([]);
  });
});
