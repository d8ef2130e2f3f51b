import type { Region, Revision } from '@mimosamill/core';

export interface RouterRevision {
  readonly routerId: string;
  readonly region: Region;
  readonly failureDomain: string;
  /** Membership state, as the router on this host sees it. */
  readonly state: string;
  /** Revision that the router has applied; undefined if it is dead or did not answer. */
  readonly revision: Revision | undefined;
}

/** Reads which revision each router has applied; fails if the router on this host is down. */
export type ReadRouterRevisions = () => Promise<
  | { readonly kind: 'ok'; readonly nodes: readonly RouterRevision[] }
  | { readonly kind: 'unavailable'; readonly message: string }
>;

export interface RegionStatus {
  readonly region: string;
  /** Number of routers that are not dead. */
  readonly nodes: number;
  /** Number of routers that have applied the given revision or a later one. */
  readonly inForce: number;
  /** Lowest revision that a router answered with; null if none answered. */
  readonly lowestRevision: number | null;
  /** Ids of the routers that answered with a lower revision than the given one. */
  readonly behind: readonly string[];
  readonly notAnswering: readonly string[];
}

/** Reports for each region which routers have applied a revision. Dead routers are left out. */
export function summariseByRegion(
  nodes: readonly RouterRevision[],
  revision: Revision,
): RegionStatus[] {
  const live = nodes.filter(({ state }) => state !== 'dead');
  const regions = [...new Set(live.map(({ region }) => region))].sort();
  return regions.map((region) => {
    const inRegion = live.filter((node) => node.region === region);
    const answered = inRegion.flatMap((node) =>
      node.revision === undefined ? [] : [node.revision],
    );
    const isBehind = (node: RouterRevision): boolean =>
      node.revision !== undefined && node.revision < revision;
    return {
      region,
      nodes: inRegion.length,
      inForce: answered.filter((applied) => applied >= revision).length,
      lowestRevision: answered.length === 0 ? null : Math.min(...answered),
      behind: inRegion.filter(isBehind).map(({ routerId }) => routerId),
      notAnswering: inRegion
        .filter((node) => node.revision === undefined)
        .map(({ routerId }) => routerId),
    };
  });
}
