import type {
  CustomerId,
  FailureDomain,
  MoveId,
  Revision,
  ServiceName,
  TeamId,
  VersionName,
} from '../ids';

/** Fleet-wide defaults of the settings that exceptions can override. */
export interface FleetDefaults {
  /** Largest number of tokens that a request may ask for. */
  readonly maxTokens: number;
  /** Deadline of a request that sets none. */
  readonly deadlineMs: number;
  /** How long a stream is kept for a caller that disconnected. */
  readonly reconnectWindowMs: number;
  // Limits per customer across the whole fleet.
  readonly requestsPerSec: number;
  readonly tokensPerSec: number;
  readonly concurrentStreams: number;

  /** Lower bound of the gap between two tokens of a stream after which its engine counts as lost. */
  readonly silenceMinMs: number;
  /** Upper bound of that gap. */
  readonly silenceMaxMs: number;
  /** Number of retries and hedges allowed per request served. */
  readonly retryBudgetRatio: number;
  /** Largest fraction of a service's engines that may be ejected as outliers at the same time. */
  readonly ejectedMaxRatio: number;
  /** How long a request with the fingerprint of one that crashed engines is refused. */
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

/** Requests to which an exception applies: those that match all fields that are set. */
export interface ExceptionScope {
  readonly service?: ServiceName;
  readonly customer?: CustomerId;
  readonly failureDomain?: FailureDomain;
}

/** Overrides one default within a scope. The reason is mandatory. */
export interface ConfigException {
  readonly id: string;
  readonly scope: ExceptionScope;
  readonly setting: keyof FleetDefaults;
  readonly value: number;
  readonly reason: string;
}

/** The new version during a move, and its current share of the service's traffic. */
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
  /** Version that serves all traffic while no move is running. */
  readonly stableVersion: VersionName;
  readonly candidate?: CandidateVersion;
  /** Whether the engines refuse orders with an outdated fencing number. */
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
  /** Whether the service can look up a call's outcome by its idempotency key. */
  readonly hasLookup: boolean;
}

export type ServiceConfig = EngineServiceConfig | PlainServiceConfig;

export interface CustomerConfig {
  readonly id: CustomerId;
  readonly team: TeamId;
  /** SHA-256 of each API key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Weight in fair queueing. */
  readonly weight: number;
  readonly services: readonly ServiceName[];
}

export interface TeamConfig {
  readonly id: TeamId;
  /** Administrators with their key hashes and roles. */
  readonly admins: readonly TeamAdmin[];
  /** Fleet-wide limits of all the team's customers together; unlimited if absent. */
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
