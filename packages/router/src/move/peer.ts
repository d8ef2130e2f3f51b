import { createPeerRouter, peerProcedure } from '../peer/trpc';
import { evidenceSchema } from './evidence-message';
import type { Withdrawal } from '@mimosamill/core';
import type { EvidenceReply } from './evidence-message';
import type { MoveMonitor } from './move-monitor';

/** Procedures for other routers, and for the controller on the same host. */
export function createMovePeerRouter(watch: Pick<MoveMonitor, 'onEvidence' | 'withdrawals'>) {
  return createPeerRouter({
    evidence: peerProcedure
      .input(evidenceSchema)
      .mutation(({ input }): EvidenceReply => watch.onEvidence(input)),
    withdrawals: peerProcedure.query((): Withdrawal[] => [...watch.withdrawals()]),
  });
}

export type MovePeerRouter = ReturnType<typeof createMovePeerRouter>;
