import { createServeError } from '../outcome';
import type { ServeError } from '../outcome';

/** The result for the caller. `isReplay`: the call ran earlier, and this is its recorded answer. */
export type CallResult<Body = string> =
  | {
      readonly kind: 'ok';
      readonly status: number;
      readonly body: Body;
      readonly isReplay: boolean;
    }
  | { readonly kind: 'error'; readonly error: ServeError };

export type ErrorResult = Extract<CallResult, { kind: 'error' }>;

/** The state of a claim, as its owner reports it to another router. 'not_sent' is final. */
export type OwnerAnswer =
  | { readonly kind: 'done'; readonly status: number; readonly body: string }
  | { readonly kind: 'running' }
  | { readonly kind: 'not_sent' }
  | { readonly kind: 'unknown' }
  /** The owner cannot be reached, or does not know the attempt. */
  | { readonly kind: 'gone' };

const RETRY_AFTER_MS = 1_000;
/** A full server frees a slot after a few calls. */
const REJECTED_RETRY_AFTER_MS = 150;

export function okResult<Body>(status: number, body: Body, isReplay: boolean): CallResult<Body> {
  return { kind: 'ok', status, body, isReplay };
}

export function keyReused(): ErrorResult {
  return failed('key_reused', 'the key was used before with another operation or body', 'not_run');
}

export function storeUnavailable(): ErrorResult {
  return failed(
    'store_unavailable',
    'the call was not sent: its claim could not be written to the store',
    'not_run',
  );
}

export function noBackend(message: string): ErrorResult {
  return failed('no_backend', message, 'not_run');
}

export function rejectedByServer(): ErrorResult {
  return {
    kind: 'error',
    error: createServeError(
      'overloaded',
      'the server is full and did not run the call',
      'not_run',
      REJECTED_RETRY_AFTER_MS,
    ),
  };
}

export function expiredBeforeSend(): ErrorResult {
  return failed('deadline_exceeded', 'the deadline passed before the call was sent', 'not_run');
}

export function expiredAfterSend(): ErrorResult {
  return failed(
    'deadline_exceeded',
    'the server did not answer before the deadline; the call may have run',
    'unknown',
  );
}

export function outcomeUnknown(): ErrorResult {
  return failed(
    'outcome_unknown',
    'the call was sent and no answer came back; it may have run',
    'unknown',
  );
}

export function callInProgress(): ErrorResult {
  return failed('call_in_progress', 'the call is still running on another router', 'unknown');
}

/** Not 'not_run': a request in flight may still claim the key after the record was read. */
export function noRunRecorded(): ErrorResult {
  return failed('unknown_call', 'no run is recorded for this key', 'unknown');
}

export function lookupUnavailable(): ErrorResult {
  return failed(
    'store_unavailable',
    'the record of the call could not be read from the store',
    'unknown',
  );
}

export function answerNotRecorded(): ErrorResult {
  return failed('duplicate_call', 'the call ran; its answer was too large to be recorded', 'ran');
}

function failed(
  code: ServeError['code'],
  message: string,
  runState: ServeError['runState'],
): ErrorResult {
  const isTemporary = code === 'store_unavailable' || code === 'call_in_progress';
  const retryAfterMs = isTemporary || code === 'no_backend' ? RETRY_AFTER_MS : undefined;
  return { kind: 'error', error: createServeError(code, message, runState, retryAfterMs) };
}
