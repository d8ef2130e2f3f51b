import { createLeaseManager, createMoveRunner } from '@mimosamill/controller';
import { asAttemptNo, asId, asRevision, FLEET_DEFAULTS, packedEngineCount } from '@mimosamill/core';
import { createFakeTableStore, createTableStoreModel } from '@mimosamill/fakes';
import { createMoveMonitor } from '@mimosamill/router';
import { createBadRequestCounter } from './result';
import { createTimeline } from './timeline';
import { createTraffic } from './traffic';
import type { Clock, JsonValue } from '@mimosamill/adapters';
import type { EngineFleet, VersionConfigStore } from '@mimosamill/controller';
import type {
  AttemptObserver,
  EngineId,
  EngineServiceConfig,
  EngineVersions,
  FailureDomain,
  FleetConfig,
  Hash32,
  MoveId,
  MoveRecord,
  Region,
  RequestId,
  RouterId,
  ServiceName,
  TeamId,
  VersionName,
  Withdrawal,
} from '@mimosamill/core';
import type { Member, MoveMonitor } from '@mimosamill/router';
import type { MoveResult } from './result';
import type { Scenario } from './scenario';
import type { SimulatedAttempt } from './traffic';

const SERVICE = asId<ServiceName>('lackschrift');
const OLD = asId<VersionName>('v1');
const NEW = asId<VersionName>('v2');
const MOVE = asId<MoveId>('m-1');
const ROUTER_COUNT = 3;
const SECOND_MS = 1_000;
const LEASE_TERM_MS = 10_000;
const WEIGHTS_LOAD_MS = 2_000;
/** Messages between routers that do not arrive. */
const LOST_MESSAGE_RATIO = 0.05;
/** Time until a router has a new configuration. */
const MAX_CONFIG_DELAY_MS = 3_000;
/** After the deadline, time for the last reports. */
const REPORT_GRACE_MS = 60_000;

interface RunningAttempt {
  readonly comparedVersion: 'new' | 'old';
  readonly engine: number;
  readonly observer: AttemptObserver;
  isEnded: boolean;
}

/** Runs a move with the routers' and controllers' own code on simulated traffic. */
export async function simulatePairedMove(scenario: Scenario, hash: Hash32): Promise<MoveResult> {
  let nowMs = 0;
  const clock = createClock(() => nowMs);
  const timeline = createTimeline((atMs) => {
    nowMs = atMs;
  });
  const traffic = createTraffic(scenario);
  const harm = createBadRequestCounter();
  const faults = { isDown: false, delayMs: 0, lostAnswerRatio: scenario.lostAnswerRatio };
  const model = createTableStoreModel();
  const tables = createFakeTableStore(model, clock, () => faults, traffic.random);
  const config = createConfig();
  const fleet = createEngineFleet(scenario, clock);
  const routers = createRouters();
  const ended: MoveRecord[] = [];
  const storedEnds = new Set<string>();
  const controllers = ['host-1', 'host-2'].map(createController);
  let running: RunningAttempt[] = [];

  function createRouters(): { watch: MoveMonitor; setConfig: (next: FleetConfig) => void }[] {
    const members = Array.from({ length: ROUTER_COUNT }, (_, i) => createMember(`r-${i}`));
    const watches: MoveMonitor[] = [];
    const listeners: ((item: Withdrawal) => void)[] = [];
    return members.map((self, i) => {
      let current: FleetConfig | undefined;
      const onChange: ((next: FleetConfig) => void)[] = [];
      const watch = createMoveMonitor({
        config: {
          current: () => current,
          onChange: (fn) => onChange.push(fn),
          notReadyReason: () => undefined,
        },
        membership: { self: () => self, members: () => members, onChange: () => undefined },
        gossip: {
          publish: (item) => {
            const delayMs = SECOND_MS + traffic.random() * SECOND_MS;
            timeline.schedule(nowMs + delayMs, () => listeners.forEach((fn) => fn(item)));
          },
          onWithdrawal: (fn) => listeners.push(fn),
        },
        clock,
        hash,
        readRecord: async () => storedMove(),
        sendEvidence: async (peer, message) => {
          if (traffic.random() < LOST_MESSAGE_RATIO) return undefined;
          return watches[members.indexOf(peer)]?.onEvidence(message);
        },
        onWithdrawn: () => undefined,
      });
      watches[i] = watch;
      const setConfig = (next: FleetConfig): void => {
        current = next;
        onChange.forEach((fn) => fn(next));
      };
      return { watch, setConfig };
    });
  }

  function createController(holder: string, index: number) {
    const settings = { duty: 'moves', holder, termMs: LEASE_TERM_MS };
    const lease = createLeaseManager(settings, tables, clock);
    const runner = createMoveRunner({
      tables,
      clock,
      lease,
      config: config.port,
      fleet: fleet.port,
      withdrawals: {
        withdrawalReason: () => routers[index]?.watch.withdrawals()[0]?.reason,
        isFresh: () => true,
      },
      onEnded: (record) => ended.push(record),
      onReversed: () => undefined,
    });
    return { lease, runner };
  }

  function storedMove(): MoveRecord | undefined {
    return model.read([`moves/${MOVE}`], nowMs)[0]?.value as unknown as MoveRecord | undefined;
  }

  function onRequest(atMs: number, id: number): void {
    harm.onRequest();
    const router = routers[Math.floor(traffic.random() * ROUTER_COUNT)];
    const service = config.seen(router === undefined ? 0 : routers.indexOf(router));
    if (router === undefined) return;
    const choice = router.watch.chooseVersion(service, asId<RequestId>(`q-${id}`));
    if (choice.kind === 'none' || choice.group === 'other') return;
    const side = choice.version === NEW ? 'new' : 'old';
    const share = service.candidate?.shareRatio ?? 0;
    const loads = groupLoads(scenario, share);
    const attempt = traffic.simulateAttempt(
      side,
      side === 'new' ? loads.newLoad : loads.oldLoad,
      atMs,
    );
    if (side === 'new') harm.onNewVersion(atMs, isBadAt(scenario, atMs), attempt.isAffected);
    const observer = router.watch.onAttempt({
      service: SERVICE,
      version: choice.version,
      attemptNo: asAttemptNo(1),
      route: `route-${attempt.route}`,
      group: choice.group,
      controlLoadRatio: loads.oldLoad,
      engineId: asId<EngineId>(`${side}-engine`),
    });
    follow(attempt, side, loads.engineCount, observer);
  }

  function follow(
    attempt: SimulatedAttempt,
    comparedVersion: 'new' | 'old',
    engineCount: number,
    observer: AttemptObserver,
  ): void {
    const engine = Math.floor(traffic.random() * engineCount);
    const entry: RunningAttempt = { comparedVersion, engine, observer, isEnded: false };
    running.push(entry);
    const firstMs = attempt.startMs + attempt.firstTokenMs;
    if (attempt.hasFailed) {
      timeline.schedule(firstMs, () => finish(entry, 'failed'));
      return;
    }
    timeline.schedule(firstMs, () => {
      if (!entry.isEnded) observer.onFirstToken(nowMs);
    });
    timeline.schedule(firstMs + attempt.gapMs * attempt.gapCount, () => {
      for (let i = 0; i < attempt.gapCount && !entry.isEnded; i += 1) observer.onGap(attempt.gapMs);
      finish(entry, 'ok');
    });
  }

  function finish(entry: RunningAttempt, outcome: 'ok' | 'failed' | 'lost'): void {
    if (entry.isEnded) return;
    entry.isEnded = true;
    entry.observer.onOutcome(outcome, nowMs);
  }

  function killEngines(): void {
    const share = config.current().candidate?.shareRatio ?? 0;
    const isUsed = share > 0 && routers[0]?.watch.withdrawals().length === 0;
    const newCount = isUsed ? fleet.loadedCount() : 0;
    const isPossible = isBadAt(scenario, nowMs) || scenario.noise === 'engine_crash';
    if (!isPossible) return;
    const oldCount = scenario.engineCount - newCount;
    if (traffic.drawEngineDeath('new', newCount, nowMs)) kill('new', newCount);
    if (traffic.drawEngineDeath('old', oldCount, nowMs)) kill('old', oldCount);
  }

  function kill(side: 'new' | 'old', count: number): void {
    const dead = Math.floor(traffic.random() * count);
    running
      .filter((entry) => entry.comparedVersion === side && entry.engine === dead)
      .forEach((entry) => finish(entry, 'lost'));
    const engineId = `${side}-${dead}-${nowMs}`;
    const engines = versionsOf(scenario.engineCount, fleet.loadedCount());
    const engine = { engineId: asId<EngineId>(engineId), versions: [OLD] };
    const hit = side === 'new' ? { ...engine, versions: [OLD, NEW] } : engine;
    routers.forEach((router) => router.watch.onEngineDown(SERVICE, hit, engines));
  }

  await tables.commit({
    conditions: [],
    writes: [{ kind: 'put', key: `moves/${MOVE}`, value: createMoveValue(scenario) }],
  });
  const endMs = scenario.durationMs + REPORT_GRACE_MS;
  let requestId = 0;
  for (let secondMs = 0; secondMs < endMs; secondMs += SECOND_MS) {
    nowMs = secondMs;
    traffic.drawArrivals(secondMs).forEach((atMs) => {
      requestId += 1;
      const id = requestId;
      timeline.schedule(atMs, () => onRequest(atMs, id));
    });
    timeline.runUntil(secondMs + SECOND_MS);
    nowMs = secondMs + SECOND_MS;
    killEngines();
    running = running.filter((entry) => !entry.isEnded);
    for (const router of routers) await router.watch.tick();
    await pollControllers();
    config.spread(nowMs, routers);
    const { state = 'running' } = storedMove() ?? {};
    if (state !== 'running') storedEnds.add(state);
    const isSettled = storedEnds.size > 0 && config.isSettled() && ended.length > 0;
    if (isSettled && nowMs > (storedMove()?.endedAtMs ?? nowMs) + 10 * SECOND_MS) break;
  }

  async function pollControllers(): Promise<void> {
    const lossMs = scenario.holderStopTimeRatio * scenario.durationMs;
    for (const [index, { lease, runner }] of controllers.entries()) {
      const isGone = index === 0 && nowMs >= lossMs && nowMs < lossMs + scenario.holderPauseMs;
      if (isGone) continue;
      await lease.poll();
      await lease.poll();
      await runner.poll();
    }
  }

  const record = storedMove();
  const finalState =
    record?.state === 'done' || record?.state === 'taken_back' ? record.state : 'none';
  return {
    finalState,
    isOnTime: finalState === 'done' && (record?.endedAtMs ?? Infinity) <= scenario.durationMs,
    badRequests: harm.badRequests(),
    requests: harm.requests(),
    takeBackMs: finalState === 'taken_back' ? harm.takeBackMs() : undefined,
    reportCount: ended.length,
    hasBothOutcomes: storedEnds.size > 1 || new Set(ended.map(({ state }) => state)).size > 1,
    reason: record?.reason ?? '',
  };

  function createConfig() {
    const operations = new Set<string>();
    let service: EngineServiceConfig = {
      kind: 'engine',
      name: SERVICE,
      team: asId<TeamId>('team'),
      model: 'lackschrift',
      adapters: ['a', 'b'],
      stableVersion: OLD,
      fencing: 'ignored',
    };
    let revision = 0;
    let changedAtMs = 0;
    const seen: EngineServiceConfig[] = Array.from({ length: ROUTER_COUNT }, () => service);
    const delaysMs = seen.map(() => traffic.random() * MAX_CONFIG_DELAY_MS);

    function change(operationId: string, next: EngineServiceConfig): 'ok' | 'unknown' {
      if (!operations.has(operationId)) {
        service = next;
        revision += 1;
        changedAtMs = nowMs;
        operations.add(operationId);
      }
      return traffic.random() < scenario.lostAnswerRatio ? 'unknown' : 'ok';
    }

    function without(): EngineServiceConfig {
      const { kind, name, team, model: modelName, adapters, stableVersion, fencing } = service;
      return { kind, name, team, model: modelName, adapters, stableVersion, fencing };
    }

    const port: VersionConfigStore = {
      read: async () => service,
      setCandidateVersion: async (_name, candidate, id) =>
        change(id, candidate === undefined ? without() : { ...service, candidate }),
      setStableVersion: async (_name, stableVersion, id) =>
        change(id, { ...without(), stableVersion }),
    };
    return {
      port,
      current: () => service,
      seen: (index: number) => seen[index] ?? service,
      isSettled: () => seen.every((each) => each === service) && service.candidate === undefined,
      spread: (atMs: number, targets: { setConfig: (next: FleetConfig) => void }[]) => {
        targets.forEach((target, i) => {
          if (seen[i] === service || atMs < changedAtMs + (delaysMs[i] ?? 0)) return;
          seen[i] = service;
          target.setConfig({
            revision: asRevision(revision),
            defaults: FLEET_DEFAULTS,
            exceptions: {},
            services: { [SERVICE]: service },
            customers: {},
            teams: {},
          });
        });
      },
    };
  }
}

function createClock(now: () => number): Clock {
  return {
    nowMs: now,
    monotonicMs: now,
    runAfter: () => () => undefined,
    runEvery: () => () => undefined,
  };
}

/** Engines that load one after another from a rate-limited store. */
function createEngineFleet(scenario: Scenario, clock: Clock) {
  let loaded = 0;
  let wanted = 0;
  let lastMs = 0;

  function loadedCount(): number {
    const done = Math.floor((clock.nowMs() - lastMs) / WEIGHTS_LOAD_MS);
    const count = Math.min(wanted - loaded, done);
    if (count > 0 || loaded === wanted) lastMs = clock.nowMs();
    loaded += Math.max(0, count);
    return loaded;
  }

  const port: EngineFleet = {
    describe: async () => ({
      engineCount: scenario.engineCount,
      busyRatio: scenario.busyRatio,
      sizeBytes: WEIGHTS_LOAD_MS * 1_000_000,
      bytesPerSec: 1_000_000_000,
      loadedCount: (version) => (version === NEW ? loadedCount() : scenario.engineCount),
    }),
    load: async (_config, _version, count) => {
      loadedCount();
      wanted = Math.max(wanted, count);
    },
    unload: async () => true,
  };
  return { port, loadedCount };
}

function groupLoads(scenario: Scenario, share: number) {
  const { engineCount, busyRatio } = scenario;
  const used = packedEngineCount(share, engineCount, busyRatio);
  const newLoad = (share * engineCount * busyRatio) / used;
  const oldShare = Math.min(share, 1 - share);
  const oldUsed = Math.max(1, Math.min(used, engineCount - used));
  return { newLoad, oldLoad: (oldShare * engineCount * busyRatio) / oldUsed, engineCount: used };
}

function isBadAt(scenario: Scenario, atMs: number): boolean {
  const { fault, durationMs } = scenario;
  return fault !== undefined && atMs >= fault.onsetTimeRatio * durationMs;
}

function versionsOf(engineCount: number, newCount: number): EngineVersions[] {
  return Array.from({ length: engineCount }, (_, i) => ({
    engineId: asId<EngineId>(`e-${i}`),
    versions: i < newCount ? [OLD, NEW] : [OLD],
  }));
}

function createMoveValue(scenario: Scenario): JsonValue {
  const record: MoveRecord = {
    id: MOVE,
    service: SERVICE,
    fromVersion: OLD,
    toVersion: NEW,
    byMs: scenario.durationMs,
    state: 'running',
    reason: '',
    orderedBy: 'measure',
    orderedAtMs: 0,
    stepShareRatio: 0,
  };
  return { ...record };
}

function createMember(name: string): Member {
  return {
    routerId: asId<RouterId>(name),
    address: '',
    peerAddress: '',
    region: asId<Region>('region'),
    failureDomain: asId<FailureDomain>('domain'),
    state: 'alive',
    incarnation: 1,
  };
}
