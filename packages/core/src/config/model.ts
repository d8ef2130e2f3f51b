import type {
  CustomerId,
  FailureDomain,
  MoveId,
  Revision,
  ServiceName,
  TeamId,
  VersionName,
} from '../ids';

/** Settings that have a fleet-wide default and may have exceptions. */
export interface FleetDefaults {
  /** Longest generation a caller may ask for. */
  readonly maxTokens: number;
  /** Deadline of a request that names none. */
  readonly deadlineMs: number;
  /** How long a stream is kept for a caller that went away. */
  readonly reconnectWindowMs: number;
  /** Limits per customer over the whole fleet. */
  readonly requestsPerSec: number;
  readonly tokensPerSec: number;
  readonly concurrentStreams: number;
  /** Bounds of the silence after which an engine is taken for lost. */
  readonly silenceMinMs: number;
  readonly silenceMaxMs: number;
  /** Retries and hedges allowed per request served. */
  readonly retryBudgetRatio: number;
  /** Largest part of a service's engines that may be ejected at once. */
  readonly ejectedMaxRatio: number;
  /** How long a culprit's fingerprint is refused. */
  readonly culpritExpiryMs: number;
}

export const FLEET_DEFAULTS: FleetDefaults = {
  maxTokens: 16_384,
  deadlineMs: 600_000,
  reconnectWindowMs: 30_000,
  requestsPerSec: 50,
  tokensPerSec: 20_000,
  concurrentStreams: 200,
  silenceMinMs: 250,
  silenceMaxMs: 1_000,
  retryBudgetRatio: 0.1,
  ejectedMaxRatio: 0.3,
  culpritExpiryMs: 600_000,
};

/** Where an exception applies; every named field must match. */
export interface ExceptionScope {
  readonly service?: ServiceName;
  readonly customer?: CustomerId;
  readonly failureDomain?: FailureDomain;
}

/** One default replaced within a scope. The reason is mandatory. */
export interface ConfigException {
  readonly id: string;
  readonly scope: ExceptionScope;
  readonly setting: keyof FleetDefaults;
  readonly value: number;
  readonly reason: string;
}

/** A version that is taking over a share of a service's traffic. */
export interface CandidateVersion {
  readonly moveId: MoveId;
  readonly version: VersionName;
  readonly shareRatio: number;
}

export interface EngineServiceConfig {
  readonly kind: 'engine';
  readonly name: ServiceName;
  readonly team: TeamId;
  readonly model: string;
  readonly adapters: readonly string[];
  /** Version that serves all traffic outside a move. */
  readonly stableVersion: VersionName;
  readonly candidate?: CandidateVersion;
  /** Whether this deployment's engines refuse orders with an old fencing number. */
  readonly fencing: 'enforced' | 'ignored';
}

export interface OperationConfig {
  readonly idempotent: boolean;
}

export interface PlainServiceConfig {
  readonly kind: 'plain';
  readonly name: ServiceName;
  readonly team: TeamId;
  readonly operations: Readonly<Record<string, OperationConfig>>;
  /** Whether the service can tell a call's outcome by its idempotency key. */
  readonly hasLookup: boolean;
}

export type ServiceConfig = EngineServiceConfig | PlainServiceConfig;

export interface CustomerConfig {
  readonly id: CustomerId;
  readonly team: TeamId;
  /** SHA-256 of each key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Weight in fair queues. */
  readonly weight: number;
  readonly services: readonly ServiceName[];
}

export interface TeamConfig {
  readonly id: TeamId;
  /** Administration keys: hash and role. */
  readonly admins: readonly TeamAdmin[];
  /** Limits of all the team's customers together, over the whole fleet; none if absent. */
  readonly limits?: TeamLimits;
}

export interface TeamLimits {
  readonly requestsPerSec: number;
  readonly tokensPerSec: number;
  readonly concurrentStreams: number;
}

export interface TeamAdmin {
  readonly name: string;
  readonly keyHash: string;
  /** 'fleet' may change everything, 'team' its own services and customers, 'viewer' nothing. */
  readonly role: 'fleet' | 'team' | 'viewer';
}

/** The whole configuration at one revision. */
export interface FleetConfig {
  readonly revision: Revision;
  readonly defaults: FleetDefaults;
  readonly exceptions: Readonly<Record<string, ConfigException>>;
  readonly services: Readonly<Record<string, ServiceConfig>>;
  readonly customers: Readonly<Record<string, CustomerConfig>>;
  readonly teams: Readonly<Record<string, TeamConfig>>;
}
