import { createConfigReader, createConfigStore } from '@mimosamill/adapters';
import { applyChanges, asId, createConfigReplica, EMPTY_CONFIG } from '@mimosamill/core';
import {
  createFakeObjectStore,
  createFakeTableStore,
  createRandom,
  createTableStoreModel,
  createVirtualTime,
} from '@mimosamill/fakes';
import type { ConfigReader, ObjectStore } from '@mimosamill/adapters';
import type { FleetConfig, OperationId, Revision, TeamId } from '@mimosamill/core';

/** Revisions that starting nodes missed, for two orders of reading the snapshot and the head. */
export interface BootstrapComparison {
  readonly runs: number;
  readonly changes: number;
  readonly tipFirstMissed: number;
  readonly snapshotFirstMissed: number;
  readonly snapshotFirstRunsWithMiss: number;
  /** Snapshot first, but then following from the snapshot's revision rather than from the head. */
  readonly snapshotFirstFollowedMissed: number;
  /** Starts in which a replica that checks the revision sequence detected the gap. */
  readonly snapshotFirstGapsNoticed: number;
}

const CHANGE_INTERVAL_MS = 40;
const START_INTERVAL_MS = 300;
/** Delay of each read, like that of a platform under load. */
const STORE_DELAY_MS = 60;
const FOLLOW_DELAY_MS = 500;

/** Starts nodes at intervals while the configuration keeps changing. */
export async function compareBootstrap(seed: number, runs: number): Promise<BootstrapComparison> {
  const time = createVirtualTime();
  const random = createRandom(seed);
  const faults = { isDown: false, delayMs: STORE_DELAY_MS, lostAnswerRatio: 0 };
  const model = createTableStoreModel();
  const tables = createFakeTableStore(model, time.clock, () => faults, random);
  const objects = createFakeObjectStore(time.clock, () => faults, random);
  // Writes have no delay, so that changes occur at a steady rate.
  const quick = { ...faults, delayMs: 0 };
  const store = createConfigStore(
    createFakeTableStore(model, time.clock, () => quick, random),
    { ...objects, put: (name, body) => objects.put(name, body) },
    time.clock,
  );
  const reader = createConfigReader(tables, objects);
  const results = {
    tip: [] as number[],
    snapshot: [] as number[],
    followed: [] as number[],
    noticed: 0,
  };
  let config: FleetConfig = EMPTY_CONFIG;
  let isWriting = false;

  async function write(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    const name = `t${config.revision}`;
    const changes = [{ kind: 'put_team', team: { id: asId<TeamId>(name), admins: [] } } as const];
    const outcome = await store.commit({
      baseConfig: config,
      changes,
      who: 'bench',
      why: 'bootstrap',
      operationId: asId<OperationId>(name),
      digest: '',
      atMs: 0,
    });
    if (outcome.kind === 'accepted') config = applyChanges(config, changes);
    isWriting = false;
  }

  async function startTipFirst(): Promise<void> {
    const read = await reader.readConfig();
    if (read.kind !== 'ok') return;
    const applied = await follow(reader, read.config, read.config.revision, time.clock.runAfter);
    results.tip.push(countMissing(applied.config, applied.upTo));
  }

  async function startSnapshotFirst(): Promise<void> {
    const snapshot = await readNewestSnapshot(objects);
    const head = await reader.readHead();
    if (head.kind !== 'ok') return;
    const from = head.head.revision;
    const applied = await follow(reader, snapshot, from, time.clock.runAfter);
    results.snapshot.push(countMissing(applied.config, applied.upTo));
    const followed = await follow(reader, snapshot, snapshot.revision, time.clock.runAfter);
    results.followed.push(countMissing(followed.config, followed.upTo));
    const replica = createConfigReplica(1);
    replica.installSnapshot(snapshot);
    if (replica.noteRevision(from).length > 0) results.noticed += 1;
  }

  time.clock.runEvery(CHANGE_INTERVAL_MS, () => {
    void write();
  });
  await time.run(10 * START_INTERVAL_MS);
  const startMs = time.clock.monotonicMs();
  for (let run = 0; run < runs; run += 1) {
    // A random offset spreads the starts over the whole time between two snapshots.
    time.clock.runAfter((run + random()) * START_INTERVAL_MS, () => {
      void startTipFirst();
      void startSnapshotFirst();
    });
  }
  await time.run(startMs + runs * START_INTERVAL_MS + 4 * FOLLOW_DELAY_MS);
  const missed = (counts: readonly number[]): number => counts.reduce((sum, n) => sum + n, 0);
  return {
    runs: Math.min(results.tip.length, results.snapshot.length),
    changes: config.revision,
    tipFirstMissed: missed(results.tip),
    snapshotFirstMissed: missed(results.snapshot),
    snapshotFirstFollowedMissed: missed(results.followed),
    snapshotFirstRunsWithMiss: results.snapshot.filter((n) => n > 0).length,
    snapshotFirstGapsNoticed: results.noticed,
  };
}

async function readNewestSnapshot(objects: ObjectStore): Promise<FleetConfig> {
  const listed = await objects.list('config/snapshot/');
  const name = listed.kind === 'ok' ? listed.names.at(-1) : undefined;
  if (name === undefined) return EMPTY_CONFIG;
  const read = await objects.get(name);
  return read.kind === 'ok' ? (JSON.parse(read.body) as FleetConfig) : EMPTY_CONFIG;
}

/** Applies the revisions after `from` without checking that the configuration is at `from`. */
async function follow(
  reader: ConfigReader,
  start: FleetConfig,
  from: Revision,
  after: (ms: number, fn: () => void) => void,
): Promise<{ config: FleetConfig; upTo: Revision }> {
  await new Promise<void>((resolve) => {
    after(FOLLOW_DELAY_MS, resolve);
  });
  const tail = await reader.readRevisionsAfter(from);
  const revisions = tail.kind === 'ok' ? tail.revisions : [];
  const config = revisions.reduce((now, entry) => applyChanges(now, entry.changes), start);
  return { config, upTo: revisions.at(-1)?.revision ?? from };
}

/** Counts missed revisions: each revision creates one team, which is missing if it was not applied. */
function countMissing(config: FleetConfig, upTo: Revision): number {
  const names = Array.from({ length: upTo }, (_, index) => `t${index}`);
  return names.filter((name) => !Object.hasOwn(config.teams, name)).length;
}
