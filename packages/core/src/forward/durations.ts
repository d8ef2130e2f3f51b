import type { RouteName } from './types';

/** A stream that was delivered completely. */
export interface CompletedStream {
  readonly events: number;
  /** Time from the first event to the last one. */
  readonly tookMs: number;
}

/** 'typical': the mean pace of earlier streams; 'fastest': the least time an event took in one of them. */
export type StreamPace = 'typical' | 'fastest';

/** Estimates the remaining time of streams per route from earlier completed streams. */
export interface StreamDurations {
  readonly onCompleted: (route: RouteName, stream: CompletedStream) => void;
  /**
   * Least time that the events after `lastEventId` are expected to take at a pace; 0 if nothing is
   * known.
   */
  readonly minRemainingMs: (
    route: RouteName,
    lastEventId: number | undefined,
    pace: StreamPace,
  ) => number;
}

/** Weight of the newest stream in the moving averages. */
const SMOOTHING_RATIO = 0.1;
/**
 * Few streams are shorter than this part of the mean length. The estimate must not be too long,
 * because a stream that would meet its deadline must not be refused.
 */
const MIN_LENGTH_RATIO = 0.7;

interface DurationAverages {
  events: number;
  msPerEvent: number;
  fastestMsPerEvent: number;
}

/** Part of the way to the mean by which each slower stream moves the fastest pace: engines change. */
const FASTEST_RISE_RATIO = 0.02;

export function createStreamDurations(): StreamDurations {
  const byRoute = new Map<RouteName, DurationAverages>();

  return {
    onCompleted: (route, { events, tookMs }) => {
      if (events < 2) return;
      const msPerEvent = tookMs / (events - 1);
      const averages = byRoute.get(route);
      if (averages === undefined) {
        byRoute.set(route, { events, msPerEvent, fastestMsPerEvent: msPerEvent });
        return;
      }
      averages.events += SMOOTHING_RATIO * (events - averages.events);
      averages.msPerEvent += SMOOTHING_RATIO * (msPerEvent - averages.msPerEvent);
      const { fastestMsPerEvent, msPerEvent: meanMs } = averages;
      const risenMs = fastestMsPerEvent + FASTEST_RISE_RATIO * (meanMs - fastestMsPerEvent);
      averages.fastestMsPerEvent = Math.min(msPerEvent, risenMs);
    },
    minRemainingMs: (route, lastEventId, pace) => {
      const averages = byRoute.get(route);
      if (averages === undefined) return 0;
      const left = averages.events * MIN_LENGTH_RATIO - (lastEventId ?? 0);
      const msPerEvent = pace === 'fastest' ? averages.fastestMsPerEvent : averages.msPerEvent;
      return Math.max(0, left * msPerEvent);
    },
  };
}
