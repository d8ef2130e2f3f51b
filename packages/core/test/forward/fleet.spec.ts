import { describe, expect, it } from 'vitest';
import { createFleet, createPeerRegistry, createPlacer, asId } from '../../src/index';
import { createRandom, hash32, id, CAPACITY, requestId, server } from './fixtures';
import type { ServerId } from '../../src/index';

const GUIDE = asId<ReturnType<typeof server>['service']>('guide');

function createFleetOf(...names: string[]) {
  const fleet = createFleet();
  fleet.setServers(
    names.map((name) => server(name)),
    0,
  );
  return fleet;
}

describe('the state of the fleet', () => {
  it('suspects the rest of a failure domain once a third of it is lost together', () => {
    const fleet = createFleetOf('a1', 'a2', 'a3', 'a4', 'b1', 'b2');
    expect(fleet.onFailure(id('a1'), 'silent', 1_000).suspectedDomain).toBeUndefined();
    expect(fleet.onFailure(id('a2'), 'silent', 1_200).suspectedDomain).toBe('domain-a');
    const a3 = fleet.get(id('a3'));
    const b1 = fleet.get(id('b1'));
    expect(a3 && fleet.isSuspected(a3, 1_300)).toBe(true);
    expect(b1 && fleet.isSuspected(b1, 1_300)).toBe(false);
  });

  it('counts repeated refusals of one server as one loss, not as a lost failure domain', () => {
    // Guards against suspecting a domain because each retry of a replaced engine counts as a loss.
    const fleet = createFleetOf('a1', 'a2', 'a3', 'a4', 'a5', 'a6');
    fleet.onFailure(id('a1'), 'refused', 1_000);
    fleet.onFailure(id('a1'), 'refused', 5_000);
    expect(fleet.onFailure(id('a2'), 'refused', 5_100).suspectedDomain).toBeUndefined();
  });

  it('trusts received bytes over the suspicion and over an older failure that a peer saw', () => {
    const fleet = createFleetOf('a1', 'a2', 'a3');
    fleet.onFailure(id('a1'), 'silent', 1_000);
    fleet.onFailure(id('a2'), 'silent', 1_000);
    fleet.onBytesReceived(id('a3'), 1_100);
    const a3 = fleet.get(id('a3'));
    expect(a3 && fleet.isSuspected(a3, 1_200)).toBe(false);
    expect(fleet.onPeerFailure(id('a3'), 'silent', 1_050)).toBeUndefined();
    expect(fleet.onPeerFailure(id('a3'), 'silent', 1_150)).toBeDefined();
  });

  it('does not use a server whose address another process has, until its entry changes', () => {
    const fleet = createFleetOf('a1', 'b1');
    fleet.onFailure(id('a1'), 'misdirected', 1_000);
    expect(fleet.usable(GUIDE).map(({ server: { serverId } }) => serverId)).toEqual(['b1']);
    fleet.setServers([{ ...server('a1'), startedAtMs: 2 }, server('b1')], 0);
    expect(fleet.usable(GUIDE)).toHaveLength(2);
  });

  it('chooses no leaving or replaced engine for a stream, even if its KV cache copy is there', () => {
    // Guards against requests at an engine that said long ago that it is leaving.
    const fleet = createFleetOf('a1', 'b1', 'c1');
    const placer = createPlacer(fleet, createPeerRegistry(), asId('host'), hash32);
    const place = (engine: string) =>
      placer.placeStream(
        {
          service: GUIDE,
          capacity: CAPACITY,
          promptTokens: 10,
          excluded: new Set(),
          excludedCopyHolders: new Set(),
          limitDraw: 0,
          fixedEngineId: id(engine),
        },
        5_000,
        createRandom(1),
      );
    expect(place('a1')).toMatchObject({ kind: 'ok', engineId: 'a1' });
    fleet.setServers([{ ...server('a1'), isLeaving: true }, server('b1'), server('c1')], 1_000);
    fleet.onFailure(id('b1'), 'misdirected', 1_000);
    expect([place('a1').kind, place('b1').kind, place('gone').kind]).toEqual([
      'none',
      'none',
      'none',
    ]);
  });

  it('puts no copy on an excluded holder, and resumes no stream from one there', () => {
    // Guards against streams that go on at a version which was rolled back.
    const fleet = createFleetOf('a1', 'b1', 'c1');
    const placer = createPlacer(fleet, createPeerRegistry(), asId('host'), hash32);
    const input = {
      service: GUIDE,
      capacity: CAPACITY,
      promptTokens: 10,
      excluded: new Set<ServerId>(),
      excludedCopyHolders: new Set([id('b1')]),
      limitDraw: 0,
    };
    for (let seed = 1; seed < 20; seed += 1) {
      expect(placer.placeCopy(id('a1'), input, 0, createRandom(seed))).toBe('c1');
    }
    const resumed = placer.placeStream({ ...input, fixedEngineId: id('b1') }, 0, createRandom(1));
    expect(resumed.kind).toBe('none');
  });

  it('resets the state of a server that restarted under the same id', () => {
    const fleet = createFleetOf('a1');
    fleet.onSent(id('a1'), requestId('r'), 100, 0);
    const change = fleet.setServers([{ ...server('a1'), startedAtMs: 7 }], 0);
    expect(change.restarted.map(({ serverId }) => serverId)).toEqual(['a1']);
    expect(fleet.get(id('a1'))?.ownRunning).toBe(0);
  });

  it('uses no server that said it leaves, though a later list shows it ready, until it starts anew', () => {
    // Guards against a late, expired or restored entry that brings a leaving server back.
    const fleet = createFleetOf('a1', 'b1');
    const usable = () => fleet.usable(GUIDE).map(({ server: { serverId } }) => serverId);
    expect(fleet.onLeaving(server('a1'), 1_000)).toBe(true);
    expect(fleet.onLeaving(server('a1'), 1_100)).toBe(false);
    expect(usable()).toEqual(['b1']);
    expect(fleet.setServers([server('a1'), server('b1')], 2_000).returned).toEqual([]);
    expect(usable()).toEqual(['b1']);
    fleet.setServers([server('b1')], 3_000);
    fleet.setServers([server('a1'), server('b1')], 4_000);
    expect(usable()).toEqual(['b1']);
    fleet.setServers([server('a1'), server('b1')], 4_000_000);
    fleet.onLeaving(server('b1'), 4_000_001);
    expect(usable()).toEqual([]);
    const restarted = fleet.setServers(
      [{ ...server('a1'), startedAtMs: 9 }, server('b1')],
      4_001_000,
    );
    expect(restarted.restarted.map(({ serverId }) => serverId)).toEqual(['a1']);
    expect(usable()).toEqual(['a1']);
  });

  it('uses a restarted server although a late answer of its earlier start says that it leaves', () => {
    const fleet = createFleetOf('a1');
    fleet.setServers([{ ...server('a1'), startedAtMs: 7 }], 1_000);
    expect(fleet.onLeaving(server('a1'), 1_100)).toBe(false);
    fleet.setServers([{ ...server('a1'), startedAtMs: 7 }], 1_200);
    expect(fleet.usable(GUIDE)).toHaveLength(1);
  });

  it('places neither a stream nor a copy on an engine that said it leaves', () => {
    const fleet = createFleetOf('a1', 'b1');
    const placer = createPlacer(fleet, createPeerRegistry(), asId('host'), hash32);
    const input = {
      service: GUIDE,
      capacity: CAPACITY,
      promptTokens: 10,
      excluded: new Set<ServerId>(),
      excludedCopyHolders: new Set<ServerId>(),
      limitDraw: 0,
    };
    fleet.onLeaving(server('b1'), 1_000);
    expect(placer.placeCopy(id('a1'), input, 1_000, createRandom(1))).toBeUndefined();
    const resumed = placer.placeStream(
      { ...input, fixedEngineId: id('b1') },
      1_000,
      createRandom(1),
    );
    expect(resumed.kind).toBe('none');
    const placed = placer.placeStream({ ...input, isFailover: true }, 1_000, createRandom(1));
    expect(placed).toMatchObject({ kind: 'ok', engineId: 'a1', copyEngineId: undefined });
  });

  it('avoids engines with a late first event without treating them or their domain as lost', () => {
    // Guards against moving all streams of an engine that only has a long queue of prefills.
    const fleet = createFleetOf('a1', 'a2', 'a3');
    const own = fleet.onFailure(id('a1'), 'unread', 1_000);
    const fromPeer = fleet.onPeerFailure(id('a2'), 'unread', 1_010);
    expect([own, fromPeer]).toEqual([
      { avoidMs: 1_500, suspectedDomain: undefined },
      { avoidMs: 1_500, suspectedDomain: undefined },
    ]);
    expect(fleet.get(id('a1'))?.lostAtMs).toBeUndefined();
    fleet.onFailure(id('a1'), 'silent', 1_020);
    expect(fleet.onFailure(id('a2'), 'silent', 1_030).suspectedDomain).toBe('domain-a');
  });

  it('assumes that an engine does its prefills one after the other', () => {
    const fleet = createFleetOf('a1');
    fleet.onSent(id('a1'), requestId('r1'), 5_000, 0);
    fleet.onSent(id('a1'), requestId('r2'), 5_000, 0);
    const [load] = fleet.ownLoads(1_000, 0.2);
    expect(load?.prefillMs).toBe(1_000);
  });
});

describe('a server that turned a request away for some time', () => {
  const CLAIM = { service: GUIDE, draw: 0, isFailover: false };
  const FAILOVER = { ...CLAIM, isFailover: true };
  const open = (fleet: ReturnType<typeof createFleet>, nowMs: number, claim = CLAIM) =>
    fleet.withRoom(GUIDE, claim, nowMs).map(({ server: { serverId } }) => serverId);

  it('gets no call, stream or copy until then, although all other servers are avoided', () => {
    // Guards against a choice that only weighs the pause.
    const fleet = createFleetOf('a1', 'b1');
    const placer = createPlacer(fleet, createPeerRegistry(), asId('host'), hash32);
    const input = {
      service: GUIDE,
      capacity: CAPACITY,
      promptTokens: 10,
      excluded: new Set<ServerId>(),
      excludedCopyHolders: new Set<ServerId>(),
      limitDraw: 0,
      route: 'r',
    };
    expect(fleet.onPause(server('b1'), 3_000, 1_000)).toBe(true);
    fleet.onFailure(id('a1'), 'refused', 1_000);
    fleet.onFailure(id('a1'), 'refused', 2_000);
    fleet.onFailure(id('a1'), 'refused', 3_500);
    for (const nowMs of [1_001, 2_500, 3_999]) {
      const random = createRandom(nowMs);
      expect(placer.placeCall(input, nowMs, random)).toBe('a1');
      for (const isFailover of [false, true]) {
        const placed = placer.placeStream({ ...input, isFailover }, nowMs, random);
        expect(placed).toMatchObject({ engineId: 'a1', copyEngineId: undefined });
      }
      const fixed = placer.placeStream({ ...input, fixedEngineId: id('b1') }, nowMs, random);
      expect(fixed.kind).toBe('none');
      expect(placer.placeCopy(id('a1'), input, nowMs, random)).toBeUndefined();
    }
    expect(placer.placeCall(input, 4_000, createRandom(1))).toBe('b1');
  });

  it('stays closed for the longest time that it named, to streams that lost their engine too', () => {
    const fleet = createFleetOf('a1');
    fleet.onPause(server('a1'), 2_000, 1_000);
    expect(fleet.onPause(server('a1'), 500, 1_100)).toBe(false);
    expect(open(fleet, 2_999)).toEqual([]);
    expect(open(fleet, 2_999, FAILOVER)).toEqual([]);
    expect(open(fleet, 3_000)).toEqual(['a1']);
  });

  it('stays closed when its entry expires and comes back, and opens with a new start', () => {
    const fleet = createFleetOf('a1');
    fleet.onPause(server('a1'), 9_000, 1_000);
    fleet.setServers([], 1_500);
    fleet.setServers([server('a1')], 2_000);
    expect(open(fleet, 2_100)).toEqual([]);
    fleet.setServers([{ ...server('a1'), startedAtMs: 5 }], 3_000);
    expect(open(fleet, 3_100)).toEqual(['a1']);
    fleet.onPause(server('a1'), 9_000, 3_200);
    expect(open(fleet, 3_300)).toEqual(['a1']);
  });

  it('has room when its pause is over and its limit allows it', () => {
    const fleet = createFleetOf('a1', 'b1');
    fleet.onPause(server('a1'), 2_000, 1_000);
    expect(fleet.roomInMs(GUIDE, 1_100)).toBe(0);
    fleet.onPause(server('b1'), 700, 1_000);
    expect(fleet.roomInMs(GUIDE, 1_100)).toBe(600);
    fleet.limits.onAnswer(id('b1'), 0.5, 1_000);
    fleet.limits.onSent(id('b1'), 1_000);
    fleet.limits.onSent(id('b1'), 1_000);
    expect(fleet.roomInMs(GUIDE, 1_100)).toBe(1_900);
  });
});

describe('placement of streams', () => {
  const input = {
    service: GUIDE,
    capacity: CAPACITY,
    promptTokens: 5_000,
    excluded: new Set<never>(),
    excludedCopyHolders: new Set<never>(),
    limitDraw: 0,
  };

  function createPlacerOf(...names: string[]) {
    const fleet = createFleetOf(...names);
    const peers = createPeerRegistry();
    return { fleet, peers, placer: createPlacer(fleet, peers, asId('host-1'), hash32) };
  }

  it('places the copy in another failure domain than the engine', () => {
    const { placer } = createPlacerOf('a1', 'a2', 'a3', 'b1', 'c1');
    const random = createRandom(1);
    for (let at = 0; at < 50; at += 1) {
      const placed = placer.placeStream(input, at, random);
      if (placed.kind !== 'ok') throw new Error('no engine');
      expect(placed.copyEngineId?.slice(0, 1)).not.toBe(placed.engineId.slice(0, 1));
    }
  });

  it('sends no prompt to an engine that does a prefill for another router', () => {
    const { placer, peers } = createPlacerOf('a1', 'b1');
    peers.onUpdate(
      {
        hostId: asId('host-2'),
        failureDomain: asId('domain-a'),
        incarnationId: 'x',
        sequence: 1,
        canReadStore: true,
        loads: [{ serverId: id('a1'), running: 1, prefillMs: 900, copies: 0, tokens: 5_000 }],
        failures: [],
        moves: [],
        callCounts: [],
      },
      '10.0.0.9:1',
      1_000,
    );
    const random = createRandom(2);
    const engines = Array.from({ length: 20 }, () => placer.placeStream(input, 1_100, random));
    expect(new Set(engines.map((each) => (each.kind === 'ok' ? each.engineId : '')))).toEqual(
      new Set(['b1']),
    );
  });

  it('prefers a busy engine to one that refused a connection a moment ago', () => {
    const { placer, fleet } = createPlacerOf('a1', 'b1');
    fleet.onFailure(id('a1'), 'refused', 1_000);
    for (let at = 0; at < 6; at += 1) fleet.onSent(id('b1'), requestId(`r${at}`), 5_000, 1_000);
    const placed = placer.placeStream(input, 1_100, createRandom(3));
    expect(placed.kind === 'ok' && placed.engineId).toBe('b1');
  });

  it('uses no leaving server, and reports that none is listed when there is no other', () => {
    const { placer, fleet } = createPlacerOf('a1');
    fleet.setServers([{ ...server('a1'), isLeaving: true }], 0);
    expect(placer.placeStream(input, 0, createRandom(4))).toEqual({
      kind: 'none',
      reason: 'unlisted',
    });
  });
});

describe('updates of other routers', () => {
  const update = (sequence: number, incarnationId = 'x', failureNo = sequence) => ({
    hostId: asId<never>('host-2'),
    failureDomain: asId<never>('domain-a'),
    incarnationId,
    sequence,
    canReadStore: true,
    loads: [{ serverId: id('a1'), running: sequence, prefillMs: 0, copies: 0, tokens: 0 }],
    failures: [{ serverId: id('a1'), failure: 'silent' as const, failureNo, ageMs: 0 }],
    moves: [],
    callCounts: [],
  });

  it('ignores an update that a newer one overtook, and returns each failure once', () => {
    const peers = createPeerRegistry();
    expect(peers.onUpdate(update(2), '10.0.0.9:1', 0)).toHaveLength(1);
    expect(peers.onUpdate(update(1), '10.0.0.9:1', 10)).toBeUndefined();
    expect(peers.onUpdate(update(3, 'x', 2), '10.0.0.9:1', 20)).toEqual([]);
    expect(peers.loadAt(id('a1'), 20).running).toBe(3);
  });

  it('accepts the updates of a restarted router although its sequence starts again', () => {
    const peers = createPeerRegistry();
    peers.onUpdate(update(9), '10.0.0.9:1', 0);
    expect(peers.onUpdate(update(1, 'y'), '10.0.0.9:1', 10)).toHaveLength(1);
  });

  it('ignores the load of a router that stopped sending updates', () => {
    const peers = createPeerRegistry();
    peers.onUpdate(update(4), '10.0.0.9:1', 0);
    expect(peers.loadAt(id('a1'), 2_000).running).toBe(4);
    expect(peers.loadAt(id('a1'), 4_000).running).toBe(0);
    expect(peers.routers(4_000)).toEqual([]);
  });
});
