import { asId, effectiveSettings } from '@mimosamill/core';
import type {
  Quota,
  CustomerConfig,
  CustomerId,
  FleetConfig,
  FleetDefaults,
} from '@mimosamill/core';

const CUSTOMER_PREFIX = 'customer/';
const TEAM_PREFIX = 'team/';

type LimitSettings = Pick<FleetDefaults, 'requestsPerSec' | 'tokensPerSec' | 'concurrentStreams'>;

/** Names of the limits that a customer's requests count against: its own and its team's. */
export function scopesOf(config: FleetConfig, customer: CustomerConfig): string[] {
  const own = `${CUSTOMER_PREFIX}${customer.id}`;
  const hasTeamLimits = config.teams[customer.team]?.limits !== undefined;
  return hasTeamLimits ? [own, `${TEAM_PREFIX}${customer.team}`] : [own];
}

/** The fleet-wide limit of a scope; undefined if the configuration does not know it. */
export function limitOfScope(config: FleetConfig | undefined, scope: string): Quota | undefined {
  if (config === undefined) return undefined;
  if (scope.startsWith(TEAM_PREFIX)) {
    const limits = config.teams[scope.slice(TEAM_PREFIX.length)]?.limits;
    return limits === undefined ? undefined : toQuota(limits);
  }
  if (!scope.startsWith(CUSTOMER_PREFIX)) return undefined;
  const customer = asId<CustomerId>(scope.slice(CUSTOMER_PREFIX.length));
  if (config.customers[customer] === undefined) return undefined;
  return toQuota(effectiveSettings(config, { customer }));
}

function toQuota(settings: LimitSettings): Quota {
  const { requestsPerSec, tokensPerSec, concurrentStreams } = settings;
  return { requestsPerSec, tokensPerSec, streams: concurrentStreams };
}
