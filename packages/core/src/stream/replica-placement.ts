import { rankByRendezvous } from '../hash/rendezvous';
import type { Hash32 } from '../hash/rendezvous';
import type { FailureDomain, Region, RequestId, RouterId } from '../ids';

/** A router that may hold replicas of streams. */
export interface ReplicaPeer {
  readonly routerId: RouterId;
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
}

/** Separates the placement label of a request id from its random part. */
const LABEL_SEPARATOR = '.';

/**
 * Key that decides which router holds a stream's replica: the label of the request id, or the
 * whole id if it has none. A router gives all its request ids the same label, so that its streams
 * share one holder and one message. Without the label, 36 streams have up to 36 holders and a
 * message each, which at ten messages a second exceeds the network budget twentyfold.
 */
export function placementKey(requestId: RequestId): string {
  const end = requestId.indexOf(LABEL_SEPARATOR);
  return end > 0 ? requestId.slice(0, end) : requestId;
}

/** Joins a label and the unique part of a request id. */
export function toRequestId(label: string, unique: string): RequestId {
  return `${label}${LABEL_SEPARATOR}${unique}` as RequestId;
}

/**
 * Routers that may hold replicas of `self`, in order of preference. They are in the same region,
 * and in another failure domain so that one failure doesn't take both copies.
 */
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
 * Routers to ask for a replica, in groups that are asked one after the other: first the most
 * likely holders in each failure domain, then a limited number of others in the region.
 */
export function planReplicaLookup(
  key: string,
  region: Region,
  peers: readonly ReplicaPeer[],
  hash: Hash32,
  limits: ReplicaLookupLimits = REPLICA_LOOKUP_LIMITS,
): ReplicaPeer[][] {
  const ranked = rankByRendezvous(
    key,
    peers.filter((peer) => peer.region === region),
    (peer) => peer.routerId,
    hash,
  );
  const countByDomain = new Map<FailureDomain, number>();
  const first = ranked.filter((peer) => {
    const count = countByDomain.get(peer.failureDomain) ?? 0;
    countByDomain.set(peer.failureDomain, count + 1);
    return count < limits.firstPerDomain;
  });
  const rest = ranked.filter((peer) => !first.includes(peer)).slice(0, limits.maxFurtherPeers);
  const groups = [first];
  for (let start = 0; start < rest.length; start += limits.groupSize) {
    groups.push(rest.slice(start, start + limits.groupSize));
  }
  return groups;
}

export interface ReplicaLookupLimits {
  /** Highest-ranked peers of each failure domain, which are asked first. */
  readonly firstPerDomain: number;
  /** Most peers of the region that are asked after those. */
  readonly maxFurtherPeers: number;
  /** Peers that are asked at the same time, after the first group. */
  readonly groupSize: number;
}

/** Three of each domain: while the first choice is down, the second or third holds the replica. */
const REPLICA_LOOKUP_LIMITS: ReplicaLookupLimits = {
  firstPerDomain: 3,
  maxFurtherPeers: 32,
  groupSize: 16,
};
