/** A booking as the service stores it. */
export interface StoredRun {
  readonly key: string;
  readonly operation: string;
  readonly body: string;
  readonly runs: number;
  readonly answer: string;
}

export type RunOutcome =
  | { readonly kind: 'ok'; readonly body: string }
  | { readonly kind: 'refused'; readonly code: 'leaving' | 'overloaded' };

/** A plain service that does whatever it is told, as often as it is told. */
export interface ServiceModel {
  readonly run: (operation: string, key: string, body: string) => RunOutcome;
  readonly find: (key: string) => StoredRun | undefined;
  readonly runs: () => readonly StoredRun[];
  readonly leave: () => void;
  readonly isLeaving: () => boolean;
}

/** The runs may be shared between servers of one service. */
export function createServiceModel(stored = new Map<string, StoredRun>()): ServiceModel {
  let isLeaving = false;
  let unkeyed = 0;
  return {
    run: (operation, key, body) => {
      if (isLeaving) return { kind: 'refused', code: 'leaving' };
      unkeyed += key === '' ? 1 : 0;
      const storedKey = key === '' ? `unkeyed-${unkeyed}` : key;
      const runs = (stored.get(storedKey)?.runs ?? 0) + 1;
      const answer = JSON.stringify({
        operation,
        key,
        run: runs,
        echo: JSON.parse(body) as unknown,
      });
      stored.set(storedKey, { key: storedKey, operation, body, runs, answer });
      return { kind: 'ok', body: answer };
    },
    find: (key) => stored.get(key),
    runs: () => [...stored.values()],
    leave: () => {
      isLeaving = true;
    },
    isLeaving: () => isLeaving,
  };
}
