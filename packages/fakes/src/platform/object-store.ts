import type { Clock, ObjectStore } from '@mimosamill/adapters';
import type { StoreFaults } from './faults';

/** In-process object store. Its faults are read anew for every operation. */
export function createFakeObjectStore(
  clock: Clock,
  faults: () => StoreFaults,
  random: () => number,
): ObjectStore {
  const bodies = new Map<string, string>();
  const outage = { kind: 'unavailable', message: 'outage' } as const;
  const sleep = (delayMs: number): Promise<void> =>
    delayMs === 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.runAfter(delayMs, resolve);
        });

  return {
    put: async (name, body) => {
      await sleep(faults().delayMs);
      if (faults().isDown) return outage;
      bodies.set(name, body);
      const isAnswerLost = random() < faults().lostAnswerRatio;
      return isAnswerLost
        ? { kind: 'unknown', message: 'answer lost after the write took effect' }
        : { kind: 'ok' };
    },
    get: async (name) => {
      await sleep(faults().delayMs);
      if (faults().isDown) return outage;
      const body = bodies.get(name);
      return body === undefined ? { kind: 'absent' } : { kind: 'ok', body };
    },
    list: async (prefix) => {
      await sleep(faults().delayMs);
      if (faults().isDown) return outage;
      const names = [...bodies.keys()].filter((name) => name.startsWith(prefix)).sort();
      return { kind: 'ok', names };
    },
  };
}
