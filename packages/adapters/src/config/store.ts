import { validateAndApply, asRevision, invertChanges } from '@mimosamill/core';
import { createConfigReader } from './reader';
import {
  CONFIG_HEAD_KEY,
  operationKey,
  revisionKey,
  snapshotName,
  toHead,
  toJson,
  toOperation,
  toRevision,
} from './rows';
import type {
  ConfigChange,
  ConfigProblem,
  ConfigRevision,
  FleetConfig,
  OperationId,
  Revision,
} from '@mimosamill/core';
import type { ObjectStore } from '../platform/object-store';
import type { TableCondition, Row, TableStore, Transaction } from '../platform/table-store';
import type { Clock } from '../runtime/clock';
import type { ConfigReader, StoreUnavailable } from './reader';
import type { ConfigHead } from './rows';

/** Changes that an operator submits to become the revision after `baseConfig`. */
export interface ChangeRequest {
  /** The configuration on which the operator based the changes. */
  readonly baseConfig: FleetConfig;
  readonly changes: readonly ConfigChange[];
  readonly who: string;
  readonly why: string;
  readonly operationId: OperationId;
  /** Digest of the operator's request; a repeated request has the same one. */
  readonly digest: string;
  readonly atMs: number;
}

export type CommitRevisionOutcome =
  | {
      readonly kind: 'accepted';
      readonly revision: ConfigRevision;
      /** The revision was found by its operation id: accepted earlier, or its response was lost. */
      readonly wasLookedUp: boolean;
    }
  | { readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[] }
  /** Other revisions were accepted after `baseConfig`; nothing of this request was applied. */
  | { readonly kind: 'conflict'; readonly theirs: readonly ConfigRevision[] }
  | { readonly kind: 'operation_reused'; readonly revision: ConfigRevision }
  /** The request was certainly not applied. */
  | StoreUnavailable
  /** The request may have been applied; it is safe to send it again under its operation id. */
  | { readonly kind: 'unknown'; readonly message: string };

export type OperationOutcome =
  | { readonly kind: 'found'; readonly revision: ConfigRevision; readonly digest: string }
  | { readonly kind: 'absent' }
  | StoreUnavailable;

/** Read and write access to the stored configuration. */
export interface ConfigStore extends ConfigReader {
  readonly commit: (request: ChangeRequest) => Promise<CommitRevisionOutcome>;
  readonly findOperation: (operationId: OperationId) => Promise<OperationOutcome>;
}

/**
 * Revisions between two snapshots. It bounds what a starting router reads: one snapshot, this many
 * revisions and a few more.
 */
export const SNAPSHOT_INTERVAL = 50;
/** A revision, which includes its inverse, has to fit into a message between routers (256 KB). */
const MAX_REVISION_BYTES = 128 * 1024;
/**
 * Each attempt looks for the row of the operation and then commits. If the answers to all attempts
 * are lost, the outcome is reported as unknown.
 */
const MAX_COMMIT_ATTEMPTS = 4;
const OUTCOME_LOOKUP_DELAY_MS = 200;

interface StoredState {
  readonly head: ConfigHead;
  readonly headRow: Row | undefined;
  readonly operationRow: Row | undefined;
}

/** Creates the store. One commit takes several requests to the platform. */
export function createConfigStore(
  tables: TableStore,
  objects: ObjectStore,
  clock: Clock,
): ConfigStore {
  const reader = createConfigReader(tables, objects);
  const delay = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      clock.runAfter(ms, resolve);
    });

  async function readState(operationId: OperationId): Promise<StoredState | StoreUnavailable> {
    const opKey = operationKey(operationId);
    const outcome = await tables.read([CONFIG_HEAD_KEY, opKey]);
    if (outcome.kind === 'unavailable') return outcome;
    const headRow = outcome.rows.find(({ key }) => key === CONFIG_HEAD_KEY);
    const operationRow = outcome.rows.find(({ key }) => key === opKey);
    return { head: toHead(headRow), headRow, operationRow };
  }

  async function findOperation(operationId: OperationId): Promise<OperationOutcome> {
    const outcome = await tables.read([operationKey(operationId)]);
    if (outcome.kind === 'unavailable') return outcome;
    const [row] = outcome.rows;
    if (row === undefined) return { kind: 'absent' };
    const { revision, digest } = toOperation(row);
    const found = await tables.read([revisionKey(revision)]);
    if (found.kind === 'unavailable') return found;
    const [revisionRow] = found.rows;
    if (revisionRow === undefined) {
      return { kind: 'unavailable', message: `row of revision ${revision} is missing` };
    }
    return { kind: 'found', revision: toRevision(revisionRow), digest };
  }

  async function resolveOperation(request: ChangeRequest): Promise<CommitRevisionOutcome> {
    const found = await findOperation(request.operationId);
    switch (found.kind) {
      case 'found':
        return found.digest === request.digest
          ? { kind: 'accepted', revision: found.revision, wasLookedUp: true }
          : { kind: 'operation_reused', revision: found.revision };
      case 'absent':
        return {
          kind: 'unknown',
          message: 'the row of the operation was read before and is now missing',
        };
      default:
        return { kind: 'unknown', message: found.message };
    }
  }

  async function readConflicting(base: Revision, upTo: Revision): Promise<CommitRevisionOutcome> {
    const page = await reader.readRevisionsAfter(base);
    if (page.kind === 'unavailable') return page;
    return { kind: 'conflict', theirs: page.revisions.filter((entry) => entry.revision <= upTo) };
  }

  /** Writes a snapshot when it is due. Returns the revision of the newest snapshot. */
  async function writeSnapshotIfDue(base: FleetConfig, head: ConfigHead): Promise<Revision> {
    if (base.revision - head.snapshotRevision < SNAPSHOT_INTERVAL) return head.snapshotRevision;
    const name = snapshotName(base.revision);
    const outcome = await objects.put(name, JSON.stringify(base));
    // If the write may have failed, the head row keeps naming the older snapshot and the next
    // commit writes one again.
    return outcome.kind === 'ok' ? base.revision : head.snapshotRevision;
  }

  async function commit(request: ChangeRequest): Promise<CommitRevisionOutcome> {
    let mayBeApplied = false;
    const fail = (message: string): CommitRevisionOutcome =>
      mayBeApplied ? { kind: 'unknown', message } : { kind: 'unavailable', message };

    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
      const state = await readState(request.operationId);
      if ('kind' in state) return fail(state.message);
      if (state.operationRow !== undefined) return resolveOperation(request);
      // The transaction requires the head row to be unchanged. Once the head row has changed and
      // there is no row of the operation, a delayed copy of the transaction cannot apply any more.
      if (state.head.revision !== request.baseConfig.revision) {
        return readConflicting(request.baseConfig.revision, state.head.revision);
      }
      const applied = validateAndApply(request.baseConfig, request.changes);
      if (applied.kind === 'invalid') return applied;
      const revision = toConfigRevision(request);
      const sizeBytes = Buffer.byteLength(JSON.stringify(revision));
      if (sizeBytes > MAX_REVISION_BYTES) {
        const message = `take ${sizeBytes} bytes with their inverse, of at most ${MAX_REVISION_BYTES}; split them into several revisions`;
        return { kind: 'invalid', problems: [{ path: 'changes', message }] };
      }
      const snapshotRevision = await writeSnapshotIfDue(request.baseConfig, state.head);
      const outcome = await tables.commit(
        toTransaction(request, revision, state, snapshotRevision),
      );
      switch (outcome.kind) {
        case 'ok':
          return { kind: 'accepted', revision, wasLookedUp: false };
        case 'conflict':
          break;
        case 'unavailable':
          return fail(outcome.message);
        default:
          mayBeApplied = true;
          await delay(OUTCOME_LOOKUP_DELAY_MS);
      }
    }
    return fail(
      'no attempt to commit had a certain outcome; send the change again with its operation id',
    );
  }

  return { ...reader, commit, findOperation };
}

function toConfigRevision(request: ChangeRequest): ConfigRevision {
  return {
    revision: asRevision(request.baseConfig.revision + 1),
    who: request.who,
    why: request.why,
    operationId: request.operationId,
    atMs: request.atMs,
    changes: request.changes,
    inverse: invertChanges(request.baseConfig, request.changes),
  };
}

function toTransaction(
  request: ChangeRequest,
  record: ConfigRevision,
  state: StoredState,
  snapshotRevision: Revision,
): Transaction {
  const head: ConfigHead = { revision: record.revision, snapshotRevision };
  const headCondition: TableCondition =
    state.headRow === undefined
      ? { kind: 'absent', key: CONFIG_HEAD_KEY }
      : { kind: 'version', key: CONFIG_HEAD_KEY, version: state.headRow.version };
  const revKey = revisionKey(record.revision);
  const opKey = operationKey(request.operationId);
  return {
    conditions: [headCondition, { kind: 'absent', key: revKey }, { kind: 'absent', key: opKey }],
    writes: [
      { kind: 'put', key: CONFIG_HEAD_KEY, value: toJson(head) },
      { kind: 'put', key: revKey, value: toJson(record) },
      {
        kind: 'put',
        key: opKey,
        value: toJson({ revision: record.revision, digest: request.digest }),
      },
    ],
  };
}
