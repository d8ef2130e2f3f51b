import { epochAt, EVIDENCE_SIGNALS } from './evidence';
import type {
  EvidenceBucket,
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
  readonly comparedVersion: 'new' | 'old';
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
export interface AttemptPairing {
  readonly onAttempt: (scope: AttemptScope, nowMs: number) => AttemptObserver;
  /** Attempts lost with their engine show nothing about the version by themselves. */
  readonly onEngineDown: (engineId: string, nowMs: number) => void;
  /** Decides the pairs that waited, and returns the cells of the epochs that may still change. */
  readonly evidenceBuckets: (nowMs: number) => EvidenceBucket[];
}

/** Attempts are compared only if they start within this time of each other. */
const PAIR_WINDOW_MS = 10_000;

/** Time in which an engine's death becomes known after its attempts were lost. */
const ENGINE_LOSS_NOTICE_MS = 3_000;

/** Slowness that is not a fault: a tenth, and the jitter of a loopback or rack hop. */
const SLOWNESS_FACTOR = 1.1;
const FIRST_TOKEN_SLACK_MS = 5;
const GAP_SLACK_MS = 0.5;

/** Every other pair compares the pace of the first gaps, the others the pace of a long part. */
const SHORT_PACE_GAPS = 32;
const LONG_PACE_GAPS = 256;
const MIN_PACE_GAPS = 8;

const MAX_PAST_EPOCHS = 2;

interface Attempt {
  readonly scope: AttemptScope;
  readonly startMs: number;
  pair: Pair | undefined;
  firstTokenMs: number | undefined;
  gapCount: number;
  gapSumMs: number;
  paceMs: number | undefined;
  state: 'running' | AttemptOutcome;
  durationMs: number;
}

interface Pair {
  readonly newAttempt: Attempt;
  readonly oldAttempt: Attempt;
  readonly paceGaps: number;
  isFailureDecided: boolean;
  isFirstTokenDecided: boolean;
  isPaceDecided: boolean;
}

interface PartnerSlot {
  unpaired: Attempt | undefined;
  pairCount: number;
}

interface MutableBucket {
  readonly routeHash: number;
  readonly level: LoadLevel;
  readonly epoch: number;
  readonly counts: Record<EvidenceSignal, { againstNew: number; againstOld: number }>;
  newAttempts: number;
  oldAttempts: number;
}

export function createAttemptPairing(settings: EvidenceSettings): AttemptPairing {
  const partnerSlotsByKey = new Map<string, PartnerSlot>();
  const bucketsByKey = new Map<string, MutableBucket>();
  /** Pairs with a failure that cannot be attributed yet. */
  let undecided = new Set<Pair>();

  function bucketFor(scope: AttemptScope, nowMs: number): MutableBucket {
    const epoch = epochAt(settings, nowMs);
    const key = `${epoch}/${keyOf(scope)}`;
    const known = bucketsByKey.get(key);
    if (known !== undefined) return known;
    const { routeHash, level } = scope;
    const created = { routeHash, level, epoch, counts: noCounts(), newStarts: 0, oldStarts: 0 };
    bucketsByKey.set(key, created);
    return created;
  }

  function count(pair: Pair, signal: EvidenceSignal, isAgainstNew: boolean, nowMs: number): void {
    const counts = bucketFor(pair.newAttempt.scope, nowMs).counts[signal];
    if (isAgainstNew) counts.againstNew += 1;
    else counts.againstOld += 1;
  }

  function partnerSlotFor(scope: AttemptScope): PartnerSlot {
    const key = keyOf(scope);
    const known = partnerSlotsByKey.get(key);
    if (known !== undefined) return known;
    const created: PartnerSlot = { unpaired: undefined, pairCount: 0 };
    partnerSlotsByKey.set(key, created);
    return created;
  }

  /**
   * Pairs an attempt with the one before it if their versions differ. The version of a request
   * follows from a hash, so which of the two started first is a coin toss: a day that gets better
   * or worse while they run favours neither version.
   */
  function pairOrWait(member: Attempt, nowMs: number): void {
    const waiting = partnerSlotFor(member.scope);
    const other = waiting.unpaired;
    const isPartner =
      other !== undefined &&
      other.scope.comparedVersion !== member.scope.comparedVersion &&
      nowMs - other.startMs <= PAIR_WINDOW_MS;
    if (!isPartner) {
      waiting.unpaired = member;
      return;
    }
    waiting.unpaired = undefined;
    const isNew = member.scope.comparedVersion === 'new';
    createPair(isNew ? member : other, isNew ? other : member, waiting, nowMs);
  }

  function createPair(
    newAttempt: Attempt,
    oldAttempt: Attempt,
    waiting: PartnerSlot,
    nowMs: number,
  ): void {
    waiting.pairCount += 1;
    const paceGaps = waiting.pairCount % 2 === 0 ? LONG_PACE_GAPS : SHORT_PACE_GAPS;
    const pair = {
      newer: newAttempt,
      older: oldAttempt,
      paceGaps,
      isFailureDecided: false,
      isFirstTokenDecided: false,
      isPaceDecided: false,
    };
    newAttempt.pair = pair;
    oldAttempt.pair = pair;
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
    const other = first === pair.newAttempt ? pair.oldAttempt : pair.newAttempt;
    const isHeld = [pair.newAttempt, pair.oldAttempt].some((member) =>
      isAwaitingCause(member, nowMs),
    );
    const isRunning = other.state === 'running';
    const isOtherYounger = isRunning && nowMs - other.startMs < first.durationMs;
    if (isHeld || isOtherYounger) {
      undecided.add(pair);
      return;
    }
    pair.isFailureDecided = true;
    // The other attempt was given up earlier, so it is unknown whether it would have failed.
    if (other.state === 'void' && other.durationMs < first.durationMs) return;
    count(pair, 'failure', first === pair.newAttempt, nowMs);
  }

  function decideFirstToken(pair: Pair, nowMs: number): void {
    if (pair.isFirstTokenDecided) return;
    const newMs = pair.newAttempt.firstTokenMs;
    const oldMs = pair.oldAttempt.firstTokenMs;
    if (newMs === undefined || oldMs === undefined) return;
    pair.isFirstTokenDecided = true;
    const isSlower = newMs > oldMs * SLOWNESS_FACTOR + FIRST_TOKEN_SLACK_MS;
    count(pair, 'first_token', isSlower, nowMs);
  }

  function decidePace(pair: Pair, nowMs: number): void {
    if (pair.isPaceDecided) return;
    const newMs = measurePace(pair.newAttempt, pair);
    const oldMs = measurePace(pair.oldAttempt, pair);
    if (newMs === undefined || oldMs === undefined) return;
    pair.isPaceDecided = true;
    count(pair, 'pace', newMs > oldMs * SLOWNESS_FACTOR + GAP_SLACK_MS, nowMs);
  }

  function createObserver(member: Attempt): AttemptObserver {
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
        member.durationMs = nowMs - member.startMs;
        if (member.pair !== undefined) decide(member.pair, nowMs);
      },
    };
  }

  function forgetOldBuckets(nowMs: number): void {
    const oldest = epochAt(settings, nowMs) - MAX_PAST_EPOCHS;
    bucketsByKey.forEach((cell, key) => {
      if (cell.epoch < oldest) bucketsByKey.delete(key);
    });
  }

  return {
    onAttempt: (scope, nowMs) => {
      const member: Attempt = {
        scope,
        startMs: nowMs,
        pair: undefined,
        firstTokenMs: undefined,
        gapCount: 0,
        gapSumMs: 0,
        paceMs: undefined,
        state: 'running',
        durationMs: 0,
      };
      const cell = bucketFor(scope, nowMs);
      if (scope.comparedVersion === 'new') cell.newAttempts += 1;
      else cell.oldAttempts += 1;
      pairOrWait(member, nowMs);
      return createObserver(member);
    },
    onEngineDown: (engineId, nowMs) => {
      undecided.forEach((pair) => {
        [pair.newAttempt, pair.oldAttempt].forEach((member) => {
          const isHit = member.scope.engineId === engineId && isAwaitingCause(member, nowMs);
          if (isHit) member.state = 'void';
        });
      });
    },
    evidenceBuckets: (nowMs) => {
      const waiting = undecided;
      undecided = new Set();
      waiting.forEach((pair) => decideFailure(pair, nowMs));
      forgetOldBuckets(nowMs);
      return [...bucketsByKey.values()].map(copyBucket);
    },
  };
}

function keyOf(scope: AttemptScope): string {
  return `${scope.routeHash}/${scope.level}`;
}

function hasFailed(member: Attempt): boolean {
  return member.state === 'failed' || member.state === 'lost';
}

/** The member that failed at the younger age. */
function firstFailure(pair: Pair): Attempt | undefined {
  const { newAttempt, oldAttempt } = pair;
  if (!hasFailed(newAttempt)) return hasFailed(oldAttempt) ? oldAttempt : undefined;
  if (!hasFailed(oldAttempt)) return newAttempt;
  return newAttempt.durationMs <= oldAttempt.durationMs ? newAttempt : oldAttempt;
}

function isAwaitingCause(member: Attempt, nowMs: number): boolean {
  return (
    member.state === 'lost' && nowMs - member.startMs - member.durationMs < ENGINE_LOSS_NOTICE_MS
  );
}

/** Mean gap at the pair's length or at a regular end; kept, so that both are measured once. */
function measurePace(member: Attempt, pair: Pair): number | undefined {
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

function copyBucket(cell: MutableBucket): EvidenceBucket {
  const counts = noCounts();
  EVIDENCE_SIGNALS.forEach((signal) => Object.assign(counts[signal], cell.counts[signal]));
  return { ...cell, counts: counts satisfies Record<EvidenceSignal, PairCounts> };
}
