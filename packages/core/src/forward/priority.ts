import type { ServiceName } from '../ids';
import type { ForwardConfig, ForwardRoute } from './types';

/** Place of a stream among the priorities that the configuration gives to streams of its service. */
export interface PriorityClass {
  /** 0 for the most urgent streams. */
  readonly level: number;
  /** Number of different priorities; at least 2. */
  readonly levels: number;
}

/** Class of a stream; undefined if the configuration does not order the streams of the service. */
export type PriorityClasses = (
  route: ForwardRoute,
  service: ServiceName,
  key: string | undefined,
) => PriorityClass | undefined;

/** Higher numbers are taken for mistakes, since they order nothing that lower ones can't. */
const PRIORITY_MAX = 9;

/**
 * Orders the streams of a service whose routes differ in priority. The priority of the customer
 * takes precedence; among streams of equal customers, and those of customers without a priority,
 * that of the route decides. A service whose stream routes have one priority, or an invalid one, is
 * not ordered. An invalid priority of a customer is ignored.
 */
export function createPriorityClasses(config: ForwardConfig): PriorityClasses {
  const customerPriorities = new Map<string, number>();
  config.customers?.forEach(({ keys, priority }) => {
    if (priority === undefined || !isValid(priority)) return;
    keys.forEach((key) => customerPriorities.set(key, priority));
  });
  const orders = new Map<ServiceName, readonly number[] | undefined>();

  function orderOf(service: ServiceName): readonly number[] | undefined {
    if (orders.has(service)) return orders.get(service);
    const order = ranksOf(config, service, [...customerPriorities.values()]);
    orders.set(service, order);
    return order;
  }

  return (route, service, key) => {
    const order = route.kind === 'stream' ? orderOf(service) : undefined;
    if (order === undefined) return undefined;
    const customerPriority = key === undefined ? undefined : customerPriorities.get(key);
    const level = order.indexOf(rankOf(customerPriority, route.priority));
    return level < 0 ? undefined : { level, levels: order.length };
  };
}

/** The ranks that streams of a service can have, the most urgent first. */
function ranksOf(
  { routes, customers }: ForwardConfig,
  service: ServiceName,
  customerPriorities: readonly number[],
): readonly number[] | undefined {
  const streams = routes.filter(
    ({ kind, targets }) =>
      kind === 'stream' && targets.some((target) => target.service === service),
  );
  const routePriorities = new Set(streams.map(({ priority }) => priority));
  if (routePriorities.size < 2 || ![...routePriorities].every(isValid)) return undefined;
  const hasOthers =
    customers === undefined ||
    streams.some(({ isPublic }) => isPublic) ||
    customers.some(({ priority }) => priority === undefined || !isValid(priority));
  const choices = [...customerPriorities, ...(hasOthers ? [undefined] : [])];
  const ranks = [...routePriorities].flatMap((route) =>
    choices.map((customer) => rankOf(customer, route)),
  );
  return [...new Set(ranks)].sort((a, b) => a - b);
}

/** Compares by the customer's priority first, then by the route's. */
function rankOf(customerPriority: number | undefined, routePriority: number): number {
  return (customerPriority ?? routePriority) * (PRIORITY_MAX + 1) + routePriority;
}

function isValid(priority: number): boolean {
  return Number.isInteger(priority) && priority >= 0 && priority <= PRIORITY_MAX;
}
