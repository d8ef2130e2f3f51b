import type { Clock, CommitOutcome, TableStore } from '@mimosamill/adapters';
import type { StoreFaults } from './faults';
import type { TableStoreModel } from './model';

/** In-process table store. Its faults are read anew for every operation. */
export function createFakeTableStore(
  model: TableStoreModel,
  clock: Clock,
  faults: () => StoreFaults,
  random: () => number,
): TableStore {
  const sleep = (delayMs: number): Promise<void> =>
    delayMs === 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.runAfter(delayMs, resolve);
        });

  async function commit(transaction: Parameters<TableStore['commit']>[0]): Promise<CommitOutcome> {
    await sleep(faults().delayMs);
    if (faults().isDown) return { kind: 'unavailable', message: 'outage' };
    const outcome = model.commit(transaction, clock.nowMs());
    const isAnswerLost = random() < faults().lostAnswerRatio;
    return isAnswerLost
      ? { kind: 'unknown', message: 'answer lost after the write took effect' }
      : outcome;
  }

  return {
    read: async (keys) => {
      await sleep(faults().delayMs);
      if (faults().isDown) return { kind: 'unavailable', message: 'outage' };
      return { kind: 'ok', rows: model.read(keys, clock.nowMs()) };
    },
    scan: async (prefix, afterKey, limit) => {
      await sleep(faults().delayMs);
      if (faults().isDown) return { kind: 'unavailable', message: 'outage' };
      return { kind: 'ok', rows: model.scan(prefix, afterKey, limit, clock.nowMs()) };
    },
    commit,
  };
}
