import * as z from 'zod';
import { createPeerRouter, peerProcedure } from '../peer/trpc';
import type { SuspectItem } from '@mimosamill/core';
import type { MembershipService } from '../peer/membership';

const MAX_ITEMS_PER_REPORT = 64;
const MAX_TEXT_CHARS = 1_024;
/** Gossip reaches the routers beyond this, and those that an item did not reach directly. */
const MAX_RECEIVERS = 128;
const REPORT_TIMEOUT_MS = 500;

const itemSchema = z.object({
  kind: z.enum(['death', 'cleared', 'runner', 'culprit']),
  key: z.string().max(MAX_TEXT_CHARS),
  payload: z.string().max(MAX_TEXT_CHARS),
  expiresAtMs: z.number(),
});

/** The sub-router 'suspects': reports of engine deaths straight from the router that saw them. */
export function createSuspectRouter(onItems: (items: readonly SuspectItem[]) => void) {
  return createPeerRouter({
    report: peerProcedure
      .input(z.array(itemSchema).max(MAX_ITEMS_PER_REPORT))
      .mutation(({ input }): null => {
        onItems(input);
        return null;
      }),
  });
}

export type SuspectRouter = ReturnType<typeof createSuspectRouter>;

/**
 * Sends items at once to the routers of the region. Gossip takes longer than suspects may wait
 * before they resume, and without the others' reports they are not kept apart.
 */
export function createSuspectReporter(
  peers: Pick<MembershipService, 'self' | 'members' | 'pool'>,
): (items: readonly SuspectItem[]) => void {
  return (items) => {
    const { routerId, region } = peers.self();
    const receivers = peers
      .members()
      .filter((peer) => peer.state === 'alive' && peer.region === region)
      .filter((peer) => peer.routerId !== routerId)
      .slice(0, MAX_RECEIVERS);
    for (let from = 0; from < items.length; from += MAX_ITEMS_PER_REPORT) {
      const part = items.slice(from, from + MAX_ITEMS_PER_REPORT);
      receivers.forEach(({ peerAddress }) => {
        peers.pool
          .client<SuspectRouter>('suspects', peerAddress)
          .report.mutate([...part], { context: { timeoutMs: REPORT_TIMEOUT_MS } })
          // Gossip repairs a lost report.
          .catch(() => undefined);
      });
    }
  };
}
