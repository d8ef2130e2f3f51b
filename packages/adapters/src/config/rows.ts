import { asRevision } from '@mimosamill/core';
import type { ConfigRevision, OperationId, Revision } from '@mimosamill/core';
import type { JsonValue, Row } from '../platform/table-store';

export const HEAD_KEY = 'config/head';
export const REVISION_PREFIX = 'config/rev/';

/** Value of the head row. The snapshot is the newest one known to have been written. */
export interface HeadValue {
  readonly revision: Revision;
  readonly snapshotRevision: Revision;
}

/** Value of an operation's row; the digest tells a repeated request from a reused id. */
export interface OperationValue {
  readonly revision: Revision;
  readonly digest: string;
}

const EMPTY_HEAD: HeadValue = { revision: asRevision(0), snapshotRevision: asRevision(0) };

/** Keys are padded so that a scan returns revisions in order. */
export function revisionKey(revision: number): string {
  return `${REVISION_PREFIX}${pad(revision)}`;
}

export function operationKey(operationId: OperationId): string {
  return `config/op/${operationId}`;
}

export function snapshotName(revision: number): string {
  return `config/snapshot/${pad(revision)}`;
}

export function toHead(row: Row | undefined): HeadValue {
  return row === undefined ? EMPTY_HEAD : fromJson<HeadValue>(row.value);
}

export function toRevision(row: Row): ConfigRevision {
  return fromJson<ConfigRevision>(row.value);
}

export function toOperation(row: Row): OperationValue {
  return fromJson<OperationValue>(row.value);
}

export function toJson(value: object): JsonValue {
  return value as unknown as JsonValue;
}

function fromJson<T>(value: JsonValue): T {
  return value as unknown as T;
}

function pad(revision: number): string {
  return String(revision).padStart(10, '0');
}
