import { describe, expect, it } from 'vitest';
import { createForwardStream, createRetryBudget } from '../../src/index';
import { id } from './fixtures';
import type {
  AttemptLoss,
  ForwardStream,
  ForwardStreamEffect,
  ForwardStreamSettings,
} from '../../src/index';

const SETTINGS: ForwardStreamSettings = {
  startedAtMs: 0,
  deadlineAtMs: 25_000,
  targetMs: 4_500,
  gapTargetMs: 700,
  attemptsMax: 5,
  isResumable: true,
  lastEventId: undefined,
  budget: createRetryBudget({ ratio: 0, burst: 20 }),
  canPlaceElsewhere: () => true,
};

/** A stream whose events and losses are fed by hand; its ticks come when they are due. */
function startStream(changes: Partial<ForwardStreamSettings> = {}) {
  const stream: ForwardStream = createForwardStream({ ...SETTINGS, ...changes });
  const kinds: string[] = [];
  let nowMs = 0;
  let attemptNo = 0;
  let tickCount = 0;

  function note(effects: readonly ForwardStreamEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'copy') return;
      kinds.push(effect.kind);
      if (effect.kind === 'send') attemptNo = effect.attemptNo;
    });
  }

  note(stream.start());
  return {
    kinds,
    count: (kind: ForwardStreamEffect['kind']) => kinds.filter((other) => other === kind).length,
    ticks: () => tickCount,
    advanceBy: (ms: number) => {
      const endMs = nowMs + ms;
      for (let wake = stream.wakeAtMs(); wake !== undefined && wake <= endMs;) {
        nowMs = Math.max(nowMs, wake);
        tickCount += 1;
        note(stream.onEvent({ kind: 'tick' }, nowMs));
        wake = stream.wakeAtMs();
      }
      nowMs = endMs;
    },
    place: (engine: string) =>
      note(
        stream.onEvent(
          {
            kind: 'placed',
            attemptNo,
            placed: { engineId: id(engine), copy: undefined, expectedFirstEventMs: 300 },
          },
          nowMs,
        ),
      ),
    unplaced: () =>
      note(
        stream.onEvent({ kind: 'unplaced', attemptNo, reason: 'no_engine', message: '' }, nowMs),
      ),
    event: (eventId: number) =>
      note(
        stream.onEvent(
          { kind: 'events', attemptNo, events: [{ id: eventId, bytes: new Uint8Array() }] },
          nowMs,
        ),
      ),
    lose: (loss: AttemptLoss) => note(stream.onEvent({ kind: 'lost', attemptNo, loss }, nowMs)),
    end: () => note(stream.onEvent({ kind: 'end', attemptNo }, nowMs)),
  };
}

describe('a stream whose engine falls silent and goes on', () => {
  it('is not cut when the retry budget for another attempt is used up', () => {
    const run = startStream({ budget: createRetryBudget({ ratio: 0, burst: 0 }) });
    run.place('a1');
    run.event(1);
    run.advanceBy(1_500);
    run.event(2);
    run.end();
    expect(run.kinds).toEqual(['send', 'begin', 'deliver', 'hold', 'deliver', 'finish']);
    expect(run.ticks()).toBeLessThan(30);
  });

  it('is not cut when the route allows no other attempt', () => {
    const run = startStream({ attemptsMax: 2 });
    run.place('a1');
    run.event(1);
    run.lose('reset');
    run.place('a2');
    run.event(2);
    run.advanceBy(1_500);
    run.event(3);
    run.end();
    expect(run.count('cancel')).toBe(0);
    expect(run.kinds.at(-1)).toBe('finish');
  });

  it('is not cut when it may not resume', () => {
    const run = startStream({ isResumable: false });
    run.place('a1');
    run.event(1);
    run.advanceBy(1_500);
    run.event(2);
    run.end();
    expect(run.kinds).toEqual(['send', 'begin', 'deliver', 'hold', 'deliver', 'finish']);
  });

  it('is answered late before its first event, too, when no other attempt is allowed', () => {
    const run = startStream({ budget: createRetryBudget({ ratio: 0, burst: 0 }) });
    run.place('a1');
    run.advanceBy(6_000);
    run.event(1);
    run.end();
    expect(run.kinds).toEqual(['send', 'hold', 'begin', 'deliver', 'finish']);
  });

  it('moves once the budget allows it again', () => {
    const budget = createRetryBudget({ ratio: 1, burst: 1 });
    const run = startStream({ budget });
    budget.tryTake();
    run.place('a1');
    run.event(1);
    run.advanceBy(1_000);
    budget.onRequest();
    run.advanceBy(200);
    expect(run.kinds.slice(-2)).toEqual(['cancel', 'send']);
  });

  it.each([
    ['before its first event', [], 6_000],
    ['after its first event', [1], 1_500],
  ])('is not cut %s while no other engine can take it', (_when, eventIds, pauseMs) => {
    const run = startStream({ canPlaceElsewhere: () => false });
    run.place('a1');
    eventIds.forEach(run.event);
    run.advanceBy(pauseMs);
    run.event(eventIds.length + 1);
    run.end();
    expect([run.count('hold'), run.count('cancel'), run.count('send')]).toEqual([1, 0, 1]);
    expect(run.kinds.at(-1)).toBe('finish');
  });

  it('moves once another engine can take it', () => {
    let canPlace = false;
    const run = startStream({ canPlaceElsewhere: () => canPlace });
    run.place('a1');
    run.event(1);
    run.advanceBy(1_000);
    canPlace = true;
    run.advanceBy(200);
    expect(run.kinds.slice(-3)).toEqual(['hold', 'cancel', 'send']);
  });

  it('does not wait for an engine that only an earlier loss excludes, once it has begun', () => {
    const excluded: string[][] = [];
    const run = startStream({
      canPlaceElsewhere: (replacement) => {
        excluded.push([...replacement.excluded]);
        return true;
      },
    });
    run.place('a1');
    run.lose('reset');
    run.place('a2');
    run.advanceBy(4_600);
    run.place('a3');
    run.event(1);
    run.advanceBy(1_000);
    expect(excluded).toEqual([['a1', 'a2'], ['a3']]);
  });

  it('ends at its deadline if the engine stays silent', () => {
    const run = startStream({ attemptsMax: 1 });
    run.place('a1');
    run.event(1);
    run.advanceBy(24_900);
    expect(run.count('fail')).toBe(0);
    run.advanceBy(200);
    expect(run.kinds.slice(-2)).toEqual(['cancel', 'fail']);
  });
});

describe('a begun stream whose engine is lost', () => {
  it('waits for the retry budget instead of being cut', () => {
    const budget = createRetryBudget({ ratio: 1, burst: 1 });
    const run = startStream({ budget });
    budget.tryTake();
    run.place('a1');
    run.event(1);
    run.lose('reset');
    run.advanceBy(2_000);
    expect(run.kinds).toEqual(['send', 'begin', 'deliver']);
    budget.onRequest();
    run.advanceBy(200);
    run.place('a2');
    run.event(2);
    run.end();
    expect(run.kinds.slice(3)).toEqual(['send', 'deliver', 'finish']);
  });

  it('goes on when engines are usable again after more than a second without any', () => {
    const run = startStream();
    run.place('a1');
    run.event(1);
    run.lose('reset');
    for (let no = 0; no < 30; no += 1) {
      run.unplaced();
      run.advanceBy(100);
    }
    expect(run.count('fail')).toBe(0);
    run.place('a2');
    run.event(2);
    run.end();
    expect(run.kinds.at(-1)).toBe('finish');
  });

  it('goes on after all engines have refused connections for more than a second', () => {
    const run = startStream();
    run.place('a1');
    run.event(1);
    run.lose('reset');
    for (let no = 0; no < 30; no += 1) {
      run.place(`b${no}`);
      run.lose('not_sent');
      run.advanceBy(100);
    }
    expect(run.count('fail')).toBe(0);
    run.place('a2');
    run.event(2);
    run.end();
    expect(run.kinds.at(-1)).toBe('finish');
  });
});
