import { createForwardTable, createServerDirectory } from '@mimosamill/core';
import { createWakeTimer } from '../call/async';
import { finiteMs } from './finite';
import { keepLostRecords } from './operator-record';
import { createTableWatch } from './table-watch';
import type {
  CallOutcomeTracker,
  Fleet,
  FleetChange,
  ForwardServer,
  ForwardTable,
  MemoryBudget,
} from '@mimosamill/core';
import type { Upstream } from '@mimosamill/adapters';
import type { WatchContext } from './followed-rows';
import type { GatewayEnvironment } from './gateway';
import type { Ingress } from './ingress';
import type { OperatorRecord } from './operator-record';
import type { GatewaySettings } from './settings';
import type { StoreReaders } from './store-readers';
import type { StreamForwarder } from './stream';
import type { TableWatch } from './table-watch';
import type { VersionMoves } from './version-moves';

/** Parts of the router that the rows of the watched tables change. */
export interface StoreWatchParts {
  readonly fleet: Fleet;
  readonly memory: MemoryBudget;
  readonly upstream: Pick<Upstream, 'retainOnly'>;
  readonly callOutcomes: Pick<CallOutcomeTracker, 'retain'>;
  readonly versionMoves: Pick<VersionMoves, 'setOrders'>;
  readonly streams: Pick<StreamForwarder, 'onServerLost' | 'onServerLeaving'>;
  /** Called from the first rows on; the ingress is created after the watches that it reads. */
  readonly ingressShell: () => Ingress['shell'];
}

/** Watches of the tables that the router serves by, and what their rows have said until now. */
export interface StoreWatches {
  readonly operator: TableWatch;
  readonly servers: TableWatch;
  /** The configuration in use; undefined until it is known. */
  readonly table: () => ForwardTable | undefined;
  readonly isServerListKnown: () => boolean;
  /** Whether neither watch finds the store unreachable. */
  readonly isStoreReachable: () => boolean;
}

/** Long polls wait for this part of the bound on the age of the data that they fetch. */
const WAIT_REVOKE_RATIO = 0.3;
const WAIT_CONFIG_RATIO = 0.6;
const WAIT_DRAIN_RATIO = 0.6;
const WAIT_TIMEOUT_MARGIN_MS = 450;
/**
 * While the store is away, a poll fails after the margin, and the next one follows after this delay and
 * its jitter of 0.3. Together they stay under the second after which what callers are owed must be
 * served again.
 */
const OPERATOR_RETRY_MAX_MS = 380;
/** Longer, as each call to the store is paid for: the list is read as soon as the store answers any call. */
const SERVERS_RETRY_MAX_MS = 1_500;
/**
 * Longest time, as a part of the drain bound, for which a removed server is kept; the rest covers the
 * time until the removal is known.
 */
const KEEP_DRAIN_RATIO = 0.8;
/** Node also counts the request line, and each connection may hold so much before its head ends. */
const HEADER_LIMIT_RATIO = 2;

/** Creates the watches of the operator's records and of the servers, and applies their rows. */
export function createStoreWatches(
  settings: GatewaySettings,
  environment: Pick<
    GatewayEnvironment,
    'clock' | 'random' | 'decisions' | 'storeEras' | 'operatorTable' | 'serverTable'
  >,
  storeReaders: StoreReaders,
  parts: StoreWatchParts,
): StoreWatches {
  const { clock, random, decisions, storeEras } = environment;
  const { fleet, memory, upstream, callOutcomes, versionMoves, streams } = parts;
  const directory = createServerDirectory(settings.drainMs * KEEP_DRAIN_RATIO);
  let table: ForwardTable | undefined;
  let isServerListKnown = false;

  const operatorWatch: TableWatch = createTableWatch(
    storeReaders.sourcesOf('operator', environment.operatorTable),
    clock,
    random,
    decisions,
    {
      name: 'operator',
      waitMs: Math.min(
        settings.configMs * WAIT_CONFIG_RATIO,
        (settings.revokeMs ?? Infinity) * WAIT_REVOKE_RATIO,
      ),
      timeoutMarginMs: WAIT_TIMEOUT_MARGIN_MS,
      retryMaxMs: OPERATOR_RETRY_MAX_MS,
    },
    {
      onRows: onOperatorRows,
      keepLost: keepLostRecords,
      onStoreRegained: () => serverWatch.onStoreReachable(),
    },
  );
  const serverWatch: TableWatch = createTableWatch(
    storeReaders.sourcesOf('servers', environment.serverTable),
    clock,
    random,
    decisions,
    {
      name: 'servers',
      waitMs: settings.drainMs * WAIT_DRAIN_RATIO,
      timeoutMarginMs: WAIT_TIMEOUT_MARGIN_MS,
      retryMaxMs: SERVERS_RETRY_MAX_MS,
    },
    { onRows: onServerRows, onStoreRegained: () => operatorWatch.onStoreReachable() },
  );
  const directoryExpiry = createWakeTimer(clock, () => applyDirectory());

  function onOperatorRows(rows: ReadonlyMap<string, OperatorRecord>, context: WatchContext): void {
    versionMoves.setOrders(
      [...rows.values()].flatMap((record) =>
        record.kind === 'version_order' ? [record.order] : [],
      ),
      context.isRestored,
    );
    rows.forEach((record, key) => {
      if (record.kind === 'unknown') {
        decisions.vital('operator.unreadable', { key, problem: record.problem });
      }
      if (record.kind === 'config') applyConfig(record.config, context.revision);
    });
  }

  function applyConfig(config: ForwardTable['config'], storeRevision: number): void {
    if (table !== undefined && config.revision <= table.config.revision) return;
    const before = table?.config.revision;
    table = createForwardTable(config);
    const shell = parts.ingressShell();
    shell.setMaxHeaderBytes(config.limits.headerMaxBytes * HEADER_LIMIT_RATIO);
    shell.setTimeouts(config.limits.idleTimeoutMs, config.limits.headerTimeoutMs);
    if (config.limits.bodyMaxBytes > memory.claimMaxBytes) {
      decisions.vital('config.body_limit_exceeds_memory', {
        body_max_bytes: config.limits.bodyMaxBytes,
        served_max_bytes: memory.claimMaxBytes,
      });
    }
    decisions.vital('config.applied', {
      revision: config.revision,
      before,
      store_revision: storeRevision,
      store_era: storeEras.current(),
      routes: config.routes.length,
      customers: config.customers?.length,
    });
  }

  function onServerRows(rows: ReadonlyMap<string, ForwardServer>, context: WatchContext): void {
    isServerListKnown = true;
    directory.update(
      [...rows.values()],
      context.sinceOutageMs,
      clock.monotonicMs(),
      context.isRestored,
    );
    applyDirectory(context);
  }

  /** Applies the list of servers: after a change of the rows, or when a kept server expires. */
  function applyDirectory(context?: WatchContext): void {
    const nowMs = clock.monotonicMs();
    const servers = directory.servers(nowMs);
    const change = fleet.setServers(servers, nowMs);
    noteFleetChange(change, servers, context);
    [...change.removed, ...change.restarted].forEach(({ serverId }) => {
      streams.onServerLost(serverId);
    });
    change.leaving.forEach(({ serverId }) => streams.onServerLeaving(serverId));
    upstream.retainOnly(new Set(servers.map(({ address }) => address)));
    callOutcomes.retain(new Set(servers.map(({ serverId }) => serverId)));
    directoryExpiry.set(directory.nextExpiryMs());
  }

  function noteFleetChange(
    change: FleetChange,
    servers: readonly ForwardServer[],
    context: WatchContext | undefined,
  ): void {
    const ids = (list: readonly ForwardServer[]): readonly string[] | undefined =>
      list.length === 0 ? undefined : list.map(({ serverId }) => serverId);
    const fields = {
      added: ids(change.added),
      removed: ids(change.removed),
      leaving: ids(change.leaving),
      returned: ids(change.returned),
      restarted: ids(change.restarted),
      uncertain: ids(servers.filter(({ isUncertain }) => isUncertain === true)),
      source: context?.source ?? 'expiry',
      since_outage_ms: finiteMs(context?.sinceOutageMs),
      store_revision: serverWatch.revision(),
      store_era: storeEras.current(),
      age_ms: finiteMs(serverWatch.ageMs()),
    };
    const hasChange = Object.values(change).some((list: readonly unknown[]) => list.length > 0);
    const hasUncertain = context !== undefined && fields.uncertain !== undefined;
    if (hasChange || hasUncertain) decisions.vital('servers.changed', fields);
  }

  return {
    operator: operatorWatch,
    servers: serverWatch,
    table: () => table,
    isServerListKnown: () => isServerListKnown,
    isStoreReachable: () =>
      !operatorWatch.isStoreUnreachable() && !serverWatch.isStoreUnreachable(),
  };
}
