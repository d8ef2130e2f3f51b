import { isSameKind } from './response-kind';
import { isSuccessStatus } from './status';
import type { ResponseHead } from '@mimosamill/adapters';
import type { RequestId } from '@mimosamill/core';
import type { ResponseMetadata } from './codec';

/** The head of an engine's response, and what is known of its attempt. */
export interface ReceivedHead {
  readonly requestId: RequestId;
  readonly head: ResponseHead;
  readonly metadata: ResponseMetadata;
  readonly isResumedFromCopy: boolean;
  /** The response whose head the caller has. */
  readonly begun: ResponseHead | undefined;
}

/** What the head of an engine's response means for its attempt. */
export type ResponseHeadKind =
  /** It answers another request, and says nothing about this attempt or its engine. */
  | { readonly kind: 'other_request'; readonly message: string }
  /** Another server has the address of the engine. */
  | { readonly kind: 'misdirected' }
  /** The engine does not resume the stream from the copy. */
  | { readonly kind: 'no_copy' }
  /** The engine did not run the request. */
  | { readonly kind: 'rejected' }
  | { readonly kind: 'garbled'; readonly message: string }
  /** The body follows: events, or the description of an error. */
  | { readonly kind: 'answer'; readonly isError: boolean };

/** Classifies the head of a response; the first of the kinds that applies counts. */
export function classifyResponseHead(received: ReceivedHead): ResponseHeadKind {
  const { metadata, head, begun } = received;
  // Also holds for refusals: an engine may write an earlier one once more on a kept connection.
  if (metadata.requestId !== received.requestId) {
    return { kind: 'other_request', message: 'the response carries the id of another request' };
  }
  if (metadata.isMisdirected) return { kind: 'misdirected' };
  const isSuccess = isSuccessStatus(head.status);
  if (!isSuccess && received.isResumedFromCopy) return { kind: 'no_copy' };
  if (metadata.wasNotRun) return { kind: 'rejected' };
  if (!isSuccess) return { kind: 'answer', isError: true };
  if (metadata.isEncoded || !metadata.isSigned) {
    const message = 'the response is encoded, or lacks the signature of the engine';
    return { kind: 'garbled', message };
  }
  if (begun !== undefined && !isSameKind(begun, head)) {
    return { kind: 'garbled', message: 'the response is not the rest of the stream' };
  }
  return { kind: 'answer', isError: false };
}
