import type { ForwardConfig, VersionOrder } from '@mimosamill/core';
import type { TableChange } from './watched-table';

/** A row that operators write to the store. */
export type OperatorRecord =
  | { readonly kind: 'config'; readonly config: ForwardConfig }
  | { readonly kind: 'version_order'; readonly order: VersionOrder }
  /** A row that this version of the router cannot decode. */
  | { readonly kind: 'unknown'; readonly problem: string };

/** Adds known records that an older copy of the store lost to the rows of the copy. */
export function keepLostRecords(
  known: ReadonlyMap<string, OperatorRecord>,
  copy: readonly TableChange<OperatorRecord>[],
): readonly TableChange<OperatorRecord>[] {
  const rows = new Map(copy.map(({ key, value }) => [key, value]));
  known.forEach((record, key) => {
    if (isNewer(record, rows.get(key))) rows.set(key, record);
  });
  return [...rows].map(([key, value]) => ({ key, value }));
}

/** Orders have no number by which to compare two of them, so only a missing one counts as older. */
function isNewer(known: OperatorRecord, copied: OperatorRecord | undefined): boolean {
  if (known.kind === 'unknown') return false;
  if (copied === undefined) return true;
  if (known.kind !== 'config') return false;
  return copied.kind !== 'config' || copied.config.revision < known.config.revision;
}
