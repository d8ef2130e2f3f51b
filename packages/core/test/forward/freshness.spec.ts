import { describe, expect, it } from 'vitest';
import { createServerDirectory, createFreshnessTracker } from '../../src/index';
import { server } from './fixtures';
import type { ForwardServer } from '../../src/index';

describe('the age of data from the store', () => {
  it('counts from the send of a call, because its answer may have been delayed', () => {
    const freshness = createFreshnessTracker();
    freshness.onAnswer(1_000, 50_000);
    expect(freshness.ageMs(1_700)).toBe(700);
  });

  it('counts from the answer of a long poll by the store clock, not from its start', () => {
    const freshness = createFreshnessTracker();
    freshness.onAnswer(1_000, 50_000);
    // Sent at 1,010, answered by the store 1,800 ms after the first answer.
    freshness.onAnswer(1_010, 51_800);
    expect(freshness.ageMs(2_900)).toBe(100);
  });

  it('does not treat a delayed answer as newer than the store clock says', () => {
    const freshness = createFreshnessTracker();
    freshness.onAnswer(1_000, 50_000);
    // Written by the store at 50,100, but delivered 4 s later.
    freshness.onAnswer(1_050, 50_100);
    expect(freshness.ageMs(5_100)).toBe(4_000);
  });

  it('is unknown after a suspension, during which the monotonic clock stands still', () => {
    const freshness = createFreshnessTracker();
    freshness.checkClocks(1_000, 900_000);
    freshness.onAnswer(1_000, 50_000);
    const check = freshness.checkClocks(1_100, 906_100);
    expect(check).toEqual({ kind: 'discrepancy', differenceMs: 6_000 });
    expect(freshness.ageMs(1_100)).toBe(Infinity);
  });

  it('is known again only after the answer to a call that was sent after the suspension', () => {
    const freshness = createFreshnessTracker();
    freshness.checkClocks(1_000, 900_000);
    freshness.onAnswer(1_000, 50_000);
    freshness.checkClocks(1_100, 906_100);
    freshness.onAnswer(1_050, 50_090);
    expect(freshness.ageMs(1_200)).toBe(Infinity);
    freshness.onAnswer(1_150, 56_200);
    expect(freshness.ageMs(1_200)).toBe(50);
  });

  it('starts over when the store clock does', () => {
    const freshness = createFreshnessTracker();
    freshness.onAnswer(1_000, 50_000);
    freshness.onAnswer(2_000, 10);
    expect(freshness.ageMs(2_100)).toBe(100);
  });
});

describe('the server directory during a store outage', () => {
  const KEEP_MAX_MS = 3_000;
  const a = server('a');
  const b = server('b');
  const ids = (servers: readonly ForwardServer[]): string[] =>
    servers.map(({ serverId, isUncertain }) => `${serverId}${isUncertain === true ? '?' : ''}`);

  it('keeps an entry that expired during the outage as uncertain until the grace period ends', () => {
    const directory = createServerDirectory(KEEP_MAX_MS);
    directory.update([a, b], Infinity, 0);
    directory.update([a], 100, 1_000);
    expect(ids(directory.servers(1_500))).toEqual(['a', 'b?']);
    const expiryMs = directory.nextExpiryMs() ?? 0;
    expect(ids(directory.servers(expiryMs))).toEqual(['a']);
  });

  it('drops an entry at once that is removed while the store is reachable', () => {
    const directory = createServerDirectory(KEEP_MAX_MS);
    directory.update([a, b], Infinity, 0);
    directory.update([a], 60_000, 1_000);
    expect(ids(directory.servers(1_000))).toEqual(['a']);
  });

  it('never keeps a server that had said that it is leaving', () => {
    const directory = createServerDirectory(KEEP_MAX_MS);
    directory.update([a, { ...b, isLeaving: true }], Infinity, 0);
    directory.update([a], 100, 1_000);
    expect(ids(directory.servers(1_000))).toEqual(['a']);
  });

  it('keeps no removed server for longer than requests may reach a server that left', () => {
    const directory = createServerDirectory(1_600);
    directory.update([a, b], Infinity, 0);
    directory.update([a], 100, 1_000);
    expect(ids(directory.servers(2_599))).toEqual(['a', 'b?']);
    expect(ids(directory.servers(2_600))).toEqual(['a']);
  });

  it('treats an entry that was written again as certain', () => {
    const directory = createServerDirectory(KEEP_MAX_MS);
    directory.update([a, b], Infinity, 0);
    directory.update([a], 100, 1_000);
    directory.update([a, b], 900, 1_800);
    expect(ids(directory.servers(1_800))).toEqual(['a', 'b']);
  });
});

describe('the server directory after the store came back from an older copy', () => {
  const a = server('a');
  const b = server('b');
  const ids = (servers: readonly ForwardServer[]): string[] =>
    servers.map(
      ({ serverId, isLeaving, isUncertain }) =>
        `${serverId}${isLeaving ? '-' : ''}${isUncertain === true ? '?' : ''}`,
    );

  function open(...servers: ForwardServer[]) {
    const directory = createServerDirectory(3_000);
    directory.update(servers, Infinity, 0);
    return directory;
  }

  it('does not send requests again to a server that was leaving when the copy shows it as ready', () => {
    const directory = open(a, { ...b, isLeaving: true });
    directory.update([a, b], 0, 1_000, true);
    expect(ids(directory.servers(1_000))).toEqual(['a', 'b-']);
    directory.update([a, b], 9_000, 10_000);
    expect(ids(directory.servers(10_000))).toEqual(['a', 'b-']);
  });

  it('uses a server that starts again under the id of one that was leaving', () => {
    const directory = open(a, { ...b, isLeaving: true });
    directory.update([a, b], 0, 1_000, true);
    directory.update([a, { ...b, startedAtMs: 2 }], 500, 1_500);
    expect(ids(directory.servers(1_500))).toEqual(['a', 'b']);
  });

  it('does not use a server that had been removed until the store would have removed it again', () => {
    const directory = open(a, b);
    directory.update([a], 60_000, 1_000);
    directory.update([a, b], 0, 2_000, true);
    expect(ids(directory.servers(2_000))).toEqual(['a']);
    const expiryMs = directory.nextExpiryMs() ?? 0;
    expect(ids(directory.servers(expiryMs - 1))).toEqual(['a']);
    expect(ids(directory.servers(expiryMs))).toEqual(['a', 'b']);
  });

  it('does not take a restarted server for the process that ran under its id before', () => {
    const restarted = { ...b, startedAtMs: 5, address: '10.9.9.9:1' };
    const directory = open(a, b);
    directory.update([a, restarted], Infinity, 1_000);
    directory.update([a, b], 0, 2_000, true);
    expect(directory.servers(2_000)).toEqual([a, restarted]);
  });

  it('keeps a server that registered since the copy was made until it has registered again', () => {
    const directory = open(a, b);
    directory.update([a], 0, 1_000, true);
    expect(ids(directory.servers(1_000))).toEqual(['a', 'b?']);
    directory.update([a, b], 800, 1_800);
    expect(ids(directory.servers(1_800))).toEqual(['a', 'b']);
  });
});
