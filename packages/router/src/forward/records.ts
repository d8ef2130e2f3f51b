import type { ForwardConfig, ServiceName } from '@mimosamill/core';

/** An order to move a service's traffic to another version. */
export interface VersionOrder {
  readonly service: ServiceName;
  readonly version: string;
  readonly withinMs: number;
}

/** What operators write, one record a row. */
export type OperatorRecord =
  | { readonly kind: 'config'; readonly config: ForwardConfig }
  | { readonly kind: 'version_order'; readonly order: VersionOrder }
  /** A row that this version does not understand. */
  | { readonly kind: 'unknown'; readonly problem: string };
