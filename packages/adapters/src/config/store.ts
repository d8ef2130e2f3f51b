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

/** A change list that an operator wants accepted as the revision after `base`. */
export interface ChangeRequest {
  /** The configuration that the operator read. */
  readonly baseConfig: FleetConfig;
  readonly changes: readonly ConfigChange[];
  readonly who: string;
  readonly why: string;
  readonly operationId: OperationId;
  /** Digest of the operator's request, by which a repetition is recognised. */
  readonly digest: string;
  readonly atMs: number;
}

export type CommitRevisionOutcome =
  | {
      readonly kind: 'accepted';
      readonly revision: ConfigRevision;
      /** The operation had been accepted before, or its answer was lost and then looked up. */
      readonly wasLookedUp: boolean;
    }
  | { readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[] }
  /** Others were accepted after `base`; nothing of this request was applied. */
  | { readonly kind: 'conflict'; readonly theirs: readonly ConfigRevision[] }
  | { readonly kind: 'operation_reused'; readonly revision: ConfigRevision }
  /** Certainly not applied. */
  | StoreUnavailable
  /** May have been applied; the same operation id may be sent again. */
  | { readonly kind: 'unknown'; readonly message: string };

export type OperationOutcome =
  | { readonly kind: 'found'; readonly revision: ConfigRevision; readonly digest: string }
  | { readonly kind: 'absent' }
  | StoreUnavailable;

/** The stored configuration, with its write side. */
export interface ConfigStore extends ConfigReader {
  readonly commit: (request: ChangeRequest) => Promise<CommitRevisionOutcome>;
  readonly findOperation: (operationId: OperationId) => Promise<OperationOutcome>;
}

/** Distance between snapshots; a bootstrap reads at most this many revisions and a few more. */
export const SNAPSHOT_INTERVAL = 50;
/** A revision with its inverse has to fit into one message between routers (256 KB). */
const MAX_REVISION_BYTES = 128 * 1024;
/** Lookups after a lost answer before the outcome is reported as unknown. */
const MAX_COMMIT_ATTEMPTS = 4;
const OUTCOME_LOOKUP_DELAY_MS = 200;

interface StoredState {
  readonly head: ConfigHead;
  readonly headRow: Row | undefined;
  readonly operationRow: Row | undefined;
}

/** Creates the write side; one commit is several requests to the platform. */
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
    const answer = await tables.read([CONFIG_HEAD_KEY, opKey]);
    if (answer.kind === 'unavailable') return answer;
    const headRow = answer.rows.find(({ key }) => key === CONFIG_HEAD_KEY);
    const operationRow = answer.rows.find(({ key }) => key === opKey);
    return { head: toHead(headRow), headRow, operationRow };
  }

  async function findOperation(operationId: OperationId): Promise<OperationOutcome> {
    const answer = await tables.read([operationKey(operationId)]);
    if (answer.kind === 'unavailable') return answer;
    const [row] = answer.rows;
    if (row === undefined) return { kind: 'absent' };
    const { revision, digest } = toOperation(row);
    const found = await tables.read([revisionKey(revision)]);
    if (found.kind === 'unavailable') return found;
    const [revisionRow] = found.rows;
    if (revisionRow === undefined) {
      return { kind: 'unavailable', message: `revision ${revision} is missing` };
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
        return { kind: 'unknown', message: 'the operation row disappeared' };
      default:
        return { kind: 'unknown', message: found.message };
    }
  }

  async function readTheirs(base: Revision, upTo: Revision): Promise<CommitRevisionOutcome> {
    const tail = await reader.readRevisionsAfter(base);
    if (tail.kind === 'unavailable') return tail;
    return { kind: 'conflict', theirs: tail.revisions.filter((entry) => entry.revision <= upTo) };
  }

  /** Writes a snapshot of the base once the last one is far enough behind. */
  async function takeSnapshot(base: FleetConfig, head: ConfigHead): Promise<Revision> {
    if (base.revision - head.snapshotRevision < SNAPSHOT_INTERVAL) return head.snapshotRevision;
    const name = snapshotName(base.revision);
    const answer = await objects.put(name, JSON.stringify(base));
    // Without a certain answer the head keeps naming the older snapshot, and the next commit
    // tries again.
    return answer.kind === 'ok' ? base.revision : head.snapshotRevision;
  }

  async function commit(request: ChangeRequest): Promise<CommitRevisionOutcome> {
    let mayBeApplied = false;
    const fail = (message: string): CommitRevisionOutcome =>
      mayBeApplied ? { kind: 'unknown', message } : { kind: 'unavailable', message };

    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
      const state = await readState(request.operationId);
      if ('kind' in state) return fail(state.message);
      if (state.operationRow !== undefined) return resolveOperation(request);
      // The transaction is conditional on the head row, so once the head has moved on without
      // the operation's row, no late copy of it can be applied.
      if (state.head.revision !== request.baseConfig.revision) {
        return readTheirs(request.baseConfig.revision, state.head.revision);
      }
      const applied = validateAndApply(request.baseConfig, request.changes);
      if (applied.kind === 'invalid') return applied;
      const revision = toConfigRevision(request);
      const sizeBytes = Buffer.byteLength(JSON.stringify(revision));
      if (sizeBytes > MAX_REVISION_BYTES) {
        const message = `take ${sizeBytes} bytes with their inverse; at most ${MAX_REVISION_BYTES} fit into one revision`;
        return { kind: 'invalid', problems: [{ path: 'changes', message }] };
      }
      const snapshotRevision = await takeSnapshot(request.baseConfig, state.head);
      const answer = await tables.commit(toTransaction(request, revision, state, snapshotRevision));
      switch (answer.kind) {
        case 'ok':
          return { kind: 'accepted', revision, wasLookedUp: false };
        case 'conflict':
          break;
        case 'unavailable':
          return fail(answer.message);
        default:
          mayBeApplied = true;
          await delay(OUTCOME_LOOKUP_DELAY_MS);
      }
    }
    return fail('the outcome could not be established');
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
