import type { RouteName } from './types';

/** A stream that was carried to its end. */
export interface CompletedStream {
  readonly events: number;
  /** Time from its first event to its last one. */
  readonly tookMs: number;
}

/** How long streams run once their first event has arrived, learned from whole streams. */
export interface StreamDurations {
  readonly onCompleted: (route: RouteName, stream: CompletedStream) => void;
  /** Shortest time that the events after `lastEventId` are expected to take; 0 if nothing is known. */
  readonly minRemainingMs: (route: RouteName, lastEventId: number | undefined) => number;
}

/** Weight of the newest stream in the moving averages. */
const SMOOTHING_RATIO = 0.1;
/** Few streams are shorter than this part of the mean; the time of one that is must not be denied. */
const MIN_LENGTH_RATIO = 0.7;

interface DurationAverages {
  events: number;
  msPerEvent: number;
}

export function createStreamDurations(): StreamDurations {
  const byRoute = new Map<RouteName, DurationAverages>();

  return {
    onCompleted: (route, { events, tookMs }) => {
      if (events < 2) return;
      const msPerEvent = tookMs / (events - 1);
      const means = byRoute.get(route);
      if (means === undefined) {
        byRoute.set(route, { events, msPerEvent });
        return;
      }
      means.events += SMOOTHING_RATIO * (events - means.events);
      means.msPerEvent += SMOOTHING_RATIO * (msPerEvent - means.msPerEvent);
    },
    minRemainingMs: (route, lastEventId) => {
      const means = byRoute.get(route);
      if (means === undefined) return 0;
      const left = means.events * MIN_LENGTH_RATIO - (lastEventId ?? 0);
      return Math.max(0, left * means.msPerEvent);
    },
  };
}
