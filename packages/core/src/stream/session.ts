import { asAttemptNo } from '../ids';
import { assertNever, createServeError } from '../outcome';
import { createJournal } from './journal';
import { createSilenceDetector } from './silence-detector';
import type { AttemptNo, RequestId } from '../ids';
import type { ServeError } from '../outcome';
import type { Journal } from './journal';
import type { SilenceDetector, SilenceTimeouts } from './silence-detector';

/** What the shell tells a session. */
export type StreamSessionEvent =
  | {
      readonly kind: 'token';
      readonly requestId: RequestId;
      readonly attemptNo: AttemptNo;
      readonly index: number;
      readonly text: string;
    }
  | { readonly kind: 'finish'; readonly attemptNo: AttemptNo; readonly reason: FinishReason }
  | { readonly kind: 'attempt_lost'; readonly attemptNo: AttemptNo; readonly cause: LossCause }
  /** The attempt is on its way to an engine. */
  | { readonly kind: 'attempt_sent'; readonly attemptNo: AttemptNo }
  /** The attempt could not be placed: no engine has the version or has room. */
  | { readonly kind: 'attempt_failed'; readonly attemptNo: AttemptNo; readonly error: ServeError }
  | { readonly kind: 'tick' };

export type FinishReason = 'stop' | 'length';

export type LossCause = 'connect_failed' | 'reset' | 'ended_early' | 'refused' | 'silent' | 'slow';

/** What the shell has to do. */
export type StreamSessionEffect =
  | { readonly kind: 'deliver'; readonly index: number; readonly text: string }
  | {
      readonly kind: 'start_attempt';
      readonly attemptNo: AttemptNo;
      /** The attempt's first token has this index; the journal before it is the prefix. */
      readonly fromIndex: number;
      readonly cause: LossCause | 'first';
    }
  | { readonly kind: 'cancel_attempt'; readonly attemptNo: AttemptNo }
  | { readonly kind: 'finish'; readonly reason: FinishReason }
  | { readonly kind: 'fail'; readonly error: ServeError };

export interface StreamSessionSettings {
  readonly requestId: RequestId;
  readonly maxAttempts: number;
  /** Attempts that another router made; the numbers go on after them. */
  readonly earlierAttempts: number;
  readonly silence: SilenceTimeouts;
  readonly deadlineAtMs: number;
  readonly maxTokens: number;
  /** Gap between tokens at the service's other engines; undefined if none is known. */
  readonly typicalGapMs: () => number | undefined;
}

/** One request's stream: its journal, its attempts and when to start another. */
export interface StreamSession {
  readonly start: () => StreamSessionEffect[];
  readonly onEvent: (event: StreamSessionEvent, nowMs: number) => StreamSessionEffect[];
  readonly journal: () => Journal;
  /** When 'tick' has work to do next; undefined once the session has ended. */
  readonly wakeAtMs: () => number | undefined;
  readonly liveAttempts: () => readonly AttemptNo[];
  readonly attemptCount: () => number;
  readonly meanGapMs: () => number;
}

/** Inter-token time that callers are promised. */
const TARGET_TOKEN_GAP_MS = 32;
/** A stream is slow from this many times the typical gap on; less is ordinary variation. */
const SLOW_FACTOR = 3;
/** Tokens of an attempt before its pace is judged. */
const SLOWNESS_MIN_TOKENS = 8;
/** Tokens after which earlier attempts no longer count towards the limit. */
const ATTEMPT_RESET_TOKENS = 64;

interface LiveAttempt {
  readonly attemptNo: AttemptNo;
  readonly cause: LossCause | 'first';
  tokens: number;
  /** A silent attempt may still win the race for the next token. */
  isSilent: boolean;
}

/** Creates a session that goes on after the known tokens. */
export function createStreamSession(
  settings: StreamSessionSettings,
  known: readonly string[],
  nowMs: number,
): StreamSession {
  const journal = createJournal(settings.requestId, known);
  const pace: SilenceDetector = createSilenceDetector(settings.silence, nowMs);
  let live: LiveAttempt[] = [];
  let attemptCount = 0;
  let recentAttempts = 0;
  let progressIndex = known.length;
  let hasEnded = false;

  function startAttempt(cause: LossCause | 'first'): StreamSessionEffect[] {
    if (!mayStart()) {
      if (live.length > 0) return [];
      return fail(
        createServeError('backend_failed', `${recentAttempts} attempts were lost`, 'unknown'),
      );
    }
    attemptCount += 1;
    recentAttempts += 1;
    const attemptNo = asAttemptNo(settings.earlierAttempts + attemptCount);
    const fromIndex = journal.length();
    live.push({ attemptNo, cause, tokens: 0, isSilent: false });
    pace.onAttemptPlacing();
    return [{ kind: 'start_attempt', attemptNo, fromIndex, cause }];
  }

  function mayStart(): boolean {
    return recentAttempts < settings.maxAttempts;
  }

  function fail(error: ServeError): StreamSessionEffect[] {
    const cancels = cancelAll();
    hasEnded = true;
    return [...cancels, { kind: 'fail', error }];
  }

  function cancelAll(except?: AttemptNo): StreamSessionEffect[] {
    const dropped = live.filter((attempt) => attempt.attemptNo !== except);
    live = live.filter((attempt) => attempt.attemptNo === except);
    return dropped.map(({ attemptNo }) => ({ kind: 'cancel_attempt', attemptNo }));
  }

  function findLive(attemptNo: AttemptNo): LiveAttempt | undefined {
    return live.find((attempt) => attempt.attemptNo === attemptNo);
  }

  function onToken(
    event: Extract<StreamSessionEvent, { kind: 'token' }>,
    atMs: number,
  ): StreamSessionEffect[] {
    const attempt = findLive(event.attemptNo);
    if (attempt === undefined || event.requestId !== settings.requestId) return [];
    if (event.index < journal.length()) return [];
    if (!journal.append(event.index, event.text)) {
      return onLost(event.attemptNo, 'ended_early');
    }
    attempt.isSilent = false;
    attempt.tokens += 1;
    pace.onToken(atMs);
    noteProgress();
    const deliver: StreamSessionEffect = { kind: 'deliver', index: event.index, text: event.text };
    return [deliver, ...cancelLosers(attempt), ...leaveSlow(attempt, atMs)];
  }

  function noteProgress(): void {
    if (journal.length() - progressIndex < ATTEMPT_RESET_TOKENS) return;
    progressIndex = journal.length();
    recentAttempts = live.length;
  }

  /**
   * The first attempt to deliver the next token wins. A newer attempt that was started because the
   * winner is slow goes on until it catches up.
   */
  function cancelLosers(winner: LiveAttempt): StreamSessionEffect[] {
    const losers = live.filter(
      (attempt) =>
        attempt.attemptNo < winner.attemptNo ||
        (attempt.attemptNo > winner.attemptNo && attempt.cause !== 'slow'),
    );
    live = live.filter((attempt) => !losers.includes(attempt));
    return losers.map(({ attemptNo }) => ({ kind: 'cancel_attempt', attemptNo }));
  }

  function leaveSlow(attempt: LiveAttempt, atMs: number): StreamSessionEffect[] {
    if (live.length > 1 || !isSlow(attempt, atMs) || !mayStart()) return [];
    return startAttempt('slow');
  }

  /** Slow: the deadline or the promised pace is lost, and another engine would keep it. */
  function isSlow(attempt: LiveAttempt, atMs: number): boolean {
    if (attempt.tokens < SLOWNESS_MIN_TOKENS) return false;
    const typicalMs = settings.typicalGapMs();
    const gapMs = pace.meanGapMs();
    if (typicalMs === undefined || gapMs < SLOW_FACTOR * typicalMs) return false;
    const tokensLeft = settings.maxTokens - journal.length();
    const leftMs = settings.deadlineAtMs - atMs;
    const losesDeadline = tokensLeft * gapMs > leftMs && tokensLeft * typicalMs < leftMs;
    const losesPace = gapMs > TARGET_TOKEN_GAP_MS && typicalMs <= TARGET_TOKEN_GAP_MS;
    return losesDeadline || losesPace;
  }

  function onLost(attemptNo: AttemptNo, cause: LossCause): StreamSessionEffect[] {
    if (findLive(attemptNo) === undefined) return [];
    live = live.filter((attempt) => attempt.attemptNo !== attemptNo);
    const cancel: StreamSessionEffect = { kind: 'cancel_attempt', attemptNo };
    if (live.some((attempt) => !attempt.isSilent)) return [cancel];
    return [cancel, ...startAttempt(cause)];
  }

  function onSent(attemptNo: AttemptNo, atMs: number): StreamSessionEffect[] {
    const attempt = findLive(attemptNo);
    if (attempt !== undefined) pace.onAttemptSent(atMs, attempt.cause === 'first');
    return [];
  }

  function onFailed(attemptNo: AttemptNo, error: ServeError, atMs: number): StreamSessionEffect[] {
    if (findLive(attemptNo) === undefined) return [];
    live = live.filter((attempt) => attempt.attemptNo !== attemptNo);
    if (live.length === 0) return fail(error);
    // The others are silent or slow; another attempt is tried after the usual wait.
    pace.onAttemptSent(atMs, false);
    return [];
  }

  function onTick(atMs: number): StreamSessionEffect[] {
    if (atMs >= settings.deadlineAtMs) {
      const runState = journal.length() > 0 ? 'ran' : 'unknown';
      return fail(createServeError('deadline_exceeded', 'the deadline has passed', runState));
    }
    if (atMs < pace.silentAtMs()) return [];
    live.forEach((attempt) => {
      attempt.isSilent = true;
    });
    return startAttempt('silent');
  }

  function onFinish(attemptNo: AttemptNo, reason: FinishReason): StreamSessionEffect[] {
    if (findLive(attemptNo) === undefined) return [];
    const cancels = cancelAll(attemptNo);
    live = [];
    hasEnded = true;
    return [...cancels, { kind: 'finish', reason }];
  }

  return {
    start: () => startAttempt('first'),
    onEvent: (event, atMs) => {
      if (hasEnded) return [];
      switch (event.kind) {
        case 'token':
          return onToken(event, atMs);
        case 'finish':
          return onFinish(event.attemptNo, event.reason);
        case 'attempt_lost':
          return onLost(event.attemptNo, event.cause);
        case 'attempt_sent':
          return onSent(event.attemptNo, atMs);
        case 'attempt_failed':
          return onFailed(event.attemptNo, event.error, atMs);
        case 'tick':
          return onTick(atMs);
        default:
          return assertNever(event);
      }
    },
    journal: () => journal,
    wakeAtMs: () => {
      if (hasEnded) return undefined;
      return mayStart()
        ? Math.min(settings.deadlineAtMs, pace.silentAtMs())
        : settings.deadlineAtMs;
    },
    liveAttempts: () => live.map((attempt) => attempt.attemptNo),
    attemptCount: () => attemptCount,
    meanGapMs: pace.meanGapMs,
  };
}
