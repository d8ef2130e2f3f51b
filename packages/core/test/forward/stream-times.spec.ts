import { describe, expect, it } from 'vitest';
import { asId, createStreamTimes } from '../../src/index';
import type { RouteName } from '../../src/index';

const GUIDE = asId<RouteName>('guide');
const REPAIR = asId<RouteName>('repair');

describe('the times that streams take', () => {
  it('are kept apart by route', () => {
    // Guards against taking long streams for short ones because another route has many of those.
    const times = createStreamTimes();
    for (let n = 0; n < 100; n += 1) times.onCompleted(GUIDE, 1_900, n);
    times.onCompleted(REPAIR, 4_600, 50);
    times.onCompleted(REPAIR, 4_200, 60);
    expect(times.longestMs(GUIDE, 100)).toBe(1_900);
    expect(times.longestMs(REPAIR, 100)).toBe(4_600);
    expect(times.meanMs(REPAIR)).toBeCloseTo(4_560);
    expect(times.meanMs(GUIDE)).toBeCloseTo(1_900);
    expect(times.longestMs(asId('other'), 100)).toBeUndefined();
  });

  it('count as the longest for one or two minutes', () => {
    const times = createStreamTimes();
    times.onCompleted(GUIDE, 9_000, 0);
    times.onCompleted(GUIDE, 2_000, 61_000);
    expect(times.longestMs(GUIDE, 61_000)).toBe(9_000);
    times.onCompleted(GUIDE, 2_500, 122_000);
    expect(times.longestMs(GUIDE, 122_000)).toBe(2_500);
    expect(times.longestMs(GUIDE, 242_000)).toBeUndefined();
  });
});
