import { createFleetRetryBudget } from '@mimosamill/core';
import type { Clock } from '@mimosamill/adapters';
import type {
  FleetRetryBudget,
  FleetSize,
  HostId,
  RetryBudget,
  RetryTotals,
  ServiceName,
} from '@mimosamill/core';

/** Totals of a service, as a router reports them. */
export interface ServiceRetryTotals extends RetryTotals {
  readonly service: ServiceName;
}

export interface RetryBudgetLimits {
  /** Retries that a service may get from all routers: a part of its requests, and a number beside it. */
  readonly ratio: number;
  readonly slack: number;
}

/** The retry budgets of all services, which this router shares with the others. */
export interface RetryBudgets {
  readonly of: (service: ServiceName) => RetryBudget;
  readonly ownTotals: () => readonly ServiceRetryTotals[];
  readonly onPeerTotals: (
    hostId: HostId,
    incarnationId: string,
    totals: readonly ServiceRetryTotals[],
  ) => void;
}

/** Retries are counted over this time. */
const WINDOW_MS = 10_000;

export function createRetryBudgets(
  limits: RetryBudgetLimits,
  clock: Clock,
  random: () => number,
  fleetSize: () => FleetSize,
): RetryBudgets {
  const startedAtMs = clock.monotonicMs();
  const shared = new Map<ServiceName, FleetRetryBudget>();
  const budgets = new Map<ServiceName, RetryBudget>();

  function sharedOf(service: ServiceName): FleetRetryBudget {
    const known = shared.get(service);
    if (known !== undefined) return known;
    const settings = { ...limits, windowMs: WINDOW_MS };
    const created = createFleetRetryBudget(settings, fleetSize, random, startedAtMs);
    shared.set(service, created);
    return created;
  }

  return {
    of: (service) => {
      const known = budgets.get(service);
      if (known !== undefined) return known;
      const budget = sharedOf(service);
      const created: RetryBudget = {
        onRequest: () => budget.onRequest(clock.monotonicMs()),
        tryTake: () => budget.tryTake(clock.monotonicMs()),
        available: () => budget.available(clock.monotonicMs()),
      };
      budgets.set(service, created);
      return created;
    },
    ownTotals: () => [...shared].map(([service, budget]) => ({ service, ...budget.ownTotals() })),
    onPeerTotals: (hostId, incarnationId, totals) => {
      totals.forEach(({ service, ...reported }) => {
        sharedOf(service).onPeerTotals(hostId, incarnationId, reported, clock.monotonicMs());
      });
    },
  };
}
