/** What the holder of the orders lease knows of one engine. */
export interface ObservedEngine {
  /** Wanted target as canonical text; undefined when nothing is wanted of the engine. */
  readonly wantedTarget: string | undefined;
  /** Target read back from the engine; undefined while it has not been read. */
  readonly actualTarget: string | undefined;
  readonly highestFencingNumber: number;
  /** Whether the engine refuses orders whose fencing number is lower than one it has seen. */
  readonly fencing: 'enforced' | 'ignored';
}

export interface HeldOrdersLease {
  readonly fencingNumber: number;
  readonly remainingMs: number;
  /** Time since the lease was acquired. */
  readonly heldForMs: number;
  /** The previous holder released the lease after its last order was answered. */
  readonly wasHandedOver: boolean;
}

export interface OrderLimits {
  /** An order's connection is closed after this time. */
  readonly orderTimeoutMs: number;
  /** Longest time an order may still take effect after its connection was closed. */
  readonly lingerMs: number;
}

export type OrderDecision =
  | { readonly kind: 'send'; readonly fencingNumber: number }
  | { readonly kind: 'wait'; readonly reason: 'takeover' | 'lease_short' | 'not_read' }
  | { readonly kind: 'none' };

/** Part of the remaining lease that is not used, against clocks that run apart. */
const LEASE_RESERVE_RATIO = 0.05;

/** Whether to send an engine its wanted target now. */
export function decideOrder(
  engine: ObservedEngine,
  holder: HeldOrdersLease,
  limits: OrderLimits,
): OrderDecision {
  if (engine.wantedTarget === undefined) return { kind: 'none' };
  if (engine.actualTarget === undefined) return { kind: 'wait', reason: 'not_read' };
  // An engine that checks numbers keeps this target against older holders only once it has seen ours.
  const isFenced =
    engine.fencing === 'ignored' || engine.highestFencingNumber >= holder.fencingNumber;
  if (engine.actualTarget === engine.wantedTarget && isFenced) return { kind: 'none' };
  const usableMs = holder.remainingMs * (1 - LEASE_RESERVE_RATIO);
  if (usableMs < limits.orderTimeoutMs) return { kind: 'wait', reason: 'lease_short' };
  const inFlightMs = limits.orderTimeoutMs + limits.lingerMs;
  const mustWaitOut = engine.fencing === 'ignored' && !holder.wasHandedOver;
  if (mustWaitOut && holder.heldForMs < inFlightMs) return { kind: 'wait', reason: 'takeover' };
  return { kind: 'send', fencingNumber: holder.fencingNumber };
}
