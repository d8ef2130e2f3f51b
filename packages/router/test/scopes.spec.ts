import { applyChanges, asId, asRevision, EMPTY_CONFIG, parseChanges } from '@mimosamill/core';
import { describe, expect, it } from 'vitest';
import { limitOfScope, scopesOf } from '../src/limit/scopes';
import type {
  ConfigChange,
  CustomerConfig,
  CustomerId,
  TeamId,
  TeamLimits,
} from '@mimosamill/core';

const TEAM = asId<TeamId>('benches');
const LIMITS: TeamLimits = { requestsPerSec: 7, tokensPerSec: 900, concurrentStreams: 3 };
const CUSTOMER: CustomerConfig = {
  id: asId<CustomerId>('acme'),
  team: TEAM,
  keyHashes: [],
  weight: 1,
  services: [],
};

function configWith(limits: TeamLimits | undefined) {
  const team = { id: TEAM, admins: [], ...(limits === undefined ? {} : { limits }) };
  const changes: ConfigChange[] = [
    { kind: 'put_team', team },
    { kind: 'put_customer', customer: CUSTOMER },
  ];
  expect(parseChanges(changes)).toMatchObject({ kind: 'ok' });
  return applyChanges({ ...EMPTY_CONFIG, revision: asRevision(1) }, changes);
}

describe('scopes of limits', () => {
  // Guards against the customers of a team using more together than the team's limits allow.
  it('consist of the customer and, if it has limits, the team', () => {
    const limited = configWith(LIMITS);
    expect(scopesOf(limited, CUSTOMER)).toEqual(['customer/acme', 'team/benches']);
    expect(limitOfScope(limited, 'team/benches')).toEqual({
      requestsPerSec: 7,
      tokensPerSec: 900,
      streams: 3,
    });
    const unlimited = configWith(undefined);
    expect(scopesOf(unlimited, CUSTOMER)).toEqual(['customer/acme']);
    expect(limitOfScope(unlimited, 'team/benches')).toBeUndefined();
  });

  // Guards against a team's limits being accepted with one of them missing, which would then not apply.
  it('rejects a team that has only some of the limits', () => {
    const team = { id: TEAM, admins: [], limits: { requestsPerSec: 7 } };
    expect(parseChanges([{ kind: 'put_team', team }])).toMatchObject({ kind: 'invalid' });
  });
});
