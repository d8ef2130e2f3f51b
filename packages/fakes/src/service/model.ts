/** The stored result of all executions under one idempotency key. */
export interface StoredRun {
  readonly key: string;
  readonly operation: string;
  readonly body: string;
  /** Number of executions; more than one means that the operation was repeated. */
  readonly runs: number;
  readonly answer: string;
}

export type RunOutcome =
  | { readonly kind: 'ok'; readonly body: string }
  | { readonly kind: 'refused'; readonly code: 'leaving' | 'overloaded' };

/**
 * A plain service that executes every call, without deduplication by idempotency key, so that
 * repeated executions show in `runs`.
 */
export interface ServiceModel {
  readonly run: (operation: string, key: string, body: string) => RunOutcome;
  readonly find: (key: string) => StoredRun | undefined;
  readonly runs: () => readonly StoredRun[];
  readonly leave: () => void;
  readonly isLeaving: () => boolean;
}

/** Servers of one service may share the map of stored runs. */
export function createServiceModel(runsByKey = new Map<string, StoredRun>()): ServiceModel {
  let isLeaving = false;
  let unkeyedCount = 0;
  return {
    run: (operation, key, body) => {
      if (isLeaving) return { kind: 'refused', code: 'leaving' };
      unkeyedCount += key === '' ? 1 : 0;
      const storedKey = key === '' ? `unkeyed-${unkeyedCount}` : key;
      const runs = (runsByKey.get(storedKey)?.runs ?? 0) + 1;
      const answer = JSON.stringify({
        operation,
        key,
        run: runs,
        echo: JSON.parse(body) as unknown,
      });
      runsByKey.set(storedKey, { key: storedKey, operation, body, runs, answer });
      return { kind: 'ok', body: answer };
    },
    find: (key) => runsByKey.get(key),
    runs: () => [...runsByKey.values()],
    leave: () => {
      isLeaving = true;
    },
    isLeaving: () => isLeaving,
  };
}
