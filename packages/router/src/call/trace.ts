import type { ServiceCallOutcome, TraceSpan } from '@mimosamill/adapters';

/** The trace that a call belongs to. */
export interface TracedRequest {
  /** Sent to the server if the call has no span. */
  readonly traceparent?: string;
  readonly span?: TraceSpan;
}

export interface AttemptTrace {
  /** Headers of the attempt's request. */
  readonly headers: { readonly traceparent?: string };
  readonly end: (answer: ServiceCallOutcome) => void;
}

/** Starts the span of one attempt at a server. */
export function traceAttempt(
  request: TracedRequest,
  address: string,
  attemptNo: number,
): AttemptTrace {
  const span = request.span?.startChild('attempt', { server: address, attempt: attemptNo });
  const traceparent = span?.traceparent ?? request.traceparent;
  return {
    headers: traceparent === undefined ? {} : { traceparent },
    end: (answer) => span?.end(answer.kind === 'ok' ? undefined : answer.kind),
  };
}
