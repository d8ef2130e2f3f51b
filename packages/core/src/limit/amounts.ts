/** What a limit bounds. */
export interface Quota {
  readonly requestsPerSec: number;
  readonly tokensPerSec: number;
  readonly streams: number;
}

export type QuotaDimension = keyof Quota;

export const QUOTA_DIMENSIONS: readonly QuotaDimension[] = [
  'requestsPerSec',
  'tokensPerSec',
  'streams',
];

export const NO_QUOTA: Quota = { requestsPerSec: 0, tokensPerSec: 0, streams: 0 };

export function mapQuota(valueOf: (meter: QuotaDimension) => number): Quota {
  return {
    requestsPerSec: valueOf('requestsPerSec'),
    tokensPerSec: valueOf('tokensPerSec'),
    streams: valueOf('streams'),
  };
}

export function scaleQuota(amounts: Quota, factor: number): Quota {
  return mapQuota((meter) => amounts[meter] * factor);
}
