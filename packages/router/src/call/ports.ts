import type {
  CustomerId,
  OwnerAnswer,
  PlainServiceConfig,
  RetryBudget,
  RouterId,
  ServiceName,
} from '@mimosamill/core';
import type { Clock, ServiceClient, TableStore } from '@mimosamill/adapters';

/** Result of a call, from which the health of its server is judged. */
export interface ServerCallResult {
  readonly isSuccess: boolean;
  readonly tookMs: number;
}

/** Chooses a server of a plain service; undefined if none is left. */
export interface ServerPicker {
  pick(service: ServiceName, excluded: ReadonlySet<string>, operation?: string): string | undefined;
  /** A server refused a connection or said that it is leaving. */
  onRefused(service: ServiceName, address: string): void;
  /**
   * A call was sent and not refused. A call that was cancelled before its deadline counts only if
   * it had been slow enough for a hedge.
   */
  onResult(
    service: ServiceName,
    address: string,
    operation: string,
    result: ServerCallResult,
  ): void;
}

/** Asks the router that owns a claim for the outcome of its call. */
export interface OwnerQuestion {
  readonly service: ServiceName;
  readonly customerId: CustomerId;
  readonly key: string;
  readonly attemptId: string;
  /** How long the owner may wait for the outcome of a running call. */
  readonly waitMs: number;
}

/** Asks other routers about their claims; 'gone' if the router cannot be reached in time. */
export interface OwnerClient {
  ask(routerId: RouterId, question: OwnerQuestion): Promise<OwnerAnswer>;
}

export interface CallsPorts {
  readonly routerId: RouterId;
  readonly clock: Clock;
  readonly tables: TableStore;
  readonly services: ServiceClient;
  readonly servers: ServerPicker;
  readonly owners: OwnerClient;
  /** Shared with the resumes of streams. */
  readonly retryBudget: RetryBudget;
  readonly serviceConfig: (service: ServiceName) => PlainServiceConfig | undefined;
  /** Creates an id that is unique among all processes. */
  readonly createId: () => string;
  /** A collision-resistant hash, by which a reused key with another body is detected. */
  readonly hashBody: (text: string) => string;
}
