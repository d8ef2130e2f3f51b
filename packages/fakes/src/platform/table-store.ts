import type { Clock, CommitOutcome, TableStore } from '@mimosamill/adapters';
import type { StoreFaults } from './faults';
import type { TableStoreModel } from './model';

/** In-process table service with faults that can be changed while it is used. */
export function createFakeTableStore(
  model: TableStoreModel,
  clock: Clock,
  faults: () => StoreFaults,
  random: () => number,
): TableStore {
  const wait = (delayMs: number): Promise<void> =>
    delayMs === 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.runAfter(delayMs, resolve);
        });

  async function commit(transaction: Parameters<TableStore['commit']>[0]): Promise<CommitOutcome> {
    await wait(faults().delayMs);
    if (faults().isDown) return { kind: 'unavailable', message: 'outage' };
    const outcome = model.commit(transaction, clock.nowMs());
    const isLost = random() < faults().lostAnswerRatio;
    return isLost ? { kind: 'unknown', message: 'the answer was lost' } : outcome;
  }

  return {
    read: async (keys) => {
      await wait(faults().delayMs);
      if (faults().isDown) return { kind: 'unavailable', message: 'outage' };
      return { kind: 'ok', rows: model.read(keys, clock.nowMs()) };
    },
    scan: async (prefix, afterKey, limit) => {
      await wait(faults().delayMs);
      if (faults().isDown) return { kind: 'unavailable', message: 'outage' };
      return { kind: 'ok', rows: model.scan(prefix, afterKey, limit, clock.nowMs()) };
    },
    commit,
  };
}
