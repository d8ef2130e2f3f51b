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
  /** When it has read all prompts that it was sent. */
  readAtMs: number;
  deadUntilMs: number;
}

interface Router {
  readonly fleet: Fleet;
  readonly book: PeerRegistry;
  readonly placer: Placer;
}

interface Load {
  readonly routers: number;
  readonly streamsPerSec: number;
  readonly seconds: number;
  readonly sharesNews: boolean;
  /** Failure domains that are lost for a while, one after the other. */
  readonly lossEveryMs: number | undefined;
}

const DOMAINS = ['a', 'b', 'c'];
const ENGINES_PER_DOMAIN = 4;
const LOSS_MS = 1_200;

/** Plays a load on engines that read one prompt after the other; returns waits for first events. */
function playLoad(load: Load, seed: number): number[] {
  const random = createRandom(seed);
  const names = DOMAINS.flatMap((domain) =>
    Array.from({ length: ENGINES_PER_DOMAIN }, (_, no) => `${domain}${no}`),
  );
  const engines = new Map<ServerId, Engine>(
    names.map((name) => [asId(name), { readAtMs: 0, deadUntilMs: 0 }]),
  );
  const routers = Array.from({ length: load.routers }, (_, no): Router => {
    const fleet = createFleet();
    fleet.setServers(names.map((name) => server(name)));
    const book = createPeerRegistry();
    return { fleet, book, placer: createPlacer(fleet, book, asId(`host-${no}`), hash32) };
  });
  const queue: { readonly atMs: number; readonly run: () => void }[] = [];
  const waits: number[] = [];
  let nowMs = 0;
  let sequence = 0;

  const at = (atMs: number, run: () => void): void => {
    queue.push({ atMs, run });
  };

  function tellOthers(from: number): void {
    if (!load.sharesNews) return;
    const router = routers[from];
    if (router === undefined) return;
    sequence += 1;
    const news = {
      hostId: asId<never>(`host-${from}`),
      failureDomain: asId<never>('domain-a'),
      incarnationId: 'x',
      sequence,
      canReadStore: true,
      loads: router.fleet.ownLoads(nowMs, router.placer.prefillMsPerToken()),
      failures: [],
      moves: [],
      callCounts: [],
    };
    at(nowMs + UPDATE_DELAY_MS, () =>
      routers.forEach((other, no) => {
        if (no !== from) other.book.onUpdate(news, '', nowMs);
      }),
    );
  }

  function start(from: number, no: number, askedAtMs: number): void {
    const router = routers[from];
    if (router === undefined) return;
    const placed = router.placer.placeStream(
      { service: GUIDE, capacity: CAPACITY, promptTokens: PROMPT_TOKENS, excluded: new Set() },
      nowMs,
      random,
    );
    const engine = placed.kind === 'ok' ? engines.get(placed.engineId) : undefined;
    if (placed.kind !== 'ok' || engine === undefined) return;
    if (engine.deadUntilMs > nowMs) {
      router.fleet.onFailure(placed.engineId, 'refused', nowMs);
      at(nowMs + 3, () => start(from, no, askedAtMs));
      return;
    }
    const id = requestId(`s${no}`);
    router.fleet.onSent(placed.engineId, id, PROMPT_TOKENS, nowMs);
    tellOthers(from);
    engine.readAtMs = Math.max(engine.readAtMs, nowMs) + PROMPT_TOKENS / TOKENS_PER_MS;
    at(engine.readAtMs, () => {
      waits.push(nowMs - askedAtMs);
      router.fleet.onFirstEvent(placed.engineId, id, nowMs);
      router.fleet.onBytesReceived(placed.engineId, nowMs);
      tellOthers(from);
    });
    at(engine.readAtMs + DECODE_MS, () => {
      router.fleet.onEnd(placed.engineId, id, PROMPT_TOKENS);
      tellOthers(from);
    });
  }

  const endMs = load.seconds * 1_000;
  let arrivalMs = 0;
  for (let no = 0; arrivalMs < endMs; no += 1) {
    arrivalMs += (-Math.log(1 - random()) * 1_000) / load.streamsPerSec;
    const from = Math.floor(random() * load.routers);
    const askedAtMs = arrivalMs;
    at(askedAtMs, () => start(from, no, askedAtMs));
  }
  const { lossEveryMs } = load;
  for (let lossAtMs = lossEveryMs ?? endMs, no = 0; lossAtMs < endMs; no += 1) {
    const domain = DOMAINS[no % DOMAINS.length] ?? '';
    const untilMs = lossAtMs + LOSS_MS;
    at(lossAtMs, () =>
      engines.forEach((engine, id) => {
        if (id.startsWith(domain)) {
          Object.assign(engine, { deadUntilMs: untilMs, readAtMs: untilMs });
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

describe('placing streams on a heavy day', () => {
  const heavy = { routers: 7, streamsPerSec: 5, seconds: 60, lossEveryMs: undefined };

  it('makes callers wait much less when routers tell each other their load', () => {
    // Answers the load of prompts that meet at one engine because each router sees a seventh of them.
    [1, 2, 3].forEach((seed) => {
      const alone = playLoad({ ...heavy, sharesNews: false }, seed);
      const shared = playLoad({ ...heavy, sharesNews: true }, seed);
      expect(shared.length).toBe(alone.length);
      expect(quantile(shared, 0.95)).toBeLessThan(0.8 * quantile(alone, 0.95));
    });
  });

  it('serves all first events in time although a failure domain is lost every six seconds', () => {
    // Answers the load of a third of the engines lost for 1.2 s, and the herd at their return.
    [4, 5, 6].forEach((seed) => {
      const waits = playLoad({ ...heavy, sharesNews: true, lossEveryMs: 6_000 }, seed);
      expect(quantile(waits, 0.99)).toBeLessThan(4_500);
      expect(quantile(waits, 0.5)).toBeLessThan(1_500);
    });
  });
});
