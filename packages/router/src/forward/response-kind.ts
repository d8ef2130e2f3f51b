import { singleValue } from '@mimosamill/adapters';
import type { ResponseHead } from '@mimosamill/adapters';

/** Whether a response may go on with the body of another one. */
export function isSameKind(begun: ResponseHead, next: ResponseHead): boolean {
  return begun.status === next.status && mediaType(begun) === mediaType(next);
}

function mediaType({ fields }: ResponseHead): string | undefined {
  return singleValue(fields, 'content-type')?.split(';', 1)[0]?.trim().toLowerCase();
}
