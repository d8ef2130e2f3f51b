/** A time for a log line, rounded; undefined if it is unknown, since JSON has no Infinity. */
export function finiteMs(timeMs: number | undefined): number | undefined {
  return timeMs === undefined || !Number.isFinite(timeMs) ? undefined : Math.round(timeMs);
}
