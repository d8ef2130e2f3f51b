import { createServeError } from '../outcome';
import type { ServeError } from '../outcome';

/** What the caller is told. `isReplay`: the call had run before, this is its recorded answer. */
export type CallResult =
  | {
      readonly kind: 'ok';
      readonly status: number;
      readonly body: string;
      readonly isReplay: boolean;
    }
  | { readonly kind: 'error'; readonly error: ServeError };

/** What the owner of a claim tells a router that asks. 'not_sent' is final. */
export type OwnerAnswer =
  | { readonly kind: 'done'; readonly status: number; readonly body: string }
  | { readonly kind: 'running' }
  | { readonly kind: 'not_sent' }
  | { readonly kind: 'unknown' }
  /** The owner cannot be reached, or has no memory of the attempt. */
  | { readonly kind: 'gone' };

const RETRY_AFTER_MS = 1_000;

export function okResult(status: number, body: string, isReplay: boolean): CallResult {
  return { kind: 'ok', status, body, isReplay };
}

export function keyReused(): CallResult {
  return failed('key_reused', 'the key was used before with another operation or body', 'not_run');
}

export function storeUnavailable(): CallResult {
  return failed('store_unavailable', 'the call could not be claimed in the tables', 'not_run');
}

export function noBackend(message: string): CallResult {
  return failed('no_backend', message, 'not_run');
}

export function expiredBeforeSend(): CallResult {
  return failed('deadline_exceeded', 'the deadline passed before the call was sent', 'not_run');
}

export function expiredAfterSend(): CallResult {
  return failed('deadline_exceeded', 'no answer before the deadline', 'unknown');
}

export function outcomeUnknown(): CallResult {
  return failed('outcome_unknown', 'the call was sent and no answer came back', 'unknown');
}

export function callInProgress(): CallResult {
  return failed('call_in_progress', 'the call is still running on another router', 'unknown');
}

/** Not 'not_run': a request that is still in flight may claim the key after the read. */
export function noRunRecorded(): CallResult {
  return failed('unknown_call', 'no run is recorded for this key', 'unknown');
}

export function lookupUnavailable(): CallResult {
  return failed('store_unavailable', 'the record of the call could not be read', 'unknown');
}

export function answerNotRecorded(): CallResult {
  return failed('duplicate_call', 'the call ran; its answer was too large to be recorded', 'ran');
}

function failed(
  code: ServeError['code'],
  message: string,
  runState: ServeError['runState'],
): CallResult {
  const isTemporary = code === 'store_unavailable' || code === 'call_in_progress';
  const retryAfterMs = isTemporary || code === 'no_backend' ? RETRY_AFTER_MS : undefined;
  return { kind: 'error', error: createServeError(code, message, runState, retryAfterMs) };
}
