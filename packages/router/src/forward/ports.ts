import type { Clock, DecisionLog, Upstream } from '@mimosamill/adapters';
import type {
  RequestHead,
  CustomerId,
  CallOutcomeTracker,
  Fleet,
  ForwardRoute,
  ForwardService,
  MemoryBudget,
  Placer,
  PriorityClass,
  RequestId,
  RetryBudget,
  ServerId,
  ServiceLoads,
  ServiceName,
  OutputSizes,
  ResponseBuffers,
  StreamDurations,
} from '@mimosamill/core';
import type { ForwardCodec } from './codec';
import type { ConnectionWatch } from './connection-watch';
import type { RequestContent } from './content';
import type { ForwardMetrics } from './metrics';
import type { CrashGuard } from './crash-guard';
import type { StateBroadcast } from './state-broadcast';
import type { VersionMoves } from './version-moves';

export type KvCacheCopyOutcome =
  | { readonly kind: 'ok'; readonly handle: string }
  /** The engine does not run the request, or has not started it. */
  | { readonly kind: 'no_run' }
  /** The engine is already making another copy for the same request. */
  | { readonly kind: 'busy' }
  /** The receiving engine has no room or cannot be reached. */
  | { readonly kind: 'no_room' }
  | { readonly kind: 'failed'; readonly message: string };

/** Asks the engine that runs a request to copy the request's KV cache to another engine. */
export interface KvCacheCopyClient {
  readonly create: (
    engineAddress: string,
    requestId: RequestId,
    toAddress: string,
  ) => Promise<KvCacheCopyOutcome>;
  /** Frees a copy at both engines. */
  readonly release: (engineAddress: string, handle: string) => Promise<void>;
}

/** Dependencies of forwarding. */
export interface ForwardPorts {
  readonly clock: Clock;
  readonly random: () => number;
  readonly fleet: Fleet;
  readonly placer: Placer;
  readonly serviceLoads: ServiceLoads;
  readonly callOutcomes: CallOutcomeTracker;
  readonly upstream: Upstream;
  readonly connections: ConnectionWatch;
  readonly streamDurations: StreamDurations;
  readonly outputSizes: OutputSizes;
  readonly responseBuffers: ResponseBuffers;
  /** Bounds what is held for callers and servers together. */
  readonly memory: MemoryBudget;
  readonly kvCopies: KvCacheCopyClient;
  readonly codec: ForwardCodec;
  readonly decisions: DecisionLog;
  readonly metrics: ForwardMetrics;
  readonly stateBroadcast: Pick<
    StateBroadcast,
    'sendSoon' | 'sendLater' | 'sendWithNext' | 'onServerFailure'
  >;
  readonly versionMoves: Pick<
    VersionMoves,
    'excludedServers' | 'excludedCopyHolders' | 'trackAttempt'
  >;
  /** Whether engines are told to serve new streams in the order of their priorities. */
  readonly servesUrgentFirst: () => boolean;
  /** Age of the list of servers; Infinity if it is unknown. */
  readonly serverListAgeMs: () => number;
  /** Called when a server says in an answer that it is leaving. */
  readonly onServerLeaving: (serverId: ServerId) => void;
  readonly crashGuard: Pick<
    CrashGuard,
    'onBrokenAttempt' | 'onAnswered' | 'findCondemned' | 'isSuspected'
  >;
  readonly hash64: (text: string) => string;
  readonly retryBudgetOf: (service: ServiceName) => RetryBudget;
}

/** An admitted request of a caller. */
export interface ForwardRequest {
  readonly head: RequestHead;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  readonly customerId: CustomerId | undefined;
  readonly content: RequestContent;
  /** Random number from 0 to 1 by which requests share the room of servers near their limits. */
  readonly limitDraw: number;
  readonly receivedAtMs: number;
  /** Time by which the response must be ready; the time to write it is already subtracted. */
  readonly deadlineAtMs: number;
  /** Undefined if the configuration gives all streams of the service one priority. */
  readonly admission: AdmissionTerms | undefined;
}

/** What decides which streams of a service are sent first. */
export interface AdmissionTerms {
  readonly priorityClass: PriorityClass;
  /** Random number from 0 to 1 by which equal requests of all routers are told apart. */
  readonly draw: number;
}
