import type { EngineTarget, JsonValue, LoadedModel, Row } from '@mimosamill/adapters';

/** Value of the row `orders/ENGINE`: the target state of one engine. */
export interface OrderRow {
  readonly engineId: string;
  readonly service: string;
  readonly target: EngineTarget;
}

export const ORDER_KEY_PREFIX = 'orders/';

export function orderKey(engineId: string): string {
  return `${ORDER_KEY_PREFIX}${engineId}`;
}

export function toOrderRow(row: Row): OrderRow {
  return row.value as unknown as OrderRow;
}

export function toOrderValue(row: OrderRow): JsonValue {
  return { ...row } as unknown as JsonValue;
}

/** Text that is equal for equal targets, in whatever order they list models and adapters. */
export function canonicalTargetText(target: EngineTarget): string {
  const models = target.loaded.map((entry) => {
    const adapters = [...entry.adapters].sort().join(',');
    return `${entry.model}/${entry.version}[${adapters}]`;
  });
  return `${target.role} ${models.sort().join(' ')}`;
}

export function hasVersion(
  loaded: readonly LoadedModel[],
  model: string,
  version: string,
): boolean {
  return loaded.some((entry) => entry.model === model && entry.version === version);
}
