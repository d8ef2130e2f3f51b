import type {
  CustomerId,
  OwnerAnswer,
  PlainServiceConfig,
  RetryBudget,
  RouterId,
  ServiceName,
} from '@mimosamill/core';
import type { Clock, ServiceClient, TableStore } from '@mimosamill/adapters';

/** What a call tells of its server. */
export interface ServerCallResult {
  readonly isSuccess: boolean;
  readonly tookMs: number;
}

/** Chooses a server of a plain service; undefined if none is left. */
export interface ServerPicker {
  pick(service: ServiceName, excluded: ReadonlySet<string>, operation?: string): string | undefined;
  /** A server refused a connection or said that it is leaving. */
  onRefused(service: ServiceName, address: string): void;
  /** A call was sent and neither refused nor cancelled. */
  onResult(
    service: ServiceName,
    address: string,
    operation: string,
    result: ServerCallResult,
  ): void;
}

/** A question to the router that holds a claim. */
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
  /** A fresh id that no other process ever creates. */
  readonly createId: () => string;
  /** A hash without feasible collisions, to tell two bodies apart. */
  readonly hashBody: (text: string) => string;
}
