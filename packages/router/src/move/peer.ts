import { initTRPC } from '@trpc/server';
import { evidenceSchema } from './message';
import type { Withdrawal } from '@mimosamill/core';
import type { EvidenceReply } from './message';
import type { MoveWatch } from './watch';

const t = initTRPC.create();

/** Procedures for other routers, and for the controller on the same host. */
export function createMovePeerRouter(watch: Pick<MoveWatch, 'onEvidence' | 'withdrawals'>) {
  return t.router({
    evidence: t.procedure
      .input(evidenceSchema)
      .mutation(({ input }): EvidenceReply => watch.onEvidence(input)),
    withdrawals: t.procedure.query((): Withdrawal[] => [...watch.withdrawals()]),
  });
}

export type MovePeerRouter = ReturnType<typeof createMovePeerRouter>;
