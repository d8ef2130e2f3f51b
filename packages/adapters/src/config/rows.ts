import { asRevision } from '@mimosamill/core';
import type { ConfigRevision, OperationId, Revision } from '@mimosamill/core';
import type { JsonValue, Row } from '../platform/table-store';

export const CONFIG_HEAD_KEY = 'config/head';
export const REVISION_KEY_PREFIX = 'config/rev/';

/** Value of the head row: the newest revision and the newest snapshot that is known to exist. */
export interface ConfigHead {
  readonly revision: Revision;
  readonly snapshotRevision: Revision;
}

/**
 * Value of the row of an accepted operation. The digest distinguishes a repetition of its request
 * from another request that reuses the operation id.
 */
export interface OperationRecord {
  readonly revision: Revision;
  readonly digest: string;
}

const EMPTY_CONFIG_HEAD: ConfigHead = { revision: asRevision(0), snapshotRevision: asRevision(0) };

/** Revision numbers are zero-padded so that a scan in key order returns them in numeric order. */
export function revisionKey(revision: number): string {
  return `${REVISION_KEY_PREFIX}${padRevision(revision)}`;
}

export function operationKey(operationId: OperationId): string {
  return `config/op/${operationId}`;
}

export function snapshotName(revision: number): string {
  return `config/snapshot/${padRevision(revision)}`;
}

export function toHead(row: Row | undefined): ConfigHead {
  return row === undefined ? EMPTY_CONFIG_HEAD : fromJson<ConfigHead>(row.value);
}

export function toRevision(row: Row): ConfigRevision {
  return fromJson<ConfigRevision>(row.value);
}

export function toOperation(row: Row): OperationRecord {
  return fromJson<OperationRecord>(row.value);
}

export function toJson(value: object): JsonValue {
  return value as unknown as JsonValue;
}

function fromJson<T>(value: JsonValue): T {
  return value as unknown as T;
}

function padRevision(revision: number): string {
  return String(revision).padStart(10, '0');
}
