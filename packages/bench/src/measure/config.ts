import { isDeepStrictEqual } from 'node:util';
import { createAdminClient } from '@mimosamill/admin';
import {
  createConfigReader,
  createObjectStore,
  createTableStore,
  sha256Hex,
} from '@mimosamill/adapters';
import { createRandom } from '@mimosamill/fakes';
import { compareBootstrap } from '../config/bootstrap';
import { BASELINE_FAULTS, startChaos } from '../config/chaos';
import { createObserver } from '../config/observer';
import { createOperators } from '../config/operators';
import { measureSize } from '../config/size';
import { startFleet } from '../fleet/fleet';
import type { FleetConfig } from '@mimosamill/core';
import type { Chaos } from '../config/chaos';
import type { Observer } from '../config/observer';
import type { AcceptedChange, Operators } from '../config/operators';
import type { Fleet, FleetNode, RouterSpec } from '../fleet/fleet';
import type { Measurement, MeasureOptions, MeasureResult } from './measurement';

const NODES = 24;
const DOMAINS = 6;
const CHANGES = 100;
const FULL_CHANGES = 400;
const CHANGE_PERIOD_MS = 200;
const RACING_CHANGE_RATIO = 0.25;
const FAULT_INTERVAL_MS = 1_000;
const ROUTERS_STARTED_TOGETHER = 8;
const CONVERGE_LIMIT_MS = 30_000;
const BOOTSTRAP_RUNS = 300;
/** Guarantee 9. */
const IN_FORCE_LIMIT_MS = 8_000;
const ADMIN_KEY = 'measurement-key';

/** Configuration changes on real processes under faults. */
export const configMeasurement: Measurement = {
  name: 'config',
  summary: 'configuration changes reaching 24 routers under outages, lost answers and restarts',
  run: measure,
};

interface TestSetup {
  readonly fleet: Fleet;
  /** Time after the last start until every router knew every other. */
  readonly convergedMs: number;
  readonly routers: Map<string, FleetNode>;
  readonly observer: Observer;
  readonly operators: Operators;
}

async function measure({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const bootstrap = await compareBootstrap(seed, BOOTSTRAP_RUNS);
  const size = measureSize();
  const random = createRandom(seed);
  const fleet = await startFleet({ seed });
  try {
    const stage = await startSetup(fleet);
    const chaos = startChaos({
      fleet,
      observer: stage.observer,
      routers: stage.routers,
      routerSpecOf: routerSpec,
      neverRestartedIds: [routerId(0), routerId(1)],
      random,
      faultIntervalMs: FAULT_INTERVAL_MS,
    });
    await makeChanges(stage.operators, isFull ? FULL_CHANGES : CHANGES, random);
    await chaos.stop();
    await settle(stage);
    const result = await summarise(stage, chaos);
    stage.observer.stop();
    return {
      ...result,
      size: {
        customers: size.customers,
        snapshot_kb: Math.round(size.snapshotKb),
        replica_heap_mb: round2(size.replicaHeapMb),
        replica_apply_ms: round2(size.replicaApplyMs),
        checked_apply_ms: round2(size.checkedApplyMs),
        read_snapshot_ms: round2(size.readSnapshotMs),
      },
      bootstrap: {
        runs: bootstrap.runs,
        changes: bootstrap.changes,
        tip_first_missed_revisions: bootstrap.tipFirstMissed,
        snapshot_first_missed_revisions: bootstrap.snapshotFirstMissed,
        snapshot_first_followed_from_snapshot_missed_revisions:
          bootstrap.snapshotFirstFollowedMissed,
        snapshot_first_runs_with_miss: bootstrap.snapshotFirstRunsWithMiss,
        snapshot_first_gaps_noticed_by_sequence: bootstrap.snapshotFirstGapsNoticed,
      },
    };
  } finally {
    await fleet.stop();
  }
}

function round2(value: number): number {
  return Math.round(value * 100) / 100;
}

function routerId(index: number): string {
  return `router-${index}`;
}

function routerSpec(id: string): RouterSpec {
  const index = Number(id.split('-')[1]);
  return { id, failureDomain: `domain-${index % DOMAINS}`, settings: { logLevel: 'warn' } };
}

async function startSetup(fleet: Fleet): Promise<TestSetup> {
  const observer = createObserver(fleet.http);
  const routers = new Map<string, FleetNode>();
  // The first routers are the seeds of the others.
  for (let first = 0; first < NODES; first += ROUTERS_STARTED_TOGETHER) {
    const ids = Array.from({ length: ROUTERS_STARTED_TOGETHER }, (_, index) =>
      routerId(first + index),
    );
    const nodes = await Promise.all(ids.map((id) => fleet.startRouter(routerSpec(id))));
    ids.forEach((id, index) => {
      const node = nodes[index];
      if (node !== undefined) routers.set(id, node);
    });
  }
  routers.forEach(({ peerAddress = '' }, id) => observer.watch(id, peerAddress));
  const convergedMs = await waitForMembers(fleet, routers);
  const admins = await Promise.all(
    [routerId(0), routerId(1)].map((id) =>
      fleet.startAdmin({
        platform: fleet.platformAddress,
        routerPeer: routers.get(id)?.peerAddress,
        logLevel: 'warn',
        firstAdministrator: { team: 'operators', name: 'bench', keyHash: sha256Hex(ADMIN_KEY) },
      }),
    ),
  );
  const [first, second] = admins.map(({ address }) =>
    createAdminClient({ server: address, key: ADMIN_KEY }),
  );
  if (first === undefined || second === undefined) throw new Error('no administration API');
  await fleet.setFaults(BASELINE_FAULTS);
  return { fleet, convergedMs, routers, observer, operators: createOperators([first, second]) };
}

/** Changes start in a settled fleet; a start of all routers at once is not what is measured. */
async function waitForMembers(
  fleet: Fleet,
  routers: ReadonlyMap<string, FleetNode>,
): Promise<number> {
  const startMs = performance.now();
  const addresses = [...routers.values()].map(({ peerAddress = '' }) => peerAddress);
  for (;;) {
    const counts = await Promise.all(addresses.map((address) => countAlive(fleet, address)));
    const elapsedMs = performance.now() - startMs;
    if (counts.every((count) => count >= NODES) || elapsedMs > CONVERGE_LIMIT_MS) return elapsedMs;
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
  }
}

async function countAlive(fleet: Fleet, peerAddress: string): Promise<number> {
  const answer = (await fleet.get(peerAddress, '/config.members')) as {
    result: { data: readonly { state: string }[] };
  };
  return answer.result.data.filter(({ state }) => state === 'alive').length;
}

/** Makes changes at a steady pace until enough are accepted. */
async function makeChanges(
  operators: Operators,
  count: number,
  random: () => number,
): Promise<void> {
  while (operators.accepted.length < count) {
    const startMs = performance.now();
    if (random() < RACING_CHANGE_RATIO) await operators.race();
    else await operators.change();
    const leftMs = CHANGE_PERIOD_MS - (performance.now() - startMs);
    await new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, leftMs));
    });
  }
}

/** Waits until all routers have the last revision, but no longer than they are allowed to. */
async function settle({ observer, operators }: TestSetup): Promise<void> {
  const last = Math.max(...operators.accepted.map(({ revision }) => revision));
  const untilMs = performance.now() + IN_FORCE_LIMIT_MS;
  while (performance.now() < untilMs && observer.lowestRevision() < last) {
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
  }
}

async function summarise(stage: TestSetup, chaos: Chaos): Promise<MeasureResult> {
  const { fleet, observer, operators, routers } = stage;
  await fleet.setFaults({});
  const platform = { address: fleet.platformAddress, timeoutMs: 5_000 };
  const reader = createConfigReader(
    createTableStore(fleet.http, platform),
    createObjectStore(fleet.http, platform),
  );
  const stored = await reader.readConfig();
  if (stored.kind !== 'ok') throw new Error(stored.message);
  const times = operators.accepted.map(({ revision, acceptedAtMs }) =>
    observer.inForceMs(revision, acceptedAtMs),
  );
  const known = times.filter((ms) => ms !== undefined).sort((a, b) => a - b);
  const configs = await Promise.all(
    [...routers.values()].map(({ peerAddress = '' }) => readRouterConfig(fleet, peerAddress)),
  );
  const { reverts, restartedBehind } = observer.counts();
  const { conflicts, races, wrongRaces, lookedUp, retries } = operators.counts();
  return {
    nodes: routers.size,
    changes: operators.accepted.length,
    in_force_p50_ms: Math.round(known[Math.ceil(known.length * 0.5) - 1] ?? -1),
    in_force_p95_ms: Math.round(known[Math.ceil(known.length * 0.95) - 1] ?? -1),
    in_force_max_ms: Math.round(known.at(-1) ?? -1),
    never_in_force: times.length - known.length,
    reverts,
    restarted_behind: restartedBehind,
    lost_accepted: countLost(operators.accepted, stored.config),
    routers_differing_from_store: configs.filter(
      (config) => !isDeepStrictEqual(config, stored.config),
    ).length,
    routers_compared: configs.length,
    conflicts_reported: conflicts,
    races,
    races_without_exactly_one_acceptance: wrongRaces,
    lost_answers_looked_up: lookedUp,
    operator_retries: retries,
    members_converged_ms: Math.round(stage.convergedMs),
    faults: chaos.counts(),
  };
}

/** Each accepted change created a team of its own. */
function countLost(accepted: readonly AcceptedChange[], config: FleetConfig): number {
  return accepted.filter(({ operationId, revision }) => {
    const team = operationId.replace('op', 'team');
    return revision > config.revision || !Object.hasOwn(config.teams, team);
  }).length;
}

async function readRouterConfig(
  fleet: Fleet,
  peerAddress: string,
): Promise<FleetConfig | undefined> {
  let text = '';
  for (;;) {
    const input = encodeURIComponent(JSON.stringify({ offset: text.length }));
    const answer = (await fleet.get(peerAddress, `/config.snapshot?input=${input}`)) as {
      result: { data: { kind: string; text: string; totalChars: number } };
    };
    const { data } = answer.result;
    if (data.kind !== 'part') return undefined;
    text += data.text;
    if (text.length >= data.totalChars) return JSON.parse(text) as FleetConfig;
  }
}
