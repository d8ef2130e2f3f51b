import { createKnowledge } from '@mimosamill/core';
import { createAlarm } from '../call/async';
import type { Clock, DecisionLog } from '@mimosamill/adapters';

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

export interface WatchSettings {
  readonly name: string;
  /** The store answers after this time when nothing changes. */
  readonly waitMs: number;
  /** Time beyond it after which a call counts as lost. */
  readonly slackMs: number;
}

export interface WatchHandlers<T> {
  /** The rows after a change, or after the whole table was read again. */
  readonly onRows: (rows: ReadonlyMap<string, T>, context: WatchContext) => void;
  readonly onLost: () => void;
  readonly onRegained: () => void;
}

export interface WatchContext {
  readonly revision: number;
  /** Time since the store was last out of reach; Infinity if it never was. */
  readonly sinceOutageMs: number;
}

/** Keeps a copy of a table, and knows how old it is. */
export interface Watch {
  readonly start: () => void;
  readonly ageMs: () => number;
  readonly revision: () => number;
  readonly isLost: () => boolean;
  /** Asks the store at once; true if the copy is known to be newer than the call. */
  readonly refresh: () => Promise<boolean>;
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
const NO_WAIT_MS = 1;

export function createWatch<T>(
  table: WatchedTable<T>,
  clock: Clock,
  random: () => number,
  decisions: DecisionLog,
  settings: WatchSettings,
  handlers: WatchHandlers<T>,
): Watch {
  const knowledge = createKnowledge();
  const rows = new Map<string, T>();
  let revision = -1;
  let failures = 0;
  let isLost = false;
  let lostAtMs = 0;
  let regainedAtMs = -Infinity;
  let isStopped = false;
  let poll: AbortController | undefined;
  let refreshing: Promise<boolean> | undefined;
  const retry = createAlarm(clock, () => {
    void run();
  });

  /** Runs a call with a bound on its time; its connection is closed when the bound passes. */
  async function bounded<R>(
    timeoutMs: number,
    abort: AbortController,
    call: (signal: AbortSignal) => Promise<R>,
  ): Promise<R> {
    const cancel = clock.after(timeoutMs, () => abort.abort());
    try {
      return await call(abort.signal);
    } finally {
      cancel();
    }
  }

  function publish(): void {
    const sinceOutageMs = isLost ? 0 : clock.monotonicMs() - regainedAtMs;
    handlers.onRows(rows, { revision, sinceOutageMs });
  }

  function onAnswer(sentAtMs: number, storeNowMs: number): void {
    knowledge.checkClocks(clock.monotonicMs(), clock.nowMs());
    knowledge.onAnswer(sentAtMs, storeNowMs);
    failures = 0;
    if (!isLost) return;
    isLost = false;
    regainedAtMs = clock.monotonicMs();
    decisions.vital('store.regained', {
      table: settings.name,
      revision,
      lost_ms: Math.round(regainedAtMs - lostAtMs),
    });
    handlers.onRegained();
  }

  function onFailure(message: string): void {
    failures += 1;
    if (isLost) return;
    isLost = true;
    lostAtMs = clock.monotonicMs();
    decisions.vital('store.lost', {
      table: settings.name,
      revision,
      age_ms: Math.round(knowledge.ageMs(lostAtMs)),
      message,
    });
    handlers.onLost();
  }

  async function readAll(abort: AbortController): Promise<boolean> {
    const sentAtMs = clock.monotonicMs();
    const content = await bounded(READ_ALL_TIMEOUT_MS, abort, table.readAll);
    if (content.kind === 'unavailable') {
      onFailure(content.message);
      return false;
    }
    onAnswer(sentAtMs, content.storeNowMs);
    // An answer that was overtaken by a newer one would bring back what has been removed.
    if (content.revision < revision) return true;
    rows.clear();
    content.rows.forEach(({ key, value }) => rows.set(key, value));
    revision = content.revision;
    publish();
    return true;
  }

  async function readChanges(abort: AbortController, waitMs: number): Promise<boolean> {
    const sinceRevision = revision;
    const sentAtMs = clock.monotonicMs();
    const timeoutMs = waitMs === NO_WAIT_MS ? REFRESH_TIMEOUT_MS : waitMs + settings.slackMs;
    const answer = await bounded(timeoutMs, abort, (signal) =>
      table.readChanges(sinceRevision, waitMs, signal),
    );
    switch (answer.kind) {
      case 'ok':
        onAnswer(sentAtMs, answer.storeNowMs);
        // Another call may have brought the copy further meanwhile.
        if (revision !== sinceRevision) return true;
        applyChanges(answer.changes, answer.revision);
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

  function applyChanges(changes: readonly TableChange<T>[], newRevision: number): void {
    revision = Math.max(revision, newRevision);
    if (changes.length === 0) return;
    changes.forEach(({ key, value }) => {
      if (value === undefined) rows.delete(key);
      else rows.set(key, value);
    });
    publish();
  }

  function retryDelayMs(): number {
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** Math.max(0, failures - 1));
    return delayMs * (1 + RETRY_JITTER_RATIO * random());
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      poll = new AbortController();
      const isOk = revision < 0 ? await readAll(poll) : await readChanges(poll, settings.waitMs);
      if (!isOk) {
        if (!isStopped) retry.set(clock.monotonicMs() + retryDelayMs());
        return;
      }
    }
  }

  function refresh(): Promise<boolean> {
    refreshing ??= (async () => {
      const abort = new AbortController();
      const isOk = revision < 0 ? await readAll(abort) : await readChanges(abort, NO_WAIT_MS);
      refreshing = undefined;
      return isOk;
    })();
    return refreshing;
  }

  return {
    start: () => {
      void run();
    },
    ageMs: () => {
      const nowMs = clock.monotonicMs();
      const check = knowledge.checkClocks(nowMs, clock.nowMs());
      if (check.kind === 'discrepancy') {
        decisions.vital('clock.discrepancy', {
          table: settings.name,
          difference_ms: Math.round(check.differenceMs),
        });
      }
      return knowledge.ageMs(nowMs);
    },
    revision: () => revision,
    isLost: () => isLost,
    refresh,
    stop: () => {
      isStopped = true;
      retry.set(undefined);
      poll?.abort();
    },
  };
}
