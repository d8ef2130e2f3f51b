import type { FailureDomain, Region, RouterId } from '../ids';
import type { Hash32 } from '../hash/rendezvous';

/** Number of buckets that two nodes compare before they exchange entries. */
export const SYNC_BUCKETS = 16;

/** State that members tell each other. */
export type GossipedState = 'alive' | 'leaving' | 'suspect' | 'dead';

/** What one node tells another about a member. */
export interface MemberUpdate {
  readonly routerId: RouterId;
  readonly address: string;
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly incarnation: number;
  readonly state: GossipedState;
  /** Who suspects the member; only with state 'suspect'. */
  readonly suspectedBy?: RouterId;
  /** Time since the death; only with state 'dead', so that all nodes forget it at the same time. */
  readonly ageMs?: number;
}

/** A member as this node sees it. */
export interface MemberEntry {
  update: MemberUpdate;
  /** Since when the entry has its present state. */
  sinceMs: number;
  /** Local finding that is not spread: probes to another region's member fail. */
  isUnreachable: boolean;
  /** Time at which a suspect of this region counts as dead. */
  suspicionEndsMs: number;
  readonly suspectedBy: Set<RouterId>;
}

const STATE_RANK: Readonly<Record<GossipedState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

/** Whether `next` replaces `known`: a higher incarnation first, then the worse state. */
export function supersedes(next: MemberUpdate, known: MemberUpdate): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  return STATE_RANK[next.state] > STATE_RANK[known.state];
}

/** Bucket of a member or gossip key. */
export function bucketOf(key: string, hash: Hash32): number {
  return hash(key) % SYNC_BUCKETS;
}

/**
 * One number per bucket over all members that are not dead. A suspicion is temporary and a death
 * is forgotten at slightly different times, so neither makes two views differ.
 */
export function memberBuckets(entries: Iterable<MemberEntry>, hash: Hash32): number[] {
  const sums = new Array<number>(SYNC_BUCKETS).fill(0);
  for (const { update } of entries) {
    if (update.state !== 'dead') {
      const bucket = bucketOf(update.routerId, hash);
      const shown = update.state === 'leaving' ? 'leaving' : 'alive';
      const line = hash(`${update.routerId} ${update.incarnation} ${shown}`);
      sums[bucket] = ((sums[bucket] ?? 0) + line) % 2 ** 32;
    }
  }
  return sums;
}

/** Buckets in which two nodes differ. */
export function differingBuckets(ours: readonly number[], theirs: readonly number[]): Set<number> {
  const differing = ours.flatMap((sum, bucket) => (sum === theirs[bucket] ? [] : [bucket]));
  return new Set(differing);
}

/** Size of an update on the wire, slightly overestimated. */
export function updateSizeBytes(update: MemberUpdate): number {
  const texts =
    update.routerId.length +
    update.address.length +
    update.peerAddress.length +
    update.region.length +
    update.failureDomain.length +
    (update.suspectedBy?.length ?? 0);
  return texts + 45;
}
