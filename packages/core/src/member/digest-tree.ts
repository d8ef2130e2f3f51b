import { rankByRendezvous } from '../hash/rendezvous';
import type { Hash32 } from '../hash/rendezvous';
import type { EngineId, FailureDomain, RouterId } from '../ids';

/** A router of the region, as far as the digests need it. */
export interface TreeMember {
  readonly routerId: RouterId;
  readonly failureDomain: FailureDomain;
}

/** A router's neighbours in the tree that digests take. */
export interface TreePosition<T extends TreeMember> {
  /** Undefined at the root. */
  readonly parent: T | undefined;
  readonly children: readonly T[];
  /** 0 at the root. */
  readonly depth: number;
  readonly maxDepth: number;
}

const TREE_FANOUT = 3;
const TREE_HASH_KEY = 'digest tree';

/** The place of a router in its region's tree; the same on every router with the same view. */
export function findTreePosition<T extends TreeMember>(
  self: RouterId,
  members: readonly T[],
  hash: Hash32,
): TreePosition<T> {
  const ordered = rankByRendezvous(TREE_HASH_KEY, members, (member) => member.routerId, hash);
  const index = ordered.findIndex((member) => member.routerId === self);
  const first = TREE_FANOUT * index + 1;
  return {
    parent: index > 0 ? ordered[Math.floor((index - 1) / TREE_FANOUT)] : undefined,
    children: index < 0 ? [] : ordered.slice(first, first + TREE_FANOUT),
    depth: depthOf(Math.max(0, index)),
    maxDepth: depthOf(Math.max(0, ordered.length - 1)),
  };
}

/**
 * The routers that read an engine's load: the best-ranked one, and the best of another failure
 * domain, so that the loss of one domain leaves a reader.
 */
export function findLoadReaders<T extends TreeMember>(
  engineId: EngineId,
  members: readonly T[],
  hash: Hash32,
): T[] {
  const ranked = rankByRendezvous(engineId, members, (member) => member.routerId, hash);
  const [first] = ranked;
  if (first === undefined) return [];
  const second = ranked.find((member) => member.failureDomain !== first.failureDomain) ?? ranked[1];
  return second === undefined ? [first] : [first, second];
}

function depthOf(index: number): number {
  let depth = 0;
  for (let at = index; at > 0; at = Math.floor((at - 1) / TREE_FANOUT)) depth += 1;
  return depth;
}
