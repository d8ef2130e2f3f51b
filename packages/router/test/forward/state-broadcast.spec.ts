import fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import { asId, createCallOutcomeTracker, createFleet, createPeerRegistry } from '@mimosamill/core';
import { createRetryBudgets } from '../../src/forward/retry-budgets';
import { createStateBroadcast } from '../../src/forward/state-broadcast';
import { createManualClock } from './clock';
import type {
  FailureDomain,
  Fingerprint,
  Fleet,
  ForwardServer,
  PromptPartId,
  RequestId,
  ServerId,
  ServiceName,
} from '@mimosamill/core';
import type { ManualClock } from './clock';
import type { CrashReports } from '../../src/forward/crash-guard';
import type { RetryBudgets } from '../../src/forward/retry-budgets';
import type { StateBroadcast } from '../../src/forward/state-broadcast';

const SERVERS = ['a1', 'b1', 'c1'];
const ROUTE = 'slots';
const RETRY_SLACK = 8;

function serverOf(name: string): ForwardServer {
  return {
    serverId: asId(name),
    service: asId('shop'),
    address: '10.0.0.1:1',
    failureDomain: asId('a'),
    version: '',
    slots: 6,
    isLeaving: false,
    startedAtMs: undefined,
  };
}

interface TestRouter {
  readonly broadcast: StateBroadcast;
  readonly fleet: Fleet;
  readonly callOutcomes: ReturnType<typeof createCallOutcomeTracker>;
  readonly retryBudgets: RetryBudgets;
  readonly sent: Buffer[];
  /** Names of the notable decisions that were logged. */
  readonly logged: string[];
  /** What the router tells of prompt parts, and what others told it. */
  readonly crashReports: { own: CrashReports; readonly received: CrashReports[] };
}

function createTestRouter(
  name: string,
  clock: ManualClock,
  peerCount = 1,
  linkMbps?: number,
): TestRouter {
  const fleet = createFleet();
  fleet.setServers(SERVERS.map(serverOf), 0);
  const callOutcomes = createCallOutcomeTracker(fleet.outlierDetector);
  const sent: Buffer[] = [];
  const logged: string[] = [];
  const crashReports: TestRouter['crashReports'] = {
    own: { crashes: [], answers: [], condemned: [] },
    received: [],
  };
  const retryBudgets = createRetryBudgets(
    { ratio: 0, slack: RETRY_SLACK },
    clock,
    () => 0,
    () => ({ known: 1, heard: 1 }),
  );
  const broadcast = createStateBroadcast(
    { hostId: asId(name), failureDomain: asId('a'), incarnationId: 'x', linkMbps },
    {
      clock,
      decisions: {
        routine: () => undefined,
        notable: (event) => logged.push(event),
        vital: () => undefined,
        droppedCount: () => 0,
      },
      fleet,
      peerRegistry: createPeerRegistry(),
      callOutcomes,
      retryBudgets,
      peers: {
        addresses: () => Array.from({ length: peerCount }, (_, no) => `10.0.0.9:${no + 1}`),
        onMessageFrom: () => undefined,
      },
      datagrams: () => ({
        send: (_, bytes) => sent.push(Buffer.from(bytes)),
        close: () => undefined,
      }),
      onDomainSuspected: () => undefined,
      onServerLost: () => undefined,
      prefillMsPerToken: () => 0.2,
      canReadStore: () => true,
      ownMoves: () => [],
      ownCrashReports: () => crashReports.own,
      onCrashReports: (reports) => crashReports.received.push(reports),
    },
  );
  return { broadcast, fleet, callOutcomes, retryBudgets, sent, logged, crashReports };
}

describe('the state broadcast between routers', () => {
  it('batches urgent changes briefly and others for longer, and sends at least once a second', () => {
    const clock = createManualClock();
    const { broadcast, sent } = createTestRouter('host-1', clock);
    broadcast.sendSoon();
    broadcast.sendSoon();
    clock.advance(15);
    expect(sent).toHaveLength(1);
    broadcast.sendLater();
    clock.advance(150);
    expect(sent).toHaveLength(1);
    clock.advance(50);
    expect(sent).toHaveLength(2);
    // The heartbeat period starts anew with each message.
    clock.advance(999);
    expect(sent).toHaveLength(2);
    clock.advance(1);
    expect(sent).toHaveLength(3);
  });

  it('batches for longer in a large fleet, so that the messages each router receives stay bounded', () => {
    const clock = createManualClock();
    const { broadcast, sent } = createTestRouter('host-1', clock, 100);
    clock.advance(1_000);
    sent.length = 0;
    broadcast.sendSoon();
    clock.advance(49);
    expect(sent).toHaveLength(0);
    clock.advance(1);
    expect(sent).toHaveLength(100);
    broadcast.sendLater();
    clock.advance(599);
    expect(sent).toHaveLength(100);
    clock.advance(1);
    expect(sent).toHaveLength(200);
  });

  it('tells of a stream that ends by a message of its own only among few routers', () => {
    // Guards against messages whose number grows with streams times routers.
    const clock = createManualClock();
    const few = createTestRouter('host-1', clock, 9);
    const many = createTestRouter('host-2', clock, 61);
    clock.advance(1_000);
    [few, many].forEach(({ broadcast, sent }) => {
      sent.length = 0;
      broadcast.sendWithNext();
    });
    clock.advance(999);
    expect([few.sent.length, many.sent.length]).toEqual([9, 0]);
    clock.advance(1);
    expect(many.sent).toHaveLength(61);
  });

  it('sends a failure at once, but one that others told of with the next batch among many routers', () => {
    // Guards against a message from each router to each other one for each server that is lost.
    const clock = createManualClock();
    const peerCount = 61;
    const teller = createTestRouter('host-1', clock, peerCount);
    const few = createTestRouter('host-2', clock, 9);
    const many = createTestRouter('host-3', clock, peerCount);
    clock.advance(1_000);
    [teller, few, many].forEach(({ sent }) => sent.splice(0));
    teller.broadcast.onServerFailure(asId('a1'), 'silent');
    expect(teller.sent).toHaveLength(peerCount);
    [few, many].forEach(({ broadcast }) => {
      broadcast.onMessage(teller.sent[0] ?? Buffer.alloc(0), '10.0.0.9:1');
      broadcast.onServerFailure(asId('a1'), 'silent');
    });
    expect([few.sent.length, many.sent.length]).toEqual([9, 0]);
    // Another kind of failure, or another server, is news.
    many.broadcast.onServerFailure(asId('a1'), 'refused');
    expect(many.sent).toHaveLength(peerCount);
    many.broadcast.onServerFailure(asId('b1'), 'silent');
    expect(many.sent).toHaveLength(2 * peerCount);
    // The batch of the known failure went with the first of these messages.
    clock.advance(100);
    expect(many.sent).toHaveLength(2 * peerCount);
    clock.advance(500);
    many.broadcast.onServerFailure(asId('a1'), 'silent');
    expect(many.sent).toHaveLength(3 * peerCount);
  });

  it('logs a server that many routers report once, and applies each of the reports', () => {
    // Guards against a line for each router and lost server, which drops lines that tell more.
    const clock = createManualClock();
    const receiver = createTestRouter('host-0', clock, 61);
    for (let no = 1; no <= 20; no += 1) {
      const { broadcast, sent } = createTestRouter(`host-${no}`, clock, 1);
      clock.advance(1);
      broadcast.onServerFailure(asId('a1'), 'silent');
      receiver.broadcast.onMessage(sent.at(-1) ?? Buffer.alloc(0), '10.0.0.9:1');
    }
    expect(receiver.logged).toEqual(['server.lost_by_peer']);
    expect(receiver.fleet.get(asId('a1'))?.avoidUntilMs).toBe(clock.monotonicMs() + 1_500);
  });

  it('keeps to its part of a narrow link when many servers are lost', () => {
    // Guards against messages that fill the link, so that connections to sound servers time out: with 40
    // servers lost in a second, a router sent its 60 peers over 3 MB, three times what the link carries.
    const bytesIn3Secs = (linkMbps: number | undefined): number => {
      const clock = createManualClock();
      const { broadcast, sent } = createTestRouter('host-1', clock, 60, linkMbps);
      clock.advance(1_000);
      sent.length = 0;
      for (let no = 0; no < 120; no += 1) {
        broadcast.onServerFailure(asId(`server-${no}`), 'refused');
        clock.advance(25);
      }
      return sent.reduce((total, { length }) => total + length + 42, 0);
    };
    const linkBytes = (10 * 125 * 3_000) / 1;
    expect(bytesIn3Secs(undefined)).toBeGreaterThan(linkBytes);
    expect(bytesIn3Secs(10)).toBeLessThan(linkBytes * 0.3);
    expect(bytesIn3Secs(1_000)).toBe(bytesIn3Secs(undefined));
  });

  it('counts the retries of the other routers in the budget of a service', () => {
    // Guards against routers that each spend what the service may get from all together.
    const clock = createManualClock();
    const service = asId<ServiceName>('shop');
    const sender = createTestRouter('host-1', clock);
    const receiver = createTestRouter('host-2', clock);
    const tell = (): void => {
      sender.broadcast.sendSoon();
      clock.advance(15);
      sender.sent.splice(0).forEach((bytes) => receiver.broadcast.onMessage(bytes, '10.0.0.1:1'));
    };
    clock.advance(10_000);
    tell();
    const before = receiver.retryBudgets.of(service).available();
    const budget = sender.retryBudgets.of(service);
    expect([budget.tryTake(), budget.tryTake()]).toEqual([true, true]);
    tell();
    expect(receiver.retryBudgets.of(service).available()).toBe(before - 2);
  });

  it('carries the reports on prompt parts, with times on the clock of the receiver', () => {
    // Guards against routers that each need their own crashes to recognise a part.
    const senderClock = createManualClock();
    const receiverClock = createManualClock();
    receiverClock.advance(50_000);
    const sender = createTestRouter('host-1', senderClock);
    const receiver = createTestRouter('host-2', receiverClock);
    const crash = {
      requestId: asId<RequestId>('r1'),
      isStream: false,
      fingerprint: asId<Fingerprint>('f1'),
      serverId: asId<ServerId>('a1'),
      failureDomain: asId<FailureDomain>('a'),
      parts: [asId<PromptPartId>('aa'), asId<PromptPartId>('bb')],
    };
    const reportsAt = (nowMs: number): CrashReports => ({
      crashes: [{ ...crash, atMs: nowMs - 300 }],
      answers: [{ suspect: asId<PromptPartId>('aa'), atMs: nowMs - 200 }],
      condemned: [
        {
          suspect: asId<PromptPartId>('bb'),
          condemnedAtMs: nowMs - 100,
          forMs: 5_000,
          outweighsAnswers: false,
        },
      ],
    });
    sender.crashReports.own = reportsAt(senderClock.monotonicMs() + 15);
    sender.broadcast.sendSoon();
    senderClock.advance(15);
    sender.sent.forEach((bytes) => receiver.broadcast.onMessage(bytes, '10.0.0.1:1'));
    expect(receiver.crashReports.received).toEqual([reportsAt(receiverClock.monotonicMs())]);
  });

  it('carries how long work takes on servers, and counts a report that is told twice once', () => {
    // Guards against routers that each take a slow engine for a usual one until they have used it.
    const clock = createManualClock();
    const sender = createTestRouter('host-1', clock);
    const receiver = createTestRouter('host-2', clock);
    const slow = asId<ServerId>('a1');
    const load = { running: 1, waiting: 0, slots: 6, workTimePercent: 160 };
    sender.fleet.onLoadReport(slow, load, clock.monotonicMs());
    const tell = (): void => {
      sender.broadcast.sendLater();
      clock.advance(200);
      sender.sent.splice(0).forEach((bytes) => receiver.broadcast.onMessage(bytes, '10.0.0.1:1'));
    };
    tell();
    const { pace } = receiver.fleet;
    expect(pace.isStated(asId('shop'))).toBe(true);
    expect(pace.ageMs(slow, clock.monotonicMs())).toBe(200);
    clock.advance(400);
    const before = pace.paceRatio(slow, clock.monotonicMs() + 200);
    expect(before).toBeGreaterThan(1.2);
    tell();
    expect(pace.paceRatio(slow, clock.monotonicMs())).toBeCloseTo(before, 6);
    clock.advance(1_000);
    tell();
    expect(sender.fleet.pace.ownReports(clock.monotonicMs())).toEqual([]);
  });

  it('carries the limits that servers name, and what was sent to them', () => {
    // Guards against routers that each use the whole limit of a server.
    const senderClock = createManualClock();
    const receiverClock = createManualClock();
    receiverClock.advance(50_000);
    const sender = createTestRouter('host-1', senderClock);
    const receiver = createTestRouter('host-2', receiverClock);
    const limited = asId<ServerId>('a1');
    sender.fleet.limits.onAnswer(limited, 0.5, senderClock.monotonicMs());
    sender.fleet.limits.onSent(limited, senderClock.monotonicMs());
    sender.fleet.limits.onSent(limited, senderClock.monotonicMs());
    sender.broadcast.sendSoon();
    senderClock.advance(15);
    sender.sent.forEach((bytes) => receiver.broadcast.onMessage(bytes, '10.0.0.1:1'));
    const nowMs = receiverClock.monotonicMs();
    const claim = { service: asId<ServiceName>('shop'), draw: 0, isFailover: false };
    expect(receiver.fleet.limits.count(nowMs)).toBe(1);
    expect(receiver.fleet.limits.hasRoom(limited, claim, nowMs)).toBe(false);
    expect(receiver.fleet.limits.hasRoom(asId('b1'), claim, nowMs)).toBe(true);
  });

  it('sends call results even if a stream of urgent messages keeps resetting the heartbeat', () => {
    const clock = createManualClock();
    const sender = createTestRouter('host-1', clock);
    const receiver = createTestRouter('host-2', clock);
    clock.advance(1_000);
    const recordResult = (name: string, isSuccess: boolean): void => {
      const serverId: ServerId = asId(name);
      const outcome = { isSuccess, slownessRatio: 1 };
      sender.callOutcomes.onOwnOutcome(serverId, ROUTE, outcome, clock.monotonicMs());
      if (!isSuccess) sender.broadcast.sendLater();
    };
    for (let no = 0; no < 60; no += 1) {
      SERVERS.forEach((name) => recordResult(name, name !== 'a1'));
      sender.broadcast.sendSoon();
      clock.advance(20);
    }
    sender.sent.forEach((bytes) => receiver.broadcast.onMessage(bytes, '10.0.0.1:1'));
    expect(receiver.fleet.outlierDetector.weight('a1', ROUTE)).toBeLessThan(0.3);
    expect(receiver.fleet.outlierDetector.weight('b1', ROUTE)).toBe(1);
  });
});

describe('a message that is no state of a router', () => {
  it('is ignored, whatever it holds', () => {
    // Guards against a malformed datagram that ends the process of each router it reaches.
    const clock = createManualClock();
    const { broadcast, sent } = createTestRouter('host-1', clock);
    const receiver = createTestRouter('host-2', clock);
    clock.advance(1_000);
    const whole = sent[0];
    if (whole === undefined) throw new Error('no message was sent');
    const state = unpack(whole) as unknown[];
    const odd = fc.anything({ withNullPrototype: false });
    fc.assert(
      fc.property(fc.nat({ max: state.length }), odd, fc.nat({ max: 400 }), (at, value, cut) => {
        const changed = state.with(Math.min(at, state.length - 1), value);
        const messages = [
          pack(changed),
          pack(value),
          whole.subarray(0, cut),
          pack(state.slice(0, at)),
        ];
        messages.forEach((bytes) => receiver.broadcast.onMessage(Buffer.from(bytes), '10.0.0.7:1'));
      }),
      { numRuns: 2_000, seed: 20_261_205 },
    );
    broadcast.stop();
  });
});
