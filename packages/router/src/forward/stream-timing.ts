import type { StreamAttempt } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** Times the events of one stream, for the pace of engines and the durations of the route. */
export interface StreamTiming {
  /** Time of the last event from any engine. */
  readonly lastEventAtMs: () => number | undefined;
  /** Ends the timing of a phase of the attempt, and starts that of its next events. */
  readonly startPacePhase: (attempt: StreamAttempt) => void;
  readonly onEvents: (attempt: StreamAttempt, count: number, nowMs: number) => void;
  /** Records the duration only of streams that a single engine served from first to last event. */
  readonly recordDuration: (failoverCount: number) => void;
}

/** The pace of a stream is judged over this number of events. */
const PACE_EVENTS = 20;

export function createStreamTiming(
  ports: Pick<ForwardPorts, 'streamDurations' | 'versionMoves'>,
  { head, route }: ForwardRequest,
): StreamTiming {
  let firstEventAtMs: number | undefined;
  let lastEventAtMs: number | undefined;
  let eventCount = 0;

  function startPacePhase(attempt: StreamAttempt): void {
    attempt.timer.onAnswered(false);
    attempt.timer = ports.versionMoves.trackAttempt(attempt.engineId, 'pace');
  }

  /** Times each run of PACE_EVENTS events as a phase of its own. */
  function timePace(attempt: StreamAttempt, count: number): void {
    attempt.eventCount += count;
    if (attempt.eventCount < PACE_EVENTS) return;
    attempt.eventCount = 0;
    startPacePhase(attempt);
  }

  return {
    lastEventAtMs: () => lastEventAtMs,
    startPacePhase,
    onEvents: (attempt, count, nowMs) => {
      firstEventAtMs ??= nowMs;
      lastEventAtMs = nowMs;
      eventCount += count;
      timePace(attempt, count);
    },
    recordDuration: (failoverCount) => {
      if (failoverCount > 0 || head.lastEventId !== undefined) return;
      if (firstEventAtMs === undefined || lastEventAtMs === undefined) return;
      const tookMs = lastEventAtMs - firstEventAtMs;
      ports.streamDurations.onCompleted(route.name, { events: eventCount, tookMs });
    },
  };
}
