import type { MoveId, ServiceName, VersionName } from '../ids';

/** A version that was found bad. Never undone: a corrected version gets another name. */
export interface Withdrawal {
  readonly moveId: MoveId;
  readonly service: ServiceName;
  readonly version: VersionName;
  /** Version that receives the traffic instead. */
  readonly fallback: VersionName;
  /** Signal that decided, for operators. */
  readonly reason: string;
}

/** A set that only grows, so copies can be merged in any order and any number of times. */
export interface Withdrawals {
  /** False if the version was withdrawn already. */
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
