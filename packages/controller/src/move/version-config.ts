import { getOwnEntry } from '@mimosamill/core';
import type { Clock, ConfigStore } from '@mimosamill/adapters';
import type {
  CandidateVersion,
  ConfigChange,
  FleetConfig,
  OperationId,
  ServiceConfig,
  ServiceName,
  VersionName,
} from '@mimosamill/core';

export type ConfigChangeOutcome = 'ok' | 'conflict' | 'unavailable' | 'unknown';

/** The part of the stored configuration that sets which versions of a service receive traffic. */
export interface VersionConfigStore {
  /** Undefined when the store cannot be read or has no such service. */
  readonly read: (service: ServiceName) => Promise<ServiceConfig | undefined>;
  /** Sets or removes the candidate; a repeated operation id has no further effect. */
  readonly setCandidateVersion: (
    service: ServiceName,
    candidate: CandidateVersion | undefined,
    operationId: string,
  ) => Promise<ConfigChangeOutcome>;
  /** Sets the stable version and removes the candidate, in one revision. */
  readonly setStableVersion: (
    service: ServiceName,
    version: VersionName,
    operationId: string,
  ) => Promise<ConfigChangeOutcome>;
}

const CHANGE_AUTHOR = 'controller';

export function createVersionConfigStore(store: ConfigStore, clock: Clock): VersionConfigStore {
  let cached: FleetConfig | undefined;

  /** Reads only the head row while the revision is the one of the cached configuration. */
  async function readConfig(): Promise<FleetConfig | undefined> {
    const head = await store.readHead();
    if (head.kind !== 'ok') return undefined;
    if (cached?.revision === head.head.revision) return cached;
    const answer = await store.readConfig();
    cached = answer.kind === 'ok' ? answer.config : undefined;
    return cached;
  }

  async function commit(
    changes: readonly ConfigChange[],
    operationId: string,
  ): Promise<ConfigChangeOutcome> {
    const baseConfig = await readConfig();
    if (baseConfig === undefined) return 'unavailable';
    const outcome = await store.commit({
      baseConfig,
      changes,
      who: CHANGE_AUTHOR,
      why: operationId,
      operationId: operationId as OperationId,
      digest: JSON.stringify(changes),
      atMs: clock.nowMs(),
    });
    switch (outcome.kind) {
      case 'accepted':
        return 'ok';
      case 'invalid':
      case 'conflict':
      case 'operation_reused':
        return 'conflict';
      case 'unavailable':
      case 'unknown':
        return outcome.kind;
      default:
        return outcome satisfies never;
    }
  }

  return {
    read: async (service) => {
      const config = await readConfig();
      return config === undefined ? undefined : getOwnEntry(config.services, service);
    },
    setCandidateVersion: (service, candidate, operationId) =>
      commit(
        [{ kind: 'set_candidate_version', service, candidate: candidate ?? null }],
        operationId,
      ),
    setStableVersion: (service, version, operationId) =>
      commit(
        [
          { kind: 'set_candidate_version', service, candidate: null },
          { kind: 'set_stable_version', service, version },
        ],
        operationId,
      ),
  };
}
