import { createFreshnessTracker } from '@mimosamill/core';
import { createWakeTimer } from '../call/async';
import { createTableReplica } from './table-replica';
import type { Clock, DecisionLog } from '@mimosamill/adapters';
import type { RelayResponse, RelayedTable } from './relay';

/** A table of the platform's store, decoded into the product's types. */
export interface WatchedTable<T> {
  readonly readAll: (signal: AbortSignal) => Promise<TableContent<T>>;
  /** Waits for changes after a revision; without any it answers with none after `waitMs`. */
  readonly readChanges: (
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<TableChanges<T>>;
}

export type TableContent<T> =
  | {
      readonly kind: 'ok';
      readonly rows: readonly TableRow<T>[];
      readonly revision: number;
      readonly storeNowMs: number;
    }
  | StoreFailure;

export type TableChanges<T> =
  | {
      readonly kind: 'ok';
      /** In order; `value` is undefined for a row that was removed. */
      readonly changes: readonly TableChange<T>[];
      readonly revision: number;
      readonly storeNowMs: number;
    }
  /** The store no longer has the history since the revision. */
  | { readonly kind: 'history_lost' }
  | StoreFailure;

export interface TableRow<T> {
  readonly key: string;
  readonly value: T;
}

export interface TableChange<T> {
  readonly key: string;
  readonly value: T | undefined;
}

export interface StoreFailure {
  readonly kind: 'unavailable';
  readonly message: string;
}

/** Another router that passes a table on. */
export interface RelaySource<T> {
  readonly name: string;
  readonly readChanges: (
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<RelayedChanges<T>>;
}

export type RelayedChanges<T> =
  | {
      readonly kind: 'relayed';
      readonly changes: readonly TableChange<T>[];
      readonly isAll: boolean;
      readonly revision: number;
      readonly storeAsOfMs: number;
      readonly sinceOutageMs: number;
    }
  | StoreFailure;

/** Where a watch reads. */
export interface WatchSources<T> {
  readonly store: WatchedTable<T>;
  /** Other routers that read the store, the preferred one first. */
  readonly relays: () => readonly RelaySource<T>[];
  /** Whether this router reads the store for others. */
  readonly isReader: () => boolean;
}

export interface WatchSettings {
  readonly name: string;
  /** The store answers after this time when nothing changes. */
  readonly waitMs: number;
  /** Time beyond it after which a call counts as lost. */
  readonly timeoutMarginMs: number;
}

export interface WatchHandlers<T> {
  /** The rows after a change, or after the whole table was read again. */
  readonly onRows: (rows: ReadonlyMap<string, T>, context: WatchContext) => void;
}

export interface WatchContext {
  readonly revision: number;
  /** Time since the store was last out of reach; Infinity if it never was. */
  readonly sinceOutageMs: number;
}

/** Keeps a copy of a table, and knows how old it is. */
export interface TableWatch {
  readonly start: () => void;
  readonly ageMs: () => number;
  readonly revision: () => number;
  /** Whether the last call to the store failed. */
  readonly isStoreUnreachable: () => boolean;
  /** Asks the store at once; true if the copy is known to be newer than the call. */
  readonly refresh: () => Promise<boolean>;
  /** The copy as other routers read it. */
  readonly relayed: RelayedTable;
  readonly stop: () => void;
}

/** First pause after a failed call; it doubles up to the second figure. */
const RETRY_MIN_MS = 120;
const RETRY_MAX_MS = 700;
const RETRY_JITTER_RATIO = 0.3;
/** A whole read moves more bytes than a wait for changes. */
const READ_ALL_TIMEOUT_MS = 1_200;
const REFRESH_TIMEOUT_MS = 400;
/** Shortest wait for changes; the store answers at once. */
const MIN_WAIT_MS = 1;
/** Changes come in bursts, as when the servers of a failure domain start again. */
const BATCH_DELAY_MS = 100;
/** Age, as a multiple of the wait, from which a relay is not trusted to be up to date. */
const STALE_AGE_RATIO = 1.6;

export function createTableWatch<T>(
  sources: WatchSources<T>,
  clock: Clock,
  random: () => number,
  decisions: DecisionLog,
  settings: WatchSettings,
  handlers: WatchHandlers<T>,
): TableWatch {
  const knowledge = createFreshnessTracker();
  const copy = createTableReplica<T>();
  const waiters = new Set<() => void>();
  let failures = 0;
  let isLost = false;
  let lostAtMs = 0;
  let regainedAtMs = -Infinity;
  let isStopped = false;
  let poll: AbortController | undefined;
  let refreshing: Promise<boolean> | undefined;
  const retry = createWakeTimer(clock, () => {
    void run();
  });

  /** Runs a call with a bound on its time; its connection is closed when the bound passes. */
  async function bounded<R>(
    timeoutMs: number,
    abort: AbortController,
    call: (signal: AbortSignal) => Promise<R>,
  ): Promise<R> {
    const cancel = clock.runAfter(timeoutMs, () => abort.abort());
    try {
      return await call(abort.signal);
    } finally {
      cancel();
    }
  }

  function sinceOutageMs(): number {
    return isLost ? 0 : clock.monotonicMs() - regainedAtMs;
  }

  function publish(outageMs: number): void {
    handlers.onRows(copy.rows, { revision: copy.revision(), sinceOutageMs: outageMs });
  }

  function wakeWaiters(): void {
    const woken = [...waiters];
    waiters.clear();
    woken.forEach((wake) => wake());
  }

  function checkClocks(): void {
    const check = knowledge.checkClocks(clock.monotonicMs(), clock.nowMs());
    if (check.kind === 'ok') return;
    decisions.vital('clock.discrepancy', {
      table: settings.name,
      difference_ms: Math.round(check.differenceMs),
    });
  }

  function onAnswer(sentAtMs: number, storeNowMs: number): void {
    checkClocks();
    knowledge.onAnswer(sentAtMs, storeNowMs);
    failures = 0;
    if (!isLost) return;
    isLost = false;
    regainedAtMs = clock.monotonicMs();
    decisions.vital('store.regained', {
      table: settings.name,
      revision: copy.revision(),
      lost_ms: Math.round(regainedAtMs - lostAtMs),
    });
  }

  function onFailure(message: string): void {
    failures += 1;
    if (isLost) return;
    isLost = true;
    lostAtMs = clock.monotonicMs();
    decisions.vital('store.lost', {
      table: settings.name,
      revision: copy.revision(),
      age_ms: Math.round(knowledge.ageMs(lostAtMs)),
      message,
    });
  }

  async function readAll(abort: AbortController): Promise<boolean> {
    const sentAtMs = clock.monotonicMs();
    const content = await bounded(READ_ALL_TIMEOUT_MS, abort, sources.store.readAll);
    if (content.kind === 'unavailable') {
      onFailure(content.message);
      return false;
    }
    onAnswer(sentAtMs, content.storeNowMs);
    if (copy.replace(content.rows, content.revision)) publish(sinceOutageMs());
    wakeWaiters();
    return true;
  }

  async function readChanges(abort: AbortController, waitMs: number): Promise<boolean> {
    if (copy.revision() < 0) return readAll(abort);
    const sinceRevision = copy.revision();
    const sentAtMs = clock.monotonicMs();
    const timeoutMs =
      waitMs === MIN_WAIT_MS ? REFRESH_TIMEOUT_MS : waitMs + settings.timeoutMarginMs;
    const answer = await bounded(timeoutMs, abort, (signal) =>
      sources.store.readChanges(sinceRevision, waitMs, signal),
    );
    switch (answer.kind) {
      case 'ok':
        onAnswer(sentAtMs, answer.storeNowMs);
        // Another call may have brought the copy further meanwhile.
        if (copy.revision() === sinceRevision) applyChanges(answer.changes, answer.revision);
        wakeWaiters();
        return true;
      case 'history_lost':
        decisions.vital('store.history_lost', { table: settings.name, revision: sinceRevision });
        return readAll(abort);
      case 'unavailable':
        onFailure(answer.message);
        return false;
      default:
        return false;
    }
  }

  function applyChanges(changes: readonly TableChange<T>[], revision: number): void {
    const isNewer = copy.apply(changes, revision);
    if (isNewer && changes.length > 0) publish(sinceOutageMs());
  }

  /** Reads from another router; its content is as old as what that one has from the store. */
  async function readRelay(relay: RelaySource<T>, abort: AbortController): Promise<boolean> {
    const sinceRevision = copy.revision();
    const answer = await bounded(settings.waitMs + settings.timeoutMarginMs, abort, (signal) =>
      relay.readChanges(sinceRevision, settings.waitMs, signal),
    );
    if (answer.kind === 'unavailable') return false;
    checkClocks();
    const isNewer = answer.isAll
      ? copy.replace(answer.changes, answer.revision)
      : copy.revision() === sinceRevision && copy.apply(answer.changes, answer.revision);
    // Content that was overtaken by another call says nothing about the age of the copy.
    if (answer.revision >= copy.revision()) knowledge.onRelayed(answer.storeAsOfMs);
    if (isNewer && answer.changes.length > 0) {
      publish(Math.min(sinceOutageMs(), answer.sinceOutageMs));
    }
    wakeWaiters();
    return true;
  }

  /** The sources to try this time, in turn; undefined stands for the store. */
  function plan(): (RelaySource<T> | undefined)[] {
    const relays = sources.relays();
    const [preferred, ...others] = relays;
    const isStale = knowledge.ageMs(clock.monotonicMs()) > settings.waitMs * STALE_AGE_RATIO;
    if (preferred === undefined || sources.isReader() || isStale) return [undefined, ...relays];
    return [preferred, undefined, ...others];
  }

  /** Reads from the first source that answers. */
  async function step(): Promise<boolean> {
    for (const source of plan()) {
      poll = new AbortController();
      const isOk =
        source === undefined
          ? await readChanges(poll, settings.waitMs)
          : await readRelay(source, poll);
      if (isOk || isStopped) return true;
    }
    return false;
  }

  function retryDelayMs(): number {
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** Math.max(0, failures - 1));
    return delayMs * (1 + RETRY_JITTER_RATIO * random());
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      const before = copy.revision();
      const isOk = await step();
      if (isStopped) return;
      const pauseMs = copy.revision() > before ? BATCH_DELAY_MS : 0;
      if (!isOk || pauseMs > 0) {
        retry.set(clock.monotonicMs() + (isOk ? pauseMs : retryDelayMs()));
        return;
      }
    }
  }

  function refresh(): Promise<boolean> {
    refreshing ??= (async () => {
      const isOk = await readChanges(new AbortController(), MIN_WAIT_MS);
      refreshing = undefined;
      return isOk;
    })();
    return refreshing;
  }

  function relayedAnswer(sinceRevision: number): RelayResponse | undefined {
    const storeAsOfMs = knowledge.storeAsOfMs();
    if (copy.revision() < 0 || storeAsOfMs === undefined) return undefined;
    const outageMs = sinceOutageMs();
    return {
      ...copy.changesSince(sinceRevision),
      storeAsOfMs,
      sinceOutageMs: Number.isFinite(outageMs) ? outageMs : null,
    };
  }

  function waitForNewer(sinceRevision: number, waitMs: number): Promise<RelayResponse | undefined> {
    if (copy.revision() > sinceRevision) return Promise.resolve(relayedAnswer(sinceRevision));
    return new Promise((resolve) => {
      const wake = (): void => {
        waiters.delete(wake);
        cancel();
        resolve(relayedAnswer(sinceRevision));
      };
      const cancel = clock.runAfter(waitMs, wake);
      waiters.add(wake);
    });
  }

  return {
    start: () => {
      void run();
    },
    ageMs: () => {
      checkClocks();
      return knowledge.ageMs(clock.monotonicMs());
    },
    revision: copy.revision,
    isStoreUnreachable: () => isLost,
    refresh,
    relayed: { name: settings.name, waitForNewer },
    stop: () => {
      isStopped = true;
      retry.set(undefined);
      poll?.abort();
      wakeWaiters();
    },
  };
}
