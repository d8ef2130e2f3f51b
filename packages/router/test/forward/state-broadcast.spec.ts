import { describe, expect, it } from 'vitest';
import { asId, createCallOutcomeTracker, createFleet, createPeerRegistry } from '@mimosamill/core';
import { createStateBroadcast } from '../../src/forward/state-broadcast';
import { createManualClock } from './clock';
import type { Fleet, ForwardServer, ServerId } from '@mimosamill/core';
import type { ManualClock } from './clock';
import type { StateBroadcast } from '../../src/forward/state-broadcast';

const SERVERS = ['a1', 'b1', 'c1'];
const ROUTE = 'slots';

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

interface Teller {
  readonly news: StateBroadcast;
  readonly fleet: Fleet;
  readonly evidence: ReturnType<typeof createCallOutcomeTracker>;
  readonly sent: Buffer[];
}

function createTeller(name: string, clock: ManualClock, peerCount = 1): Teller {
  const fleet = createFleet();
  fleet.setServers(SERVERS.map(serverOf));
  const callOutcomes = createCallOutcomeTracker(fleet.outlierDetector);
  const sent: Buffer[] = [];
  const news = createStateBroadcast(
    { hostId: asId(name), failureDomain: asId('a'), incarnationId: 'x' },
    {
      clock,
      decisions: {
        routine: () => undefined,
        notable: () => undefined,
        vital: () => undefined,
        droppedCount: () => 0,
      },
      fleet,
      peerRegistry: createPeerRegistry(),
      callOutcomes,
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
    },
  );
  return { news, fleet, evidence: callOutcomes, sent };
}

describe('news between routers', () => {
  it('goes out soon for what choices depend on, later for the rest, and at least once a second', () => {
    const clock = createManualClock();
    const { news, sent } = createTeller('host-1', clock);
    news.sendSoon();
    news.sendSoon();
    clock.advance(15);
    expect(sent).toHaveLength(1);
    news.sendLater();
    clock.advance(150);
    expect(sent).toHaveLength(1);
    clock.advance(50);
    expect(sent).toHaveLength(2);
    // A heartbeat follows the last message, not a clock of its own.
    clock.advance(999);
    expect(sent).toHaveLength(2);
    clock.advance(1);
    expect(sent).toHaveLength(3);
  });

  it('gathers for longer in a large fleet, so that no host reads ever more messages', () => {
    const clock = createManualClock();
    const { news, sent } = createTeller('host-1', clock, 100);
    clock.advance(1_000);
    sent.length = 0;
    news.sendSoon();
    clock.advance(49);
    expect(sent).toHaveLength(0);
    clock.advance(1);
    expect(sent).toHaveLength(100);
    news.sendLater();
    clock.advance(599);
    expect(sent).toHaveLength(100);
    clock.advance(1);
    expect(sent).toHaveLength(200);
  });

  it('tells the results of calls although urgent messages go out all the time', () => {
    const clock = createManualClock();
    const teller = createTeller('host-1', clock);
    const listener = createTeller('host-2', clock);
    clock.advance(1_000);
    const note = (name: string, isSuccess: boolean): void => {
      const serverId: ServerId = asId(name);
      const outcome = { isSuccess, slownessRatio: 1 };
      teller.evidence.onOwnOutcome(serverId, ROUTE, outcome, clock.monotonicMs());
      if (!isSuccess) teller.news.sendLater();
    };
    for (let no = 0; no < 60; no += 1) {
      SERVERS.forEach((name) => note(name, name !== 'a1'));
      teller.news.sendSoon();
      clock.advance(20);
    }
    teller.sent.forEach((bytes) => listener.news.onMessage(bytes, '10.0.0.1:1'));
    expect(listener.fleet.outlierDetector.weight('a1', ROUTE)).toBeLessThan(0.3);
    expect(listener.fleet.outlierDetector.weight('b1', ROUTE)).toBe(1);
  });
});
