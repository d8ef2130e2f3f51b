import * as z from 'zod';
import { createPeerRouter, peerProcedure } from '../peer/trpc';
import type { Quota, QuotaAnswer, QuotaRequest } from '@mimosamill/core';

/** Claims in one message; 64 of them are about 5 KB. */
export const MAX_CLAIMS_PER_MESSAGE = 64;

const nonNegativeNumber = z.number().nonnegative();
const claimSchema = z.tuple([
  z.string().max(256),
  nonNegativeNumber,
  nonNegativeNumber,
  nonNegativeNumber,
  nonNegativeNumber,
]);
const claimsSchema = z.object({
  holder: z.string().max(128),
  claims: z.array(claimSchema).max(MAX_CLAIMS_PER_MESSAGE),
});

export type ClaimTuple = z.infer<typeof claimSchema>;
export type ClaimsMessage = z.infer<typeof claimsSchema>;
/** 'granted' with amounts and lease, or another kind with the time to wait. */
export type AnswerTuple =
  readonly ['granted', number, number, number, number] | readonly ['not_ready' | 'refused', number];

export interface LimitHandlers {
  readonly onClaim: (request: QuotaRequest) => QuotaAnswer;
}

/** The sub-router 'limits': other routers claim shares of the scopes that this one allocates. */
export function createLimitRouter(handlers: LimitHandlers) {
  return createPeerRouter({
    claim: peerProcedure
      .input(claimsSchema)
      .mutation(({ input }): AnswerTuple[] =>
        input.claims.map((claim) => packAnswer(handlers.onClaim(unpackClaim(input.holder, claim)))),
      ),
  });
}

export type LimitRouter = ReturnType<typeof createLimitRouter>;

export function packClaim(scope: string, wanted: Quota, streamsInUse: number): ClaimTuple {
  const { requestsPerSec, tokensPerSec, streams } = wanted;
  return [
    scope,
    toFourDigits(requestsPerSec),
    toFourDigits(tokensPerSec),
    Math.ceil(streams),
    streamsInUse,
  ];
}

export function unpackAnswer(answer: AnswerTuple | undefined): QuotaAnswer | undefined {
  if (answer === undefined) return undefined;
  if (answer[0] === 'granted') {
    const [, requestsPerSec, tokensPerSec, streams, leaseMs] = answer;
    return { kind: 'granted', quota: { requestsPerSec, tokensPerSec, streams }, leaseMs };
  }
  const [kind, retryAfterMs] = answer;
  return kind === 'not_ready' ? { kind, retryAfterMs } : { kind: 'not_responsible' };
}

function unpackClaim(holder: string, claim: ClaimTuple): QuotaRequest {
  const [scope, requestsPerSec, tokensPerSec, streams, streamsInUse] = claim;
  return { scope, holder, wanted: { requestsPerSec, tokensPerSec, streams }, streamsInUse };
}

function packAnswer(answer: QuotaAnswer): AnswerTuple {
  switch (answer.kind) {
    case 'granted': {
      const { requestsPerSec, tokensPerSec, streams } = answer.quota;
      return ['granted', requestsPerSec, tokensPerSec, streams, answer.leaseMs];
    }
    case 'not_ready':
      return ['not_ready', answer.retryAfterMs];
    default:
      return ['refused', 0];
  }
}

/** Four significant digits are enough for a wish. */
function toFourDigits(value: number): number {
  return Number(value.toPrecision(4));
}
