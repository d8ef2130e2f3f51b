import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { eventText } from '@mimosamill/platform/standin';
import { findViolations, runSeed, REGRESSION_SEEDS } from '../src/index';
import type { StandinRun } from '@mimosamill/platform/standin';
import type { Exchange } from '../src/index';

const CI_SEED = 7;

const createExchange = (
  changes: Partial<Exchange['answer']>,
  kind: Exchange['kind'] = 'once',
): Exchange => ({
  requestId: 'r',
  kind,
  apiKey: 'k',
  sentAtMs: 10_000,
  answer: {
    status: 200,
    headers: {},
    body: 'answer to r',
    isComplete: true,
    chunkTimesMs: [],
    ...changes,
  },
});

const run: StandinRun = {
  requestId: 'r',
  serverId: 's',
  method: 'POST',
  path: '/',
  customerId: 'ada',
  body: '',
  headers: {},
  startedAtMs: 0,
  endedAtMs: 0,
};

const brokenPromises = (
  exchange: Exchange,
  runs: readonly StandinRun[],
  keyRemovalTimes: ReadonlyMap<string, number> = new Map(),
): string[] =>
  findViolations([exchange], runs, keyRemovalTimes, 2_000, 3).map(({ promise }) => promise);

describe('the checks of the promises to callers', () => {
  // Guards against a check that overlooks a broken promise, which lets every soak pass, or that
  // reports a kept one.
  it('report each broken promise, and nothing if all are kept', () => {
    const events = [1, 2, 3].map((number) => eventText('r', number));
    const stream = (body: string, isComplete = true) =>
      createExchange({ body, isComplete }, 'stream');
    expect(brokenPromises(createExchange({}), [run])).toEqual([]);
    expect(brokenPromises(stream(events.join('')), [run, run])).toEqual([]);
    expect(brokenPromises(stream(events.slice(0, 2).join(''), false), [run])).toEqual([]);
    expect(brokenPromises(createExchange({}), [run, run])).toEqual(['at most once']);
    expect(brokenPromises(createExchange({ status: 503 }), [run])).toEqual(['a refusal is true']);
    expect(brokenPromises(createExchange({ body: 'answer to x' }), [run])).toEqual([
      'own and whole answers',
    ]);
    expect(brokenPromises(createExchange({}), [run], new Map([['k', 1_000]]))).toEqual([
      'removed keys are not served',
    ]);
    expect(brokenPromises(stream([events[0], events[2]].join('')), [run])).toEqual([
      'no event missing or repeated',
    ]);
    expect(brokenPromises(stream(events.slice(0, 2).join('')), [run])).toEqual([
      'a short stream is not complete',
    ]);
  });
});

describe('a short soak of real router processes', () => {
  const seeds = [...REGRESSION_SEEDS.map(({ seed }) => seed), CI_SEED];

  // Guards against a promise to callers that is broken when faults of servers, links, the store and
  // routers overlap.
  it.each(seeds)('keeps all promises with seed %i', async (seed) => {
    const result = await runSeed({
      seed,
      faultDurationMs: 4_000,
      routerCount: 3,
      callerCount: 6,
      logDirectory: mkdtempSync(join(tmpdir(), 'mimosamill-soak-')),
    });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(20);
  });
});
