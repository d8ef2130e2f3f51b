import { rankByRendezvous } from '../hash/rendezvous';
import type { Hash32 } from '../hash/rendezvous';
import type { EngineId, FailureDomain, RouterId } from '../ids';

/** A router of the region. */
export interface TreeMember {
  readonly routerId: RouterId;
  readonly failureDomain: FailureDomain;
}

/** A router's place in the tree over which load digests are sent up and down. */
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

/** Finds a router's place in its region's tree; all routers with the same members agree on it. */
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
 * Finds the routers that poll an engine's load: the one ranked first, and the first of another
 * failure domain, so that the loss of one domain leaves a reader.
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
  for (let node = index; node > 0; node = Math.floor((node - 1) / TREE_FANOUT)) depth += 1;
  return depth;
}
