import type { ServiceName } from '../ids';
import type { ForwardConfig, ForwardRoute } from './types';

/** Place of a stream among the priorities that the configuration gives to streams of its service. */
export interface PriorityClass {
  /** 0 for the most urgent streams. */
  readonly level: number;
  /** Number of different priorities; at least 2. */
  readonly levels: number;
  /** Shortest target of the service's streams for the time to the first event. */
  readonly shortestTargetMs: number;
}

/** Class of a stream; undefined if the configuration does not order the streams of the service. */
export type PriorityClasses = (
  route: ForwardRoute,
  service: ServiceName,
  key: string | undefined,
) => PriorityClass | undefined;

/** Higher numbers are taken for mistakes, since they order nothing that lower ones can't. */
const PRIORITY_MAX = 9;

interface ServiceOrder {
  readonly priorities: readonly number[];
  readonly shortestTargetMs: number;
}

/**
 * Orders the streams of each service by the priorities of customers and routes; a customer's takes
 * precedence. A service whose streams all have one priority, or a route with an invalid one, is not
 * ordered. An invalid priority of a customer is ignored.
 */
export function createPriorityClasses(config: ForwardConfig): PriorityClasses {
  const customerPriorities = new Map<string, number>();
  config.customers?.forEach(({ keys, priority }) => {
    if (priority === undefined || !isValid(priority)) return;
    keys.forEach((key) => customerPriorities.set(key, priority));
  });
  const orders = new Map<ServiceName, ServiceOrder | undefined>();

  function orderOf(service: ServiceName): ServiceOrder | undefined {
    const known = orders.get(service);
    if (known !== undefined || orders.has(service)) return known;
    const order = createOrder(config, service, [...customerPriorities.values()]);
    orders.set(service, order);
    return order;
  }

  return (route, service, key) => {
    const order = route.kind === 'stream' ? orderOf(service) : undefined;
    if (order === undefined) return undefined;
    const own = key === undefined ? undefined : customerPriorities.get(key);
    const level = order.priorities.indexOf(own ?? route.priority);
    const { shortestTargetMs, priorities } = order;
    return level < 0 ? undefined : { level, levels: priorities.length, shortestTargetMs };
  };
}

function createOrder(
  { routes }: ForwardConfig,
  service: ServiceName,
  customerPriorities: readonly number[],
): ServiceOrder | undefined {
  const streams = routes.filter(
    ({ kind, targets }) =>
      kind === 'stream' && targets.some((target) => target.service === service),
  );
  const routePriorities = streams.map(({ priority }) => priority);
  if (!routePriorities.every(isValid)) return undefined;
  const priorities = [...new Set([...routePriorities, ...customerPriorities])].sort(
    (a, b) => a - b,
  );
  if (priorities.length < 2) return undefined;
  const shortestTargetMs = Math.min(...streams.map(({ targetMs }) => targetMs));
  return { priorities, shortestTargetMs };
}

function isValid(priority: number): boolean {
  return Number.isInteger(priority) && priority >= 0 && priority <= PRIORITY_MAX;
}
