import type { Clock, ObjectStore } from '@mimosamill/adapters';
import type { StoreFaults } from './faults';

/** In-process object store with faults that can be changed while it is used. */
export function createFakeObjectStore(
  clock: Clock,
  faults: () => StoreFaults,
  random: () => number,
): ObjectStore {
  const bodies = new Map<string, string>();
  const outage = { kind: 'unavailable', message: 'outage' } as const;
  const wait = (delayMs: number): Promise<void> =>
    delayMs === 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.runAfter(delayMs, resolve);
        });

  return {
    put: async (name, body) => {
      await wait(faults().delayMs);
      if (faults().isDown) return outage;
      bodies.set(name, body);
      const isLost = random() < faults().lostAnswerRatio;
      return isLost ? { kind: 'unknown', message: 'the answer was lost' } : { kind: 'ok' };
    },
    get: async (name) => {
      await wait(faults().delayMs);
      if (faults().isDown) return outage;
      const body = bodies.get(name);
      return body === undefined ? { kind: 'absent' } : { kind: 'ok', body };
    },
    list: async (prefix) => {
      await wait(faults().delayMs);
      if (faults().isDown) return outage;
      const names = [...bodies.keys()].filter((name) => name.startsWith(prefix)).sort();
      return { kind: 'ok', names };
    },
  };
}
