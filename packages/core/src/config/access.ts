import { assertNever } from '../outcome';
import { applyChanges, getOwnEntry } from './change';
import type { ServiceName, TeamId } from '../ids';
import type { ConfigChange } from './change';
import type { FleetConfig, TeamAdmin } from './model';

/** An authenticated administrator. */
export interface Administrator {
  readonly name: string;
  readonly team: TeamId;
  readonly role: TeamAdmin['role'];
}

export type AccessDecision =
  { readonly kind: 'allowed' } | { readonly kind: 'denied'; readonly reason: string };

const ALLOWED: AccessDecision = { kind: 'allowed' };

/** Finds the administrator who holds the key with this hash. */
export function findAdministrator(config: FleetConfig, keyHash: string): Administrator | undefined {
  const found = Object.values(config.teams).flatMap(({ id, admins }) =>
    admins
      .filter((admin) => admin.keyHash === keyHash)
      .map(({ name, role }) => ({ name, team: id, role })),
  );
  return found[0];
}

/** Whether the administrator may make all of these changes. */
export function checkChangeAccess(
  config: FleetConfig,
  admin: Administrator,
  changes: readonly ConfigChange[],
): AccessDecision {
  if (admin.role === 'fleet') return ALLOWED;
  if (admin.role === 'viewer') return deny('viewers change nothing');
  // Each change is judged against the result of those before it, so that a new customer and its
  // exception may come in one list.
  let step = config;
  const decisions = changes.map((change) => {
    const decision = checkTeamChange(step, admin.team, change);
    step = applyChanges(step, [change]);
    return decision;
  });
  return decisions.find((decision) => decision.kind === 'denied') ?? ALLOWED;
}

/** Whether the administrator may order and cancel version moves of a service. */
export function checkServiceAccess(
  config: FleetConfig,
  admin: Administrator,
  service: ServiceName,
): AccessDecision {
  if (admin.role === 'fleet') return ALLOWED;
  if (admin.role === 'viewer') return deny('viewers change nothing');
  return checkOwner(admin.team, getOwnEntry(config.services, service)?.team, `service ${service}`);
}

function checkTeamChange(config: FleetConfig, team: TeamId, change: ConfigChange): AccessDecision {
  const serviceTeam = (name: string): TeamId | undefined =>
    getOwnEntry(config.services, name)?.team;
  const customerTeam = (id: string): TeamId | undefined => getOwnEntry(config.customers, id)?.team;
  switch (change.kind) {
    case 'put_service': {
      const { name, team: newTeam } = change.service;
      const current = serviceTeam(name) ?? newTeam;
      return checkBoth(team, current, newTeam, `service ${name}`);
    }
    case 'remove_service':
    case 'set_stable_version':
    case 'set_candidate_version':
      return checkOwner(team, serviceTeam(change.service), `service ${change.service}`);
    case 'put_customer': {
      const { id, team: newTeam } = change.customer;
      return checkBoth(team, customerTeam(id) ?? newTeam, newTeam, `customer ${id}`);
    }
    case 'remove_customer':
      return checkOwner(team, customerTeam(change.customer), `customer ${change.customer}`);
    case 'put_exception':
      return checkExceptionAccess(config, team, [
        change.exception.scope,
        getOwnEntry(config.exceptions, change.exception.id)?.scope,
      ]);
    case 'remove_exception':
      return checkExceptionAccess(config, team, [
        getOwnEntry(config.exceptions, change.exception)?.scope,
      ]);
    case 'put_team':
    case 'remove_team':
      return deny('teams and their administrators need the fleet role');
    case 'set_defaults':
      return deny('fleet defaults need the fleet role');
    default:
      return assertNever(change);
  }
}

type Scope = FleetConfig['exceptions'][string]['scope'];

/** A team may except only what it owns; a scope without service and customer is fleet-wide. */
function checkExceptionAccess(
  config: FleetConfig,
  team: TeamId,
  scopes: readonly (Scope | undefined)[],
): AccessDecision {
  const decisions = scopes.flatMap((scope) => {
    if (scope === undefined) return [];
    const { service, customer } = scope;
    if (service === undefined && customer === undefined) {
      return [deny('an exception for a whole failure domain needs the fleet role')];
    }
    const checks: AccessDecision[] = [];
    if (service !== undefined) {
      checks.push(
        checkOwner(team, getOwnEntry(config.services, service)?.team, `service ${service}`),
      );
    }
    if (customer !== undefined) {
      const owner = getOwnEntry(config.customers, customer)?.team;
      checks.push(checkOwner(team, owner, `customer ${customer}`));
    }
    return checks;
  });
  return decisions.find((decision) => decision.kind === 'denied') ?? ALLOWED;
}

function checkBoth(team: TeamId, current: TeamId, next: TeamId, what: string): AccessDecision {
  const decision = checkOwner(team, current, what);
  return decision.kind === 'denied' ? decision : checkOwner(team, next, what);
}

function checkOwner(team: TeamId, owner: TeamId | undefined, what: string): AccessDecision {
  return owner === team ? ALLOWED : deny(`${what} does not belong to team ${team}`);
}

function deny(reason: string): AccessDecision {
  return { kind: 'denied', reason };
}
