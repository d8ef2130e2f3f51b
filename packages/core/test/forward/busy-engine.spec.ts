import { describe, expect, it } from 'vitest';
import { isProbablyBusy } from '../../src/index';

const silent = {
  isDoubted: false,
  receivedAgeMs: Infinity,
  peersRunning: 0,
  waitedMs: 2_000,
  targetMs: 4_000,
};

describe('an engine that has sent nothing of a stream yet', () => {
  // Guards against streams that leave one busy engine for another, so that prompts are read for nothing.
  it.each([
    ['others have streams there, and none found it silent', { ...silent, peersRunning: 2 }, true],
    ['this router gets events from it', { ...silent, receivedAgeMs: 300 }, true],
    ['it is taken for lost', { ...silent, isDoubted: true, receivedAgeMs: 300 }, false],
    ['all streams of others may wait too', { ...silent, peersRunning: 5, waitedMs: 4_100 }, false],
    ['nobody has shown it alive lately', { ...silent, receivedAgeMs: 900 }, false],
    ['the one stream of others may wait too', { ...silent, peersRunning: 1 }, false],
  ])('counts as busy or not: %s', (_case, engine, isBusy) => {
    expect(isProbablyBusy(engine)).toBe(isBusy);
  });
});
