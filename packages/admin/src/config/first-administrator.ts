import { EMPTY_CONFIG, parseChanges } from '@mimosamill/core';
import type { Clock, CommitRevisionOutcome, ConfigStore } from '@mimosamill/adapters';
import type { OperationId } from '@mimosamill/core';

export interface FirstAdministrator {
  readonly team: string;
  readonly name: string;
  /** SHA-256 of the administrator's key, in lower-case hexadecimal. */
  readonly keyHash: string;
}

export type FirstAdministratorOutcome =
  'created' | 'not_needed' | 'retry' | { readonly kind: 'invalid'; readonly message: string };

/**
 * Creates the first administrator, with the fleet role, as revision 1. The commit succeeds only
 * while there is no configuration, so the settings have no effect afterwards.
 */
export async function createFirstAdministrator(
  store: ConfigStore,
  clock: Clock,
  first: FirstAdministrator,
): Promise<FirstAdministratorOutcome> {
  const head = await store.readHead();
  if (head.kind === 'unavailable') return 'retry';
  if (head.head.revision > 0) return 'not_needed';
  const { team, name, keyHash } = first;
  const parsed = parseChanges([
    { kind: 'put_team', team: { id: team, admins: [{ name, keyHash, role: 'fleet' }] } },
  ]);
  if (parsed.kind === 'invalid') {
    const [problem] = parsed.problems;
    return { kind: 'invalid', message: `${problem?.path}: ${problem?.message}` };
  }
  const outcome = await store.commit({
    baseConfig: EMPTY_CONFIG,
    changes: parsed.changes,
    who: 'settings',
    why: 'first administrator with the fleet role',
    operationId: 'first-administrator' as OperationId,
    digest: keyHash,
    atMs: clock.nowMs(),
  });
  return toOutcome(outcome);
}

function toOutcome(outcome: CommitRevisionOutcome): FirstAdministratorOutcome {
  switch (outcome.kind) {
    case 'accepted':
      return outcome.wasLookedUp ? 'not_needed' : 'created';
    case 'conflict':
    case 'operation_reused':
      return 'not_needed';
    case 'invalid':
      return {
        kind: 'invalid',
        message: outcome.problems.map((problem) => problem.message).join('; '),
      };
    default:
      return 'retry';
  }
}
