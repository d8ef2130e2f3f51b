/** Events of a simulated move, run in time order second by second. */
export interface Timeline {
  readonly schedule: (atMs: number, run: () => void) => void;
  /** Runs the events up to `untilMs`; those may add events before it. */
  readonly runUntil: (untilMs: number) => void;
}

interface TimedEvent {
  readonly atMs: number;
  readonly run: () => void;
}

const BUCKET_MS = 1_000;

export function createTimeline(setNowMs: (nowMs: number) => void): Timeline {
  const buckets = new Map<number, TimedEvent[]>();

  function take(bucket: number): TimedEvent[] {
    const events = buckets.get(bucket) ?? [];
    buckets.delete(bucket);
    return events.sort(byTime);
  }

  return {
    schedule: (atMs, run) => {
      const bucket = Math.floor(atMs / BUCKET_MS);
      const events = buckets.get(bucket);
      if (events === undefined) buckets.set(bucket, [{ atMs, run }]);
      else events.push({ atMs, run });
    },
    runUntil: (untilMs) => {
      const bucket = Math.floor(untilMs / BUCKET_MS) - 1;
      // Events added to the bucket while it runs are sorted in after the ones that have run.
      let events = take(bucket);
      for (let i = 0; i < events.length; i += 1) {
        const event = events[i];
        if (event === undefined) continue;
        setNowMs(event.atMs);
        event.run();
        if (!buckets.has(bucket)) continue;
        events = [...events.slice(i + 1), ...take(bucket)].sort(byTime);
        i = -1;
      }
    },
  };
}

function byTime(a: TimedEvent, b: TimedEvent): number {
  return a.atMs - b.atMs;
}
