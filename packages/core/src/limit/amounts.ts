/** What a limit bounds. */
export interface Amounts {
  readonly requestsPerSec: number;
  readonly tokensPerSec: number;
  readonly streams: number;
}

export type Meter = keyof Amounts;

export const METERS: readonly Meter[] = ['requestsPerSec', 'tokensPerSec', 'streams'];

export const NO_AMOUNTS: Amounts = { requestsPerSec: 0, tokensPerSec: 0, streams: 0 };

export function mapAmounts(valueOf: (meter: Meter) => number): Amounts {
  return {
    requestsPerSec: valueOf('requestsPerSec'),
    tokensPerSec: valueOf('tokensPerSec'),
    streams: valueOf('streams'),
  };
}

export function scaleAmounts(amounts: Amounts, factor: number): Amounts {
  return mapAmounts((meter) => amounts[meter] * factor);
}
