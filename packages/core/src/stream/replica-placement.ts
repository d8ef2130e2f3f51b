import { rankByRendezvous } from '../hash/rendezvous';
import type { Hash32 } from '../hash/rendezvous';
import type { FailureDomain, Region, RequestId, RouterId } from '../ids';

/** A router that may hold replicas. */
export interface ReplicaPeer {
  readonly routerId: RouterId;
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
}

/** Separates the placement label of a request id from its random part. */
const LABEL_SEPARATOR = '.';

/**
 * Key that decides who holds a stream's replica: the request id's label, or the whole id if it
 * has none. A router gives all its request ids the same label, so that its streams share one
 * holder: without it, 36 streams had up to 36 holders and each tail a message of its own, which at
 * ten a second exceeds the network budget twentyfold.
 */
export function placementKey(requestId: RequestId): string {
  const end = requestId.indexOf(LABEL_SEPARATOR);
  return end > 0 ? requestId.slice(0, end) : requestId;
}

/** Joins a label and the unique part of a request id. */
export function toRequestId(label: string, unique: string): RequestId {
  return `${label}${LABEL_SEPARATOR}${unique}` as RequestId;
}

/** Routers that may hold a replica for this one, best first: same region, other failure domain. */
export function rankReplicaHolders(
  key: string,
  self: ReplicaPeer,
  peers: readonly ReplicaPeer[],
  hash: Hash32,
): ReplicaPeer[] {
  const others = peers.filter(
    (peer) =>
      peer.routerId !== self.routerId &&
      peer.region === self.region &&
      peer.failureDomain !== self.failureDomain,
  );
  return rankByRendezvous(key, others, (peer) => peer.routerId, hash);
}

/**
 * Routers to ask for a replica, in groups that are asked one after the other: first the best of
 * each failure domain, then the rest of the region up to a bound.
 */
export function planReplicaLookup(
  key: string,
  region: Region,
  peers: readonly ReplicaPeer[],
  hash: Hash32,
  bounds: ReplicaLookupLimits = REPLICA_LOOKUP_LIMITS,
): ReplicaPeer[][] {
  const ranked = rankByRendezvous(
    key,
    peers.filter((peer) => peer.region === region),
    (peer) => peer.routerId,
    hash,
  );
  const taken = new Map<FailureDomain, number>();
  const first = ranked.filter((peer) => {
    const count = taken.get(peer.failureDomain) ?? 0;
    taken.set(peer.failureDomain, count + 1);
    return count < bounds.firstPerDomain;
  });
  const rest = ranked.filter((peer) => !first.includes(peer)).slice(0, bounds.maxFurtherPeers);
  const groups = [first];
  for (let start = 0; start < rest.length; start += bounds.groupSize) {
    groups.push(rest.slice(start, start + bounds.groupSize));
  }
  return groups;
}

export interface ReplicaLookupLimits {
  /** Best-ranked members of each failure domain, which are asked first. */
  readonly firstPerDomain: number;
  /** Further members of the region that are asked at most. */
  readonly maxFurtherPeers: number;
  readonly groupSize: number;
}

/** Three of each domain: the holder may have been the second or third choice for a while. */
const REPLICA_LOOKUP_LIMITS: ReplicaLookupLimits = {
  firstPerDomain: 3,
  maxFurtherPeers: 32,
  groupSize: 16,
};
