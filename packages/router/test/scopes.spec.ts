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

describe('the scopes of limits', () => {
  // Guards against a team whose customers together use more than the team may.
  it('are those of the customer and of its team, if the team has limits', () => {
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

  // Guards against a limit that is accepted with a part missing and then counts as none.
  it('need every limit of a team', () => {
    const team = { id: TEAM, admins: [], limits: { requestsPerSec: 7 } };
    expect(parseChanges([{ kind: 'put_team', team }])).toMatchObject({ kind: 'invalid' });
  });
});
