import { epochAt, EVIDENCE_SIGNALS } from './evidence';
import type {
  EvidenceBucket,
  EvidenceSettings,
  EvidenceSignal,
  LoadLevel,
  PairCounts,
} from './evidence';

/**
 * How an attempt ended. 'failed': the engine reported an error or gave a wrong answer. 'lost': the
 * connection broke, or the attempt was replaced because it was silent or slow. 'void' (shows
 * nothing about the version): the caller left, the engine was full or shutting down, or another
 * attempt of the request finished first.
 */
export type AttemptOutcome = 'ok' | 'failed' | 'lost' | 'void';

export interface AttemptScope {
  readonly comparedVersion: 'new' | 'old';
  readonly routeHash: number;
  readonly level: LoadLevel;
  readonly engineId: string;
}

/** Receives the progress of one attempt; calls after the outcome are ignored. */
export interface AttemptObserver {
  readonly onFirstToken: (nowMs: number) => void;
  readonly onGap: (gapMs: number) => void;
  readonly onOutcome: (outcome: AttemptOutcome, nowMs: number) => void;
}

/** Pairs attempts on the new version with attempts on the old one, and counts which did worse. */
export interface AttemptPairing {
  readonly onAttempt: (scope: AttemptScope, nowMs: number) => AttemptObserver;
  /** Voids the attempts that were lost with the engine, as they don't tell the versions apart. */
  readonly onEngineDown: (engineId: string, nowMs: number) => void;
  /** Decides the pairs that were held back, and returns the buckets that may still change. */
  readonly evidenceBuckets: (nowMs: number) => EvidenceBucket[];
}

/** Attempts are paired only if they start within this time of each other. */
const PAIR_WINDOW_MS = 10_000;

/** An engine's death becomes known within this time after its attempts were lost. */
const ENGINE_LOSS_NOTICE_MS = 3_000;

/** Tolerated slowness: a tenth, plus the jitter of a loopback connection or a hop in the rack. */
const SLOWNESS_FACTOR = 1.1;
const FIRST_TOKEN_SLACK_MS = 5;
const GAP_SLACK_MS = 0.5;

/** Pairs alternate between comparing the mean token gap of a short and of a long part. */
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
  /** Pairs with a failure whose cause is not known yet. */
  let undecided = new Set<Pair>();

  function bucketFor(scope: AttemptScope, nowMs: number): MutableBucket {
    const epoch = epochAt(settings, nowMs);
    const key = `${epoch}/${keyOf(scope)}`;
    const known = bucketsByKey.get(key);
    if (known !== undefined) return known;
    const { routeHash, level } = scope;
    const created = { routeHash, level, epoch, counts: noCounts(), newAttempts: 0, oldAttempts: 0 };
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
   * Pairs an attempt with the one before it if their versions differ. A hash of the request id
   * chooses the version, so each is equally likely to start first, and conditions that change over
   * time favour neither version.
   */
  function pairOrWait(attempt: Attempt, nowMs: number): void {
    const slot = partnerSlotFor(attempt.scope);
    const other = slot.unpaired;
    const isPartner =
      other !== undefined &&
      other.scope.comparedVersion !== attempt.scope.comparedVersion &&
      nowMs - other.startMs <= PAIR_WINDOW_MS;
    if (!isPartner) {
      slot.unpaired = attempt;
      return;
    }
    slot.unpaired = undefined;
    const isNew = attempt.scope.comparedVersion === 'new';
    createPair(isNew ? attempt : other, isNew ? other : attempt, slot, nowMs);
  }

  function createPair(
    newAttempt: Attempt,
    oldAttempt: Attempt,
    slot: PartnerSlot,
    nowMs: number,
  ): void {
    slot.pairCount += 1;
    const paceGaps = slot.pairCount % 2 === 0 ? LONG_PACE_GAPS : SHORT_PACE_GAPS;
    const pair = {
      newAttempt,
      oldAttempt,
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
    const isCauseUnknown = [pair.newAttempt, pair.oldAttempt].some((attempt) =>
      isAwaitingCause(attempt, nowMs),
    );
    const isRunning = other.state === 'running';
    const canOtherFailEarlier = isRunning && nowMs - other.startMs < first.durationMs;
    if (isCauseUnknown || canOtherFailEarlier) {
      undecided.add(pair);
      return;
    }
    pair.isFailureDecided = true;
    // The other attempt ended earlier without a result, so it might have failed as well.
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

  function createObserver(attempt: Attempt): AttemptObserver {
    let lastMs = attempt.startMs;
    return {
      onFirstToken: (nowMs) => {
        if (attempt.state !== 'running' || attempt.firstTokenMs !== undefined) return;
        lastMs = nowMs;
        attempt.firstTokenMs = nowMs - attempt.startMs;
        if (attempt.pair !== undefined) decideFirstToken(attempt.pair, nowMs);
      },
      onGap: (gapMs) => {
        if (attempt.state !== 'running') return;
        lastMs += gapMs;
        attempt.gapCount += 1;
        attempt.gapSumMs += gapMs;
        if (attempt.pair !== undefined && attempt.gapCount === attempt.pair.paceGaps) {
          decidePace(attempt.pair, lastMs);
        }
      },
      onOutcome: (outcome, nowMs) => {
        if (attempt.state !== 'running') return;
        attempt.state = outcome;
        attempt.durationMs = nowMs - attempt.startMs;
        if (attempt.pair !== undefined) decide(attempt.pair, nowMs);
      },
    };
  }

  function forgetOldBuckets(nowMs: number): void {
    const oldest = epochAt(settings, nowMs) - MAX_PAST_EPOCHS;
    bucketsByKey.forEach((bucket, key) => {
      if (bucket.epoch < oldest) bucketsByKey.delete(key);
    });
  }

  return {
    onAttempt: (scope, nowMs) => {
      const attempt: Attempt = {
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
      const bucket = bucketFor(scope, nowMs);
      if (scope.comparedVersion === 'new') bucket.newAttempts += 1;
      else bucket.oldAttempts += 1;
      pairOrWait(attempt, nowMs);
      return createObserver(attempt);
    },
    onEngineDown: (engineId, nowMs) => {
      undecided.forEach((pair) => {
        [pair.newAttempt, pair.oldAttempt].forEach((attempt) => {
          const wasLostWithEngine =
            attempt.scope.engineId === engineId && isAwaitingCause(attempt, nowMs);
          if (wasLostWithEngine) attempt.state = 'void';
        });
      });
    },
    evidenceBuckets: (nowMs) => {
      const heldBack = undecided;
      undecided = new Set();
      heldBack.forEach((pair) => decideFailure(pair, nowMs));
      forgetOldBuckets(nowMs);
      return [...bucketsByKey.values()].map(copyBucket);
    },
  };
}

function keyOf(scope: AttemptScope): string {
  return `${scope.routeHash}/${scope.level}`;
}

function hasFailed(attempt: Attempt): boolean {
  return attempt.state === 'failed' || attempt.state === 'lost';
}

/** The attempt that failed after the shorter time, if any failed. */
function firstFailure(pair: Pair): Attempt | undefined {
  const { newAttempt, oldAttempt } = pair;
  if (!hasFailed(newAttempt)) return hasFailed(oldAttempt) ? oldAttempt : undefined;
  if (!hasFailed(oldAttempt)) return newAttempt;
  return newAttempt.durationMs <= oldAttempt.durationMs ? newAttempt : oldAttempt;
}

function isAwaitingCause(attempt: Attempt, nowMs: number): boolean {
  return (
    attempt.state === 'lost' && nowMs - attempt.startMs - attempt.durationMs < ENGINE_LOSS_NOTICE_MS
  );
}

/** Mean token gap, measured once: after `paceGaps` gaps, or at a regular end that comes earlier. */
function measurePace(attempt: Attempt, pair: Pair): number | undefined {
  if (attempt.paceMs !== undefined) return attempt.paceMs;
  const isLongEnough = attempt.gapCount >= pair.paceGaps;
  const isEnded = attempt.state === 'ok' && attempt.gapCount >= MIN_PACE_GAPS;
  if (isLongEnough || isEnded) attempt.paceMs = attempt.gapSumMs / attempt.gapCount;
  return attempt.paceMs;
}

function noCounts(): Record<EvidenceSignal, { againstNew: number; againstOld: number }> {
  const zero = (): { againstNew: number; againstOld: number } => ({ againstNew: 0, againstOld: 0 });
  return { failure: zero(), first_token: zero(), pace: zero() };
}

function copyBucket(bucket: MutableBucket): EvidenceBucket {
  const counts = noCounts();
  EVIDENCE_SIGNALS.forEach((signal) => Object.assign(counts[signal], bucket.counts[signal]));
  return { ...bucket, counts: counts satisfies Record<EvidenceSignal, PairCounts> };
}
