/** Value of a row. */
export type JsonValue =
  string | number | boolean | null | JsonValue[] | { [key: string]: JsonValue };

/** A row of the platform's table service. `version` increases with every write to the key. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

export type TableCondition =
  | { readonly kind: 'absent'; readonly key: string }
  | { readonly kind: 'version'; readonly key: string; readonly version: number };

export type TableWrite =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: JsonValue;
      readonly expiresAtMs?: number;
    }
  | { readonly kind: 'delete'; readonly key: string };

/** All writes are applied atomically if every condition holds, otherwise none is. */
export interface Transaction {
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

/** 'unavailable': not applied. 'unknown': there was no answer, so it may have been applied. */
export type CommitOutcome =
  | { readonly kind: 'ok' }
  | { readonly kind: 'conflict'; readonly rows: readonly Row[] }
  | { readonly kind: 'unavailable'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

export type TableReadOutcome =
  | { readonly kind: 'ok'; readonly rows: readonly Row[] }
  | { readonly kind: 'unavailable'; readonly message: string };

/** The platform's transactional table service. */
export interface TableStore {
  /** Rows of the keys; absent keys are omitted. */
  read(keys: readonly string[]): Promise<TableReadOutcome>;
  /** Rows whose key starts with the prefix and sorts after `afterKey`, in key order. */
  scan(prefix: string, afterKey: string, limit: number): Promise<TableReadOutcome>;
  commit(transaction: Transaction): Promise<CommitOutcome>;
}
