/** What the holder of the orders lease knows of one engine that it sends orders to. */
export interface ObservedEngine {
  /** Target that the engine should have, as canonical text; undefined if it should have none. */
  readonly wantedTarget: string | undefined;
  /** Target last read from the engine; undefined before the first read. */
  readonly actualTarget: string | undefined;
  readonly highestFencingNumber: number;
  /** Whether the engine refuses orders with a lower fencing number than the highest it has seen. */
  readonly fencing: 'enforced' | 'ignored';
}

export interface HeldOrdersLease {
  readonly fencingNumber: number;
  readonly remainingMs: number;
  /** Time since the lease was acquired. */
  readonly heldForMs: number;
  /** Whether the previous holder released the lease after its last order was answered. */
  readonly wasHandedOver: boolean;
}

export interface OrderLimits {
  /** Time after which an unanswered order's connection is closed. */
  readonly orderTimeoutMs: number;
  /** Longest time after which an order can still take effect once its connection is closed. */
  readonly lingerMs: number;
}

export type OrderDecision =
  | { readonly kind: 'send'; readonly fencingNumber: number }
  | { readonly kind: 'wait'; readonly reason: 'takeover' | 'lease_short' | 'not_read' }
  | { readonly kind: 'none' };

/** Fraction of the remaining lease time left unused, in case clocks run at different speeds. */
const LEASE_RESERVE_RATIO = 0.05;

/** Decides whether to send an engine its wanted target now. */
export function decideOrder(
  engine: ObservedEngine,
  lease: HeldOrdersLease,
  limits: OrderLimits,
): OrderDecision {
  if (engine.wantedTarget === undefined) return { kind: 'none' };
  if (engine.actualTarget === undefined) return { kind: 'wait', reason: 'not_read' };
  // An engine that checks fencing numbers refuses older holders only after it has seen this one's.
  const isFenced =
    engine.fencing === 'ignored' || engine.highestFencingNumber >= lease.fencingNumber;
  if (engine.actualTarget === engine.wantedTarget && isFenced) return { kind: 'none' };
  const usableMs = lease.remainingMs * (1 - LEASE_RESERVE_RATIO);
  if (usableMs < limits.orderTimeoutMs) return { kind: 'wait', reason: 'lease_short' };
  const inFlightMs = limits.orderTimeoutMs + limits.lingerMs;
  const mayOverlap = engine.fencing === 'ignored' && !lease.wasHandedOver;
  if (mayOverlap && lease.heldForMs < inFlightMs) return { kind: 'wait', reason: 'takeover' };
  return { kind: 'send', fencingNumber: lease.fencingNumber };
}
