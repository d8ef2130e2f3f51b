import { createTableReplica } from './table-replica';
import type { StoreRevision } from '@mimosamill/core';
import type { TableReplica } from './table-replica';
import type { TableChange } from './watched-table';

/** What to do with the rows of a watched table. */
export interface RowHandlers<T> {
  /** Called with all rows after a change, and after the whole table was read again. */
  readonly onRows: (rows: ReadonlyMap<string, T>, context: WatchContext) => void;
  /**
   * Called when the store came back from an older copy; returns the rows to go on with, which may hold
   * known ones that the copy lost. Without it, those of the copy are used.
   */
  readonly keepLost?: (
    known: ReadonlyMap<string, T>,
    copy: readonly TableChange<T>[],
  ) => readonly TableChange<T>[];
}

export interface WatchContext {
  readonly revision: number;
  /** Time since the last outage of the store before the rows were read; Infinity if there was none. */
  readonly sinceOutageMs: number;
  /** The store was restored since the last call: the rows are those of an older copy. */
  readonly isRestored: boolean;
  /** 'store', or the name of the router that relayed the rows. */
  readonly source: string;
}

/** The rows that a watch has read, across restores of the store; changes are published. */
export interface FollowedRows<T> {
  readonly replica: TableReplica<T>;
  /** Replaces all rows by those that a source gave; false if the replica has newer ones. */
  readonly replaceAll: (rows: readonly TableChange<T>[], to: StoreRevision) => boolean;
  /** Whether the replica was read before the store was restored to the answer's era. */
  readonly isOfOtherEra: (answer: StoreRevision) => boolean;
  readonly publish: (source: string, isRestored?: boolean) => void;
}

export function createFollowedRows<T>(
  handlers: RowHandlers<T>,
  sinceOutageMs: () => number,
): FollowedRows<T> {
  const replica = createTableReplica<T>();
  let hasSeenRestore = false;

  function isOfOtherEra({ era }: StoreRevision): boolean {
    return replica.revision() >= 0 && replica.era() !== era;
  }

  return {
    replica,
    replaceAll: (rows, to) => {
      hasSeenRestore ||= isOfOtherEra(to);
      // Also in later reads: the store lacks the rows until they are written again.
      const kept = hasSeenRestore ? handlers.keepLost?.(replica.rows, rows) : undefined;
      return replica.replace(kept ?? rows, to);
    },
    isOfOtherEra,
    publish: (source, isRestored = false) => {
      handlers.onRows(replica.rows, {
        revision: replica.revision(),
        sinceOutageMs: sinceOutageMs(),
        isRestored,
        source,
      });
    },
  };
}
