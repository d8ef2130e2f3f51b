import type { Clock, Log } from '@mimosamill/adapters';
import type { LeaseManager } from './lease/manager';

/** A duty that one host of the fleet carries out at a time. */
export interface Duty {
  readonly name: string;
  readonly lease: LeaseManager;
  readonly poll: () => Promise<void>;
}

export interface RunningDuties {
  /** Finishes the current round and releases the leases. */
  readonly stop: () => Promise<void>;
}

const LEASE_POLL_INTERVAL_MS = 250;
const DUTY_POLL_INTERVAL_MS = 1_000;
const LEASE_RELEASE_TIMEOUT_MS = 5_000;

/** Keeps each duty's lease and runs the duty while the lease is held. */
export function runDuties(duties: readonly Duty[], clock: Clock, log: Log): RunningDuties {
  let isStopping = false;
  const runningRounds = new Map<string, Promise<void>>();

  /** At most one round of a kind runs at a time. */
  function startRound(name: string, round: () => Promise<void>): void {
    if (runningRounds.has(name)) return;
    const running = round()
      .catch((error: unknown) => {
        log.error('a round of a duty failed', { duty: name, message: String(error) });
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
      // A released lease promises that no order is in flight.
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
  const message = isHeld ? 'the lease was acquired' : 'the lease was given up or lost';
  log.info(message, { duty: duty.name, fencingNumber: duty.lease.fencingNumber() });
}
