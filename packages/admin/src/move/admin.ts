import { checkServiceAccess, getOwnEntry } from '@mimosamill/core';
import { adminError, outcomeUnknown, storeUnavailable } from '../api/errors';
import type { Clock, TableCondition, JsonValue, Row, TableStore } from '@mimosamill/adapters';
import type {
  Administrator,
  FleetConfig,
  MoveId,
  MoveRecord,
  OperationId,
  ServiceName,
  VersionName,
} from '@mimosamill/core';
import type { AdminError } from '../api/errors';

export interface MoveOrder {
  readonly operationId: OperationId;
  readonly service: ServiceName;
  readonly toVersion: VersionName;
  readonly byMs: number;
  readonly reason: string;
}

/** A move and the version of its row, which rises with every write. */
export interface StoredMove {
  readonly kind: 'move';
  readonly move: MoveRecord;
  readonly rowVersion: number;
}

export interface MovePage {
  readonly kind: 'page';
  readonly moves: readonly MoveRecord[];
  /** Id to pass as `after` for the next page; null on the last page. */
  readonly next: string | null;
}

/** Returns why an order certainly cannot be met; undefined if it may be met. */
export type MoveFeasibilityCheck = (
  order: MoveOrder,
  config: FleetConfig,
) => Promise<string | undefined>;

/** Orders, shows and cancels version moves. The controller carries them out. */
export interface MoveAdmin {
  readonly order: (
    admin: Administrator,
    config: FleetConfig,
    order: MoveOrder,
  ) => Promise<StoredMove | AdminError>;
  readonly cancel: (
    admin: Administrator,
    config: FleetConfig,
    id: MoveId,
    reason: string,
  ) => Promise<StoredMove | AdminError>;
  readonly show: (id: MoveId) => Promise<StoredMove | AdminError>;
  readonly list: (after: string, limit: number) => Promise<MovePage | AdminError>;
}

const MOVE_KEY_PREFIX = 'moves/';
/**
 * Key prefix of the row that names the last move of a service. An order writes it under a
 * condition, so that two operators cannot start two moves of a service at the same time.
 */
const LATEST_MOVE_KEY_PREFIX = 'move-latest/';
const MAX_COMMIT_ATTEMPTS = 4;
const RETRY_DELAY_MS = 200;

export function createMoveAdmin(
  tables: TableStore,
  clock: Clock,
  findObstacle: MoveFeasibilityCheck,
): MoveAdmin {
  const waitBeforeRetry = (): Promise<void> =>
    new Promise((resolve) => {
      clock.runAfter(RETRY_DELAY_MS, resolve);
    });

  async function readRows(keys: readonly string[]): Promise<(Row | undefined)[] | AdminError> {
    const answer = await tables.read(keys);
    if (answer.kind === 'unavailable') return storeUnavailable(answer.message);
    return keys.map((key) => answer.rows.find((row) => row.key === key));
  }

  async function show(id: MoveId): Promise<StoredMove | AdminError> {
    const rows = await readRows([moveKey(id)]);
    if (!Array.isArray(rows)) return rows;
    const [row] = rows;
    return row === undefined
      ? adminError('not_found', `there is no move ${id}`)
      : toStoredMove(row);
  }

  async function findRunning(
    latest: Row | undefined,
  ): Promise<StoredMove | AdminError | undefined> {
    if (latest === undefined) return undefined;
    const { moveId } = latest.value as { moveId: MoveId };
    const shown = await show(moveId);
    if (shown.kind === 'error') return shown.code === 'not_found' ? undefined : shown;
    return shown.move.state === 'running' ? shown : undefined;
  }

  async function order(
    admin: Administrator,
    config: FleetConfig,
    request: MoveOrder,
  ): Promise<StoredMove | AdminError> {
    const access = checkServiceAccess(config, admin, request.service);
    if (access.kind === 'denied') return adminError('forbidden', access.reason);
    const record = toRecord(admin, config, request, clock.nowMs());
    if ('kind' in record) return record;
    const key = moveKey(record.id);
    const latestKey = `${LATEST_MOVE_KEY_PREFIX}${request.service}`;
    let mayBeStored = false;
    const fail = (message: string): AdminError =>
      mayBeStored ? outcomeUnknown(request.operationId, message) : storeUnavailable(message);

    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
      const rows = await readRows([key, latestKey]);
      if (!Array.isArray(rows)) return fail(rows.message);
      const [stored, latest] = rows;
      if (stored !== undefined) return checkRepeat(toStoredMove(stored), request);
      const running = await findRunning(latest);
      if (running?.kind === 'error') return fail(running.message);
      if (running !== undefined) {
        const message = `move ${running.move.id} of ${request.service} is still running; wait for its end or cancel it`;
        return adminError('move_running', message, { move: running.move });
      }
      const refusal = await findRefusal(config, request, clock.nowMs(), findObstacle);
      if (refusal !== undefined) return refusal;
      const answer = await tables.commit({
        conditions: [{ kind: 'absent', key }, unchangedCondition(latestKey, latest)],
        writes: [
          { kind: 'put', key, value: toJson(record) },
          { kind: 'put', key: latestKey, value: { moveId: record.id } },
        ],
      });
      if (answer.kind === 'unavailable') return fail(answer.message);
      if (answer.kind === 'unknown') {
        mayBeStored = true;
        await waitBeforeRetry();
      }
      if (answer.kind === 'ok') return show(record.id);
    }
    return fail('each attempt met a concurrent write or was not answered');
  }

  async function cancel(
    admin: Administrator,
    config: FleetConfig,
    id: MoveId,
    reason: string,
  ): Promise<StoredMove | AdminError> {
    let mayBeStored = false;
    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
      const shown = await show(id);
      if (shown.kind === 'error') {
        return mayBeStored ? outcomeUnknown(id, shown.message) : shown;
      }
      const { move, rowVersion } = shown;
      const access = checkServiceAccess(config, admin, move.service);
      if (access.kind === 'denied') return adminError('forbidden', access.reason);
      if (move.state === 'cancelled') return shown;
      if (move.state !== 'running') {
        return adminError(
          'move_ended',
          `move ${id} cannot be cancelled: it has already ended as ${move.state}`,
          { move },
        );
      }
      const ended = { ...move, state: 'cancelled', reason, endedAtMs: clock.nowMs() } as const;
      const answer = await tables.commit({
        conditions: [{ kind: 'version', key: moveKey(id), version: rowVersion }],
        writes: [{ kind: 'put', key: moveKey(id), value: toJson(ended) }],
      });
      if (answer.kind === 'unavailable') {
        return mayBeStored ? outcomeUnknown(id, answer.message) : storeUnavailable(answer.message);
      }
      if (answer.kind === 'unknown') {
        mayBeStored = true;
        await waitBeforeRetry();
      }
    }
    return outcomeUnknown(id, 'each attempt met a concurrent write or was not answered');
  }

  return {
    order,
    cancel,
    show,
    list: async (after, limit) => {
      const answer = await tables.scan(MOVE_KEY_PREFIX, after === '' ? '' : moveKey(after), limit);
      if (answer.kind === 'unavailable') return storeUnavailable(answer.message);
      const moves = answer.rows.map((row) => toStoredMove(row).move);
      const isLast = answer.rows.length < limit;
      return { kind: 'page', moves, next: isLast ? null : (moves.at(-1)?.id ?? null) };
    },
  };
}

function toRecord(
  admin: Administrator,
  config: FleetConfig,
  request: MoveOrder,
  nowMs: number,
): MoveRecord | AdminError {
  const service = getOwnEntry(config.services, request.service);
  if (service === undefined) return adminError('not_found', `no service ${request.service}`);
  if (service.kind !== 'engine') {
    return adminError(
      'move_refused',
      `${request.service} is a plain service, which has no versions to move`,
    );
  }
  return {
    id: `m-${request.operationId}` as MoveId,
    service: request.service,
    fromVersion: service.stableVersion,
    toVersion: request.toVersion,
    byMs: request.byMs,
    state: 'running',
    reason: request.reason,
    orderedBy: `${admin.team}/${admin.name}`,
    orderedAtMs: nowMs,
    stepShareRatio: 0,
  };
}

async function findRefusal(
  config: FleetConfig,
  request: MoveOrder,
  nowMs: number,
  findObstacle: MoveFeasibilityCheck,
): Promise<AdminError | undefined> {
  const service = getOwnEntry(config.services, request.service);
  if (service?.kind === 'engine' && service.stableVersion === request.toVersion) {
    return adminError(
      'move_refused',
      `${request.service} already has the stable version ${request.toVersion}`,
    );
  }
  if (request.byMs <= nowMs) return adminError('move_refused', 'the deadline is in the past');
  const obstacle = await findObstacle(request, config);
  return obstacle === undefined ? undefined : adminError('move_refused', obstacle);
}

/** A repeated order returns its move; a different order with the same operation id is refused. */
function checkRepeat(shown: StoredMove, request: MoveOrder): StoredMove | AdminError {
  const { move } = shown;
  const isSame =
    move.service === request.service &&
    move.toVersion === request.toVersion &&
    move.byMs === request.byMs;
  if (isSame) return shown;
  return adminError(
    'operation_reused',
    `operation id ${request.operationId} was used for a different order`,
  );
}

function unchangedCondition(key: string, row: Row | undefined): TableCondition {
  if (row === undefined) return { kind: 'absent', key };
  return { kind: 'version', key, version: row.version };
}

function moveKey(id: string): string {
  return `${MOVE_KEY_PREFIX}${id}`;
}

function toStoredMove(row: Row): StoredMove {
  return {
    kind: 'move',
    move: row.value as unknown as MoveRecord,
    rowVersion: row.version,
  };
}

function toJson(record: MoveRecord): JsonValue {
  return { ...record } as unknown as JsonValue;
}
