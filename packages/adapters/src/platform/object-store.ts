export type ObjectReadOutcome =
  | { readonly kind: 'ok'; readonly body: string }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly message: string };

export type ObjectWriteOutcome =
  | { readonly kind: 'ok' }
  | { readonly kind: 'unavailable'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

export type ObjectListOutcome =
  | { readonly kind: 'ok'; readonly names: readonly string[] }
  | { readonly kind: 'unavailable'; readonly message: string };

/** The platform's object store. */
export interface ObjectStore {
  put(name: string, body: string): Promise<ObjectWriteOutcome>;
  get(name: string): Promise<ObjectReadOutcome>;
  list(prefix: string): Promise<ObjectListOutcome>;
}
