import { createLease } from '@mimosamill/core';
import type { Clock, JsonValue, TableStore } from '@mimosamill/adapters';
import type { Lease, LeaseAction, LeaseRow } from '@mimosamill/core';

export interface LeaseManagerSettings {
  readonly duty: string;
  readonly holder: string;
  readonly termMs: number;
}

/** Acquires, renews and releases the lease of one duty, which is a row in the tables. */
export interface LeaseManager {
  readonly holder: string;
  /** Runs the table operation that is due, if any; resolves once the operation has ended. */
  readonly poll: () => Promise<void>;
  /** Zero when this process does not hold the lease. */
  readonly remainingMs: () => number;
  /** Time since this process acquired the lease; zero when it does not hold the lease. */
  readonly heldForMs: () => number;
  readonly fencingNumber: () => number;
  /** Whether the previous holder released the lease, after its last order was answered. */
  readonly wasHandedOver: () => boolean;
  /** Stops acquiring and renewing; a later call of `poll` writes the release. */
  readonly stop: () => void;
}

/** Fraction of a term by which two processes' clocks may drift apart. */
const MAX_CLOCK_DRIFT_RATIO = 0.05;

export function createLeaseManager(
  settings: LeaseManagerSettings,
  tables: TableStore,
  clock: Clock,
): LeaseManager {
  const { holder, termMs } = settings;
  const key = `leases/${settings.duty}`;
  const lease: Lease = createLease({ holder, termMs, maxClockDriftRatio: MAX_CLOCK_DRIFT_RATIO });

  async function read(): Promise<void> {
    const outcome = await tables.read([key]);
    if (outcome.kind !== 'ok') {
      lease.onReadFailed(clock.monotonicMs());
      return;
    }
    const row = outcome.rows.find((each) => each.key === key);
    lease.onRead(row?.value as LeaseRow | undefined, row?.version ?? 0, clock.monotonicMs());
  }

  async function write(action: Extract<LeaseAction, { kind: 'write' }>): Promise<void> {
    const { ifVersion } = action;
    const condition =
      ifVersion === undefined
        ? ({ kind: 'absent', key } as const)
        : ({ kind: 'version', key, version: ifVersion } as const);
    const value: JsonValue = { ...action.row };
    const outcome = await tables.commit({
      conditions: [condition],
      writes: [{ kind: 'put', key, value }],
    });
    lease.onWritten(outcome.kind, clock.monotonicMs());
  }

  return {
    holder,
    poll: async () => {
      const action = lease.next(clock.monotonicMs());
      if (action === undefined) return;
      if (action.kind === 'read') await read();
      else await write(action);
    },
    remainingMs: () => lease.remainingMs(clock.monotonicMs()),
    heldForMs: () => {
      const sinceMs = lease.heldSinceMs();
      return sinceMs === undefined ? 0 : clock.monotonicMs() - sinceMs;
    },
    fencingNumber: lease.fencingNumber,
    wasHandedOver: lease.wasHandedOver,
    stop: lease.stop,
  };
}
