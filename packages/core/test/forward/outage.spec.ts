import { describe, expect, it } from 'vitest';
import { createOutageTracker } from '../../src/index';

describe('the outage of the store as a router knows it', () => {
  it('ends when the store answers after a failed call', () => {
    const outage = createOutageTracker();
    expect(outage.sinceOutageMs(0)).toBe(Infinity);
    outage.onStoreAnswered(100);
    expect(outage.onStoreFailed(1_000)).toBe(true);
    expect(outage.onStoreFailed(1_400)).toBe(false);
    expect(outage.sinceOutageMs(1_500)).toBe(Infinity);
    expect(outage.onStoreAnswered(3_000)).toBe(2_000);
    expect(outage.sinceOutageMs(3_700)).toBe(700);
  });

  it('is none if a relay got confirmed content while only the own path was lost', () => {
    const outage = createOutageTracker();
    outage.onStoreAnswered(100);
    outage.onStoreFailed(1_000);
    outage.onRelayed(1_300, Infinity, 1_310);
    expect([outage.isPathLost(), outage.sinceOutageMs(1_400)]).toEqual([true, Infinity]);
    outage.onStoreAnswered(5_000);
    expect([outage.isPathLost(), outage.sinceOutageMs(5_100)]).toEqual([false, Infinity]);
  });

  it('is one if relays only had content from before the failed call', () => {
    const outage = createOutageTracker();
    outage.onStoreAnswered(100);
    outage.onStoreFailed(1_000);
    outage.onRelayed(900, Infinity, 1_200);
    outage.onStoreAnswered(3_000);
    expect(outage.sinceOutageMs(3_300)).toBe(300);
  });

  it('is taken over from a relay by a router that does not ask the store itself', () => {
    const outage = createOutageTracker();
    outage.onRelayed(1_000, Infinity, 1_010);
    outage.onRelayed(6_000, 200, 6_010);
    expect(outage.sinceOutageMs(6_510)).toBe(700);
  });

  it('is not taken over from a relay that lost its own path while others confirmed the content', () => {
    const outage = createOutageTracker();
    outage.onRelayed(5_950, Infinity, 5_960);
    outage.onRelayed(6_000, 200, 6_010);
    expect(outage.sinceOutageMs(6_510)).toBe(Infinity);
  });
});
