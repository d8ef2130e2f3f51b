import type { RouteName } from './types';

/** How long streams of a route take lately, from the request to the end. */
export interface StreamTimes {
  readonly onCompleted: (route: RouteName, tookMs: number, nowMs: number) => void;
  /** Undefined if no stream of the route has completed. */
  readonly meanMs: (route: RouteName) => number | undefined;
  /** Undefined if no stream of the route has completed lately. */
  readonly longestMs: (route: RouteName, nowMs: number) => number | undefined;
}

/** Durations of the current period and of the one before it count for the longest. */
const PERIOD_MS = 60_000;
/** Weight of the newest stream in the mean. */
const SMOOTHING_RATIO = 0.1;

interface RouteTimes {
  meanMs: number;
  startedAtMs: number;
  longestMs: number;
  /** Of the period before, if that ended when this one began. */
  previousMs: number;
}

export function createStreamTimes(): StreamTimes {
  const byRoute = new Map<RouteName, RouteTimes>();

  return {
    onCompleted: (route, tookMs, nowMs) => {
      const times = byRoute.get(route);
      if (times === undefined) {
        byRoute.set(route, {
          meanMs: tookMs,
          startedAtMs: nowMs,
          longestMs: tookMs,
          previousMs: 0,
        });
        return;
      }
      times.meanMs += SMOOTHING_RATIO * (tookMs - times.meanMs);
      const ageMs = nowMs - times.startedAtMs;
      if (ageMs >= PERIOD_MS) {
        times.previousMs = ageMs < 2 * PERIOD_MS ? times.longestMs : 0;
        times.startedAtMs = nowMs;
        times.longestMs = tookMs;
      } else times.longestMs = Math.max(times.longestMs, tookMs);
    },
    meanMs: (route) => byRoute.get(route)?.meanMs,
    longestMs: (route, nowMs) => {
      const times = byRoute.get(route);
      if (times === undefined || nowMs - times.startedAtMs >= 2 * PERIOD_MS) return undefined;
      return Math.max(times.longestMs, times.previousMs);
    },
  };
}
