import type { RequestId } from '@mimosamill/core';
import type { ResponseMetadata } from '../../src/forward/codec';

/** What the head of a sound answer to the request says. */
export function answerMetadata(requestId: RequestId): ResponseMetadata {
  return {
    requestId,
    wasNotRun: false,
    isMisdirected: false,
    isEncoded: false,
    isSigned: true,
    load: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
    limit: { kind: 'none' },
  };
}
