import { assertNever, createServeError } from '../outcome';
import { expiredAfterSend, expiredBeforeSend, noBackend, okResult, outcomeUnknown } from './result';
import type { RetryBudget } from './budget';
import type { CallResult } from './result';

/** A call without a claim: idempotent, or non-idempotent without a key. */
export interface DirectCallSettings {
  /** False: the call reaches a server at most once and is neither retried nor hedged. */
  readonly isIdempotent: boolean;
  readonly deadlineAtMs: number;
  /** When a second attempt is started next to the first; undefined for never. */
  readonly hedgeAtMs: number | undefined;
  readonly budget: RetryBudget;
}

export type ServerAnswer =
  | { readonly kind: 'ok'; readonly status: number; readonly body: string }
  | { readonly kind: 'not_sent'; readonly message: string }
  | { readonly kind: 'unknown' };

export type DirectCallEvent =
  | { readonly kind: 'answer'; readonly attemptNo: number; readonly answer: ServerAnswer }
  | { readonly kind: 'tick' };

export type DirectCallEffect =
  | { readonly kind: 'send'; readonly attemptNo: number; readonly cause: SendCause }
  | { readonly kind: 'cancel'; readonly attemptNo: number }
  /** Once a call, as its last effect. */
  | { readonly kind: 'answer'; readonly result: CallResult };

export type SendCause = 'first' | 'refused' | 'retry' | 'hedge';

export interface DirectCall {
  readonly start: (nowMs: number) => DirectCallEffect[];
  readonly on: (event: DirectCallEvent, nowMs: number) => DirectCallEffect[];
  readonly wakeAtMs: () => number | undefined;
}

const ATTEMPTS_MAX = 4;
/** Statuses with which a server reports that it is unable to answer, rather than an answer. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

export function createDirectCall(settings: DirectCallSettings): DirectCall {
  const live = new Set<number>();
  let attempts = 0;
  let hasEnded = false;
  let wasSent = false;
  let hedgeAtMs = settings.isIdempotent ? settings.hedgeAtMs : undefined;
  /** The answer to give if no attempt does better. */
  let fallback: CallResult | undefined;

  function send(cause: SendCause): DirectCallEffect[] {
    attempts += 1;
    live.add(attempts);
    return [{ kind: 'send', attemptNo: attempts, cause }];
  }

  function end(result: CallResult): DirectCallEffect[] {
    hasEnded = true;
    const cancels = [...live].map((attemptNo) => ({ kind: 'cancel' as const, attemptNo }));
    live.clear();
    return [...cancels, { kind: 'answer', result }];
  }

  function retryOrEnd(result: CallResult): DirectCallEffect[] {
    fallback = result;
    if (live.size > 0) return [];
    const mayRetry = settings.isIdempotent && attempts < ATTEMPTS_MAX;
    return mayRetry && settings.budget.tryTake() ? send('retry') : end(result);
  }

  /** A refused connection put no work on a server: the next one is tried outside the budget. */
  function onNotSent(message: string, nowMs: number): DirectCallEffect[] {
    if (attempts < ATTEMPTS_MAX && nowMs < settings.deadlineAtMs) return send('refused');
    if (live.size > 0) return [];
    return end(fallback ?? noBackend(message));
  }

  function onAnswer(
    event: Extract<DirectCallEvent, { kind: 'answer' }>,
    nowMs: number,
  ): DirectCallEffect[] {
    // An attempt that was cancelled or has answered already no longer counts.
    if (!live.delete(event.attemptNo)) return [];
    const { answer } = event;
    switch (answer.kind) {
      case 'ok': {
        const result = okResult(answer.status, answer.body, false);
        const isFailure = settings.isIdempotent && RETRIED_STATUSES.has(answer.status);
        return isFailure ? retryOrEnd(result) : end(result);
      }
      case 'not_sent':
        return onNotSent(answer.message, nowMs);
      case 'unknown':
        wasSent = true;
        return retryOrEnd(settings.isIdempotent ? lostAnswer() : outcomeUnknown());
      default:
        return assertNever(answer);
    }
  }

  function onTick(nowMs: number): DirectCallEffect[] {
    if (nowMs >= settings.deadlineAtMs) {
      const isNotRun = live.size === 0 && !wasSent && fallback === undefined;
      return end(isNotRun ? expiredBeforeSend() : expiredAfterSend());
    }
    if (hedgeAtMs === undefined || nowMs < hedgeAtMs) return [];
    hedgeAtMs = undefined;
    return live.size === 1 && settings.budget.tryTake() ? send('hedge') : [];
  }

  return {
    start: (nowMs) => {
      settings.budget.onRequest();
      return nowMs >= settings.deadlineAtMs ? end(expiredBeforeSend()) : send('first');
    },
    on: (event, nowMs) => {
      if (hasEnded) return [];
      return event.kind === 'answer' ? onAnswer(event, nowMs) : onTick(nowMs);
    },
    wakeAtMs: () => {
      if (hasEnded) return undefined;
      return Math.min(settings.deadlineAtMs, hedgeAtMs ?? Infinity);
    },
  };
}

function lostAnswer(): CallResult {
  return {
    kind: 'error',
    error: createServeError('backend_failed', 'no server answered the call', 'unknown'),
  };
}
