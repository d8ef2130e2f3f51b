import { describe, expect, it } from 'vitest';
import { asId, createFleet, createPeerRegistry, createPlacer } from '../../src/index';
import { createRandom, hash32, CAPACITY, server } from './fixtures';
import type { Placer, ServerId, ServiceName } from '../../src/index';

const GUIDE = asId<ServiceName>('guide');
const ENGINES = ['a', 'b'].flatMap((domain) =>
  Array.from({ length: 28 }, (_, no) => `${domain}${no}`),
);
const ROUTERS = 28;

/** Placers with equal state: the first engine is empty, the others run one to three streams. */
function createPlacers(): Placer[] {
  return Array.from({ length: ROUTERS }, (_, no) => {
    const fleet = createFleet();
    fleet.setServers(
      ENGINES.map((name) => server(name)),
      0,
    );
    const peers = createPeerRegistry();
    peers.onUpdate(
      {
        hostId: asId('busy-host'),
        failureDomain: asId('domain-a'),
        incarnationId: 'x',
        sequence: 1,
        canReadStore: true,
        loads: ENGINES.slice(1).map((name, at) => ({
          serverId: asId(name),
          running: 1 + (at % 3),
          prefillMs: 0,
          copies: at % 2,
          tokens: 5_000,
        })),
        failures: [],
        moves: [],
        callCounts: [],
      },
      '',
      0,
    );
    return createPlacer(fleet, peers, asId(`host-${no}`), hash32);
  });
}

/** How often each engine was chosen, the most frequent first. */
function countChoices(chosen: readonly (ServerId | undefined)[]): number[] {
  const counts = new Map<ServerId | undefined, number>();
  chosen.forEach((engineId) => counts.set(engineId, (counts.get(engineId) ?? 0) + 1));
  return [...counts.values()].sort((a, b) => b - a);
}

describe('streams that lose their engines at the same moment', () => {
  const input = {
    service: GUIDE,
    capacity: CAPACITY,
    promptTokens: 5_000,
    excluded: new Set<ServerId>(),
    excludedCopyHolders: new Set<ServerId>(),
    limitDraw: 0,
  };

  it('are spread over the remaining engines although all routers see the same empty one', () => {
    [1, 2, 3].forEach((seed) => {
      const random = createRandom(seed * 7_919);
      const placed = createPlacers().map((placer) =>
        placer.placeStream({ ...input, isFailover: true }, 10, random),
      );
      const engines = placed.map((each) => (each.kind === 'ok' ? each.engineId : undefined));
      const copies = placed.map((each) => (each.kind === 'ok' ? each.copyEngineId : undefined));
      expect(countChoices(engines)[0]).toBeLessThanOrEqual(4);
      expect(countChoices(copies)[0]).toBeLessThanOrEqual(4);
    });
  });

  it('spread their new copies when the engine that held them is lost', () => {
    const random = createRandom(11);
    const copies = createPlacers().map((placer) => placer.placeCopy(asId('a5'), input, 10, random));
    expect(countChoices(copies)[0]).toBeLessThanOrEqual(4);
  });
});
