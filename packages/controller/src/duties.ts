import type { Clock, Log } from '@mimosamill/adapters';
import type { LeaseManager } from './lease/manager';

/** Background work that only the holder of its lease runs, so one host of the fleet at a time. */
export interface Duty {
  readonly name: string;
  readonly lease: LeaseManager;
  /** Runs one round of the work. */
  readonly poll: () => Promise<void>;
}

export interface RunningDuties {
  /** Waits for the current rounds, then releases the leases. */
  readonly stop: () => Promise<void>;
}

const LEASE_POLL_INTERVAL_MS = 250;
const DUTY_POLL_INTERVAL_MS = 1_000;
const LEASE_RELEASE_TIMEOUT_MS = 5_000;

/** Acquires and renews the lease of each duty, and runs the duty while its lease is held. */
export function runDuties(duties: readonly Duty[], clock: Clock, log: Log): RunningDuties {
  let isStopping = false;
  const runningRounds = new Map<string, Promise<void>>();

  /** Starts a round, unless the previous round of the same name is still running. */
  function startRound(name: string, round: () => Promise<void>): void {
    if (runningRounds.has(name)) return;
    const running = round()
      .catch((error: unknown) => {
        log.error('a round of a duty failed; the next round tries again', {
          duty: name,
          message: String(error),
        });
      })
      .finally(() => {
        runningRounds.delete(name);
      });
    runningRounds.set(name, running);
  }

  const cancels = duties.flatMap((duty) => [
    clock.runEvery(LEASE_POLL_INTERVAL_MS, () =>
      startRound(`${duty.name} lease`, () => pollLease(duty, log)),
    ),
    clock.runEvery(DUTY_POLL_INTERVAL_MS, () => {
      if (!isStopping && duty.lease.remainingMs() > 0) startRound(duty.name, duty.poll);
    }),
  ]);

  return {
    stop: async () => {
      isStopping = true;
      // The rounds end before the leases are released, because the next holder takes a released lease
      // to mean that no order is in flight.
      await Promise.all(duties.map((duty) => runningRounds.get(duty.name)));
      duties.forEach((duty) => duty.lease.stop());
      const endMs = clock.monotonicMs() + LEASE_RELEASE_TIMEOUT_MS;
      const isHeld = (): boolean => duties.some((duty) => duty.lease.remainingMs() > 0);
      while (isHeld() && clock.monotonicMs() < endMs) {
        await new Promise<void>((resolve) => {
          clock.runAfter(LEASE_POLL_INTERVAL_MS, resolve);
        });
      }
      cancels.forEach((cancel) => cancel());
      await Promise.all(runningRounds.values());
    },
  };
}

async function pollLease(duty: Duty, log: Log): Promise<void> {
  const wasHeld = duty.lease.remainingMs() > 0;
  await duty.lease.poll();
  const isHeld = duty.lease.remainingMs() > 0;
  if (wasHeld === isHeld) return;
  const message = isHeld ? 'the lease was acquired' : 'the lease was released or lost';
  log.info(message, { duty: duty.name, fencingNumber: duty.lease.fencingNumber() });
}
