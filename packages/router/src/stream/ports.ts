import type { Clock, EngineClient, Log, Metrics, TraceSpan } from '@mimosamill/adapters';
import type {
  AttemptNo,
  EngineId,
  EngineServiceConfig,
  Fingerprint,
  RequestId,
  RouteRequest,
  Send,
  SendResult,
  ServeError,
  ServiceName,
  VersionName,
} from '@mimosamill/core';

export interface EnginePlace {
  readonly engineId: EngineId;
  readonly address: string;
}

export type PlaceOutcome =
  | ({ readonly kind: 'ok'; readonly expectedTtftMs: number } & EnginePlace)
  | { readonly kind: 'none'; readonly reason: string };

/** The engines this router knows, and what it learns of them while it uses them. */
export interface EngineDirectory {
  readonly pick: (request: RouteRequest) => PlaceOutcome;
  readonly onSent: (engineId: EngineId, request: RouteRequest) => Send;
  readonly onFirstToken: (send: Send) => void;
  readonly onEnd: (send: Send, result: SendResult) => void;
  readonly onLeaving: (engineId: EngineId) => void;
  readonly enginesOf: (service: ServiceName) => readonly EnginePlace[];
}

/** What another router left of a stream. */
export interface ReplicatedStream {
  readonly bodyHash: string;
  readonly engineId: EngineId;
  readonly address: string;
  readonly version: VersionName;
  readonly attemptNo: AttemptNo;
  readonly texts: readonly string[];
  readonly hasFinished: boolean;
}

/** Copies of running streams at other routers. */
export interface StreamReplicas {
  readonly onStart: (
    requestId: RequestId,
    start: {
      readonly bodyHash: string;
      readonly engineId: EngineId;
      readonly address: string;
      readonly version: VersionName;
      readonly attemptNo: AttemptNo;
      readonly texts: readonly string[];
    },
  ) => void;
  readonly onToken: (requestId: RequestId, index: number, text: string) => void;
  readonly onEnd: (requestId: RequestId) => void;
  readonly find: (requestId: RequestId) => Promise<ReplicatedStream | undefined>;
}

/** Judges which requests may be killing engines. */
export interface SuspectGuard {
  /** An error if the content is known to kill engines. */
  readonly check: (fingerprint: Fingerprint) => ServeError | undefined;
  /** Engines to avoid, to keep suspects apart. */
  readonly avoid: (fingerprint: Fingerprint) => ReadonlySet<EngineId>;
  readonly onSent: (fingerprint: Fingerprint, engineId: EngineId) => void;
  readonly onToken: (fingerprint: Fingerprint, index: number) => void;
  readonly onEngineLost: (fingerprint: Fingerprint, engineId: EngineId, index: number) => void;
  readonly onEnd: (fingerprint: Fingerprint, engineId: EngineId) => void;
}

/** Chooses the version of a new request and hears how it went. */
export interface VersionChooser {
  readonly choose: (service: EngineServiceConfig, requestId: RequestId) => VersionName;
  readonly observe: (observation: VersionObservation) => void;
}

export interface VersionObservation {
  readonly service: ServiceName;
  readonly version: VersionName;
  readonly adapter: string;
  readonly engineId: EngineId;
  /** What happened. */
  readonly event:
    | { readonly kind: 'first_token'; readonly afterMs: number }
    | { readonly kind: 'ended'; readonly meanGapMs: number }
    | { readonly kind: 'failed' };
}

export interface StreamPorts {
  readonly clock: Clock;
  readonly random: () => number;
  readonly engines: EngineClient;
  readonly directory: EngineDirectory;
  readonly replicas: StreamReplicas;
  readonly suspects: SuspectGuard;
  readonly versions: VersionChooser;
  readonly metrics: Metrics;
  readonly log: Log;
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
}

/** Where a stream's output goes. It pulls tokens from the journal at its own speed. */
export interface StreamReader {
  /** The journal has grown, or the stream has ended. */
  readonly onProgress: () => void;
}
