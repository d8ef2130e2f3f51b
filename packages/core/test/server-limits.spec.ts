import * as fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { describe, expect, it } from 'vitest';
import { asId, createServerLimits } from '../src/index';
import type { HostId, ServerId, ServerLimits, ServiceName } from '../src/index';

const SERVER = asId<ServerId>('s1');
const OTHER = asId<ServerId>('s2');
const SERVICE = asId<ServiceName>('shop');
const NEW = { service: SERVICE, draw: 0.5, isFailover: false };
const FAILOVER = { ...NEW, isFailover: true };
const RULE_WINDOW_MS = 4_000;
const STEP_MS = 5;
const RUN_MS = 12_000;
const HEARTBEAT_MS = 1_000;

interface Play {
  readonly routerCount: number;
  readonly limitPerSec: number;
  readonly offeredPerSec: number;
  readonly delayMs: number;
  readonly lossRatio: number;
  readonly seed: number;
}

/** Routers that hear of each other's requests late, or not at all, and try to send at random. */
function sentTimes(play: Play): number[] {
  const rng = xoroshiro128plus(play.seed);
  const random = (): number => uniformInt(rng, 0, 999_999) / 1_000_000;
  const routers = Array.from({ length: play.routerCount }, (_, no) => ({
    hostId: asId<HostId>(`r${no}`),
    limits: createServerLimits(),
    reportAtMs: no * (HEARTBEAT_MS / play.routerCount),
  }));
  const inFlight: { readonly atMs: number; readonly apply: () => void }[] = [];
  const sent: number[] = [];

  function broadcast(sender: (typeof routers)[number], nowMs: number): void {
    const reports = sender.limits.ownReports(nowMs);
    routers.forEach((receiver) => {
      if (receiver === sender || random() < play.lossRatio) return;
      const atMs = nowMs + play.delayMs;
      const apply = (): void => {
        receiver.limits.onPeerReports(sender.hostId, reports, atMs);
      };
      inFlight.push({ atMs, apply });
    });
  }

  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    inFlight.filter(({ atMs }) => atMs === nowMs).forEach(({ apply }) => apply());
    if (random() < (play.offeredPerSec * STEP_MS) / 1_000) {
      const router = routers[Math.floor(random() * routers.length)];
      const claim = { ...NEW, draw: random() };
      router?.limits.onWanted(SERVICE, [SERVER], nowMs);
      if (router?.limits.hasRoom(SERVER, claim, nowMs) === true) {
        sent.push(nowMs);
        router.limits.onSent(SERVER, nowMs);
        router.limits.onAnswer(SERVER, play.limitPerSec, nowMs);
        broadcast(router, nowMs);
      }
    }
    routers.forEach((router) => {
      if (nowMs < router.reportAtMs) return;
      router.reportAtMs = nowMs + HEARTBEAT_MS;
      broadcast(router, nowMs);
    });
  }
  return sent;
}

function busiest(times: readonly number[]): number {
  return Math.max(
    ...times.map((from) => times.filter((at) => at >= from && at < from + RULE_WINDOW_MS).length),
  );
}

function limited(limitPerSec: number, sentCount: number, nowMs: number): ServerLimits {
  const limits = createServerLimits();
  limits.onAnswer(SERVER, limitPerSec, nowMs);
  for (let no = 0; no < sentCount; no += 1) limits.onSent(SERVER, nowMs);
  return limits;
}

describe('the limit that a server names for all routers together', () => {
  it('holds over all routers while reports are late or lost, and is used', () => {
    // Guards against routers that each use the whole limit, or that starve a server in need.
    fc.assert(
      fc.property(
        fc.record({
          routerCount: fc.integer({ min: 2, max: 40 }),
          limitPerSec: fc.constantFrom(0.5, 1, 2.9, 5.2, 12, 40),
          offeredPerSec: fc.constantFrom(20, 60, 120),
          delayMs: fc.constantFrom(15, 60),
          lossRatio: fc.constantFrom(0, 0.05),
          seed: fc.integer({ min: 1, max: 1_000_000 }),
        }),
        (play) => {
          const steady = sentTimes(play).filter((atMs) => atMs >= 3_000);
          expect(busiest(steady)).toBeLessThanOrEqual(1.5 * play.limitPerSec * 4 + 5);
          const seconds = (RUN_MS - 3_000) / 1_000;
          const wanted = Math.min(play.limitPerSec, play.offeredPerSec) * 0.8;
          expect(steady.length / seconds).toBeGreaterThanOrEqual(wanted);
        },
      ),
      { seed: 24, numRuns: 60 },
    );
  });

  it('binds routers that no server has told', () => {
    const told = limited(2, 5, 1_000);
    const untold = createServerLimits();
    const reports = told.ownReports(1_010);
    expect(untold.onPeerReports(asId('r1'), reports, 1_010)).toEqual([
      { serverId: SERVER, requestsPerSec: 2 },
    ]);
    expect(untold.hasRoom(SERVER, NEW, 1_020)).toBe(false);
    expect(untold.hasRoom(OTHER, NEW, 1_020)).toBe(true);
    expect(untold.hasRoom(SERVER, NEW, 3_300)).toBe(true);
  });

  it('ends with the first answer that does not name it, at the other routers too', () => {
    const told = limited(2, 5, 1_000);
    const other = createServerLimits();
    other.onPeerReports(asId('r1'), told.ownReports(1_000), 1_000);
    expect(told.onAnswer(SERVER, undefined, 1_500)).toEqual({
      serverId: SERVER,
      requestsPerSec: undefined,
    });
    expect(told.hasRoom(SERVER, NEW, 1_500)).toBe(true);
    expect(other.hasRoom(SERVER, NEW, 1_500)).toBe(false);
    other.onPeerReports(asId('r1'), told.ownReports(1_510), 1_510);
    expect(other.hasRoom(SERVER, NEW, 1_510)).toBe(true);
  });

  it('is not brought back by an older report of another router', () => {
    const limits = limited(2, 0, 1_000);
    const late = limits.ownReports(1_000);
    limits.onAnswer(SERVER, undefined, 1_200);
    expect(limits.onPeerReports(asId('r2'), late, 1_100)).toEqual([]);
    expect(limits.count(1_300)).toBe(0);
  });

  it('tells when the next request may be sent, and keeps some room for streams without an engine', () => {
    const limits = limited(2, 5, 1_000);
    expect(limits.hasRoom(SERVER, NEW, 1_400)).toBe(false);
    expect(limits.hasRoom(SERVER, FAILOVER, 1_400)).toBe(true);
    expect(limits.roomInMs([SERVER], 1_400)).toBe(1_600);
    expect(limits.roomInMs([SERVER, OTHER], 1_400)).toBe(0);
    expect(limits.hasRoom(SERVER, NEW, 3_000)).toBe(true);
  });

  it('costs a message few entries, however many servers name limits', () => {
    // Guards against messages between routers that fill the links of a large fleet.
    const limits = createServerLimits();
    const ids = Array.from({ length: 120 }, (_, no) => asId<ServerId>(`s${no}`));
    const reports = ids.map((serverId) => ({
      serverId,
      named: { requestsPerSec: 1, ageMs: 0 },
      sentByAge: [],
    }));
    limits.onPeerReports(asId('r1'), { servers: reports, demands: [] }, 1_000);
    limits.onWanted(SERVICE, ids, 1_100);
    limits.onSent(SERVER, 1_100);
    expect(limits.count(1_200)).toBe(120);
    const { servers, demands } = limits.ownReports(1_200);
    expect(servers.map(({ serverId }) => serverId)).toEqual([SERVER]);
    expect(demands).toEqual([{ service: SERVICE, requests: 1 }]);
  });

  it('is forgotten with the server, and after a time without answers', () => {
    const limits = limited(2, 5, 1_000);
    expect(limits.count(10_900)).toBe(1);
    expect(limits.count(11_000)).toBe(0);
    limits.onAnswer(SERVER, 2, 12_000);
    limits.forget(SERVER);
    expect(limits.hasRoom(SERVER, NEW, 12_000)).toBe(true);
  });
});
