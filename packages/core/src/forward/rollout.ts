import type { ServiceName } from '../ids';

/** An order to move a service's traffic to another version. */
export interface VersionOrder {
  readonly service: ServiceName;
  readonly version: string;
  readonly withinMs: number;
}

/** How a move stands; the last two are final. */
export type MoveState = 'running' | 'completed' | 'rolled_back';

export interface AnswerCounts {
  readonly answers: number;
  /** Failures, and answers several times slower than the old version's. */
  readonly bad: number;
}

/** Answers of both versions since the order. */
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
  /** The new version is worse: it gets nothing from now on. */
  | { readonly kind: 'roll_back' }
  /** All traffic is on the new version, and nothing is left on the former one. */
  | { readonly kind: 'complete' };

/**
 * Parts of the order's time at which the share of the new version rises, and the shares. A version
 * that turns out bad has then got at most a tenth of its service's requests.
 */
const STAGES: readonly { readonly untilRatio: number; readonly shareRatio: number }[] = [
  { untilRatio: 0.2, shareRatio: 0.08 },
  { untilRatio: 0.45, shareRatio: 0.3 },
];
/** The first share is kept for longer if it has brought fewer answers than this. */
const FIRST_STAGE_MIN_ANSWERS = 10;
const FIRST_STAGE_MAX_TIME_RATIO = 0.35;
/** From this part of the time on the move ends although the former version is still busy. */
const FORCED_COMPLETION_TIME_RATIO = 0.9;
/** Bad answers below this number may be chance. */
const BAD_ANSWERS_MIN = 5;
/** Bad answers that are expected of any version, as a part of its answers. */
const EXPECTED_BAD_RATIO_MIN = 0.03;
const EXPECTED_BAD_FACTOR = 2;
const BAD_STANDARD_DEVIATIONS = 3;

/** Whether the new version has given clearly more bad answers than the former one would have. */
export function isNewVersionWorse({ fresh, former }: MoveEvidence): boolean {
  if (fresh.bad < BAD_ANSWERS_MIN) return false;
  const formerRatio = former.answers === 0 ? 0 : former.bad / former.answers;
  const expected = fresh.answers * Math.max(EXPECTED_BAD_RATIO_MIN, formerRatio);
  return fresh.bad > EXPECTED_BAD_FACTOR * expected + BAD_STANDARD_DEVIATIONS * Math.sqrt(expected);
}

/** Decides the next step of a move from what all routers have seen. */
export function nextMoveStep(order: VersionOrder, view: MoveProgress): MoveStep {
  if (isNewVersionWorse(view.evidence)) return { kind: 'roll_back' };
  const timeRatio = view.elapsedMs / order.withinMs;
  const isFirst =
    timeRatio < FIRST_STAGE_MAX_TIME_RATIO && view.evidence.fresh.answers < FIRST_STAGE_MIN_ANSWERS;
  const stage = isFirst ? STAGES[0] : STAGES.find(({ untilRatio }) => timeRatio < untilRatio);
  if (stage !== undefined) return { kind: 'serve', shareRatio: stage.shareRatio };
  const isOver = !view.isFormerBusy || timeRatio >= FORCED_COMPLETION_TIME_RATIO;
  return isOver ? { kind: 'complete' } : { kind: 'serve', shareRatio: 1 };
}

export function addEvidence(a: MoveEvidence, b: MoveEvidence): MoveEvidence {
  return { fresh: addCounts(a.fresh, b.fresh), former: addCounts(a.former, b.former) };
}

function addCounts(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return { answers: a.answers + b.answers, bad: a.bad + b.bad };
}
