import { createHash } from 'node:crypto';
import { describe, expect, it } from 'vitest';
import { createSystemClock } from '@mimosamill/adapters';
import { asId, createRetryBudget, RETRY_BUDGET_DEFAULTS } from '@mimosamill/core';
import { createVirtualTime } from '@mimosamill/fakes';
import { createCalls } from '../src/index';
import type { Row, ServiceCallOutcome, ServiceClient, TableStore } from '@mimosamill/adapters';
import type { Calls, CallsPorts, ServerCallResult } from '../src/index';

const REQUEST = {
  service: asId<never>('werkbuch'),
  operation: 'book',
  customerId: asId<never>('lackner'),
  body: '{"slot":7}',
  deadlineMs: 5_000,
};

function createMemoryTables(): TableStore {
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

function createRouter(
  routerId: string,
  tables: TableStore,
  services: ServiceClient,
  replaced: Partial<CallsPorts> = {},
): Calls {
  let ids = 0;
  return createCalls({
    routerId: asId(routerId),
    clock: createSystemClock(),
    tables,
    services,
    servers: { pick: () => '127.0.0.1:1', onRefused: () => undefined, onResult: () => undefined },
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
    ...replaced,
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
      readLoad: async () => undefined,
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

/** A router whose only server gives the answer, on a virtual clock. */
function createCallsWithOneServer(answer: ServiceCallOutcome | 'none', isIdempotent: boolean) {
  const time = createVirtualTime();
  const results: ServerCallResult[] = [];
  const services: ServiceClient = {
    call: (_address, _call, signal) =>
      answer === 'none'
        ? new Promise((resolve) => {
            const onAbort = (): void => resolve({ kind: 'unknown', message: 'cancelled' });
            signal?.addEventListener('abort', onAbort);
          })
        : Promise.resolve(answer),
    lookup: async () => ({ kind: 'not_seen' }),
    readLoad: async () => undefined,
  };
  const calls = createRouter('a', createMemoryTables(), services, {
    clock: time.clock,
    servers: {
      pick: () => '127.0.0.1:1',
      onRefused: () => undefined,
      onResult: (_service, _address, _operation, result) => results.push(result),
    },
    serviceConfig: () => ({
      kind: 'plain',
      name: REQUEST.service,
      team: asId('team'),
      operations: { book: { idempotent: isIdempotent } },
      hasLookup: false,
    }),
  });
  return { time, results, calls };
}

describe('results of calls', () => {
  const cases: readonly (readonly [ServiceCallOutcome | 'none', readonly boolean[]])[] = [
    [{ kind: 'ok', status: 200, body: '' }, [true]],
    [{ kind: 'ok', status: 404, body: '' }, [true]],
    [{ kind: 'ok', status: 500, body: '' }, [false]],
    [{ kind: 'unknown', message: 'reset' }, [false]],
    [{ kind: 'not_sent', isLeaving: true, message: 'leaving' }, []],
  ];

  // Guards against servers judged by refusals or by their callers' mistakes, and against failures
  // that the judge never hears of.
  it.each(cases)('%o is reported as %o', async (answer, expected) => {
    for (const isIdempotent of [true, false]) {
      const { time, results, calls } = createCallsWithOneServer(answer, isIdempotent);
      void calls.run(isIdempotent ? REQUEST : { ...REQUEST, key: 'k' });
      await time.run(4_000);
      expect([...new Set(results.map(({ isSuccess }) => isSuccess))]).toEqual(expected);
    }
  });

  // Guards against a server that hangs until the deadline and is never taken for a failing one.
  it('reports a server that does not answer before the deadline as failing', async () => {
    const { time, results, calls } = createCallsWithOneServer('none', true);
    void calls.run(REQUEST);
    await time.run(REQUEST.deadlineMs + 1_000);
    expect(results.length).toBeGreaterThan(0);
    expect(results.every(({ isSuccess }) => !isSuccess)).toBe(true);
  });

  // Guards against a slow server whose calls are all cancelled for their hedges, and which therefore
  // never looks slow.
  it('reports the time that a call had taken when its hedge won', async () => {
    const time = createVirtualTime();
    const slow: ServerCallResult[] = [];
    let isSlow = false;
    const services: ServiceClient = {
      call: (address, _call, signal) =>
        new Promise((resolve) => {
          const isStuck = isSlow && address === 'slow';
          signal?.addEventListener('abort', () => resolve({ kind: 'unknown', message: 'aborted' }));
          if (!isStuck)
            time.clock.runAfter(30, () => resolve({ kind: 'ok', status: 200, body: '' }));
        }),
      lookup: async () => ({ kind: 'not_seen' }),
      readLoad: async () => undefined,
    };
    const calls = createRouter('a', createMemoryTables(), services, {
      clock: time.clock,
      servers: {
        pick: (_service, excluded) => ['slow', 'fast'].find((each) => !excluded.has(each)),
        onRefused: () => undefined,
        onResult: (_service, address, _operation, result) => {
          if (isSlow && address === 'slow') slow.push(result);
        },
      },
      serviceConfig: () => ({
        kind: 'plain',
        name: REQUEST.service,
        team: asId('team'),
        operations: { book: { idempotent: true } },
        hasLookup: false,
      }),
    });
    for (let count = 0; count < 40; count += 1) void calls.run(REQUEST);
    await time.run(1_000);
    isSlow = true;
    void calls.run(REQUEST);
    await time.run(2_000);
    expect(slow).toHaveLength(1);
    expect(slow[0]?.isSuccess).toBe(true);
    // The hedge starts after the usual 30 ms and takes 30 ms.
    expect(slow[0]?.tookMs).toBeGreaterThanOrEqual(59);
  });
});
