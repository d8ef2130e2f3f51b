import { finiteMs } from './finite';
import type { ForwardStreamEffect, ServeError, ServerId } from '@mimosamill/core';
import type { PlacedEngine, StreamAttempt } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** How a stream ended. */
export interface StreamEnd {
  /** 'complete', or why the stream was not completed. */
  readonly outcome: string;
  readonly tookMs: number;
  readonly failoverCount: number;
  readonly attemptCount: number;
  readonly engineId: ServerId | undefined;
  readonly error: ServeError | undefined;
}

/** Decision log lines of one stream about its attempts and its end. */
export interface StreamLog {
  readonly onPlaced: (
    effect: Extract<ForwardStreamEffect, { kind: 'send' }>,
    placed: PlacedEngine,
    lastEventAtMs: number | undefined,
    nowMs: number,
  ) => void;
  /** Logs the first event of an attempt that goes on with the stream `gapMs` after its last event. */
  readonly onResumed: (attempt: StreamAttempt, gapMs: number, nowMs: number) => void;
  readonly onEnd: (end: StreamEnd) => void;
}

export function createStreamLog(
  { fleet, decisions }: Pick<ForwardPorts, 'fleet' | 'decisions'>,
  { head, route, admission }: ForwardRequest,
): StreamLog {
  const { requestId } = head;
  return {
    onPlaced: (effect, placed, lastEventAtMs, nowMs) => {
      const state = fleet.get(placed.engineId);
      const fields = {
        request: requestId,
        attempt: effect.attemptNo,
        cause: effect.cause,
        level: admission?.priorityClass.level,
        engine: placed.engineId,
        domain: state?.server.failureDomain,
        copy_at: placed.copyEngineId,
        from_copy: effect.resumeFrom !== undefined,
        after_event: effect.lastEventId,
        expected_ms: Math.round(placed.expectedFirstEventMs),
        prompt_tokens: head.promptTokens,
        output_tokens: head.outputTokens,
        length_hint: head.lengthHint,
        size: placed.promptSize,
        pace: Number(placed.paceRatio.toFixed(2)),
        pace_age_ms: finiteMs(fleet.pace.ageMs(placed.engineId, nowMs)),
        own_running: state?.ownRunning,
        report_age_ms:
          state?.report === undefined ? undefined : Math.round(nowMs - state.report.atMs),
        since_event_ms: lastEventAtMs === undefined ? undefined : Math.round(nowMs - lastEventAtMs),
      };
      if (effect.cause === 'first') decisions.routine('stream.place', fields);
      else decisions.notable('stream.move', fields);
    },
    onResumed: (attempt, gapMs, nowMs) => {
      decisions.notable('stream.resumed', {
        request: requestId,
        attempt: attempt.attemptNo,
        engine: attempt.engineId,
        from_copy: attempt.isResumedFromCopy,
        gap_ms: Math.round(gapMs),
        since_send_ms: Math.round(nowMs - attempt.sentAtMs),
      });
    },
    onEnd: ({ outcome, tookMs, failoverCount, attemptCount, engineId, error }) => {
      const fields = {
        request: requestId,
        route: route.name,
        outcome,
        took_ms: Math.round(tookMs),
        moves: failoverCount,
        attempts: attemptCount,
        engine: engineId,
        reason: error?.message,
        run: error?.runState,
      };
      if (outcome === 'complete') decisions.routine('stream.end', fields);
      else decisions.notable('stream.end', fields);
    },
  };
}
