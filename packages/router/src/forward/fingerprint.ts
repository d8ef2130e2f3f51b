import { asId } from '@mimosamill/core';
import type { CustomerId, Fingerprint, RequestHead } from '@mimosamill/core';

const SEPARATOR = '\u0000';

/**
 * Returns a function for the fingerprint of a request, which is the same for all requests of a
 * customer with this method, host, path and body. It is hashed at the first use, since few are needed.
 */
export function lazyFingerprint(
  head: RequestHead,
  body: Uint8Array | undefined,
  customerId: CustomerId | undefined,
  hash64: (text: string) => string,
): () => Fingerprint {
  let fingerprint: Fingerprint | undefined;
  return () => {
    fingerprint ??= asId<Fingerprint>(hash64(contentOf(head, body, customerId)));
    return fingerprint;
  };
}

function contentOf(
  { method, host, path }: RequestHead,
  body: Uint8Array | undefined,
  customerId: CustomerId | undefined,
): string {
  const bodyText = body === undefined ? '' : Buffer.from(body).toString('latin1');
  return [method, host, path, customerId ?? '', bodyText].join(SEPARATOR);
}
