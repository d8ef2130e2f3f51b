import { createServeError } from '@mimosamill/core';
import type { RunState, ServeError } from '@mimosamill/core';

const RETRY_AFTER_MS = 1_000;

/** Requests with the same content have crashed engines. */
export function condemnedError(runState: RunState): ServeError {
  const message = 'the request was refused because requests with the same content crashed engines';
  return createServeError('request_condemned', message, runState);
}

/** No engine is available for an attempt. */
export function noEngineError(reason: string, runState: RunState): ServeError {
  if (reason === 'no_version' && runState === 'ran') {
    return createServeError(
      'version_gone',
      'no engine has the model version that generated the stream so far',
      runState,
    );
  }
  const message = `no engine is available for the request (${reason})`;
  return createServeError('no_backend', message, runState, RETRY_AFTER_MS);
}

/** No replica has all tokens that the caller received; a new attempt could differ from them. */
export function journalLostError(): ServeError {
  return createServeError(
    'journal_lost',
    'no router has a copy of all the tokens that the caller received',
    'ran',
  );
}
