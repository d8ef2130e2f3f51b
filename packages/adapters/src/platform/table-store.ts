/** Values are plain JSON. */
export type JsonValue =
  string | number | boolean | null | JsonValue[] | { [key: string]: JsonValue };

/** A row of the platform's tables. `version` rises with every write to the key. */
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

/** All writes take effect together if every condition holds, else none. */
export interface Transaction {
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

/** 'unavailable': certainly not applied. 'unknown': no answer, it may have been applied. */
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
  /** Absent keys are left out of the answer. */
  read(keys: readonly string[]): Promise<TableReadOutcome>;
  /** Rows whose key starts with the prefix and sorts after `afterKey`, in key order. */
  scan(prefix: string, afterKey: string, limit: number): Promise<TableReadOutcome>;
  commit(transaction: Transaction): Promise<CommitOutcome>;
}
