import type { AttemptNo, RequestId } from '@mimosamill/core';

export interface ServiceCall {
  readonly operation: string;
  readonly requestId: RequestId;
  readonly attemptNo: AttemptNo;
  readonly idempotencyKey: string;
  /** JSON text. */
  readonly body: string;
  readonly timeoutMs: number;
  readonly traceparent?: string;
}

/**
 * Outcome of a call to a plain service.
 *
 * - `not_sent`: certainly not run, because no connection was made or the server refused the call
 * - `unknown`: sent, but no valid response to this request and attempt was received
 */
export type ServiceCallOutcome =
  | { readonly kind: 'ok'; readonly status: number; readonly body: string }
  | { readonly kind: 'not_sent'; readonly isLeaving: boolean; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

/** Result of asking a plain service whether it ran the call with an idempotency key. */
export type ServiceLookupOutcome =
  | { readonly kind: 'ran'; readonly status: number; readonly body: string }
  | { readonly kind: 'not_seen' }
  | { readonly kind: 'unavailable'; readonly message: string };

export interface ServerLoad {
  readonly state: 'live' | 'leaving';
  readonly running: number;
  readonly maxRunning: number;
}

/** Client of the servers of plain services, each of which is reached by its address. */
export interface ServiceClient {
  call(address: string, call: ServiceCall, signal?: AbortSignal): Promise<ServiceCallOutcome>;
  lookup(address: string, idempotencyKey: string): Promise<ServiceLookupOutcome>;
  readLoad(address: string): Promise<ServerLoad | undefined>;
}
