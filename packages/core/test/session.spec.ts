import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { asAttemptNo, asId, createServeError, createStreamSession } from '../src/index';
import type {
  RequestId,
  StreamSession,
  StreamSessionEffect,
  StreamSessionEvent,
} from '../src/index';

const REQUEST = asId<RequestId>('r-1');
const OTHER = asId<RequestId>('r-2');
const LENGTH = 12;

function tokenAt(index: number): string {
  return `t${index}`;
}

function createTestSession(typicalGapMs?: number): StreamSession {
  return createStreamSession(
    {
      requestId: REQUEST,
      maxAttempts: 8,
      earlierAttempts: 0,
      silence: { minMs: 250, maxMs: 1_000, firstTokenMs: 2_000, resumeFirstTokenMs: 650 },
      deadlineAtMs: 60_000,
      maxTokens: 1_000,
      typicalGapMs: () => typicalGapMs,
    },
    [],
    0,
  );
}

/** A hostile engine side: any token of any attempt at any time, losses and ticks between. */
const eventArbitrary: fc.Arbitrary<StreamSessionEvent> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc
      .record({
        kind: fc.constant('token' as const),
        requestId: fc.constantFrom(REQUEST, REQUEST, REQUEST, OTHER),
        attemptNo: fc.integer({ min: 1, max: 4 }).map(asAttemptNo),
        index: fc.integer({ min: 0, max: LENGTH - 1 }),
      })
      .map((event) => ({
        ...event,
        text: event.requestId === REQUEST ? tokenAt(event.index) : 'wrong',
      })),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('attempt_lost' as const),
      attemptNo: fc.integer({ min: 1, max: 4 }).map(asAttemptNo),
      cause: fc.constantFrom('reset' as const, 'silent' as const, 'connect_failed' as const),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'tick' as const }) },
);

function delivered(effects: readonly StreamSessionEffect[]): string[] {
  return effects.flatMap((effect) => (effect.kind === 'deliver' ? [effect.text] : []));
}

describe('stream session', () => {
  // Guards against missing, repeated and foreign tokens under any order of engine events.
  it('delivers a gapless prefix of the answer whatever the engines send', () => {
    fc.assert(
      fc.property(fc.array(eventArbitrary, { maxLength: 200 }), (events) => {
        const session = createTestSession();
        const texts = delivered(session.start());
        events.forEach((event, step) =>
          texts.push(...delivered(session.onEvent(event, step * 40))),
        );
        expect(texts).toEqual(texts.map((_, index) => tokenAt(index)));
      }),
      { seed: 7, numRuns: 500 },
    );
  });

  // Guards against joining the output of an attempt that was already replaced.
  it('drops tokens of an attempt that lost the race', () => {
    const session = createTestSession();
    session.start();
    const token = { kind: 'token', requestId: REQUEST } as const;
    session.onEvent({ ...token, attemptNo: asAttemptNo(1), index: 0, text: 'a' }, 10);
    const started = session.onEvent({ kind: 'tick' }, 5_000);
    expect(started).toEqual([
      { kind: 'start_attempt', attemptNo: 2, fromIndex: 1, cause: 'silent' },
    ]);
    const won = session.onEvent(
      { ...token, attemptNo: asAttemptNo(2), index: 1, text: 'b' },
      5_010,
    );
    expect(won).toEqual([
      { kind: 'deliver', index: 1, text: 'b' },
      { kind: 'cancel_attempt', attemptNo: 1 },
    ]);
    expect(
      session.onEvent({ ...token, attemptNo: asAttemptNo(1), index: 2, text: 'x' }, 5_020),
    ).toEqual([]);
  });

  // Guards against staying with an engine that still sends, but far below the promised pace.
  it('moves a slow stream once the new attempt has caught up', () => {
    const session = createTestSession(10);
    session.start();
    const token = { kind: 'token', requestId: REQUEST } as const;
    const send = (attempt: number, index: number, nowMs: number): StreamSessionEffect[] =>
      session.onEvent(
        { ...token, attemptNo: asAttemptNo(attempt), index, text: tokenAt(index) },
        nowMs,
      );
    const effects = Array.from({ length: 8 }, (_, index) =>
      send(1, index, 100 + index * 80),
    ).flat();
    expect(effects.at(-1)).toEqual({
      kind: 'start_attempt',
      attemptNo: 2,
      fromIndex: 8,
      cause: 'slow',
    });
    expect(delivered(send(1, 8, 740))).toEqual(['t8']);
    expect(send(2, 8, 745)).toEqual([]);
    expect(send(2, 9, 750)).toEqual([
      { kind: 'deliver', index: 9, text: 't9' },
      { kind: 'cancel_attempt', attemptNo: 1 },
    ]);
  });

  // Guards against a wait for an engine or for a verdict on suspects that is taken for silence, which
  // started one attempt after another until none was left.
  it('counts the wait for a first token from the send', () => {
    const session = createTestSession();
    session.start();
    expect(session.onEvent({ kind: 'tick' }, 20_000)).toEqual([]);
    session.onEvent({ kind: 'attempt_sent', attemptNo: asAttemptNo(1) }, 20_000);
    expect(session.wakeAtMs()).toBe(22_000);
    expect(session.onEvent({ kind: 'tick' }, 22_000)).toEqual([
      { kind: 'start_attempt', attemptNo: 2, fromIndex: 0, cause: 'silent' },
    ]);
    expect(session.wakeAtMs()).toBe(60_000);
  });

  // Guards against a stream that waits for its deadline because a further attempt found no engine.
  it('tries again after an attempt that found no engine beside a silent one', () => {
    const session = createTestSession();
    session.start();
    session.onEvent({ kind: 'attempt_sent', attemptNo: asAttemptNo(1) }, 0);
    session.onEvent({ kind: 'tick' }, 2_000);
    const error = createServeError('no_backend', 'none');
    expect(
      session.onEvent({ kind: 'attempt_failed', attemptNo: asAttemptNo(2), error }, 4_500),
    ).toEqual([]);
    expect(session.onEvent({ kind: 'tick' }, 5_150)).toMatchObject([
      { kind: 'start_attempt', attemptNo: 3 },
    ]);
  });
});
