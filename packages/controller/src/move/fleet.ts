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

/** Data on the engines of a service from which a move to a version is planned. */
export interface ServiceEngines {
  readonly engineCount: number;
  /** Running and queued requests, as a fraction of all that the engines can run at once. */
  readonly busyRatio: number;
  /** Size of the version's weights. */
  readonly sizeBytes: number;
  readonly bytesPerSec: number;
  readonly loadedCount: (version: VersionName) => number;
  /** Why the version cannot be loaded on any engine; undefined if it can. */
  readonly obstacle?: string;
}

/** Reads the engines of a service and sets which versions they should load. */
export interface EngineFleet {
  /** Undefined while the host list or the weight store cannot be read, or for a plain service. */
  readonly describe: (
    config: ServiceConfig,
    toVersion: VersionName,
  ) => Promise<ServiceEngines | undefined>;
  /**
   * Adds the version to the targets of engines until `engineCount` of them have or load it; at
   * most `concurrency` load it at a time.
   */
  readonly load: (
    config: EngineServiceConfig,
    version: VersionName,
    engineCount: number,
    concurrency: number,
  ) => Promise<void>;
  /**
   * Removes the version from the targets of the engines, except from targets that lack the stable
   * version. True once no target is left to change.
   */
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

/** Writes targets to the `orders/` rows, from which the order runner sends them to the engines. */
export function createEngineFleet(ports: EngineFleetPorts): EngineFleet {
  const { hosts, engines, tables } = ports;

  /** Undefined if the host list cannot be read. Engines that do not answer or leave are omitted. */
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
    const targets = new Map<string, TargetRow>();
    let afterKey = '';
    for (;;) {
      const page = await tables.scan(ORDER_KEY_PREFIX, afterKey, ROWS_PER_PAGE);
      if (page.kind !== 'ok') return undefined;
      page.rows.forEach((row) => {
        const { engineId, target } = toOrderRow(row);
        targets.set(engineId, { target, rowVersion: row.version });
      });
      if (page.rows.length < ROWS_PER_PAGE) return targets;
      afterKey = page.rows.at(-1)?.key ?? '';
    }
  }

  /** Target in the engine's row, or the one that the engine reports if it has no row yet. */
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
    // After a conflict or a lost answer, the next round reads the rows again and writes what is left.
    await tables.commit({ conditions: [condition], writes: [{ kind: 'put', key, value }] });
  }

  async function load(
    config: EngineServiceConfig,
    version: VersionName,
    engineCount: number,
    concurrency: number,
  ): Promise<void> {
    const live = await readLiveEngines(config.name);
    const targets = await readTargets();
    if (live === undefined || targets === undefined) return;
    const isLoaded = (engine: LiveEngine): boolean =>
      hasVersion(engine.load.loaded, config.model, version);
    const isTargeted = (engine: LiveEngine): boolean => {
      const row = targets.get(engine.engineId);
      return row !== undefined && hasVersion(row.target.loaded, config.model, version);
    };
    const assigned = live.filter((engine) => isLoaded(engine) || isTargeted(engine));
    const loadingCount = assigned.filter((engine) => !isLoaded(engine)).length;
    const loadCount = Math.min(engineCount - assigned.length, concurrency - loadingCount);
    const free = live.filter((engine) => !assigned.includes(engine));
    const ranked = rankByRendezvous(version, free, (engine) => engine.engineId, ports.hash);
    for (const engine of ranked.slice(0, Math.max(0, loadCount))) {
      const row = targets.get(engine.engineId);
      const target = await readTarget(engine, row);
      if (target === undefined) continue;
      const entry = { model: config.model, version, adapters: config.adapters };
      const loaded = [...target.loaded, entry];
      await writeTarget(config.name, engine, row, { ...target, loaded });
    }
  }

  async function unload(config: EngineServiceConfig, version: VersionName): Promise<boolean> {
    const live = await readLiveEngines(config.name);
    const targets = await readTargets();
    if (live === undefined || targets === undefined) return false;
    let isDone = true;
    for (const engine of live) {
      const row = targets.get(engine.engineId);
      const target = await readTarget(engine, row);
      if (target === undefined) {
        isDone = false;
        continue;
      }
      const isTargeted = hasVersion(target.loaded, config.model, version);
      const keepsStable = hasVersion(target.loaded, config.model, config.stableVersion);
      if (!isTargeted || !keepsStable) continue;
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
      const requests = live.reduce((sum, { load: each }) => sum + each.running + each.queued, 0);
      const capacity = live.reduce((sum, { load: each }) => sum + each.maxRunning, 0);
      const summary = {
        engineCount: live.length,
        busyRatio: capacity === 0 ? 0 : Math.min(1, requests / capacity),
        loadedCount: (version: VersionName) =>
          live.filter((engine) => hasVersion(engine.load.loaded, config.model, version)).length,
      };
      if (weights.kind === 'ok') {
        return { ...summary, sizeBytes: weights.sizeBytes, bytesPerSec: weights.bytesPerSec };
      }
      const obstacle = `the weight store has no version ${toVersion} of ${config.model}`;
      return { ...summary, sizeBytes: 0, bytesPerSec: 1, obstacle };
    },
    load,
    unload,
  };
}
