import * as z from 'zod';
import { createPeerRouter, peerProcedure } from '../peer/trpc';
import type { SuspectItem } from '@mimosamill/core';
import type { MembershipService } from '../peer/membership';

const MAX_ITEMS_PER_REPORT = 64;
const MAX_TEXT_CHARS = 1_024;
/** Further routers, and those whose direct report is lost, get the items by gossip. */
const MAX_RECIPIENTS = 128;
const REPORT_TIMEOUT_MS = 500;

const itemSchema = z.object({
  kind: z.enum(['death', 'cleared', 'runner', 'culprit']),
  key: z.string().max(MAX_TEXT_CHARS),
  payload: z.string().max(MAX_TEXT_CHARS),
  expiresAtMs: z.number(),
});

/** The sub-router 'suspects': direct reports from the routers that noticed engine deaths. */
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
 * Sends items directly to the routers of the region. Gossip takes longer than a suspected request
 * may wait to resume, and without the reports of other routers two suspects may share an engine.
 */
export function createSuspectReporter(
  peers: Pick<MembershipService, 'self' | 'members' | 'pool'>,
): (items: readonly SuspectItem[]) => void {
  return (items) => {
    const { routerId, region } = peers.self();
    const recipients = peers
      .members()
      .filter((peer) => peer.state === 'alive' && peer.region === region)
      .filter((peer) => peer.routerId !== routerId)
      .slice(0, MAX_RECIPIENTS);
    for (let offset = 0; offset < items.length; offset += MAX_ITEMS_PER_REPORT) {
      const chunk = items.slice(offset, offset + MAX_ITEMS_PER_REPORT);
      recipients.forEach(({ peerAddress }) => {
        peers.pool
          .client<SuspectRouter>('suspects', peerAddress)
          .report.mutate([...chunk], { context: { timeoutMs: REPORT_TIMEOUT_MS } })
          // Gossip delivers the items of a lost report.
          .catch(() => undefined);
      });
    }
  };
}
