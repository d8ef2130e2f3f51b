import { rankByRendezvous } from '../hash/rendezvous';
import type { Hash32 } from '../hash/rendezvous';
import type { FailureDomain, RouterId } from '../ids';

export interface StoreReaderCandidate {
  readonly routerId: RouterId;
  readonly failureDomain: FailureDomain;
  readonly state: string;
}

/**
 * Routers per failure domain that poll the configuration store; the second covers a loss of the
 * first.
 */
export const STORE_READERS_PER_DOMAIN = 2;

/**
 * Chooses the routers of a failure domain that poll the store for new revisions. Routers with the same
 * members make the same choice.
 */
export function chooseStoreReaders(
  members: readonly StoreReaderCandidate[],
  failureDomain: FailureDomain,
  hash: Hash32,
  count = STORE_READERS_PER_DOMAIN,
): RouterId[] {
  const alive = members.filter(
    (member) => member.failureDomain === failureDomain && member.state === 'alive',
  );
  return rankByRendezvous(`config/${failureDomain}`, alive, ({ routerId }) => routerId, hash)
    .slice(0, count)
    .map(({ routerId }) => routerId);
}
