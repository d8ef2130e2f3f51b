import type { ServiceCallOutcome, TraceSpan } from '@mimosamill/adapters';

/** Where a call stands in the caller's trace. */
export interface TracedRequest {
  /** Header for the server if the call has no span of its own. */
  readonly traceparent?: string;
  readonly span?: TraceSpan;
}

export interface AttemptTrace {
  /** What the attempt's request carries. */
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
