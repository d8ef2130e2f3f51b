import { decideOrder } from '@mimosamill/core';
import { ORDER_KEY_PREFIX, canonicalTargetText, toOrderRow } from './row';
import type {
  Clock,
  EngineClient,
  HostList,
  EngineOrderOutcome,
  TableStore,
} from '@mimosamill/adapters';
import type { ObservedEngine, OrderLimits, ServiceName } from '@mimosamill/core';
import type { LeaseManager } from '../lease/manager';
import type { VersionConfigStore } from '../move/version-config';
import type { OrderRow } from './row';

export interface OrderRunnerPorts {
  readonly tables: TableStore;
  readonly clock: Clock;
  readonly lease: LeaseManager;
  readonly hosts: HostList;
  readonly engines: Pick<EngineClient, 'readState' | 'sendOrder'>;
  readonly config: Pick<VersionConfigStore, 'read'>;
  readonly limits: OrderLimits;
  readonly onOrderOutcome: (outcome: EngineOrderOutcome['kind']) => void;
}

/** Sends orders until every engine reports the target in its `orders/` row. */
export interface OrderRunner {
  /** Runs one round; resolves once each order of the round is answered or has timed out. */
  readonly poll: () => Promise<void>;
}

type Fencing = ObservedEngine['fencing'];

const ROWS_PER_PAGE = 200;
const MAX_PARALLEL_ENGINES = 16;

/**
 * Time after which an engine that has its target is read again. A former holder of the lease that
 * was paused may still send an old order, which an engine that ignores fencing numbers applies.
 */
const RECHECK_INTERVAL_MS = 5_000;

export function createOrderRunner(ports: OrderRunnerPorts): OrderRunner {
  const { tables, clock, lease, engines, limits } = ports;
  const nextCheckMs = new Map<string, number>();
  let checkedFencingNumber = 0;

  async function readOrderRows(): Promise<OrderRow[]> {
    const rows: OrderRow[] = [];
    let afterKey = '';
    for (;;) {
      const page = await tables.scan(ORDER_KEY_PREFIX, afterKey, ROWS_PER_PAGE);
      if (page.kind !== 'ok') return [];
      rows.push(...page.rows.map(toOrderRow));
      if (page.rows.length < ROWS_PER_PAGE) return rows;
      afterKey = page.rows.at(-1)?.key ?? '';
    }
  }

  async function readAddresses(): Promise<Map<string, string>> {
    const outcome = await ports.hosts.read();
    if (outcome.kind !== 'ok') return new Map();
    const hosts = outcome.hosts.filter((host) => host.role === 'engine');
    return new Map(hosts.map((host) => [host.hostId, host.address]));
  }

  /** Engines of a service whose configuration cannot be read count as ignoring fencing numbers. */
  async function readFencing(rows: readonly OrderRow[]): Promise<Map<string, Fencing>> {
    const fencing = new Map<string, Fencing>();
    for (const service of new Set(rows.map((row) => row.service))) {
      const config = await ports.config.read(service as ServiceName);
      fencing.set(service, config?.kind === 'engine' ? config.fencing : 'ignored');
    }
    return fencing;
  }

  /** Reads the engine, and sends its target if it has another one and the lease lasts long enough. */
  async function sendIfNeeded(row: OrderRow, address: string, fencing: Fencing): Promise<void> {
    const answer = await engines.readState(address);
    if (answer.kind !== 'ok' || String(answer.value.engineId) !== row.engineId) return;
    const observed: ObservedEngine = {
      wantedTarget: canonicalTargetText(row.target),
      actualTarget: canonicalTargetText(answer.value.target),
      highestFencingNumber: answer.value.highestFencingNumber,
      fencing,
    };
    // The lease is read after the engine's state, since that read may have used up the lease.
    const decision = decideOrder(observed, readLeaseState(), limits);
    if (decision.kind === 'none') {
      nextCheckMs.set(row.engineId, clock.monotonicMs() + RECHECK_INTERVAL_MS);
      return;
    }
    if (decision.kind === 'wait') return;
    const { fencingNumber } = decision;
    const orderId = `${row.engineId}/${fencingNumber}/${observed.wantedTarget}`;
    const outcome = await engines.sendOrder(address, {
      orderId,
      fencingNumber,
      target: row.target,
    });
    ports.onOrderOutcome(outcome.kind);
  }

  function readLeaseState() {
    return {
      fencingNumber: lease.fencingNumber(),
      remainingMs: lease.remainingMs(),
      heldForMs: lease.heldForMs(),
      wasHandedOver: lease.wasHandedOver(),
    };
  }

  function isCheckDue(row: OrderRow): boolean {
    return clock.monotonicMs() >= (nextCheckMs.get(row.engineId) ?? 0);
  }

  return {
    poll: async () => {
      if (lease.remainingMs() === 0) return;
      // Another holder may have sent orders between two holds of the lease, so all are read again.
      if (checkedFencingNumber !== lease.fencingNumber()) nextCheckMs.clear();
      checkedFencingNumber = lease.fencingNumber();
      const rows = (await readOrderRows()).filter(isCheckDue);
      if (rows.length === 0) return;
      const addresses = await readAddresses();
      const fencing = await readFencing(rows);
      for (let i = 0; i < rows.length; i += MAX_PARALLEL_ENGINES) {
        const batch = rows.slice(i, i + MAX_PARALLEL_ENGINES);
        await Promise.all(
          batch.map(async (row) => {
            const address = addresses.get(row.engineId);
            if (address === undefined) return;
            await sendIfNeeded(row, address, fencing.get(row.service) ?? 'ignored');
          }),
        );
      }
    },
  };
}
