import { describe, expect, it } from 'vitest';
import { asId, createFleet, createPeerRegistry, UNKNOWN_ERA } from '@mimosamill/core';
import { createVersionMoves } from '../../src/forward/version-moves';
import { createOrderHistory } from '../../src/forward/order-history';
import { createManualClock } from './clock';
import type {
  FailureDomain,
  ForwardServer,
  HostId,
  MoveState,
  PeerMove,
  PeerRegistry,
  ServerId,
  ServiceName,
  VersionOrder,
} from '@mimosamill/core';
import type { MoveRecordOutcome } from '../../src/forward/version-moves';

const SERVICE = asId<ServiceName>('guide');
const UNSET = { era: UNKNOWN_ERA, revision: 0 };
const FORMER = asId<ServerId>('former');
const FRESH = asId<ServerId>('fresh');

function serverOf(serverId: ServerId, version: string): ForwardServer {
  return {
    serverId,
    service: SERVICE,
    address: `10.0.0.1:${version.length}`,
    failureDomain: asId('east'),
    version,
    slots: 8,
    isLeaving: false,
    startedAtMs: 1,
  };
}

const ORDER: VersionOrder = { service: SERVICE, version: 'v2', withinMs: 15_000 };

interface MoveWorld {
  readonly order: VersionOrder;
  readonly peerRegistry: PeerRegistry;
  readonly stored: MoveRecordOutcome;
  readonly isAccepting: () => boolean;
  readonly knownRouters: () => readonly HostId[] | undefined;
  readonly serverListAgeMs: () => number;
}

/** One router that moves a service with one server of each version, within 15 seconds. */
function createMoveOfService({
  order = ORDER,
  peerRegistry = createPeerRegistry(),
  stored = { kind: 'ok', record: undefined, at: UNSET },
  isAccepting = () => true,
  knownRouters = () => [],
  serverListAgeMs = () => 0,
}: Partial<MoveWorld> = {}) {
  const clock = createManualClock();
  const fleet = createFleet();
  fleet.setServers([serverOf(FORMER, 'v1'), serverOf(FRESH, 'v2')], 0);
  const ignore = (): undefined => undefined;
  let state: MoveState | undefined;
  const writes: MoveState[] = [];
  const moves = createVersionMoves(asId('host'), {
    clock,
    decisions: { routine: ignore, notable: ignore, vital: ignore, droppedCount: () => 0 },
    fleet,
    peerRegistry,
    hashes: { hash32: (text) => text.length, hash64: (text) => text },
    table: {
      read: () => Promise.resolve(stored),
      write: (_service, _version, written) => {
        state = written;
        writes.push(written);
        return Promise.resolve('ok');
      },
    },
    knownRouters,
    serverListAgeMs,
    isAccepting: () => Promise.resolve(isAccepting()),
    broadcastSoon: ignore,
    broadcastLater: ignore,
  });
  moves.setOrders([order]);
  return { clock, fleet, moves, state: () => state, writes };
}

async function advance(clock: ReturnType<typeof createManualClock>, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 100) {
    clock.advance(100);
    // The checks of servers and the write take some turns.
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
  }
}

/** Lets the new version answer well, as often as the former one. */
async function answerWell(
  { clock, moves }: Pick<ReturnType<typeof createMoveOfService>, 'clock' | 'moves'>,
  ms: number,
): Promise<void> {
  for (let passed = 0; passed < ms; passed += 500) {
    moves.trackAttempt(FORMER, 'answer').onAnswered(false);
    moves.trackAttempt(FRESH, 'answer').onAnswered(false);
    await advance(clock, 500);
  }
}

describe('a version whose answers are several times slower', () => {
  it('is rolled back although all its attempts are given up before their first event', async () => {
    // Guards against judging a version only by the answers that were fast enough to arrive.
    const { clock, moves, state } = createMoveOfService();
    for (let no = 0; no < 12; no += 1) {
      const former = moves.trackAttempt(FORMER, 'answer');
      const fresh = moves.trackAttempt(FRESH, 'answer');
      await advance(clock, 1_000);
      former.onAnswered(false);
      clock.runAfter(3_500, fresh.onGivenUp);
    }
    expect(state()).toBe('rolled_back');
  });

  it('is rolled back before its slow answers have ended', async () => {
    const { clock, moves, state } = createMoveOfService();
    for (let no = 0; no < 5; no += 1) {
      const former = moves.trackAttempt(FORMER, 'answer');
      moves.trackAttempt(FRESH, 'answer');
      await advance(clock, 500);
      former.onAnswered(false);
    }
    await advance(clock, 1_800);
    expect(state()).toBe('rolled_back');
  });

  it('is rolled back for attempts that were cancelled because a second one was faster', async () => {
    const { clock, moves, state } = createMoveOfService();
    for (let no = 0; no < 12; no += 1) {
      const former = moves.trackAttempt(FORMER, 'answer');
      const fresh = moves.trackAttempt(FRESH, 'answer');
      await advance(clock, 200);
      former.onAnswered(false);
      await advance(clock, 200);
      fresh.onOvertaken();
    }
    expect(state()).toBe('rolled_back');
  });

  it('is rolled back for the pace of its streams, whose first events are in time', async () => {
    const { clock, moves, state } = createMoveOfService();
    for (let no = 0; no < 6; no += 1) {
      moves.trackAttempt(FORMER, 'answer').onAnswered(false);
      moves.trackAttempt(FRESH, 'answer').onAnswered(false);
      const former = moves.trackAttempt(FORMER, 'pace');
      moves.trackAttempt(FRESH, 'pace');
      await advance(clock, 600);
      former.onAnswered(false);
    }
    await advance(clock, 2_000);
    expect(state()).toBe('rolled_back');
  });
});

describe('a version that is as slow as the former one', () => {
  it('is not rolled back when load makes both much slower than they were', async () => {
    // Guards against a mean that slow answers cannot raise, because they were counted while they ran.
    const { clock, moves, state } = createMoveOfService();
    moves.trackAttempt(FORMER, 'answer');
    for (let no = 0; no < 22; no += 1) {
      const former = moves.trackAttempt(FORMER, 'answer');
      const fresh = no % 3 === 0 ? moves.trackAttempt(FRESH, 'answer') : undefined;
      await advance(clock, no < 3 ? 100 : 600);
      former.onAnswered(false);
      fresh?.onAnswered(false);
    }
    expect(state()).not.toBe('rolled_back');
  });
});

describe('the KV cache copies during a move', () => {
  it('are kept off the new version until it has all traffic, and after a rollback', async () => {
    const { clock, moves, state } = createMoveOfService();
    await advance(clock, 500);
    expect([...moves.excludedCopyHolders(SERVICE)]).toEqual([FRESH]);
    for (let no = 0; no < 6; no += 1) moves.trackAttempt(FRESH, 'answer').onGivenUp();
    await advance(clock, 500);
    expect(state()).toBe('rolled_back');
    expect([...moves.excludedCopyHolders(SERVICE)]).toEqual([FRESH]);
  });

  it('are kept off the former version once the new one has all traffic', async () => {
    const { clock, moves, state } = createMoveOfService();
    for (let no = 0; no < 12; no += 1) {
      moves.trackAttempt(FRESH, 'answer').onAnswered(false);
      await advance(clock, 1_000);
    }
    expect(state()).toBe('completed');
    expect([...moves.excludedCopyHolders(SERVICE)]).toEqual([FORMER]);
  });
});

/** A registry that has heard of a move at a router whose process has ended since. */
function createRegistryWith(move: Pick<PeerMove, 'orderRevision' | 'state'>): PeerRegistry {
  const registry = createPeerRegistry();
  const evidence = { fresh: { answers: 40, bad: 0 }, former: { answers: 40, bad: 0 } };
  const update = {
    hostId: asId<HostId>('other'),
    failureDomain: asId<FailureDomain>('east'),
    incarnationId: 'ended',
    sequence: 1,
    canReadStore: true,
    loads: [],
    failures: [],
    moves: [{ service: SERVICE, version: 'v2', evidence, ...move }],
    callCounts: [],
  };
  registry.onUpdate(update, '10.0.0.2:1', -60_000);
  return registry;
}

// Guards against a bad version that gets all traffic because a good one of its name was moved to before.
describe('a second order to the same version', () => {
  const order = { ...ORDER, revision: 90 };

  it('does not end by what a router said of the first one', async () => {
    const peerRegistry = createRegistryWith({ orderRevision: 40, state: 'completed' });
    const { clock, moves, state } = createMoveOfService({ order, peerRegistry });
    await advance(clock, 500);
    expect(moves.ownMoves()).toMatchObject([{ orderRevision: 90, state: 'running' }]);
    for (let no = 0; no < 6; no += 1) moves.trackAttempt(FRESH, 'answer').onAnswered(true);
    await advance(clock, 500);
    expect(state()).toBe('rolled_back');
  });

  it('does not end by what was stored of the first one', async () => {
    const at = { era: UNKNOWN_ERA, revision: 60 };
    const record = { version: 'v2', state: 'completed' as const };
    const { clock, moves } = createMoveOfService({ order, stored: { kind: 'ok', record, at } });
    await advance(clock, 500);
    expect(moves.ownMoves()).toMatchObject([{ state: 'running' }]);
  });

  it('ends by what routers said of it, and by what was stored since', async () => {
    const peerRegistry = createRegistryWith({ orderRevision: 90, state: 'rolled_back' });
    const byPeer = createMoveOfService({ order, peerRegistry });
    const at = { era: UNKNOWN_ERA, revision: 91 };
    const record = { version: 'v2', state: 'completed' as const };
    const byStore = createMoveOfService({ order, stored: { kind: 'ok', record, at } });
    await advance(byPeer.clock, 500);
    await advance(byStore.clock, 500);
    expect(byPeer.moves.ownMoves()).toMatchObject([{ state: 'rolled_back' }]);
    expect(byStore.moves.ownMoves()).toMatchObject([{ state: 'completed' }]);
  });

  it('is one with the first if the operator has only written it again', async () => {
    const peerRegistry = createRegistryWith({ orderRevision: 95, state: 'completed' });
    const { clock, moves } = createMoveOfService({ order, peerRegistry });
    await advance(clock, 500);
    moves.setOrders([{ ...ORDER, revision: 95 }]);
    await advance(clock, 500);
    expect(moves.ownMoves()).toMatchObject([{ orderRevision: 95, state: 'completed' }]);
  });
});

describe('moves after the store came back from an older copy', () => {
  it('have their end written again when the copy lacks it', async () => {
    const { clock, moves, writes } = createMoveOfService();
    await advance(clock, 500);
    for (let no = 0; no < 6; no += 1) moves.trackAttempt(FRESH, 'answer').onGivenUp();
    await advance(clock, 500);
    expect(writes).toEqual(['rolled_back']);
    moves.onStoreRestored();
    await advance(clock, 3_000);
    expect(writes).toEqual(['rolled_back', 'rolled_back']);
  });

  it('do not start anew for an earlier order that only the copy shows', () => {
    const history = createOrderHistory();
    const order = (version: string) => ({ service: SERVICE, version, withinMs: 15_000 });
    const isNew = [
      history.isNew(order('v2'), false),
      history.isNew(order('v3'), false),
      history.isNew(order('v2'), true),
      history.isNew(order('v2'), false),
      history.isNew(order('v3'), false),
      history.isNew(order('v2'), false),
    ];
    expect(isNew).toEqual([true, true, false, false, false, true]);
  });

  it('do not start for an order from before the start of the router that only the copy shows', () => {
    const history = createOrderHistory();
    const order = (version: string) => ({ service: SERVICE, version, withinMs: 15_000 });
    const isNew = [
      history.isNew(order('v3'), false),
      history.isNew(order('v2'), true),
      history.isNew(order('v3'), false),
    ];
    expect(isNew).toEqual([true, false, false]);
  });
});

// Guards against stopping the former version's servers when the new one has none that could take their place.
describe('a move to a version whose servers', () => {
  it('are lost early is not completed, and is rolled back', async () => {
    const { clock, fleet, moves, state } = createMoveOfService();
    await advance(clock, 500);
    fleet.setServers([serverOf(FORMER, 'v1')], clock.monotonicMs());
    await advance(clock, 15_000);
    expect(state()).toBeUndefined();
    expect([...moves.excludedServers(SERVICE, 0)]).toEqual([]);
    await advance(clock, 5_000);
    expect(state()).toBe('rolled_back');
  });

  it('are lost late is not completed, and the former servers answer in the place of the new', async () => {
    const world = createMoveOfService();
    await answerWell(world, 5_000);
    world.fleet.onFailure(FRESH, 'refused', world.clock.monotonicMs());
    await advance(world.clock, 9_000);
    expect(world.state()).toBeUndefined();
    expect([...world.moves.excludedServers(SERVICE, 0)]).toEqual([]);
  });

  it('are back in time is completed', async () => {
    const world = createMoveOfService();
    await answerWell(world, 5_000);
    world.fleet.onFailure(FRESH, 'refused', world.clock.monotonicMs());
    await advance(world.clock, 5_000);
    world.fleet.onBytesReceived(FRESH, world.clock.monotonicMs());
    await advance(world.clock, 500);
    expect(world.state()).toBe('completed');
  });

  it('cannot be reached is not completed before they can', async () => {
    let isUp = false;
    const world = createMoveOfService({ isAccepting: () => isUp });
    await answerWell(world, 12_000);
    expect(world.state()).toBeUndefined();
    isUp = true;
    await advance(world.clock, 1_000);
    expect(world.state()).toBe('completed');
  });

  it('start late is completed only after good answers', async () => {
    const world = createMoveOfService();
    const { clock, fleet, moves, state } = world;
    fleet.setServers([serverOf(FORMER, 'v1')], clock.monotonicMs());
    await advance(clock, 12_000);
    fleet.setServers([serverOf(FORMER, 'v1'), serverOf(FRESH, 'v2')], clock.monotonicMs());
    await advance(clock, 1_000);
    expect(state()).toBeUndefined();
    for (let no = 0; no < 3; no += 1) moves.trackAttempt(FRESH, 'answer').onAnswered(false);
    await advance(clock, 500);
    expect(state()).toBe('completed');
  });
});

/** The other routers, each with a good answer of the new version, or with bad ones. */
function createOthers(names: readonly string[]) {
  const peerRegistry = createPeerRegistry();
  let sequence = 0;
  return {
    peerRegistry,
    knownRouters: () => names.map((name) => asId<HostId>(name)),
    /** Updates of some of them arrive. */
    tell: (nowMs: number, from: readonly string[], bad = 0): void => {
      sequence += 1;
      const evidence = { fresh: { answers: 20, bad }, former: { answers: 100, bad: 0 } };
      from.forEach((name) => {
        const update = {
          hostId: asId<HostId>(name),
          failureDomain: asId<FailureDomain>('east'),
          incarnationId: 'first',
          sequence,
          canReadStore: false,
          loads: [],
          failures: [],
          moves: [{ service: SERVICE, version: 'v2', state: 'running' as const, evidence }],
          callCounts: [],
        };
        peerRegistry.onUpdate(update, '10.0.0.2:1', nowMs);
      });
    },
  };
}

// Guards against a move that a router ends by what it knew before, while the others have turned the version down.
describe('a router that completes moves', () => {
  const NAMES = ['b', 'c', 'd', 'e'];

  async function listen(
    world: ReturnType<typeof createMoveOfService>,
    others: ReturnType<typeof createOthers>,
    ms: number,
    from = NAMES,
  ): Promise<void> {
    for (let passed = 0; passed < ms; passed += 500) {
      others.tell(world.clock.monotonicMs(), from);
      await answerWell(world, 500);
    }
  }

  it('does so while it hears most of the others', async () => {
    const others = createOthers(NAMES);
    const world = createMoveOfService(others);
    await listen(world, others, 8_000, ['b', 'c']);
    expect(world.state()).toBe('completed');
  });

  it('waits for their news after it stood still, and then rolls back what they turned down', async () => {
    const others = createOthers(NAMES);
    const world = createMoveOfService(others);
    await listen(world, others, 5_000);
    world.clock.standStill(2_400);
    await advance(world.clock, 100);
    // Read after the standstill, but sent at its beginning.
    others.tell(world.clock.monotonicMs(), NAMES);
    await advance(world.clock, 300);
    expect(world.state()).toBeUndefined();
    others.tell(world.clock.monotonicMs(), NAMES, 15);
    await advance(world.clock, 400);
    expect(world.state()).toBe('rolled_back');
  });

  it('does not do so after it stood still for so long that it has forgotten them', async () => {
    const others = createOthers(NAMES);
    const world = createMoveOfService(others);
    await listen(world, others, 5_000);
    world.clock.standStill(5_000);
    await advance(world.clock, 4_000);
    expect(world.state()).toBeUndefined();
    expect([...world.moves.excludedServers(SERVICE, 0.5)]).toEqual([FRESH]);
  });

  it.each([
    ['is cut off from most of them', () => ['b']],
    ['is cut off from all of them', () => []],
  ])('does not do so when it %s', async (_name, from) => {
    const others = createOthers(NAMES);
    const world = createMoveOfService(others);
    await listen(world, others, 3_000);
    await listen(world, others, 14_000, from());
    expect(world.state()).toBeUndefined();
  });

  it('does not do so after its start before it has read who the others are', async () => {
    const directory: { known: readonly HostId[] | undefined } = { known: undefined };
    const world = createMoveOfService({ knownRouters: () => directory.known });
    await answerWell(world, 9_000);
    expect(world.state()).toBeUndefined();
    directory.known = [];
    await answerWell(world, 500);
    expect(world.state()).toBe('completed');
  });

  it('does not do so by an old list of servers', async () => {
    const world = createMoveOfService({ serverListAgeMs: () => 20_000 });
    await answerWell(world, 14_000);
    expect(world.state()).toBeUndefined();
  });
});

describe('the answers that a router waited for while it stood still', () => {
  it('do not count as slow', async () => {
    // Guards against rolling back a sound version by the time that the router itself took.
    const world = createMoveOfService();
    await answerWell(world, 3_000);
    const attempts = Array.from({ length: 12 }, () => world.moves.trackAttempt(FRESH, 'answer'));
    world.clock.standStill(3_000);
    attempts.slice(0, 6).forEach(({ onAnswered }) => onAnswered(false));
    await advance(world.clock, 400);
    attempts.slice(6).forEach(({ onAnswered }) => onAnswered(false));
    await advance(world.clock, 400);
    const [move] = world.moves.ownMoves();
    expect([move?.state, move?.evidence.fresh.bad]).toEqual(['completed', 0]);
  });
});
