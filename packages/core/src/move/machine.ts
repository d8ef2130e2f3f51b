import type { CandidateVersion } from '../config/model';
import type { MoveId, VersionName } from '../ids';
import type { MovePlan, PlannedStep, MovePlanOutcome } from './move-plan';
import type { MoveRecord } from './move-record';

/** What the holder of the moves lease knows of one move. */
export interface ObservedMove {
  readonly record: MoveRecord;
  /** Why the new version was withdrawn; undefined while it was not. */
  readonly withdrawnReason: string | undefined;
  readonly loadedCount: number;
  readonly stableVersion: VersionName;
  readonly candidate: CandidateVersion | undefined;
}

/** Effects are repeated until the view shows that they took place. */
export type MoveEffect =
  /** Recorded by one transaction on the running record; the first one wins. */
  | { readonly kind: 'end'; readonly state: 'done' | 'taken_back'; readonly reason: string }
  | { readonly kind: 'record_step'; readonly shareRatio: number }
  | { readonly kind: 'load_new'; readonly engineCount: number; readonly concurrency: number }
  | { readonly kind: 'set_candidate'; readonly candidate: CandidateVersion }
  | { readonly kind: 'clear_candidate'; readonly moveId: MoveId }
  | { readonly kind: 'set_stable'; readonly version: VersionName; readonly isReversal: boolean }
  /** Both versions stay loaded for a while after a move. */
  | { readonly kind: 'unload'; readonly version: VersionName };

/** How long the version that was left stays loaded. */
export const UNLOAD_DELAY_MS = 600_000;

/** What to do next for a move. Depends on the records alone, so any host can go on with it. */
export function nextMoveEffects(
  view: ObservedMove,
  planned: MovePlanOutcome,
  nowMs: number,
): readonly MoveEffect[] {
  const { record } = view;
  switch (record.state) {
    case 'running':
      return runMove(view, planned, nowMs);
    case 'done':
      return [...finishDone(view, nowMs), ...unloadAfter(record, record.fromVersion, view, nowMs)];
    case 'taken_back':
    case 'cancelled':
      return [...removeCandidate(view), ...unloadAfter(record, record.toVersion, view, nowMs)];
    default:
      return record.state satisfies never;
  }
}

function runMove(view: ObservedMove, planned: MovePlanOutcome, nowMs: number): MoveEffect[] {
  const { record } = view;
  if (view.withdrawnReason !== undefined) return [rollBack(view.withdrawnReason)];
  if (nowMs >= record.byMs) return [rollBack('the deadline passed before the move was done')];
  if (hasOtherMove(view)) return [rollBack('another move of the service is running')];
  if (view.stableVersion !== record.fromVersion) {
    return [rollBack(`the stable version is ${view.stableVersion}, not ${record.fromVersion}`)];
  }
  if (hasAllTraffic(view)) return [{ kind: 'end', state: 'done', reason: 'all steps passed' }];
  if (planned.kind === 'refused') {
    // A move that has begun goes on when the engines have room again, or ends at its deadline.
    return record.stepShareRatio === 0 ? [rollBack(planned.reason)] : [];
  }
  const configured = view.candidate?.shareRatio ?? 0;
  if (configured !== record.stepShareRatio) return [setCandidate(record)];
  return advanceStep(view, planned.plan, nowMs);
}

function advanceStep(view: ObservedMove, plan: MovePlan, nowMs: number): MoveEffect[] {
  const step = plan.steps.find((each) => each.shareRatio > view.record.stepShareRatio);
  if (step === undefined) return [];
  const loads = loadMissing(view, step, plan);
  const isDue = nowMs >= step.atMs;
  const isLoaded = view.loadedCount >= step.engineCount;
  if (!isDue || !isLoaded) return loads;
  return [{ kind: 'record_step', shareRatio: step.shareRatio }];
}

function loadMissing(view: ObservedMove, step: PlannedStep, plan: MovePlan): MoveEffect[] {
  if (view.loadedCount >= step.engineCount) return [];
  return [{ kind: 'load_new', engineCount: step.engineCount, concurrency: plan.loadConcurrency }];
}

function setCandidate(record: MoveRecord): MoveEffect {
  const candidate = {
    moveId: record.id,
    version: record.toVersion,
    shareRatio: record.stepShareRatio,
  };
  return { kind: 'set_candidate', candidate };
}

function rollBack(reason: string): MoveEffect {
  return { kind: 'end', state: 'taken_back', reason };
}

function hasOtherMove(view: ObservedMove): boolean {
  return view.candidate !== undefined && view.candidate.moveId !== view.record.id;
}

function hasAllTraffic(view: ObservedMove): boolean {
  return view.record.stepShareRatio === 1 && view.candidate?.shareRatio === 1;
}

/** A withdrawal that arrives after the end leaves the record and turns the traffic back. */
function finishDone(view: ObservedMove, nowMs: number): MoveEffect[] {
  const { record } = view;
  if (view.withdrawnReason !== undefined) {
    const isOurs = view.candidate === undefined || view.candidate.moveId === record.id;
    const isNew = view.stableVersion === record.toVersion;
    if (isNew && isOurs && isWithinUnloadDelay(record, nowMs)) {
      return [{ kind: 'set_stable', version: record.fromVersion, isReversal: true }];
    }
    return removeCandidate(view);
  }
  if (view.candidate?.moveId !== record.id) return [];
  return [{ kind: 'set_stable', version: record.toVersion, isReversal: false }];
}

function removeCandidate(view: ObservedMove): MoveEffect[] {
  if (view.candidate?.moveId !== view.record.id) return [];
  return [{ kind: 'clear_candidate', moveId: view.record.id }];
}

function isWithinUnloadDelay(record: MoveRecord, nowMs: number): boolean {
  return nowMs < (record.endedAtMs ?? nowMs) + UNLOAD_DELAY_MS;
}

function unloadAfter(
  record: MoveRecord,
  version: VersionName,
  view: ObservedMove,
  nowMs: number,
): MoveEffect[] {
  const isInUse = view.stableVersion === version || view.candidate?.version === version;
  if (isWithinUnloadDelay(record, nowMs) || isInUse) return [];
  return [{ kind: 'unload', version }];
}
