import type { Clock } from '@mimosamill/adapters';
import type { Fleet, ServerId, ServiceName } from '@mimosamill/core';

/** Judges one phase of an attempt for the evidence of a move; it counts at most once. */
export interface AnswerTimer {
  /** The phase has ended: an answer, the first event or enough events arrived. */
  readonly onAnswered: (isFailure: boolean) => void;
  /** The attempt was given up because its server took too long. */
  readonly onGivenUp: () => void;
  /** The attempt was cancelled because a later one was faster. */
  readonly onOvertaken: () => void;
  /** The attempt ended otherwise, which says nothing about the version. */
  readonly onCancelled: () => void;
}

/**
 * What is timed: the time to the answer or to the first event, or the pace of the events after it. A
 * stream in pace does not count as an answer of its own, one that is slow counts as a bad one.
 */
export type TimedPhase = 'answer' | 'pace';

/** A phase of an attempt that has been judged. */
export interface JudgedPhase {
  readonly service: ServiceName;
  readonly version: string;
  readonly phase: TimedPhase;
  readonly isBad: boolean;
}

export interface AnswerJudgePorts {
  readonly clock: Clock;
  readonly fleet: Fleet;
  /** Whether the version is the new one of a move that has not ended: its times set no standard. */
  readonly isOnTrial: (service: ServiceName, version: string) => boolean;
  /** Whether the process has stood still, so that what it waited for is not slow. */
  readonly hasStoodStill: (nowMs: number) => boolean;
  readonly onJudged: (judged: JudgedPhase) => void;
}

/** Judges attempts by their outcome, and by their time against the mean of their service. */
export interface AnswerJudge {
  /** Called when an attempt is sent to a server, and when it enters a later phase. */
  readonly trackAttempt: (serverId: ServerId, phase: TimedPhase) => AnswerTimer;
  /** Judges attempts as soon as they are slow: those of a slow version may never get an answer. */
  readonly judgePending: () => void;
  /** Forgets all pending attempts: how long these take says nothing about their servers. */
  readonly forgetPending: () => void;
}

/** A phase of an attempt that has not ended yet. */
interface PendingPhase {
  readonly service: ServiceName;
  readonly version: string;
  readonly phase: TimedPhase;
  readonly startedAtMs: number;
  /** Slow phases are judged before they end. */
  isJudged: boolean;
}

const SLOW_ANSWER_FACTOR = 3;
/** An attempt that a later one overtook was slow if it had taken this multiple of the mean already. */
const OVERTAKEN_FACTOR = 1.5;
const SMOOTHING_RATIO = 0.1;
/** For an attempt at a server that is no longer listed. */
const NO_TIMER: AnswerTimer = {
  onAnswered: () => undefined,
  onGivenUp: () => undefined,
  onOvertaken: () => undefined,
  onCancelled: () => undefined,
};

export function createAnswerJudge({
  clock,
  fleet,
  isOnTrial,
  hasStoodStill,
  onJudged,
}: AnswerJudgePorts): AnswerJudge {
  const pending = new Set<PendingPhase>();
  /** Exponential moving average of the time of each service's phases, without those on trial. */
  const meanMsByPhase = new Map<string, number>();

  function isSlow(attempt: PendingPhase, nowMs: number, factor: number): boolean {
    if (hasStoodStill(nowMs)) return false;
    const meanMs = meanMsByPhase.get(phaseKey(attempt)) ?? Infinity;
    return nowMs - attempt.startedAtMs > factor * meanMs;
  }

  function judge(attempt: PendingPhase, isBad: boolean): void {
    if (attempt.isJudged) return;
    attempt.isJudged = true;
    const { service, version, phase } = attempt;
    onJudged({ service, version, phase, isBad });
  }

  function updateMean(attempt: PendingPhase, tookMs: number): void {
    if (isOnTrial(attempt.service, attempt.version)) return;
    const key = phaseKey(attempt);
    const before = meanMsByPhase.get(key) ?? tookMs;
    meanMsByPhase.set(key, before + SMOOTHING_RATIO * (tookMs - before));
  }

  function trackAttempt(serverId: ServerId, phase: TimedPhase): AnswerTimer {
    const server = fleet.get(serverId)?.server;
    if (server === undefined) return NO_TIMER;
    const attempt: PendingPhase = {
      service: server.service,
      version: server.version,
      phase,
      startedAtMs: clock.monotonicMs(),
      isJudged: false,
    };
    pending.add(attempt);
    return {
      onAnswered: (isFailure) => {
        if (!pending.delete(attempt)) return;
        const nowMs = clock.monotonicMs();
        judge(attempt, isFailure || isSlow(attempt, nowMs, SLOW_ANSWER_FACTOR));
        if (!isFailure && !hasStoodStill(nowMs)) updateMean(attempt, nowMs - attempt.startedAtMs);
      },
      onGivenUp: () => {
        if (pending.delete(attempt)) judge(attempt, true);
      },
      onOvertaken: () => {
        if (!pending.delete(attempt)) return;
        if (isSlow(attempt, clock.monotonicMs(), OVERTAKEN_FACTOR)) judge(attempt, true);
      },
      onCancelled: () => {
        pending.delete(attempt);
      },
    };
  }

  return {
    trackAttempt,
    judgePending: () => {
      const nowMs = clock.monotonicMs();
      pending.forEach((attempt) => {
        if (isSlow(attempt, nowMs, SLOW_ANSWER_FACTOR)) judge(attempt, true);
      });
    },
    forgetPending: () => pending.clear(),
  };
}

function phaseKey({ service, phase }: PendingPhase): string {
  return `${service}/${phase}`;
}
