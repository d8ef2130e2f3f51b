import { describe, expect, it } from 'vitest';
import {
  asId,
  createFleet,
  createOutputSizes,
  createPeerRegistry,
  createPlacer,
  createPromptSizes,
  createServerPace,
} from '../../src/index';
import { CAPACITY, createRandom, hash32, id, requestId, server } from './fixtures';
import type { RouteName, ServiceName } from '../../src/index';

const GUIDE = asId<ServiceName>('guide');
const ROUTE = asId<RouteName>('draft');
const ENGINE = { serverId: id('a1'), service: GUIDE };
const report = (workTimePercent?: number) => ({
  running: 1,
  waiting: 0,
  slots: 32,
  workTimePercent,
});

describe('the pace of a server', () => {
  it('is the one that its reports have in common, as soon as the last of them is old', () => {
    // Guards against a moment of slowness that drives streams away from a fast engine for long.
    const pace = createServerPace();
    [60, 60, 60, 60, 150].forEach((percent, no) => pace.onReport(ENGINE, percent, no * 10));
    expect(pace.paceRatio(ENGINE.serverId, 40)).toBeCloseTo(1.5, 1);
    expect(pace.paceRatio(ENGINE.serverId, 3_000)).toBeLessThan(0.7);
    expect(pace.paceRatio(ENGINE.serverId, 1_000_000)).toBeCloseTo(1, 2);
    expect(pace.ageMs(ENGINE.serverId, 3_000)).toBe(2_960);
  });

  it('is not taken from a report of another router that is older than the own one', () => {
    // Guards against a figure of the past that counts as what the server does now.
    const pace = createServerPace();
    pace.onReport(ENGINE, 100, 5_000);
    const told = { serverId: ENGINE.serverId, workTimePercent: 300 };
    pace.onPeerReport(ENGINE, { ...told, ageMs: 1_200 }, asId('host-2'), 5_000);
    expect(pace.paceRatio(ENGINE.serverId, 5_000)).toBe(1);
    pace.onPeerReport(ENGINE, { ...told, ageMs: 0 }, asId('host-2'), 5_200);
    expect(pace.paceRatio(ENGINE.serverId, 5_200)).toBeGreaterThan(1.5);
  });

  it('has a bounded effect, and none by figures that no server can mean', () => {
    // Guards against one wrong figure that shuts an engine or draws all streams to it.
    const pace = createServerPace();
    [0, -5, 1e9, Number.NaN, undefined].forEach((figure) => pace.onReport(ENGINE, figure, 0));
    expect(pace.isStated(GUIDE)).toBe(false);
    expect(pace.paceRatio(ENGINE.serverId, 0)).toBe(1);
    pace.onReport(ENGINE, 9_999, 0);
    expect(pace.paceRatio(ENGINE.serverId, 0)).toBeCloseTo(3);
    pace.onReport(ENGINE, 0.1, 0);
    expect(pace.paceRatio(ENGINE.serverId, 0)).toBeCloseTo(0.5);
  });

  it('makes an engine with an overdue prompt look busy, to other routers too', () => {
    // Guards against slow engines that look idle, and get more, once a prompt should have been read.
    const fleet = createFleet();
    fleet.setServers([server('a1')], 0);
    fleet.onSent(id('a1'), requestId('r'), 5_000, 0);
    expect(fleet.ownLoads(1_500, 0.2)[0]?.prefillMs).toBe(0);
    fleet.onLoadReport(id('a1'), report(100), 0);
    expect(fleet.ownLoads(1_500, 0.2)[0]?.prefillMs).toBe(500);
    expect(fleet.ownLoads(9_000, 0.2)[0]?.prefillMs).toBe(1_000);
  });
});

describe('an engine without memory for the prompt and the expected output', () => {
  const place = (states: boolean): string => {
    const fleet = createFleet();
    fleet.setServers([server('a1'), server('b1')], 0);
    // The engine that has memory left is busy with prompts for 8 s.
    fleet.onSent(id('a1'), requestId('r1'), 0, 0, 45_000);
    fleet.onSent(id('b1'), requestId('r2'), 32_000, 0);
    if (states) fleet.onLoadReport(id('a1'), report(100), 0);
    const placer = createPlacer(fleet, createPeerRegistry(), asId('host'), hash32);
    const input = {
      service: GUIDE,
      capacity: { ...CAPACITY, hasBackups: false },
      promptTokens: 4_000,
      outputTokens: 700,
      excluded: new Set<never>(),
      excludedCopyHolders: new Set<never>(),
      limitDraw: 0,
    };
    const placed = placer.placeStream(input, 0, createRandom(1));
    return placed.kind === 'ok' ? placed.engineId : placed.reason;
  };

  it('is closed while another one has room, where engines state how long work takes', () => {
    // Guards against an engine that crashes, with all its streams, because its queue is shorter.
    expect(place(true)).toBe('b1');
    expect(place(false)).toBe('a1');
  });
});

describe('the sizes of prompts', () => {
  it('divide into long and short ones only where they differ a lot', () => {
    // Guards against a service with prompts of one kind that is served in another way than before.
    const sizes = createPromptSizes();
    for (let no = 0; no < 60; no += 1) sizes.onPrompt(GUIDE, 3_500 + 60 * no);
    expect(sizes.splitOf(GUIDE)).toBeUndefined();
    for (let no = 0; no < 20; no += 1) sizes.onPrompt(GUIDE, 12_000);
    const border = sizes.splitOf(GUIDE)?.borderTokens ?? 0;
    expect(border).toBeGreaterThan(5_000);
    expect(border).toBeLessThan(12_000);
    for (let no = 0; no < 200; no += 1) sizes.onPrompt(GUIDE, 4_000);
    expect(sizes.splitOf(GUIDE)).toBeUndefined();
  });
});

describe('the expected output', () => {
  it('is the hint, then the mean hint of the route, and at most what the request allows', () => {
    // Guards against memory that is filled by wrong hints, or by the most that each answer may have.
    const sizes = createOutputSizes();
    const unhinted = { outputTokens: 900, lengthHint: undefined };
    expect(sizes.expectedTokens(ROUTE, unhinted)).toBe(900);
    sizes.onRequest(ROUTE, { outputTokens: 900, lengthHint: 400 });
    sizes.onRequest(ROUTE, { outputTokens: 900, lengthHint: 1_000_000 });
    expect(sizes.expectedTokens(ROUTE, unhinted)).toBeCloseTo(450);
    expect(sizes.expectedTokens(ROUTE, { outputTokens: 900, lengthHint: 2_000 })).toBe(900);
    expect(sizes.expectedTokens(ROUTE, { outputTokens: 0, lengthHint: 300 })).toBe(300);
  });
});
