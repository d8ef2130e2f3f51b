import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  EMPTY_CONFIG,
  applyChanges,
  validateAndApply,
  asId,
  asRevision,
  checkChangeAccess,
  createConfigReplica,
  diffConfigs,
  effectiveSettings,
  invertChanges,
  parseChanges,
  planUndo,
} from '../src/index';
import type {
  Administrator,
  ConfigChange,
  ConfigRevision,
  CustomerId,
  FleetConfig,
  OperationId,
  ServiceName,
  TeamId,
} from '../src/index';

const HASH = 'a'.repeat(64);
const TEAM_A = asId<TeamId>('team-a');
const TEAM_B = asId<TeamId>('team-b');
const SERVICE = asId<ServiceName>('bench-guide');

/** A change list as it arrives from outside. */
function changesOf(value: unknown): readonly ConfigChange[] {
  const parsed = parseChanges(value);
  if (parsed.kind === 'invalid') throw new Error(JSON.stringify(parsed.problems));
  return parsed.changes;
}

const BASE_CHANGES = changesOf([
  {
    kind: 'put_team',
    team: { id: 'team-a', admins: [{ name: 'ana', keyHash: HASH, role: 'fleet' }] },
  },
  { kind: 'put_team', team: { id: 'team-b', admins: [] } },
  {
    kind: 'put_service',
    service: {
      kind: 'engine',
      name: 'bench-guide',
      team: 'team-a',
      model: 'guide',
      adapters: [],
      stableVersion: 'v1',
      fencing: 'enforced',
    },
  },
  {
    kind: 'put_customer',
    customer: {
      id: 'c1',
      team: 'team-b',
      keyHashes: ['b'.repeat(64)],
      weight: 1,
      services: ['bench-guide'],
    },
  },
]);
const BASE = applyChanges(EMPTY_CONFIG, BASE_CHANGES);

function record(revision: number, changes: readonly ConfigChange[]): ConfigRevision {
  return {
    revision: asRevision(revision),
    who: 'ana',
    why: 'test',
    operationId: asId<OperationId>(`op-${revision}`),
    atMs: revision,
    changes,
    inverse: [],
  };
}

function limitChange(value: number): ConfigChange {
  return { kind: 'set_defaults', defaults: { requestsPerSec: value } };
}

function problemsOf(config: FleetConfig, changes: unknown): string[] {
  const parsed = parseChanges(changes);
  const outcome = parsed.kind === 'ok' ? validateAndApply(config, parsed.changes) : parsed;
  return outcome.kind === 'invalid' ? outcome.problems.map((p) => `${p.path} ${p.message}`) : [];
}

describe('configuration replica', () => {
  const LENGTH = 20;
  const history = Array.from({ length: LENGTH }, (_, index) =>
    record(index + 1, [limitChange(index + 1)]),
  );
  const configs = history.reduce<FleetConfig[]>(
    (all, entry) => [...all, applyChanges(all[all.length - 1] ?? EMPTY_CONFIG, entry.changes)],
    [EMPTY_CONFIG],
  );
  const messageArbitrary = fc.oneof(
    fc.record({
      kind: fc.constant('offer' as const),
      indexes: fc.array(fc.integer({ min: 0, max: LENGTH - 1 }), { maxLength: 6 }),
    }),
    fc.record({
      kind: fc.constant('install' as const),
      index: fc.integer({ min: 0, max: LENGTH }),
    }),
    fc.record({ kind: fc.constant('hear' as const), index: fc.integer({ min: 0, max: LENGTH }) }),
  );

  // Guards against a replica that goes back, skips a revision or stays behind without noticing.
  it('never reverts, never skips and reports every gap under any order of messages', () => {
    fc.assert(
      fc.property(fc.array(messageArbitrary, { maxLength: 60 }), (messages) => {
        const replica = createConfigReplica(8);
        let last = 0;
        messages.forEach((message) => {
          const effects = (() => {
            switch (message.kind) {
              case 'offer':
                return replica.applyRevisions(message.indexes.flatMap((i) => history[i] ?? []));
              case 'install':
                return replica.installSnapshot(configs[message.index] ?? EMPTY_CONFIG);
              default:
                return replica.noteRevision(asRevision(message.index));
            }
          })();
          const revision = replica.revision();
          expect(revision).toBeGreaterThanOrEqual(last);
          last = revision;
          const config = replica.current();
          if (config !== undefined) expect(config).toEqual(configs[revision]);
          const isBehind = replica.highestKnownRevision() > revision;
          expect(effects.some(({ kind }) => kind === 'gap')).toBe(isBehind);
        });
      }),
      { seed: 11, numRuns: 500 },
    );
  });

  // Guards against a rolling upgrade in which old routers crash or guess at an unknown change.
  it('stays at its revision when a newer release wrote a change it does not know', () => {
    const replica = createConfigReplica(8);
    replica.installSnapshot(EMPTY_CONFIG);
    const unknown = record(1, [{ kind: 'put_region' } as never]);
    expect(replica.applyRevisions([unknown])).toEqual([{ kind: 'unsupported', revision: 1 }]);
    expect(replica.revision()).toBe(0);
  });

  // Guards against a peer that sends a tail with a hole.
  it('offers peers only a tail it holds in full', () => {
    const replica = createConfigReplica(3);
    replica.installSnapshot(EMPTY_CONFIG);
    replica.applyRevisions(history.slice(0, 5));
    expect(replica.revisionsAfter(asRevision(1))).toBeUndefined();
    expect(replica.revisionsAfter(asRevision(3))?.map(({ revision }) => revision)).toEqual([4, 5]);
  });
});

describe('configuration changes', () => {
  // Guards against an exception nobody can explain later.
  it.each([[''], ['   '], [undefined]])('refuses an exception with the reason %j', (reason) => {
    const exception = { id: 'e1', scope: { customer: 'c1' }, setting: 'tokensPerSec', value: 5 };
    expect(
      problemsOf(BASE, [{ kind: 'put_exception', exception: { ...exception, reason } }]),
    ).toEqual([expect.stringContaining('changes.0.exception.reason')]);
  });

  // Guards against references to nothing, ambiguous keys, lost access and fields that are ignored.
  it.each([
    [[{ kind: 'remove_team', team: 'team-b' }], 'customers.c1.team'],
    [[{ kind: 'remove_service', service: 'bench-guide' }], 'customers.c1.services'],
    [[{ kind: 'remove_service', service: 'nothing' }], 'there is no service nothing'],
    [[{ kind: 'put_team', team: { id: 'team-a', admins: [] } }], 'last administrator'],
    [
      [
        {
          kind: 'put_customer',
          customer: { id: 'c2', team: 'team-a', keyHashes: [HASH], weight: 1, services: [] },
        },
      ],
      'uses the same key as',
    ],
    [[{ kind: 'set_defaults', defaults: { maxToken: 5 } }], 'is not a known field'],
    [[{ kind: 'set_defaults', defaults: { silenceMinMs: 2_000 } }], 'is above silenceMaxMs'],
    [[{ kind: 'remove_customer', customer: 'constructor' }], 'is a reserved name'],
    [[{ kind: 'drop_everything' }], 'changes.0.kind expected one of'],
    [[], 'changes expected 1 to 100 entries'],
    [
      [
        {
          kind: 'put_service',
          service: {
            kind: 'engine',
            name: 'bench-guide',
            team: 'team-a',
            model: 'guide',
            adapters: [],
            stableVersion: 'v2',
            fencing: 'enforced',
          },
        },
      ],
      'order a version move',
    ],
  ])('refuses %j', (changes, expected) => {
    expect(problemsOf(BASE, changes).join('\n')).toContain(expected);
  });

  // Guards against an undo that leaves a trace of the change, a candidate version for example.
  it('are undone by their inverse', () => {
    const changes = changesOf([
      {
        kind: 'set_candidate_version',
        service: 'bench-guide',
        candidate: { moveId: 'm1', version: 'v2', shareRatio: 0.05 },
      },
      { kind: 'remove_customer', customer: 'c1' },
      { kind: 'set_defaults', defaults: { maxTokens: 7 } },
      { kind: 'put_team', team: { id: 'team-c', admins: [] } },
    ]);
    const changed = applyChanges(BASE, changes);
    expect(diffConfigs(BASE, changed).map(({ section, id, kind }) => [section, id, kind])).toEqual([
      ['defaults', 'maxTokens', 'changed'],
      ['services', 'bench-guide', 'changed'],
      ['customers', 'c1', 'removed'],
      ['teams', 'team-c', 'added'],
    ]);
    const restored = applyChanges(changed, invertChanges(BASE, changes));
    expect(diffConfigs(BASE, restored)).toEqual([]);
    expect(restored.revision).toBe(BASE.revision + 2);
  });

  // Guards against an undo that silently discards somebody's later change.
  it('are not undone once a later revision wrote the same entry', () => {
    const target = record(2, [limitChange(1)]);
    const other = record(3, [{ kind: 'set_defaults', defaults: { maxTokens: 1 } }]);
    expect(planUndo(target, [other]).kind).toBe('ok');
    expect(planUndo(target, [other, record(4, [limitChange(9)])])).toEqual({
      kind: 'overwritten',
      entries: ['defaults/requestsPerSec'],
      by: [4],
    });
  });
});

describe('effective settings', () => {
  // Guards against a broad exception that hides a narrow one.
  it('follow the most specific exception', () => {
    const exception = (id: string, scope: object, value: number): unknown => ({
      kind: 'put_exception',
      exception: { id, scope, setting: 'tokensPerSec', value, reason: 'agreed for the test' },
    });
    const config = applyChanges(
      BASE,
      changesOf([
        exception('e1', { customer: 'c1' }, 1),
        exception('e2', { service: 'bench-guide' }, 2),
        exception('e3', { customer: 'c1', failureDomain: 'marka' }, 3),
      ]),
    );
    const customer = asId<CustomerId>('c1');
    const tokensPerSec = (place: object): number => effectiveSettings(config, place).tokensPerSec;
    expect(tokensPerSec({})).toBe(config.defaults.tokensPerSec);
    expect(tokensPerSec({ service: SERVICE })).toBe(2);
    expect(tokensPerSec({ service: SERVICE, customer })).toBe(1);
    expect(tokensPerSec({ service: SERVICE, customer, failureDomain: 'marka' })).toBe(3);
  });
});

describe('administration roles', () => {
  const teamAdmin = (team: TeamId): Administrator => ({ name: 'x', team, role: 'team' });
  const kindOf = (admin: Administrator, changes: readonly ConfigChange[]): string =>
    checkChangeAccess(BASE, admin, changes).kind;

  // Guards against a team that changes what belongs to another team or to the whole fleet.
  it('let a team change only what it owns', () => {
    const ownService = changesOf([
      { kind: 'set_stable_version', service: 'bench-guide', version: 'v2' },
    ]);
    const takeOver = changesOf([
      {
        kind: 'put_customer',
        customer: { id: 'c1', team: 'team-a', keyHashes: [], weight: 1, services: [] },
      },
    ]);
    const makeFleetAdmin = changesOf([
      {
        kind: 'put_team',
        team: { id: 'team-a', admins: [{ name: 'x', keyHash: HASH, role: 'fleet' }] },
      },
    ]);
    const wholeDomain = changesOf([
      {
        kind: 'put_exception',
        exception: {
          id: 'e',
          scope: { failureDomain: 'marka' },
          setting: 'maxTokens',
          value: 1,
          reason: 'none',
        },
      },
    ]);
    expect(kindOf(teamAdmin(TEAM_A), ownService)).toBe('allowed');
    expect(kindOf(teamAdmin(TEAM_B), ownService)).toBe('denied');
    [takeOver, makeFleetAdmin, wholeDomain, [limitChange(1)]].forEach((changes) => {
      expect(kindOf(teamAdmin(TEAM_A), changes)).toBe('denied');
      expect(kindOf({ name: 'f', team: TEAM_A, role: 'fleet' }, changes)).toBe('allowed');
    });
    expect(kindOf({ name: 'v', team: TEAM_A, role: 'viewer' }, ownService)).toBe('denied');
  });
});
