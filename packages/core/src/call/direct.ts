import { assertNever, createServeError } from '../outcome';
import {
  expiredAfterSend,
  expiredBeforeSend,
  noBackend,
  okResult,
  outcomeUnknown,
  rejectedByServer,
} from './result';
import type { RetryBudget } from './budget';
import type { CallResult, ErrorResult } from './result';

/** Settings of a call without a recorded claim: it is idempotent, or has no idempotency key. */
export interface DirectCallSettings {
  /**
   * False: the call is never hedged, and is sent again only if no server can have run it yet, so it
   * runs at most once.
   */
  readonly isIdempotent: boolean;
  readonly deadlineAtMs: number;
  /** When a second attempt is sent if the first has no answer yet; undefined for never. */
  readonly hedgeAtMs: number | undefined;
  readonly budget: RetryBudget;
  /** Most servers that may receive the call; attempts that reached no server do not count. */
  readonly attemptsMax?: number;
  /** Statuses that mean the server failed to answer; an idempotent call is retried on them. */
  readonly retriedStatuses?: ReadonlySet<number>;
}

export type ServerAnswer<Body = string> =
  | { readonly kind: 'ok'; readonly status: number; readonly body: Body }
  | {
      readonly kind: 'not_sent';
      readonly message: string;
      /** A process other than the server received and refused the call; a retry costs budget. */
      readonly hasArrived?: boolean;
    }
  /** The server received the call and states that it did not run it. */
  | { readonly kind: 'rejected' }
  | { readonly kind: 'unknown' };

export type DirectCallEvent<Body = string> =
  | { readonly kind: 'answer'; readonly attemptNo: number; readonly answer: ServerAnswer<Body> }
  /** Servers crash when they run the call. */
  | { readonly kind: 'condemned'; readonly message: string }
  | { readonly kind: 'tick' };

export type DirectCallEffect<Body = string> =
  | { readonly kind: 'send'; readonly attemptNo: number; readonly cause: SendCause }
  | { readonly kind: 'cancel'; readonly attemptNo: number }
  /** The result for the caller; the last effect of a call. */
  | { readonly kind: 'answer'; readonly result: CallResult<Body> };

/** Why an attempt is sent; 'refused' follows an attempt that reached no server. */
export type SendCause = 'first' | 'refused' | 'retry' | 'hedge';

/** Sends, retries and hedges a call without a recorded claim. Does no I/O itself. */
export interface DirectCall<Body = string> {
  readonly start: (nowMs: number) => DirectCallEffect<Body>[];
  readonly onEvent: (event: DirectCallEvent<Body>, nowMs: number) => DirectCallEffect<Body>[];
  /** When to report the next 'tick'; undefined once the call has ended. */
  readonly wakeAtMs: () => number | undefined;
}

/** Default of `attemptsMax`, and the most attempts that may reach no server. */
const ATTEMPTS_MAX = 4;
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

export function createDirectCall<Body = string>(settings: DirectCallSettings): DirectCall<Body> {
  const attemptsMax = settings.attemptsMax ?? ATTEMPTS_MAX;
  const retriedStatuses = settings.retriedStatuses ?? RETRIED_STATUSES;
  const liveAttempts = new Set<number>();
  let attempts = 0;
  let unsentAttempts = 0;
  let hasEnded = false;
  let mayHaveRun = false;
  let hedgeAtMs = settings.isIdempotent ? settings.hedgeAtMs : undefined;
  /** The result to return if no later attempt has a better one. */
  let fallbackResult: CallResult<Body> | undefined;

  function send(cause: SendCause): DirectCallEffect<Body>[] {
    attempts += 1;
    liveAttempts.add(attempts);
    return [{ kind: 'send', attemptNo: attempts, cause }];
  }

  function end(result: CallResult<Body>): DirectCallEffect<Body>[] {
    hasEnded = true;
    const cancels = [...liveAttempts].map((attemptNo) => ({ kind: 'cancel' as const, attemptNo }));
    liveAttempts.clear();
    return [...cancels, { kind: 'answer', result }];
  }

  function canSendAgain(): boolean {
    return attempts - unsentAttempts < attemptsMax;
  }

  function retryOrEnd(result: CallResult<Body>, isSafe: boolean): DirectCallEffect<Body>[] {
    if (fallbackResult?.kind !== 'ok' || result.kind === 'ok') fallbackResult = result;
    if (liveAttempts.size > 0) return [];
    const mayRetry = isSafe && canSendAgain();
    return mayRetry && settings.budget.tryTake() ? send('retry') : end(fallbackResult);
  }

  /**
   * A refused connection causes no work on any server, so the next attempt costs no budget, unless
   * another process received the call.
   */
  function onNotSent(
    message: string,
    hasArrived: boolean,
    nowMs: number,
  ): DirectCallEffect<Body>[] {
    unsentAttempts += 1;
    const isDue = nowMs < settings.deadlineAtMs && unsentAttempts < ATTEMPTS_MAX && canSendAgain();
    if (isDue && (!hasArrived || settings.budget.tryTake())) return send('refused');
    if (liveAttempts.size > 0) return [];
    return end(fallbackResult ?? noBackend(message));
  }

  function onAnswer(
    event: Extract<DirectCallEvent<Body>, { kind: 'answer' }>,
    nowMs: number,
  ): DirectCallEffect<Body>[] {
    // A late answer of a cancelled attempt, or a second answer of the same one, is ignored.
    if (!liveAttempts.delete(event.attemptNo)) return [];
    const { answer } = event;
    switch (answer.kind) {
      case 'ok': {
        const result = okResult(answer.status, answer.body, false);
        const isFailure = settings.isIdempotent && retriedStatuses.has(answer.status);
        return isFailure ? retryOrEnd(result, true) : end(result);
      }
      case 'not_sent':
        return onNotSent(answer.message, answer.hasArrived === true, nowMs);
      case 'rejected':
        // If an earlier attempt may have run, the result must not say 'not_run'.
        return retryOrEnd(
          mayHaveRun ? (fallbackResult ?? outcomeUnknown()) : rejectedByServer(),
          settings.isIdempotent || !mayHaveRun,
        );
      case 'unknown':
        mayHaveRun = true;
        return retryOrEnd(
          settings.isIdempotent ? lostAnswer() : outcomeUnknown(),
          settings.isIdempotent,
        );
      default:
        return assertNever(answer);
    }
  }

  /** Ends the call without another attempt, and stops those that run before they crash servers. */
  function onCondemned(message: string): DirectCallEffect<Body>[] {
    if (fallbackResult?.kind === 'ok') return end(fallbackResult);
    const isNotRun = liveAttempts.size === 0 && !mayHaveRun;
    const runState = isNotRun ? 'not_run' : 'unknown';
    return end({ kind: 'error', error: createServeError('request_condemned', message, runState) });
  }

  function onTick(nowMs: number): DirectCallEffect<Body>[] {
    if (nowMs >= settings.deadlineAtMs) {
      if (fallbackResult?.kind === 'ok') return end(fallbackResult);
      const isNotRun = liveAttempts.size === 0 && !mayHaveRun && fallbackResult === undefined;
      return end(isNotRun ? expiredBeforeSend() : expiredAfterSend());
    }
    if (hedgeAtMs === undefined || nowMs < hedgeAtMs) return [];
    hedgeAtMs = undefined;
    return liveAttempts.size === 1 && canSendAgain() && settings.budget.tryTake()
      ? send('hedge')
      : [];
  }

  return {
    start: (nowMs) => {
      settings.budget.onRequest();
      return nowMs >= settings.deadlineAtMs ? end(expiredBeforeSend()) : send('first');
    },
    onEvent: (event, nowMs) => {
      if (hasEnded) return [];
      switch (event.kind) {
        case 'answer':
          return onAnswer(event, nowMs);
        case 'condemned':
          return onCondemned(event.message);
        case 'tick':
          return onTick(nowMs);
        default:
          return assertNever(event);
      }
    },
    wakeAtMs: () => {
      if (hasEnded) return undefined;
      return Math.min(settings.deadlineAtMs, hedgeAtMs ?? Infinity);
    },
  };
}

function lostAnswer(): ErrorResult {
  return {
    kind: 'error',
    error: createServeError(
      'backend_failed',
      'no server answered the call; it may have run',
      'unknown',
    ),
  };
}
