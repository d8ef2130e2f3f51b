import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { asId, createDirectCall, createKeyedCall, createRetryBudget } from '../src/index';
import type {
  CallRecord,
  CallResult,
  KeyedCall,
  KeyedCallEffect,
  KeyedCallEvent,
  VersionedRecord,
} from '../src/index';

const DEADLINE_MS = 3_000;

interface Attempt {
  readonly id: string;
  readonly router: number;
  readonly call: KeyedCall;
  isAlive: boolean;
  result: CallResult | undefined;
}

interface PendingEffect {
  readonly attempt: Attempt;
  readonly effect: KeyedCallEffect;
}

/** One idempotency key with its row, a service that runs every request, and the pending effects. */
function createModel(hasLookup: boolean) {
  let row: VersionedRecord | undefined;
  let version = 0;
  let nowMs = 0;
  const attempts: Attempt[] = [];
  const pending: PendingEffect[] = [];
  /** Commits and requests that arrive only after their sender had no answer, or died. */
  const delayed: (() => void)[] = [];
  const runs: string[] = [];

  function apply(effect: Extract<KeyedCallEffect, { kind: 'commit' }>): boolean {
    const { replaces } = effect;
    const isMet = replaces === 'any' || replaces === (row?.version ?? 'absent');
    if (!isMet) return false;
    version += 1;
    row = { version, record: effect.record as CallRecord };
    return true;
  }

  function notify(attempt: Attempt, event: KeyedCallEvent): void {
    if (attempt.isAlive) applyEffects(attempt, attempt.call.onEvent(event, nowMs));
  }

  function applyEffects(attempt: Attempt, effects: readonly KeyedCallEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'answer') attempt.result = effect.result;
      else pending.push({ attempt, effect });
    });
  }

  function start(router: number): void {
    const id = `a${attempts.length + 1}`;
    const call = createKeyedCall({
      attemptId: id,
      routerId: asId(`r${router}`),
      requestId: asId(id),
      operation: 'book',
      bodyHash: 'hash',
      hasLookup,
      isLookupOnly: false,
      deadlineAtMs: nowMs + DEADLINE_MS,
      wallClockMs: nowMs,
    });
    const attempt: Attempt = { id, router, call, isAlive: true, result: undefined };
    attempts.push(attempt);
    applyEffects(attempt, call.start(nowMs));
  }

  function kill(router: number): void {
    attempts
      .filter((attempt) => attempt.router === router)
      .forEach((attempt) => {
        attempt.isAlive = false;
      });
  }

  function tick(forMs: number): void {
    nowMs += forMs;
    attempts.forEach((attempt) => notify(attempt, { kind: 'tick' }));
  }

  function commit({ attempt, effect }: PendingEffect, choice: number): void {
    if (effect.kind !== 'commit') return;
    const { purpose } = effect;
    const lost: KeyedCallEvent = { kind: 'committed', purpose, outcome: 'unknown' };
    if (choice === 0) notify(attempt, { kind: 'committed', purpose, outcome: 'unavailable' });
    else if (choice === 1) notify(attempt, lost);
    else if (choice === 2) {
      delayed.push(() => apply(effect));
      notify(attempt, lost);
    } else if (choice === 3) {
      apply(effect);
      notify(attempt, lost);
    } else if (apply(effect)) notify(attempt, { kind: 'committed', purpose, outcome: 'ok' });
    else notify(attempt, { kind: 'conflict', purpose, found: row });
  }

  function send({ attempt, effect }: PendingEffect, choice: number): void {
    if (effect.kind !== 'send') return;
    const { sendNo } = effect;
    const run = (): void => {
      runs.push(attempt.id);
    };
    const unknown: KeyedCallEvent = { kind: 'answer', sendNo, answer: { kind: 'unknown' } };
    if (choice === 0) {
      notify(attempt, { kind: 'answer', sendNo, answer: { kind: 'not_sent', message: 'refused' } });
    } else if (choice === 1) notify(attempt, unknown);
    else if (choice === 2) {
      delayed.push(run);
      notify(attempt, unknown);
    } else if (choice === 3) {
      run();
      notify(attempt, unknown);
    } else {
      run();
      notify(attempt, {
        kind: 'answer',
        sendNo,
        answer: { kind: 'ok', status: 200, body: 'done' },
      });
    }
  }

  function askOwner({ attempt, effect }: PendingEffect, choice: number): void {
    if (effect.kind !== 'ask_owner') return;
    const owner = attempts.find(({ id, isAlive }) => id === effect.attemptId && isAlive);
    const isReached = owner !== undefined && choice > 1;
    notify(attempt, {
      kind: 'owner',
      answer: isReached ? owner.call.ownerAnswer() : { kind: 'gone' },
    });
  }

  function lookUp({ attempt }: PendingEffect, choice: number): void {
    if (choice === 0) notify(attempt, { kind: 'lookup', answer: { kind: 'unavailable' } });
    else if (runs.length === 0) notify(attempt, { kind: 'lookup', answer: { kind: 'not_seen' } });
    else notify(attempt, { kind: 'lookup', answer: { kind: 'ran', status: 200, body: 'done' } });
  }

  function resolve(index: number, choice: number): void {
    const [next] = pending.splice(index % Math.max(1, pending.length), 1);
    if (next === undefined) return;
    const { kind } = next.effect;
    if (kind === 'commit') commit(next, choice);
    else if (kind === 'send') send(next, choice);
    else if (kind === 'ask_owner') askOwner(next, choice);
    else if (kind === 'lookup') lookUp(next, choice);
    else if (choice === 0) notify(next.attempt, { kind: 'read_failed' });
    else notify(next.attempt, { kind: 'read', found: row });
  }

  function runToEnd(): void {
    for (let step = 0; step < 400; step += 1) {
      tick(200);
      while (pending.length > 0) resolve(0, 4);
      delayed.splice(0, 1).forEach((fn) => fn());
    }
  }

  const runDelayed = (index: number): void => {
    delayed.splice(index % Math.max(1, delayed.length), 1).forEach((fn) => fn());
  };

  return { start, kill, tick, resolve, runDelayed, runToEnd, attempts, runs, nowMs: () => nowMs };
}

type Step = readonly [action: number, index: number, choice: number];

const stepsArbitrary: fc.Arbitrary<Step[]> = fc.array(
  fc.tuple(
    fc.integer({ min: 0, max: 19 }),
    fc.integer({ min: 0, max: 7 }),
    fc.integer({ min: 0, max: 7 }),
  ),
  { minLength: 5, maxLength: 80 },
);

function runSteps(steps: readonly Step[], hasLookup: boolean): ReturnType<typeof createModel> {
  const model = createModel(hasLookup);
  model.start(0);
  steps.forEach(([action, index, choice]) => {
    if (action === 0) model.kill(index % 2);
    else if (action <= 2) model.start(index % 2);
    else if (action === 3) model.runDelayed(index);
    else if (action <= 5) model.tick([10, 60, 400, 2_900][choice % 4] ?? 10);
    else model.resolve(index, choice);
  });
  return model;
}

describe('keyed call', () => {
  // Guards against calls that run twice, calls that run but are reported as not run, and callers
  // without an answer. Commits, requests and answers are lost or delayed, commits fail, routers die
  // or cannot be reached, and callers resend.
  it('runs at most once whatever is lost, delayed or killed between two routers', () => {
    fc.assert(
      fc.property(stepsArbitrary, fc.boolean(), (steps, hasLookup) => {
        const model = runSteps(steps, hasLookup);
        model.runToEnd();
        expect(model.runs.length).toBeLessThanOrEqual(1);
        model.attempts.forEach(({ id, isAlive, result }) => {
          if (isAlive) expect(result).toBeDefined();
          const isRefused = result?.kind === 'error' && result.error.runState === 'not_run';
          if (isRefused) expect(model.runs).not.toContain(id);
          if (result?.kind === 'ok') expect(model.runs.length).toBe(1);
        });
      }),
      { seed: 11, numRuns: 3_000 },
    );
  });

  // Guards against a router that resumes after a pause and sends a call whose caller has given up.
  it('releases the claim instead of sending after the deadline', () => {
    const model = createModel(false);
    model.start(0);
    model.tick(DEADLINE_MS);
    model.runToEnd();
    model.start(1);
    model.runToEnd();
    const [first, second] = model.attempts;
    expect(first?.result).toMatchObject({
      error: { code: 'deadline_exceeded', runState: 'not_run' },
    });
    expect(second?.result).toMatchObject({ kind: 'ok', isReplay: false });
    expect(model.runs).toEqual(['a2']);
  });
});

describe('call without a claim', () => {
  const start = (isIdempotent: boolean, ratio: number, burst: number) =>
    createDirectCall({
      isIdempotent,
      deadlineAtMs: DEADLINE_MS,
      hedgeAtMs: 100,
      budget: createRetryBudget({ ratio, burst }),
    });

  // Guards against a second send of a call that has no key and so could run twice.
  it('sends a non-idempotent call once when its answer is lost', () => {
    const call = start(false, 1, 10);
    const sent = call.start(0);
    const ticked = call.onEvent({ kind: 'tick' }, 100);
    const lost = call.onEvent({ kind: 'answer', attemptNo: 1, answer: { kind: 'unknown' } }, 200);
    expect([...sent, ...ticked, ...lost]).toMatchObject([
      { kind: 'send', attemptNo: 1 },
      { kind: 'answer', result: { error: { code: 'outcome_unknown', runState: 'unknown' } } },
    ]);
  });

  // Guards against a second result from the answer of a cancelled attempt.
  it('hedges a slow idempotent call and drops the slower answer', () => {
    const call = start(true, 0.1, 1);
    call.start(0);
    expect(call.onEvent({ kind: 'tick' }, 100)).toEqual([
      { kind: 'send', attemptNo: 2, cause: 'hedge' },
    ]);
    const ok = { kind: 'ok', status: 200, body: 'second' } as const;
    expect(call.onEvent({ kind: 'answer', attemptNo: 2, answer: ok }, 120)).toMatchObject([
      { kind: 'cancel', attemptNo: 1 },
      { kind: 'answer', result: { body: 'second' } },
    ]);
    expect(call.onEvent({ kind: 'answer', attemptNo: 1, answer: ok }, 130)).toEqual([]);
  });

  // Guards against telling a caller that a booking was not run while a server may run it.
  it('ends a call that crashes servers at once, and never as not run once it was sent', () => {
    const call = start(false, 1, 10);
    call.start(0);
    expect(call.onEvent({ kind: 'condemned', message: 'crashes servers' }, 10)).toMatchObject([
      { kind: 'cancel', attemptNo: 1 },
      { kind: 'answer', result: { error: { code: 'request_condemned', runState: 'unknown' } } },
    ]);
    expect(call.wakeAtMs()).toBeUndefined();
  });

  // Guards against losing the answer of a server that has run the call.
  it('passes on an answer that is ready when the call is condemned', () => {
    const call = start(true, 1, 10);
    call.start(0);
    const failed = { kind: 'ok', status: 503, body: 'failed' } as const;
    call.onEvent({ kind: 'answer', attemptNo: 1, answer: failed }, 10);
    expect(call.onEvent({ kind: 'condemned', message: 'crashes servers' }, 20)).toMatchObject([
      { kind: 'cancel', attemptNo: 2 },
      { kind: 'answer', result: { kind: 'ok', body: 'failed' } },
    ]);
  });

  // Guards against retries that multiply the load of a failing service.
  it('keeps retries within a tenth of the requests, beyond the burst', () => {
    const budget = createRetryBudget({ ratio: 0.1, burst: 5 });
    const taken = Array.from({ length: 1_000 }, () => {
      budget.onRequest();
      return budget.tryTake();
    }).filter(Boolean);
    expect(taken.length).toBeLessThanOrEqual(105);
    expect(taken.length).toBeGreaterThanOrEqual(100);
  });
});
