import { CONDEMNED_MS, CRASH_SETTLE_MS, createCrashSuspects, evictOldest } from '@mimosamill/core';
import type { Clock, DecisionLog, Upstream } from '@mimosamill/adapters';
import type {
  Condemnation,
  FailureDomain,
  RequestId,
  ServerCrash,
  ServerId,
  SuspectAnswer,
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
  readonly outweighsAnswers: boolean;
}

/** An attempt whose connection broke before its server had proven to survive the request. */
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
  /** The last answers to requests with suspects, which clear them of what came before. */
  readonly answers: readonly SuspectAnswer[];
  readonly condemned: readonly Condemnation[];
}

/** Keeps requests that crash servers away from them, together with the other routers. */
export interface CrashGuard {
  readonly start: () => void;
  /** Resolves once it is known whether the server has crashed, and what that condemns. */
  readonly onBrokenAttempt: (attempt: BrokenAttempt) => Promise<void>;
  /** A server has answered the request, or has gone on with its answer for so long that it survives it. */
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
}

/** Reports are repeated for this time, since a datagram may be lost. */
const REPORT_REPEAT_MS = 1_500;
/** Keep a message within one datagram when many servers crash together. */
const REPORTED_CRASHES_MAX = 40;
const REPORTED_ANSWERS_MAX = 40;
const STORE_STEP_PERIOD_MS = 1_000;

/** Reason that callers and logs get for a condemned request. */
export function condemnedMessage({ suspect }: Condemnation): string {
  return `servers crash when they run a request with the content or the prompt parts ${suspect}`;
}

interface ReportedAnswer {
  readonly answer: SuspectAnswer;
  readonly reportedAtMs: number;
}

export function createCrashGuard(ports: CrashGuardPorts): CrashGuard {
  const { clock, decisions } = ports;
  const suspects = createCrashSuspects();
  const probes = new Map<string, Promise<boolean>>();
  const stored = new Set<SuspectId>();
  let crashes: ServerCrash[] = [];
  /** Ordered by the time of the report, the oldest first. */
  const answers = new Map<SuspectId, ReportedAnswer>();
  let isLoaded = false;
  let isStepping = false;
  let cancelSteps = (): void => undefined;

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
    decisions.notable('server.crashed', {
      request: requestId,
      fingerprint,
      server: serverId,
      domain: failureDomain,
      parts: parts.length === 0 ? undefined : parts,
    });
    const what = { requestId, serverId, failureDomain, isStream, fingerprint, parts };
    const crash: ServerCrash = { ...what, atMs };
    crashes.push(crash);
    const settled = applyCrash(crash);
    ports.broadcastSoon();
    await settled;
  }

  /** Resolves once it is known what the crash condemns. */
  async function applyCrash(crash: ServerCrash): Promise<void> {
    const announceOwn = (condemnation: Condemnation): void =>
      announce(condemnation, 'crashes', crash.requestId);
    const { condemned, isUnsettled } = suspects.onCrash(crash);
    condemned.forEach(announceOwn);
    // A router that has served no request with a part cannot tell a sound one from the one at fault.
    suspects.answersInDoubt(crash.parts, clock.monotonicMs()).forEach(reportAnswer);
    if (!isUnsettled) return;
    await new Promise<void>((resolve) => {
      clock.runAfter(CRASH_SETTLE_MS, resolve);
    });
    suspects.onSettled(crash, clock.monotonicMs()).forEach(announceOwn);
  }

  function reportAnswer(answer: SuspectAnswer): void {
    const { suspect, atMs } = answer;
    const nowMs = clock.monotonicMs();
    const known = answers.get(suspect);
    const isRepeated = known !== undefined && nowMs - known.reportedAtMs < REPORT_REPEAT_MS;
    if (isRepeated && known.answer.atMs >= atMs) return;
    answers.delete(suspect);
    answers.set(suspect, { answer, reportedAtMs: nowMs });
    evictOldest(answers, REPORTED_ANSWERS_MAX);
    ports.broadcastSoon();
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
      ...suspects.onSurvived(parts, atMs),
      ...(wasSuspected ? [fingerprint()] : []),
    ];
    clearedSuspects.forEach((suspect) => {
      reportAnswer({ suspect, atMs });
      decisions.notable('suspect.cleared', { suspect, source: 'answer' });
    });
  }

  function onPeerReports(reports: CrashReports): void {
    reports.answers.forEach(onPeerAnswer);
    reports.crashes.forEach((crash) => {
      applyCrash(crash).catch((error: unknown) => {
        decisions.vital('crash.not_judged', { server: crash.serverId, problem: String(error) });
      });
    });
    reports.condemned.forEach((condemned) => adopt(condemned, 'peer'));
  }

  function onPeerAnswer({ suspect, atMs }: SuspectAnswer): void {
    const nowMs = clock.monotonicMs();
    const wasCondemned = suspects.condemned(nowMs).some((known) => known.suspect === suspect);
    const isCleared = suspects.onSurvived([suspect], atMs).length > 0;
    // Each router hears of each cleared suspicion; only a lifted refusal changes what it does.
    if (!isCleared || !wasCondemned) return;
    const ageMs = Math.round(nowMs - atMs);
    decisions.notable('suspect.cleared', { suspect, source: 'peer', age_ms: ageMs });
  }

  function adopt(condemnation: Condemnation, source: string): void {
    const outcome = suspects.condemn(condemnation, clock.monotonicMs());
    if (outcome === 'adopted') announce(condemnation, source);
    if (outcome !== 'refuted') return;
    const answer = suspects.lastAnswer(condemnation.suspect);
    if (answer !== undefined) reportAnswer(answer);
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
    rows.forEach(({ suspect, condemnedAtWallMs, outweighsAnswers }) => {
      stored.add(suspect);
      const ageMs = Math.max(0, clock.nowMs() - condemnedAtWallMs);
      const condemnedAtMs = clock.monotonicMs() - ageMs;
      adopt({ suspect, condemnedAtMs, forMs: CONDEMNED_MS, outweighsAnswers }, 'store');
    });
  }

  /** A quarantine is too short to be worth a row. */
  async function writeRows(): Promise<void> {
    const nowMs = clock.monotonicMs();
    const current = suspects.condemned(nowMs).filter(({ forMs }) => forMs >= CONDEMNED_MS);
    const ids = new Set(current.map(({ suspect }) => suspect));
    for (const { suspect, condemnedAtMs, outweighsAnswers } of current) {
      if (!stored.has(suspect)) {
        const condemnedAtWallMs = clock.nowMs() - (nowMs - condemnedAtMs);
        const row = { suspect, condemnedAtWallMs, outweighsAnswers };
        if (await ports.table.put(row)) stored.add(suspect);
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
      suspects.findCondemned(() => [...parts, fingerprint()], clock.monotonicMs()),
    isSuspected: ({ fingerprint }) => suspects.isSuspected(fingerprint, clock.monotonicMs()),
    ownReports: (nowMs) => {
      crashes = crashes
        .filter(({ atMs }) => nowMs - atMs < REPORT_REPEAT_MS)
        .slice(-REPORTED_CRASHES_MAX);
      answers.forEach(({ reportedAtMs }, suspect) => {
        if (nowMs - reportedAtMs >= REPORT_REPEAT_MS) answers.delete(suspect);
      });
      return {
        crashes,
        answers: [...answers.values()].map(({ answer }) => answer),
        condemned: suspects.condemned(nowMs),
      };
    },
    onPeerReports,
    onStoreRestored: () => {
      isLoaded = false;
    },
    stop: () => cancelSteps(),
  };
}
