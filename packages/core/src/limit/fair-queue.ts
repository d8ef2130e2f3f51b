import type { RoutePriority } from '../route/types';

/** A request that waits for its turn. */
export interface QueuedRequest<T> {
  readonly customer: string;
  /** Weight of the customer against others. */
  readonly weight: number;
  readonly priority: RoutePriority;
  readonly deadlineAtMs: number;
  /** Time from start to end, as far as it can be told. */
  readonly expectedDurationMs: number;
  /** Work that the request causes, for instance tokens. */
  readonly cost: number;
  readonly item: T;
}

export type EnqueueOutcome<T> =
  | { readonly kind: 'queued'; readonly displaced: readonly QueuedRequest<T>[] }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number };

export type RefusalReason = 'deadline' | 'customer_queue_full' | 'queue_full';

export interface DequeueResult<T> {
  /** Next request to run; undefined if none waits. */
  readonly next: QueuedRequest<T> | undefined;
  /** Requests that can no longer meet their deadline; they have not run. */
  readonly late: readonly QueuedRequest<T>[];
}

export interface FairQueueSettings {
  readonly maxWaiting: number;
  readonly maxWaitingPerCustomer: number;
}

/** Weighted fair queue by customer, then by priority and length, with admission by deadline. */
export interface FairQueue<T> {
  readonly enqueue: (waiting: QueuedRequest<T>, nowMs: number) => EnqueueOutcome<T>;
  readonly dequeue: (nowMs: number) => DequeueResult<T>;
  /** Removes the requests that can no longer meet their deadline. */
  readonly removeLate: (nowMs: number) => readonly QueuedRequest<T>[];
  readonly remove: (item: T) => boolean;
  readonly size: () => number;
  /** Much capacity was lost at once: the most urgent go first for a while. */
  readonly onCapacityLost: (nowMs: number) => void;
  readonly servedCostPerMs: () => number;
}

const PRIORITY_WEIGHTS: Readonly<Record<RoutePriority, number>> = {
  urgent: 8,
  normal: 4,
  batch: 1,
};
const PRIORITY_RANKS: Readonly<Record<RoutePriority, number>> = { urgent: 0, normal: 1, batch: 2 };
/** Requests above this cost wait in a flow of their own, so that they hold up no short ones. */
const LONG_REQUEST_COST = 1_000;
/** The estimate of the time to run is exceeded by some; a late answer is wasted work. */
const DURATION_MARGIN_RATIO = 1.05;
/** Service that a customer may have saved up, in time at its fair rate. */
const MAX_CREDIT_MS = 10_000;
const URGENT_FIRST_MS = 30_000;
/** The rate of service is measured over periods of this length. */
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
  let drainPerMs = 0;
  let drainedCost = 0;
  let drainSinceMs = 0;
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

  /** Virtual time per millisecond: the service that one unit of weight gets. */
  function virtualRate(): number {
    let weights = 0;
    customers.forEach((customer) => {
      if (customer.count > 0) weights += customer.weight;
    });
    return weights === 0 ? 0 : drainPerMs / weights;
  }

  /** Time until what the customer was served and what it has waiting is paid off. */
  function expectedWaitMs(customer: CustomerFlows<T> | undefined): number {
    const rate = virtualRate();
    if (rate <= 0 || customer === undefined) return 0;
    const tag = customer.finishTag + customer.cost / customer.weight;
    return Math.max(0, tag - virtualTime) / rate;
  }

  function refuse(reason: RefusalReason, waitMs: number): EnqueueOutcome<T> {
    const retryAfterMs = Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)));
    return { kind: 'refused', reason, retryAfterMs };
  }

  function push(waiting: QueuedRequest<T>): void {
    const customer = customerOf(waiting);
    const name = `${waiting.priority}${waiting.cost > LONG_REQUEST_COST ? ' long' : ''}`;
    let flow = customer.flows.get(name);
    if (flow === undefined) {
      const weight = PRIORITY_WEIGHTS[waiting.priority];
      flow = { weight, waiting: [], finishTag: 0 };
      customer.flows.set(name, flow);
    }
    // A customer below its share may have a burst at once; a longer idle time earns no more.
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

  function take(
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

  /** Start-time fair queueing: the smallest start tag goes first and is charged its cost. */
  function takeFair(nowMs: number): QueuedRequest<T> | undefined {
    const customer = nextCustomer();
    if (customer === undefined) return undefined;
    const flowName = nextFlow(customer);
    const flow = customer.flows.get(flowName);
    const waiting = take(customer, flowName, 0);
    // What is too late gets no service and costs the customer nothing.
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
        // Its credit is complete, so nothing has to be remembered.
        customers.delete(name);
      }
    });
    return next;
  }

  /** After a loss of capacity: by priority, then by deadline, whoever the customer is. */
  function takeMostUrgent(): QueuedRequest<T> | undefined {
    let best: QueuePosition<T> | undefined;
    for (const customer of customers.values()) {
      for (const [flowName, flow] of customer.flows) {
        flow.waiting.forEach((waiting, at) => {
          if (best === undefined || isMoreUrgent(waiting, best.waiting)) {
            best = { customer, flowName, at, waiting };
          }
        });
      }
    }
    return best === undefined ? undefined : take(best.customer, best.flowName, best.at);
  }

  function learnDrain(cost: number, nowMs: number): void {
    drainedCost += cost;
    const elapsedMs = nowMs - drainSinceMs;
    if (elapsedMs < SERVICE_RATE_PERIOD_MS) return;
    const rate = drainedCost / elapsedMs;
    const weight = 1 - (1 - NEWEST_RATE_WEIGHT) ** (elapsedMs / SERVICE_RATE_PERIOD_MS);
    drainPerMs = drainPerMs === 0 ? rate : drainPerMs + weight * (rate - drainPerMs);
    drainedCost = 0;
    drainSinceMs = nowMs;
  }

  /** Makes room by refusing the newest and least urgent of the customer that is most over its part. */
  function displace(arriving: QueuedRequest<T>): QueuedRequest<T> | undefined {
    const ownCost = (customers.get(arriving.customer)?.cost ?? 0) + arriving.cost;
    let most = ownCost / arriving.weight;
    let largest: CustomerFlows<T> | undefined;
    customers.forEach((customer, name) => {
      const load = customer.cost / customer.weight;
      if (name === arriving.customer || load <= most) return;
      most = load;
      largest = customer;
    });
    return largest === undefined ? undefined : takeLeastUrgent(largest);
  }

  function takeLeastUrgent(customer: CustomerFlows<T>): QueuedRequest<T> | undefined {
    let least: { name: string; flow: Flow<T> } | undefined;
    for (const [name, flow] of customer.flows) {
      if (flow.waiting.length === 0) continue;
      if (least === undefined || flow.weight < least.flow.weight) least = { name, flow };
    }
    if (least === undefined) return undefined;
    return take(customer, least.name, least.flow.waiting.length - 1);
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
        push(waiting);
        return { kind: 'queued', displaced: [] };
      }
      const displaced = displace(waiting);
      if (displaced === undefined) return refuse('queue_full', waitMs);
      push(waiting);
      return { kind: 'queued', displaced: [displaced] };
    },
    dequeue: (nowMs) => {
      const late: QueuedRequest<T>[] = [];
      for (;;) {
        const next = nowMs < urgentFirstUntilMs ? takeMostUrgent() : takeFair(nowMs);
        if (next === undefined) return { next, late };
        if (!isLate(next, nowMs)) {
          learnDrain(next.cost, nowMs);
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
            const hasPassed = waiting !== undefined && isLate(waiting, nowMs);
            const taken = hasPassed ? take(customer, flowName, at) : undefined;
            if (taken !== undefined) late.push(taken);
          }
        });
      });
      return late;
    },
    remove: (item) => {
      for (const customer of customers.values()) {
        for (const [flowName, flow] of customer.flows) {
          const at = flow.waiting.findIndex((waiting) => waiting.item === item);
          if (at >= 0) return take(customer, flowName, at) !== undefined;
        }
      }
      return false;
    },
    size: () => size,
    onCapacityLost: (nowMs) => {
      urgentFirstUntilMs = nowMs + URGENT_FIRST_MS;
    },
    servedCostPerMs: () => drainPerMs,
  };
}

function nextFlow<T>(customer: CustomerFlows<T>): string {
  let best = '';
  let bestTag = Infinity;
  customer.flows.forEach((flow, name) => {
    if (flow.waiting.length === 0) {
      if (flow.finishTag <= customer.virtualTime) customer.flows.delete(name);
      return;
    }
    const isEqual = flow.finishTag === bestTag && isHeavier(customer, flow, best);
    if (flow.finishTag < bestTag || isEqual) {
      best = name;
      bestTag = flow.finishTag;
    }
  });
  return best;
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
