import { asId } from '@mimosamill/core';
import type {
  Clock,
  CommitOutcome,
  TableCondition,
  JsonValue,
  Row,
  TableStore,
  Transaction,
} from '@mimosamill/adapters';
import type {
  CandidateVersion,
  EngineServiceConfig,
  MoveId,
  MoveRecord,
  ServiceName,
  TeamId,
  VersionName,
} from '@mimosamill/core';
import type { EngineFleet, VersionConfigStore } from '../src/index';

export const SERVICE = asId<ServiceName>('lackschrift');
export const OLD_VERSION = asId<VersionName>('v1');
export const NEW_VERSION = asId<VersionName>('v2');

/**
 * How a commit fails. 'answer_lost' applies the commit and 'request_lost' does not, but both answer
 * 'unknown'; 'unavailable' answers that nothing was applied.
 */
export type CommitFault = 'none' | 'answer_lost' | 'request_lost' | 'unavailable';

export interface MemoryTables extends TableStore {
  readonly rows: Map<string, Row>;
  /** Faults of the next commits, in order; later commits succeed. */
  readonly setNextCommitFaults: (faults: readonly CommitFault[]) => void;
}

export function createMemoryTables(): MemoryTables {
  const rows = new Map<string, Row>();
  let faults: CommitFault[] = [];

  function holds(condition: TableCondition): boolean {
    const row = rows.get(condition.key);
    return condition.kind === 'absent' ? row === undefined : row?.version === condition.version;
  }

  function apply(transaction: Transaction): CommitOutcome {
    if (!transaction.conditions.every(holds)) return { kind: 'conflict', rows: [] };
    transaction.writes.forEach((write) => {
      if (write.kind === 'delete') rows.delete(write.key);
      else putRow(write.key, write.value);
    });
    return { kind: 'ok' };
  }

  function putRow(key: string, value: JsonValue): void {
    rows.set(key, { key, value, version: (rows.get(key)?.version ?? 0) + 1 });
  }

  return {
    rows,
    setNextCommitFaults: (next) => {
      faults = [...next];
    },
    read: async (keys) => ({
      kind: 'ok',
      rows: keys.flatMap((key) => rows.get(key) ?? []),
    }),
    scan: async (prefix, afterKey, limit) => ({
      kind: 'ok',
      rows: [...rows.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > afterKey)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit),
    }),
    commit: async (transaction) => {
      const fault = faults.shift() ?? 'none';
      if (fault === 'unavailable') return { kind: 'unavailable', message: 'test' };
      if (fault === 'request_lost') return { kind: 'unknown', message: 'test' };
      const outcome = apply(transaction);
      return fault === 'answer_lost' ? { kind: 'unknown', message: 'test' } : outcome;
    },
  };
}

export interface ManualClock extends Clock {
  readonly advance: (ms: number) => void;
}

export function createManualClock(startMs = 0): ManualClock {
  let nowMs = startMs;
  return {
    nowMs: () => nowMs,
    monotonicMs: () => nowMs,
    runAfter: () => () => undefined,
    runEvery: () => () => undefined,
    advance: (ms) => {
      nowMs += ms;
    },
  };
}

/** Versions of one service, in memory; a repeated operation id changes nothing. */
export interface MemoryVersionConfig extends VersionConfigStore {
  readonly currentService: () => EngineServiceConfig;
}

export function createMemoryVersionConfig(): MemoryVersionConfig {
  const operations = new Set<string>();
  let service: EngineServiceConfig = {
    kind: 'engine',
    name: SERVICE,
    team: asId<TeamId>('team'),
    model: 'lackschrift',
    adapters: [],
    stableVersion: OLD_VERSION,
    fencing: 'ignored',
  };

  function change(operationId: string, next: EngineServiceConfig): 'ok' {
    if (!operations.has(operationId)) service = next;
    operations.add(operationId);
    return 'ok';
  }

  function withoutCandidate(): EngineServiceConfig {
    const rest: { candidate?: CandidateVersion } & EngineServiceConfig = { ...service };
    delete rest.candidate;
    return rest;
  }

  return {
    currentService: () => service,
    read: async () => service,
    setCandidateVersion: async (_name, candidate: CandidateVersion | undefined, operationId) =>
      change(operationId, candidate === undefined ? withoutCandidate() : { ...service, candidate }),
    setStableVersion: async (_name, stableVersion, operationId) =>
      change(operationId, { ...withoutCandidate(), stableVersion }),
  };
}

/** Engines in memory that load a version as soon as it is ordered. */
export function createMemoryFleet(engineCount: number): EngineFleet & { loaded: () => number } {
  let loaded = 0;
  return {
    loaded: () => loaded,
    describe: async () => ({
      engineCount,
      busyRatio: 0.6,
      sizeBytes: 1_000_000_000,
      bytesPerSec: 1_000_000_000,
      loadedCount: (version) => (version === NEW_VERSION ? loaded : engineCount),
    }),
    load: async (_config, _version, count) => {
      loaded = Math.max(loaded, count);
    },
    unload: async (_config, version) => {
      if (version === NEW_VERSION) loaded = 0;
      return true;
    },
  };
}

export function createMoveRecord(byMs: number): MoveRecord {
  return {
    id: asId<MoveId>('m-1'),
    service: SERVICE,
    fromVersion: OLD_VERSION,
    toVersion: NEW_VERSION,
    byMs,
    state: 'running',
    reason: '',
    orderedBy: 'test',
    orderedAtMs: 0,
    stepShareRatio: 0,
  };
}
