import { rankByRendezvous } from '@mimosamill/core';
import { hasVersion, ORDER_KEY_PREFIX, orderKey, toOrderRow, toOrderValue } from '../order/row';
import type {
  EngineClient,
  EngineLoad,
  EngineTarget,
  HostList,
  TableStore,
  WeightStore,
} from '@mimosamill/adapters';
import type { EngineServiceConfig, Hash32, ServiceConfig, VersionName } from '@mimosamill/core';

/** What a plan needs to know of a service's engines. */
export interface ServiceEngines {
  readonly engineCount: number;
  readonly busyRatio: number;
  readonly sizeBytes: number;
  readonly bytesPerSec: number;
  readonly loadedCount: (version: VersionName) => number;
  /** Why the version cannot be loaded at all. */
  readonly obstacle?: string;
}

/** Engines of a service, and which versions they should hold. */
export interface EngineFleet {
  /** Undefined while the engines or the weight store cannot be read. */
  readonly describe: (
    config: ServiceConfig,
    toVersion: VersionName,
  ) => Promise<ServiceEngines | undefined>;
  /** Orders the version onto this many engines, of which `concurrency` load at a time. */
  readonly load: (
    config: EngineServiceConfig,
    version: VersionName,
    engineCount: number,
    concurrency: number,
  ) => Promise<void>;
  /** True once no engine is wanted to hold the version. */
  readonly unload: (config: EngineServiceConfig, version: VersionName) => Promise<boolean>;
}

export interface EngineFleetPorts {
  readonly hosts: HostList;
  readonly engines: Pick<EngineClient, 'readLoad' | 'readState'>;
  readonly weights: WeightStore;
  readonly tables: TableStore;
  readonly hash: Hash32;
}

interface LiveEngine {
  readonly engineId: string;
  readonly address: string;
  readonly load: EngineLoad;
}

interface TargetRow {
  readonly target: EngineTarget;
  readonly rowVersion: number;
}

const ROWS_PER_PAGE = 200;

/** Wanted versions are written as `orders/` rows; the order runner brings the engines there. */
export function createEngineFleet(ports: EngineFleetPorts): EngineFleet {
  const { hosts, engines, tables } = ports;

  /** Undefined if the host list cannot be read; engines that do not answer are left out. */
  async function readLiveEngines(service: string): Promise<LiveEngine[] | undefined> {
    const outcome = await hosts.read();
    if (outcome.kind !== 'ok') return undefined;
    const listed = outcome.hosts.filter((host) => {
      return host.role === 'engine' && host.service === service && host.state === 'live';
    });
    const answers = await Promise.all(
      listed.map(async ({ hostId, address }) => {
        const answer = await engines.readLoad(address);
        if (answer.kind !== 'ok' || answer.value.state === 'leaving') return undefined;
        return { engineId: hostId, address, load: answer.value };
      }),
    );
    return answers.filter((each) => each !== undefined);
  }

  async function readTargets(): Promise<Map<string, TargetRow> | undefined> {
    const wanted = new Map<string, TargetRow>();
    let afterKey = '';
    for (;;) {
      const page = await tables.scan(ORDER_KEY_PREFIX, afterKey, ROWS_PER_PAGE);
      if (page.kind !== 'ok') return undefined;
      page.rows.forEach((row) => {
        const { engineId, target } = toOrderRow(row);
        wanted.set(engineId, { target, rowVersion: row.version });
      });
      if (page.rows.length < ROWS_PER_PAGE) return wanted;
      afterKey = page.rows.at(-1)?.key ?? '';
    }
  }

  /** The wanted target, or the engine's own where nothing was wanted yet. */
  async function readTarget(
    engine: LiveEngine,
    row: TargetRow | undefined,
  ): Promise<EngineTarget | undefined> {
    if (row !== undefined) return row.target;
    const answer = await engines.readState(engine.address);
    return answer.kind === 'ok' ? answer.value.target : undefined;
  }

  async function writeTarget(
    service: string,
    engine: LiveEngine,
    row: TargetRow | undefined,
    target: EngineTarget,
  ): Promise<void> {
    const key = orderKey(engine.engineId);
    const value = toOrderValue({ engineId: engine.engineId, service, target });
    const condition =
      row === undefined
        ? ({ kind: 'absent', key } as const)
        : ({ kind: 'version', key, version: row.rowVersion } as const);
    // An answer that is missing or a conflict is settled by the next round.
    await tables.commit({ conditions: [condition], writes: [{ kind: 'put', key, value }] });
  }

  async function load(
    config: EngineServiceConfig,
    version: VersionName,
    engineCount: number,
    concurrency: number,
  ): Promise<void> {
    const live = await readLiveEngines(config.name);
    const wanted = await readTargets();
    if (live === undefined || wanted === undefined) return;
    const isLoaded = (engine: LiveEngine): boolean =>
      hasVersion(engine.load.loaded, config.model, version);
    const isWanted = (engine: LiveEngine): boolean => {
      const row = wanted.get(engine.engineId);
      return row !== undefined && hasVersion(row.target.loaded, config.model, version);
    };
    const holding = live.filter((engine) => isLoaded(engine) || isWanted(engine));
    const loadingCount = holding.filter((engine) => !isLoaded(engine)).length;
    const missing = Math.min(engineCount - holding.length, concurrency - loadingCount);
    const free = live.filter((engine) => !holding.includes(engine));
    const ranked = rankByRendezvous(version, free, (engine) => engine.engineId, ports.hash);
    for (const engine of ranked.slice(0, Math.max(0, missing))) {
      const row = wanted.get(engine.engineId);
      const target = await readTarget(engine, row);
      if (target === undefined) continue;
      const entry = { model: config.model, version, adapters: config.adapters };
      const loaded = [...target.loaded, entry];
      await writeTarget(config.name, engine, row, { ...target, loaded });
    }
  }

  async function unload(config: EngineServiceConfig, version: VersionName): Promise<boolean> {
    const live = await readLiveEngines(config.name);
    const wanted = await readTargets();
    if (live === undefined || wanted === undefined) return false;
    let isDone = true;
    for (const engine of live) {
      const row = wanted.get(engine.engineId);
      const target = await readTarget(engine, row);
      if (target === undefined) {
        isDone = false;
        continue;
      }
      const isHeld = hasVersion(target.loaded, config.model, version);
      const keepsStable = hasVersion(target.loaded, config.model, config.stableVersion);
      if (!isHeld || !keepsStable) continue;
      isDone = false;
      const loaded = target.loaded.filter(
        (entry) => entry.model !== config.model || entry.version !== version,
      );
      await writeTarget(config.name, engine, row, { ...target, loaded });
    }
    return isDone;
  }

  return {
    describe: async (config, toVersion) => {
      if (config.kind !== 'engine') return undefined;
      const live = await readLiveEngines(config.name);
      const weights = await ports.weights.describe(config.model, toVersion);
      if (live === undefined || weights.kind === 'unavailable') return undefined;
      const running = live.reduce((sum, { load: each }) => sum + each.running + each.queued, 0);
      const places = live.reduce((sum, { load: each }) => sum + each.maxRunning, 0);
      const known = {
        engineCount: live.length,
        busyRatio: places === 0 ? 0 : Math.min(1, running / places),
        loadedCount: (version: VersionName) =>
          live.filter((engine) => hasVersion(engine.load.loaded, config.model, version)).length,
      };
      if (weights.kind === 'ok') {
        return { ...known, sizeBytes: weights.sizeBytes, bytesPerSec: weights.bytesPerSec };
      }
      const obstacle = `the weight store has no version ${toVersion} of ${config.model}`;
      return { ...known, sizeBytes: 0, bytesPerSec: 1, obstacle };
    },
    load,
    unload,
  };
}
