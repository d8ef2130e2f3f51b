import type { ServiceName } from '../ids';

/** An operator's order to move a service's traffic to another version. */
export interface VersionOrder {
  readonly service: ServiceName;
  readonly version: string;
  readonly withinMs: number;
  /**
   * Revision of the store at which the order was written. It tells two orders to the same version apart;
   * absent if a router of an earlier release relayed the order.
   */
  readonly revision?: number;
}

/** State of a move; `completed` and `rolled_back` are final. */
export type MoveState = 'running' | 'completed' | 'rolled_back';

export interface AnswerCounts {
  readonly answers: number;
  /** Failures, and answers several times slower than those of the former version. */
  readonly bad: number;
}

/** Answers of the new (`fresh`) and of the former version since the order. */
export interface MoveEvidence {
  readonly fresh: AnswerCounts;
  readonly former: AnswerCounts;
}

/** Servers of the new version. */
export interface VersionServers {
  /** Listed as ready, and none of them lost. */
  readonly presentCount: number;
  /** Most that were listed at one time since the order. */
  readonly expectedCount: number;
}

export interface MoveProgress {
  readonly evidence: MoveEvidence;
  readonly elapsedMs: number;
  readonly servers: VersionServers;
  /** Whether what the other routers have counted, and which servers are listed, is known up to now. */
  readonly isInformed: boolean;
  /** Whether requests still run on servers of the former version. */
  readonly isFormerBusy: boolean;
}

export type MoveStep =
  | { readonly kind: 'serve'; readonly shareRatio: number }
  /** The share stays as it is: what the others know may speak against the new version. */
  | { readonly kind: 'hold' }
  /** The new version is worse, or was not proven in time, and gets no more traffic. */
  | { readonly kind: 'roll_back' }
  /** The new version has all traffic, and the move ends. */
  | { readonly kind: 'complete' };

/** The small first share keeps a bad version's part of the service's requests at a tenth or less. */
const FIRST_SHARE_RATIO = 0.08;
const SECOND_SHARE_RATIO = 0.3;
/**
 * With little traffic the first share is larger, so that the new version gets about this number of
 * requests within the order's time.
 */
const FIRST_SHARE_REQUESTS = 20;
const FIRST_STAGE_TIME_RATIO = 0.2;
/** With fewer good answers than this the first stage lasts longer, up to the time ratio below. */
const FIRST_STAGE_MIN_ANSWERS = 10;
const FIRST_STAGE_MAX_TIME_RATIO = 0.35;
const SECOND_STAGE_TIME_RATIO = 0.45;
/** With fewer good answers than this the second stage lasts longer, up to the time ratio below. */
const SECOND_STAGE_MIN_ANSWERS = 8;
const SECOND_STAGE_MAX_TIME_RATIO = 0.7;
/**
 * At the end of the second stage this many bad answers suffice if they are the majority, and bad ones
 * are not the majority of the former version's.
 */
const MAJORITY_BAD_MIN = 2;
/**
 * From this part of the time on the move completes even if the former version still runs requests.
 */
const FORCED_COMPLETION_TIME_RATIO = 0.9;
/** Part of the new version's servers that must be present when the former ones are stopped. */
const PRESENT_MIN_RATIO = 0.5;
/** Servers that are lost near the end of the order's time may be back soon after it. */
const MISSING_SERVERS_TIME_RATIO = 1.25;
/** Fewer bad answers than this may be chance. */
const BAD_ANSWERS_MIN = 5;
/** Part of its answers that may be bad for any version. */
const EXPECTED_BAD_RATIO_MIN = 0.03;
/** Bad answers above this multiple of the expected number, plus the deviations, count as worse. */
const EXPECTED_BAD_FACTOR = 2;
const BAD_STANDARD_DEVIATIONS = 3;
/** With these the new version may be worse: it gets no more traffic until there are more answers. */
const DOUBTFUL_STANDARD_DEVIATIONS = 1;

/** Whether what was said or stored of a move to the same version may be about this order. */
export function isAboutOrder(order: VersionOrder, orderRevision: number | undefined): boolean {
  return (
    order.revision === undefined || orderRevision === undefined || order.revision === orderRevision
  );
}

/** Whether a state that was stored at a revision may be about this order, not about an earlier one. */
export function isStoredSince(order: VersionOrder, storedAtRevision: number): boolean {
  return order.revision === undefined || storedAtRevision >= order.revision;
}

/** Whether the new version gave significantly more bad answers than expected of the former one. */
export function isNewVersionWorse(evidence: MoveEvidence): boolean {
  return hasMoreBad(evidence, BAD_STANDARD_DEVIATIONS);
}

function hasMoreBad({ fresh, former }: MoveEvidence, deviations: number): boolean {
  if (fresh.bad < BAD_ANSWERS_MIN) return false;
  const formerRatio = former.answers === 0 ? 0 : former.bad / former.answers;
  const expected = fresh.answers * Math.max(EXPECTED_BAD_RATIO_MIN, formerRatio);
  return fresh.bad > EXPECTED_BAD_FACTOR * expected + deviations * Math.sqrt(expected);
}

/** Decides the next step of a move from the answers that all routers have counted. */
export function nextMoveStep(order: VersionOrder, progress: MoveProgress): MoveStep {
  if (isNewVersionWorse(progress.evidence)) return { kind: 'roll_back' };
  if (!progress.isInformed) return { kind: 'hold' };
  const timeRatio = progress.elapsedMs / order.withinMs;
  const { fresh, former } = progress.evidence;
  const { answers, bad } = fresh;
  const good = answers - bad;
  if (isStage(timeRatio, good, FIRST_STAGE)) {
    return { kind: 'serve', shareRatio: firstShareRatio(order, progress) };
  }
  const isDoubtful = hasMoreBad(progress.evidence, DOUBTFUL_STANDARD_DEVIATIONS);
  if (isStage(timeRatio, isDoubtful ? 0 : good, SECOND_STAGE)) {
    return { kind: 'serve', shareRatio: SECOND_SHARE_RATIO };
  }
  const isFormerMostlyBad = former.bad * 2 > former.answers;
  const isMostlyBad = bad >= MAJORITY_BAD_MIN && bad > good && !isFormerMostlyBad;
  if (isDoubtful || isMostlyBad) return { kind: 'roll_back' };
  if (!hasServers(progress.servers)) {
    return timeRatio >= MISSING_SERVERS_TIME_RATIO
      ? { kind: 'roll_back' }
      : { kind: 'serve', shareRatio: SECOND_SHARE_RATIO };
  }
  if (!isProven(progress.evidence)) {
    return timeRatio >= 1
      ? { kind: 'roll_back' }
      : { kind: 'serve', shareRatio: trialShareRatio(order, progress) };
  }
  const canComplete = !progress.isFormerBusy || timeRatio >= FORCED_COMPLETION_TIME_RATIO;
  return canComplete ? { kind: 'complete' } : { kind: 'serve', shareRatio: 1 };
}

/**
 * Whether enough good answers speak for the new version. That none were bad says nothing: it may have had no
 * server that could answer.
 */
function isProven({ fresh, former }: MoveEvidence): boolean {
  // A quiet service has few answers: as many must be good as the first share brings.
  const expected = Math.ceil(FIRST_SHARE_RATIO * (fresh.answers + former.answers));
  return fresh.answers - fresh.bad >= Math.min(SECOND_STAGE_MIN_ANSWERS, Math.max(1, expected));
}

/** Whether the new version has the servers to go on alone; the former ones cannot be started again. */
export function hasServers({ presentCount, expectedCount }: VersionServers): boolean {
  return presentCount > 0 && presentCount >= PRESENT_MIN_RATIO * expectedCount;
}

/** Share of a new version that has not been proven when the second stage ends: larger with little traffic. */
function trialShareRatio(order: VersionOrder, { evidence, elapsedMs }: MoveProgress): number {
  const leftMs = Math.max(0, order.withinMs - elapsedMs);
  const ratio = FIRST_SHARE_REQUESTS / expectedRequests(evidence, elapsedMs, leftMs);
  return Math.min(1, Math.max(SECOND_SHARE_RATIO, ratio));
}

/** Requests of both versions within a period, at least one, at the rate of answers since the order. */
function expectedRequests(
  { fresh, former }: MoveEvidence,
  elapsedMs: number,
  periodMs: number,
): number {
  const answers = fresh.answers + former.answers;
  return Math.max(1, (answers * periodMs) / Math.max(1, elapsedMs));
}

interface Stage {
  readonly timeRatio: number;
  readonly minAnswers: number;
  readonly maxTimeRatio: number;
}

const FIRST_STAGE: Stage = {
  timeRatio: FIRST_STAGE_TIME_RATIO,
  minAnswers: FIRST_STAGE_MIN_ANSWERS,
  maxTimeRatio: FIRST_STAGE_MAX_TIME_RATIO,
};
const SECOND_STAGE: Stage = {
  timeRatio: SECOND_STAGE_TIME_RATIO,
  minAnswers: SECOND_STAGE_MIN_ANSWERS,
  maxTimeRatio: SECOND_STAGE_MAX_TIME_RATIO,
};

/** Whether a stage still lasts: until its time, and longer while good answers are too few. */
function isStage(timeRatio: number, good: number, stage: Stage): boolean {
  if (timeRatio < stage.timeRatio) return true;
  return timeRatio < stage.maxTimeRatio && good < stage.minAnswers;
}

function firstShareRatio(order: VersionOrder, { evidence, elapsedMs }: MoveProgress): number {
  if (evidence.fresh.answers + evidence.former.answers === 0) return FIRST_SHARE_RATIO;
  const ratio = FIRST_SHARE_REQUESTS / expectedRequests(evidence, elapsedMs, order.withinMs);
  return Math.min(SECOND_SHARE_RATIO, Math.max(FIRST_SHARE_RATIO, ratio));
}

export function addEvidence(a: MoveEvidence, b: MoveEvidence): MoveEvidence {
  return { fresh: addCounts(a.fresh, b.fresh), former: addCounts(a.former, b.former) };
}

function addCounts(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return { answers: a.answers + b.answers, bad: a.bad + b.bad };
}
