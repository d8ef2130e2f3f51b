import { epochAt, EVIDENCE_SIGNALS } from './evidence';
import type {
  EvidenceCell,
  EvidenceSettings,
  EvidenceSignal,
  LoadLevel,
  PairCounts,
} from './evidence';

/**
 * How an attempt ended. 'failed': the engine reported an error or a wrong answer. 'lost': the
 * connection broke, or the attempt was replaced because it was silent or slow. 'void': the caller
 * left, the engine was full or leaving, or another attempt won the race.
 */
export type AttemptOutcome = 'ok' | 'failed' | 'lost' | 'void';

/** What is known of an attempt when it starts. */
export interface AttemptScope {
  readonly side: 'new' | 'old';
  readonly routeHash: number;
  readonly level: LoadLevel;
  readonly engineId: string;
}

/** Reports of one attempt; every call after the outcome is ignored. */
export interface AttemptObserver {
  readonly onFirstToken: (nowMs: number) => void;
  readonly onGap: (gapMs: number) => void;
  readonly onOutcome: (outcome: AttemptOutcome, nowMs: number) => void;
}

/** Pairs attempts on the new version with attempts on the old one and counts what they show. */
export interface Pairing {
  readonly onAttempt: (scope: AttemptScope, nowMs: number) => AttemptObserver;
  /** Attempts lost with their engine show nothing about the version by themselves. */
  readonly onEngineDown: (engineId: string, nowMs: number) => void;
  /** Decides the pairs that waited, and returns the cells of the epochs that may still change. */
  readonly cells: (nowMs: number) => EvidenceCell[];
}

/** Attempts are compared only if they start within this time of each other. */
const PAIR_WINDOW_MS = 10_000;

/** Time in which an engine's death becomes known after its attempts were lost. */
const LOST_HOLD_MS = 3_000;

/** Slowness that is not a fault: a tenth, and the jitter of a loopback or rack hop. */
const SLOWNESS_FACTOR = 1.1;
const FIRST_TOKEN_SLACK_MS = 5;
const GAP_SLACK_MS = 0.5;

/** Every other pair compares the pace of the first gaps, the others the pace of a long part. */
const SHORT_PACE_GAPS = 32;
const LONG_PACE_GAPS = 256;
const MIN_PACE_GAPS = 8;

const KEPT_EPOCHS = 2;

interface Member {
  readonly scope: AttemptScope;
  readonly startMs: number;
  pair: Pair | undefined;
  firstTokenMs: number | undefined;
  gapCount: number;
  gapSumMs: number;
  paceMs: number | undefined;
  state: 'running' | AttemptOutcome;
  endAgeMs: number;
}

interface Pair {
  readonly newer: Member;
  readonly older: Member;
  readonly paceGaps: number;
  isFailureDecided: boolean;
  isFirstTokenDecided: boolean;
  isPaceDecided: boolean;
}

interface Waiting {
  member: Member | undefined;
  pairCount: number;
}

interface MutableCell {
  readonly routeHash: number;
  readonly level: LoadLevel;
  readonly epoch: number;
  readonly counts: Record<EvidenceSignal, { againstNew: number; againstOld: number }>;
  newStarts: number;
  oldStarts: number;
}

export function createPairing(settings: EvidenceSettings): Pairing {
  const waitingByKey = new Map<string, Waiting>();
  const cellsByKey = new Map<string, MutableCell>();
  /** Pairs with a failure that cannot be attributed yet. */
  let undecided = new Set<Pair>();

  function cellOf(scope: AttemptScope, nowMs: number): MutableCell {
    const epoch = epochAt(settings, nowMs);
    const key = `${epoch}/${keyOf(scope)}`;
    const known = cellsByKey.get(key);
    if (known !== undefined) return known;
    const { routeHash, level } = scope;
    const created = { routeHash, level, epoch, counts: noCounts(), newStarts: 0, oldStarts: 0 };
    cellsByKey.set(key, created);
    return created;
  }

  function count(pair: Pair, signal: EvidenceSignal, isAgainstNew: boolean, nowMs: number): void {
    const counts = cellOf(pair.newer.scope, nowMs).counts[signal];
    if (isAgainstNew) counts.againstNew += 1;
    else counts.againstOld += 1;
  }

  function waitingFor(scope: AttemptScope): Waiting {
    const key = keyOf(scope);
    const known = waitingByKey.get(key);
    if (known !== undefined) return known;
    const created: Waiting = { member: undefined, pairCount: 0 };
    waitingByKey.set(key, created);
    return created;
  }

  /**
   * Pairs an attempt with the one before it if their versions differ. The version of a request
   * follows from a hash, so which of the two started first is a coin toss: a day that gets better
   * or worse while they run favours neither version.
   */
  function join(member: Member, nowMs: number): void {
    const waiting = waitingFor(member.scope);
    const other = waiting.member;
    const isPartner =
      other !== undefined &&
      other.scope.side !== member.scope.side &&
      nowMs - other.startMs <= PAIR_WINDOW_MS;
    if (!isPartner) {
      waiting.member = member;
      return;
    }
    waiting.member = undefined;
    const isNew = member.scope.side === 'new';
    createPair(isNew ? member : other, isNew ? other : member, waiting, nowMs);
  }

  function createPair(newer: Member, older: Member, waiting: Waiting, nowMs: number): void {
    waiting.pairCount += 1;
    const paceGaps = waiting.pairCount % 2 === 0 ? LONG_PACE_GAPS : SHORT_PACE_GAPS;
    const pair = {
      newer,
      older,
      paceGaps,
      isFailureDecided: false,
      isFirstTokenDecided: false,
      isPaceDecided: false,
    };
    newer.pair = pair;
    older.pair = pair;
    decide(pair, nowMs);
  }

  function decide(pair: Pair, nowMs: number): void {
    decideFailure(pair, nowMs);
    decideFirstToken(pair, nowMs);
    decidePace(pair, nowMs);
  }

  function decideFailure(pair: Pair, nowMs: number): void {
    if (pair.isFailureDecided) return;
    const first = firstFailure(pair);
    if (first === undefined) return;
    const other = first === pair.newer ? pair.older : pair.newer;
    const isHeld = [pair.newer, pair.older].some((member) => isAwaitingCause(member, nowMs));
    const isRunning = other.state === 'running';
    const isOtherYounger = isRunning && nowMs - other.startMs < first.endAgeMs;
    if (isHeld || isOtherYounger) {
      undecided.add(pair);
      return;
    }
    pair.isFailureDecided = true;
    // The other attempt was given up earlier, so it is unknown whether it would have failed.
    if (other.state === 'void' && other.endAgeMs < first.endAgeMs) return;
    count(pair, 'failure', first === pair.newer, nowMs);
  }

  function decideFirstToken(pair: Pair, nowMs: number): void {
    if (pair.isFirstTokenDecided) return;
    const newMs = pair.newer.firstTokenMs;
    const oldMs = pair.older.firstTokenMs;
    if (newMs === undefined || oldMs === undefined) return;
    pair.isFirstTokenDecided = true;
    const isSlower = newMs > oldMs * SLOWNESS_FACTOR + FIRST_TOKEN_SLACK_MS;
    count(pair, 'first_token', isSlower, nowMs);
  }

  function decidePace(pair: Pair, nowMs: number): void {
    if (pair.isPaceDecided) return;
    const newMs = notePace(pair.newer, pair);
    const oldMs = notePace(pair.older, pair);
    if (newMs === undefined || oldMs === undefined) return;
    pair.isPaceDecided = true;
    count(pair, 'pace', newMs > oldMs * SLOWNESS_FACTOR + GAP_SLACK_MS, nowMs);
  }

  function createObserver(member: Member): AttemptObserver {
    let lastMs = member.startMs;
    return {
      onFirstToken: (nowMs) => {
        if (member.state !== 'running' || member.firstTokenMs !== undefined) return;
        lastMs = nowMs;
        member.firstTokenMs = nowMs - member.startMs;
        if (member.pair !== undefined) decideFirstToken(member.pair, nowMs);
      },
      onGap: (gapMs) => {
        if (member.state !== 'running') return;
        lastMs += gapMs;
        member.gapCount += 1;
        member.gapSumMs += gapMs;
        if (member.pair !== undefined && member.gapCount === member.pair.paceGaps) {
          decidePace(member.pair, lastMs);
        }
      },
      onOutcome: (outcome, nowMs) => {
        if (member.state !== 'running') return;
        member.state = outcome;
        member.endAgeMs = nowMs - member.startMs;
        if (member.pair !== undefined) decide(member.pair, nowMs);
      },
    };
  }

  function forgetOldCells(nowMs: number): void {
    const oldest = epochAt(settings, nowMs) - KEPT_EPOCHS;
    cellsByKey.forEach((cell, key) => {
      if (cell.epoch < oldest) cellsByKey.delete(key);
    });
  }

  return {
    onAttempt: (scope, nowMs) => {
      const member: Member = {
        scope,
        startMs: nowMs,
        pair: undefined,
        firstTokenMs: undefined,
        gapCount: 0,
        gapSumMs: 0,
        paceMs: undefined,
        state: 'running',
        endAgeMs: 0,
      };
      const cell = cellOf(scope, nowMs);
      if (scope.side === 'new') cell.newStarts += 1;
      else cell.oldStarts += 1;
      join(member, nowMs);
      return createObserver(member);
    },
    onEngineDown: (engineId, nowMs) => {
      undecided.forEach((pair) => {
        [pair.newer, pair.older].forEach((member) => {
          const isHit = member.scope.engineId === engineId && isAwaitingCause(member, nowMs);
          if (isHit) member.state = 'void';
        });
      });
    },
    cells: (nowMs) => {
      const waiting = undecided;
      undecided = new Set();
      waiting.forEach((pair) => decideFailure(pair, nowMs));
      forgetOldCells(nowMs);
      return [...cellsByKey.values()].map(copyCell);
    },
  };
}

function keyOf(scope: AttemptScope): string {
  return `${scope.routeHash}/${scope.level}`;
}

function hasFailed(member: Member): boolean {
  return member.state === 'failed' || member.state === 'lost';
}

/** The member that failed at the younger age. */
function firstFailure(pair: Pair): Member | undefined {
  const { newer, older } = pair;
  if (!hasFailed(newer)) return hasFailed(older) ? older : undefined;
  if (!hasFailed(older)) return newer;
  return newer.endAgeMs <= older.endAgeMs ? newer : older;
}

function isAwaitingCause(member: Member, nowMs: number): boolean {
  return member.state === 'lost' && nowMs - member.startMs - member.endAgeMs < LOST_HOLD_MS;
}

/** Mean gap at the pair's length or at a regular end; kept, so that both are measured once. */
function notePace(member: Member, pair: Pair): number | undefined {
  if (member.paceMs !== undefined) return member.paceMs;
  const isLongEnough = member.gapCount >= pair.paceGaps;
  const isEnded = member.state === 'ok' && member.gapCount >= MIN_PACE_GAPS;
  if (isLongEnough || isEnded) member.paceMs = member.gapSumMs / member.gapCount;
  return member.paceMs;
}

function noCounts(): Record<EvidenceSignal, { againstNew: number; againstOld: number }> {
  const zero = (): { againstNew: number; againstOld: number } => ({ againstNew: 0, againstOld: 0 });
  return { failure: zero(), first_token: zero(), pace: zero() };
}

function copyCell(cell: MutableCell): EvidenceCell {
  const counts = noCounts();
  EVIDENCE_SIGNALS.forEach((signal) => Object.assign(counts[signal], cell.counts[signal]));
  return { ...cell, counts: counts satisfies Record<EvidenceSignal, PairCounts> };
}
