import { describe, expect, it } from 'vitest';
import { createSystemClock } from '../src/index';

const SHORT_MS = 40;

describe('a timer of the system clock', () => {
  it.each([2 ** 31, 1e300, Infinity])('does not end at once for a delay of %s ms', async (ms) => {
    const clock = createSystemClock();
    let hasEnded = false;
    const cancel = clock.runAfter(ms, () => {
      hasEnded = true;
    });
    await new Promise<void>((resolve) => {
      clock.runAfter(SHORT_MS, resolve);
    });
    cancel();
    expect(hasEnded).toBe(false);
  });
});
