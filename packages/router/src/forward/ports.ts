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
  ServiceName,
  StreamDurations,
} from '@mimosamill/core';
import type { ForwardDialect } from './dialect';
import type { ForwardCounters } from './counters';
import type { News } from './news';
import type { Versions } from './versions';

export type CopyOutcome =
  | { readonly kind: 'ok'; readonly handle: string }
  /** The engine does not run the request, or not yet. */
  | { readonly kind: 'no_run' }
  /** Another copy of the run is under way. */
  | { readonly kind: 'busy' }
  /** The other engine has no room or cannot be reached. */
  | { readonly kind: 'no_room' }
  | { readonly kind: 'failed'; readonly message: string };

/** Copies of runs' memory that an engine makes when it is asked. */
export interface RunCopies {
  readonly make: (
    engineAddress: string,
    requestId: RequestId,
    toAddress: string,
  ) => Promise<CopyOutcome>;
  /** Frees a copy at both engines. */
  readonly drop: (engineAddress: string, handle: string) => Promise<void>;
}

/** What forwarding needs from the rest of the process. */
export interface ForwardPorts {
  readonly clock: Clock;
  readonly random: () => number;
  readonly fleet: Fleet;
  readonly placer: Placer;
  readonly evidence: CallOutcomeTracker;
  readonly upstream: Upstream;
  readonly durations: StreamDurations;
  readonly copies: RunCopies;
  readonly dialect: ForwardDialect;
  readonly decisions: DecisionLog;
  readonly counters: ForwardCounters;
  readonly news: Pick<News, 'touch' | 'touchLater' | 'onFailure'>;
  readonly versions: Pick<Versions, 'excludedFor' | 'onAnswer'>;
  readonly budgetOf: (service: ServiceName) => RetryBudget;
}

/** A caller's request that was admitted. */
export interface ForwardRequest {
  readonly head: RequestHead;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  readonly customerId: CustomerId | undefined;
  readonly receivedAtMs: number;
  /** The caller is answered by then. */
  readonly deadlineAtMs: number;
}
