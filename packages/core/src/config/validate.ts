import { applyChanges, entryOf } from './change';
import { byKind, fields, flag, listOf, mapOf, nullOr, numberIn, oneOf, text } from './shape';
import type { ConfigChange } from './change';
import type { ConfigException, FleetConfig, FleetDefaults, ServiceConfig } from './model';
import type { ConfigProblem, JsonSchema, Report, Shape } from './shape';

export type ParsedChanges =
  | { readonly kind: 'ok'; readonly changes: readonly ConfigChange[] }
  | { readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[] };

export type AppliedChanges =
  | { readonly kind: 'ok'; readonly config: FleetConfig }
  | { readonly kind: 'invalid'; readonly problems: readonly ConfigProblem[] };

/** A change list must fit one message between routers (256 KB) together with its inverse. */
const MAX_CHANGES = 100;
const MAX_LIST = 1_000;
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

const nameText = text(
  /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/,
  'a name of 1 to 63 letters, digits, ".", "_" or "-"',
);
const name: Shape = {
  schema: nameText.schema,
  check: (value, path, report) => {
    nameText.check(value, path, report);
    if (RESERVED_IDS.includes(String(value))) report(path, 'is a reserved name');
  },
};
const line = text(/^\S(.{0,198}\S)?$/, 'a text of 1 to 200 characters on one line');
const keyHash = text(/^[0-9a-f]{64}$/, 'a SHA-256 in lower-case hexadecimal');

const serviceShape = byKind({
  engine: {
    required: {
      name,
      team: name,
      model: line,
      adapters: listOf(line, MAX_LIST),
      stableVersion: name,
      fencing: oneOf(['enforced', 'ignored']),
    },
  },
  plain: {
    required: {
      name,
      team: name,
      operations: mapOf(name, fields({ required: { idempotent: flag } })),
      hasLookup: flag,
    },
  },
});

const customerShape = fields({
  required: {
    id: name,
    team: name,
    keyHashes: listOf(keyHash, MAX_LIST),
    weight: numberIn(0.001, 1_000),
    services: listOf(name, MAX_LIST),
  },
});

const adminShape = fields({
  required: { name, keyHash, role: oneOf(['fleet', 'team', 'viewer']) },
});
const teamLimitsShape = fields({
  required: Object.fromEntries(
    (['requestsPerSec', 'tokensPerSec', 'concurrentStreams'] as const).map((setting) => [
      setting,
      numberIn(...SETTING_RANGES[setting]),
    ]),
  ),
});
const teamShape = fields({
  required: { id: name, admins: listOf(adminShape, MAX_LIST) },
  optional: { limits: teamLimitsShape },
});

const exceptionShape = fields({
  required: {
    id: name,
    scope: fields({
      required: {},
      optional: { service: name, customer: name, failureDomain: name },
    }),
    setting: oneOf(Object.keys(SETTING_RANGES)),
    value: numberIn(-Number.MAX_VALUE, Number.MAX_VALUE),
    reason: line,
  },
});

const defaultsShape = fields({
  required: {},
  optional: Object.fromEntries(
    Object.entries(SETTING_RANGES).map(([setting, [min, max]]) => [setting, numberIn(min, max)]),
  ),
});

const candidateShape = fields({
  required: { moveId: name, version: name, shareRatio: numberIn(0, 1) },
});

const changeList = listOf(
  byKind({
    put_service: { required: { service: serviceShape } },
    remove_service: { required: { service: name } },
    put_customer: { required: { customer: customerShape } },
    remove_customer: { required: { customer: name } },
    put_team: { required: { team: teamShape } },
    remove_team: { required: { team: name } },
    put_exception: { required: { exception: exceptionShape } },
    remove_exception: { required: { exception: name } },
    set_defaults: { required: { defaults: defaultsShape } },
    set_stable_version: { required: { service: name, version: name } },
    set_candidate_version: { required: { service: name, candidate: nullOr(candidateShape) } },
  }),
  MAX_CHANGES,
  1,
);

/** JSON Schema of a change list. */
export const CHANGE_LIST_SCHEMA: JsonSchema = changeList.schema;

/** Checks the shape of a change list that came from outside. */
export function parseChanges(value: unknown): ParsedChanges {
  const problems: ConfigProblem[] = [];
  changeList.check(value, 'changes', (path, message) => problems.push({ path, message }));
  if (problems.length > 0) return { kind: 'invalid', problems };
  return { kind: 'ok', changes: value as readonly ConfigChange[] };
}

/** Applies a change list as the next revision if the result is consistent. */
export function applyChecked(
  config: FleetConfig,
  changes: readonly ConfigChange[],
): AppliedChanges {
  const problems: ConfigProblem[] = [];
  const report: Report = (path, message) => problems.push({ path, message });
  let step = config;
  changes.forEach((entry, index) => {
    checkTarget(step, entry, `changes.${index}`, report);
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

function checkTarget(config: FleetConfig, entry: ConfigChange, path: string, report: Report): void {
  switch (entry.kind) {
    case 'put_service':
      checkPutService(entryOf(config.services, entry.service.name), entry.service, path, report);
      return;
    case 'remove_service':
      if (entryOf(config.services, entry.service) === undefined) {
        report(path, `there is no service ${entry.service}`);
      }
      return;
    case 'remove_customer':
      if (entryOf(config.customers, entry.customer) === undefined) {
        report(path, `there is no customer ${entry.customer}`);
      }
      return;
    case 'remove_team':
      if (entryOf(config.teams, entry.team) === undefined) {
        report(path, `there is no team ${entry.team}`);
      }
      return;
    case 'remove_exception':
      if (entryOf(config.exceptions, entry.exception) === undefined) {
        report(path, `there is no exception ${entry.exception}`);
      }
      return;
    case 'set_stable_version':
    case 'set_candidate_version':
      if (entryOf(config.services, entry.service)?.kind !== 'engine') {
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
  report: Report,
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

function checkConfig(config: FleetConfig, report: Report): void {
  checkServices(config, report);
  checkCustomers(config, report);
  checkExceptions(config, report);
  if (config.defaults.silenceMinMs > config.defaults.silenceMaxMs) {
    report('defaults.silenceMinMs', 'is above silenceMaxMs');
  }
}

function checkServices(config: FleetConfig, report: Report): void {
  Object.values(config.services).forEach((entry) => {
    const path = `services.${entry.name}`;
    if (entryOf(config.teams, entry.team) === undefined) {
      report(`${path}.team`, `there is no team ${entry.team}`);
    }
    if (entry.kind === 'engine' && entry.candidate?.version === entry.stableVersion) {
      report(`${path}.candidate`, 'is the stable version');
    }
  });
}

function checkCustomers(config: FleetConfig, report: Report): void {
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
    if (entryOf(config.teams, entry.team) === undefined) {
      report(`${path}.team`, `there is no team ${entry.team}`);
    }
    entry.services
      .filter((service) => entryOf(config.services, service) === undefined)
      .forEach((service) => report(`${path}.services`, `there is no service ${service}`));
    entry.keyHashes.forEach((hash) => claim(hash, path));
  });
}

function checkExceptions(config: FleetConfig, report: Report): void {
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
  report: Report,
): void {
  const { service, customer: customerId, failureDomain } = entry.scope;
  if (service === undefined && customerId === undefined && failureDomain === undefined) {
    report(`${path}.scope`, 'names nothing; change the defaults instead');
  }
  if (service !== undefined && entryOf(config.services, service) === undefined) {
    report(`${path}.scope.service`, `there is no service ${service}`);
  }
  if (customerId !== undefined && entryOf(config.customers, customerId) === undefined) {
    report(`${path}.scope.customer`, `there is no customer ${customerId}`);
  }
}
