import { applyChanges, getOwnEntry } from './change';
import {
  unionByKind,
  objectOf,
  booleanValue,
  listOf,
  mapOf,
  nullable,
  numberInRange,
  oneOf,
  textMatching,
} from './validator';
import type { ConfigChange } from './change';
import type { ConfigException, FleetConfig, FleetDefaults, ServiceConfig } from './model';
import type { ConfigProblem, JsonSchema, ReportProblem, Validator } from './validator';

export type ParsedChanges =
  | { readonly kind: 'ok'; readonly changes: readonly ConfigChange[] }
  | { readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[] };

export type AppliedChanges =
  | { readonly kind: 'ok'; readonly config: FleetConfig }
  | { readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[] };

/** A change list must fit one message between routers (256 KB) together with its inverse. */
const MAX_CHANGES = 100;
const MAX_LIST_ENTRIES = 1_000;
const DAY_MS = 86_400_000;

/** Allowed range of each setting. */
export const SETTING_RANGES: Readonly<Record<keyof FleetDefaults, readonly [number, number]>> = {
  maxTokens: [1, 1_000_000],
  deadlineMs: [1, DAY_MS],
  reconnectWindowMs: [0, 3_600_000],
  requestsPerSec: [0, 1_000_000],
  tokensPerSec: [0, 100_000_000],
  concurrentStreams: [0, 1_000_000],
  silenceMinMs: [10, 60_000],
  silenceMaxMs: [10, 60_000],
  retryBudgetRatio: [0, 1],
  ejectedMaxRatio: [0, 1],
  culpritExpiryMs: [0, DAY_MS],
};

const RESERVED_IDS = Object.getOwnPropertyNames(Object.prototype);

const namePattern = textMatching(
  /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/,
  'a name of 1 to 63 letters, digits, ".", "_" or "-"',
);
const nameValidator: Validator = {
  schema: namePattern.schema,
  check: (value, path, report) => {
    namePattern.check(value, path, report);
    if (RESERVED_IDS.includes(String(value))) report(path, 'is a reserved name');
  },
};
const lineValidator = textMatching(
  /^\S(.{0,198}\S)?$/,
  'a text of 1 to 200 characters on one line',
);
const keyHashValidator = textMatching(/^[0-9a-f]{64}$/, 'a SHA-256 in lower-case hexadecimal');

const serviceValidator = unionByKind({
  engine: {
    required: {
      name: nameValidator,
      team: nameValidator,
      model: lineValidator,
      adapters: listOf(lineValidator, MAX_LIST_ENTRIES),
      stableVersion: nameValidator,
      fencing: oneOf(['enforced', 'ignored']),
    },
  },
  plain: {
    required: {
      name: nameValidator,
      team: nameValidator,
      operations: mapOf(nameValidator, objectOf({ required: { idempotent: booleanValue } })),
      hasLookup: booleanValue,
    },
  },
});

const customerValidator = objectOf({
  required: {
    id: nameValidator,
    team: nameValidator,
    keyHashes: listOf(keyHashValidator, MAX_LIST_ENTRIES),
    weight: numberInRange(0.001, 1_000),
    services: listOf(nameValidator, MAX_LIST_ENTRIES),
  },
});

const adminValidator = objectOf({
  required: {
    name: nameValidator,
    keyHash: keyHashValidator,
    role: oneOf(['fleet', 'team', 'viewer']),
  },
});
const teamLimitsValidator = objectOf({
  required: Object.fromEntries(
    (['requestsPerSec', 'tokensPerSec', 'concurrentStreams'] as const).map((setting) => [
      setting,
      numberInRange(...SETTING_RANGES[setting]),
    ]),
  ),
});
const teamValidator = objectOf({
  required: { id: nameValidator, admins: listOf(adminValidator, MAX_LIST_ENTRIES) },
  optional: { limits: teamLimitsValidator },
});

const exceptionValidator = objectOf({
  required: {
    id: nameValidator,
    scope: objectOf({
      required: {},
      optional: { service: nameValidator, customer: nameValidator, failureDomain: nameValidator },
    }),
    setting: oneOf(Object.keys(SETTING_RANGES)),
    value: numberInRange(-Number.MAX_VALUE, Number.MAX_VALUE),
    reason: lineValidator,
  },
});

const defaultsValidator = objectOf({
  required: {},
  optional: Object.fromEntries(
    Object.entries(SETTING_RANGES).map(([setting, [min, max]]) => [
      setting,
      numberInRange(min, max),
    ]),
  ),
});

const candidateValidator = objectOf({
  required: { moveId: nameValidator, version: nameValidator, shareRatio: numberInRange(0, 1) },
});

const changeListValidator = listOf(
  unionByKind({
    put_service: { required: { service: serviceValidator } },
    remove_service: { required: { service: nameValidator } },
    put_customer: { required: { customer: customerValidator } },
    remove_customer: { required: { customer: nameValidator } },
    put_team: { required: { team: teamValidator } },
    remove_team: { required: { team: nameValidator } },
    put_exception: { required: { exception: exceptionValidator } },
    remove_exception: { required: { exception: nameValidator } },
    set_defaults: { required: { defaults: defaultsValidator } },
    set_stable_version: { required: { service: nameValidator, version: nameValidator } },
    set_candidate_version: {
      required: { service: nameValidator, candidate: nullable(candidateValidator) },
    },
  }),
  MAX_CHANGES,
  1,
);

/** JSON Schema of a change list. */
export const CHANGE_LIST_SCHEMA: JsonSchema = changeListValidator.schema;

/** Checks the shape of a change list that came from outside. */
export function parseChanges(value: unknown): ParsedChanges {
  const problems: ConfigProblem[] = [];
  changeListValidator.check(value, 'changes', (path, message) => problems.push({ path, message }));
  if (problems.length > 0) return { kind: 'invalid', problems };
  return { kind: 'ok', changes: value as readonly ConfigChange[] };
}

/** Applies a change list as the next revision if the result is consistent. */
export function validateAndApply(
  config: FleetConfig,
  changes: readonly ConfigChange[],
): AppliedChanges {
  const problems: ConfigProblem[] = [];
  const report: ReportProblem = (path, message) => problems.push({ path, message });
  let step = config;
  changes.forEach((entry, index) => {
    checkChangeTarget(step, entry, `changes.${index}`, report);
    step = applyChanges(step, [entry]);
  });
  const next = applyChanges(config, changes);
  checkConfig(next, report);
  if (hasFleetAdmin(config) && !hasFleetAdmin(next)) {
    report('teams', 'the last administrator with the fleet role cannot be removed');
  }
  return problems.length > 0 ? { kind: 'invalid', problems } : { kind: 'ok', config: next };
}

function hasFleetAdmin(config: FleetConfig): boolean {
  return Object.values(config.teams).some(({ admins }) =>
    admins.some(({ role }) => role === 'fleet'),
  );
}

function checkChangeTarget(
  config: FleetConfig,
  entry: ConfigChange,
  path: string,
  report: ReportProblem,
): void {
  switch (entry.kind) {
    case 'put_service':
      checkPutService(
        getOwnEntry(config.services, entry.service.name),
        entry.service,
        path,
        report,
      );
      return;
    case 'remove_service':
      if (getOwnEntry(config.services, entry.service) === undefined) {
        report(path, `there is no service ${entry.service}`);
      }
      return;
    case 'remove_customer':
      if (getOwnEntry(config.customers, entry.customer) === undefined) {
        report(path, `there is no customer ${entry.customer}`);
      }
      return;
    case 'remove_team':
      if (getOwnEntry(config.teams, entry.team) === undefined) {
        report(path, `there is no team ${entry.team}`);
      }
      return;
    case 'remove_exception':
      if (getOwnEntry(config.exceptions, entry.exception) === undefined) {
        report(path, `there is no exception ${entry.exception}`);
      }
      return;
    case 'set_stable_version':
    case 'set_candidate_version':
      if (getOwnEntry(config.services, entry.service)?.kind !== 'engine') {
        report(path, `there is no engine service ${entry.service}`);
      }
      return;
    case 'put_customer':
    case 'put_team':
    case 'put_exception':
    case 'set_defaults':
      return;
    default:
      entry satisfies never;
  }
}

function checkPutService(
  existing: ServiceConfig | undefined,
  next: ServiceConfig,
  path: string,
  report: ReportProblem,
): void {
  if (existing === undefined) return;
  if (existing.kind !== next.kind) {
    report(`${path}.service.kind`, `service ${next.name} is of the kind ${existing.kind}`);
  } else if (
    existing.kind === 'engine' &&
    next.kind === 'engine' &&
    existing.stableVersion !== next.stableVersion
  ) {
    report(
      `${path}.service.stableVersion`,
      `is ${existing.stableVersion}; order a version move or use set_stable_version to change it`,
    );
  }
}

function checkConfig(config: FleetConfig, report: ReportProblem): void {
  checkServices(config, report);
  checkCustomers(config, report);
  checkExceptions(config, report);
  if (config.defaults.silenceMinMs > config.defaults.silenceMaxMs) {
    report('defaults.silenceMinMs', 'is above silenceMaxMs');
  }
}

function checkServices(config: FleetConfig, report: ReportProblem): void {
  Object.values(config.services).forEach((entry) => {
    const path = `services.${entry.name}`;
    if (getOwnEntry(config.teams, entry.team) === undefined) {
      report(`${path}.team`, `there is no team ${entry.team}`);
    }
    if (entry.kind === 'engine' && entry.candidate?.version === entry.stableVersion) {
      report(`${path}.candidate`, 'is the stable version');
    }
  });
}

function checkCustomers(config: FleetConfig, report: ReportProblem): void {
  // A key that belongs to two holders would make authentication ambiguous.
  const holders = new Map<string, string>();
  const claim = (hash: string, holder: string): void => {
    const other = holders.get(hash);
    if (other !== undefined) report(holder, `uses the same key as ${other}`);
    holders.set(hash, holder);
  };
  Object.values(config.teams).forEach(({ id, admins }) =>
    admins.forEach((admin) => claim(admin.keyHash, `teams.${id}.admins.${admin.name}`)),
  );
  Object.values(config.customers).forEach((entry) => {
    const path = `customers.${entry.id}`;
    if (getOwnEntry(config.teams, entry.team) === undefined) {
      report(`${path}.team`, `there is no team ${entry.team}`);
    }
    entry.services
      .filter((service) => getOwnEntry(config.services, service) === undefined)
      .forEach((service) => report(`${path}.services`, `there is no service ${service}`));
    entry.keyHashes.forEach((hash) => claim(hash, path));
  });
}

function checkExceptions(config: FleetConfig, report: ReportProblem): void {
  const seen = new Map<string, string>();
  Object.values(config.exceptions).forEach((entry) => {
    const path = `exceptions.${entry.id}`;
    const [min, max] = SETTING_RANGES[entry.setting];
    if (entry.value < min || entry.value > max) {
      report(`${path}.value`, `expected a number from ${min} to ${max}`);
    }
    checkScope(config, entry, path, report);
    const { service = '', customer: customerId = '', failureDomain = '' } = entry.scope;
    const target = [service, customerId, failureDomain, entry.setting].join('/');
    const other = seen.get(target);
    if (other !== undefined) report(path, `has the scope and setting of exception ${other}`);
    seen.set(target, entry.id);
  });
}

function checkScope(
  config: FleetConfig,
  entry: ConfigException,
  path: string,
  report: ReportProblem,
): void {
  const { service, customer: customerId, failureDomain } = entry.scope;
  if (service === undefined && customerId === undefined && failureDomain === undefined) {
    report(`${path}.scope`, 'names nothing; change the defaults instead');
  }
  if (service !== undefined && getOwnEntry(config.services, service) === undefined) {
    report(`${path}.scope.service`, `there is no service ${service}`);
  }
  if (customerId !== undefined && getOwnEntry(config.customers, customerId) === undefined) {
    report(`${path}.scope.customer`, `there is no customer ${customerId}`);
  }
}
