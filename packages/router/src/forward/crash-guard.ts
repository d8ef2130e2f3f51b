import { asId, CONDEMNED_MS, createCrashSuspects } from '@mimosamill/core';
import type { Clock, DecisionLog, Upstream } from '@mimosamill/adapters';
import type {
  Condemnation,
  FailureDomain,
  PromptPartId,
  RequestId,
  ServerCrash,
  ServerId,
  SuspectId,
} from '@mimosamill/core';
import type { RequestContent } from './content';

/** Condemned suspects in the store, where they outlive all routers; times are on the wall clock. */
export interface CondemnedTable {
  /** Undefined if the store could not be read. */
  readonly list: () => Promise<readonly StoredCondemnation[] | undefined>;
  /** False if the row may not have been written. */
  readonly put: (stored: StoredCondemnation) => Promise<boolean>;
  readonly remove: (suspect: SuspectId) => Promise<void>;
}

export interface StoredCondemnation {
  readonly suspect: SuspectId;
  readonly condemnedAtWallMs: number;
}

/** An attempt whose connection broke before its server had begun to answer. */
export interface BrokenAttempt {
  readonly content: RequestContent;
  readonly requestId: RequestId;
  readonly isStream: boolean;
  readonly serverId: ServerId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
}

/** What a router tells the others; items are repeated, and applying one again has no effect. */
export interface CrashReports {
  readonly crashes: readonly ServerCrash[];
  /** Suspects until a server began to answer a request with them. */
  readonly cleared: readonly { readonly suspect: SuspectId; readonly atMs: number }[];
  readonly condemned: readonly Condemnation[];
}

/** Keeps requests that crash servers away from them, together with the other routers. */
export interface CrashGuard {
  readonly start: () => void;
  /** Resolves once it is known whether the server has crashed, and what that condemns. */
  readonly onBrokenAttempt: (attempt: BrokenAttempt) => Promise<void>;
  /** A server has begun to answer the request. */
  readonly onAnswered: (content: RequestContent) => void;
  readonly findCondemned: (content: RequestContent) => Condemnation | undefined;
  /** Whether a server has crashed under an equal request that none has answered since. */
  readonly isSuspected: (content: RequestContent) => boolean;
  readonly ownReports: (nowMs: number) => CrashReports;
  readonly onPeerReports: (reports: CrashReports) => void;
  /** The store came back from an older copy, which may lack rows that were written. */
  readonly onStoreRestored: () => void;
  readonly stop: () => void;
}

export interface CrashGuardPorts {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly upstream: Pick<Upstream, 'isAccepting'>;
  readonly table: CondemnedTable;
  /** Whether this router keeps the table on behalf of all. */
  readonly isElected: () => boolean;
  /** Sends this router's reports to the others after a short batch delay. */
  readonly broadcastSoon: () => void;
  readonly onCondemned: () => void;
  readonly hash64: (text: string) => string;
}

/** Reports are repeated for this time, since a datagram may be lost. */
const REPORT_REPEAT_MS = 1_500;
/** Keeps a message within one datagram when many servers crash together. */
const REPORTED_CRASHES_MAX = 40;
const STORE_STEP_PERIOD_MS = 1_000;

/** Reason that callers and logs get for a condemned request. */
export function condemnedMessage({ suspect }: Condemnation): string {
  return `servers crash when they run a request with the content or prompt part ${suspect}`;
}

export function createCrashGuard(ports: CrashGuardPorts): CrashGuard {
  const { clock, decisions } = ports;
  const suspects = createCrashSuspects();
  const probes = new Map<string, Promise<boolean>>();
  const stored = new Set<SuspectId>();
  let crashes: ServerCrash[] = [];
  let cleared: { readonly suspect: SuspectId; readonly atMs: number }[] = [];
  let isLoaded = false;
  let isStepping = false;
  let cancelSteps = (): void => undefined;

  /** A key for all parts together; hashed, since it is a key in the store too. */
  function combine(parts: readonly PromptPartId[]): PromptPartId | undefined {
    return parts.length > 1 ? asId<PromptPartId>(ports.hash64(parts.join())) : parts[0];
  }

  function withCombination(parts: readonly PromptPartId[]): readonly PromptPartId[] {
    const combination = combine(parts);
    return combination === undefined || parts.length === 1 ? parts : [...parts, combination];
  }

  /** Whether the server still takes connections; attempts that broke together share one probe. */
  function probe(address: string): Promise<boolean> {
    const running = probes.get(address);
    if (running !== undefined) return running;
    const started = ports.upstream.isAccepting(address).finally(() => probes.delete(address));
    probes.set(address, started);
    return started;
  }

  async function onBrokenAttempt(attempt: BrokenAttempt): Promise<void> {
    const atMs = clock.monotonicMs();
    if (await probe(attempt.address)) return;
    const { requestId, serverId, failureDomain, isStream, content } = attempt;
    const { parts } = content;
    const fingerprint = content.fingerprint();
    const combination = combine(parts);
    decisions.notable('server.crashed', {
      request: requestId,
      fingerprint,
      server: serverId,
      domain: failureDomain,
      parts: parts.length === 0 ? undefined : parts,
    });
    const what = { requestId, serverId, failureDomain, isStream, fingerprint, parts, combination };
    const crash: ServerCrash = { ...what, atMs };
    crashes.push(crash);
    applyCrash(crash);
    ports.broadcastSoon();
  }

  function applyCrash(crash: ServerCrash): void {
    suspects
      .onCrash(crash)
      .forEach((condemnation) => announce(condemnation, 'crashes', crash.requestId));
  }

  function announce(condemnation: Condemnation, source: string, requestId?: RequestId): void {
    decisions.vital('suspect.condemned', {
      suspect: condemnation.suspect,
      source,
      request: requestId,
      for_ms: condemnation.forMs,
    });
    ports.broadcastSoon();
    ports.onCondemned();
  }

  function onAnswered({ fingerprint, parts }: RequestContent): void {
    const atMs = clock.monotonicMs();
    const wasSuspected = suspects.onAnswered(fingerprint, atMs);
    const clearedSuspects = [
      ...suspects.onBegun(withCombination(parts), atMs),
      ...(wasSuspected ? [fingerprint()] : []),
    ];
    if (clearedSuspects.length === 0) return;
    clearedSuspects.forEach((suspect) => {
      cleared.push({ suspect, atMs });
      decisions.notable('suspect.cleared', { suspect });
    });
    ports.broadcastSoon();
  }

  function onPeerReports(reports: CrashReports): void {
    reports.cleared.forEach(({ suspect, atMs }) => suspects.onBegun([suspect], atMs));
    reports.crashes.forEach(applyCrash);
    reports.condemned.forEach((condemned) => adopt(condemned, 'peer'));
  }

  function adopt(condemnation: Condemnation, source: string): void {
    if (suspects.condemn(condemnation, clock.monotonicMs())) announce(condemnation, source);
  }

  /**
   * Reads the store when this router is elected and after a restore, then keeps the rows in step with
   * what is condemned. The others learn what is condemned from messages.
   */
  async function stepStore(): Promise<void> {
    if (isStepping) return;
    if (!ports.isElected()) {
      isLoaded = false;
      return;
    }
    isStepping = true;
    if (isLoaded) await writeRows();
    else await load();
    isStepping = false;
  }

  async function load(): Promise<void> {
    const rows = await ports.table.list();
    if (rows === undefined) return;
    isLoaded = true;
    stored.clear();
    rows.forEach(({ suspect, condemnedAtWallMs }) => {
      stored.add(suspect);
      const ageMs = Math.max(0, clock.nowMs() - condemnedAtWallMs);
      const condemnedAtMs = clock.monotonicMs() - ageMs;
      adopt({ suspect, condemnedAtMs, forMs: CONDEMNED_MS }, 'store');
    });
  }

  /** A quarantine is too short to be worth a row. */
  async function writeRows(): Promise<void> {
    const nowMs = clock.monotonicMs();
    const current = suspects.condemned(nowMs).filter(({ forMs }) => forMs >= CONDEMNED_MS);
    const ids = new Set(current.map(({ suspect }) => suspect));
    for (const { suspect, condemnedAtMs } of current) {
      if (!stored.has(suspect)) {
        const condemnedAtWallMs = clock.nowMs() - (nowMs - condemnedAtMs);
        if (await ports.table.put({ suspect, condemnedAtWallMs })) stored.add(suspect);
      }
    }
    for (const suspect of stored) {
      if (!ids.has(suspect)) {
        stored.delete(suspect);
        await ports.table.remove(suspect);
      }
    }
  }

  return {
    start: () => {
      cancelSteps = clock.runEvery(STORE_STEP_PERIOD_MS, () => {
        void stepStore();
      });
    },
    onBrokenAttempt,
    onAnswered,
    findCondemned: ({ fingerprint, parts }) =>
      suspects.findCondemned(() => [...withCombination(parts), fingerprint()], clock.monotonicMs()),
    isSuspected: ({ fingerprint }) => suspects.isSuspected(fingerprint, clock.monotonicMs()),
    ownReports: (nowMs) => {
      crashes = crashes
        .filter(({ atMs }) => nowMs - atMs < REPORT_REPEAT_MS)
        .slice(-REPORTED_CRASHES_MAX);
      cleared = cleared.filter(({ atMs }) => nowMs - atMs < REPORT_REPEAT_MS);
      return { crashes, cleared, condemned: suspects.condemned(nowMs) };
    },
    onPeerReports,
    onStoreRestored: () => {
      isLoaded = false;
    },
    stop: () => cancelSteps(),
  };
}
