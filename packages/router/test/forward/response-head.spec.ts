import { describe, expect, it } from 'vitest';
import { asId } from '@mimosamill/core';
import { toFields } from '@mimosamill/adapters';
import { classifyResponseHead } from '../../src/forward/response-head';
import { answerMetadata } from './answer-metadata';
import type { ResponseHead } from '@mimosamill/adapters';
import type { RequestId } from '@mimosamill/core';
import type { ReceivedHead } from '../../src/forward/response-head';
import type { ResponseMetadata } from '../../src/forward/codec';

const REQUEST: RequestId = asId('r1');
const OTHER_REQUEST: RequestId = asId('r0');

function headOf(status: number, contentType: string): ResponseHead {
  return { status, fields: toFields({ 'content-type': contentType }), framing: 'chunks' };
}

function kindOf(
  status: number,
  metadata: Partial<ResponseMetadata> = {},
  received: Partial<ReceivedHead> = {},
): string {
  const kind = classifyResponseHead({
    requestId: REQUEST,
    head: headOf(status, 'text/event-stream'),
    metadata: { ...answerMetadata(REQUEST), ...metadata },
    isResumedFromCopy: false,
    begun: undefined,
    ...received,
  });
  return kind.kind === 'answer' && kind.isError ? 'error' : kind.kind;
}

// Guards against a check that comes too late: a head that fits several kinds would be taken for a
// weaker one, for example a late refusal of another request for one of this attempt.
describe('the head of a response', () => {
  it('counts for nothing if it names another request or none', () => {
    expect(kindOf(503, { requestId: OTHER_REQUEST, wasNotRun: true })).toBe('other_request');
    expect(kindOf(421, { requestId: undefined, isMisdirected: true })).toBe('other_request');
  });

  it('is of another server before it is a refusal', () => {
    expect(kindOf(421, { isMisdirected: true, wasNotRun: true })).toBe('misdirected');
  });

  it('refuses the copy before it refuses the request', () => {
    expect(kindOf(503, { wasNotRun: true }, { isResumedFromCopy: true })).toBe('no_copy');
    expect(kindOf(500, {}, { isResumedFromCopy: true })).toBe('no_copy');
    expect(kindOf(503, { wasNotRun: true })).toBe('rejected');
  });

  it('is garbled if a success was changed on its way or is of another kind', () => {
    expect(kindOf(200, { isEncoded: true })).toBe('garbled');
    expect(kindOf(200, { isSigned: false })).toBe('garbled');
    const begun = headOf(200, 'application/json');
    expect(kindOf(200, {}, { begun })).toBe('garbled');
  });

  it('is followed by events or by the description of an error', () => {
    expect(kindOf(200, {}, { begun: headOf(200, 'text/event-stream') })).toBe('answer');
    expect(kindOf(500, { isSigned: false })).toBe('error');
  });
});
