import * as z from 'zod';
import { createPeerRouter, peerProcedure } from '../peer/trpc';
import { takeRevisionsForMessage } from './config-peers';
import type { ConfigRevision, Revision } from '@mimosamill/core';
import type { ConfigPeerHandler } from './config-peers';

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

const pushSchema = z.object({
  from: z.string(),
  revision: revisionNumber,
  revisions: z.array(revisionSchema),
});

/** The sub-router to be mounted as 'config'. */
export function createConfigRouter(handler: ConfigPeerHandler) {
  return createPeerRouter({
    state: peerProcedure.query(() => ({
      revision: handler.revision(),
      isReady: handler.isReady(),
    })),
    members: peerProcedure.query(() => [...handler.members()]),
    tail: peerProcedure.input(z.object({ after: revisionNumber })).query(({ input }) => {
      const revisions = handler.revisionsAfter(input.after);
      const revision = handler.revision();
      if (revisions === undefined) return { kind: 'gone' as const, revision };
      return {
        kind: 'tail' as const,
        revision,
        revisions: [...takeRevisionsForMessage(revisions)],
      };
    }),
    snapshot: peerProcedure
      .input(z.object({ revision: revisionNumber.optional(), offset: z.number().int().min(0) }))
      .query(({ input }) => handler.snapshotPart(input.revision, input.offset)),
    push: peerProcedure
      .input(pushSchema)
      .mutation(({ input }) => ({ revision: handler.acceptPush(input) })),
    announce: peerProcedure
      .input(pushSchema)
      .mutation(({ input }) => ({ revision: handler.announce(input) })),
  });
}

export type ConfigRouter = ReturnType<typeof createConfigRouter>;
