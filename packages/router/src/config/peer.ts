import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { fitMessage } from './peers';
import type { ConfigRevision, Revision } from '@mimosamill/core';
import type { ConfigPeerHandler } from './peers';

const trpc = initTRPC.create();

const revisionNumber = z
  .number()
  .int()
  .min(0)
  .transform((value) => value as Revision);

/** Only what the replica relies on is checked: a newer release may send more. */
const revisionSchema = z
  .looseObject({
    revision: z.number().int().min(1),
    operationId: z.string(),
    changes: z.array(z.looseObject({ kind: z.string() })),
  })
  .transform((value) => value as unknown as ConfigRevision);

const pushSchema = z.object({ revision: revisionNumber, revisions: z.array(revisionSchema) });

/** Procedures below `config` of the peer server. */
export function createConfigRouter(handler: ConfigPeerHandler) {
  return trpc.router({
    state: trpc.procedure.query(() => ({
      revision: handler.revision(),
      isReady: handler.isReady(),
    })),
    members: trpc.procedure.query(() => [...handler.members()]),
    tail: trpc.procedure.input(z.object({ after: revisionNumber })).query(({ input }) => {
      const revisions = handler.tailAfter(input.after);
      const revision = handler.revision();
      if (revisions === undefined) return { kind: 'gone' as const, revision };
      return { kind: 'tail' as const, revision, revisions: [...fitMessage(revisions)] };
    }),
    snapshot: trpc.procedure
      .input(z.object({ revision: revisionNumber.optional(), offset: z.number().int().min(0) }))
      .query(({ input }) => handler.snapshotPart(input.revision, input.offset)),
    push: trpc.procedure
      .input(pushSchema)
      .mutation(({ input }) => ({ revision: handler.acceptPush(input) })),
  });
}

export type ConfigRouter = ReturnType<typeof createConfigRouter>;
