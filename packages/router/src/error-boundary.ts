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

/** `report` logs an exception and returns the error with which `endRequest` ends the request. */
export function createErrorBoundary(
  report: (cause: unknown) => ServeError,
  endRequest: (error: ServeError) => void,
): ErrorBoundary {
  function contain(cause: unknown): void {
    const error = report(cause);
    try {
      endRequest(error);
    } catch (next) {
      report(next);
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
