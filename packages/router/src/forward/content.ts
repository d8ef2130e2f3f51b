import { asId } from '@mimosamill/core';
import type { CustomerId, Fingerprint, PromptPartId, RequestHead } from '@mimosamill/core';

/** What a request has in common with repeats of it, and with other requests. */
export interface RequestContent {
  /** Equal for all requests of the customer with this method, host, path, prompt parts and body. */
  readonly fingerprint: () => Fingerprint;
  /** Prompt parts that other requests may have too; none for a plain call. */
  readonly parts: readonly PromptPartId[];
}

const SEPARATOR = '\u0000';

/** Describes the content of a request. The fingerprint is hashed at its first use: few are needed. */
export function createRequestContent(
  head: RequestHead,
  body: Uint8Array | undefined,
  customerId: CustomerId | undefined,
  isStream: boolean,
  hash64: (text: string) => string,
): RequestContent {
  let fingerprint: Fingerprint | undefined;
  return {
    fingerprint: () => {
      fingerprint ??= asId<Fingerprint>(hash64(textOf(head, body, customerId)));
      return fingerprint;
    },
    parts: isStream ? head.sharedParts : [],
  };
}

function textOf(
  { method, host, path, sharedParts }: RequestHead,
  body: Uint8Array | undefined,
  customerId: CustomerId | undefined,
): string {
  const bodyText = body === undefined ? '' : Buffer.from(body).toString('latin1');
  const parts = sharedParts.join();
  return [method, host, path, customerId ?? '', parts, bodyText].join(SEPARATOR);
}
