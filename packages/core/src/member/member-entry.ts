import type { FailureDomain, Region, RouterId } from '../ids';
import type { Hash32 } from '../hash/rendezvous';

/** Anti-entropy compares one checksum per bucket, and exchanges only the buckets that differ. */
export const SYNC_BUCKETS = 16;

/** Member state as it is gossiped. */
export type GossipedState = 'alive' | 'leaving' | 'suspect' | 'dead';

/** State of a member as one node sends it to another. */
export interface MemberUpdate {
  readonly routerId: RouterId;
  readonly address: string;
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly incarnation: number;
  readonly state: GossipedState;
  /** The member that reported the suspicion; only with state 'suspect'. */
  readonly suspectedBy?: RouterId;
  /** Time since the death was declared; only with 'dead', so that all nodes forget it together. */
  readonly ageMs?: number;
}

/** What this node knows of a member. */
export interface MemberEntry {
  update: MemberUpdate;
  /** When the member entered its present state. */
  sinceMs: number;
  /** Probes to this member of another region fail. Not gossiped: others may still reach it. */
  isUnreachable: boolean;
  /** A member that is still suspected at this time is declared dead, if it is of this region. */
  suspicionEndsMs: number;
  readonly suspectedBy: Set<RouterId>;
}

const STATE_RANK: Readonly<Record<GossipedState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

/** Whether `next` replaces `known`: a higher incarnation does, or the worse state of the same one. */
export function supersedes(next: MemberUpdate, known: MemberUpdate): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  return STATE_RANK[next.state] > STATE_RANK[known.state];
}

export function bucketOf(key: string, hash: Hash32): number {
  return hash(key) % SYNC_BUCKETS;
}

/**
 * Checksum per bucket of all members that are not dead. Suspicions are temporary and nodes forget
 * a death at slightly different times, so neither counts as a difference.
 */
export function memberBuckets(entries: Iterable<MemberEntry>, hash: Hash32): number[] {
  const sums = new Array<number>(SYNC_BUCKETS).fill(0);
  for (const { update } of entries) {
    if (update.state !== 'dead') {
      const bucket = bucketOf(update.routerId, hash);
      const state = update.state === 'leaving' ? 'leaving' : 'alive';
      const lineHash = hash(`${update.routerId} ${update.incarnation} ${state}`);
      sums[bucket] = ((sums[bucket] ?? 0) + lineHash) % 2 ** 32;
    }
  }
  return sums;
}

export function differingBuckets(ours: readonly number[], theirs: readonly number[]): Set<number> {
  const differing = ours.flatMap((sum, bucket) => (sum === theirs[bucket] ? [] : [bucket]));
  return new Set(differing);
}

/** Size of an update on the wire, slightly overestimated so that messages stay within bounds. */
export function updateSizeBytes(update: MemberUpdate): number {
  const textBytes =
    update.routerId.length +
    update.address.length +
    update.peerAddress.length +
    update.region.length +
    update.failureDomain.length +
    (update.suspectedBy?.length ?? 0);
  return textBytes + 45;
}
