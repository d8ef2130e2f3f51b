import { asRevision } from '../ids';
import { assertNever } from '../outcome';
import type { CustomerId, OperationId, Revision, ServiceName, TeamId, VersionName } from '../ids';
import type {
  CandidateVersion,
  ConfigException,
  CustomerConfig,
  EngineServiceConfig,
  FleetConfig,
  FleetDefaults,
  ServiceConfig,
  TeamConfig,
} from './model';

/** One change of the configuration; a list of changes is applied as one revision. */
export type ConfigChange =
  | { readonly kind: 'put_service'; readonly service: ServiceConfig }
  | { readonly kind: 'remove_service'; readonly service: ServiceName }
  | { readonly kind: 'put_customer'; readonly customer: CustomerConfig }
  | { readonly kind: 'remove_customer'; readonly customer: CustomerId }
  | { readonly kind: 'put_team'; readonly team: TeamConfig }
  | { readonly kind: 'remove_team'; readonly team: TeamId }
  | { readonly kind: 'put_exception'; readonly exception: ConfigException }
  | { readonly kind: 'remove_exception'; readonly exception: string }
  | { readonly kind: 'set_defaults'; readonly defaults: Partial<FleetDefaults> }
  | {
      readonly kind: 'set_stable_version';
      readonly service: ServiceName;
      readonly version: VersionName;
    }
  | {
      readonly kind: 'set_candidate_version';
      readonly service: ServiceName;
      readonly candidate: CandidateVersion | null;
    };

export type ConfigChangeKind = ConfigChange['kind'];

/** An accepted change list, as stored in the tables and sent between routers. */
export interface ConfigRevision {
  readonly revision: Revision;
  readonly who: string;
  readonly why: string;
  readonly operationId: OperationId;
  readonly atMs: number;
  readonly changes: readonly ConfigChange[];
  /** Changes that restore what this revision replaced. */
  readonly inverse: readonly ConfigChange[];
}

export const CHANGE_KINDS: readonly ConfigChangeKind[] = [
  'put_service',
  'remove_service',
  'put_customer',
  'remove_customer',
  'put_team',
  'remove_team',
  'put_exception',
  'remove_exception',
  'set_defaults',
  'set_stable_version',
  'set_candidate_version',
];

/** Reads an own entry; plain indexing would also find names such as "constructor". */
export function getOwnEntry<T>(entries: Readonly<Record<string, T>>, id: string): T | undefined {
  return Object.hasOwn(entries, id) ? entries[id] : undefined;
}

/**
 * Applies changes without validating them. Replicas use this: a replica that runs another
 * release, with other rules, must still reach the same configuration.
 */
export function applyChanges(config: FleetConfig, changes: readonly ConfigChange[]): FleetConfig {
  const next = changes.reduce(applyChange, config);
  return { ...next, revision: asRevision(config.revision + 1) };
}

/** Entries that a change list writes, as "section/id"; defaults count per setting. */
export function changedEntries(changes: readonly ConfigChange[]): string[] {
  return [...new Set(changes.flatMap(entriesChangedBy))];
}

/** Changes that give the entries touched by `changes` the values they have in `before`. */
export function invertChanges(
  before: FleetConfig,
  changes: readonly ConfigChange[],
): ConfigChange[] {
  return changedEntries(changes).flatMap((entry) => restoreEntry(before, entry));
}

function applyChange(config: FleetConfig, change: ConfigChange): FleetConfig {
  switch (change.kind) {
    case 'put_service':
      return { ...config, services: putService(config.services, change.service) };
    case 'remove_service':
      return { ...config, services: omitEntry(config.services, change.service) };
    case 'put_customer':
      return {
        ...config,
        customers: withEntry(config.customers, change.customer.id, change.customer),
      };
    case 'remove_customer':
      return { ...config, customers: omitEntry(config.customers, change.customer) };
    case 'put_team':
      return { ...config, teams: withEntry(config.teams, change.team.id, change.team) };
    case 'remove_team':
      return { ...config, teams: omitEntry(config.teams, change.team) };
    case 'put_exception':
      return {
        ...config,
        exceptions: withEntry(config.exceptions, change.exception.id, change.exception),
      };
    case 'remove_exception':
      return { ...config, exceptions: omitEntry(config.exceptions, change.exception) };
    case 'set_defaults':
      return { ...config, defaults: { ...config.defaults, ...change.defaults } };
    case 'set_stable_version':
      return updateEngineService(config, change.service, (engine) => ({
        ...engine,
        stableVersion: change.version,
      }));
    case 'set_candidate_version':
      return updateEngineService(config, change.service, (engine) => ({
        ...withoutCandidate(engine),
        ...(change.candidate === null ? {} : { candidate: change.candidate }),
      }));
    default:
      return assertNever(change);
  }
}

type EngineServiceUpdate = (engine: EngineServiceConfig) => EngineServiceConfig;

function updateEngineService(
  config: FleetConfig,
  name: ServiceName,
  edit: EngineServiceUpdate,
): FleetConfig {
  const service = getOwnEntry(config.services, name);
  if (service === undefined || service.kind !== 'engine') return config;
  return { ...config, services: withEntry(config.services, name, edit(service)) };
}

/** Keeps the versions of an existing service: only the two version changes may write them. */
function putService(
  services: FleetConfig['services'],
  service: ServiceConfig,
): FleetConfig['services'] {
  const existing = getOwnEntry(services, service.name);
  if (service.kind !== 'engine' || existing?.kind !== 'engine') {
    return withEntry(services, service.name, service);
  }
  const kept = existing.candidate === undefined ? {} : { candidate: existing.candidate };
  return withEntry(services, service.name, {
    ...withoutCandidate(service),
    stableVersion: existing.stableVersion,
    ...kept,
  });
}

function withEntry<T>(
  entries: Readonly<Record<string, T>>,
  id: string,
  value: T,
): Record<string, T> {
  return { ...entries, [id]: value };
}

function omitEntry<T>(entries: Readonly<Record<string, T>>, id: string): Record<string, T> {
  return Object.fromEntries(Object.entries(entries).filter(([key]) => key !== id));
}

function withoutCandidate(engine: EngineServiceConfig): EngineServiceConfig {
  const copy = { ...engine };
  delete copy.candidate;
  return copy;
}

function entriesChangedBy(change: ConfigChange): string[] {
  switch (change.kind) {
    case 'put_service':
      return [`service/${change.service.name}`];
    case 'remove_service':
    case 'set_stable_version':
    case 'set_candidate_version':
      return [`service/${change.service}`];
    case 'put_customer':
      return [`customer/${change.customer.id}`];
    case 'remove_customer':
      return [`customer/${change.customer}`];
    case 'put_team':
      return [`team/${change.team.id}`];
    case 'remove_team':
      return [`team/${change.team}`];
    case 'put_exception':
      return [`exception/${change.exception.id}`];
    case 'remove_exception':
      return [`exception/${change.exception}`];
    case 'set_defaults':
      return Object.keys(change.defaults).map((setting) => `defaults/${setting}`);
    default:
      return assertNever(change);
  }
}

function restoreEntry(before: FleetConfig, entry: string): ConfigChange[] {
  const slash = entry.indexOf('/');
  const section = entry.slice(0, slash);
  const id = entry.slice(slash + 1);
  switch (section) {
    case 'service':
      return restoreService(before, id as ServiceName);
    case 'customer': {
      const customer = getOwnEntry(before.customers, id);
      if (customer === undefined) return [{ kind: 'remove_customer', customer: id as CustomerId }];
      return [{ kind: 'put_customer', customer }];
    }
    case 'team': {
      const team = getOwnEntry(before.teams, id);
      if (team === undefined) return [{ kind: 'remove_team', team: id as TeamId }];
      return [{ kind: 'put_team', team }];
    }
    case 'exception': {
      const exception = getOwnEntry(before.exceptions, id);
      if (exception === undefined) return [{ kind: 'remove_exception', exception: id }];
      return [{ kind: 'put_exception', exception }];
    }
    default: {
      const setting = id as keyof FleetDefaults;
      return [{ kind: 'set_defaults', defaults: { [setting]: before.defaults[setting] } }];
    }
  }
}

function restoreService(before: FleetConfig, name: ServiceName): ConfigChange[] {
  const service = getOwnEntry(before.services, name);
  if (service === undefined) return [{ kind: 'remove_service', service: name }];
  if (service.kind === 'plain') return [{ kind: 'put_service', service }];
  const { candidate } = service;
  return [
    { kind: 'put_service', service: withoutCandidate(service) },
    { kind: 'set_stable_version', service: name, version: service.stableVersion },
    { kind: 'set_candidate_version', service: name, candidate: candidate ?? null },
  ];
}
