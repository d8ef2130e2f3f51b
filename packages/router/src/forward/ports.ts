import type { Clock, DecisionLog, Upstream } from '@mimosamill/adapters';
import type {
  CallHead,
  CustomerId,
  Fleet,
  ForwardRoute,
  ForwardService,
  Placer,
  RetryBudget,
  ServiceName,
} from '@mimosamill/core';
import type { ForwardDialect } from './dialect';
import type { ForwardCounters } from './counters';
import type { News } from './news';

/** What forwarding needs from the rest of the process. */
export interface ForwardPorts {
  readonly clock: Clock;
  readonly random: () => number;
  readonly fleet: Fleet;
  readonly placer: Placer;
  readonly upstream: Upstream;
  readonly dialect: ForwardDialect;
  readonly decisions: DecisionLog;
  readonly counters: ForwardCounters;
  readonly news: Pick<News, 'touch' | 'onFailure'>;
  readonly budgetOf: (service: ServiceName) => RetryBudget;
}

/** A caller's request that was admitted. */
export interface ForwardRequest {
  readonly head: CallHead;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  readonly customerId: CustomerId | undefined;
  readonly receivedAtMs: number;
  /** The caller is answered by then. */
  readonly deadlineAtMs: number;
}
