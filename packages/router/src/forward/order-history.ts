import type { ServiceName, VersionOrder } from '@mimosamill/core';

/** Knows which orders were given before, so that one that only a restored copy shows is not carried out again. */
export interface OrderHistory {
  /** `isCopy` tells that the store has just been restored from an older copy, which shows the order. */
  readonly isNew: (order: VersionOrder, isCopy: boolean) => boolean;
}

interface ServiceOrders {
  current: string;
  readonly earlier: Set<string>;
  /** Version of an earlier order that the copy shows; ignored until the operator writes another order. */
  shownAgain: string | undefined;
}

export function createOrderHistory(): OrderHistory {
  const byService = new Map<ServiceName, ServiceOrders>();

  return {
    isNew: ({ service, version }, isCopy) => {
      const orders = byService.get(service);
      if (orders === undefined) {
        byService.set(service, { current: version, earlier: new Set(), shownAgain: undefined });
        return true;
      }
      if (isCopy && version !== orders.current && orders.earlier.has(version)) {
        orders.shownAgain = version;
      }
      if (version === orders.shownAgain) return false;
      orders.shownAgain = undefined;
      if (version === orders.current) return false;
      orders.earlier.add(orders.current);
      orders.current = version;
      return true;
    },
  };
}
