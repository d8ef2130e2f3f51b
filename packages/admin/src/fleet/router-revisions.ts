import { createTRPCClient, httpLink } from '@trpc/client';
import { describeError } from '@mimosamill/adapters';
import type { ConfigRevision, Revision } from '@mimosamill/core';
import type { ConfigRouter, Member } from '@mimosamill/router';
import type { TRPCClient } from '@trpc/client';
import type { ReadRouterRevisions, RouterRevision } from './status';

const MAX_CONCURRENT_QUERIES = 16;
const REQUEST_TIMEOUT_MS = 2_000;

/** Asks the router on this host for all routers, and each that is not dead for its revision. */
export function createRouterRevisionReader(routerPeerAddress: string): ReadRouterRevisions {
  async function revisionOf(member: Member): Promise<Revision | undefined> {
    if (member.state === 'dead') return undefined;
    try {
      const state = await createConfigClient(member.peerAddress).state.query(undefined, {
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      return state.revision;
    } catch {
      return undefined;
    }
  }

  async function toRouterRevision(member: Member): Promise<RouterRevision> {
    const { routerId, region, failureDomain, state } = member;
    return { routerId, region, failureDomain, state, revision: await revisionOf(member) };
  }

  return async () => {
    try {
      const members = await createConfigClient(routerPeerAddress).members.query(undefined, {
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const nodes = await mapConcurrently(members as readonly Member[], toRouterRevision);
      return { kind: 'ok', nodes };
    } catch (error) {
      return { kind: 'unavailable', message: describeError(error) };
    }
  };
}

/**
 * Sends each accepted revision to the router on this host, which spreads it to the others. The
 * answer is ignored: the routers that poll the configuration store find the revision there as well.
 */
export function createRevisionAnnouncer(
  routerPeerAddress: string,
): (revision: ConfigRevision) => void {
  return (entry) => {
    const push = { from: routerPeerAddress, revision: entry.revision, revisions: [entry] };
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    createConfigClient(routerPeerAddress)
      .announce.mutate(push as never, { signal })
      .catch(() => undefined);
  };
}

function createConfigClient(peerAddress: string): TRPCClient<ConfigRouter> {
  // The peer server mounts the procedures under "config." and reads inputs from request bodies.
  const link = httpLink({ url: `http://${peerAddress}`, methodOverride: 'POST' });
  const client = createTRPCClient<never>({ links: [link] as never }) as unknown;
  return (client as { config: TRPCClient<ConfigRouter> }).config;
}

/** Maps up to `MAX_CONCURRENT_QUERIES` items at a time; the results keep the order of the items. */
async function mapConcurrently<T, R>(
  items: readonly T[],
  map: (item: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  let next = 0;
  async function runWorker(): Promise<void> {
    while (next < items.length) {
      const index = next;
      next += 1;
      const item = items[index];
      if (item !== undefined) results[index] = await map(item);
    }
  }
  await Promise.all(Array.from({ length: MAX_CONCURRENT_QUERIES }, runWorker));
  return results;
}
