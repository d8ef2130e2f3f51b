import { createServeError } from '@mimosamill/core';
import type { DecisionFields, DecisionLog } from '@mimosamill/adapters';
import type { ServeError } from '@mimosamill/core';

/** Logs an exception in the handling of a request, which the fields name; the request may have run. */
export function reportHandlingError(
  decisions: DecisionLog,
  request: DecisionFields,
  cause: unknown,
): ServeError {
  decisions.vital('request.handling_failed', {
    ...request,
    problem: cause instanceof Error ? cause.stack : String(cause),
  });
  return createServeError('backend_failed', 'the router failed to handle the request', 'unknown');
}
