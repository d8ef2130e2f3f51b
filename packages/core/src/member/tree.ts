import { rankByRendezvous } from '../hash/rendezvous';
import type { Hash32 } from '../hash/rendezvous';
import type { EngineId, FailureDomain, RouterId } from '../ids';

/** A router of the region, as far as the digests need it. */
export interface TreeMember {
  readonly routerId: RouterId;
  readonly failureDomain: FailureDomain;
}

/** A router's neighbours in the tree that digests take. */
export interface TreePlace<T extends TreeMember> {
  /** Undefined at the root. */
  readonly parent: T | undefined;
  readonly children: readonly T[];
  /** 0 at the root. */
  readonly depth: number;
  readonly maxDepth: number;
}

const FANOUT = 3;
const TREE_KEY = 'digest tree';

/** The place of a router in its region's tree; the same on every router with the same view. */
export function findTreePlace<T extends TreeMember>(
  self: RouterId,
  members: readonly T[],
  hash: Hash32,
): TreePlace<T> {
  const ordered = rankByRendezvous(TREE_KEY, members, (member) => member.routerId, hash);
  const index = ordered.findIndex((member) => member.routerId === self);
  const first = FANOUT * index + 1;
  return {
    parent: index > 0 ? ordered[Math.floor((index - 1) / FANOUT)] : undefined,
    children: index < 0 ? [] : ordered.slice(first, first + FANOUT),
    depth: depthOf(Math.max(0, index)),
    maxDepth: depthOf(Math.max(0, ordered.length - 1)),
  };
}

/**
 * The routers that read an engine's load: the best-ranked one, and the best of another failure
 * domain, so that the loss of one domain leaves a reader.
 */
export function findReaders<T extends TreeMember>(
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
  for (let at = index; at > 0; at = Math.floor((at - 1) / FANOUT)) depth += 1;
  return depth;
}
