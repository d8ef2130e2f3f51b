import { createHash } from 'node:crypto';
import { describe, expect, it } from 'vitest';
import { createSystemClock } from '@mimosamill/adapters';
import { asId, createRetryBudget, RETRY_BUDGET_DEFAULTS } from '@mimosamill/core';
import { createCalls } from '../src/index';
import type { Row, ServiceClient, Tables } from '@mimosamill/adapters';
import type { Calls } from '../src/index';

const REQUEST = {
  service: asId<never>('werkbuch'),
  operation: 'book',
  customerId: asId<never>('lackner'),
  body: '{"slot":7}',
  deadlineMs: 5_000,
};

function createMemoryTables(): Tables {
  const rows = new Map<string, Row>();
  return {
    read: async (keys) => ({
      kind: 'ok',
      rows: keys.flatMap((key) => rows.get(key) ?? []),
    }),
    scan: async () => ({ kind: 'ok', rows: [] }),
    commit: async ({ conditions, writes }) => {
      const isMet = conditions.every((condition) => {
        const version = rows.get(condition.key)?.version;
        return condition.kind === 'absent' ? version === undefined : version === condition.version;
      });
      if (!isMet) {
        return { kind: 'conflict', rows: conditions.flatMap(({ key }) => rows.get(key) ?? []) };
      }
      writes.forEach((write) => {
        if (write.kind === 'delete') return;
        const version = (rows.get(write.key)?.version ?? 0) + 1;
        rows.set(write.key, { key: write.key, version, value: write.value });
      });
      return { kind: 'ok' };
    },
  };
}

function createRouter(routerId: string, tables: Tables, services: ServiceClient): Calls {
  let ids = 0;
  return createCalls({
    routerId: asId(routerId),
    clock: createSystemClock(),
    tables,
    services,
    servers: { pick: () => '127.0.0.1:1', onRefused: () => undefined },
    owners: { ask: async () => ({ kind: 'gone' }) },
    retryBudget: createRetryBudget(RETRY_BUDGET_DEFAULTS),
    serviceConfig: () => ({
      kind: 'plain',
      name: REQUEST.service,
      team: asId('team'),
      operations: { book: { idempotent: false } },
      hasLookup: false,
    }),
    createId: () => {
      ids += 1;
      return `${routerId}-${ids}`;
    },
    hashBody: (text) => createHash('sha256').update(text).digest('hex'),
  });
}

describe('keyed call', () => {
  // Guards against a second run of a booking whose caller resends through another router.
  it('runs once and replays the recorded answer on another router', async () => {
    let runs = 0;
    const services: ServiceClient = {
      call: async () => {
        runs += 1;
        return { kind: 'ok', status: 200, body: `{"run":${runs}}` };
      },
      lookup: async () => ({ kind: 'not_seen' }),
      load: async () => undefined,
    };
    const tables = createMemoryTables();
    const first = createRouter('a', tables, services);
    const second = createRouter('b', tables, services);
    const answers = [
      await first.run({ ...REQUEST, key: 'k1' }),
      await second.run({ ...REQUEST, key: 'k1' }),
    ];
    await first.drain(0, 5_000);
    expect(answers).toEqual([
      { kind: 'ok', status: 200, body: '{"run":1}', isReplay: false },
      { kind: 'ok', status: 200, body: '{"run":1}', isReplay: true },
    ]);
    const reused = await second.run({ ...REQUEST, key: 'k1', body: '{}' });
    expect(reused).toMatchObject({ error: { code: 'key_reused', runState: 'not_run' } });
    expect(runs).toBe(1);
  });
});
