import {
  createLeaseManager,
  createOrderRunner,
  orderKey,
  runDuties,
  canonicalTargetText,
  toOrderValue,
} from '@mimosamill/controller';
import { asId } from '@mimosamill/core';
import {
  createEngineModel,
  createFakeTableStore,
  createRandom,
  createTableStoreModel,
  createVirtualTime,
  DEFAULT_ENGINE_MODEL,
} from '@mimosamill/fakes';
import type {
  Clock,
  EngineReadOutcome,
  EngineOrder,
  EngineState,
  EngineTarget,
  ListedHost,
  Log,
  EngineOrderOutcome,
  TableStore,
} from '@mimosamill/adapters';
import type {
  EngineId,
  EngineServiceConfig,
  FailureDomain,
  Hash32,
  HostId,
  Region,
  ServiceName,
  TeamId,
  VersionName,
} from '@mimosamill/core';
import type { EngineModel, VirtualProcess } from '@mimosamill/fakes';

/** What happened in one trial. */
export interface OrderTrialResult {
  /** Engines whose target is not the wanted one after everything has come to rest. */
  readonly wrongFinalStates: number;
  /** Orders of a former holder that an engine applied after one of a later holder. */
  readonly staleApplied: number;
  readonly staleRefused: number;
  readonly ordersSent: number;
  readonly takeovers: number;
  /** Longest time an engine was away from its wanted state because of a stale order. */
  readonly longestWrongMs: number;
}

type Fencing = 'enforced' | 'ignored';

const SERVICE = asId<ServiceName>('lackschrift');
const ENGINE_COUNT = 4;
const CONTROLLER_COUNT = 3;
const CHANGES = 4;
const ACTIVE_MS = 120_000;
/** Longer than a takeover, the wait for orders in flight and the next reading of an engine. */
const SETTLE_MS = 60_000;
const ORDER_TIMEOUT_MS = 2_000;
const ORDER_LINGER_MS = 3_000;
const LEASE_TERM_MS = 10_000;
const MAX_TABLE_DELAY_MS = 300;
const LOST_ANSWER_RATIO = 0.15;
/** Orders before which the sender pauses, after its check of the lease. */
const PAUSED_ORDER_RATIO = 0.15;
const MAX_PAUSE_MS = 40_000;
const WEIGHTS_LOAD_MS = 2_000;
const CHECK_MS = 250;
const LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Runs controllers that pause, die and lose answers, and looks at the engines afterwards. */
export async function runTrial(
  seed: number,
  fencing: Fencing,
  hash: Hash32,
): Promise<OrderTrialResult> {
  const random = createRandom(seed);
  const time = createVirtualTime();
  const model = createTableStoreModel();
  const engines = Array.from({ length: ENGINE_COUNT }, (_, i) => createEngine(`e-${i}`));
  const wanted = new Map<string, EngineTarget>();
  const counts = { staleApplied: 0, staleRefused: 0, ordersSent: 0, longestWrongMs: 0 };
  const fencingNumbers = new Set<number>();
  let isResting = false;

  function createEngine(name: string) {
    const loaded = [{ model: 'm', version: 'v0', adapters: [] }];
    const engineId = asId<EngineId>(name);
    const settings = { ...DEFAULT_ENGINE_MODEL, engineId, loaded, fencing };
    return {
      name,
      model: createEngineModel(settings, hash),
      wrongSinceMs: undefined as number | undefined,
    };
  }

  function apply(engine: { model: EngineModel }, order: EngineOrder): EngineOrderOutcome {
    const before = engine.model.state().highestFencingNumber;
    const result = engine.model.applyOrder(order);
    if (result.kind === 'stale') {
      counts.staleRefused += 1;
      return result;
    }
    if (order.fencingNumber < before) counts.staleApplied += 1;
    result.versionsToFetch.forEach((entry) => {
      time.clock.runAfter(WEIGHTS_LOAD_MS, () => {
        engine.model.onWeightsLoaded(entry.model, entry.version, time.clock.monotonicMs());
      });
    });
    return { kind: 'ok' };
  }

  /** An order may arrive long after its sender has given it up. */
  function sendOrder(
    process: VirtualProcess,
    address: string,
    order: EngineOrder,
  ): Promise<EngineOrderOutcome> {
    counts.ordersSent += 1;
    fencingNumbers.add(order.fencingNumber);
    const engine = engines.find((each) => each.name === address);
    if (random() < PAUSED_ORDER_RATIO && !isResting) process.pause(random() * MAX_PAUSE_MS);
    const answer = new Promise<EngineOrderOutcome>((resolve) => {
      process.clock.runAfter(0, () => {
        const delayMs =
          random() < 0.2 ? random() * (ORDER_TIMEOUT_MS + ORDER_LINGER_MS) : random() * 50;
        time.clock.runAfter(delayMs, () => {
          const outcome: EngineOrderOutcome =
            engine === undefined ? { kind: 'unavailable', message: '' } : apply(engine, order);
          const isLost = random() < LOST_ANSWER_RATIO;
          resolve(isLost ? { kind: 'unknown', message: 'the answer was lost' } : outcome);
        });
        time.clock.runAfter(ORDER_TIMEOUT_MS, () =>
          resolve({ kind: 'unknown', message: 'timeout' }),
        );
      });
    });
    return process.receiveResult(answer);
  }

  function readState(
    process: VirtualProcess,
    address: string,
  ): Promise<EngineReadOutcome<EngineState>> {
    const engine = engines.find((each) => each.name === address);
    const answer = new Promise<EngineReadOutcome<EngineState>>((resolve) => {
      time.clock.runAfter(random() * 20, () => {
        const value = engine?.model.state();
        resolve(value === undefined ? { kind: 'unavailable', message: '' } : { kind: 'ok', value });
      });
    });
    return process.receiveResult(answer);
  }

  function startController(index: number): VirtualProcess {
    const process = time.createProcess();
    const settings = { duty: 'orders', holder: `c-${index}`, termMs: LEASE_TERM_MS };
    const tables = bindTablesToProcess(process, createSlowTables(time.clock));
    const lease = createLeaseManager(settings, tables, process.clock);
    const runner = createOrderRunner({
      tables,
      clock: process.clock,
      lease,
      hosts: { read: async () => ({ kind: 'ok', hosts: listHosts(), asOfMs: 0 }) },
      engines: {
        readState: (address) => readState(process, address),
        sendOrder: (address, order) => sendOrder(process, address, order),
      },
      config: { read: async () => createService(fencing) },
      limits: { orderTimeoutMs: ORDER_TIMEOUT_MS, lingerMs: ORDER_LINGER_MS },
      onOrderOutcome: () => undefined,
    });
    runDuties([{ name: 'orders', lease, poll: runner.poll }], process.clock, LOG);
    return process;
  }

  function createSlowTables(clock: Clock): TableStore {
    const faults = () => ({
      isDown: false,
      delayMs: random() * MAX_TABLE_DELAY_MS,
      lostAnswerRatio: LOST_ANSWER_RATIO,
    });
    return createFakeTableStore(model, clock, faults, random);
  }

  /** An operator's change: every engine gets another wanted state. */
  function change(number: number): void {
    engines.forEach(({ name }) => {
      const loaded = [{ model: 'm', version: `v${number}`, adapters: [] }];
      const target: EngineTarget = { loaded, role: 'mixed' };
      wanted.set(name, target);
      const value = toOrderValue({ engineId: name, service: SERVICE, target });
      const writes = [{ kind: 'put', key: orderKey(name), value } as const];
      model.commit({ conditions: [], writes }, time.clock.nowMs());
    });
  }

  function isWrong(engine: { name: string; model: EngineModel }): boolean {
    const target = wanted.get(engine.name);
    const actual = engine.model.state().target;
    return target !== undefined && canonicalTargetText(target) !== canonicalTargetText(actual);
  }

  /** Times how long engines are wrong once no wanted state changes any more. */
  function watch(): void {
    if (!isResting) return;
    const nowMs = time.clock.monotonicMs();
    engines.forEach((engine) => {
      if (!isWrong(engine)) {
        engine.wrongSinceMs = undefined;
        return;
      }
      engine.wrongSinceMs ??= nowMs;
      counts.longestWrongMs = Math.max(counts.longestWrongMs, nowMs - engine.wrongSinceMs);
    });
  }

  const processes = Array.from({ length: CONTROLLER_COUNT }, (_, i) => startController(i));
  time.clock.runEvery(CHECK_MS, watch);
  for (let i = 1; i <= CHANGES; i += 1) {
    time.clock.runAfter(random() * ACTIVE_MS, () => change(i));
  }
  processes.forEach((process, i) => {
    time.clock.runAfter(random() * ACTIVE_MS, () => process.pause(random() * MAX_PAUSE_MS));
    // One controller stays alive, so that someone can bring the engines to rest.
    if (i > 0 && random() < 0.5) time.clock.runAfter(random() * ACTIVE_MS, process.kill);
  });
  await time.run(ACTIVE_MS);
  isResting = true;
  await time.run(ACTIVE_MS + MAX_PAUSE_MS + SETTLE_MS);
  return {
    ...counts,
    wrongFinalStates: engines.filter(isWrong).length,
    takeovers: Math.max(0, fencingNumbers.size - 1),
  };
}

function bindTablesToProcess(process: VirtualProcess, tables: TableStore): TableStore {
  return {
    read: (keys) => process.receiveResult(tables.read(keys)),
    scan: (prefix, afterKey, limit) => process.receiveResult(tables.scan(prefix, afterKey, limit)),
    commit: (transaction) => process.receiveResult(tables.commit(transaction)),
  };
}

function listHosts(): ListedHost[] {
  return Array.from({ length: ENGINE_COUNT }, (_, i) => ({
    hostId: asId<HostId>(`e-${i}`),
    role: 'engine',
    service: SERVICE,
    address: `e-${i}`,
    region: asId<Region>('region'),
    failureDomain: asId<FailureDomain>('domain'),
    state: 'live',
  }));
}

function createService(fencing: Fencing): EngineServiceConfig {
  return {
    kind: 'engine',
    name: SERVICE,
    team: asId<TeamId>('team'),
    model: 'm',
    adapters: [],
    stableVersion: asId<VersionName>('v0'),
    fencing,
  };
}
