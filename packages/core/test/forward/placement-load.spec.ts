import { describe, expect, it } from 'vitest';
import { asId, createFleet, createPeerRegistry, createPlacer } from '../../src/index';
import { createRandom, hash32, CAPACITY, requestId, server } from './fixtures';
import type { Fleet, PeerRegistry, Placer, ServerId, ServiceName } from '../../src/index';

const GUIDE = asId<ServiceName>('guide');
const PROMPT_TOKENS = 5_000;
const TOKENS_PER_MS = 5;
const DECODE_MS = 4_500;
const UPDATE_DELAY_MS = 20;

interface Engine {
  /** When it has done all prefills that it was sent. */
  prefillsDoneAtMs: number;
  deadUntilMs: number;
}

interface Router {
  readonly fleet: Fleet;
  readonly peers: PeerRegistry;
  readonly placer: Placer;
}

interface Load {
  readonly routers: number;
  readonly streamsPerSec: number;
  readonly seconds: number;
  readonly sharesLoad: boolean;
  readonly enginesPerDomain?: number;
  /**
   * 'changes': a message at each first event and end, as well as at each placement. 'placements': first
   * events and ends wait for the next message, at most `HEARTBEAT_MS` away.
   */
  readonly tells?: 'changes' | 'placements';
  /** Period with which the failure domains are lost for `LOSS_MS`, one after the other. */
  readonly lossEveryMs: number | undefined;
}

const DOMAINS = ['a', 'b', 'c'];
const ENGINES_PER_DOMAIN = 4;
const LOSS_MS = 1_200;
const HEARTBEAT_MS = 1_000;

/**
 * Simulates a load on engines that do one prefill after the other; returns waits for first events.
 */
function simulateLoad(load: Load, seed: number): number[] {
  const random = createRandom(seed);
  const names = DOMAINS.flatMap((domain) =>
    Array.from(
      { length: load.enginesPerDomain ?? ENGINES_PER_DOMAIN },
      (_, no) => `${domain}${no}`,
    ),
  );
  const engines = new Map<ServerId, Engine>(
    names.map((name) => [asId(name), { prefillsDoneAtMs: 0, deadUntilMs: 0 }]),
  );
  const routers = Array.from({ length: load.routers }, (_, no): Router => {
    const fleet = createFleet();
    fleet.setServers(
      names.map((name) => server(name)),
      0,
    );
    const peers = createPeerRegistry();
    return { fleet, peers, placer: createPlacer(fleet, peers, asId(`host-${no}`), hash32) };
  });
  const queue: { readonly atMs: number; readonly run: () => void }[] = [];
  const waits: number[] = [];
  const sentAtMs = new Map<number, number>();
  const endMs = load.seconds * 1_000;
  let nowMs = 0;
  let sequence = 0;

  const schedule = (atMs: number, run: () => void): void => {
    queue.push({ atMs, run });
  };

  function sendChange(routerNo: number): void {
    if (load.tells !== 'placements') sendUpdate(routerNo);
  }

  function sendHeartbeat(routerNo: number): void {
    const dueAtMs = (sentAtMs.get(routerNo) ?? 0) + HEARTBEAT_MS;
    if (dueAtMs <= nowMs) sendUpdate(routerNo);
    const nextAtMs = dueAtMs <= nowMs ? nowMs + HEARTBEAT_MS : dueAtMs;
    if (nextAtMs < endMs) schedule(nextAtMs, () => sendHeartbeat(routerNo));
  }

  function sendUpdate(routerNo: number): void {
    if (!load.sharesLoad) return;
    const router = routers[routerNo];
    if (router === undefined) return;
    sentAtMs.set(routerNo, nowMs);
    sequence += 1;
    const update = {
      hostId: asId<never>(`host-${routerNo}`),
      failureDomain: asId<never>('domain-a'),
      incarnationId: 'x',
      sequence,
      canReadStore: true,
      loads: router.fleet.ownLoads(nowMs, router.placer.prefillMsPerToken()),
      failures: [],
      moves: [],
      callCounts: [],
    };
    schedule(nowMs + UPDATE_DELAY_MS, () =>
      routers.forEach((other, no) => {
        if (no !== routerNo) other.peers.onUpdate(update, '', nowMs);
      }),
    );
  }

  function start(routerNo: number, no: number, requestedAtMs: number): void {
    const router = routers[routerNo];
    if (router === undefined) return;
    const placed = router.placer.placeStream(
      {
        service: GUIDE,
        capacity: CAPACITY,
        promptTokens: PROMPT_TOKENS,
        excluded: new Set(),
        excludedCopyHolders: new Set(),
        limitDraw: 0,
      },
      nowMs,
      random,
    );
    const engine = placed.kind === 'ok' ? engines.get(placed.engineId) : undefined;
    if (placed.kind !== 'ok' || engine === undefined) return;
    if (engine.deadUntilMs > nowMs) {
      router.fleet.onFailure(placed.engineId, 'refused', nowMs);
      schedule(nowMs + 3, () => start(routerNo, no, requestedAtMs));
      return;
    }
    const id = requestId(`s${no}`);
    router.fleet.onSent(placed.engineId, id, PROMPT_TOKENS, nowMs);
    sendUpdate(routerNo);
    engine.prefillsDoneAtMs =
      Math.max(engine.prefillsDoneAtMs, nowMs) + PROMPT_TOKENS / TOKENS_PER_MS;
    schedule(engine.prefillsDoneAtMs, () => {
      waits.push(nowMs - requestedAtMs);
      router.fleet.onFirstEvent(placed.engineId, id, nowMs);
      router.fleet.onBytesReceived(placed.engineId, nowMs);
      sendChange(routerNo);
    });
    schedule(engine.prefillsDoneAtMs + DECODE_MS, () => {
      router.fleet.onEnd(placed.engineId, id, PROMPT_TOKENS);
      sendChange(routerNo);
    });
  }

  if (load.tells !== undefined) {
    routers.forEach((_, no) => schedule(random() * HEARTBEAT_MS, () => sendHeartbeat(no)));
  }
  let arrivalMs = 0;
  for (let no = 0; arrivalMs < endMs; no += 1) {
    arrivalMs += (-Math.log(1 - random()) * 1_000) / load.streamsPerSec;
    const routerNo = Math.floor(random() * load.routers);
    const requestedAtMs = arrivalMs;
    schedule(requestedAtMs, () => start(routerNo, no, requestedAtMs));
  }
  const { lossEveryMs } = load;
  for (let lossAtMs = lossEveryMs ?? endMs, no = 0; lossAtMs < endMs; no += 1) {
    const domain = DOMAINS[no % DOMAINS.length] ?? '';
    const untilMs = lossAtMs + LOSS_MS;
    schedule(lossAtMs, () =>
      engines.forEach((engine, id) => {
        if (id.startsWith(domain)) {
          Object.assign(engine, { deadUntilMs: untilMs, prefillsDoneAtMs: untilMs });
        }
      }),
    );
    lossAtMs += lossEveryMs ?? endMs;
  }
  while (queue.length > 0) {
    queue.sort((a, b) => a.atMs - b.atMs);
    const next = queue.shift();
    if (next === undefined) break;
    nowMs = next.atMs;
    next.run();
  }
  return waits.sort((a, b) => a - b);
}

const quantile = (values: readonly number[], part: number): number =>
  values[Math.floor((values.length - 1) * part)] ?? 0;

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

describe('placing streams under heavy load', () => {
  const heavy = { routers: 7, streamsPerSec: 5, seconds: 60, lossEveryMs: undefined };

  it('makes callers wait much less when routers share their load', () => {
    // Guards against prompts that queue at one engine because each router sees a seventh of them.
    [1, 2, 3].forEach((seed) => {
      const alone = simulateLoad({ ...heavy, sharesLoad: false }, seed);
      const shared = simulateLoad({ ...heavy, sharesLoad: true }, seed);
      expect(shared.length).toBe(alone.length);
      expect(quantile(shared, 0.95)).toBeLessThan(0.8 * quantile(alone, 0.95));
    });
  });

  it('serves first events in time although a failure domain is lost every six seconds', () => {
    // Guards against overload while a third of the engines is lost for 1.2 s, and against a
    // thundering herd when they return.
    [4, 5, 6].forEach((seed) => {
      const waits = simulateLoad({ ...heavy, sharesLoad: true, lossEveryMs: 6_000 }, seed);
      expect(quantile(waits, 0.99)).toBeLessThan(4_500);
      expect(quantile(waits, 0.5)).toBeLessThan(1_500);
    });
  });

  it.each([9, 61, 195, 340])(
    'makes callers wait at most 3 in 100 longer at %i routers that tell of ends with the next message',
    (routers) => {
      // Guards against crowded engines because the others learn late of first events and ends.
      const load = {
        routers,
        streamsPerSec: 33,
        seconds: 8,
        sharesLoad: true,
        enginesPerDomain: 20,
      };
      const waitsOf = (tells: 'changes' | 'placements'): number[] =>
        [1, 2, 3]
          .flatMap((seed) => simulateLoad({ ...load, tells, lossEveryMs: 3_000 }, seed))
          .sort((a, b) => a - b);
      const each = waitsOf('changes');
      const next = waitsOf('placements');
      expect(next.length).toBe(each.length);
      // Three in 100 is what two classes of callers may differ by; aims for the first event are 4 s.
      expect(mean(next)).toBeLessThan(1.03 * mean(each));
      expect(quantile(next, 0.99)).toBeLessThan(4_000);
    },
    60_000,
  );
});
