import { asId, effectiveSettings } from '@mimosamill/core';
import type { Amounts, CustomerId, FleetConfig } from '@mimosamill/core';

const CUSTOMER_PREFIX = 'customer/';

/** Name of a customer's limits among all limits. */
export function customerScope(customer: CustomerId): string {
  return `${CUSTOMER_PREFIX}${customer}`;
}

/** The fleet-wide limit of a scope; undefined if the configuration does not know it. */
export function limitOfScope(config: FleetConfig | undefined, scope: string): Amounts | undefined {
  if (config === undefined || !scope.startsWith(CUSTOMER_PREFIX)) return undefined;
  const customer = asId<CustomerId>(scope.slice(CUSTOMER_PREFIX.length));
  if (config.customers[customer] === undefined) return undefined;
  const settings = effectiveSettings(config, { customer });
  const { requestsPerSec, tokensPerSec, concurrentStreams } = settings;
  return { requestsPerSec, tokensPerSec, streams: concurrentStreams };
}
