import { UNKNOWN_ERA } from '@mimosamill/core';
import type { StoreEra, StoreRevision } from '@mimosamill/core';
import type { RelayResponse } from './relay';
import type { TableChange } from './watched-table';

/** A replica of a table that can list the changes since an earlier revision. */
export interface TableReplica<T> {
  readonly rows: ReadonlyMap<string, T>;
  /** Revision of the store that the rows reflect; -1 before the first read. */
  readonly revision: () => number;
  /** Era of the store to which the revision belongs. */
  readonly era: () => StoreEra;
  /** Applies changes up to a revision; false if they do not follow on what the replica has. */
  readonly apply: (changes: readonly TableChange<T>[], to: StoreRevision) => boolean;
  /** Replaces all rows; false if the replica has newer ones. */
  readonly replace: (rows: readonly TableChange<T>[], to: StoreRevision) => boolean;
  /** All rows if the changes since the revision are not known. */
  readonly changesSince: (
    from: StoreRevision,
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
  let era = UNKNOWN_ERA;
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
    era: () => era,
    apply: (changes, to) => {
      // Revisions of two eras do not compare: the store gives them out again after a restore.
      if (to.era !== era || to.revision <= revision) return false;
      changes.forEach(({ key, value }) => setEntry(key, value, to.revision));
      revision = to.revision;
      pruneTombstones();
      return true;
    },
    replace: (changes, to) => {
      // An answer that arrives after a newer one would restore rows that were removed since.
      if (to.era < era || (to.era === era && to.revision < revision)) return false;
      entries.clear();
      rows.clear();
      changes.forEach(({ key, value }) => setEntry(key, value, to.revision));
      ({ era, revision } = to);
      historyStart = revision;
      return true;
    },
    changesSince: (from) => {
      if (from.era !== era || from.revision < historyStart) {
        return { changes: allRows(), isAll: true, revision };
      }
      const changed = [...entries]
        .filter(([, entry]) => entry.revision > from.revision)
        .map(([key, { value }]) => ({ key, value }));
      return { changes: changed, isAll: false, revision };
    },
  };
}
