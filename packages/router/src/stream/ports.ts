import type { Clock, EngineClient, Metrics, TraceSpan } from '@mimosamill/adapters';
import type {
  EngineId,
  EngineServiceConfig,
  FailureDomain,
  Fingerprint,
  RequestId,
  RouteRequest,
  RoutedRequest,
  RoutedRequestResult,
  ServiceName,
} from '@mimosamill/core';
import type { MoveMonitor } from '../move/move-monitor';
import type { Replicas } from './replica';

export interface EngineEndpoint {
  readonly engineId: EngineId;
  readonly address: string;
}

export type EnginePickOutcome =
  | ({ readonly kind: 'ok'; readonly expectedTtftMs: number } & EngineEndpoint)
  | { readonly kind: 'none'; readonly reason: string };

/** The engines this router knows, and what it learns of them while it uses them. */
export interface EngineDirectory {
  readonly pick: (request: RouteRequest) => EnginePickOutcome;
  readonly onSent: (engineId: EngineId, request: RouteRequest) => RoutedRequest;
  readonly onFirstToken: (send: RoutedRequest) => void;
  readonly onEnd: (send: RoutedRequest, result: RoutedRequestResult, tokens: number) => void;
  readonly onLeaving: (engineId: EngineId) => void;
  readonly enginesOf: (service: ServiceName) => readonly KnownEngine[];
  /** Running requests of an engine per place. */
  readonly loadRatioOf: (engineId: EngineId) => number;
  /** Median time between tokens at the service's engines; undefined without reports. */
  readonly typicalStepMs: (service: ServiceName) => number | undefined;
  /** Whether an engine that dropped a connection no longer accepts any. */
  readonly confirmDown: (engineId: EngineId) => Promise<boolean>;
  /** Calls back once for every engine found down. */
  readonly onDown: (fn: (engine: KnownEngine) => void) => void;
}

export interface KnownEngine extends EngineEndpoint {
  readonly service: ServiceName;
  readonly failureDomain: FailureDomain;
  readonly versions: readonly string[];
}

/** A request that was on an engine when it died. */
export interface LostRequest {
  readonly fingerprint: Fingerprint;
  readonly requestId: RequestId;
  /** Tokens that the request had. */
  readonly tokenCount: number;
}

export type AttemptAdmission =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait'; readonly delayMs: number }
  | { readonly kind: 'condemned' };

/** Judges which requests may be killing engines. */
export interface SuspectGuard {
  /** Asked before each attempt. */
  readonly admit: (fingerprint: Fingerprint, requestId: RequestId) => AttemptAdmission;
  /** An admitted request was given to an engine. */
  readonly onPlaced: (fingerprint: Fingerprint, engineId: EngineId) => void;
  /** Engines to avoid, to keep suspects apart. */
  readonly enginesToAvoid: (
    fingerprint: Fingerprint,
    engines: readonly KnownEngine[],
  ) => ReadonlySet<EngineId>;
  readonly onProgress: (fingerprint: Fingerprint, index: number) => void;
  readonly onDeath: (engine: KnownEngine, requests: readonly LostRequest[]) => void;
  readonly onEnd: (
    fingerprint: Fingerprint,
    requestId: RequestId,
    how: 'finished' | 'given_up',
  ) => void;
}

/** Chooses the version of a new request and compares versions during a move. */
export type VersionSelector = Pick<
  MoveMonitor,
  'chooseVersion' | 'enginesToAvoid' | 'onAttempt' | 'onEngineDown'
>;

export interface StreamPorts {
  readonly clock: Clock;
  readonly engines: EngineClient;
  readonly directory: EngineDirectory;
  readonly replicas: Pick<
    Replicas,
    'onStart' | 'onAttempt' | 'onToken' | 'onEnd' | 'find' | 'takeOver' | 'onRelease'
  >;
  readonly suspects: SuspectGuard;
  readonly versions: VersionSelector;
  readonly metrics: Metrics;
  /** Routing keys of a prompt's blocks. */
  readonly blockKeysOf: (text: string) => readonly number[];
  readonly fingerprintOf: (text: string) => Fingerprint;
}

/** A generation that a caller asked for, after all checks. */
export interface StreamRequest {
  readonly requestId: RequestId;
  readonly service: EngineServiceConfig;
  readonly adapter: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed: number;
  readonly priority: 'urgent' | 'normal' | 'batch';
  readonly deadlineAtMs: number;
  readonly reconnectWindowMs: number;
  readonly silenceMinMs: number;
  readonly silenceMaxMs: number;
  /** Tells whether a reconnecting caller sends the same request. */
  readonly bodyHash: string;
  readonly span: TraceSpan;
  /** Accounts for the stream's use of limits; absent if another router admitted it. */
  readonly permit?: StreamPermit;
}

/** Told what a stream uses of its customer's limits. */
export interface StreamPermit {
  readonly onFirstToken: () => void;
  readonly onTokens: (count: number) => void;
  /** An engine refused the request for lack of room; it is tried again. */
  readonly onOverloaded: () => void;
  readonly onEnd: () => void;
}

/** Where a stream's output goes. It pulls tokens from the journal at its own speed. */
export interface StreamReader {
  /** The journal has grown, or the stream has ended. */
  readonly onProgress: () => void;
}
