import { createPeerRouter, peerProcedure } from '../peer/trpc';
import { evidenceSchema } from './message';
import type { Withdrawal } from '@mimosamill/core';
import type { EvidenceReply } from './message';
import type { MoveWatch } from './watch';

/** Procedures for other routers, and for the controller on the same host. */
export function createMovePeerRouter(watch: Pick<MoveWatch, 'onEvidence' | 'withdrawals'>) {
  return createPeerRouter({
    evidence: peerProcedure
      .input(evidenceSchema)
      .mutation(({ input }): EvidenceReply => watch.onEvidence(input)),
    withdrawals: peerProcedure.query((): Withdrawal[] => [...watch.withdrawals()]),
  });
}

export type MovePeerRouter = ReturnType<typeof createMovePeerRouter>;
