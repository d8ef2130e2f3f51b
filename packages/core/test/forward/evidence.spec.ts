import { describe, expect, it } from 'vitest';
import { asId, createCallOutcomeTracker, createOutlierDetector } from '../../src/index';
import { createRandom, id } from './fixtures';
import type { CallCounts, CallOutcomeTracker, HostId, OutlierDetector } from '../../src/index';

const ROUTE = 'slots';
const SERVERS = ['a1', 'b1', 'c1'];
const HOST = asId<HostId>('host-1');
const GOOD = { isSuccess: true, slownessRatio: 1 };
const BAD = { isSuccess: false, slownessRatio: 1 };

function createTracker(): { detector: OutlierDetector; tracker: CallOutcomeTracker } {
  const detector = createOutlierDetector({ ejectedMaxRatio: () => 0.4 });
  detector.setServers('shop', SERVERS);
  return { detector, tracker: createCallOutcomeTracker(detector) };
}

const counts = (serverId: string, successes: number, failures: number): CallCounts => ({
  serverId: id(serverId),
  route: ROUTE,
  successes,
  failures,
  slownessSum: successes + failures,
});

describe('call outcomes of other routers', () => {
  it('eject a failing server to which this router alone has sent too few calls', () => {
    const { detector, tracker } = createTracker();
    tracker.onPeerCounts(HOST, 'boot-1', [], 0);
    SERVERS.forEach((name) => tracker.onOwnOutcome(id(name), ROUTE, GOOD, 0));
    tracker.onPeerCounts(
      HOST,
      'boot-1',
      [counts('a1', 0, 12), counts('b1', 12, 0), counts('c1', 12, 0)],
      50,
    );
    expect(SERVERS.map((name) => detector.weight(name, ROUTE) > 0.5)).toEqual([false, true, true]);
    expect(detector.ejectedCount('shop')).toBe(1);
  });

  it('are fed once, and not if they were counted before the first update of a router', () => {
    const { detector, tracker } = createTracker();
    const peerCounts = [counts('a1', 0, 6), counts('b1', 12, 0), counts('c1', 12, 0)];
    tracker.onPeerCounts(HOST, 'boot-1', peerCounts, 0);
    for (let no = 0; no < 5; no += 1) tracker.onPeerCounts(HOST, 'boot-1', peerCounts, no);
    expect(detector.weight('a1', ROUTE)).toBe(1);
    // The counts of a restarted router start from zero.
    tracker.onPeerCounts(HOST, 'boot-2', [], 10);
    tracker.onPeerCounts(HOST, 'boot-2', [counts('a1', 0, 6)], 11);
    expect(detector.weight('a1', ROUTE)).toBeLessThan(1);
  });

  it('are shared while they are recent, and dropped for servers that have left', () => {
    const { tracker } = createTracker();
    tracker.onOwnOutcome(id('a1'), ROUTE, BAD, 0);
    tracker.onOwnOutcome(id('b1'), ROUTE, GOOD, 2_000);
    tracker.onOwnOutcome(id('b1'), ROUTE, BAD, 2_100);
    expect(tracker.recentCounts(3_000)).toEqual([counts('b1', 1, 1)]);
    tracker.retain(new Set([id('a1')]));
    expect(tracker.recentCounts(2_100)).toEqual([counts('a1', 0, 1)]);
  });

  it('reveal a failing server after less than a third of the failures that routers see alone', () => {
    const failures = (sharesCounts: boolean): number => {
      const random = createRandom(7);
      const routers = Array.from({ length: 60 }, () => createTracker());
      let failed = 0;
      routers.forEach(({ tracker }, no) => {
        routers.forEach((_, other) => {
          if (other !== no) tracker.onPeerCounts(asId<HostId>(`host-${other}`), 'boot-1', [], 0);
        });
      });
      for (let nowMs = 0; nowMs < 4_000; nowMs += 20) {
        const no = Math.floor(random() * routers.length);
        const { detector, tracker } = routers[no] ?? createTracker();
        const start = Math.floor(random() * SERVERS.length);
        const order = SERVERS.map((_, at) => SERVERS[(start + at) % SERVERS.length] ?? '');
        const chosen = order.find((name) => detector.weight(name, ROUTE) > 0.5) ?? order[0] ?? '';
        if (chosen === 'a1') failed += 1;
        tracker.onOwnOutcome(id(chosen), ROUTE, chosen === 'a1' ? BAD : GOOD, nowMs);
        if (!sharesCounts) continue;
        routers.forEach((router, other) => {
          if (other === no) return;
          router.tracker.onPeerCounts(
            asId<HostId>(`host-${no}`),
            'boot-1',
            tracker.recentCounts(nowMs),
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
