import type { CandidateVersion, ServiceConfig, ServiceName, VersionName } from '@mimosamill/core';

export type ConfigChangeOutcome = 'ok' | 'conflict' | 'unavailable' | 'unknown';

/** Which versions of a service receive traffic, in the stored configuration. */
export interface VersionConfig {
  /** Undefined when the store cannot be read or has no such service. */
  readonly read: (service: ServiceName) => Promise<ServiceConfig | undefined>;
  /** A repeated operation id has no further effect. */
  readonly setCandidate: (
    service: ServiceName,
    candidate: CandidateVersion | undefined,
    operationId: string,
  ) => Promise<ConfigChangeOutcome>;
  /** Also removes the candidate. */
  readonly setStable: (
    service: ServiceName,
    version: VersionName,
    operationId: string,
  ) => Promise<ConfigChangeOutcome>;
}
