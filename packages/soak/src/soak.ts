import { mkdtempSync, rmSync } from 'node:fs';
import { Agent } from 'node:http';
import { join } from 'node:path';
import { createRandom } from '@mimosamill/fakes';
import {
  sendCallerRequest,
  CALLER_KEY,
  ROUTE_PREFIXES,
  startStandinPlatform,
} from '@mimosamill/platform/standin';
import { findViolations } from './checks';
import { FAULT_KINDS, injectFault, sleep, pickRandom } from './faults';
import { orderVersionMove } from './move';
import { startFaultProxy } from './fault-proxy';
import { createRouterProcess } from './router-process';
import type { StandinServer } from '@mimosamill/platform/standin';
import type { Exchange, RequestKind, Violation } from './checks';
import type { FaultKind, FaultTargets } from './faults';
import type { OrderedMove } from './move';
import type { FaultProxy } from './fault-proxy';
import type { RouterProcess } from './router-process';

export interface SoakOptions {
  readonly seed: number;
  readonly faultDurationMs: number;
  readonly routerCount: number;
  readonly callerCount: number;
  /** Logs are kept here when a promise was broken. */
  readonly logDirectory: string;
}

export interface SoakResult {
  readonly seed: number;
  readonly faultsByKind: Readonly<Partial<Record<FaultKind, number>>>;
  readonly requests: number;
  readonly served: number;
  readonly streamsResumed: number;
  readonly violations: readonly Violation[];
}

const STREAM_PROFILE = { eventCount: 50, prefillMs: 80, eventGapMs: 15 };
const FAILURE_DOMAINS = ['east', 'west', 'north'];
const ENGINE_COUNT = 6;
const PLAIN_SERVER_COUNT = 3;
const API_KEYS = [CALLER_KEY, 'key-2', 'key-3', 'key-4'];
const ROUTER_TIME_LIMITS = { revokeMs: 2_500, configMs: 800, drainMs: 600, graceMs: 3_000 };
const START_TIMEOUT_MS = 15_000;
/** Every router serves each kind of request again within this time of the last fault. */
const RECOVERY_TIMEOUT_MS = 8_000;
const MIN_FAULT_INTERVAL_MS = 150;
const MAX_FAULT_INTERVAL_MS = 700;
const MAX_CALLER_PAUSE_MS = 40;
const REQUEST_KINDS: readonly RequestKind[] = ['stream', 'once', 'idempotent'];

/** Plays one seed: real routers, stand-ins behind proxies, callers, and faults that overlap. */
export async function runSeed(options: SoakOptions): Promise<SoakResult> {
  const random = createRandom(options.seed);
  const directory = mkdtempSync(join(options.logDirectory, `soak-${options.seed}-`));
  const fleet = await startFleet(options, directory, random);
  const exchanges: Exchange[] = [];
  const isOver = { value: false };
  const callers = Array.from({ length: options.callerCount }, (_, no) =>
    runCaller(no, fleet, exchanges, random, isOver),
  );
  // Odd seeds play no move, so that those that failed before moves were played stay what they were.
  const move = options.seed % 2 === 0 ? await fleet.orderMove() : undefined;
  const faultsByKind = await injectRandomFaults(fleet.targets, options.faultDurationMs, random);
  const recovery = await checkRecovery(fleet);
  const moved = (await move?.findViolations()) ?? [];
  isOver.value = true;
  await Promise.all(callers);
  const runs = [...fleet.targets.platform.engines.runs, ...fleet.targets.platform.plain.runs];
  const violations = [
    ...findViolations(
      exchanges,
      runs,
      fleet.keyRemovalTimes,
      ROUTER_TIME_LIMITS.revokeMs,
      STREAM_PROFILE.eventCount,
    ),
    ...recovery,
    ...moved,
  ];
  await fleet.close();
  if (violations.length === 0) rmSync(directory, { recursive: true, force: true });
  return {
    seed: options.seed,
    faultsByKind,
    requests: exchanges.length,
    served: exchanges.filter(({ answer }) => answer.status === 200 && answer.isComplete).length,
    streamsResumed: runs.filter(({ headers }) => headers['last-event-id'] !== undefined).length,
    violations,
  };
}

interface SoakFleet {
  readonly targets: FaultTargets;
  /** Keys that were taken away, and when. */
  readonly keyRemovalTimes: ReadonlyMap<string, number>;
  readonly callerKeys: () => readonly string[];
  /** Orders a move to a version that is bad for every second seed that plays one. */
  readonly orderMove: () => Promise<OrderedMove>;
  readonly close: () => Promise<void>;
}

async function startFleet(
  options: SoakOptions,
  directory: string,
  random: () => number,
): Promise<SoakFleet> {
  const platform = await startStandinPlatform(STREAM_PROFILE);
  const serverLinks: FaultProxy[] = [];
  const servers: StandinServer[] = [];
  const keyRemovalTimes = new Map<string, number>();
  let keys = [...API_KEYS];
  platform.setApiKeys(keys);

  async function add(
    group: 'engines' | 'plain',
    id: string,
    no: number,
    version?: string,
  ): Promise<StandinServer> {
    const server = await platform[group].startServer(id);
    const link = await startFaultProxy(server.address);
    serverLinks.push(link);
    // The end of a fault would make a server of a bad version good.
    if (version === undefined) servers.push(server);
    platform.listServer(id, {
      service: group === 'engines' ? 'engines' : 'shop',
      address: link.address,
      failureDomain: FAILURE_DOMAINS[no % FAILURE_DOMAINS.length] ?? '',
      ...(version === undefined ? {} : { version }),
    });
    return server;
  }

  for (let no = 0; no < ENGINE_COUNT; no += 1) await add('engines', `e${no}`, no);
  for (let no = 0; no < PLAIN_SERVER_COUNT; no += 1) await add('plain', `p${no}`, no);
  const storeLinks: FaultProxy[] = [];
  const routers: RouterProcess[] = [];
  for (let no = 0; no < options.routerCount; no += 1) {
    const link = await startFaultProxy(platform.store.address);
    storeLinks.push(link);
    const domain = FAILURE_DOMAINS[no % FAILURE_DOMAINS.length] ?? '';
    routers.push(
      await createRouterProcess(
        `router-${no}`,
        domain,
        link.address,
        ROUTER_TIME_LIMITS,
        directory,
      ),
    );
  }
  routers.forEach((router) => router.start());
  try {
    await waitUntilReady(routers);
  } catch (error) {
    // No process may outlive the soak that started it.
    await Promise.all(routers.map((router) => router.stop()));
    throw error;
  }
  return {
    targets: {
      platform,
      routers,
      serverLinks,
      storeLinks,
      servers,
      random,
      removeKey: () => {
        if (keys.length < 2) return undefined;
        const key = keys.at(-1);
        keys = keys.slice(0, -1);
        platform.setApiKeys(keys);
        if (key !== undefined) keyRemovalTimes.set(key, performance.now());
        return key;
      },
    },
    keyRemovalTimes,
    callerKeys: () => API_KEYS,
    orderMove: () =>
      orderVersionMove(
        platform,
        (id, version) => add('plain', id, PLAIN_SERVER_COUNT, version),
        options.seed % 4 === 0,
      ),
    close: async () => {
      await Promise.all(routers.map((router) => router.stop()));
      await Promise.all([...serverLinks, ...storeLinks].map((link) => link.close()));
      await platform.close();
    },
  };
}

async function waitUntilReady(routers: readonly RouterProcess[]): Promise<void> {
  const endMs = performance.now() + START_TIMEOUT_MS;
  for (;;) {
    const ready = await Promise.all(routers.map((router) => router.isReady()));
    if (ready.every(Boolean)) return;
    if (performance.now() > endMs) throw new Error('the routers did not become ready');
    await sleep(50);
  }
}

/** Sends requests over kept connections, each to any router, until the end of the run. */
async function runCaller(
  callerNo: number,
  fleet: SoakFleet,
  exchanges: Exchange[],
  random: () => number,
  isOver: { readonly value: boolean },
): Promise<void> {
  const agent = new Agent({ keepAlive: true });
  for (let no = 0; !isOver.value; no += 1) {
    const kind = REQUEST_KINDS[(callerNo + no) % REQUEST_KINDS.length] ?? 'stream';
    const router = pickRandom(fleet.targets.routers, random);
    const apiKey = pickRandom(fleet.callerKeys(), random);
    const requestId = `c${callerNo}-${no}`;
    const sentAtMs = performance.now();
    const answer = await sendCallerRequest(router.settings.callerAddress, {
      requestId,
      path: `${ROUTE_PREFIXES[kind]}x`,
      apiKey,
      agent,
      budgetMs: kind === 'stream' ? 8_000 : 1_500,
      timeoutMs: kind === 'stream' ? 9_000 : 2_500,
      ...(kind === 'idempotent' ? {} : { body: 'body' }),
      ...(kind === 'stream' ? { headers: { 'x-token-count': '100,50' } } : {}),
    });
    exchanges.push({ requestId, kind, apiKey: apiKey, sentAtMs, answer });
    await sleep(MAX_CALLER_PAUSE_MS * random());
  }
  agent.destroy();
}

async function injectRandomFaults(
  targets: FaultTargets,
  forMs: number,
  random: () => number,
): Promise<Partial<Record<FaultKind, number>>> {
  const counts: Partial<Record<FaultKind, number>> = {};
  const running: Promise<void>[] = [];
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    const kind = pickRandom(FAULT_KINDS, random);
    counts[kind] = (counts[kind] ?? 0) + 1;
    running.push(injectFault(kind, targets));
    await sleep(MIN_FAULT_INTERVAL_MS + random() * (MAX_FAULT_INTERVAL_MS - MIN_FAULT_INTERVAL_MS));
  }
  await Promise.all(running);
  return counts;
}

/** Requests of each kind to each router, until all are served or the time is over. */
async function checkRecovery(fleet: SoakFleet): Promise<Violation[]> {
  const endMs = performance.now() + RECOVERY_TIMEOUT_MS;
  const checks = fleet.targets.routers.flatMap((router) =>
    REQUEST_KINDS.map((kind) => ({ router, kind, name: `${router.settings.hostId}/${kind}` })),
  );
  const failed = await Promise.all(
    checks.map(async ({ router, kind, name }): Promise<Violation | undefined> => {
      for (let no = 0; performance.now() < endMs; no += 1) {
        const { status, isComplete } = await sendCallerRequest(router.settings.callerAddress, {
          requestId: `after-${name}-${no}`,
          path: `${ROUTE_PREFIXES[kind]}x`,
          timeoutMs: 5_000,
          ...(kind === 'idempotent' ? {} : { body: 'body' }),
        });
        if (status === 200 && isComplete) return undefined;
        await sleep(100);
      }
      return {
        promise: 'recovery',
        requestId: name,
        detail: `not served for ${RECOVERY_TIMEOUT_MS} ms`,
      };
    }),
  );
  return failed.filter((violation) => violation !== undefined);
}
