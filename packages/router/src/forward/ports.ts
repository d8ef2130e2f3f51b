import type { Clock, DecisionLog, Upstream } from '@mimosamill/adapters';
import type {
  RequestHead,
  CustomerId,
  CallOutcomeTracker,
  Fleet,
  ForwardRoute,
  ForwardService,
  Placer,
  RequestId,
  RetryBudget,
  ServerId,
  ServiceName,
  ResponseBuffers,
  StreamDurations,
} from '@mimosamill/core';
import type { ForwardCodec } from './codec';
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
  readonly callOutcomes: CallOutcomeTracker;
  readonly upstream: Upstream;
  readonly streamDurations: StreamDurations;
  readonly responseBuffers: ResponseBuffers;
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
}
