/** Codes of the administration API's errors. */
export type AdminErrorCode =
  | 'bad_json'
  | 'bad_request'
  | 'body_too_large'
  | 'unauthorized'
  | 'forbidden'
  | 'not_found'
  | 'invalid_change'
  | 'conflict'
  | 'overwritten'
  | 'operation_reused'
  | 'move_running'
  | 'move_ended'
  | 'move_refused'
  | 'store_unavailable'
  | 'outcome_unknown'
  | 'router_unavailable'
  | 'too_many_watchers';

/** An error; `details` is for programs and holds, for example, both sides of a conflict. */
export interface AdminError {
  readonly kind: 'error';
  readonly code: AdminErrorCode;
  readonly message: string;
  readonly details?: unknown;
}

export const HTTP_STATUS_BY_CODE: Readonly<Record<AdminErrorCode, number>> = {
  bad_json: 400,
  bad_request: 400,
  body_too_large: 413,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  invalid_change: 422,
  conflict: 409,
  overwritten: 409,
  operation_reused: 409,
  move_running: 409,
  move_ended: 409,
  move_refused: 422,
  store_unavailable: 503,
  outcome_unknown: 502,
  router_unavailable: 503,
  too_many_watchers: 503,
};

export function adminError(code: AdminErrorCode, message: string, details?: unknown): AdminError {
  const error = { kind: 'error', code, message } as const;
  return details === undefined ? error : { ...error, details };
}

export function storeUnavailable(message: string): AdminError {
  return adminError(
    'store_unavailable',
    `the store is unavailable, and this request changed nothing: ${message}`,
  );
}

/** For a write that was not answered; repeating it with the same operation id is safe. */
export function outcomeUnknown(operationId: string, message: string): AdminError {
  return adminError(
    'outcome_unknown',
    `the change may have been applied (${message}); repeat it with the same operation id`,
    { operationId },
  );
}
