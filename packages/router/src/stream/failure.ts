import { createServeError } from '@mimosamill/core';
import type { RunState, ServeError } from '@mimosamill/core';

const RETRY_AFTER_MS = 1_000;

/** The request's content is known to crash engines. */
export function condemnedError(runState: RunState): ServeError {
  const message = 'requests with this content have crashed engines';
  return createServeError('request_condemned', message, runState);
}

/** No engine could be found for an attempt. */
export function noEngineError(reason: string, runState: RunState): ServeError {
  if (reason === 'no_version' && runState === 'ran') {
    return createServeError('version_gone', 'no engine has the version of this stream', runState);
  }
  const message = `no engine can take the request (${reason})`;
  return createServeError('no_backend', message, runState, RETRY_AFTER_MS);
}

/** Another attempt could generate other tokens than those that the caller has. */
export function journalLostError(): ServeError {
  return createServeError('journal_lost', 'the caller has tokens of which no copy is left', 'ran');
}
