import { sha256Hex } from '@mimosamill/adapters';
import {
  validateAndApply,
  checkChangeAccess,
  createConfigReplica,
  diffConfigs,
  EMPTY_CONFIG,
  parseChanges,
  planUndo,
} from '@mimosamill/core';
import { adminError, outcomeUnknown, storeUnavailable } from '../api/errors';
import type { Clock, CommitRevisionOutcome, ConfigStore } from '@mimosamill/adapters';
import type {
  Administrator,
  ConfigChange,
  ConfigRevision,
  EntryDiff,
  FleetConfig,
  OperationId,
  Revision,
} from '@mimosamill/core';
import type { AdminError } from '../api/errors';

export interface ApplyRequest {
  readonly operationId: OperationId;
  readonly baseRevision: Revision;
  readonly why: string;
  readonly changes: unknown;
  readonly dryRun: boolean;
}

export interface UndoRequest {
  readonly operationId: OperationId;
  readonly revision: Revision;
  readonly why: string;
  readonly dryRun: boolean;
}

export type ChangeResult =
  | {
      readonly kind: 'accepted';
      readonly revision: ConfigRevision;
      /** Whether the revision was found by its operation id, after a repeat or a lost answer. */
      readonly wasLookedUp: boolean;
    }
  | { readonly kind: 'dry_run'; readonly diff: readonly EntryDiff[] }
  | AdminError;

/** Reads and changes the stored configuration on behalf of administrators. */
export interface ConfigAdmin {
  /** The configuration that was read last; undefined before the first read. */
  readonly current: () => FleetConfig | undefined;
  /**
   * Reads new revisions. While the store is down, returns the configuration that was read last, or
   * an error if none was read.
   */
  readonly refresh: () => Promise<FleetConfig | AdminError>;
  readonly apply: (admin: Administrator, request: ApplyRequest) => Promise<ChangeResult>;
  readonly undo: (admin: Administrator, request: UndoRequest) => Promise<ChangeResult>;
  /** One page of the revisions after the given one, oldest first. */
  readonly revisionsAfter: (after: Revision) => Promise<readonly ConfigRevision[] | AdminError>;
  readonly configAt: (revision: Revision) => Promise<FleetConfig | AdminError>;
}

/**
 * An undo reads all later revisions to find changes of the same entries, and is refused if more
 * than this many came later.
 */
const MAX_LATER_REVISIONS = 1_000;

export function createConfigAdmin(
  store: ConfigStore,
  clock: Clock,
  onAccepted: (revision: ConfigRevision) => void,
): ConfigAdmin {
  const replica = createConfigReplica(1);

  async function refresh(): Promise<FleetConfig | AdminError> {
    const known = replica.current();
    if (known === undefined) {
      const read = await store.readConfig();
      if (read.kind === 'unavailable') return storeUnavailable(read.message);
      replica.installSnapshot(read.config);
      return replica.current() ?? read.config;
    }
    // While the store is down, reads are served from the last known configuration; writes fail.
    const head = await store.readHead();
    if (head.kind === 'ok' && head.head.revision > known.revision) {
      const newer = await store.readRevisionsAfter(known.revision);
      if (newer.kind === 'ok') replica.applyRevisions(newer.revisions);
    }
    return replica.current() ?? known;
  }

  function computeDigest(request: unknown): string {
    return sha256Hex(JSON.stringify(request));
  }

  /** Finds the revision of a repeated operation, whatever has been changed since. */
  async function findRepeatedOperation(
    operationId: OperationId,
    digest: string,
  ): Promise<ChangeResult | undefined> {
    const found = await store.findOperation(operationId);
    if (found.kind === 'absent') return undefined;
    if (found.kind === 'unavailable') return storeUnavailable(found.message);
    if (found.digest === digest) {
      return { kind: 'accepted', revision: found.revision, wasLookedUp: true };
    }
    return adminError(
      'operation_reused',
      `operation id ${operationId} was used for a different request, accepted as revision ${found.revision.revision}`,
    );
  }

  async function submit(
    admin: Administrator,
    baseConfig: FleetConfig,
    request: { operationId: OperationId; why: string; dryRun: boolean },
    changes: readonly ConfigChange[],
    digest: string,
  ): Promise<ChangeResult> {
    const access = checkChangeAccess(baseConfig, admin, changes);
    if (access.kind === 'denied') return adminError('forbidden', access.reason);
    if (request.dryRun) return previewChanges(baseConfig, changes);
    const outcome = await store.commit({
      baseConfig,
      changes,
      who: `${admin.team}/${admin.name}`,
      why: request.why,
      operationId: request.operationId,
      digest,
      atMs: clock.nowMs(),
    });
    if (outcome.kind === 'accepted') {
      replica.applyRevisions([outcome.revision]);
      onAccepted(outcome.revision);
    }
    return toChangeResult(outcome, request.operationId, changes);
  }

  async function apply(admin: Administrator, request: ApplyRequest): Promise<ChangeResult> {
    const parsed = parseChanges(request.changes);
    if (parsed.kind === 'invalid') return invalidChange(parsed.problems);
    const { changes } = parsed;
    const digest = computeDigest(['apply', request.why, changes]);
    const repeat = request.dryRun
      ? undefined
      : await findRepeatedOperation(request.operationId, digest);
    if (repeat !== undefined) return repeat;
    const config = await refresh();
    if ('kind' in config) return config;
    if (request.baseRevision > config.revision) {
      return adminError('not_found', `there is no revision ${request.baseRevision}`);
    }
    if (request.baseRevision < config.revision) {
      const theirs = await store.readRevisionsAfter(request.baseRevision);
      if (theirs.kind === 'unavailable') return storeUnavailable(theirs.message);
      return revisionConflict(changes, theirs.revisions);
    }
    return submit(admin, config, request, changes, digest);
  }

  async function readLaterRevisions(
    after: Revision,
  ): Promise<readonly ConfigRevision[] | AdminError> {
    const later: ConfigRevision[] = [];
    let last = after;
    while (later.length < MAX_LATER_REVISIONS) {
      const page = await store.readRevisionsAfter(last);
      if (page.kind === 'unavailable') return storeUnavailable(page.message);
      if (page.revisions.length === 0) return later;
      later.push(...page.revisions);
      last = page.revisions.at(-1)?.revision ?? last;
    }
    return adminError(
      'bad_request',
      `cannot undo: more than ${MAX_LATER_REVISIONS} revisions came later`,
    );
  }

  async function undo(admin: Administrator, request: UndoRequest): Promise<ChangeResult> {
    const digest = computeDigest(['undo', request.why, request.revision]);
    const repeat = request.dryRun
      ? undefined
      : await findRepeatedOperation(request.operationId, digest);
    if (repeat !== undefined) return repeat;
    const config = await refresh();
    if ('kind' in config) return config;
    const revisions = await readLaterRevisions((request.revision - 1) as Revision);
    if ('kind' in revisions) return revisions;
    const [target, ...later] = revisions;
    if (target === undefined || target.revision !== request.revision) {
      return adminError('not_found', `there is no revision ${request.revision}`);
    }
    const plan = planUndo(target, later);
    if (plan.kind === 'overwritten') {
      const message = `later revisions changed the same entries; undo them first: ${plan.by.join(', ')}`;
      return adminError('overwritten', message, { entries: plan.entries, by: plan.by });
    }
    return submit(admin, config, request, plan.changes, digest);
  }

  return {
    current: replica.current,
    refresh,
    apply,
    undo,
    revisionsAfter: async (after) => {
      const newer = await store.readRevisionsAfter(after);
      return newer.kind === 'ok' ? newer.revisions : storeUnavailable(newer.message);
    },
    configAt: async (revision) => {
      const config = await refresh();
      if ('kind' in config || config.revision === revision) return config;
      if (revision === 0) return EMPTY_CONFIG;
      if (revision > config.revision) return adminError('not_found', `no revision ${revision}`);
      const read = await store.readConfigAt(revision);
      return read.kind === 'ok' ? read.config : storeUnavailable(read.message);
    },
  };
}

/** A revision as the API returns it: without the inverse changes, which only an undo needs. */
export function toPublicRevision(revision: ConfigRevision): Omit<ConfigRevision, 'inverse'> {
  const { revision: number, who, why, operationId, atMs, changes } = revision;
  return { revision: number, who, why, operationId, atMs, changes };
}

function previewChanges(base: FleetConfig, changes: readonly ConfigChange[]): ChangeResult {
  const applied = validateAndApply(base, changes);
  if (applied.kind === 'invalid') return invalidChange(applied.problems);
  return { kind: 'dry_run', diff: diffConfigs(base, applied.config) };
}

function toChangeResult(
  outcome: CommitRevisionOutcome,
  operationId: OperationId,
  changes: readonly ConfigChange[],
): ChangeResult {
  switch (outcome.kind) {
    case 'accepted':
      return outcome;
    case 'invalid':
      return invalidChange(outcome.problems);
    case 'conflict':
      return revisionConflict(changes, outcome.theirs);
    case 'operation_reused':
      return adminError(
        'operation_reused',
        `operation id ${operationId} was used for a different request`,
      );
    case 'unavailable':
      return storeUnavailable(outcome.message);
    default:
      return outcomeUnknown(operationId, outcome.message);
  }
}

function invalidChange(problems: readonly unknown[]): AdminError {
  return adminError('invalid_change', 'the changes are not valid; the details list each problem', {
    problems,
  });
}

/** Holds the changes of both sides, so that the operator can decide without another request. */
function revisionConflict(
  yours: readonly ConfigChange[],
  theirs: readonly ConfigRevision[],
): AdminError {
  const message = 'the configuration was changed after the revision you read; nothing was applied';
  return adminError('conflict', message, { yours, theirs: theirs.map(toPublicRevision) });
}
