import type { Brand, CustomerId, FailureDomain, RequestId, ServerId, ServiceName } from '../ids';

/** Whether the router may repeat a route's requests, and whether the answer is an event stream. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

export type RouteName = Brand<string, 'RouteName'>;

/** Id of a part of a prompt; requests whose prompts have the part in common send the same id. */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** Service that gets a part of a route's requests, in proportion to its weight. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A route whose requests are forwarded with their own method, path and body. */
export interface ForwardRoute {
  readonly name: RouteName;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time from a request to the end of its answer. */
  readonly timeoutMs: number;
  /** Target for the time to the answer, or to the first event of a stream. */
  readonly targetMs: number;
  /** Target for the longest gap between two events; streams only. */
  readonly gapTargetMs: number;
  /** Most backend servers that may run one request. */
  readonly attemptsMax: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** True if requests need no API key. */
  readonly isPublic: boolean;
  /** True if a stream may resume on another engine. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
}

/** Slots and KV cache of each engine of a service. */
export interface EngineCapacity {
  readonly slots: number;
  readonly memoryTokens: number;
  /** True if an engine can maintain a KV cache copy on another engine while it runs a request. */
  readonly hasBackups: boolean;
  /** Time for which a KV cache copy is kept after its last update. */
  readonly copyLifeMs: number;
}

export interface ForwardService {
  readonly name: ServiceName;
  /** Most connections that one server accepts from all clients together. */
  readonly connectionsMax: number;
  /** Path at which servers answer with their id; absent if a router of an earlier release relayed it. */
  readonly healthPath?: string | undefined;
  /** Undefined for a plain service. */
  readonly engine: EngineCapacity | undefined;
}

export interface ForwardCustomer {
  readonly customerId: CustomerId;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/** Limits on the size of a caller's request and on its idle time. */
export interface CallerLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Complete configuration of the forwarded traffic. */
export interface ForwardConfig {
  readonly revision: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly ForwardService[];
  readonly limits: CallerLimits;
  /** Undefined if requests need no API key. */
  readonly customers: readonly ForwardCustomer[] | undefined;
}

/** Entry of a backend server in the list of servers. */
export interface ForwardServer {
  readonly serverId: ServerId;
  readonly service: ServiceName;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly version: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** True if the entry may have expired only because the store was unreachable. */
  readonly isUncertain?: boolean;
  /** Wall-clock start time of the process; differs after a restart under the same id. */
  readonly startedAtMs: number | undefined;
}

/** Head of a caller's request: everything but the body. */
export interface RequestHead {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query exactly as sent. */
  readonly path: string;
  readonly host: string;
  /** Time for which the caller waits; undefined if the request does not state it. */
  readonly budgetMs: number | undefined;
  readonly key: string | undefined;
  /** Id of the last event that the caller has received, if the request resumes a stream. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number;
  /** Most tokens that the answer may have; 0 if not stated. */
  readonly outputTokens: number;
  /** The caller's estimate of the tokens of the answer; undefined if it has none. */
  readonly lengthHint: number | undefined;
  /** Parts of the prompt that other requests may have too: all but the last. */
  readonly sharedParts: readonly PromptPartId[];
}
