import type { MoveId, ServiceName, VersionName } from '../ids';

/** A version that was found faulty. Never undone: a corrected version gets another name. */
export interface Withdrawal {
  readonly moveId: MoveId;
  readonly service: ServiceName;
  readonly version: VersionName;
  /** Version that receives the traffic instead. */
  readonly fallback: VersionName;
  /** The signal that decided, as text for operators. */
  readonly reason: string;
}

/** A grow-only set, so copies can be merged in any order and any number of times. */
export interface Withdrawals {
  /** Returns false if the version was already withdrawn. */
  readonly add: (item: Withdrawal) => boolean;
  readonly find: (service: ServiceName, version: VersionName) => Withdrawal | undefined;
  readonly list: () => readonly Withdrawal[];
}

export function createWithdrawals(): Withdrawals {
  const items = new Map<string, Withdrawal>();
  const keyOf = (service: string, version: string): string => `${service}\u0000${version}`;
  return {
    add: (item) => {
      const key = keyOf(item.service, item.version);
      if (items.has(key)) return false;
      items.set(key, item);
      return true;
    },
    find: (service, version) => items.get(keyOf(service, version)),
    list: () => [...items.values()],
  };
}
