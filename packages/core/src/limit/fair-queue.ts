import type { RoutePriority } from '../route/types';

/** A request in the queue. */
export interface QueuedRequest<T> {
  readonly customer: string;
  /** Weight of the customer against others. */
  readonly weight: number;
  readonly priority: RoutePriority;
  readonly deadlineAtMs: number;
  /** Estimated time from the start of the request to its end. */
  readonly expectedDurationMs: number;
  /** Estimated work of the request, for example its tokens. */
  readonly cost: number;
  readonly item: T;
}

export type EnqueueOutcome<T> =
  | { readonly kind: 'queued'; readonly displaced: readonly QueuedRequest<T>[] }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number };

export type RefusalReason = 'deadline' | 'customer_queue_full' | 'queue_full';

export interface DequeueResult<T> {
  /** Next request to run; undefined if none is queued. */
  readonly next: QueuedRequest<T> | undefined;
  /** Requests taken out because they can no longer meet their deadline; they have not run. */
  readonly late: readonly QueuedRequest<T>[];
}

export interface FairQueueSettings {
  readonly maxWaiting: number;
  readonly maxWaitingPerCustomer: number;
}

/**
 * Weighted fair queue over customers and, for each customer, over priorities and request lengths. It
 * refuses requests that would miss their deadline.
 */
export interface FairQueue<T> {
  readonly enqueue: (waiting: QueuedRequest<T>, nowMs: number) => EnqueueOutcome<T>;
  readonly dequeue: (nowMs: number) => DequeueResult<T>;
  /** Removes the requests that can no longer meet their deadline. */
  readonly removeLate: (nowMs: number) => readonly QueuedRequest<T>[];
  readonly remove: (item: T) => boolean;
  readonly size: () => number;
  /** Much capacity was lost at once: for a while, the most urgent requests go first. */
  readonly onCapacityLost: (nowMs: number) => void;
  readonly servedCostPerMs: () => number;
}

const PRIORITY_WEIGHTS: Readonly<Record<RoutePriority, number>> = {
  urgent: 8,
  normal: 4,
  batch: 1,
};
const PRIORITY_RANKS: Readonly<Record<RoutePriority, number>> = { urgent: 0, normal: 1, batch: 2 };
/** Requests above this cost are queued in a flow of their own, so that short ones need not wait for them. */
const LONG_REQUEST_COST = 1_000;
/** Factor on expected durations: some requests take longer, and a late answer is wasted work. */
const DURATION_MARGIN_RATIO = 1.05;
/** Most credit that an idle customer can accumulate, as a time of service at its fair rate. */
const MAX_CREDIT_MS = 10_000;
const URGENT_FIRST_MS = 30_000;
/** Period over which the served cost per time is measured. */
const SERVICE_RATE_PERIOD_MS = 250;
const NEWEST_RATE_WEIGHT = 0.3;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;

interface Flow<T> {
  readonly weight: number;
  readonly waiting: QueuedRequest<T>[];
  finishTag: number;
}

interface CustomerFlows<T> {
  weight: number;
  readonly flows: Map<string, Flow<T>>;
  finishTag: number;
  virtualTime: number;
  count: number;
  cost: number;
}

interface QueuePosition<T> {
  readonly customer: CustomerFlows<T>;
  readonly flowName: string;
  readonly at: number;
  readonly waiting: QueuedRequest<T>;
}

export function createFairQueue<T>(settings: FairQueueSettings): FairQueue<T> {
  const customers = new Map<string, CustomerFlows<T>>();
  let virtualTime = 0;
  let size = 0;
  let servedCostPerMs = 0;
  let periodCost = 0;
  let periodStartMs = 0;
  let urgentFirstUntilMs = 0;

  function customerOf(waiting: QueuedRequest<T>): CustomerFlows<T> {
    const known = customers.get(waiting.customer);
    if (known !== undefined) {
      known.weight = waiting.weight;
      return known;
    }
    const created: CustomerFlows<T> = {
      weight: waiting.weight,
      flows: new Map(),
      finishTag: -Infinity,
      virtualTime: 0,
      count: 0,
      cost: 0,
    };
    customers.set(waiting.customer, created);
    return created;
  }

  /** Cost served per millisecond and unit of weight, which is how fast the virtual time advances. */
  function virtualRate(): number {
    let weights = 0;
    customers.forEach((customer) => {
      if (customer.count > 0) weights += customer.weight;
    });
    return weights === 0 ? 0 : servedCostPerMs / weights;
  }

  /** Time until the customer's fair rate covers the cost that it was served and has queued. */
  function expectedWaitMs(customer: CustomerFlows<T> | undefined): number {
    const rate = virtualRate();
    if (rate <= 0 || customer === undefined) return 0;
    const finishTag = customer.finishTag + customer.cost / customer.weight;
    return Math.max(0, finishTag - virtualTime) / rate;
  }

  function refuse(reason: RefusalReason, waitMs: number): EnqueueOutcome<T> {
    const retryAfterMs = Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)));
    return { kind: 'refused', reason, retryAfterMs };
  }

  function addToFlow(waiting: QueuedRequest<T>): void {
    const customer = customerOf(waiting);
    const name = `${waiting.priority}${waiting.cost > LONG_REQUEST_COST ? ' long' : ''}`;
    let flow = customer.flows.get(name);
    if (flow === undefined) {
      const weight = PRIORITY_WEIGHTS[waiting.priority];
      flow = { weight, waiting: [], finishTag: 0 };
      customer.flows.set(name, flow);
    }
    // A customer that used less than its share may send a burst, bounded by the credit.
    if (flow.waiting.length === 0) flow.finishTag = Math.max(flow.finishTag, customer.virtualTime);
    if (customer.count === 0) {
      const credit = MAX_CREDIT_MS * virtualRate();
      customer.finishTag = Math.max(customer.finishTag, virtualTime - credit);
    }
    flow.waiting.push(waiting);
    customer.count += 1;
    customer.cost += waiting.cost;
    size += 1;
  }

  function removeAt(
    customer: CustomerFlows<T>,
    flowName: string,
    at: number,
  ): QueuedRequest<T> | undefined {
    const flow = customer.flows.get(flowName);
    const [waiting] = flow?.waiting.splice(at, 1) ?? [];
    if (flow === undefined || waiting === undefined) return undefined;
    customer.count -= 1;
    customer.cost -= waiting.cost;
    size -= 1;
    return waiting;
  }

  /**
   * Start-time fair queueing: the customer and flow with the smallest start tag, which is the finish tag
   * of their previous request, go first and are charged the request's cost.
   */
  function dequeueFair(nowMs: number): QueuedRequest<T> | undefined {
    const customer = nextCustomer();
    if (customer === undefined) return undefined;
    const flowName = nextFlow(customer);
    const flow = customer.flows.get(flowName);
    const waiting = removeAt(customer, flowName, 0);
    // A late request is not served, so the customer is not charged for it.
    if (waiting === undefined || flow === undefined || isLate(waiting, nowMs)) return waiting;
    virtualTime = Math.max(virtualTime, customer.finishTag);
    customer.finishTag += waiting.cost / customer.weight;
    customer.virtualTime = Math.max(customer.virtualTime, flow.finishTag);
    flow.finishTag += waiting.cost / flow.weight;
    return waiting;
  }

  function nextCustomer(): CustomerFlows<T> | undefined {
    const credit = MAX_CREDIT_MS * virtualRate();
    let next: CustomerFlows<T> | undefined;
    customers.forEach((customer, name) => {
      if (customer.count > 0) {
        if (next === undefined || customer.finishTag < next.finishTag) next = customer;
      } else if (customer.finishTag <= virtualTime - credit) {
        // The customer has the full credit, which is the state of an unknown one.
        customers.delete(name);
      }
    });
    return next;
  }

  /** The most urgent request of all customers: by priority, then by deadline. */
  function dequeueMostUrgent(): QueuedRequest<T> | undefined {
    let mostUrgent: QueuePosition<T> | undefined;
    for (const customer of customers.values()) {
      for (const [flowName, flow] of customer.flows) {
        flow.waiting.forEach((waiting, at) => {
          if (mostUrgent === undefined || isMoreUrgent(waiting, mostUrgent.waiting)) {
            mostUrgent = { customer, flowName, at, waiting };
          }
        });
      }
    }
    return mostUrgent === undefined
      ? undefined
      : removeAt(mostUrgent.customer, mostUrgent.flowName, mostUrgent.at);
  }

  function updateServiceRate(cost: number, nowMs: number): void {
    periodCost += cost;
    const elapsedMs = nowMs - periodStartMs;
    if (elapsedMs < SERVICE_RATE_PERIOD_MS) return;
    const rate = periodCost / elapsedMs;
    const weight = 1 - (1 - NEWEST_RATE_WEIGHT) ** (elapsedMs / SERVICE_RATE_PERIOD_MS);
    servedCostPerMs =
      servedCostPerMs === 0 ? rate : servedCostPerMs + weight * (rate - servedCostPerMs);
    periodCost = 0;
    periodStartMs = nowMs;
  }

  /**
   * Removes a request to make room for the arriving one: the newest of the lowest priority of the customer
   * with the largest queued cost by weight, if that is above the arriving request's customer.
   */
  function displace(arriving: QueuedRequest<T>): QueuedRequest<T> | undefined {
    const ownCost = (customers.get(arriving.customer)?.cost ?? 0) + arriving.cost;
    let largestLoad = ownCost / arriving.weight;
    let largest: CustomerFlows<T> | undefined;
    customers.forEach((customer, name) => {
      const load = customer.cost / customer.weight;
      if (name === arriving.customer || load <= largestLoad) return;
      largestLoad = load;
      largest = customer;
    });
    return largest === undefined ? undefined : removeLeastUrgent(largest);
  }

  function removeLeastUrgent(customer: CustomerFlows<T>): QueuedRequest<T> | undefined {
    let lowest: { name: string; flow: Flow<T> } | undefined;
    for (const [name, flow] of customer.flows) {
      if (flow.waiting.length === 0) continue;
      if (lowest === undefined || flow.weight < lowest.flow.weight) lowest = { name, flow };
    }
    if (lowest === undefined) return undefined;
    return removeAt(customer, lowest.name, lowest.flow.waiting.length - 1);
  }

  return {
    enqueue: (waiting, nowMs) => {
      const customer = customers.get(waiting.customer);
      const waitMs = expectedWaitMs(customer);
      const endAtMs = nowMs + waitMs + waiting.expectedDurationMs * DURATION_MARGIN_RATIO;
      if (endAtMs > waiting.deadlineAtMs) return refuse('deadline', waitMs);
      if ((customer?.count ?? 0) >= settings.maxWaitingPerCustomer) {
        return refuse('customer_queue_full', waitMs);
      }
      if (size < settings.maxWaiting) {
        addToFlow(waiting);
        return { kind: 'queued', displaced: [] };
      }
      const displaced = displace(waiting);
      if (displaced === undefined) return refuse('queue_full', waitMs);
      addToFlow(waiting);
      return { kind: 'queued', displaced: [displaced] };
    },
    dequeue: (nowMs) => {
      const late: QueuedRequest<T>[] = [];
      for (;;) {
        const next = nowMs < urgentFirstUntilMs ? dequeueMostUrgent() : dequeueFair(nowMs);
        if (next === undefined) return { next, late };
        if (!isLate(next, nowMs)) {
          updateServiceRate(next.cost, nowMs);
          return { next, late };
        }
        late.push(next);
      }
    },
    removeLate: (nowMs) => {
      const late: QueuedRequest<T>[] = [];
      customers.forEach((customer) => {
        customer.flows.forEach((flow, flowName) => {
          for (let at = flow.waiting.length - 1; at >= 0; at -= 1) {
            const waiting = flow.waiting[at];
            const isTooLate = waiting !== undefined && isLate(waiting, nowMs);
            const removed = isTooLate ? removeAt(customer, flowName, at) : undefined;
            if (removed !== undefined) late.push(removed);
          }
        });
      });
      return late;
    },
    remove: (item) => {
      for (const customer of customers.values()) {
        for (const [flowName, flow] of customer.flows) {
          const at = flow.waiting.findIndex((waiting) => waiting.item === item);
          if (at >= 0) return removeAt(customer, flowName, at) !== undefined;
        }
      }
      return false;
    },
    size: () => size,
    onCapacityLost: (nowMs) => {
      urgentFirstUntilMs = nowMs + URGENT_FIRST_MS;
    },
    servedCostPerMs: () => servedCostPerMs,
  };
}

function nextFlow<T>(customer: CustomerFlows<T>): string {
  let next = '';
  let nextFinish = Infinity;
  customer.flows.forEach((flow, name) => {
    if (flow.waiting.length === 0) {
      if (flow.finishTag <= customer.virtualTime) customer.flows.delete(name);
      return;
    }
    const isEqual = flow.finishTag === nextFinish && isHeavier(customer, flow, next);
    if (flow.finishTag < nextFinish || isEqual) {
      next = name;
      nextFinish = flow.finishTag;
    }
  });
  return next;
}

function isHeavier<T>(customer: CustomerFlows<T>, flow: Flow<T>, other: string): boolean {
  return flow.weight > (customer.flows.get(other)?.weight ?? 0);
}

function isLate<T>(waiting: QueuedRequest<T>, nowMs: number): boolean {
  return nowMs + waiting.expectedDurationMs * DURATION_MARGIN_RATIO > waiting.deadlineAtMs;
}

function isMoreUrgent<T>(a: QueuedRequest<T>, b: QueuedRequest<T>): boolean {
  const byPriority = PRIORITY_RANKS[a.priority] - PRIORITY_RANKS[b.priority];
  return byPriority < 0 || (byPriority === 0 && a.deadlineAtMs < b.deadlineAtMs);
}
