import type { ForwardConfig, VersionOrder } from '@mimosamill/core';

/** What operators write, one record a row. */
export type OperatorRecord =
  | { readonly kind: 'config'; readonly config: ForwardConfig }
  | { readonly kind: 'version_order'; readonly order: VersionOrder }
  /** A row that this version does not understand. */
  | { readonly kind: 'unknown'; readonly problem: string };
