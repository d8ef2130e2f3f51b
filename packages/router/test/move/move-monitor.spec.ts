import { describe, expect, it } from 'vitest';
import { asAttemptNo, asId, asRevision, FLEET_DEFAULTS } from '@mimosamill/core';
import { createRandom } from '@mimosamill/fakes';
import { createMovePeerRouter, createMoveMonitor, createWithdrawalGossip } from '../../src/index';
import type { Clock } from '@mimosamill/adapters';
import type {
  EngineId,
  EngineServiceConfig,
  FailureDomain,
  FleetConfig,
  GossipItem,
  MoveId,
  MoveRecord,
  Region,
  RequestId,
  RouterId,
  ServiceName,
  TeamId,
  VersionName,
  Withdrawal,
} from '@mimosamill/core';
import type { Member, MoveMonitor } from '../../src/index';

const SERVICE = asId<ServiceName>('lackschrift');
const OLD = asId<VersionName>('v1');
const NEW = asId<VersionName>('v2');
const MOVE = asId<MoveId>('m-1');
const RECORD: MoveRecord = {
  id: MOVE,
  service: SERVICE,
  fromVersion: OLD,
  toVersion: NEW,
  byMs: 600_000,
  state: 'running',
  reason: '',
  orderedBy: 'test',
  orderedAtMs: 0,
  stepShareRatio: 0.2,
};
const SERVICE_CONFIG: EngineServiceConfig = {
  kind: 'engine',
  name: SERVICE,
  team: asId<TeamId>('team'),
  model: 'm',
  adapters: ['a'],
  stableVersion: OLD,
  candidate: { moveId: MOVE, version: NEW, shareRatio: 0.2 },
  fencing: 'ignored',
};
const CONFIG: FleetConfig = {
  revision: asRevision(1),
  defaults: FLEET_DEFAULTS,
  exceptions: {},
  services: { [SERVICE]: SERVICE_CONFIG },
  customers: {},
  teams: {},
};

function createMember(name: string): Member {
  return {
    routerId: asId<RouterId>(name),
    address: '',
    peerAddress: name,
    region: asId<Region>('region'),
    failureDomain: asId<FailureDomain>('domain'),
    state: 'alive',
    incarnation: 1,
  };
}

/** Routers that report to each other, and whose gossip is delivered at once if it works. */
function createFleet(count: number, hasGossip: boolean, isConnected: () => boolean) {
  let nowMs = 0;
  const clock: Clock = {
    nowMs: () => nowMs,
    monotonicMs: () => nowMs,
    runAfter: () => () => undefined,
    runEvery: () => () => undefined,
  };
  const random = createRandom(7);
  const members = Array.from({ length: count }, (_, i) => createMember(`r-${i}`));
  const listeners: ((item: GossipItem) => void)[] = [];
  const withdrawn: { router: number; item: Withdrawal; origin: string }[] = [];
  const watches: MoveMonitor[] = members.map((self, router) =>
    createMoveMonitor({
      config: { current: () => CONFIG, onChange: () => undefined, notReadyReason: () => undefined },
      membership: { self: () => self, members: () => members, onChange: () => undefined },
      gossip: createWithdrawalGossip({
        publish: (item) => {
          if (hasGossip) listeners.forEach((fn) => fn({ ...item, expiresAtMs: item.ttlMs }));
        },
        onGossipItem: (_kind, fn) => listeners.push(fn),
      }),
      clock,
      hash: (text) => [...text].reduce((sum, c) => (sum * 31 + c.charCodeAt(0)) % 2 ** 32, 7),
      readRecord: async () => RECORD,
      sendEvidence: async (peer, message) => {
        if (!isConnected()) return undefined;
        const target = watches[members.findIndex((each) => each.routerId === peer.routerId)];
        if (target === undefined) return undefined;
        // The message takes the way through the procedure's schema, as over the network.
        const caller = createMovePeerRouter(target).createCaller({ remoteAddress: '' });
        return caller.evidence(message);
      },
      onWithdrawn: (item, origin) => withdrawn.push({ router, item, origin }),
    }),
  );

  function attempt(watch: MoveMonitor, isNew: boolean, attemptNo: number): void {
    const observer = watch.onAttempt({
      service: SERVICE,
      version: isNew ? NEW : OLD,
      attemptNo: asAttemptNo(attemptNo),
      route: 'a',
      group: isNew ? 'new' : 'control',
      controlLoadRatio: 0.3,
      engineId: asId<EngineId>(isNew ? 'e-new' : 'e-old'),
    });
    observer.onFirstToken(nowMs + 100);
    observer.onOutcome(isNew ? 'failed' : 'ok', nowMs + 200);
  }

  async function run(seconds: number, attemptNo = 1): Promise<void> {
    for (let i = 0; i < seconds; i += 1) {
      nowMs += 1_000;
      watches.forEach((watch) => {
        attempt(watch, random() < 0.5, attemptNo);
        attempt(watch, random() < 0.5, attemptNo);
      });
      for (const watch of watches) await watch.tick();
    }
  }

  return { watches, withdrawn, run };
}

describe('router in a version move', () => {
  it('withdraws a failing version from all routers on their merged evidence', async () => {
    const fleet = createFleet(6, true, () => true);
    // Six routers with two attempts a second need seconds; one router alone needs a minute.
    await fleet.run(20);
    expect(new Set(fleet.withdrawn.map(({ router }) => router)).size).toBe(6);
    const [first] = fleet.withdrawn;
    expect(first?.item).toMatchObject({ moveId: MOVE, version: NEW, fallback: OLD });
    expect(first?.item.reason).toContain('failure');
    fleet.watches.forEach((watch) => {
      for (let i = 0; i < 200; i += 1) {
        const choice = watch.chooseVersion(SERVICE_CONFIG, asId<RequestId>(`q-${i}`));
        expect(choice).toEqual({ kind: 'ok', version: OLD, group: 'other' });
      }
    });
  });

  it('learns of a withdrawal from the answers to its reports when gossip is lost', async () => {
    const fleet = createFleet(6, false, () => true);
    await fleet.run(30);
    expect(new Set(fleet.withdrawn.map(({ router }) => router)).size).toBe(6);
  });

  it('withdraws on its own evidence when it reaches no other router', async () => {
    // Guards against a partition in which a bad version goes on receiving requests.
    const fleet = createFleet(3, false, () => false);
    await fleet.run(120);
    expect(fleet.withdrawn.filter(({ origin }) => origin === 'own_evidence')).toHaveLength(3);
  });

  it('takes no evidence from the retries of a request', async () => {
    // Guards against one request that fails everywhere counting as many failures of a version.
    const fleet = createFleet(6, true, () => true);
    await fleet.run(60, 2);
    expect(fleet.withdrawn).toEqual([]);
  });

  it('refuses evidence that is not packed whole', async () => {
    const fleet = createFleet(2, true, () => true);
    const [watch] = fleet.watches;
    if (watch === undefined) throw new Error('no router');
    const caller = createMovePeerRouter(watch).createCaller({ remoteAddress: '' });
    const message = {
      moveId: MOVE,
      service: SERVICE,
      version: NEW,
      fallback: OLD,
      startMs: 0,
      byMs: 600_000,
      routeCount: 2,
      routerId: 'r-1',
      cells: 'AAAA',
      deaths: [],
    };
    expect(await caller.evidence(message)).toEqual({ withdrawals: [] });
    await expect(caller.evidence({ ...message, byMs: 'soon' as never })).rejects.toThrow();
  });
});
