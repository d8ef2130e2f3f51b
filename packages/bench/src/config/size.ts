import { sha256Hex } from '@mimosamill/adapters';
import {
  applyChanges,
  validateAndApply,
  asId,
  createConfigReplica,
  EMPTY_CONFIG,
} from '@mimosamill/core';
import type {
  ConfigChange,
  ConfigRevision,
  CustomerId,
  FleetConfig,
  OperationId,
  Revision,
  ServiceName,
  TeamId,
  VersionName,
} from '@mimosamill/core';

/** Memory and time that a configuration of the design's size takes. */
export interface SizeFigures {
  readonly customers: number;
  readonly snapshotKb: number;
  readonly replicaHeapMb: number;
  /** Median time to apply one change: on a replica, and with the administration API's checks. */
  readonly replicaApplyMs: number;
  readonly checkedApplyMs: number;
  readonly readSnapshotMs: number;
}

const CUSTOMERS = 5_100;
const SERVICES = 20;
const ROUNDS = 30;
const TEAM = asId<TeamId>('team');

export function measureSize(): SizeFigures {
  const config = createLargeConfig();
  const text = JSON.stringify(config);
  const before = process.memoryUsage().heapUsed;
  const start = performance.now();
  const copy = JSON.parse(text) as FleetConfig;
  const readSnapshotMs = performance.now() - start;
  const replicaHeapMb = (process.memoryUsage().heapUsed - before) / 1e6;
  const replica = createConfigReplica(ROUNDS);
  replica.installSnapshot(copy);
  const revisions = Array.from({ length: ROUNDS }, (_, index) => toRevision(config, index));
  const replicaApplyMs = median(revisions, (revision) => {
    replica.applyRevisions([revision]);
  });
  const checkedApplyMs = median(revisions, ({ changes }) => {
    validateAndApply(config, changes);
  });
  return {
    customers: CUSTOMERS,
    snapshotKb: text.length / 1_000,
    replicaHeapMb,
    replicaApplyMs,
    checkedApplyMs,
    readSnapshotMs,
  };
}

function createLargeConfig(): FleetConfig {
  const services = Array.from({ length: SERVICES }, (_, index) =>
    asId<ServiceName>(`service-${index}`),
  );
  return applyChanges(EMPTY_CONFIG, [
    { kind: 'put_team', team: { id: TEAM, admins: [] } },
    ...services.map((name): ConfigChange => ({
      kind: 'put_service',
      service: {
        kind: 'engine',
        name,
        team: TEAM,
        model: name,
        adapters: [],
        stableVersion: asId<VersionName>('v1'),
        fencing: 'enforced',
      },
    })),
    ...Array.from({ length: CUSTOMERS }, (_, index) => putCustomer(index, 1, services)),
  ]);
}

function putCustomer(
  index: number,
  weight: number,
  services: readonly ServiceName[],
): ConfigChange {
  const id = asId<CustomerId>(`customer-${index}`);
  // Two keys, as customers have while they replace one without interruption.
  const keyHashes = [sha256Hex(`${id}/1`), sha256Hex(`${id}/2`)];
  return { kind: 'put_customer', customer: { id, team: TEAM, keyHashes, weight, services } };
}

function toRevision(config: FleetConfig, index: number): ConfigRevision {
  return {
    revision: (config.revision + 1 + index) as Revision,
    who: 'bench',
    why: 'size',
    operationId: asId<OperationId>(`op-${index}`),
    atMs: 0,
    changes: [putCustomer(index, 2, [])],
    inverse: [],
  };
}

function median<T>(items: readonly T[], run: (item: T) => void): number {
  const times = items.map((item) => {
    const start = performance.now();
    run(item);
    return performance.now() - start;
  });
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)] ?? 0;
}
