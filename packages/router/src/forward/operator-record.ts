import type { ForwardConfig, VersionOrder } from '@mimosamill/core';

/** A row that operators write to the store. */
export type OperatorRecord =
  | { readonly kind: 'config'; readonly config: ForwardConfig }
  | { readonly kind: 'version_order'; readonly order: VersionOrder }
  /** A row that this version of the router cannot decode. */
  | { readonly kind: 'unknown'; readonly problem: string };
