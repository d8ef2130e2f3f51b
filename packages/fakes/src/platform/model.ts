import type {
  CommitOutcome,
  TableCondition,
  JsonValue,
  ListedHost,
  Row,
  Transaction,
} from '@mimosamill/adapters';

interface StoredRow extends Row {
  readonly expiresAtMs: number;
}

/** Rows and transactions of the table service. */
export interface TableStoreModel {
  readonly read: (keys: readonly string[], nowMs: number) => Row[];
  readonly scan: (prefix: string, afterKey: string, limit: number, nowMs: number) => Row[];
  readonly commit: (transaction: Transaction, nowMs: number) => CommitOutcome;
  readonly operationCounts: () => { readonly reads: number; readonly writes: number };
}

export function createTableStoreModel(): TableStoreModel {
  const rows = new Map<string, StoredRow>();
  // Versions rise over deletions too, so that a condition on an old row never holds again.
  let nextVersion = 1;
  let reads = 0;
  let writes = 0;

  function get(key: string, nowMs: number): StoredRow | undefined {
    const row = rows.get(key);
    if (row === undefined || row.expiresAtMs > nowMs) return row;
    rows.delete(key);
    return undefined;
  }

  function holds(condition: TableCondition, nowMs: number): boolean {
    const row = get(condition.key, nowMs);
    switch (condition.kind) {
      case 'absent':
        return row === undefined;
      case 'version':
        return row?.version === condition.version;
      default:
        return condition satisfies never;
    }
  }

  function put(key: string, value: JsonValue, expiresAtMs: number): void {
    rows.set(key, { key, value, version: nextVersion, expiresAtMs });
    nextVersion += 1;
  }

  function found(keys: readonly string[], nowMs: number): Row[] {
    return keys.flatMap((key) => toRows(get(key, nowMs)));
  }

  return {
    read: (keys, nowMs) => {
      reads += 1;
      return found(keys, nowMs);
    },
    scan: (prefix, afterKey, limit, nowMs) => {
      reads += 1;
      const keys = [...rows.keys()].filter((key) => key.startsWith(prefix) && key > afterKey);
      keys.sort();
      return found(keys, nowMs).slice(0, limit);
    },
    commit: (transaction, nowMs) => {
      writes += 1;
      const broken = transaction.conditions.filter((condition) => !holds(condition, nowMs));
      if (broken.length > 0) {
        const keys = broken.map(({ key }) => key);
        return { kind: 'conflict', rows: found(keys, nowMs) };
      }
      transaction.writes.forEach((write) => {
        if (write.kind === 'delete') rows.delete(write.key);
        else put(write.key, write.value, write.expiresAtMs ?? Infinity);
      });
      return { kind: 'ok' };
    },
    operationCounts: () => ({ reads, writes }),
  };
}

function toRows(row: StoredRow | undefined): Row[] {
  return row === undefined ? [] : [{ key: row.key, version: row.version, value: row.value }];
}

/** Host list whose readers see changes only after a lag. */
export interface HostListModel {
  readonly put: (host: ListedHost, nowMs: number) => void;
  readonly remove: (hostId: string, nowMs: number) => void;
  readonly read: (nowMs: number) => { readonly hosts: ListedHost[]; readonly asOfMs: number };
}

export function createHostListModel(lagMs: number): HostListModel {
  const changes: { atMs: number; hostId: string; host: ListedHost | undefined }[] = [];
  return {
    put: (host, nowMs) => {
      changes.push({ atMs: nowMs, hostId: host.hostId, host });
    },
    remove: (hostId, nowMs) => {
      changes.push({ atMs: nowMs, hostId, host: undefined });
    },
    read: (nowMs) => {
      const asOfMs = nowMs - lagMs;
      const hosts = new Map<string, ListedHost>();
      changes.forEach(({ atMs, hostId, host }) => {
        if (atMs > asOfMs) return;
        if (host === undefined) hosts.delete(hostId);
        else hosts.set(hostId, host);
      });
      return { hosts: [...hosts.values()], asOfMs };
    },
  };
}

/** Weight store that sends one download after another at a fixed rate. */
export interface WeightStoreModel {
  readonly sizeBytes: (model: string, version: string) => number;
  /** Time at which a download that starts now has arrived. */
  readonly startDownload: (model: string, version: string, nowMs: number) => number;
}

export function createWeightStoreModel(
  bytesPerSec: number,
  defaultSizeBytes: number,
): WeightStoreModel {
  let freeAtMs = 0;
  return {
    sizeBytes: () => defaultSizeBytes,
    startDownload: (_model, _version, nowMs) => {
      const durationMs = (defaultSizeBytes / bytesPerSec) * 1_000;
      freeAtMs = Math.max(freeAtMs, nowMs) + durationMs;
      return freeAtMs;
    },
  };
}
