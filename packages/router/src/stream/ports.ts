import type { Clock, EngineClient, Log, Metrics, TraceSpan } from '@mimosamill/adapters';
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

/** The engines that this router knows. Streams report to it how their requests went. */
export interface EngineDirectory {
  readonly pick: (request: RouteRequest) => EnginePickOutcome;
  readonly onSent: (engineId: EngineId, request: RouteRequest) => RoutedRequest;
  readonly onFirstToken: (request: RoutedRequest) => void;
  readonly onEnd: (request: RoutedRequest, result: RoutedRequestResult, tokens: number) => void;
  readonly onLeaving: (engineId: EngineId) => void;
  readonly enginesOf: (service: ServiceName) => readonly KnownEngine[];
  /** An engine's running requests divided by its maximum. */
  readonly loadRatioOf: (engineId: EngineId) => number;
  /** Median time between tokens at the service's engines; undefined without load reports. */
  readonly typicalStepMs: (service: ServiceName) => number | undefined;
  /** Checks an engine that dropped a connection; true if it does not answer in time. */
  readonly confirmDown: (engineId: EngineId) => Promise<boolean>;
  /** Adds a listener that is called once for every engine found down. */
  readonly onDown: (listener: (engine: KnownEngine) => void) => void;
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
  /** Tokens of the stream when the engine died. */
  readonly tokenCount: number;
}

/** Whether an attempt may start, has to wait, or is refused because its content crashes engines. */
export type AttemptAdmission =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait'; readonly delayMs: number }
  | { readonly kind: 'condemned' };

/** Finds the requests that crash engines, and keeps them away from engines. */
export interface SuspectGuard {
  /** Called before each attempt. */
  readonly admit: (fingerprint: Fingerprint, requestId: RequestId) => AttemptAdmission;
  /** An admitted request was sent to an engine. */
  readonly onPlaced: (fingerprint: Fingerprint, engineId: EngineId) => void;
  /** Engines to exclude, so that suspected requests run on different engines. */
  readonly enginesToAvoid: (
    fingerprint: Fingerprint,
    engines: readonly KnownEngine[],
  ) => ReadonlySet<EngineId>;
  readonly onProgress: (fingerprint: Fingerprint, index: number) => void;
  readonly onDeath: (engine: KnownEngine, requests: readonly LostRequest[]) => void;
  readonly onEnd: (
    fingerprint: Fingerprint,
    requestId: RequestId,
    outcome: 'finished' | 'given_up',
  ) => void;
}

/** Chooses the version of a new request, and compares two versions during a move. */
export type VersionSelector = Pick<
  MoveMonitor,
  'chooseVersion' | 'enginesToAvoid' | 'onAttempt' | 'onEngineDown'
>;

export interface StreamPorts {
  readonly clock: Clock;
  readonly log: Log;
  readonly engines: EngineClient;
  readonly directory: EngineDirectory;
  readonly replicas: Pick<
    Replicas,
    'onStart' | 'onAttempt' | 'onToken' | 'onEnd' | 'find' | 'takeOver' | 'onRelease'
  >;
  readonly suspects: SuspectGuard;
  readonly versions: VersionSelector;
  readonly metrics: Metrics;
  /** Keys of the prompt's blocks, by which engines with a matching prefix cache are found. */
  readonly blockKeysOf: (text: string) => readonly number[];
  readonly fingerprintOf: (text: string) => Fingerprint;
}

/** A validated request for a generation. */
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
  /** Compared when a caller reconnects, so that a stream only continues for the same request. */
  readonly bodyHash: string;
  readonly span: TraceSpan;
  /** Absent if another router admitted the request. */
  readonly permit?: StreamPermit;
}

/** Accounts for what a stream uses of its customer's limits. */
export interface StreamPermit {
  readonly onFirstToken: () => void;
  readonly onTokens: (count: number) => void;
  /** An engine refused the request for lack of capacity; another attempt follows. */
  readonly onOverloaded: () => void;
  readonly onEnd: () => void;
}

/** Consumer of a stream's output, which reads tokens from the journal at its own speed. */
export interface StreamReader {
  /** The journal has grown, or the stream has ended. */
  readonly onProgress: () => void;
}
