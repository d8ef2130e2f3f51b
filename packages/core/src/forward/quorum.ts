import type { HostId } from '../ids';

/**
 * Whether a router hears enough of the others for a decision that cannot be undone: it and those it has heard
 * are the majority of all routers that it knows. The rest may have seen what speaks against the decision; at most
 * one side of a partition decides. Neither list names the router itself.
 */
export function isMajorityHeard(known: readonly HostId[], heard: readonly HostId[]): boolean {
  const all = new Set([...known, ...heard]);
  return 2 * (heard.length + 1) > all.size + 1;
}
