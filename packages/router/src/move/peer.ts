import { createPeerRouter, peerProcedure } from '../peer/trpc';
import { evidenceSchema } from './evidence-message';
import type { Withdrawal } from '@mimosamill/core';
import type { EvidenceReply } from './evidence-message';
import type { MoveMonitor } from './move-monitor';

/** Sub-router 'moves' for other routers, and for the controller on the same host. */
export function createMovePeerRouter(monitor: Pick<MoveMonitor, 'onEvidence' | 'withdrawals'>) {
  return createPeerRouter({
    evidence: peerProcedure
      .input(evidenceSchema)
      .mutation(({ input }): EvidenceReply => monitor.onEvidence(input)),
    withdrawals: peerProcedure.query((): Withdrawal[] => [...monitor.withdrawals()]),
  });
}

export type MovePeerRouter = ReturnType<typeof createMovePeerRouter>;
