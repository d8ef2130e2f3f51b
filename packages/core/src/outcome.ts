/** Whether a backend server executed a request. */
export type RunState = 'not_run' | 'ran' | 'unknown';

export type ServeErrorCode =
  | 'bad_json'
  | 'bad_request'
  | 'body_too_large'
  | 'request_timeout'
  | 'unauthorized'
  | 'forbidden'
  | 'unknown_model'
  | 'unknown_service'
  | 'unknown_call'
  | 'over_limit'
  | 'overloaded'
  | 'no_backend'
  | 'version_gone'
  | 'journal_lost'
  | 'request_condemned'
  | 'deadline_exceeded'
  | 'duplicate_call'
  | 'key_reused'
  | 'call_in_progress'
  | 'outcome_unknown'
  | 'store_unavailable'
  | 'backend_failed'
  | 'shutting_down'
  | 'not_ready'
  | 'not_found';

/** An error answer to a caller. `runState` is 'not_run' only if no server can have executed the request. */
export interface ServeError {
  readonly code: ServeErrorCode;
  readonly message: string;
  readonly runState: RunState;
  readonly retryAfterMs?: number;
}

/** Creates an error. By default the request was refused before it was sent to a server: 'not_run'. */
export function createServeError(
  code: ServeErrorCode,
  message: string,
  runState: RunState = 'not_run',
  retryAfterMs?: number,
): ServeError {
  const error = { code, message, runState };
  return retryAfterMs === undefined ? error : { ...error, retryAfterMs };
}

const STATUS_BY_CODE: Readonly<Record<ServeErrorCode, number>> = {
  bad_json: 400,
  bad_request: 400,
  body_too_large: 413,
  request_timeout: 408,
  unauthorized: 401,
  forbidden: 403,
  unknown_model: 404,
  unknown_service: 404,
  unknown_call: 404,
  over_limit: 429,
  overloaded: 503,
  no_backend: 503,
  version_gone: 502,
  journal_lost: 502,
  request_condemned: 422,
  deadline_exceeded: 504,
  duplicate_call: 409,
  key_reused: 422,
  call_in_progress: 409,
  outcome_unknown: 502,
  store_unavailable: 503,
  backend_failed: 502,
  shutting_down: 503,
  not_ready: 503,
  not_found: 404,
};

/** HTTP status of an error code. */
export function httpStatus(code: ServeErrorCode): number {
  return STATUS_BY_CODE[code];
}

/** Default branch of an exhaustive switch; the compiler reports a case that is not handled. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value in an exhaustive switch: ${JSON.stringify(value)}`);
}
