import type { CandidateVersion } from '../config/model';
import type { MoveId, VersionName } from '../ids';
import type { MovePlan, PlannedStep, MovePlanOutcome } from './move-plan';
import type { MoveRecord } from './move-record';

/** What the holder of the moves lease has read about one move. */
export interface ObservedMove {
  readonly record: MoveRecord;
  /** Why the new version was withdrawn; undefined if it was not. */
  readonly withdrawnReason: string | undefined;
  readonly loadedCount: number;
  readonly stableVersion: VersionName;
  readonly candidate: CandidateVersion | undefined;
}

/** Effects are repeated until a later observation shows that they took place. */
export type MoveEffect =
  /** One transaction on the running record sets the end, so the first of several writers wins. */
  | { readonly kind: 'end'; readonly state: 'done' | 'taken_back'; readonly reason: string }
  | { readonly kind: 'record_step'; readonly shareRatio: number }
  | { readonly kind: 'load_new'; readonly engineCount: number; readonly concurrency: number }
  | { readonly kind: 'set_candidate'; readonly candidate: CandidateVersion }
  | { readonly kind: 'clear_candidate'; readonly moveId: MoveId }
  | { readonly kind: 'set_stable'; readonly version: VersionName; readonly isReversal: boolean }
  /** Sent only after a delay, until which both versions stay loaded. */
  | { readonly kind: 'unload'; readonly version: VersionName };

/** After a move, the version left without traffic stays loaded this long so it can be restored. */
export const UNLOAD_DELAY_MS = 600_000;

/** Next effects of a move. They depend only on stored records, so any host can continue a move. */
export function nextMoveEffects(
  observed: ObservedMove,
  planned: MovePlanOutcome,
  nowMs: number,
): readonly MoveEffect[] {
  const { record } = observed;
  switch (record.state) {
    case 'running':
      return runMove(observed, planned, nowMs);
    case 'done':
      return [
        ...finishDone(observed, nowMs),
        ...unloadAfter(record, record.fromVersion, observed, nowMs),
      ];
    case 'taken_back':
    case 'cancelled':
      return [
        ...removeCandidate(observed),
        ...unloadAfter(record, record.toVersion, observed, nowMs),
      ];
    default:
      return record.state satisfies never;
  }
}

function runMove(observed: ObservedMove, planned: MovePlanOutcome, nowMs: number): MoveEffect[] {
  const { record } = observed;
  if (observed.withdrawnReason !== undefined) return [rollBack(observed.withdrawnReason)];
  if (nowMs >= record.byMs) return [rollBack('the deadline passed before the move was done')];
  if (hasOtherMove(observed)) return [rollBack('another move of the service is running')];
  if (observed.stableVersion !== record.fromVersion) {
    return [rollBack(`the stable version is ${observed.stableVersion}, not ${record.fromVersion}`)];
  }
  if (hasAllTraffic(observed)) {
    // Engines may have been lost since the last step.
    if (observed.loadedCount === 0) return [];
    return [{ kind: 'end', state: 'done', reason: 'all steps passed' }];
  }
  if (planned.kind === 'refused') {
    // A move that has begun waits until the plan is feasible again, or ends at its deadline.
    return record.stepShareRatio === 0 ? [rollBack(planned.reason)] : [];
  }
  const configured = observed.candidate?.shareRatio ?? 0;
  if (configured !== record.stepShareRatio) return [setCandidate(record)];
  return advanceStep(observed, planned.plan, nowMs);
}

function advanceStep(observed: ObservedMove, plan: MovePlan, nowMs: number): MoveEffect[] {
  const step = plan.steps.find((each) => each.shareRatio > observed.record.stepShareRatio);
  if (step === undefined) return [];
  const loads = loadMissing(observed, step, plan);
  const isDue = nowMs >= step.atMs;
  const isLoaded = observed.loadedCount >= step.engineCount;
  if (!isDue || !isLoaded) return loads;
  return [{ kind: 'record_step', shareRatio: step.shareRatio }];
}

function loadMissing(observed: ObservedMove, step: PlannedStep, plan: MovePlan): MoveEffect[] {
  if (observed.loadedCount >= step.engineCount) return [];
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

function hasOtherMove(observed: ObservedMove): boolean {
  return observed.candidate !== undefined && observed.candidate.moveId !== observed.record.id;
}

function hasAllTraffic(observed: ObservedMove): boolean {
  return observed.record.stepShareRatio === 1 && observed.candidate?.shareRatio === 1;
}

/** A withdrawal after the end leaves the record unchanged and moves the traffic back. */
function finishDone(observed: ObservedMove, nowMs: number): MoveEffect[] {
  const { record } = observed;
  if (observed.withdrawnReason !== undefined) {
    const hasNoOtherMove =
      observed.candidate === undefined || observed.candidate.moveId === record.id;
    const isNewVersionStable = observed.stableVersion === record.toVersion;
    if (isNewVersionStable && hasNoOtherMove && isWithinUnloadDelay(record, nowMs)) {
      return [{ kind: 'set_stable', version: record.fromVersion, isReversal: true }];
    }
    return removeCandidate(observed);
  }
  if (observed.candidate?.moveId !== record.id) return [];
  return [{ kind: 'set_stable', version: record.toVersion, isReversal: false }];
}

function removeCandidate(observed: ObservedMove): MoveEffect[] {
  if (observed.candidate?.moveId !== observed.record.id) return [];
  return [{ kind: 'clear_candidate', moveId: observed.record.id }];
}

function isWithinUnloadDelay(record: MoveRecord, nowMs: number): boolean {
  return nowMs < (record.endedAtMs ?? nowMs) + UNLOAD_DELAY_MS;
}

function unloadAfter(
  record: MoveRecord,
  version: VersionName,
  observed: ObservedMove,
  nowMs: number,
): MoveEffect[] {
  const isInUse = observed.stableVersion === version || observed.candidate?.version === version;
  if (isWithinUnloadDelay(record, nowMs) || isInUse) return [];
  return [{ kind: 'unload', version }];
}
