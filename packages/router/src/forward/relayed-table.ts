import type { Clock } from '@mimosamill/adapters';
import type { FreshnessTracker, StoreRevision } from '@mimosamill/core';
import type { RelayedTable, RelayQuery, RelayResponse } from './relay';
import type { TableReplica } from './table-replica';

/** A table as other routers read it from this one. */
export interface ServedTable extends RelayedTable {
  /** To be called when the store has confirmed or changed the content. */
  readonly wake: () => void;
}

/** Smaller differences between two readings of the store's clock are no news. */
const CONFIRMATION_MIN_MS = 100;

export function createServedTable<T>(
  name: string,
  replica: TableReplica<T>,
  freshness: FreshnessTracker,
  clock: Clock,
  sinceOutageMs: () => number,
): ServedTable {
  const waiters = new Set<() => void>();

  function respond(since: StoreRevision): RelayResponse | undefined {
    const storeAsOfMs = freshness.storeAsOfMs();
    if (replica.revision() < 0 || storeAsOfMs === undefined) return undefined;
    const outageMs = sinceOutageMs();
    return {
      ...replica.changesSince(since),
      era: replica.era(),
      storeAsOfMs,
      sinceOutageMs: Number.isFinite(outageMs) ? outageMs : null,
    };
  }

  function isNewerThan({ since, knownAsOfMs }: RelayQuery): boolean {
    if (replica.era() !== since.era) return replica.era() > since.era;
    if (replica.revision() > since.revision) return true;
    const storeAsOfMs = freshness.storeAsOfMs();
    if (storeAsOfMs === undefined || knownAsOfMs === undefined) return false;
    return storeAsOfMs - knownAsOfMs >= CONFIRMATION_MIN_MS;
  }

  return {
    name,
    wake: () => {
      const woken = [...waiters];
      waiters.clear();
      woken.forEach((wake) => wake());
    },
    waitForNewer: (query) => {
      if (isNewerThan(query)) return Promise.resolve(respond(query.since));
      return new Promise((resolve) => {
        const wake = (): void => {
          waiters.delete(wake);
          cancel();
          resolve(respond(query.since));
        };
        const cancel = clock.runAfter(query.waitMs, wake);
        waiters.add(wake);
      });
    },
  };
}
