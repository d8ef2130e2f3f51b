import { describe, expect, it } from 'vitest';
import {
  asId,
  createFleet,
  createForwardTable,
  createOutputSizes,
  createPeerRegistry,
  createPlacer,
  createServiceLoads,
} from '@mimosamill/core';
import { createExplainer } from '../../src/forward/explain';
import { createManualClock } from './clock';
import type { ForwardConfig, ForwardServer } from '@mimosamill/core';
import type { ExplainPorts } from '../../src/forward/explain';

const CONFIG = {
  revision: 7,
  routes: [
    { name: 'chat', host: 'a.test', pathPrefix: '/chat', kind: 'stream', priority: 0 },
    { name: 'batch', host: 'a.test', pathPrefix: '/batch', kind: 'stream', priority: 5 },
  ].map((route) => ({
    ...route,
    timeoutMs: 20_000,
    targetMs: 1_000,
    isPublic: route.name === 'batch',
    targets: [{ service: 'guide', weight: 1 }],
  })),
  services: [
    {
      name: 'guide',
      engine: { slots: 4, memoryTokens: 50_000, hasBackups: true, copyLifeMs: 4_000 },
    },
  ],
  customers: [{ customerId: 'c1', keys: ['secret'], priority: undefined }],
} as unknown as ForwardConfig;

const SERVERS = ['e1', 'e2', 'e3'].map((name, no): ForwardServer => ({
  serverId: asId(name),
  service: asId('guide'),
  address: `10.0.0.${no}:80`,
  failureDomain: asId(`domain-${no}`),
  version: 'v1',
  slots: 4,
  isLeaving: name === 'e3',
  startedAtMs: 1,
}));

function createWorld(changes: Partial<ExplainPorts> = {}, servers = SERVERS) {
  const fleet = createFleet();
  const peers = createPeerRegistry();
  fleet.setServers(servers, 0);
  const placer = createPlacer(fleet, peers, asId('h1'), (text) => text.length);
  const explain = createExplainer({
    hostId: 'h1',
    clock: createManualClock(),
    fleet,
    placer,
    serviceLoads: createServiceLoads(fleet, peers, placer.prefillMsPerToken),
    outputSizes: createOutputSizes(),
    versionMoves: { excludedServers: () => new Set(), excludedCopyHolders: () => new Set() },
    table: () => createForwardTable(CONFIG),
    configAgeMs: () => 100,
    serverListAgeMs: () => 200,
    freshness: () => ({ serveMaxAgeMs: 1_000, denyMaxAgeMs: 1_000 }),
    meanDurationMs: () => undefined,
    refusesToStop: () => false,
    ...changes,
  });
  return { fleet, explain };
}

const CHAT = '/explain?host=a.test&path=/chat&customer=c1&prompt_tokens=400';
type Explain = ReturnType<typeof createWorld>['explain'];
const checkOf = (explain: Explain, url = CHAT): unknown =>
  (explain(url).body as { refusal?: { check: string } }).refusal?.check;

describe('the explanation of a request', () => {
  it('tells the route, the engines in order and why one is left out, but no key', () => {
    // Guards against an answer that lacks a part that operators need, or that shows a secret.
    const { explain } = createWorld();
    const { status, body } = explain(CHAT);
    expect(status).toBe(200);
    expect(JSON.stringify(body)).not.toContain('secret');
    expect(body).toMatchSnapshot();
    expect(explain(CHAT).body).toEqual(body);
  });

  it('names the check that refuses the request', () => {
    // Guards against an explanation that shows an engine for a request that is refused.
    const stale = createWorld({ configAgeMs: () => 2_000 }).explain;
    const paused = createWorld();
    SERVERS.forEach((server) => paused.fleet.onPause(server, 5_000, 0));
    const { explain } = createWorld();
    expect([
      checkOf(createWorld({ refusesToStop: () => true }).explain),
      checkOf(createWorld({ refusesToStop: (route) => route !== undefined }).explain),
      checkOf(createWorld({ table: () => undefined }).explain),
      checkOf(stale),
      checkOf(stale, '/explain?host=a.test&path=/batch'),
      checkOf(explain, '/explain?host=a.test&path=/none'),
      checkOf(explain, '/explain?host=a.test&path=/chat'),
      checkOf(explain, '/explain?host=a.test&path=/chat&customer=c2'),
      checkOf(createWorld({}, []).explain),
      checkOf(paused.explain),
      checkOf(explain),
    ]).toEqual([
      'stopping',
      'stopping',
      'no_configuration',
      'configuration_too_old',
      undefined,
      'no_route',
      'access',
      'access',
      'no_server_listed',
      'limits_or_pauses',
      undefined,
    ]);
  });

  it('tells which part of the less urgent streams the busy engines leave out', () => {
    // Guards against a single draw that is shown as if it held for all requests of the route.
    const load = { slotsRatio: 2, memoryRatio: 1, prefillMs: 5_000, hasWaiting: true };
    const { explain } = createWorld({ serviceLoads: { of: () => load } });
    const { admission } = explain('/explain?host=a.test&path=/batch').body as {
      admission: { sendRatio: number; refuseRatio: number };
    };
    expect(admission.sendRatio).toBeGreaterThan(0);
    expect(admission.refuseRatio).toBeGreaterThan(0);
    expect((explain(CHAT).body as { admission: unknown }).admission).toMatchObject({
      level: 0,
      sendRatio: 1,
    });
  });

  it.each([
    '/explain',
    `${CHAT}&key=secret`,
    `${CHAT}&host=b.test`,
    '/explain?host=a.test&path=chat',
    '/explain?host=a.test&path=/chat&prompt_tokens=-1',
    '/explain?host=a.test&path=/chat&prompt_tokens=99999999999',
    '/explain?host=a.test&path=/chat&draw=1',
  ])('refuses the query %s with its fault', (url) => {
    // Guards against an explanation of another request than the one that was meant.
    expect(createWorld().explain(url)).toMatchSnapshot();
  });
});
