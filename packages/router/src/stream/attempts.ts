import type { AttemptHandle, TraceSpan } from '@mimosamill/adapters';
import type {
  AttemptNo,
  AttemptObserver,
  AttemptOutcome,
  EngineId,
  RequestId,
  RoutedRequest,
  RoutedRequestResult,
} from '@mimosamill/core';
import type { EngineEndpoint, StreamPorts } from './ports';

/** An attempt that has been sent to an engine. */
export interface SentAttempt {
  readonly attemptNo: AttemptNo;
  readonly engine: EngineEndpoint;
  readonly handle: AttemptHandle;
  readonly routedRequest: RoutedRequest;
  readonly span: TraceSpan;
  readonly observer: AttemptObserver;
}

/** The open attempts of one stream. Their progress is reported to the directory and observers. */
export interface Attempts {
  readonly add: (attempt: SentAttempt) => void;
  readonly engineOf: (attemptNo: AttemptNo) => EngineEndpoint | undefined;
  readonly engineIds: () => EngineId[];
  readonly size: () => number;
  readonly onToken: (attemptNo: AttemptNo) => void;
  /** Closes an attempt. With the result `cancelled`, the engine is told to cancel the request. */
  readonly close: (
    attemptNo: AttemptNo,
    result: RoutedRequestResult,
    outcome?: AttemptOutcome,
  ) => void;
  /** Closes an attempt whose request the engine has certainly not run. */
  readonly closeAsNotRun: (attemptNo: AttemptNo, result: RoutedRequestResult) => void;
  readonly cancelAll: () => void;
  /** Closes the connections without cancelling the request at the engines. */
  readonly abandonAll: () => void;
  /** Whether an engine may have run the request. */
  readonly mayHaveRun: () => boolean;
}

interface OpenAttempt extends SentAttempt {
  lastTokenMs: number;
  tokens: number;
}

const OUTCOME_BY_RESULT: Readonly<Record<RoutedRequestResult, AttemptOutcome>> = {
  ok: 'ok',
  failed: 'failed',
  refused: 'failed',
  cancelled: 'void',
};

export function createAttempts(ports: StreamPorts, requestId: RequestId): Attempts {
  const { clock, directory, engines } = ports;
  const open = new Map<AttemptNo, OpenAttempt>();
  let possiblyRunCount = 0;

  function onToken(attemptNo: AttemptNo): void {
    const attempt = open.get(attemptNo);
    if (attempt === undefined) return;
    const nowMs = clock.monotonicMs();
    if (attempt.tokens > 0) {
      attempt.observer.onGap(nowMs - attempt.lastTokenMs);
    } else {
      directory.onFirstToken(attempt.routedRequest);
      attempt.observer.onFirstToken(clock.nowMs());
    }
    attempt.tokens += 1;
    attempt.lastTokenMs = nowMs;
  }

  function close(
    attemptNo: AttemptNo,
    result: RoutedRequestResult,
    outcome: AttemptOutcome = OUTCOME_BY_RESULT[result],
  ): void {
    const attempt = open.get(attemptNo);
    if (attempt === undefined) return;
    open.delete(attemptNo);
    attempt.handle.close();
    directory.onEnd(attempt.routedRequest, result, attempt.tokens);
    attempt.observer.onOutcome(outcome, clock.nowMs());
    attempt.span.end(result === 'ok' ? undefined : result);
    if (result === 'cancelled') {
      void engines.cancel(attempt.engine.address, requestId, attemptNo);
    }
  }

  return {
    add: (attempt) => {
      possiblyRunCount += 1;
      open.set(attempt.attemptNo, { ...attempt, lastTokenMs: clock.monotonicMs(), tokens: 0 });
    },
    engineOf: (attemptNo) => open.get(attemptNo)?.engine,
    engineIds: () => [...open.values()].map(({ engine }) => engine.engineId),
    size: () => open.size,
    onToken,
    close,
    closeAsNotRun: (attemptNo, result) => {
      if (!open.has(attemptNo)) return;
      possiblyRunCount -= 1;
      close(attemptNo, result, 'void');
    },
    cancelAll: () => [...open.keys()].forEach((attemptNo) => close(attemptNo, 'cancelled')),
    abandonAll: () => {
      open.forEach((attempt) => attempt.handle.close());
      open.clear();
    },
    mayHaveRun: () => possiblyRunCount > 0,
  };
}
