import type { RelayResponse } from './relay';
import type { TableChange } from './table-watch';

/** A copy of a table that can tell what has changed since one of its revisions. */
export interface TableReplica<T> {
  readonly rows: ReadonlyMap<string, T>;
  readonly revision: () => number;
  /** Applies changes up to a revision; false if the copy is already there. */
  readonly apply: (changes: readonly TableChange<T>[], revision: number) => boolean;
  readonly replace: (changes: readonly TableChange<T>[], revision: number) => boolean;
  readonly changesSince: (
    revision: number,
  ) => Pick<RelayResponse, 'changes' | 'isAll' | 'revision'>;
}

interface ReplicaEntry<T> {
  readonly value: T | undefined;
  /** Revision of the copy at which the row changed. */
  readonly revision: number;
}

/** Removed rows that are remembered; readers further behind get the whole table. */
const TOMBSTONES_MAX = 500;

export function createTableReplica<T>(): TableReplica<T> {
  const entries = new Map<string, ReplicaEntry<T>>();
  const rows = new Map<string, T>();
  let revision = -1;
  /** Changes before this revision are no longer known one by one. */
  let completeFrom = -1;

  function put(key: string, value: T | undefined, at: number): void {
    entries.set(key, { value, revision: at });
    if (value === undefined) rows.delete(key);
    else rows.set(key, value);
  }

  function forgetRemoved(): void {
    const removed = [...entries].filter(([, { value }]) => value === undefined);
    if (removed.length <= TOMBSTONES_MAX) return;
    removed.sort(([, a], [, b]) => a.revision - b.revision);
    removed.slice(0, removed.length - TOMBSTONES_MAX).forEach(([key, entry]) => {
      entries.delete(key);
      completeFrom = Math.max(completeFrom, entry.revision);
    });
  }

  function all(): TableChange<T>[] {
    return [...rows].map(([key, value]) => ({ key, value }));
  }

  return {
    rows,
    revision: () => revision,
    apply: (changes, to) => {
      if (to <= revision) return false;
      changes.forEach(({ key, value }) => put(key, value, to));
      revision = to;
      forgetRemoved();
      return true;
    },
    replace: (changes, to) => {
      // An answer that was overtaken by a newer one would bring back what has been removed.
      if (to < revision) return false;
      entries.clear();
      rows.clear();
      changes.forEach(({ key, value }) => put(key, value, to));
      revision = to;
      completeFrom = to;
      return true;
    },
    changesSince: (from) => {
      if (from < completeFrom) return { changes: all(), isAll: true, revision };
      const changed = [...entries]
        .filter(([, entry]) => entry.revision > from)
        .map(([key, { value }]) => ({ key, value }));
      return { changes: changed, isAll: false, revision };
    },
  };
}
