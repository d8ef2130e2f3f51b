import { describe, expect, it } from 'vitest';
import { asId, createLongestDurations } from '../../src/index';
import type { RouteName } from '../../src/index';

const GUIDE = asId<RouteName>('guide');
const REPAIR = asId<RouteName>('repair');

describe('the longest durations of streams', () => {
  it('are kept apart by route', () => {
    // Guards against taking long streams for short ones because another route has many of those.
    const durations = createLongestDurations();
    for (let n = 0; n < 100; n += 1) durations.onCompleted(GUIDE, 1_900, n);
    durations.onCompleted(REPAIR, 4_600, 50);
    durations.onCompleted(REPAIR, 4_200, 60);
    expect(durations.longestMs(GUIDE, 100)).toBe(1_900);
    expect(durations.longestMs(REPAIR, 100)).toBe(4_600);
    expect(durations.longestMs(asId('other'), 100)).toBeUndefined();
  });

  it('are forgotten after one or two minutes', () => {
    const durations = createLongestDurations();
    durations.onCompleted(GUIDE, 9_000, 0);
    durations.onCompleted(GUIDE, 2_000, 61_000);
    expect(durations.longestMs(GUIDE, 61_000)).toBe(9_000);
    durations.onCompleted(GUIDE, 2_500, 122_000);
    expect(durations.longestMs(GUIDE, 122_000)).toBe(2_500);
    expect(durations.longestMs(GUIDE, 242_000)).toBeUndefined();
  });
});
