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

/** An engine whose load the digests cover. */
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
  /** Engines of all regions; only those of this router's region are read and shared. */
  readonly engines: () => readonly DigestEngine[];
  /** Reads the load of one engine; undefined if the engine does not answer. */
  readonly readLoad: (engineId: EngineId) => Promise<EngineReport | undefined>;
}

/**
 * Loads of all engines of the region. Each router reads a few engines itself; a tree of routers
 * collects what they have read and distributes it.
 */
export interface LoadDigests {
  /** Sub-router for the name 'digest' on the peer server. */
  readonly router: DigestRouter;
  readonly start: () => void;
  readonly stop: () => void;
  readonly loads: () => ReadonlyMap<EngineId, EngineReport>;
  /** Calls `fn` whenever loads have been read or received. */
  readonly onLoads: (fn: () => void) => void;
}

const DIGEST_PERIOD_MS = 1_000;
/** A level of the tree sends this long after the level below it, whose sections it includes. */
const LEVEL_DELAY_MS = 80;
const MAX_PENDING_SECTIONS = 1_024;
const CALL_TIMEOUT_MS = 1_000;
/** Mean delay; a random one of 0.5 to 1.5 times this keeps routers from asking all at once. */
const REPAIR_DELAY_MS = 500;
/** Bounds the cost of assigning readers; engines and members change rarely. */
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

/** Nothing is read or sent before start(). */
export function createLoadDigests(deps: DigestDeps): LoadDigests {
  const { membership, pool, clock, hash } = deps;
  const self = membership.self();
  const table = createDigestTable({
    ...DIGEST_DEFAULTS,
    readerKey: hash(self.routerId),
    firstSeq: Math.floor(clock.nowMs() / 1_000),
    hash,
  });
  const listeners: (() => void)[] = [];
  const cancelTimers = new Map<string, () => void>();
  let pendingSections: ReaderSection[] = [];
  let regionPeers: readonly Member[] = [];
  let position: TreePosition<Member> | undefined;
  let assignedEngines: readonly EngineId[] = [];
  let regionPeersKey = '';
  let assignmentKey = '';

  function onMembersChanged(members: readonly Member[]): void {
    regionPeers = members.filter(
      ({ region, state }) => region === self.region && (state === 'alive' || state === 'suspect'),
    );
    const key = regionPeers.map(({ peerAddress, routerId }) => `${routerId} ${peerAddress}`).join();
    if (key === regionPeersKey) return;
    regionPeersKey = key;
    position = undefined;
  }

  function findPosition(): TreePosition<Member> {
    position ??= findTreePosition(self.routerId, regionPeers, hash);
    return position;
  }

  /**
   * Chooses the engines that this router reads. Ranking 113 routers for 200 engines takes 22,600
   * hashes, so nothing is computed unless members or engines have changed.
   */
  function assignReaders(): void {
    const own = deps.engines().filter(({ region }) => region === self.region);
    const key = `${regionPeersKey} ${own.map(({ engineId }) => engineId).join()}`;
    if (key === assignmentKey) return;
    assignmentKey = key;
    const engines = new Map<EngineId, { isFirst: boolean }>();
    own.forEach(({ engineId }) => {
      const rank = findLoadReaders(engineId, regionPeers, hash).findIndex(
        ({ routerId }) => routerId === self.routerId,
      );
      if (rank >= 0) engines.set(engineId, { isFirst: rank === 0 });
    });
    assignedEngines = [...engines.keys()];
    table.assignEngines(engines);
  }

  async function readAll(): Promise<void> {
    await Promise.all(
      assignedEngines.map(async (engineId) => {
        const report = await deps.readLoad(engineId);
        if (report !== undefined) table.onReport(engineId, report, clock.monotonicMs());
      }),
    );
    notifyListeners();
  }

  function notifyListeners(): void {
    listeners.forEach((fn) => fn());
  }

  function client(peerAddress: string) {
    return pool.client<DigestRouter>('digest', peerAddress);
  }

  /** Sends own changes and the children's sections to the parent; the root sends them down. */
  function sendSections(): void {
    const own = table.takeChanges(clock.monotonicMs());
    const sections = own === undefined ? pendingSections : [...pendingSections, own];
    pendingSections = [];
    if (sections.length === 0) return;
    const { parent } = findPosition();
    if (parent === undefined) {
      forwardDown(sections);
      return;
    }
    const context = { timeoutMs: CALL_TIMEOUT_MS };
    client(parent.peerAddress)
      .up.mutate(packSections(sections) as never, { context })
      // Lost sections leave a gap in the sequence numbers, at which routers request a full digest.
      .catch(() => undefined);
  }

  function forwardDown(sections: readonly ReaderSection[]): void {
    const { newSections, incompleteReaders } = table.onSections(sections, clock.monotonicMs());
    if (newSections.length > 0) {
      const bytes = packSections(newSections);
      const context = { timeoutMs: CALL_TIMEOUT_MS };
      findPosition().children.forEach(({ peerAddress }) => {
        client(peerAddress)
          .down.mutate(bytes as never, { context })
          .catch(() => undefined);
      });
      notifyListeners();
    }
    if (incompleteReaders.length > 0) scheduleRepair();
  }

  function scheduleRepair(): void {
    if (cancelTimers.has('repair')) return;
    schedule('repair', REPAIR_DELAY_MS * (0.5 + deps.random()), () => {
      void repair();
    });
  }

  /**
   * Requests full digests for readers with missing sections, first from the parent, or at the root
   * from any router, and only then from such a reader, which would otherwise be asked by a whole
   * subtree at once.
   */
  async function repair(): Promise<void> {
    const incomplete = table.incompleteReaders();
    if (incomplete.length === 0) return;
    const others = regionPeers.filter(({ routerId }) => routerId !== self.routerId);
    const sources = [findPosition().parent, shuffle(others, deps.random)[0]];
    const readers = others.filter(({ routerId }) => incomplete.includes(hash(routerId)));
    const source = sources.find((candidate) => candidate !== undefined);
    if (source !== undefined) await requestFullDigest(source, incomplete);
    const reader = readers.find(({ routerId }) =>
      table.incompleteReaders().includes(hash(routerId)),
    );
    if (reader !== undefined) await requestFullDigest(reader, [hash(reader.routerId)]);
    notifyListeners();
  }

  async function requestFullDigest(source: Member, readerKeys: readonly number[]): Promise<void> {
    const context = { timeoutMs: CALL_TIMEOUT_MS };
    try {
      const text = await client(source.peerAddress).full.query([...readerKeys], { context });
      table.onFullDigest(unpackSections(Buffer.from(text, 'base64')), clock.monotonicMs());
    } catch {
      // The reader's next section reveals the same gap, and another router may be asked.
    }
  }

  function schedule(name: string, delayMs: number, fn: () => void): void {
    const run = (): void => {
      cancelTimers.delete(name);
      fn();
    };
    cancelTimers.set(name, clock.runAfter(delayMs, run));
  }

  /** Within each second lower levels send first, so that changes reach the root in that second. */
  function scheduleSend(): void {
    const { depth, maxDepth } = findPosition();
    const sendOffsetMs = (maxDepth - depth) * LEVEL_DELAY_MS;
    const elapsedInPeriodMs = clock.nowMs() % DIGEST_PERIOD_MS;
    const waitMs = (sendOffsetMs - elapsedInPeriodMs + 2 * DIGEST_PERIOD_MS) % DIGEST_PERIOD_MS;
    schedule('send', waitMs < LEVEL_DELAY_MS / 2 ? waitMs + DIGEST_PERIOD_MS : waitMs, () => {
      sendSections();
      scheduleSend();
    });
  }

  function scheduleRead(): void {
    schedule('read', DIGEST_PERIOD_MS * (0.9 + 0.2 * deps.random()), () => {
      readAll()
        .catch(() => undefined)
        .finally(() => {
          if (cancelTimers.size > 0) scheduleRead();
        });
    });
  }

  return {
    router: createDigestRouter({
      onChildSections: (sections) => {
        pendingSections = [...pendingSections, ...sections].slice(-MAX_PENDING_SECTIONS);
      },
      onParentSections: forwardDown,
      fullDigest: (readerKeys) => table.fullDigest(readerKeys, clock.monotonicMs()),
    }),
    start: () => {
      onMembersChanged(membership.members());
      membership.onChange(onMembersChanged);
      assignReaders();
      cancelTimers.set('assign', clock.runEvery(ASSIGN_INTERVAL_MS, assignReaders));
      scheduleSend();
      scheduleRead();
    },
    stop: () => {
      cancelTimers.forEach((cancel) => cancel());
      cancelTimers.clear();
    },
    loads: () => table.loads(clock.monotonicMs()),
    onLoads: (fn) => {
      listeners.push(fn);
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
