import { UNLOAD_DELAY_MS, nextMoveEffects, planMove } from '@mimosamill/core';
import type { Clock, JsonValue, Row, TableStore } from '@mimosamill/adapters';
import type {
  MoveEffect,
  MoveId,
  MoveRecord,
  ObservedMove,
  MovePlanInput,
  MovePlanOutcome,
  ServiceConfig,
  VersionName,
} from '@mimosamill/core';
import type { LeaseManager } from '../lease/manager';
import type { EngineFleet, ServiceEngines } from './fleet';
import type { VersionConfigStore } from './version-config';
import type { WithdrawalPoller } from './withdrawals';

export interface MoveRunnerPorts {
  readonly tables: TableStore;
  readonly clock: Clock;
  readonly lease: LeaseManager;
  readonly config: VersionConfigStore;
  readonly fleet: EngineFleet;
  readonly withdrawals: Pick<WithdrawalPoller, 'withdrawalReason' | 'isFresh'>;
  /** Called at most once per move in the whole fleet, by the process that claimed the report. */
  readonly onEnded: (record: MoveRecord) => void;
  /** Called when a version is withdrawn after its move has ended as done. */
  readonly onReversed: (record: MoveRecord, reason: string) => void;
}

export interface MoveRunner {
  /** Reads the moves and applies the effects that are due; does nothing without the lease. */
  readonly poll: () => Promise<void>;
}

interface StoredMove {
  readonly record: MoveRecord;
  readonly rowVersion: number;
}

const MOVE_KEY_PREFIX = 'moves/';
const REPORT_KEY_PREFIX = 'move-reports/';
const ROWS_PER_PAGE = 200;

/**
 * Time between two reads of all rows. The rows of ended moves are kept as history, so reading all
 * of them costs more than reading the open moves, which happens in every round.
 */
const SCAN_INTERVAL_MS = 5_000;

/** Least remaining time of the lease with which a write is started. */
const MIN_LEASE_REMAINING_MS = 1_000;

/**
 * Time after its end for which a move is still read. It exceeds the delay of unloading by an hour,
 * in which the end is reported and the version without traffic unloaded.
 */
const ENDED_MOVE_RETENTION_MS = UNLOAD_DELAY_MS + 3_600_000;

export function createMoveRunner(ports: MoveRunnerPorts): MoveRunner {
  const { tables, clock, lease, config, fleet } = ports;
  const plans = new Map<MoveId, MovePlanOutcome>();
  const completedMoveIds = new Set<MoveId>();
  const reportedMoveIds = new Set<MoveId>();
  let openMoveIds: readonly MoveId[] = [];
  let nextScanMs = 0;

  function hasLeaseTime(): boolean {
    return lease.remainingMs() >= MIN_LEASE_REMAINING_MS;
  }

  /** Scans for new moves once per interval; in between, reads only the open moves. */
  async function readMoves(): Promise<StoredMove[]> {
    if (clock.monotonicMs() >= nextScanMs) return scanMoves();
    if (openMoveIds.length === 0) return [];
    const answer = await tables.read(openMoveIds.map((id) => `${MOVE_KEY_PREFIX}${id}`));
    return answer.kind === 'ok' ? answer.rows.map(toStored) : [];
  }

  async function scanMoves(): Promise<StoredMove[]> {
    const moves: StoredMove[] = [];
    let afterKey = '';
    for (;;) {
      const page = await tables.scan(MOVE_KEY_PREFIX, afterKey, ROWS_PER_PAGE);
      if (page.kind !== 'ok') return [];
      moves.push(...page.rows.map(toStored));
      if (page.rows.length < ROWS_PER_PAGE) break;
      afterKey = page.rows.at(-1)?.key ?? '';
    }
    nextScanMs = clock.monotonicMs() + SCAN_INTERVAL_MS;
    const open = moves.filter(
      ({ record }) => !isPastRetention(record) && !completedMoveIds.has(record.id),
    );
    openMoveIds = open.map(({ record }) => record.id);
    return open;
  }

  async function runMove(move: StoredMove): Promise<void> {
    const { record } = move;
    if (completedMoveIds.has(record.id)) return;
    if (record.state !== 'running') {
      plans.delete(record.id);
      await reportEnd(record);
    }
    const service = await config.read(record.service);
    if (service === undefined) return;
    const engines = await fleet.describe(service, record.toVersion);
    const cannotObserve = engines === undefined || !ports.withdrawals.isFresh();
    if (cannotObserve && record.state === 'running' && !mustEnd(record)) return;
    const observed = createObservedMove(record, service, engines);
    const effects = nextMoveEffects(observed, planFor(record, engines), clock.nowMs());
    for (const effect of effects) {
      if (!hasLeaseTime()) return;
      await applyEffect(effect, move, service);
    }
  }

  function isPastRetention(record: MoveRecord): boolean {
    return clock.nowMs() > (record.endedAtMs ?? Number.POSITIVE_INFINITY) + ENDED_MOVE_RETENTION_MS;
  }

  function mustEnd(record: MoveRecord): boolean {
    return clock.nowMs() >= record.byMs || ports.withdrawals.withdrawalReason(record) !== undefined;
  }

  function createObservedMove(
    record: MoveRecord,
    service: ServiceConfig,
    engines: ServiceEngines | undefined,
  ): ObservedMove {
    const isEngine = service.kind === 'engine';
    return {
      record,
      withdrawnReason: ports.withdrawals.withdrawalReason(record),
      loadedCount: engines?.loadedCount(record.toVersion) ?? 0,
      stableVersion: isEngine ? service.stableVersion : record.fromVersion,
      candidate: isEngine ? service.candidate : undefined,
    };
  }

  /** Plans the steps that are left. A process plans each move once and then keeps the plan. */
  function planFor(record: MoveRecord, engines: ServiceEngines | undefined): MovePlanOutcome {
    const knownPlan = plans.get(record.id);
    if (knownPlan !== undefined) return knownPlan;
    if (engines === undefined) return { kind: 'refused', reason: 'the engines cannot be read' };
    if (engines.obstacle !== undefined) return { kind: 'refused', reason: engines.obstacle };
    const input: MovePlanInput = {
      nowMs: clock.nowMs(),
      orderedAtMs: record.orderedAtMs,
      deadlineMs: record.byMs,
      reachedShareRatio: record.stepShareRatio,
      engineCount: engines.engineCount,
      loadedCount: engines.loadedCount(record.toVersion),
      busyRatio: engines.busyRatio,
      sizeBytes: engines.sizeBytes,
      bytesPerSec: engines.bytesPerSec,
    };
    const plan = planMove(input);
    if (plan.kind === 'ok') plans.set(record.id, plan);
    return plan;
  }

  async function applyEffect(
    effect: MoveEffect,
    move: StoredMove,
    service: ServiceConfig,
  ): Promise<void> {
    const { record } = move;
    switch (effect.kind) {
      case 'end':
        await endMove(move, effect);
        return;
      case 'record_step':
        await storeRecord(move, { ...record, stepShareRatio: effect.shareRatio });
        return;
      case 'load_new':
        if (service.kind !== 'engine') return;
        await fleet.load(service, record.toVersion, effect.engineCount, effect.concurrency);
        return;
      case 'set_candidate':
        await config.setCandidateVersion(
          record.service,
          effect.candidate,
          operationId(record, `share-${effect.candidate.shareRatio}`),
        );
        return;
      case 'clear_candidate':
        await config.setCandidateVersion(record.service, undefined, operationId(record, 'clear'));
        return;
      case 'set_stable':
        await setStableVersion(record, effect.version, effect.isReversal);
        return;
      case 'unload':
        if (service.kind !== 'engine') return;
        if (await fleet.unload(service, effect.version)) completedMoveIds.add(record.id);
        return;
      default:
        effect satisfies never;
    }
  }

  async function endMove(
    move: StoredMove,
    effect: Extract<MoveEffect, { kind: 'end' }>,
  ): Promise<void> {
    const { state, reason } = effect;
    const ended = { ...move.record, state, reason, endedAtMs: clock.nowMs() };
    const isStored = await storeRecord(move, ended);
    if (isStored) await reportEnd(ended);
  }

  /** False also for an unanswered commit; the next read shows whether it took effect. */
  async function storeRecord(move: StoredMove, record: MoveRecord): Promise<boolean> {
    const key = `${MOVE_KEY_PREFIX}${record.id}`;
    const outcome = await tables.commit({
      conditions: [{ kind: 'version', key, version: move.rowVersion }],
      writes: [{ kind: 'put', key, value: { ...record } as unknown as JsonValue }],
    });
    return outcome.kind === 'ok';
  }

  /** Only the process that has created the row under `move-reports/` reports, so at most one does. */
  async function reportEnd(record: MoveRecord): Promise<void> {
    if (reportedMoveIds.has(record.id)) return;
    const key = `${REPORT_KEY_PREFIX}${record.id}`;
    const { holder } = lease;
    const outcome = await tables.commit({
      conditions: [{ kind: 'absent', key }],
      writes: [{ kind: 'put', key, value: { holder } }],
    });
    if (outcome.kind === 'unavailable') return;
    const isOurs = outcome.kind === 'ok' || (await isReportClaimedBy(key, holder));
    if (isOurs === undefined) return;
    reportedMoveIds.add(record.id);
    if (isOurs) ports.onEnded(record);
  }

  /** Undefined if the row cannot be read. */
  async function isReportClaimedBy(key: string, holder: string): Promise<boolean | undefined> {
    const outcome = await tables.read([key]);
    if (outcome.kind !== 'ok') return undefined;
    const value = outcome.rows[0]?.value as { holder: string } | undefined;
    return value === undefined ? undefined : value.holder === holder;
  }

  async function setStableVersion(
    record: MoveRecord,
    version: VersionName,
    isReversal: boolean,
  ): Promise<void> {
    const id = operationId(record, isReversal ? 'reverse' : 'done');
    const outcome = await config.setStableVersion(record.service, version, id);
    if (!isReversal || outcome !== 'ok') return;
    ports.onReversed(record, ports.withdrawals.withdrawalReason(record) ?? '');
  }

  return {
    poll: async () => {
      if (!hasLeaseTime()) return;
      const moves = await readMoves();
      for (const move of moves) {
        if (!hasLeaseTime()) return;
        await runMove(move);
      }
    },
  };
}

function toStored(row: Row): StoredMove {
  return { record: row.value as unknown as MoveRecord, rowVersion: row.version };
}

function operationId(record: MoveRecord, step: string): string {
  return `move/${record.id}/${step}`;
}
