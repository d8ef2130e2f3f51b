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
 * 'not_sent': certainly not run (the connection could not be opened, or the server refused
 * before running). 'unknown': sent, but no valid answer to this request and attempt came back.
 */
export type ServiceCallOutcome =
  | { readonly kind: 'ok'; readonly status: number; readonly body: string }
  | { readonly kind: 'not_sent'; readonly isLeaving: boolean; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

/** What a plain service knows of a call, by its idempotency key. */
export type ServiceLookupOutcome =
  | { readonly kind: 'ran'; readonly status: number; readonly body: string }
  | { readonly kind: 'not_seen' }
  | { readonly kind: 'unavailable'; readonly message: string };

export interface ServerLoad {
  readonly state: 'live' | 'leaving';
  readonly running: number;
  readonly maxRunning: number;
}

/** A plain service's server, reached by its address. */
export interface ServiceClient {
  call(address: string, call: ServiceCall, signal?: AbortSignal): Promise<ServiceCallOutcome>;
  lookup(address: string, idempotencyKey: string): Promise<ServiceLookupOutcome>;
  readLoad(address: string): Promise<ServerLoad | undefined>;
}
