import { asId } from '@mimosamill/core';
import { initTRPC } from '@trpc/server';
import * as z from 'zod';
import type { OwnerAnswer } from '@mimosamill/core';
import type { Calls } from './calls';
import type { OwnerClient, OwnerQuestion } from './ports';

const MAX_TEXT_CHARS = 1_024;
const MAX_WAIT_MS = 2_000;

const textSchema = z.string().max(MAX_TEXT_CHARS);
const questionSchema = z.object({
  service: textSchema,
  customerId: textSchema,
  key: textSchema,
  attemptId: textSchema,
  waitMs: z.number().nonnegative().max(MAX_WAIT_MS),
});

const trpc = initTRPC.create();

/** The sub-router 'calls': other routers ask for the outcome of this router's claims. */
export function createCallRouter(calls: Pick<Calls, 'answerAsOwner'>) {
  return trpc.router({
    askOwner: trpc.procedure
      .input(questionSchema)
      .mutation(async ({ input }): Promise<OwnerAnswer> =>
        calls.answerAsOwner({
          ...input,
          service: asId(input.service),
          customerId: asId(input.customerId),
        }),
      ),
  });
}

export type CallRouter = ReturnType<typeof createCallRouter>;

/** Sends a question to a peer; rejects if there is no answer within the time. */
export type AskPeer = (
  peerAddress: string,
  question: OwnerQuestion,
  timeoutMs: number,
) => Promise<OwnerAnswer>;

/** Time for the question to travel, beyond the time the owner may wait. */
const OWNER_TRANSIT_MS = 500;

/** Asks the owner of a claim over tRPC; a router that is not a member any longer is gone. */
export function createOwnerClient(
  addressOf: (routerId: string) => string | undefined,
  ask: AskPeer,
): OwnerClient {
  return {
    ask: async (routerId, question) => {
      const peerAddress = addressOf(routerId);
      if (peerAddress === undefined) return { kind: 'gone' };
      const answer = ask(peerAddress, question, question.waitMs + OWNER_TRANSIT_MS);
      return answer.catch(() => ({ kind: 'gone' as const }));
    },
  };
}
