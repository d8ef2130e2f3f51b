import type { RouteName } from './types';

/** The longest recent durations of streams per route, from the request to the end. */
export interface LongestDurations {
  readonly onCompleted: (route: RouteName, tookMs: number, nowMs: number) => void;
  /** Undefined if no stream of the route has completed lately. */
  readonly longestMs: (route: RouteName, nowMs: number) => number | undefined;
}

/** Durations of the current period and of the one before it count. */
const PERIOD_MS = 60_000;

interface Period {
  readonly startedAtMs: number;
  longestMs: number;
  /** Of the period before, if that ended when this one began. */
  readonly previousMs: number;
}

export function createLongestDurations(): LongestDurations {
  const byRoute = new Map<RouteName, Period>();

  return {
    onCompleted: (route, tookMs, nowMs) => {
      const period = byRoute.get(route);
      const ageMs = period === undefined ? Infinity : nowMs - period.startedAtMs;
      if (period === undefined || ageMs >= PERIOD_MS) {
        const previousMs = period !== undefined && ageMs < 2 * PERIOD_MS ? period.longestMs : 0;
        byRoute.set(route, { startedAtMs: nowMs, longestMs: tookMs, previousMs });
      } else period.longestMs = Math.max(period.longestMs, tookMs);
    },
    longestMs: (route, nowMs) => {
      const period = byRoute.get(route);
      if (period === undefined || nowMs - period.startedAtMs >= 2 * PERIOD_MS) return undefined;
      return Math.max(period.longestMs, period.previousMs);
    },
  };
}
