import { describe, expect, it } from 'vitest';
import {
  asId,
  createFleet,
  createPeerRegistry,
  createPlacer,
  EXPLAINED_SERVERS_MAX,
} from '../../src/index';
import { CAPACITY, createRandom, hash32, id, requestId, server } from './fixtures';
import type { ServerFailure, ServiceName } from '../../src/index';

const GUIDE = asId<ServiceName>('guide');
const NOW_MS = 50_000;
const FAILURES: readonly ServerFailure[] = ['refused', 'silent', 'reset', 'misdirected', 'unread'];

/** A fleet in a random state; parts of it are left out in some of the seeds. */
function createLoad(seed: number, count: number) {
  const random = createRandom(seed * 7_919 + 13);
  const upTo = (max: number): number => Math.floor(random() * max);
  const fleet = createFleet();
  const peers = createPeerRegistry();
  const names = Array.from({ length: count }, (_, no) => `${'abc'.charAt(no % 3)}${no}`);
  const servers = names.map((name) => ({
    ...server(name),
    isLeaving: random() < 0.05,
    isUncertain: random() < 0.1,
  }));
  fleet.setServers(servers, 0);
  const isPaced = random() < 0.5;
  servers.forEach((entry) => {
    const { serverId } = entry;
    for (let no = upTo(12); no > 0; no -= 1) {
      const request = requestId(`${serverId}-${no}`);
      fleet.onSent(serverId, request, upTo(8_000), NOW_MS - upTo(3_000));
      if (random() < 0.6) fleet.onFirstEvent(serverId, request, NOW_MS - upTo(500));
    }
    fleet.onCopy(serverId, upTo(3_000), 1);
    const workTimePercent = isPaced ? 50 + upTo(200) : undefined;
    const report = { running: upTo(20), waiting: upTo(3), slots: 32, workTimePercent };
    if (random() < 0.8) fleet.onLoadReport(serverId, report, NOW_MS - upTo(2_000));
    if (random() < 0.1) fleet.limits.onAnswer(serverId, 1 + upTo(3), NOW_MS - 500);
    for (let no = upTo(4); no > 0; no -= 1) fleet.limits.onSent(serverId, NOW_MS - upTo(400));
    if (random() < 0.1) fleet.onPause(entry, 2_000, NOW_MS - 500);
    const failure = FAILURES[upTo(40)];
    if (failure !== undefined) fleet.onFailure(serverId, failure, NOW_MS - upTo(400));
    const isFailing = random() < 0.15;
    for (let no = 0; no < 12; no += 1) {
      const atMs = NOW_MS - 5_500 + no;
      fleet.outlierDetector.onResult(serverId, 'r', { isSuccess: !isFailing }, atMs);
    }
  });
  const loads = servers.map(({ serverId }) => ({
    serverId,
    running: upTo(10),
    prefillMs: upTo(2_000),
    copies: upTo(3),
    tokens: upTo(20_000),
  }));
  const update = {
    hostId: asId<never>('h2'),
    failureDomain: asId<never>('domain-b'),
    incarnationId: 'i',
    sequence: 1,
    canReadStore: true,
    loads,
    failures: [],
    moves: [],
    callCounts: [],
  };
  peers.onUpdate(update, '10.0.0.9:1', NOW_MS - upTo(500));
  const placer = createPlacer(fleet, peers, asId('h1'), hash32);
  const stream = {
    service: GUIDE,
    capacity: CAPACITY,
    promptTokens: upTo(9_000),
    outputTokens: upTo(700),
    limitDraw: random(),
    excluded: new Set(random() < 0.5 ? [id('a0'), id('b1')] : []),
    excludedCopyHolders: new Set([id('c2')]),
  };
  const { service, limitDraw, excluded } = stream;
  return { fleet, placer, stream, call: { service, route: 'r', limitDraw, excluded } };
}

type Load = ReturnType<typeof createLoad>;

const explain = ({ placer, stream, call }: Load) => ({
  stream: placer.explain.stream(stream, NOW_MS),
  call: placer.explain.call(call, NOW_MS),
});

const choose = ({ placer, stream, call }: Load) => {
  const placed = placer.placeStream(stream, NOW_MS, () => 0);
  return {
    engineId: placed.kind === 'ok' ? placed.engineId : undefined,
    firstEventMs: placed.kind === 'ok' ? placed.expectedFirstEventMs : undefined,
    copyEngineId: placed.kind === 'ok' ? placed.copyEngineId : undefined,
    callId: placer.placeCall(call, NOW_MS, () => 0),
  };
};

const SEEDS = Array.from({ length: 300 }, (_, no) => no);

describe('the explanation of a placement', () => {
  it('names the choice of the placement without its random part', () => {
    // Guards against an explanation with rules or costs of its own, which would mislead operators.
    const probes = SEEDS.filter((seed) => {
      const load = createLoad(seed, 2 + (seed % 30));
      const { stream, call } = explain(load);
      const chosen = choose(load);
      expect([seed, stream.chosenId, call.chosenId]).toEqual([
        seed,
        chosen.engineId,
        chosen.callId,
      ]);
      expect(stream.candidates[0]?.expectedFirstEventMs).toBe(chosen.firstEventMs);
      if (chosen.copyEngineId !== undefined) {
        const copy = stream.copyCandidates.find(({ serverId }) => serverId === chosen.copyEngineId);
        expect([seed, copy?.isInSpread]).toEqual([seed, true]);
      }
      return call.isProbe;
    });
    // Both the servers that are due for a probe and the others must have been met.
    expect(probes.length).toBeGreaterThan(0);
    expect(probes.length).toBeLessThan(SEEDS.length);
  });

  it('adds up to the cost, and gives a reason for each server that is left out', () => {
    // Guards against a part of the cost, or a reason, that operators are not told of.
    SEEDS.forEach((seed) => {
      const load = createLoad(seed, 2 + (seed % 30));
      const { stream, call } = explain(load);
      [...stream.candidates, ...call.candidates].forEach(({ costMs, parts }) => {
        const sumMs = Object.values(parts).reduce((sum, partMs) => sum + partMs, 0);
        expect(sumMs).toBeCloseTo(costMs, 6);
      });
      const listed = load.fleet.listed(GUIDE).length;
      expect(stream.candidateCount + stream.excludedCount).toBe(listed);
      expect(call.candidateCount + call.excludedCount).toBe(listed);
    });
  });

  it('is the same when asked again, and changes no later choice', () => {
    // Guards against an explanation that claims a probe, counts demand or uses up randomness.
    SEEDS.forEach((seed) => {
      const asked = createLoad(seed, 2 + (seed % 30));
      const first = explain(asked);
      expect(explain(asked)).toEqual(first);
      const other = createLoad(seed, 2 + (seed % 30));
      const stateOf = ({ fleet }: Load) => [fleet.listed(GUIDE), fleet.limits.ownReports(NOW_MS)];
      expect(stateOf(asked)).toEqual(stateOf(other));
      expect(choose(asked)).toEqual(choose(other));
    });
  });

  it('lists at most a fixed number of servers', () => {
    // Guards against an answer of many megabytes from a router of a large fleet.
    const { stream } = explain(createLoad(1, 400));
    expect(stream.candidates).toHaveLength(EXPLAINED_SERVERS_MAX);
    expect(stream.candidateCount).toBeGreaterThan(EXPLAINED_SERVERS_MAX);
    expect(stream.copyCandidates.length).toBeLessThanOrEqual(EXPLAINED_SERVERS_MAX);
  });
});
