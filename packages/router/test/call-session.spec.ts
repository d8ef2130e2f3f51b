import { createHash } from 'node:crypto';
import { describe, expect, it } from 'vitest';
import { asId, createRetryBudget, RETRY_BUDGET_DEFAULTS } from '@mimosamill/core';
import { createTableStoreModel, createVirtualTime } from '@mimosamill/fakes';
import { createCalls } from '../src/index';
import type {
  CommitOutcome,
  ServiceCallOutcome,
  TableStore,
  Transaction,
} from '@mimosamill/adapters';
import type { CallResult, CustomerId, RouterId, ServiceName } from '@mimosamill/core';
import type { VirtualProcess } from '@mimosamill/fakes';
import type { Calls, CallsPorts } from '../src/index';

const SERVICE = asId<ServiceName>('werkbuch');
const CUSTOMER = asId<CustomerId>('lackner');

/** Two routers on simulated time, whose every step at the tables and the service is noted. */
function createRecordedFleet() {
  const time = createVirtualTime();
  const model = createTableStoreModel();
  const lines: string[] = [];
  const routers = new Map<string, { process: VirtualProcess; calls: Calls }>();
  let losesNextCommit = false;
  let runs = 0;
  let ids = 0;

  function note(line: string): void {
    lines.push(`${time.clock.monotonicMs()} ms ${line}`);
  }

  function wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      time.clock.runAfter(delayMs, resolve);
    });
  }

  async function commit(name: string, transaction: Transaction): Promise<CommitOutcome> {
    await wait(3);
    const outcome = model.commit(transaction, time.clock.nowMs());
    const isLost = losesNextCommit;
    losesNextCommit = false;
    const states = transaction.writes.map((write) =>
      write.kind === 'put' ? (write.value as { state: string }).state : 'deleted',
    );
    note(`${name} commits ${states.join()}: ${outcome.kind}${isLost ? ', answer lost' : ''}`);
    return isLost ? { kind: 'unknown', message: 'no answer' } : outcome;
  }

  function createTables(name: string): TableStore {
    return {
      commit: (transaction) => commit(name, transaction),
      read: async (keys) => {
        await wait(3);
        const rows = model.read(keys, time.clock.nowMs());
        note(`${name} reads ${rows.length} rows`);
        return { kind: 'ok', rows };
      },
      scan: async () => ({ kind: 'ok', rows: [] }),
    };
  }

  async function call(name: string, key: string): Promise<ServiceCallOutcome> {
    await wait(20);
    runs += 1;
    note(`the service runs ${key} for ${name}`);
    return { kind: 'ok', status: 200, body: `{"run":${runs}}` };
  }

  function createPorts(name: string, process: VirtualProcess): CallsPorts {
    return {
      routerId: asId<RouterId>(name),
      clock: process.clock,
      tables: createTables(name),
      services: {
        call: (_address, { idempotencyKey }) => call(name, idempotencyKey),
        lookup: async () => ({ kind: 'not_seen' }),
        readLoad: async () => undefined,
      },
      servers: { pick: () => '10.0.0.1:80', onRefused: () => undefined, onResult: () => undefined },
      owners: {
        ask: async (routerId, question) => {
          note(`${name} asks ${routerId} about ${question.attemptId}`);
          const answer = await routers.get(routerId)?.calls.answerAsOwner(question);
          note(`${routerId} answers ${answer?.kind ?? 'nothing'}`);
          return answer ?? { kind: 'gone' };
        },
      },
      retryBudget: createRetryBudget(RETRY_BUDGET_DEFAULTS),
      serviceConfig: () => ({
        kind: 'plain',
        name: SERVICE,
        team: asId('team'),
        operations: { book: { idempotent: false } },
        hasLookup: true,
      }),
      createId: () => {
        ids += 1;
        return `id-${ids}`;
      },
      hashBody: (text) => createHash('sha256').update(text).digest('hex'),
    };
  }

  ['r1', 'r2'].forEach((name) => {
    const process = time.createProcess();
    routers.set(name, { process, calls: createCalls(createPorts(name, process)) });
  });

  function describeResult(result: CallResult): string {
    if (result.kind === 'ok') return `${result.body}${result.isReplay ? ' again' : ''}`;
    return `${result.error.code}, ${result.error.runState}`;
  }

  function send(name: string, key: string, body: string): void {
    note(`${name} receives ${key}`);
    void routers
      .get(name)
      ?.calls.run({
        service: SERVICE,
        operation: 'book',
        key,
        body,
        customerId: CUSTOMER,
        deadlineMs: 3_000,
      })
      .then((result) => note(`${name} answers ${key}: ${describeResult(result)}`));
  }

  return {
    lines,
    time,
    send,
    loseNextCommit: () => {
      losesNextCommit = true;
    },
    lookUp: (customerId: string) =>
      routers.get('r2')?.calls.lookup(asId<CustomerId>(customerId), SERVICE, 'slot-7'),
  };
}

describe('booking session', () => {
  // Guards against a double run, or a false refusal, when the answer to the claim's commit is lost
  // while the caller resends through another router.
  it('goes as recorded when a commit answer is lost and the caller resends', async () => {
    const fleet = createRecordedFleet();
    fleet.loseNextCommit();
    fleet.send('r1', 'slot-7', '{"slot":7}');
    fleet.time.clock.runAfter(10, () => fleet.send('r2', 'slot-7', '{"slot":7}'));
    fleet.time.clock.runAfter(200, () => fleet.send('r2', 'slot-7', '{"slot":7}'));
    fleet.time.clock.runAfter(300, () => fleet.send('r1', 'slot-7', '{"slot":8}'));
    await fleet.time.run(5_000);
    await expect(`${fleet.lines.join('\n')}\n`).toMatchFileSnapshot('golden/booking-session.txt');
  });

  // Guards against a customer reading another customer's booking by its key.
  it('shows a booking to its own customer only', async () => {
    const fleet = createRecordedFleet();
    fleet.send('r1', 'slot-7', '{"slot":7}');
    await fleet.time.run(1_000);
    const own = fleet.lookUp('lackner');
    const other = fleet.lookUp('firnis');
    await fleet.time.run(2_000);
    expect(await own).toMatchObject({ kind: 'ok', body: '{"run":1}', isReplay: true });
    expect(await other).toMatchObject({ error: { code: 'unknown_call' } });
  });
});
