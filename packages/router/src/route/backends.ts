import { asId, createOutlierDetector, createEnginePicker } from '@mimosamill/core';
import { createCacheReader } from './cache-reader';
import type {
  Clock,
  EngineClient,
  HostList,
  ListedHost,
  Log,
  Metrics,
  ServiceClient,
} from '@mimosamill/adapters';
import type {
  EngineId,
  EngineReport,
  LoadReport,
  EnginePickerSettings,
  Region,
  RoutedRequest,
  ServiceName,
} from '@mimosamill/core';
import type { ServerCallResult, ServerPicker } from '../call/ports';
import type { EngineDirectory, KnownEngine } from '../stream/ports';

export interface BackendsOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly hosts: HostList;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly picker: EnginePickerSettings;
  /** Periods of reading the host list and the load of every backend server. */
  readonly hostListPeriodMs: number;
  readonly loadPeriodMs: number;
  /**
   * Engines whose load this router reads itself; by default all of them. The loads of the others
   * come from digests, by `onReport`.
   */
  readonly isPolled?: (engineId: EngineId) => boolean;
}

/** Backend servers from the host list, with their latest known load. */
export interface Backends extends EngineDirectory {
  readonly servers: ServerPicker;
  /**
   * A load report that another router read; false if it was not used. Digests confirm unchanged
   * loads for up to 5 s after an engine has died, so an engine that this router found down counts as
   * reachable only after it has answered this router.
   */
  readonly onLoadReport: (engineId: EngineId, report: LoadReport) => boolean;
  /** Reads one engine's load and cache events now; undefined if it does not answer. */
  readonly readLoad: (engineId: EngineId) => Promise<EngineReport | undefined>;
  readonly listEngines: () => readonly ListedEngine[];
  readonly start: () => Promise<void>;
  readonly stop: () => void;
}

/** An engine of the host list and its region. */
export interface ListedEngine {
  readonly engineId: EngineId;
  readonly region: Region;
}

interface EngineRecord extends KnownEngine {
  readonly region: Region;
  versions: readonly string[];
  loadRatio: number;
  stepMs: number | undefined;
  isPolling: boolean;
  isDown: boolean;
  /** Load reads that failed since the last answer. */
  failedReads: number;
  /** The running check of whether it is down. */
  downCheck: Promise<boolean> | undefined;
}

interface KnownServer {
  readonly address: string;
  readonly service: ServiceName;
  isLeavingInDirectory: boolean;
  /** Latest report of the server itself that it is leaving. */
  leavingSinceMs: number | undefined;
  running: number;
  isPolling: boolean;
  /** Not used again before this time, after a refused connection. */
  refusedUntilMs: number;
}

/** Reads that fail in a row before an engine is used only if no other one answers. */
const UNREACHABLE_FAILED_READS = 2;
/** A server that leaves may report its earlier state for a moment; see the engines' picker. */
const LEAVING_REVOKE_DELAY_MS = 3_000;
/** How long a server that refused a connection is passed over. */
const REFUSED_BACKOFF_MS = 2_000;
/** Shorter calls differ by chance; results below this time are not slow. */
const MIN_REFERENCE_DURATION_MS = 20;
const NEWEST_VALUE_WEIGHT = 0.05;
/** Wait for an engine that dropped a connection to show that it is alive. */
const DOWN_CHECK_TIMEOUT_MS = 100;

export function createBackends(options: BackendsOptions): Backends {
  const { clock, random } = options;
  const picker = createEnginePicker(options.picker);
  const cacheReader = createCacheReader({
    engines: options.engines,
    picker,
    clock,
    hash: options.picker.hash,
    metrics: options.metrics,
  });
  const engines = new Map<EngineId, EngineRecord>();
  const downHooks: ((engine: KnownEngine) => void)[] = [];
  const servers = new Map<string, KnownServer>();
  const serverJudge = createOutlierDetector({ ejectedMaxRatio: options.picker.ejectedMaxRatio });
  /** Mean duration of an operation at all servers of its service. */
  const operationMs = new Map<string, number>();
  const cancels: (() => void)[] = [];
  const unreachable = options.metrics.counter(
    'mimosamill_load_reads_failed_total',
    'Load reports that could not be read',
    ['service'],
  );

  async function readHosts(): Promise<void> {
    const answer = await options.hosts.read();
    if (answer.kind === 'unavailable') return;
    setEngines(answer.hosts.filter(({ role }) => role === 'engine'));
    setServers(answer.hosts.filter(({ role }) => role === 'service'));
  }

  function setEngines(listed: readonly ListedHost[]): void {
    const ids = new Set<string>(listed.map(({ hostId }) => hostId));
    [...engines.keys()].forEach((engineId) => {
      if (!ids.has(engineId)) engines.delete(engineId);
    });
    listed.forEach((host) => {
      const engineId = asId<EngineId>(host.hostId);
      const service = asId<ServiceName>(host.service);
      const known = engines.get(engineId);
      if (known?.address === host.address) return;
      engines.set(engineId, {
        engineId,
        address: host.address,
        service,
        region: host.region,
        failureDomain: host.failureDomain,
        versions: known?.versions ?? [],
        loadRatio: 0,
        stepMs: undefined,
        isPolling: false,
        isDown: false,
        failedReads: 0,
        downCheck: undefined,
      });
    });
    picker.setEngines(
      listed.map((host) => ({
        engineId: asId<EngineId>(host.hostId),
        service: host.service,
        region: host.region,
        failureDomain: host.failureDomain,
        state: host.state,
      })),
    );
  }

  function setServers(listed: readonly ListedHost[]): void {
    const addresses = new Set(listed.map(({ address }) => address));
    [...servers.keys()].forEach((address) => {
      if (!addresses.has(address)) servers.delete(address);
    });
    listed.forEach((host) => {
      const known = servers.get(host.address) ?? {
        address: host.address,
        service: asId<ServiceName>(host.service),
        isLeavingInDirectory: false,
        leavingSinceMs: undefined,
        running: 0,
        isPolling: false,
        refusedUntilMs: 0,
      };
      known.isLeavingInDirectory = host.state === 'leaving';
      servers.set(host.address, known);
    });
    new Set(listed.map(({ service }) => service)).forEach((service) => {
      const own = listed.filter((host) => host.service === service);
      serverJudge.setServers(
        service,
        own.map(({ address }) => address),
      );
    });
  }

  async function readLoads(): Promise<void> {
    await Promise.all([
      ...[...engines.values()].filter(isPolled).map(readEngine),
      ...[...servers.values()].map(readServer),
    ]);
  }

  function isPolled({ engineId }: EngineRecord): boolean {
    return options.isPolled?.(engineId) ?? true;
  }

  async function readEngine(engine: EngineRecord): Promise<EngineReport | undefined> {
    // A paused engine answers late; one question at a time bounds what waits for it.
    if (engine.isPolling) return undefined;
    engine.isPolling = true;
    const sentAtMs = clock.monotonicMs();
    const answer = await options.engines.readLoad(engine.address);
    engine.isPolling = false;
    if (answer.kind === 'unavailable') {
      unreachable.inc({ service: engine.service });
      engine.failedReads += 1;
      if (engine.failedReads >= UNREACHABLE_FAILED_READS) picker.onUnreachable(engine.engineId);
      return undefined;
    }
    picker.onRoundTrip(engine.engineId, clock.monotonicMs() - sentAtMs);
    applyReport(engine, answer.value);
    await cacheReader.read(engine.engineId, engine.address);
    return answer.value;
  }

  function applyReport(engine: EngineRecord, report: LoadReport): void {
    engine.isDown = false;
    engine.failedReads = 0;
    engine.stepMs = report.stepMs;
    engine.loadRatio = report.running / report.maxRunning;
    engine.versions = report.loaded.map(({ version }) => version);
    picker.onLoad(engine.engineId, report, clock.monotonicMs());
  }

  function confirmDown(engineId: EngineId): Promise<boolean> {
    const engine = engines.get(engineId);
    if (engine === undefined) return Promise.resolve(true);
    if (engine.isDown) return Promise.resolve(true);
    engine.downCheck ??= checkDown(engine).finally(() => {
      engine.downCheck = undefined;
    });
    return engine.downCheck;
  }

  async function checkDown(engine: EngineRecord): Promise<boolean> {
    const timeout = new Promise<'silent'>((resolve) => {
      clock.runAfter(DOWN_CHECK_TIMEOUT_MS, () => resolve('silent'));
    });
    const answer = await Promise.race([options.engines.readLoad(engine.address), timeout]);
    if (answer !== 'silent' && answer.kind === 'ok') return false;
    if (!engine.isDown) {
      engine.isDown = true;
      picker.onUnreachable(engine.engineId);
      downHooks.forEach((fn) => fn(engine));
    }
    return true;
  }

  async function readServer(server: KnownServer): Promise<void> {
    if (server.isPolling) return;
    server.isPolling = true;
    const load = await options.services.readLoad(server.address);
    server.isPolling = false;
    if (load === undefined) {
      unreachable.inc({ service: server.service });
      return;
    }
    noteLeaving(server, load.state === 'leaving');
    server.running = load.running;
  }

  function noteLeaving(server: KnownServer, isLeaving: boolean): void {
    const nowMs = clock.monotonicMs();
    const sinceMs = server.leavingSinceMs;
    if (isLeaving) server.leavingSinceMs = nowMs;
    else if (sinceMs !== undefined && nowMs >= sinceMs + LEAVING_REVOKE_DELAY_MS) {
      server.leavingSinceMs = undefined;
    }
  }

  function pickServer(
    service: ServiceName,
    excluded: ReadonlySet<string>,
    operation = '',
  ): string | undefined {
    const nowMs = clock.monotonicMs();
    const usable = [...servers.values()].filter(
      (server) =>
        server.service === service && !isServerLeaving(server) && !excluded.has(server.address),
    );
    const healthy = usable.filter(({ refusedUntilMs }) => refusedUntilMs <= nowMs);
    const probe = serverJudge.hasEjected(service)
      ? healthy.find(({ address }) => serverJudge.claimProbe(address, operation, nowMs))
      : undefined;
    if (probe !== undefined) return probe.address;
    const trusted = healthy.filter(({ address }) => {
      const weight = serverJudge.weight(address, operation);
      return weight >= 1 || random() < weight;
    });
    const candidates = [trusted, healthy].find((some) => some.length > 0) ?? usable;
    const first = candidates[Math.floor(random() * candidates.length)];
    const second = candidates[Math.floor(random() * candidates.length)];
    if (first === undefined || second === undefined) return undefined;
    return first.running <= second.running ? first.address : second.address;
  }

  function onServerResult(
    service: ServiceName,
    address: string,
    operation: string,
    { isSuccess, tookMs }: ServerCallResult,
  ): void {
    const nowMs = clock.monotonicMs();
    if (!isSuccess) {
      serverJudge.onResult(address, operation, { isSuccess }, nowMs);
      return;
    }
    const key = `${service}\u0000${operation}`;
    const meanMs = operationMs.get(key) ?? tookMs;
    const slownessRatio = tookMs / Math.max(MIN_REFERENCE_DURATION_MS, meanMs);
    // One very slow answer must not hide the next one.
    const learntMs = Math.min(tookMs, 4 * Math.max(MIN_REFERENCE_DURATION_MS, meanMs));
    operationMs.set(key, meanMs + NEWEST_VALUE_WEIGHT * (learntMs - meanMs));
    serverJudge.onResult(address, operation, { isSuccess, slownessRatio }, nowMs);
  }

  function typicalStepMs(service: ServiceName): number | undefined {
    const steps = [...engines.values()].flatMap((engine) =>
      engine.service === service && !engine.isDown && engine.stepMs !== undefined
        ? [engine.stepMs]
        : [],
    );
    steps.sort((a, b) => a - b);
    return steps[Math.floor(steps.length / 2)];
  }

  return {
    typicalStepMs,
    pick: (request) => {
      const found = picker.pick(request, clock.monotonicMs(), random);
      if (found.kind === 'none') return found;
      const engine = engines.get(found.engineId);
      if (engine === undefined) return { kind: 'none', reason: 'no_version' };
      const { engineId, address } = engine;
      return { kind: 'ok', engineId, address, expectedTtftMs: found.expectedTtftMs };
    },
    onSent: (engineId, request): RoutedRequest =>
      picker.onSent(engineId, request, clock.monotonicMs()),
    onFirstToken: (send) => picker.onFirstToken(send, clock.monotonicMs()),
    onEnd: (send, result, tokens) => picker.onEnd(send, result, clock.monotonicMs(), tokens),
    onLeaving: (engineId) => picker.onLeaving(engineId, clock.monotonicMs()),
    loadRatioOf: (engineId) => engines.get(engineId)?.loadRatio ?? 0,
    confirmDown,
    onDown: (fn) => {
      downHooks.push(fn);
    },
    enginesOf: (service) => [...engines.values()].filter((engine) => engine.service === service),
    servers: {
      pick: pickServer,
      onResult: onServerResult,
      onRefused: (_service, address) => {
        const server = servers.get(address);
        if (server !== undefined) server.refusedUntilMs = clock.monotonicMs() + REFUSED_BACKOFF_MS;
      },
    },
    onLoadReport: (engineId, report) => {
      const engine = engines.get(engineId);
      if (engine === undefined) return false;
      if (engine.isDown || engine.failedReads >= UNREACHABLE_FAILED_READS) return false;
      applyReport(engine, report);
      return true;
    },
    readLoad: async (engineId) => {
      const engine = engines.get(engineId);
      return engine === undefined ? undefined : readEngine(engine);
    },
    listEngines: () => [...engines.values()],
    start: async () => {
      await readHosts();
      await readLoads();
      cancels.push(
        clock.runEvery(options.hostListPeriodMs, () => {
          void readHosts();
        }),
      );
      cancels.push(
        clock.runEvery(options.loadPeriodMs, () => {
          void readLoads();
        }),
      );
    },
    stop: () => cancels.forEach((cancel) => cancel()),
  };
}

function isServerLeaving(server: KnownServer): boolean {
  return server.isLeavingInDirectory || server.leavingSinceMs !== undefined;
}
