import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createLeaseManager, createMoveRunner } from '../src/index';
import {
  createManualClock,
  createMemoryVersionConfig,
  createMemoryFleet,
  createMemoryTables,
  createMoveRecord,
} from './fixtures';
import type { JsonValue, TableStore } from '@mimosamill/adapters';
import type { MoveRecord } from '@mimosamill/core';
import type { LeaseManager, MoveRunner } from '../src/index';
import type { CommitFault, ManualClock, MemoryVersionConfig, MemoryTables } from './fixtures';

interface ControllerHost {
  readonly lease: LeaseManager;
  readonly runner: MoveRunner;
  poll: () => Promise<void>;
}

interface ControllerHostOptions {
  readonly lease?: LeaseManager;
  readonly withdrawalReason?: () => string | undefined;
}

interface MoveFixture {
  readonly clock: ManualClock;
  readonly tables: MemoryTables;
  readonly config: MemoryVersionConfig;
  readonly ended: MoveRecord[];
  readonly reversed: string[];
  readonly createHost: (
    name: string,
    through?: TableStore,
    own?: ControllerHostOptions,
  ) => ControllerHost;
  readonly record: () => MoveRecord;
  withdrawnReason: string | undefined;
}

const DEADLINE_MS = 600_000;

async function createMoveFixture(): Promise<MoveFixture> {
  const clock = createManualClock();
  const tables = createMemoryTables();
  const config = createMemoryVersionConfig();
  const fleet = createMemoryFleet(10);
  const value = { ...createMoveRecord(DEADLINE_MS) } as unknown as JsonValue;
  await tables.commit({ conditions: [], writes: [{ kind: 'put', key: 'moves/m-1', value }] });
  const world: MoveFixture = {
    clock,
    tables,
    config,
    ended: [],
    reversed: [],
    withdrawnReason: undefined,
    record: () => tables.rows.get('moves/m-1')?.value as unknown as MoveRecord,
    createHost: (holder, through = tables, own = {}) => {
      const settings = { duty: 'moves', holder, termMs: 10_000 };
      const lease = own.lease ?? createLeaseManager(settings, through, clock);
      const withdrawalReason = own.withdrawalReason ?? (() => world.withdrawnReason);
      const runner = createMoveRunner({
        tables: through,
        clock,
        lease,
        config,
        fleet,
        withdrawals: { withdrawalReason, isFresh: () => true },
        onEnded: (record) => world.ended.push(record),
        onReversed: (_record, reason) => world.reversed.push(reason),
      });
      const poll = async (): Promise<void> => {
        await lease.poll();
        await runner.poll();
      };
      return { lease, runner, poll };
    },
  };
  return world;
}

/** Polls every host twice a second and notes each change that is visible from outside. */
async function runHosts(
  world: MoveFixture,
  hosts: readonly ControllerHost[],
  untilMs: number,
  onSecond: (nowMs: number) => void = () => undefined,
): Promise<string[]> {
  const lines: string[] = [];
  while (world.clock.nowMs() < untilMs) {
    world.clock.advance(500);
    onSecond(world.clock.nowMs());
    for (const host of hosts) await host.poll();
    const { stableVersion, candidate } = world.config.currentService();
    const { state, reason, stepShareRatio } = world.record();
    const share = candidate === undefined ? 'none' : `${candidate.version} ${candidate.shareRatio}`;
    const why = state === 'running' ? '' : ` (${reason})`;
    const line = `record ${state} ${stepShareRatio}${why}; stable ${stableVersion}; candidate ${share}`;
    if (lines.at(-1)?.endsWith(line) !== true) lines.push(`${world.clock.nowMs()} ms: ${line}`);
  }
  return lines;
}

describe('session of a move', () => {
  it('steps through the shares and ends done before the deadline', async () => {
    const world = await createMoveFixture();
    const lines = await runHosts(world, [world.createHost('a')], 700_000);
    expect(world.ended.map(({ state }) => state)).toEqual(['done']);
    expect(world.ended[0]?.endedAtMs).toBeLessThanOrEqual(DEADLINE_MS);
    expect(lines).toMatchSnapshot();
  });

  it('ends taken back after a withdrawal, through a lost answer and a change of holder', async () => {
    const world = await createMoveFixture();
    const first = world.createHost('a');
    const second = world.createHost('b');
    const paused: ControllerHost = {
      ...first,
      poll: async () => {
        if (world.clock.nowMs() < 250_000) await first.poll();
      },
    };
    const lines = await runHosts(world, [paused, second], 700_000, (nowMs) => {
      if (nowMs === 400_000) {
        world.withdrawnReason = 'withdrawn: failure on all routes: 20 pairs against, 0 for';
        world.tables.setNextCommitFaults(['answer_lost']);
      }
    });
    expect(world.ended.map(({ state }) => state)).toEqual(['taken_back']);
    expect(lines).toMatchSnapshot();
  });

  it('turns the traffic back when a withdrawal arrives after the end, and keeps the record', async () => {
    // Guards against a partitioned router's withdrawal being ignored, or rewriting the outcome.
    const world = await createMoveFixture();
    await runHosts(world, [world.createHost('a')], 800_000, (nowMs) => {
      if (nowMs === 700_000) world.withdrawnReason = 'withdrawn: late';
    });
    expect(world.record().state).toBe('done');
    expect(world.config.currentService().stableVersion).toBe('v1');
    expect(world.reversed).toEqual(['withdrawn: late']);
    expect(world.ended).toHaveLength(1);
  });

  it('takes back a move whose deadline passed while no controller was alive', async () => {
    const world = await createMoveFixture();
    const host = world.createHost('a');
    await runHosts(world, [host], 300_000);
    world.clock.advance(DEADLINE_MS);
    await runHosts(world, [world.createHost('b')], world.clock.nowMs() + 30_000);
    expect(world.record().state).toBe('taken_back');
    expect(world.config.currentService().candidate).toBeUndefined();
  });
});

describe('end of a move', () => {
  type Step =
    | { readonly kind: 'poll'; readonly host: number }
    /** Lets one table operation arrive or be answered. */
    | { readonly kind: 'advance' }
    | { readonly kind: 'wait'; readonly ms: number }
    | { readonly kind: 'faults'; readonly faults: readonly CommitFault[] }
    /** The host's process dies and another one starts. */
    | { readonly kind: 'replace'; readonly host: number }
    /** The router on one of the hosts learns of a withdrawal. */
    | { readonly kind: 'withdraw'; readonly host: number };

  const host = fc.nat(1);
  const faultArbitrary = fc.constantFrom<CommitFault>(
    'none',
    'answer_lost',
    'request_lost',
    'unavailable',
  );
  const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('poll' as const), host }) },
    { weight: 10, arbitrary: fc.constant({ kind: 'advance' as const }) },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant('wait' as const),
        ms: fc.integer({ min: 1, max: 5_000 }),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant('faults' as const),
        faults: fc.array(faultArbitrary, { maxLength: 4 }),
      }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('replace' as const), host }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('withdraw' as const), host }) },
  );

  /** A paused holder takes its lease for valid, so here both hosts always do. */
  const ALWAYS_HELD = {
    remainingMs: () => 10_000,
    heldForMs: () => 10_000,
    fencingNumber: () => 1,
    wasHandedOver: () => false,
    poll: async () => undefined,
    stop: () => undefined,
  };

  async function runInterleaved(
    steps: readonly Step[],
    startMs: number,
    scheduler: fc.Scheduler,
  ): Promise<MoveRecord['state']> {
    const world = await createMoveFixture();
    // The move stands before its last decision: done, withdrawn, or out of time.
    await runHosts(world, [world.createHost('first')], startMs);
    const through = withScheduledAnswers(world.tables, scheduler);
    const knowsWithdrawal = [false, false];
    const start = (index: number, name: string): ControllerHost =>
      world.createHost(name, through, {
        lease: { ...ALWAYS_HELD, holder: name },
        withdrawalReason: () => (knowsWithdrawal[index] ? 'withdrawn: test' : undefined),
      });
    const hosts = [start(0, 'a'), start(1, 'b')];
    const busy = [false, false];
    const states = new Set<string>();
    const look = (): void => {
      const { state } = world.record();
      if (state !== 'running') states.add(state);
      expect(states.size).toBeLessThanOrEqual(1);
      expect(world.ended.length).toBeLessThanOrEqual(1);
    };
    for (const [i, step] of steps.entries()) {
      if (step.kind === 'wait') world.clock.advance(step.ms);
      else if (step.kind === 'faults') world.tables.setNextCommitFaults(step.faults);
      else if (step.kind === 'withdraw') knowsWithdrawal[step.host] = true;
      else if (step.kind === 'replace') {
        hosts[step.host] = start(step.host, `host-${i}`);
        busy[step.host] = false;
      } else if (step.kind === 'poll') {
        if (!busy[step.host]) {
          const polled = hosts[step.host];
          busy[step.host] = true;
          void polled?.poll().then(() => {
            if (hosts[step.host] === polled) busy[step.host] = false;
          });
        }
      } else if (scheduler.count() > 0) await scheduler.waitOne();
      await Promise.resolve();
      look();
    }
    await scheduler.waitAll();
    world.tables.setNextCommitFaults([]);
    const isWithdrawn = knowsWithdrawal.includes(true);
    world.withdrawnReason = isWithdrawn ? 'withdrawn: test' : undefined;
    await runHosts(world, [world.createHost('last')], DEADLINE_MS + 100_000, look);
    const { state } = world.record();
    expect([...states]).toEqual([state]);
    const { stableVersion, candidate } = world.config.currentService();
    const isNew = state === 'done' && !isWithdrawn;
    expect([stableVersion, candidate]).toEqual([isNew ? 'v2' : 'v1', undefined]);
    return state;
  }

  it('is exactly one, reported at most once, under any interleaving of two holders', async () => {
    // Guards against two outcomes when a holder pauses inside a round, dies, or loses an answer.
    const ends = new Set<string>();
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 60, maxLength: 160 }),
        fc.constantFrom(569_500, 570_000, 570_500),
        fc.scheduler(),
        async (steps, startMs, scheduler) => {
          ends.add(await runInterleaved(steps, startMs, scheduler));
        },
      ),
      { numRuns: 200 },
    );
    expect([...ends].sort()).toEqual(['done', 'taken_back']);
  });
});

function withScheduledAnswers(tables: TableStore, scheduler: fc.Scheduler): TableStore {
  async function run<T>(name: string, operation: () => Promise<T>): Promise<T> {
    await scheduler.schedule(Promise.resolve(), `${name} arrives`);
    const answer = await operation();
    return scheduler.schedule(Promise.resolve(answer), `${name} is answered`);
  }
  return {
    read: (keys) => run('read', () => tables.read(keys)),
    scan: (prefix, after, limit) => run('scan', () => tables.scan(prefix, after, limit)),
    commit: (transaction) => run('commit', () => tables.commit(transaction)),
  };
}
