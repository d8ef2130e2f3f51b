import type { Clock, DecisionLog } from '@mimosamill/adapters';
import type { HostId } from '@mimosamill/core';
import type { PeerDirectory } from './state-broadcast';

/** A router as the platform's store lists it. */
export interface ListedRouter {
  readonly hostId: HostId;
  readonly peerAddress: string;
  /** Revision of its row. */
  readonly revision: number;
}

/** Where routers list themselves, so that they find each other. */
export interface RouterTable {
  /** Writes this router's own row; false if it may not have been written. */
  readonly register: (self: Omit<ListedRouter, 'revision'>) => Promise<boolean>;
  readonly list: () => Promise<readonly ListedRouter[] | undefined>;
  /** Removes a row unless it has changed since it was read. */
  readonly remove: (router: ListedRouter) => Promise<void>;
}

export interface RouterRegistrySettings {
  readonly hostId: HostId;
  readonly peerAddress: string;
}

export interface RouterRegistry extends PeerDirectory {
  readonly start: () => void;
  readonly stop: () => void;
}

const READ_PERIOD_MS = 60_000;
const READ_JITTER_MS = 5_000;
const REGISTER_RETRY_MS = 500;
const READ_RETRY_MS = 700;
/** A listed router that says nothing for so long has been replaced. */
const REMOVE_SILENT_AFTER_MS = 90_000;
/** An address that was only heard from is kept while messages come. */
const UNLISTED_PEER_TTL_MS = 10_000;

export function createRouterRegistry(
  table: RouterTable,
  clock: Clock,
  random: () => number,
  decisions: DecisionLog,
  settings: RouterRegistrySettings,
): RouterRegistry {
  const heardAtMs = new Map<string, number>();
  const listedSinceMs = new Map<string, number>();
  let listed: readonly ListedRouter[] = [];
  let cancel = (): void => undefined;
  let isStopped = false;

  function later(delayMs: number, step: () => Promise<void>): void {
    if (isStopped) return;
    cancel = clock.runAfter(delayMs, () => {
      void step();
    });
  }

  async function announce(): Promise<void> {
    const isWritten = await table.register(settings);
    if (!isWritten) {
      later(REGISTER_RETRY_MS * (1 + random()), announce);
      return;
    }
    // Of two routers, the one that announced itself later finds the other in the list.
    await read();
  }

  async function read(): Promise<void> {
    const routers = await table.list();
    if (routers !== undefined) await onListed(routers);
    const delayMs = routers === undefined ? READ_RETRY_MS : READ_PERIOD_MS;
    later(delayMs + READ_JITTER_MS * random(), read);
  }

  async function onListed(routers: readonly ListedRouter[]): Promise<void> {
    const nowMs = clock.monotonicMs();
    const before = listed.length;
    listed = routers.filter(({ hostId }) => hostId !== settings.hostId);
    listed.forEach(({ peerAddress }) => {
      if (!listedSinceMs.has(peerAddress)) listedSinceMs.set(peerAddress, nowMs);
    });
    if (listed.length !== before) decisions.vital('routers.listed', { count: listed.length });
    // Another router may have taken this one for gone while it was cut off.
    const isListed = routers.some(({ hostId }) => hostId === settings.hostId);
    if (!isListed) await table.register(settings);
    const gone = listed.find((router) => isGone(router, nowMs));
    if (gone === undefined) return;
    decisions.vital('router.forgotten', { router: gone.hostId, address: gone.peerAddress });
    await table.remove(gone);
  }

  function isGone(router: ListedRouter, nowMs: number): boolean {
    const sinceMs = heardAtMs.get(router.peerAddress) ?? listedSinceMs.get(router.peerAddress);
    return sinceMs !== undefined && nowMs - sinceMs > REMOVE_SILENT_AFTER_MS;
  }

  function addresses(): string[] {
    const nowMs = clock.monotonicMs();
    const known = new Set(listed.map(({ peerAddress }) => peerAddress));
    heardAtMs.forEach((atMs, address) => {
      if (nowMs - atMs <= UNLISTED_PEER_TTL_MS) known.add(address);
      else if (!known.has(address)) heardAtMs.delete(address);
    });
    known.delete(settings.peerAddress);
    return [...known];
  }

  return {
    start: () => {
      void announce();
    },
    stop: () => {
      isStopped = true;
      cancel();
    },
    addresses,
    onMessageFrom: (address) => {
      heardAtMs.set(address, clock.monotonicMs());
    },
  };
}
