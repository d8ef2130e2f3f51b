import { describe, expect, it } from 'vitest';
import { createForwardStream, createRetryBudget } from '../../src/index';
import { id } from './fixtures';
import type {
  AttemptLoss,
  ForwardStreamEffect,
  ForwardStreamEvent,
  ForwardStreamSettings,
  KvCacheCopy,
} from '../../src/index';

const COPY: KvCacheCopy = { engineId: id('b1'), address: '10.0.0.2:1', id: 'r', isOnDemand: false };

/** Runs one stream on a simulated clock and records the effects that the router would perform. */
function simulateStream(changes: Partial<ForwardStreamSettings> = {}) {
  const budget = createRetryBudget({ ratio: 0.5, burst: 10 });
  const stream = createForwardStream({
    startedAtMs: 0,
    deadlineAtMs: 25_000,
    targetMs: 4_500,
    gapTargetMs: 700,
    attemptsMax: 5,
    isResumable: true,
    lastEventId: undefined,
    budget,
    canPlaceElsewhere: () => true,
    ...changes,
  });
  const log: string[] = [];
  let nowMs = 0;

  function note(effects: readonly ForwardStreamEffect[]): void {
    effects.forEach((effect) => log.push(`${nowMs} ${describeEffect(effect)}`));
  }

  function feed(event: ForwardStreamEvent): void {
    note(stream.onEvent(event, nowMs));
  }

  note(stream.start());
  return {
    log,
    stream,
    advanceTo: (ms: number) => {
      // Sends the ticks that the router's timer would send until then.
      for (
        let wake = stream.wakeAtMs();
        wake !== undefined && wake <= ms;
        wake = stream.wakeAtMs()
      ) {
        const before = nowMs;
        nowMs = Math.max(nowMs, wake);
        const count = log.length;
        feed({ kind: 'tick' });
        if (log.length === count && before === nowMs) break;
      }
      nowMs = ms;
    },
    place: (attemptNo: number, engine: string, copy: KvCacheCopy | undefined = COPY) =>
      feed({
        kind: 'placed',
        attemptNo,
        placed: { engineId: id(engine), copy, expectedFirstEventMs: 1_000 },
      }),
    events: (attemptNo: number, ...ids: number[]) =>
      feed({
        kind: 'events',
        attemptNo,
        events: ids.map((no) => ({ id: no, bytes: new Uint8Array() })),
      }),
    lose: (attemptNo: number, loss: AttemptLoss) => feed({ kind: 'lost', attemptNo, loss }),
    feed,
  };
}

function describeEffect(effect: ForwardStreamEffect): string {
  switch (effect.kind) {
    case 'send': {
      const from = effect.resumeFrom === undefined ? '' : ` from ${effect.resumeFrom.engineId}`;
      const excluded = [...effect.excluded].join('+');
      return `send ${effect.attemptNo} (${effect.cause})${from} after ${effect.lastEventId ?? '-'} not ${excluded}`;
    }
    case 'cancel':
      return `cancel ${effect.attemptNo} ${effect.loss ?? ''}`;
    case 'deliver':
      return `deliver ${effect.event.id}`;
    case 'fail':
      return `fail ${effect.error.code} ${effect.error.runState}`;
    case 'copy':
      return `copy ${effect.attemptNo} ${effect.existingCopy === undefined ? 'anew' : 'again'}`;
    default:
      return effect.kind;
  }
}

describe('a stream whose engine repeats old events without end', () => {
  it('goes on at another engine', () => {
    const { log, place, events } = simulateStream({ lastEventId: 5 });
    place(1, 'a1');
    for (let no = 0; no < 2_001; no += 1) events(1, 5);
    expect(log.slice(1, 3)).toEqual(['0 cancel 1 garbled', expect.stringContaining('send 2')]);
  });
});

describe('a forwarded stream', () => {
  it('resumes from the KV cache copy after a reset without a missing or repeated event', () => {
    const run = simulateStream();
    run.place(1, 'a1');
    run.advanceTo(1_000);
    run.events(1, 1, 2, 3);
    run.advanceTo(1_030);
    run.lose(1, 'reset');
    run.place(2, 'b1');
    run.advanceTo(1_080);
    run.events(2, 3, 4);
    run.feed({ kind: 'end', attemptNo: 2 });
    expect(run.log).toMatchSnapshot();
  });

  it('cancels a silent attempt before it resumes elsewhere, well within the allowed gap', () => {
    const run = simulateStream();
    run.place(1, 'a1');
    for (let no = 1; no <= 10; no += 1) {
      run.advanceTo(1_000 + no * 30);
      run.events(1, no);
    }
    run.advanceTo(1_900);
    const cancelAt = run.log.findIndex((line) => line.includes('cancel 1 silent'));
    const sendAt = run.log.findIndex((line) => line.includes('send 2 (silent) from b1 after 10'));
    expect(cancelAt).toBeGreaterThan(0);
    expect(sendAt).toBe(cancelAt + 1);
    expect(Number(run.log[sendAt]?.split(' ')[0])).toBeLessThan(1_300 + 700 * 0.6);
  });

  it('waits for a prefill as long as another engine could still meet the target', () => {
    // Guards against giving up a prompt that is queued behind two others: its prefill is then done
    // twice, which delays the other prompts.
    const run = simulateStream();
    run.place(1, 'a1');
    run.advanceTo(2_400);
    expect(run.log).toHaveLength(1);
    run.advanceTo(4_000);
    expect(run.log[2]).toMatch(/send 2 \(silent\) after - not a1/u);
  });

  it('moves a prompt soon after its engine is suspected', () => {
    const run = simulateStream();
    run.place(1, 'a1');
    run.advanceTo(400);
    run.feed({ kind: 'engine_suspected' });
    run.advanceTo(600);
    expect(run.log.slice(1).map((line) => line.split(' ')[1])).toEqual(['cancel', 'send']);
  });

  it('repeats the prefill when the engine no longer holds the copy', () => {
    const run = simulateStream();
    run.place(1, 'a1');
    run.advanceTo(1_000);
    run.events(1, 1);
    run.lose(1, 'reset');
    run.place(2, 'b1');
    run.lose(2, 'no_copy');
    expect(run.log.at(-1)).toBe('1000 send 3 (no_copy) after 1 not a1+b1');
  });

  it('requests a new copy when the engine that held it is lost, and keeps it up to date', () => {
    const run = simulateStream();
    run.place(1, 'a1');
    run.advanceTo(1_000);
    run.events(1, 1);
    run.feed({ kind: 'copy_lost', engineId: id('b1') });
    expect(run.log.at(-1)).toBe('1000 copy 1 anew');
    const copy: KvCacheCopy = { ...COPY, engineId: id('c1'), isOnDemand: true };
    run.feed({ kind: 'copied', attemptNo: 1, copy });
    for (let no = 2; no < 45; no += 1) {
      run.advanceTo(1_000 + no * 30);
      run.events(1, no);
    }
    expect(run.log.filter((line) => line.includes('copy 1 again'))).toHaveLength(1);
    run.lose(1, 'reset');
    expect(run.log.at(-1)).toMatch(/send 2 \(reset\) from c1 after 44/u);
  });

  it('reports "not_run" only if no engine can have run the request', () => {
    const refused = simulateStream({ attemptsMax: 1 });
    refused.place(1, 'a1');
    for (let no = 1; no <= 2; no += 1) refused.lose(no, 'not_sent');
    expect(refused.log.at(-1)).toBe('0 fail no_backend not_run');

    const lost = simulateStream({ attemptsMax: 1 });
    lost.place(1, 'a1');
    lost.lose(1, 'reset');
    expect(lost.log.at(-1)).toBe('0 fail backend_failed unknown');
  });

  it.each([true, false])(
    'does not say "not_run" at its deadline while an engine has the request (resumable: %s)',
    (isResumable) => {
      // Guards against a caller that repeats, as a refusal allows, a stream that an engine has run.
      const run = simulateStream({
        isResumable,
        deadlineAtMs: 6_000,
        canPlaceElsewhere: () => false,
      });
      run.place(1, 'a1');
      run.advanceTo(6_000);
      expect(run.log.slice(-2)).toEqual(['6000 cancel 1 ', '6000 fail backend_failed unknown']);
    },
  );

  it('says "not_run" at its deadline if its only attempt reached no engine', () => {
    const run = simulateStream({ deadlineAtMs: 6_000, canPlaceElsewhere: () => false });
    run.place(1, 'a1');
    run.advanceTo(5_999);
    run.lose(1, 'not_sent');
    run.advanceTo(6_000);
    expect(run.log.at(-1)).toBe('6000 fail no_backend not_run');
  });

  it('passes on the error response of the last attempt that the route allows', () => {
    const run = simulateStream({ attemptsMax: 2 });
    run.place(1, 'a1');
    run.lose(1, 'failed');
    run.place(2, 'b1');
    run.lose(2, 'failed');
    expect(run.log.at(-1)).toBe('0 pass_failure');
  });

  it('does not resume on another engine if the route is not resumable', () => {
    const run = simulateStream({ isResumable: false });
    run.place(1, 'a1');
    run.advanceTo(1_000);
    run.events(1, 1);
    run.lose(1, 'reset');
    expect(run.log.at(-1)).toBe('1000 fail backend_failed unknown');
  });

  it('fails when the retry budget is used up', () => {
    const budget = createRetryBudget({ ratio: 0, burst: 1 });
    const run = simulateStream({ budget });
    run.place(1, 'a1');
    run.lose(1, 'misdirected');
    run.place(2, 'b1');
    run.lose(2, 'misdirected');
    expect(run.log.at(-1)).toBe('0 fail no_backend not_run');
  });

  it('treats a gap in the event ids like a lost engine', () => {
    const run = simulateStream();
    run.place(1, 'a1');
    run.advanceTo(1_000);
    run.events(1, 1, 2, 5);
    expect(run.log.slice(-2)).toEqual([
      '1000 cancel 1 garbled',
      '1000 send 2 (garbled) from b1 after 2 not a1',
    ]);
  });
});
