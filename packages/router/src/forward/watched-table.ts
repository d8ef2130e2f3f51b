import type { StoreEra, StoreEras } from '@mimosamill/core';
import type { RelayQuery } from './relay';

/** A table of the platform's store, with its rows decoded. */
export interface WatchedTable<T> {
  readonly readAll: (signal: AbortSignal) => Promise<TableContent<T>>;
  /** Long-polls for changes after a revision; answers with none if there are none within `waitMs`. */
  readonly readChanges: (
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<TableChanges<T>>;
}

export type TableContent<T> =
  | {
      readonly kind: 'ok';
      readonly rows: readonly TableRow<T>[];
      readonly revision: number;
      readonly era: StoreEra;
      readonly storeNowMs: number;
    }
  | StoreFailure;

export type TableChanges<T> =
  | {
      readonly kind: 'ok';
      /** In the order they were made; `value` is undefined for a removed row. */
      readonly changes: readonly TableChange<T>[];
      readonly revision: number;
      readonly era: StoreEra;
      readonly storeNowMs: number;
    }
  /** The store no longer has the history since the revision. */
  | { readonly kind: 'history_lost' }
  | StoreFailure;

export interface TableRow<T> {
  readonly key: string;
  readonly value: T;
}

export interface TableChange<T> {
  readonly key: string;
  readonly value: T | undefined;
}

export interface StoreFailure {
  readonly kind: 'unavailable';
  readonly message: string;
}

/** Another router that relays a table. */
export interface RelaySource<T> {
  readonly name: string;
  readonly readChanges: (query: RelayQuery, signal: AbortSignal) => Promise<RelayedChanges<T>>;
}

export type RelayedChanges<T> =
  | {
      readonly kind: 'relayed';
      readonly changes: readonly TableChange<T>[];
      readonly isAll: boolean;
      readonly revision: number;
      readonly era: StoreEra;
      readonly storeAsOfMs: number;
      readonly sinceOutageMs: number;
    }
  | StoreFailure;

/** Where a watch reads its table from. */
export interface WatchSources<T> {
  readonly store: WatchedTable<T>;
  /** Other routers that read the store, the preferred one first. */
  readonly relays: () => readonly RelaySource<T>[];
  /** Whether this router reads the store on behalf of other routers. */
  readonly isReader: () => boolean;
  readonly eras: StoreEras;
}
