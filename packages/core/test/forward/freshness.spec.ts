import { describe, expect, it } from 'vitest';
import { createServerDirectory, createFreshnessTracker } from '../../src/index';
import { server } from './fixtures';
import type { ForwardServer } from '../../src/index';

describe('the age of knowledge', () => {
  it('counts from the send of a call, because its answer may have been held up', () => {
    const knowledge = createFreshnessTracker();
    knowledge.onAnswer(1_000, 50_000);
    expect(knowledge.ageMs(1_700)).toBe(700);
  });

  it('follows the store clock when a wait for changes ends, not the start of the wait', () => {
    const knowledge = createFreshnessTracker();
    knowledge.onAnswer(1_000, 50_000);
    // Sent at 1,010, answered by the store 1,800 ms after the first answer.
    knowledge.onAnswer(1_010, 51_800);
    expect(knowledge.ageMs(2_900)).toBe(100);
  });

  it('never takes a held-up answer for newer than the store clock says', () => {
    const knowledge = createFreshnessTracker();
    knowledge.onAnswer(1_000, 50_000);
    // Written by the store at 50,100, but delivered 4 s later.
    knowledge.onAnswer(1_050, 50_100);
    expect(knowledge.ageMs(5_100)).toBe(4_000);
  });

  it('is unknown after a suspension, which the steady clock does not count', () => {
    const knowledge = createFreshnessTracker();
    knowledge.checkClocks(1_000, 900_000);
    knowledge.onAnswer(1_000, 50_000);
    const check = knowledge.checkClocks(1_100, 906_100);
    expect(check).toEqual({ kind: 'discrepancy', differenceMs: 6_000 });
    expect(knowledge.ageMs(1_100)).toBe(Infinity);
  });

  it('is known again only by a call that was sent after the suspension', () => {
    const knowledge = createFreshnessTracker();
    knowledge.checkClocks(1_000, 900_000);
    knowledge.onAnswer(1_000, 50_000);
    knowledge.checkClocks(1_100, 906_100);
    knowledge.onAnswer(1_050, 50_090);
    expect(knowledge.ageMs(1_200)).toBe(Infinity);
    knowledge.onAnswer(1_150, 56_200);
    expect(knowledge.ageMs(1_200)).toBe(50);
  });

  it('starts over when the store clock does', () => {
    const knowledge = createFreshnessTracker();
    knowledge.onAnswer(1_000, 50_000);
    knowledge.onAnswer(2_000, 10);
    expect(knowledge.ageMs(2_100)).toBe(100);
  });
});

describe('the list of servers over an outage of the store', () => {
  const a = server('a');
  const b = server('b');
  const ids = (servers: readonly ForwardServer[]): string[] =>
    servers.map(({ serverId, isUncertain }) => `${serverId}${isUncertain === true ? '?' : ''}`);

  it('keeps an entry that lapsed during the outage as uncertain, and drops it after the grace', () => {
    const directory = createServerDirectory();
    directory.update([a, b], Infinity, 0);
    directory.update([a], 100, 1_000);
    expect(ids(directory.servers(1_500))).toEqual(['a', 'b?']);
    const expiryMs = directory.nextExpiryMs() ?? 0;
    expect(ids(directory.servers(expiryMs))).toEqual(['a']);
  });

  it('drops an entry at once that is removed while the store is steady', () => {
    const directory = createServerDirectory();
    directory.update([a, b], Infinity, 0);
    directory.update([a], 60_000, 1_000);
    expect(ids(directory.servers(1_000))).toEqual(['a']);
  });

  it('never keeps a server that had said that it is leaving', () => {
    const directory = createServerDirectory();
    directory.update([a, { ...b, isLeaving: true }], Infinity, 0);
    directory.update([a], 100, 1_000);
    expect(ids(directory.servers(1_000))).toEqual(['a']);
  });

  it('takes an entry that is back as certain', () => {
    const directory = createServerDirectory();
    directory.update([a, b], Infinity, 0);
    directory.update([a], 100, 1_000);
    directory.update([a, b], 900, 1_800);
    expect(ids(directory.servers(1_800))).toEqual(['a', 'b']);
  });
});
