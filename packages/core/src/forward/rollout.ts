import type { ServiceName } from '../ids';

/** An operator's order to move a service's traffic to another version. */
export interface VersionOrder {
  readonly service: ServiceName;
  readonly version: string;
  readonly withinMs: number;
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

export interface MoveProgress {
  readonly evidence: MoveEvidence;
  readonly elapsedMs: number;
  /** Whether requests still run on servers of the former version. */
  readonly isFormerBusy: boolean;
}

export type MoveStep =
  | { readonly kind: 'serve'; readonly shareRatio: number }
  /** The new version is worse and gets no more traffic. */
  | { readonly kind: 'roll_back' }
  /** The new version has all traffic, and the move ends. */
  | { readonly kind: 'complete' };

/**
 * Traffic share of the new version until each part of the order's time has passed; after the last
 * stage it gets all traffic. The small first share keeps a bad version's part of the service's
 * requests at a tenth or less.
 */
const STAGES: readonly { readonly untilRatio: number; readonly shareRatio: number }[] = [
  { untilRatio: 0.2, shareRatio: 0.08 },
  { untilRatio: 0.45, shareRatio: 0.3 },
];
/** With fewer answers than this the first stage lasts longer, up to the time ratio below. */
const FIRST_STAGE_MIN_ANSWERS = 10;
const FIRST_STAGE_MAX_TIME_RATIO = 0.35;
/**
 * From this part of the time on the move completes even if the former version still runs requests.
 */
const FORCED_COMPLETION_TIME_RATIO = 0.9;
/** Fewer bad answers than this may be chance. */
const BAD_ANSWERS_MIN = 5;
/** Part of its answers that may be bad for any version. */
const EXPECTED_BAD_RATIO_MIN = 0.03;
/** Bad answers above this multiple of the expected number, plus the deviations, count as worse. */
const EXPECTED_BAD_FACTOR = 2;
const BAD_STANDARD_DEVIATIONS = 3;

/** Whether the new version gave significantly more bad answers than expected of the former one. */
export function isNewVersionWorse({ fresh, former }: MoveEvidence): boolean {
  if (fresh.bad < BAD_ANSWERS_MIN) return false;
  const formerRatio = former.answers === 0 ? 0 : former.bad / former.answers;
  const expected = fresh.answers * Math.max(EXPECTED_BAD_RATIO_MIN, formerRatio);
  return fresh.bad > EXPECTED_BAD_FACTOR * expected + BAD_STANDARD_DEVIATIONS * Math.sqrt(expected);
}

/** Decides the next step of a move from the answers that all routers have counted. */
export function nextMoveStep(order: VersionOrder, progress: MoveProgress): MoveStep {
  if (isNewVersionWorse(progress.evidence)) return { kind: 'roll_back' };
  const timeRatio = progress.elapsedMs / order.withinMs;
  const isFirstStage =
    timeRatio < FIRST_STAGE_MAX_TIME_RATIO &&
    progress.evidence.fresh.answers < FIRST_STAGE_MIN_ANSWERS;
  const stage = isFirstStage ? STAGES[0] : STAGES.find(({ untilRatio }) => timeRatio < untilRatio);
  if (stage !== undefined) return { kind: 'serve', shareRatio: stage.shareRatio };
  const canComplete = !progress.isFormerBusy || timeRatio >= FORCED_COMPLETION_TIME_RATIO;
  return canComplete ? { kind: 'complete' } : { kind: 'serve', shareRatio: 1 };
}

export function addEvidence(a: MoveEvidence, b: MoveEvidence): MoveEvidence {
  return { fresh: addCounts(a.fresh, b.fresh), former: addCounts(a.former, b.former) };
}

function addCounts(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return { answers: a.answers + b.answers, bad: a.bad + b.bad };
}
