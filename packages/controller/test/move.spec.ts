import { describe, expect, it } from 'vitest';
import { createLeaseKeeper, createMoveRunner } from '../src/index';
import {
  createManualClock,
  createMemoryConfig,
  createMemoryFleet,
  createMemoryTables,
  createMove,
} from './world';
import type { JsonValue } from '@mimosamill/adapters';
import type { MoveRecord } from '@mimosamill/core';

describe('move runner', () => {
  it('steps an ordered move to the end and records it done once, before its deadline', async () => {
    const clock = createManualClock();
    const tables = createMemoryTables();
    const config = createMemoryConfig();
    const ended: MoveRecord[] = [];
    const settings = { duty: 'moves', holder: 'host-1', termMs: 10_000 };
    const lease = createLeaseKeeper(settings, tables, clock);
    const runner = createMoveRunner({
      tables,
      clock,
      lease,
      config,
      fleet: createMemoryFleet(10),
      withdrawnReason: () => undefined,
      onEnded: (record) => ended.push(record),
      onReversed: () => undefined,
    });
    const value = { ...createMove(600_000) } as unknown as JsonValue;
    await tables.commit({ conditions: [], writes: [{ kind: 'put', key: 'moves/m-1', value }] });
    const shares: string[] = [];
    while (clock.nowMs() < 700_000) {
      clock.advance(500);
      await lease.poll();
      await runner.poll();
      const share = config.current().candidate?.shareRatio ?? 0;
      const line = `${config.current().stableVersion} ${share}`;
      if (shares.at(-1)?.endsWith(line) !== true) shares.push(`${clock.nowMs()} ms ${line}`);
    }
    expect(ended.map(({ state, reason }) => ({ state, reason }))).toEqual([
      { state: 'done', reason: 'all steps passed' },
    ]);
    expect(ended[0]?.endedAtMs).toBeLessThanOrEqual(600_000);
    expect(shares).toMatchSnapshot();
  });
});
