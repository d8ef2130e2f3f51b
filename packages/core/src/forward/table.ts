import { createPriorityClasses } from './priority';
import type { CustomerId, ServiceName } from '../ids';
import type { PriorityClasses } from './priority';
import type {
  ForwardConfig,
  ForwardCustomer,
  ForwardRoute,
  ForwardService,
  RouteTarget,
} from './types';

/** Lookups of routes, customers and services in one configuration. */
export interface ForwardTable {
  readonly config: ForwardConfig;
  /** The host's route with the longest matching path prefix; the host's port is ignored. */
  readonly match: (host: string, path: string) => ForwardRoute | undefined;
  readonly customerOf: (key: string) => ForwardCustomer | undefined;
  readonly service: (name: ServiceName) => ForwardService | undefined;
  readonly priorityClassOf: PriorityClasses;
}

/** Result of the access check of a request. */
export type AccessOutcome =
  | { readonly kind: 'customer'; readonly customerId: CustomerId }
  /** Admitted without a customer: the route is public, or the configuration has no customers. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'denied' };

export function createForwardTable(config: ForwardConfig): ForwardTable {
  const byHost = new Map<string, ForwardRoute[]>();
  config.routes.forEach((route) => {
    const host = route.host.toLowerCase();
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  });
  byHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  const byKey = new Map<string, ForwardCustomer>();
  config.customers?.forEach((customer) => {
    customer.keys.forEach((key) => byKey.set(key, customer));
  });
  const services = new Map(config.services.map((service) => [service.name, service]));

  return {
    config,
    match: (host, path) => {
      const pathOnly = path.split('?', 1)[0] ?? '';
      const routes = byHost.get(hostName(host)) ?? [];
      return routes.find((route) => pathOnly.startsWith(route.pathPrefix));
    },
    customerOf: (key) => byKey.get(key),
    service: (name) => services.get(name),
    priorityClassOf: createPriorityClasses(config),
  };
}

/**
 * Finds the customer of a request by its key. A public route also admits requests with no key or an
 * unknown one.
 */
export function checkAccess(
  table: ForwardTable,
  route: ForwardRoute,
  key: string | undefined,
): AccessOutcome {
  if (table.config.customers === undefined) return { kind: 'anonymous' };
  const customer = key === undefined ? undefined : table.customerOf(key);
  if (customer !== undefined) return { kind: 'customer', customerId: customer.customerId };
  return route.isPublic ? { kind: 'anonymous' } : { kind: 'denied' };
}

/** Picks a service of a route in proportion to the weights; `draw` is a random number in [0, 1). */
export function pickTarget(targets: readonly RouteTarget[], draw: number): ServiceName | undefined {
  const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = draw * totalWeight;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  // Reached if all weights are 0, or if rounding leaves a remainder.
  return targets.find((target) => target.weight > 0)?.service;
}

function hostName(host: string): string {
  return (host.split(':', 1)[0] ?? '').toLowerCase();
}
