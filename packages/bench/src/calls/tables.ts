import { createTableStoreModel } from '@mimosamill/fakes';
import type {
  CommitOutcome,
  TableReadOutcome,
  TableStore,
  Transaction,
} from '@mimosamill/adapters';
import type { TableStoreModel, VirtualProcess, VirtualTime } from '@mimosamill/fakes';

export interface TableFaults {
  readonly isDown: () => boolean;
  readonly isSlow: () => boolean;
  readonly isLosingAnswers: () => boolean;
}

/** Simulated table service that routers reach over a network with delays and faults. */
export interface SimulatedTables {
  readonly clientOf: (router: VirtualProcess) => TableStore;
  /** Rows written by successful commits. */
  readonly writes: () => number;
  readonly commits: () => number;
  readonly reads: () => number;
}

const NETWORK_DELAY_MS = 3;
const MAX_SLOW_DELAY_MS = 4_000;
const MAX_LATE_APPLY_MS = 3_000;

export function createSimulatedTables(
  time: VirtualTime,
  faults: TableFaults,
  random: () => number,
): SimulatedTables {
  const model: TableStoreModel = createTableStoreModel();
  let writes = 0;

  function delayMs(): number {
    return (
      NETWORK_DELAY_MS * (0.5 + random()) + (faults.isSlow() ? random() * MAX_SLOW_DELAY_MS : 0)
    );
  }

  function runAfterDelay<T>(waitMs: number, fn: () => T): Promise<T> {
    return new Promise((resolve) => {
      time.clock.runAfter(waitMs, () => resolve(fn()));
    });
  }

  function apply(transaction: Transaction): CommitOutcome {
    const outcome = model.commit(transaction, time.clock.nowMs());
    if (outcome.kind === 'ok') writes += transaction.writes.length;
    return outcome;
  }

  /** Loses the answer of a commit that is applied at once, applied later, or never applied. */
  function commitWithoutAnswer(transaction: Transaction): CommitOutcome {
    const choice = random();
    if (choice < 0.5) apply(transaction);
    else if (choice < 0.75) {
      time.clock.runAfter(random() * MAX_LATE_APPLY_MS, () => apply(transaction));
    }
    return { kind: 'unknown', message: 'the answer was lost' };
  }

  async function commit(transaction: Transaction): Promise<CommitOutcome> {
    return runAfterDelay(delayMs(), () => {
      if (faults.isDown()) return { kind: 'unavailable', message: 'outage' };
      const isLost = faults.isLosingAnswers() && random() < 0.5;
      return isLost ? commitWithoutAnswer(transaction) : apply(transaction);
    });
  }

  async function read(keys: readonly string[]): Promise<TableReadOutcome> {
    return runAfterDelay(delayMs(), () => {
      if (faults.isDown()) return { kind: 'unavailable', message: 'outage' };
      return { kind: 'ok', rows: model.read(keys, time.clock.nowMs()) };
    });
  }

  return {
    clientOf: (router) => ({
      read: (keys) => router.receiveResult(read(keys)),
      scan: async () => ({ kind: 'unavailable', message: 'table scans are not simulated' }),
      commit: (transaction) => router.receiveResult(commit(transaction)),
    }),
    writes: () => writes,
    commits: () => model.operationCounts().writes,
    reads: () => model.operationCounts().reads,
  };
}
