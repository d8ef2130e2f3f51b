import type { Region, Revision } from '@mimosamill/core';

/** A router and the revision it has in force; undefined if it did not answer. */
export interface RouterRevision {
  readonly routerId: string;
  readonly region: Region;
  readonly failureDomain: string;
  readonly state: string;
  readonly revision: Revision | undefined;
}

/** Reads the routers' revisions, by way of the router on this host. */
export type ReadRouterRevisions = () => Promise<
  | { readonly kind: 'ok'; readonly nodes: readonly RouterRevision[] }
  | { readonly kind: 'unavailable'; readonly message: string }
>;

export interface RegionStatus {
  readonly region: string;
  readonly nodes: number;
  readonly inForce: number;
  readonly lowestRevision: number | null;
  /** Routers that answered with a lower revision. */
  readonly behind: readonly string[];
  readonly notAnswering: readonly string[];
}

/** Where a revision is in force, by region. */
export function summariseByRegion(
  nodes: readonly RouterRevision[],
  revision: Revision,
): RegionStatus[] {
  const live = nodes.filter(({ state }) => state !== 'dead');
  const regions = [...new Set(live.map(({ region }) => region))].sort();
  return regions.map((region) => {
    const own = live.filter((node) => node.region === region);
    const known = own.flatMap((node) => (node.revision === undefined ? [] : [node.revision]));
    const isBehind = (node: RouterRevision): boolean =>
      node.revision !== undefined && node.revision < revision;
    return {
      region,
      nodes: own.length,
      inForce: known.filter((at) => at >= revision).length,
      lowestRevision: known.length === 0 ? null : Math.min(...known),
      behind: own.filter(isBehind).map(({ routerId }) => routerId),
      notAnswering: own
        .filter((node) => node.revision === undefined)
        .map(({ routerId }) => routerId),
    };
  });
}
