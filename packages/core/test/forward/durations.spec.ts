import { describe, expect, it } from 'vitest';
import { asId, createStreamDurations } from '../../src/index';
import type { RouteName } from '../../src/index';

const ROUTE = asId<RouteName>('guide');

describe('durations of streams', () => {
  it('denies no stream time before one has been seen whole', () => {
    expect(createStreamDurations().minRemainingMs(ROUTE, undefined)).toBe(0);
  });

  it('expects less than the mean, and only the events that the caller still lacks', () => {
    const durations = createStreamDurations();
    durations.onCompleted(ROUTE, { events: 101, tookMs: 3_000 });
    expect(durations.minRemainingMs(ROUTE, undefined)).toBeCloseTo(101 * 0.7 * 30);
    expect(durations.minRemainingMs(ROUTE, 60)).toBeCloseTo((101 * 0.7 - 60) * 30);
    expect(durations.minRemainingMs(ROUTE, 100)).toBe(0);
  });

  it('follows streams that become longer, and ignores those that show no pace', () => {
    const durations = createStreamDurations();
    durations.onCompleted(ROUTE, { events: 11, tookMs: 100 });
    durations.onCompleted(ROUTE, { events: 1, tookMs: 0 });
    for (let no = 0; no < 100; no += 1)
      durations.onCompleted(ROUTE, { events: 101, tookMs: 2_000 });
    expect(durations.minRemainingMs(ROUTE, undefined)).toBeGreaterThan(1_300);
  });
});
