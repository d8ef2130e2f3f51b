import type { CustomerId, FailureDomain, ServiceName } from '../ids';
import type { ConfigException, ExceptionScope, FleetConfig, FleetDefaults } from './model';

/** Where a setting is looked up. */
export interface SettingsContext {
  readonly service?: ServiceName;
  readonly customer?: CustomerId;
  readonly failureDomain?: FailureDomain;
}

/**
 * Defaults with the matching exceptions applied. The exception that names more fields wins;
 * among equals one that names the customer, then one that names the service.
 */
export function effectiveSettings(config: FleetConfig, context: SettingsContext): FleetDefaults {
  const matching = Object.values(config.exceptions)
    .filter(({ scope }) => matchesScope(scope, context))
    .sort((a, b) => precedence(a) - precedence(b));
  const replaced = Object.fromEntries(matching.map(({ setting, value }) => [setting, value]));
  return { ...config.defaults, ...replaced };
}

function matchesScope(scope: ExceptionScope, context: SettingsContext): boolean {
  return (
    (scope.service === undefined || scope.service === context.service) &&
    (scope.customer === undefined || scope.customer === context.customer) &&
    (scope.failureDomain === undefined || scope.failureDomain === context.failureDomain)
  );
}

function precedence({ scope }: ConfigException): number {
  const customer = scope.customer === undefined ? 0 : 1;
  const service = scope.service === undefined ? 0 : 1;
  const failureDomain = scope.failureDomain === undefined ? 0 : 1;
  return (customer + service + failureDomain) * 8 + customer * 4 + service * 2 + failureDomain;
}
