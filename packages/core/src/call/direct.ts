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

/** A call without a claim: idempotent, or non-idempotent without a key. */
export interface DirectCallSettings {
  /** False: the call reaches a server at most once and is neither retried nor hedged. */
  readonly isIdempotent: boolean;
  readonly deadlineAtMs: number;
  /** When a second attempt is started next to the first; undefined for never. */
  readonly hedgeAtMs: number | undefined;
  readonly budget: RetryBudget;
  /** Servers that may get the call; an attempt that reached none does not count. */
  readonly attemptsMax?: number;
  /** Statuses with which a server reports that it is unable to answer, rather than an answer. */
  readonly retriedStatuses?: ReadonlySet<number>;
}

export type ServerAnswer<Body = string> =
  | { readonly kind: 'ok'; readonly status: number; readonly body: Body }
  | {
      readonly kind: 'not_sent';
      readonly message: string;
      /** Another process got the call and refused it, which draws on the budget. */
      readonly hasArrived?: boolean;
    }
  /** The server got the call and states that it did not run it. */
  | { readonly kind: 'rejected' }
  | { readonly kind: 'unknown' };

export type DirectCallEvent<Body = string> =
  | { readonly kind: 'answer'; readonly attemptNo: number; readonly answer: ServerAnswer<Body> }
  | { readonly kind: 'tick' };

export type DirectCallEffect<Body = string> =
  | { readonly kind: 'send'; readonly attemptNo: number; readonly cause: SendCause }
  | { readonly kind: 'cancel'; readonly attemptNo: number }
  /** Once a call, as its last effect. */
  | { readonly kind: 'answer'; readonly result: CallResult<Body> };

export type SendCause = 'first' | 'refused' | 'retry' | 'hedge';

export interface DirectCall<Body = string> {
  readonly start: (nowMs: number) => DirectCallEffect<Body>[];
  readonly onEvent: (event: DirectCallEvent<Body>, nowMs: number) => DirectCallEffect<Body>[];
  readonly wakeAtMs: () => number | undefined;
}

const ATTEMPTS_MAX = 4;
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

export function createDirectCall<Body = string>(settings: DirectCallSettings): DirectCall<Body> {
  const attemptsMax = settings.attemptsMax ?? ATTEMPTS_MAX;
  const retriedStatuses = settings.retriedStatuses ?? RETRIED_STATUSES;
  const live = new Set<number>();
  let attempts = 0;
  /** Attempts that reached no server. */
  let unsent = 0;
  let hasEnded = false;
  let wasSent = false;
  let hedgeAtMs = settings.isIdempotent ? settings.hedgeAtMs : undefined;
  /** The answer to give if no attempt does better. */
  let fallback: CallResult<Body> | undefined;

  function send(cause: SendCause): DirectCallEffect<Body>[] {
    attempts += 1;
    live.add(attempts);
    return [{ kind: 'send', attemptNo: attempts, cause }];
  }

  function end(result: CallResult<Body>): DirectCallEffect<Body>[] {
    hasEnded = true;
    const cancels = [...live].map((attemptNo) => ({ kind: 'cancel' as const, attemptNo }));
    live.clear();
    return [...cancels, { kind: 'answer', result }];
  }

  function canSendAgain(): boolean {
    return attempts - unsent < attemptsMax;
  }

  function retryOrEnd(result: CallResult<Body>, isSafe: boolean): DirectCallEffect<Body>[] {
    if (fallback?.kind !== 'ok' || result.kind === 'ok') fallback = result;
    if (live.size > 0) return [];
    const mayRetry = isSafe && canSendAgain();
    return mayRetry && settings.budget.tryTake() ? send('retry') : end(fallback);
  }

  /** A refused connection put no work on a server: the next one is tried outside the budget. */
  function onNotSent(
    message: string,
    hasArrived: boolean,
    nowMs: number,
  ): DirectCallEffect<Body>[] {
    unsent += 1;
    const isDue = nowMs < settings.deadlineAtMs && unsent < ATTEMPTS_MAX && canSendAgain();
    if (isDue && (!hasArrived || settings.budget.tryTake())) return send('refused');
    if (live.size > 0) return [];
    return end(fallback ?? noBackend(message));
  }

  function onAnswer(
    event: Extract<DirectCallEvent<Body>, { kind: 'answer' }>,
    nowMs: number,
  ): DirectCallEffect<Body>[] {
    // An attempt that was cancelled or has answered already no longer counts.
    if (!live.delete(event.attemptNo)) return [];
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
        // A call that may have run elsewhere must not end as "not run".
        return retryOrEnd(
          wasSent ? (fallback ?? outcomeUnknown()) : rejectedByServer(),
          settings.isIdempotent || !wasSent,
        );
      case 'unknown':
        wasSent = true;
        return retryOrEnd(
          settings.isIdempotent ? lostAnswer() : outcomeUnknown(),
          settings.isIdempotent,
        );
      default:
        return assertNever(answer);
    }
  }

  function onTick(nowMs: number): DirectCallEffect<Body>[] {
    if (nowMs >= settings.deadlineAtMs) {
      if (fallback?.kind === 'ok') return end(fallback);
      const isNotRun = live.size === 0 && !wasSent && fallback === undefined;
      return end(isNotRun ? expiredBeforeSend() : expiredAfterSend());
    }
    if (hedgeAtMs === undefined || nowMs < hedgeAtMs) return [];
    hedgeAtMs = undefined;
    return live.size === 1 && canSendAgain() && settings.budget.tryTake() ? send('hedge') : [];
  }

  return {
    start: (nowMs) => {
      settings.budget.onRequest();
      return nowMs >= settings.deadlineAtMs ? end(expiredBeforeSend()) : send('first');
    },
    onEvent: (event, nowMs) => {
      if (hasEnded) return [];
      return event.kind === 'answer' ? onAnswer(event, nowMs) : onTick(nowMs);
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
    error: createServeError('backend_failed', 'no server answered the call', 'unknown'),
  };
}
