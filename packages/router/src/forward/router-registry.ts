import type { Clock, DecisionLog } from '@mimosamill/adapters';
import type { FailureDomain, HostId, StoreRevision } from '@mimosamill/core';
import type { PeerDirectory } from './state-broadcast';

/** A router as the platform's store lists it. */
export interface ListedRouter {
  readonly hostId: HostId;
  readonly peerAddress: string;
  /** Undefined in a row of an earlier release. */
  readonly failureDomain: FailureDomain | undefined;
  /** Revision of the router's row. */
  readonly at: StoreRevision;
}

/** The listed routers, and the time on the store's clock at the answer. */
export interface RouterList {
  readonly routers: readonly ListedRouter[];
  readonly storeNowMs: number;
}

/** Table in which routers register, so that they find each other. */
export interface RouterTable {
  /** Writes this router's own row; false if it may not have been written. */
  readonly register: (self: Omit<ListedRouter, 'at'>) => Promise<boolean>;
  readonly list: () => Promise<RouterList | undefined>;
  /** Removes a router's row unless the row has changed since it was read. */
  readonly remove: (router: ListedRouter) => Promise<void>;
}

export interface RouterRegistrySettings {
  readonly hostId: HostId;
  readonly peerAddress: string;
  readonly failureDomain: FailureDomain;
}

export interface RouterRegistryHandlers {
  /** Called after the first read of the list, or when it has not succeeded in time. */
  readonly onStarted: () => void;
  /** Called when the list was read by a call sent at `sentAtMs`. */
  readonly onStoreClock: (sentAtMs: number, storeNowMs: number) => void;
}

export interface RouterRegistry extends PeerDirectory {
  readonly start: () => void;
  /** The other listed routers, whether they run or not. */
  readonly listed: () => readonly ListedRouter[];
  /** Whether the list has been read since the start. */
  readonly isListKnown: () => boolean;
  /** The store came back from an older copy, which may lack this router. */
  readonly onStoreRestored: () => void;
  readonly stop: () => void;
}

const READ_PERIOD_MS = 60_000;
const READ_JITTER_MS = 5_000;
const REGISTER_RETRY_MS = 500;
/** Spreads the calls of all routers after a restore. */
const RESTORED_JITTER_MS = 500;
const READ_RETRY_MS = 700;
/** Longest wait for the first list: without the store, other routers are found by their messages. */
const FIRST_LIST_WAIT_MS = 300;
/** A listed router that has sent no message for this time is taken to be replaced. */
const REMOVE_SILENT_AFTER_MS = 90_000;
/** An address that is not listed is a peer for this time after each message from it. */
const UNLISTED_PEER_TTL_MS = 10_000;

export function createRouterRegistry(
  table: RouterTable,
  clock: Clock,
  random: () => number,
  decisions: DecisionLog,
  settings: RouterRegistrySettings,
  handlers: RouterRegistryHandlers,
): RouterRegistry {
  const lastMessageAtMs = new Map<string, number>();
  const listedSinceMs = new Map<string, number>();
  let listed: readonly ListedRouter[] = [];
  let cancel = (): void => undefined;
  let isStopped = false;
  let isStarted = false;
  let isListKnown = false;

  function noteStarted(): void {
    if (isStarted || isStopped) return;
    isStarted = true;
    handlers.onStarted();
  }

  function schedule(delayMs: number, step: () => Promise<void>): void {
    if (isStopped) return;
    cancel();
    cancel = clock.runAfter(delayMs, () => {
      void step();
    });
  }

  async function registerSelf(): Promise<void> {
    const isWritten = await table.register(settings);
    if (!isWritten) {
      schedule(REGISTER_RETRY_MS * (1 + random()), registerSelf);
      return;
    }
    // Reading after registering: of any two routers, the later one finds the other in the list.
    await readList();
  }

  async function readList(): Promise<void> {
    const sentAtMs = clock.monotonicMs();
    const list = await table.list();
    if (list !== undefined) {
      handlers.onStoreClock(sentAtMs, list.storeNowMs);
      await onListed(list.routers);
    }
    const delayMs = list === undefined ? READ_RETRY_MS : READ_PERIOD_MS;
    schedule(delayMs + READ_JITTER_MS * random(), readList);
  }

  async function onListed(routers: readonly ListedRouter[]): Promise<void> {
    const nowMs = clock.monotonicMs();
    const before = listed.length;
    isListKnown = true;
    listed = routers.filter(({ hostId }) => hostId !== settings.hostId);
    listed.forEach(({ peerAddress }) => {
      if (!listedSinceMs.has(peerAddress)) listedSinceMs.set(peerAddress, nowMs);
    });
    if (listed.length !== before) decisions.vital('routers.listed', { count: listed.length });
    noteStarted();
    // Another router may have removed this router while this one was disconnected.
    const isListed = routers.some(({ hostId }) => hostId === settings.hostId);
    if (!isListed) await table.register(settings);
    const silentRouter = listed.find((router) => isSilentTooLong(router, nowMs));
    if (silentRouter === undefined) return;
    decisions.vital('router.forgotten', {
      router: silentRouter.hostId,
      address: silentRouter.peerAddress,
    });
    await table.remove(silentRouter);
  }

  function isSilentTooLong(router: ListedRouter, nowMs: number): boolean {
    const sinceMs =
      lastMessageAtMs.get(router.peerAddress) ?? listedSinceMs.get(router.peerAddress);
    return sinceMs !== undefined && nowMs - sinceMs > REMOVE_SILENT_AFTER_MS;
  }

  function addresses(): string[] {
    const nowMs = clock.monotonicMs();
    const known = new Set(listed.map(({ peerAddress }) => peerAddress));
    lastMessageAtMs.forEach((atMs, address) => {
      if (nowMs - atMs <= UNLISTED_PEER_TTL_MS) known.add(address);
      else if (!known.has(address)) lastMessageAtMs.delete(address);
    });
    known.delete(settings.peerAddress);
    return [...known];
  }

  return {
    start: () => {
      void registerSelf();
      clock.runAfter(FIRST_LIST_WAIT_MS, noteStarted);
    },
    listed: () => listed,
    isListKnown: () => isListKnown,
    onStoreRestored: () => schedule(RESTORED_JITTER_MS * random(), registerSelf),
    stop: () => {
      isStopped = true;
      cancel();
    },
    addresses,
    onMessageFrom: (address) => {
      lastMessageAtMs.set(address, clock.monotonicMs());
    },
  };
}
