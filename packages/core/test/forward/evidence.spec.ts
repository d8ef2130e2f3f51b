import { describe, expect, it } from 'vitest';
import { asId, createCallOutcomeTracker, createOutlierDetector } from '../../src/index';
import { createRandom, id } from './fixtures';
import type { CallCounts, CallOutcomeTracker, HostId, OutlierDetector } from '../../src/index';

const ROUTE = 'slots';
const SERVERS = ['a1', 'b1', 'c1'];
const HOST = asId<HostId>('host-1');
const GOOD = { isSuccess: true, slownessRatio: 1 };
const BAD = { isSuccess: false, slownessRatio: 1 };

function createBook(): { judge: OutlierDetector; book: CallOutcomeTracker } {
  const judge = createOutlierDetector({ ejectedMaxRatio: () => 0.4 });
  judge.setServers('shop', SERVERS);
  return { judge, book: createCallOutcomeTracker(judge) };
}

const counts = (serverId: string, successes: number, failures: number): CallCounts => ({
  serverId: id(serverId),
  route: ROUTE,
  successes,
  failures,
  slownessSum: successes + failures,
});

describe('evidence of other routers', () => {
  it('ejects a failing server of which this router alone has seen too little', () => {
    const { judge, book } = createBook();
    book.onPeerCounts(HOST, 'life', [], 0);
    SERVERS.forEach((name) => book.onOwnOutcome(id(name), ROUTE, GOOD, 0));
    book.onPeerCounts(
      HOST,
      'life',
      [counts('a1', 0, 12), counts('b1', 12, 0), counts('c1', 12, 0)],
      50,
    );
    expect(SERVERS.map((name) => judge.weight(name, ROUTE) > 0.5)).toEqual([false, true, true]);
    expect(judge.ejectedCount('shop')).toBe(1);
  });

  it('takes the same counts once, and none from before a router was first heard', () => {
    const { judge, book } = createBook();
    const told = [counts('a1', 0, 6), counts('b1', 12, 0), counts('c1', 12, 0)];
    book.onPeerCounts(HOST, 'life', told, 0);
    for (let no = 0; no < 5; no += 1) book.onPeerCounts(HOST, 'life', told, no);
    expect(judge.weight('a1', ROUTE)).toBe(1);
    // A restarted router counts from zero again.
    book.onPeerCounts(HOST, 'next life', [], 10);
    book.onPeerCounts(HOST, 'next life', [counts('a1', 0, 6)], 11);
    expect(judge.weight('a1', ROUTE)).toBeLessThan(1);
  });

  it('tells counts that changed lately, and forgets servers that have left', () => {
    const { book } = createBook();
    book.onOwnOutcome(id('a1'), ROUTE, BAD, 0);
    book.onOwnOutcome(id('b1'), ROUTE, GOOD, 2_000);
    book.onOwnOutcome(id('b1'), ROUTE, BAD, 2_100);
    expect(book.recentCounts(3_000)).toEqual([counts('b1', 1, 1)]);
    book.retain(new Set([id('a1')]));
    expect(book.recentCounts(2_100)).toEqual([counts('a1', 0, 1)]);
  });

  it('finds a failing server with a small part of the failures that routers need alone', () => {
    const failures = (sharesNews: boolean): number => {
      const random = createRandom(7);
      const routers = Array.from({ length: 60 }, () => createBook());
      let failed = 0;
      routers.forEach(({ book }, no) => {
        routers.forEach((_, other) => {
          if (other !== no) book.onPeerCounts(asId<HostId>(`host-${other}`), 'life', [], 0);
        });
      });
      for (let nowMs = 0; nowMs < 4_000; nowMs += 20) {
        const no = Math.floor(random() * routers.length);
        const { judge, book } = routers[no] ?? createBook();
        const start = Math.floor(random() * SERVERS.length);
        const order = SERVERS.map((_, at) => SERVERS[(start + at) % SERVERS.length] ?? '');
        const chosen = order.find((name) => judge.weight(name, ROUTE) > 0.5) ?? order[0] ?? '';
        if (chosen === 'a1') failed += 1;
        book.onOwnOutcome(id(chosen), ROUTE, chosen === 'a1' ? BAD : GOOD, nowMs);
        if (!sharesNews) continue;
        routers.forEach((router, other) => {
          if (other === no) return;
          router.book.onPeerCounts(
            asId<HostId>(`host-${no}`),
            'life',
            book.recentCounts(nowMs),
            nowMs,
          );
        });
      }
      return failed;
    };
    const alone = failures(false);
    expect(alone).toBeGreaterThan(50);
    expect(failures(true)).toBeLessThan(alone / 3);
  });
});
