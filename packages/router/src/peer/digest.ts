import {
  createDigestTable,
  DIGEST_DEFAULTS,
  findLoadReaders,
  findTreePosition,
  packLoadEntries,
  shuffle,
  toSection,
} from '@mimosamill/core';
import { pack, unpack } from 'msgpackr';
import * as z from 'zod';
import { parseBinaryInput } from './binary';
import { createPeerRouter, peerProcedure } from './trpc';
import type { Clock } from '@mimosamill/adapters';
import type {
  ReaderSection,
  EngineId,
  EngineReport,
  Hash32,
  Region,
  TreePosition,
} from '@mimosamill/core';
import type { Member, Membership } from './membership';
import type { PeerPool } from './pool';

/** An engine whose load is to be read. */
export interface DigestEngine {
  readonly engineId: EngineId;
  readonly region: Region;
}

export interface DigestDeps {
  readonly membership: Membership;
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly hash: Hash32;
  readonly random: () => number;
  /** Engines of all regions; those of other regions are left to their own routers. */
  readonly engines: () => readonly DigestEngine[];
  /** Reads one engine's load; undefined if it does not answer. */
  readonly readLoad: (engineId: EngineId) => Promise<EngineReport | undefined>;
}

/** Loads of the region's engines, of which this router reads only a few. */
export interface LoadDigests {
  /** To be mounted as 'digest'. */
  readonly router: DigestRouter;
  readonly start: () => void;
  readonly stop: () => void;
  readonly loads: () => ReadonlyMap<EngineId, EngineReport>;
  /** Calls back when loads have been read or received. */
  readonly onLoads: (fn: () => void) => void;
}

const DIGEST_PERIOD_MS = 1_000;
/** Each level of the tree sends this much later than the one below it. */
const LEVEL_DELAY_MS = 80;
const MAX_PENDING_SECTIONS = 1_024;
const CALL_TIMEOUT_MS = 1_000;
const REPAIR_DELAY_MS = 500;
/** Engines and members change rarely; this bounds the cost of assigning readers anew. */
const ASSIGN_INTERVAL_MS = 2_000;

const nonNegativeInteger = z.number().int().nonnegative();
const loadedTuple = z.tuple([z.string(), z.string(), z.array(z.string())]);
const slotTuple = z.tuple([nonNegativeInteger, z.string().max(256), z.array(loadedTuple)]);
const sectionTuple = z.tuple([
  nonNegativeInteger,
  nonNegativeInteger,
  z.instanceof(Uint8Array),
  z.array(slotTuple),
]);
const sectionsSchema = z.array(sectionTuple).max(MAX_PENDING_SECTIONS);

interface DigestHandlers {
  readonly onChildSections: (sections: readonly ReaderSection[]) => void;
  readonly onParentSections: (sections: readonly ReaderSection[]) => void;
  readonly fullDigest: (readerKeys: readonly number[]) => readonly ReaderSection[];
}

function createDigestRouter(handlers: DigestHandlers) {
  return createPeerRouter({
    up: peerProcedure.input(parseBinaryInput).mutation(({ input }): null => {
      handlers.onChildSections(unpackSections(input));
      return null;
    }),
    down: peerProcedure.input(parseBinaryInput).mutation(({ input }): null => {
      handlers.onParentSections(unpackSections(input));
      return null;
    }),
    full: peerProcedure
      .input(z.array(nonNegativeInteger).max(MAX_PENDING_SECTIONS))
      .query(({ input }) =>
        Buffer.from(packSections(handlers.fullDigest(input))).toString('base64'),
      ),
  });
}

export type DigestRouter = ReturnType<typeof createDigestRouter>;

/** Creates the digests; nothing is read or sent before start(). */
export function createLoadDigests(deps: DigestDeps): LoadDigests {
  const { membership, pool, clock, hash } = deps;
  const self = membership.self();
  const digests = createDigestTable({
    ...DIGEST_DEFAULTS,
    readerKey: hash(self.routerId),
    firstSeq: Math.floor(clock.nowMs() / 1_000),
    hash,
  });
  const hooks: (() => void)[] = [];
  const cancels = new Map<string, () => void>();
  let pending: ReaderSection[] = [];
  let peers: readonly Member[] = [];
  let place: TreePosition<Member> | undefined;
  let assigned: readonly EngineId[] = [];
  let peersKey = '';
  let assignedKey = '';

  function onMembers(members: readonly Member[]): void {
    peers = members.filter(
      ({ region, state }) => region === self.region && (state === 'alive' || state === 'suspect'),
    );
    const key = peers.map(({ peerAddress, routerId }) => `${routerId} ${peerAddress}`).join();
    if (key === peersKey) return;
    peersKey = key;
    place = undefined;
  }

  function findPlace(): TreePosition<Member> {
    place ??= findTreePosition(self.routerId, peers, hash);
    return place;
  }

  /** Ranking 113 routers for 200 engines takes 22,600 hashes, so it is done after changes only. */
  function assign(): void {
    const own = deps.engines().filter(({ region }) => region === self.region);
    const key = `${peersKey} ${own.map(({ engineId }) => engineId).join()}`;
    if (key === assignedKey) return;
    assignedKey = key;
    const engines = new Map<EngineId, { isFirst: boolean }>();
    own.forEach(({ engineId }) => {
      const rank = findLoadReaders(engineId, peers, hash).findIndex(
        ({ routerId }) => routerId === self.routerId,
      );
      if (rank >= 0) engines.set(engineId, { isFirst: rank === 0 });
    });
    assigned = [...engines.keys()];
    digests.assignEngines(engines);
  }

  async function readAll(): Promise<void> {
    await Promise.all(
      assigned.map(async (engineId) => {
        const report = await deps.readLoad(engineId);
        if (report !== undefined) digests.onReport(engineId, report, clock.monotonicMs());
      }),
    );
    notify();
  }

  function notify(): void {
    hooks.forEach((fn) => fn());
  }

  function client(peerAddress: string) {
    return pool.client<DigestRouter>('digest', peerAddress);
  }

  /** Sends what has come from below one level up, or down from the root. */
  function flush(): void {
    const own = digests.takeChanges(clock.monotonicMs());
    const sections = own === undefined ? pending : [...pending, own];
    pending = [];
    if (sections.length === 0) return;
    const { parent } = findPlace();
    if (parent === undefined) {
      onParentSections(sections);
      return;
    }
    const context = { timeoutMs: CALL_TIMEOUT_MS };
    client(parent.peerAddress)
      .up.mutate(packSections(sections) as never, { context })
      // The gap in the readers' sequence numbers makes other routers ask for a full digest.
      .catch(() => undefined);
  }

  function onParentSections(sections: readonly ReaderSection[]): void {
    const { newSections, incompleteReaders } = digests.onSections(sections, clock.monotonicMs());
    if (newSections.length > 0) {
      const bytes = packSections(newSections);
      const context = { timeoutMs: CALL_TIMEOUT_MS };
      findPlace().children.forEach(({ peerAddress }) => {
        client(peerAddress)
          .down.mutate(bytes as never, { context })
          .catch(() => undefined);
      });
      notify();
    }
    if (incompleteReaders.length > 0) repairSoon();
  }

  function repairSoon(): void {
    if (cancels.has('repair')) return;
    later('repair', REPAIR_DELAY_MS * (0.5 + deps.random()), () => {
      void repair();
    });
  }

  /** Asks the parent first, then any router, so that no reader is asked by a whole subtree. */
  async function repair(): Promise<void> {
    const missing = digests.incompleteReaders();
    if (missing.length === 0) return;
    const others = peers.filter(({ routerId }) => routerId !== self.routerId);
    const sources = [findPlace().parent, shuffle(others, deps.random)[0]];
    const readers = others.filter(({ routerId }) => missing.includes(hash(routerId)));
    const source = sources.find((candidate) => candidate !== undefined);
    if (source !== undefined) await askFull(source, missing);
    const still = readers.find(({ routerId }) =>
      digests.incompleteReaders().includes(hash(routerId)),
    );
    if (still !== undefined) await askFull(still, [hash(still.routerId)]);
    notify();
  }

  async function askFull(source: Member, readerKeys: readonly number[]): Promise<void> {
    const context = { timeoutMs: CALL_TIMEOUT_MS };
    try {
      const text = await client(source.peerAddress).full.query([...readerKeys], { context });
      digests.onFullDigest(unpackSections(Buffer.from(text, 'base64')), clock.monotonicMs());
    } catch {
      // The next section shows the gap again, and another router is asked.
    }
  }

  function later(name: string, delayMs: number, fn: () => void): void {
    const run = (): void => {
      cancels.delete(name);
      fn();
    };
    cancels.set(name, clock.runAfter(delayMs, run));
  }

  /** Lower levels send first within each second, so that one second's news rise in one wave. */
  function scheduleFlush(): void {
    const { depth, maxDepth } = findPlace();
    const phaseMs = (maxDepth - depth) * LEVEL_DELAY_MS;
    const intoPeriodMs = clock.nowMs() % DIGEST_PERIOD_MS;
    const waitMs = (phaseMs - intoPeriodMs + 2 * DIGEST_PERIOD_MS) % DIGEST_PERIOD_MS;
    later('flush', waitMs < LEVEL_DELAY_MS / 2 ? waitMs + DIGEST_PERIOD_MS : waitMs, () => {
      flush();
      scheduleFlush();
    });
  }

  function scheduleRead(): void {
    later('read', DIGEST_PERIOD_MS * (0.9 + 0.2 * deps.random()), () => {
      readAll()
        .catch(() => undefined)
        .finally(() => {
          if (cancels.size > 0) scheduleRead();
        });
    });
  }

  return {
    router: createDigestRouter({
      onChildSections: (sections) => {
        pending = [...pending, ...sections].slice(-MAX_PENDING_SECTIONS);
      },
      onParentSections,
      fullDigest: (readerKeys) => digests.fullDigest(readerKeys, clock.monotonicMs()),
    }),
    start: () => {
      onMembers(membership.members());
      membership.onChange(onMembers);
      assign();
      cancels.set('assign', clock.runEvery(ASSIGN_INTERVAL_MS, assign));
      scheduleFlush();
      scheduleRead();
    },
    stop: () => {
      cancels.forEach((cancel) => cancel());
      cancels.clear();
    },
    loads: () => digests.loads(clock.monotonicMs()),
    onLoads: (fn) => {
      hooks.push(fn);
    },
  };
}

function packSections(sections: readonly ReaderSection[]): Uint8Array {
  return pack(
    sections.map(({ readerKey, seq, entries, names }) => [
      readerKey,
      seq,
      packLoadEntries(entries),
      names.map(({ slot, engineId, loaded }) => [
        slot,
        engineId,
        loaded.map(({ model, version, adapters }) => [model, version, [...adapters]]),
      ]),
    ]),
  );
}

function unpackSections(bytes: Uint8Array): ReaderSection[] {
  return sectionsSchema.parse(unpack(bytes)).map(([readerKey, seq, packed, names]) =>
    toSection(
      readerKey,
      seq,
      packed,
      names.map(([slot, engineId, loaded]) => ({
        slot,
        engineId: engineId as EngineId,
        loaded: loaded.map(([model, version, adapters]) => ({ model, version, adapters })),
      })),
    ),
  );
}
