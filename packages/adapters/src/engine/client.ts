import type { AttemptNo, EngineId, RequestId } from '@mimosamill/core';

export type GeneratePriority = 'urgent' | 'normal' | 'batch';

export interface GenerateRequest {
  readonly requestId: RequestId;
  readonly attemptNo: AttemptNo;
  readonly model: string;
  readonly version: string;
  /** Adapter of the model's weights; empty for none. */
  readonly adapter: string;
  readonly prompt: string;
  /** Tokens that earlier attempts generated; the engine continues after them. */
  readonly generatedTokens: readonly string[];
  readonly maxTokens: number;
  readonly seed: number;
  readonly priority: GeneratePriority;
  readonly traceparent?: string;
}

/** Event of an attempt. Its last event is exactly one 'finish', 'lost' or 'refused'. */
export type AttemptEvent =
  | {
      readonly kind: 'token';
      readonly requestId: RequestId;
      readonly attemptNo: AttemptNo;
      readonly index: number;
      readonly text: string;
    }
  | { readonly kind: 'finish'; readonly attemptNo: AttemptNo; readonly reason: 'stop' | 'length' }
  | {
      readonly kind: 'lost';
      readonly attemptNo: AttemptNo;
      readonly cause: 'connect_failed' | 'reset' | 'ended_early';
      readonly message: string;
    }
  | {
      readonly kind: 'refused';
      readonly attemptNo: AttemptNo;
      readonly cause:
        'leaving' | 'overloaded' | 'no_version' | 'bad_request' | 'failed' | 'unknown';
      readonly message: string;
    };

export interface AttemptHandle {
  /** Closes the connection. No event is reported afterwards. */
  readonly close: () => void;
}

/** Load that an engine measured `reportAgeMs` before it answered. */
export interface EngineLoad {
  readonly engineId: EngineId;
  readonly state: 'live' | 'leaving';
  readonly role: 'mixed' | 'prefill' | 'decode';
  readonly running: number;
  readonly queued: number;
  readonly maxRunning: number;
  readonly cacheUsedRatio: number;
  readonly stepMs: number;
  readonly loaded: readonly LoadedModel[];
  readonly reportAgeMs: number;
}

export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  readonly blockHash: string;
}

export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  /** Older events are no longer available; a reader that has not read them must read a snapshot. */
  readonly oldestSeq: number;
  readonly latestSeq: number;
}

export interface CacheSnapshot {
  readonly asOfSeq: number;
  readonly blockHashes: readonly string[];
}

/** Orders an engine to reach a target state. Applying an order repeatedly has no further effect. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fencingNumber: number;
  readonly target: EngineTarget;
}

export interface EngineTarget {
  readonly loaded: readonly LoadedModel[];
  readonly role: 'mixed' | 'prefill' | 'decode';
}

export interface EngineState {
  readonly engineId: EngineId;
  readonly target: EngineTarget;
  readonly loaded: readonly LoadedModel[];
  readonly loading: readonly LoadedModel[];
  readonly highestFencingNumber: number;
}

export type EngineReadOutcome<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'unavailable'; readonly message: string };

export type EngineOrderOutcome =
  | { readonly kind: 'ok' }
  | { readonly kind: 'stale'; readonly highestFencingNumber: number }
  | { readonly kind: 'refused'; readonly message: string }
  | { readonly kind: 'unavailable'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

/** Client of model engines, each of which is reached by its address. */
export interface EngineClient {
  generate(
    address: string,
    request: GenerateRequest,
    onEvent: (event: AttemptEvent) => void,
  ): AttemptHandle;
  /** Streams the tokens of a request that the engine is running or has recently finished. */
  attach(
    address: string,
    requestId: RequestId,
    attemptNo: AttemptNo,
    fromIndex: number,
    onEvent: (event: AttemptEvent) => void,
  ): AttemptHandle;
  cancel(address: string, requestId: RequestId, attemptNo: AttemptNo): Promise<void>;
  readLoad(address: string): Promise<EngineReadOutcome<EngineLoad>>;
  readCacheEvents(address: string, afterSeq: number): Promise<EngineReadOutcome<CacheEvents>>;
  readCacheSnapshot(address: string): Promise<EngineReadOutcome<CacheSnapshot>>;
  readState(address: string): Promise<EngineReadOutcome<EngineState>>;
  sendOrder(address: string, order: EngineOrder): Promise<EngineOrderOutcome>;
}
