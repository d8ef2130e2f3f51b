import { describe, expect, it } from 'vitest';
import { asId, createStreamDurations } from '../../src/index';
import type { RouteName } from '../../src/index';

const ROUTE = asId<RouteName>('guide');

describe('the durations of streams', () => {
  it('expect no remaining time before a stream has completed', () => {
    expect(createStreamDurations().minRemainingMs(ROUTE, undefined, 'typical')).toBe(0);
  });

  it('expect less than the mean, and only for the events that the caller still lacks', () => {
    const durations = createStreamDurations();
    durations.onCompleted(ROUTE, { events: 101, tookMs: 3_000 });
    expect(durations.minRemainingMs(ROUTE, undefined, 'typical')).toBeCloseTo(101 * 0.7 * 30);
    expect(durations.minRemainingMs(ROUTE, 60, 'typical')).toBeCloseTo((101 * 0.7 - 60) * 30);
    expect(durations.minRemainingMs(ROUTE, 100, 'typical')).toBe(0);
  });

  it('follow streams that become longer, and ignore those with a single event', () => {
    const durations = createStreamDurations();
    durations.onCompleted(ROUTE, { events: 11, tookMs: 100 });
    durations.onCompleted(ROUTE, { events: 1, tookMs: 0 });
    for (let n = 0; n < 100; n += 1) durations.onCompleted(ROUTE, { events: 101, tookMs: 2_000 });
    expect(durations.minRemainingMs(ROUTE, undefined, 'typical')).toBeGreaterThan(1_300);
  });

  it('know the pace of the fastest stream, and forget it while streams are slower', () => {
    // Guards against refusing a stream that an idle engine would end in time.
    const durations = createStreamDurations();
    durations.onCompleted(ROUTE, { events: 101, tookMs: 3_000 });
    durations.onCompleted(ROUTE, { events: 101, tookMs: 2_000 });
    const fastest = (): number => durations.minRemainingMs(ROUTE, undefined, 'fastest');
    expect(fastest()).toBeCloseTo(101 * 0.7 * 20);
    for (let n = 0; n < 20; n += 1) durations.onCompleted(ROUTE, { events: 101, tookMs: 3_000 });
    expect(fastest()).toBeLessThan(101 * 0.7 * 24);
    for (let n = 0; n < 300; n += 1) durations.onCompleted(ROUTE, { events: 101, tookMs: 3_000 });
    expect(fastest()).toBeGreaterThan(101 * 0.7 * 29);
  });
});
