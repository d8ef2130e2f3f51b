import type { RelayResponse } from './relay';
import type { TableChange } from './table-watch';

/** A replica of a table that can list the changes since an earlier revision. */
export interface TableReplica<T> {
  readonly rows: ReadonlyMap<string, T>;
  readonly revision: () => number;
  /** Applies changes up to a revision; false if the replica already has that revision. */
  readonly apply: (changes: readonly TableChange<T>[], revision: number) => boolean;
  readonly replace: (changes: readonly TableChange<T>[], revision: number) => boolean;
  readonly changesSince: (
    revision: number,
  ) => Pick<RelayResponse, 'changes' | 'isAll' | 'revision'>;
}

interface ReplicaEntry<T> {
  readonly value: T | undefined;
  /** Revision of the replica at which the row last changed. */
  readonly revision: number;
}

/** Removed rows that are remembered; readers that are further behind get the whole table. */
const TOMBSTONES_MAX = 500;

export function createTableReplica<T>(): TableReplica<T> {
  const entries = new Map<string, ReplicaEntry<T>>();
  const rows = new Map<string, T>();
  let revision = -1;
  /** Removals up to this revision may be forgotten, so readers at an earlier one get the whole table. */
  let historyStart = -1;

  function setEntry(key: string, value: T | undefined, at: number): void {
    entries.set(key, { value, revision: at });
    if (value === undefined) rows.delete(key);
    else rows.set(key, value);
  }

  function pruneTombstones(): void {
    const removed = [...entries].filter(([, { value }]) => value === undefined);
    if (removed.length <= TOMBSTONES_MAX) return;
    removed.sort(([, a], [, b]) => a.revision - b.revision);
    removed.slice(0, removed.length - TOMBSTONES_MAX).forEach(([key, entry]) => {
      entries.delete(key);
      historyStart = Math.max(historyStart, entry.revision);
    });
  }

  function allRows(): TableChange<T>[] {
    return [...rows].map(([key, value]) => ({ key, value }));
  }

  return {
    rows,
    revision: () => revision,
    apply: (changes, to) => {
      if (to <= revision) return false;
      changes.forEach(({ key, value }) => setEntry(key, value, to));
      revision = to;
      pruneTombstones();
      return true;
    },
    replace: (changes, to) => {
      // An answer that arrives after a newer one would restore rows that were removed since.
      if (to < revision) return false;
      entries.clear();
      rows.clear();
      changes.forEach(({ key, value }) => setEntry(key, value, to));
      revision = to;
      historyStart = to;
      return true;
    },
    changesSince: (from) => {
      if (from < historyStart) return { changes: allRows(), isAll: true, revision };
      const changed = [...entries]
        .filter(([, entry]) => entry.revision > from)
        .map(([key, { value }]) => ({ key, value }));
      return { changes: changed, isAll: false, revision };
    },
  };
}
