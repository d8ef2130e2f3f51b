import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { eventText } from '@mimosamill/platform/standin';
import { findViolations, runSeed, REGRESSION_SEEDS } from '../src/index';
import type { StandinRun } from '@mimosamill/platform/standin';
import type { Exchange } from '../src/index';

const CI_SEED = 7;

const exchange = (
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

const promisesBroken = (
  one: Exchange,
  runs: readonly StandinRun[],
  removed: ReadonlyMap<string, number> = new Map(),
): string[] => findViolations([one], runs, removed, 2_000, 3).map(({ promise }) => promise);

describe('the checks of the soak', () => {
  it('find each broken promise, and nothing where all are kept', () => {
    const events = [1, 2, 3].map((no) => eventText('r', no));
    const stream = (body: string, isComplete = true) => exchange({ body, isComplete }, 'stream');
    expect(promisesBroken(exchange({}), [run])).toEqual([]);
    expect(promisesBroken(stream(events.join('')), [run, run])).toEqual([]);
    expect(promisesBroken(stream(events.slice(0, 2).join(''), false), [run])).toEqual([]);
    expect(promisesBroken(exchange({}), [run, run])).toEqual(['at most once']);
    expect(promisesBroken(exchange({ status: 503 }), [run])).toEqual(['a refusal is true']);
    expect(promisesBroken(exchange({ body: 'answer to x' }), [run])).toEqual([
      'own and whole answers',
    ]);
    expect(promisesBroken(exchange({}), [run], new Map([['k', 1_000]]))).toEqual([
      'removed keys are not served',
    ]);
    expect(promisesBroken(stream([events[0], events[2]].join('')), [run])).toEqual([
      'no event missing or repeated',
    ]);
    expect(promisesBroken(stream(events.slice(0, 2).join('')), [run])).toEqual([
      'a short stream is not complete',
    ]);
  });
});

describe('a short soak of real processes', () => {
  const seeds = [...REGRESSION_SEEDS.map(({ seed }) => seed), CI_SEED];

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
