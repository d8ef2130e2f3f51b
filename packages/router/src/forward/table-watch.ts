import { describeError } from '@mimosamill/adapters';
import { createWakeTimer } from '../call/async';
import { createFollowedRows } from './followed-rows';
import { createServedTable } from './relayed-table';
import { createStorePath } from './store-path';
import type { Clock, DecisionLog } from '@mimosamill/adapters';
import type { RowHandlers } from './followed-rows';
import type { RelayedTable } from './relay';
import type { RelaySource, TableChange, WatchSources } from './watched-table';
import type { StoreRevision } from '@mimosamill/core';

export interface WatchSettings {
  readonly name: string;
  /** Time after which the store answers a long poll when nothing has changed. */
  readonly waitMs: number;
  /** Added to `waitMs`; a call that takes longer counts as failed. */
  readonly timeoutMarginMs: number;
  /** Longest delay between two polls while no source answers, before jitter. */
  readonly retryMaxMs: number;
}

export interface WatchHandlers<T> extends RowHandlers<T> {
  /** Called when the store answers again after calls to it have failed. */
  readonly onStoreRegained?: () => void;
}

/** Keeps a replica of a table up to date, and tracks its age. */
export interface TableWatch {
  readonly start: () => void;
  /** The store answered a call about another table. */
  readonly onStoreClock: (sentAtMs: number, storeNowMs: number) => void;
  readonly ageMs: () => number;
  readonly revision: () => number;
  /** Whether the last call to the store failed. */
  readonly isStoreUnreachable: () => boolean;
  /** Asks the store at once; true if the replica now reflects a time after the call. */
  readonly refresh: () => Promise<boolean>;
  /** The store answers this router again: polls now instead of after the rest of a retry delay. */
  readonly onStoreReachable: () => void;
  /** The replica as other routers read it. */
  readonly relayed: RelayedTable;
  readonly stop: () => void;
}

/** Delay after a failed call; it doubles with each further failure, up to the setting. */
const RETRY_MIN_MS = 120;
const RETRY_JITTER_RATIO = 0.3;
/** Longer than for changes: reading the whole table transfers more bytes. */
const READ_ALL_TIMEOUT_MS = 1_200;
/** A relay is asked to answer at once while the content is outdated. */
const STALE_RELAY_TIMEOUT_MS = 400;
/** A relay that started at the same time answers once it has read the table. */
const FIRST_RELAY_WAIT_MS = 300;
/** Shortest wait for changes, with which the store answers at once. */
const MIN_WAIT_MS = 1;
/** Changes come in bursts, e.g. when all servers of a failure domain restart; a pause batches them. */
const BATCH_DELAY_MS = 100;
/** Shortest time between two calls that test a lost path to the store. */
const PATH_PROBE_PERIOD_MS = 2_000;
const STORE_SOURCE = 'store';

export function createTableWatch<T>(
  sources: WatchSources<T>,
  clock: Clock,
  random: () => number,
  decisions: DecisionLog,
  settings: WatchSettings,
  handlers: WatchHandlers<T>,
): TableWatch {
  const path = createStorePath(
    settings.name,
    sources.eras,
    () => replica.revision(),
    () => handlers.onStoreRegained?.(),
    clock,
    decisions,
  );
  const { freshness } = path;
  const { replica, replaceAll, isOfOtherEra, publish } = createFollowedRows(
    handlers,
    path.sinceOutageMs,
  );
  const served = createServedTable(settings.name, replica, freshness, clock, path.sinceOutageMs);
  let failures = 0;
  let lastProbeAtMs = -Infinity;
  let isStopped = false;
  /** Whether the next poll waits for the retry timer. */
  let isPausing = false;
  let currentPoll: AbortController | undefined;
  let currentFullRead: AbortController | undefined;
  let fullReads = 0;
  let restores = 0;
  let readingAll: Promise<boolean> | undefined;
  let refreshing: Promise<boolean> | undefined;
  const retry = createWakeTimer(clock, () => {
    isPausing = false;
    void pollLoop();
  });

  /** Runs a call with a timeout, after which its connection is closed. */
  async function withAbortTimeout<R>(
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

  function onAnswer(sentAtMs: number, storeNowMs: number): void {
    failures = 0;
    path.onAnswer(sentAtMs, storeNowMs);
  }

  function onFailure(message: string): void {
    failures += 1;
    path.onFailure(message);
  }

  /** Concurrent callers share one read. */
  function readAll(): Promise<boolean> {
    if (readingAll === undefined) {
      const read = readAllOnce().finally(() => {
        if (readingAll === read) readingAll = undefined;
      });
      readingAll = read;
    }
    return readingAll;
  }

  async function readAllOnce(): Promise<boolean> {
    fullReads += 1;
    const restoresBefore = restores;
    const sentAtMs = clock.monotonicMs();
    currentFullRead = new AbortController();
    const content = await withAbortTimeout(
      READ_ALL_TIMEOUT_MS,
      currentFullRead,
      sources.store.readAll,
    );
    if (content.kind === 'unavailable') {
      // Given up for the restore, which has begun another read.
      if (restores !== restoresBefore) return readAll();
      onFailure(content.message);
      return false;
    }
    onAnswer(sentAtMs, content.storeNowMs);
    const isRestored = isOfOtherEra(content);
    if (replaceAll(content.rows, content)) publish(STORE_SOURCE, isRestored);
    served.wake();
    return true;
  }

  /** Whether changes since the replica's revision can be read: it was read in the present era. */
  function isFollowing(): boolean {
    return replica.revision() >= 0 && replica.era() === sources.eras.current();
  }

  async function readChanges(abort: AbortController, waitMs: number): Promise<boolean> {
    if (!isFollowing()) return readAll();
    const since = { era: replica.era(), revision: replica.revision() };
    const sentAtMs = clock.monotonicMs();
    const timeoutMs = waitMs + settings.timeoutMarginMs;
    const answer = await withAbortTimeout(timeoutMs, abort, (signal) =>
      sources.store.readChanges(since.revision, waitMs, signal),
    );
    // A poll of an era that has ended tells nothing of the path to the store.
    if (since.era !== sources.eras.current()) return isFollowing() || readAll();
    switch (answer.kind) {
      case 'ok':
        // Changes of another era leave out what was written before the revision was given out again.
        if (answer.era !== since.era) return readAll();
        onAnswer(sentAtMs, answer.storeNowMs);
        // A concurrent call may have updated the replica meanwhile.
        if (replica.revision() === since.revision) applyChanges(answer.changes, answer);
        served.wake();
        return true;
      case 'history_lost':
        decisions.vital('store.history_lost', {
          table: settings.name,
          ...since,
        });
        return readAll();
      case 'unavailable':
        onFailure(answer.message);
        return false;
      default:
        return false;
    }
  }

  function applyChanges(changes: readonly TableChange<T>[], to: StoreRevision): void {
    const isNewer = replica.apply(changes, to);
    if (isNewer && changes.length > 0) publish(STORE_SOURCE);
  }

  /** Time until the content is so old that the next source must be asked; negative if it is. */
  function freshForMs(): number {
    return settings.waitMs + settings.timeoutMarginMs - path.ageMs();
  }

  /**
   * Reads from another router; the age of the content is that of the other router's replica. A relay
   * that has lost the store keeps answering, so its answers count only while the content is fresh.
   */
  async function readRelay(relay: RelaySource<T>, abort: AbortController): Promise<boolean> {
    probeLostPath();
    const since = { era: replica.era(), revision: replica.revision() };
    const isFresh = freshForMs() > 0;
    const waitMs = isFresh ? settings.waitMs : staleWaitMs();
    const timeoutMs = isFresh ? freshForMs() : STALE_RELAY_TIMEOUT_MS;
    const answer = await withAbortTimeout(timeoutMs, abort, (signal) =>
      relay.readChanges({ since, knownAsOfMs: freshness.storeAsOfMs(), waitMs }, signal),
    );
    if (answer.kind === 'unavailable') return false;
    if (sources.eras.observe(answer.era) === 'older') return false;
    path.checkClocks();
    failures = 0;
    const isRestored = isOfOtherEra(answer);
    const isNewer = answer.isAll
      ? replaceAll(answer.changes, answer)
      : replica.revision() === since.revision && replica.apply(answer.changes, answer);
    // An answer older than the replica says nothing about the age of the replica.
    if (answer.era === replica.era() && answer.revision >= replica.revision()) {
      path.onRelayed(answer.storeAsOfMs, answer.sinceOutageMs);
    }
    if (isNewer && answer.changes.length > 0) publish(relay.name, isRestored);
    served.wake();
    return freshForMs() > 0;
  }

  function staleWaitMs(): number {
    return replica.revision() < 0 ? FIRST_RELAY_WAIT_MS : MIN_WAIT_MS;
  }

  /** Whether only the store can tell how old the content is, or what it is. */
  function needsStore(): boolean {
    if (replica.revision() < 0) return !freshness.knowsStoreClock();
    return freshForMs() <= 0 || !isFollowing();
  }

  /** Sources in the order in which to try them; undefined stands for the store. */
  function sourcesInOrder(): (RelaySource<T> | undefined)[] {
    const relays = sources.relays();
    const [preferred, ...others] = relays;
    if (preferred === undefined || sources.isReader() || needsStore()) {
      return [undefined, ...relays];
    }
    return [preferred, undefined, ...others];
  }

  /**
   * Asks the store beside the polls of a relay, which say nothing about this router's own path. While
   * the path counts as lost, this router is not chosen to read for others.
   */
  function probeLostPath(): void {
    const nowMs = clock.monotonicMs();
    if (!path.isLost() || nowMs - lastProbeAtMs < PATH_PROBE_PERIOD_MS) return;
    lastProbeAtMs = nowMs;
    void refresh();
  }

  /**
   * While the path counts as lost, the store is asked to answer at once. A long poll sent to a store
   * that is away fails only after its full wait, and one that arrives after the return is answered
   * only after a change or that wait, so that the content stays outdated for seconds.
   */
  function pollStore(abort: AbortController): Promise<boolean> {
    return path.isLost() ? refresh() : readChanges(abort, settings.waitMs);
  }

  /** Reads from the first source that answers. */
  async function pollOnce(): Promise<boolean> {
    for (const source of sourcesInOrder()) {
      currentPoll = new AbortController();
      const isOk =
        source === undefined ? await pollStore(currentPoll) : await readRelay(source, currentPoll);
      if (isOk || isStopped) return true;
    }
    return false;
  }

  function retryDelayMs(): number {
    const delayMs = Math.min(settings.retryMaxMs, RETRY_MIN_MS * 2 ** Math.max(0, failures - 1));
    return delayMs * (1 + RETRY_JITTER_RATIO * random());
  }

  /** An unexpected error must neither end the process nor the polls. */
  function onUnexpected(error: unknown): false {
    failures += 1;
    decisions.vital('table.read_failed', { table: settings.name, message: describeError(error) });
    return false;
  }

  async function pollLoop(): Promise<void> {
    while (!isStopped) {
      const before = replica.revision();
      const fullReadsBefore = fullReads;
      const isOk = await pollOnce().catch(onUnexpected);
      if (isStopped) return;
      const isUpdated = replica.revision() !== before || fullReads > fullReadsBefore;
      const pauseMs = isUpdated ? BATCH_DELAY_MS : 0;
      if (!isOk || pauseMs > 0) {
        isPausing = true;
        retry.set(clock.monotonicMs() + (isOk ? pauseMs : retryDelayMs()));
        return;
      }
    }
  }

  function onRestored(): void {
    path.onRestored();
    restores += 1;
    abandonCalls();
    if (!isStopped) void refresh();
  }

  /** Calls of an era that has ended may get no answer; none waits for them. */
  function abandonCalls(): void {
    currentPoll?.abort();
    currentFullRead?.abort();
    readingAll = undefined;
    refreshing = undefined;
  }

  sources.eras.onRestored(onRestored);

  /** Asks the store for an answer at once; concurrent callers share one read. */
  function refresh(): Promise<boolean> {
    if (refreshing === undefined) {
      const refreshed = readChanges(new AbortController(), MIN_WAIT_MS)
        .catch(onUnexpected)
        .finally(() => {
          if (refreshing === refreshed) refreshing = undefined;
        });
      refreshing = refreshed;
    }
    return refreshing;
  }

  return {
    start: () => {
      void pollLoop();
    },
    onStoreClock: freshness.onClockRead,
    ageMs: () => {
      path.checkClocks();
      return path.ageMs();
    },
    revision: replica.revision,
    isStoreUnreachable: path.isLost,
    refresh,
    onStoreReachable: () => {
      if (path.isLost() && isPausing) retry.set(clock.monotonicMs());
    },
    relayed: served,
    stop: () => {
      isStopped = true;
      isPausing = false;
      retry.set(undefined);
      currentPoll?.abort();
      currentFullRead?.abort();
      served.wake();
    },
  };
}
