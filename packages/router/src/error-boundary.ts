import { createServeError } from '@mimosamill/core';
import type { DecisionFields, DecisionLog } from '@mimosamill/adapters';
import type { ServeError } from '@mimosamill/core';

/**
 * Contains the exceptions of one request. Its steps run in callbacks of sockets, timers and promises, where
 * an exception that nobody handles ends the process, and with it the requests of all other callers.
 */
export interface ErrorBoundary {
  /** The same step, but an exception in it only ends the request. */
  readonly wrap: <A extends readonly unknown[]>(step: (...args: A) => void) => (...args: A) => void;
  /** Contains the rejection of a promise that nobody waits for. */
  readonly watch: (running: Promise<unknown>) => void;
}

/** `request` names the request in the log; `endRequest` gets the error that its caller is to get. */
export function createErrorBoundary(
  decisions: DecisionLog,
  request: DecisionFields,
  endRequest: (error: ServeError) => void,
): ErrorBoundary {
  function contain(cause: unknown): void {
    const error = reportHandlingError(decisions, request, cause);
    try {
      endRequest(error);
    } catch (next) {
      reportHandlingError(decisions, request, next);
    }
  }

  return {
    wrap:
      (step) =>
      (...args) => {
        try {
          step(...args);
        } catch (cause) {
          contain(cause);
        }
      },
    watch: (running) => {
      running.catch(contain);
    },
  };
}

/** Logs an exception in the handling of a request; the request may have run. */
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
