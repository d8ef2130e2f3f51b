import { placementKey, rankReplicaHolders } from './replica-placement';
import type { Hash32 } from '../hash/rendezvous';
import type { AttemptNo, EngineId, RequestId, RouterId, VersionName } from '../ids';
import type { ReplicaPeer } from './replica-placement';
import type { FinishReason } from './session';

/** What another router needs to resume a stream, apart from the tokens. */
export interface ReplicaMetadata {
  readonly requestId: RequestId;
  /** Hash of the request body; the body is not replicated, a reconnecting caller sends it again. */
  readonly bodyHash: string;
  readonly engineId: EngineId;
  readonly engineAddress: string;
  readonly version: VersionName;
  readonly attemptNo: AttemptNo;
  /** Number of times that a router has taken over the stream from another one. */
  readonly takeoverCount: number;
}

/** The tokens of one stream from `fromIndex` on. */
export interface ReplicaTail {
  readonly slot: number;
  readonly fromIndex: number;
  readonly texts: readonly string[];
}

export interface ReplicaEnd {
  readonly slot: number;
  /** Undefined if the stream ended without a complete answer; its replica is dropped at once. */
  readonly reason: FinishReason | undefined;
}

/**
 * One message from a router to a replica holder. Slots are small numbers that stand for request
 * ids: with about three tokens of each stream in a message, the ids would outweigh the tokens.
 */
export interface ReplicaBatch {
  readonly origin: RouterId;
  /** Start time of the origin's process: after a restart its slots stand for other streams. */
  readonly incarnation: number;
  readonly metadata: readonly (ReplicaMetadata & { readonly slot: number })[];
  readonly tails: readonly ReplicaTail[];
  readonly ends: readonly ReplicaEnd[];
}

/** The holder's answer to a batch. */
export interface ReplicaAnswer {
  /** Slots of unknown streams or with a gap: the holder needs the whole journal. */
  readonly missing: readonly number[];
  /** Slots of streams for which the holder has no memory left. */
  readonly refused: readonly number[];
  /** Slots of streams that another router has taken over. */
  readonly superseded: readonly number[];
}

export interface ReplicaSenderSettings {
  readonly self: ReplicaPeer;
  readonly incarnation: number;
  readonly hash: Hash32;
  readonly maxBatchBytes: number;
  /** Batches per flush; the remaining holders get theirs at later flushes. */
  readonly maxBatchesPerFlush: number;
  /** A holder that did not answer is not chosen for this long. */
  readonly holderBackoffMs: number;
  /** A stream without unsent data is sent again this often, so that its replica doesn't expire. */
  readonly keepaliveIntervalMs: number;
}

export const REPLICA_SENDER_DEFAULTS = {
  maxBatchBytes: 16_384,
  maxBatchesPerFlush: 4,
  holderBackoffMs: 2_000,
  keepaliveIntervalMs: 5_000,
} as const;

export interface OutgoingReplicaBatch {
  readonly holder: ReplicaPeer;
  readonly batch: ReplicaBatch;
}

/** A stream of this router, as it is offered to a router that asks for it. */
export interface LocalStream {
  readonly metadata: ReplicaMetadata;
  readonly texts: readonly string[];
  readonly reason: FinishReason | undefined;
}

/** Replicates the journals of this router's streams to other routers, the holders. */
export interface ReplicaSender {
  readonly onStart: (metadata: ReplicaMetadata, texts: readonly string[]) => void;
  /** A new attempt was sent, possibly to another engine. */
  readonly onAttempt: (metadata: Omit<ReplicaMetadata, 'takeoverCount'>) => void;
  readonly onToken: (requestId: RequestId, index: number, text: string) => void;
  readonly onEnd: (requestId: RequestId, reason: FinishReason | undefined) => void;
  readonly onPeers: (peers: readonly ReplicaPeer[]) => void;
  /** Batches to send now, at most one under way to each holder. */
  readonly flush: (nowMs: number) => OutgoingReplicaBatch[];
  /** Returns the requests that, by the answer, another router has taken over. */
  readonly onAnswer: (to: RouterId, answer: ReplicaAnswer, nowMs: number) => RequestId[];
  readonly onFailure: (to: RouterId, nowMs: number) => void;
  readonly find: (requestId: RequestId) => LocalStream | undefined;
  /** Stops replicating a stream that another router has taken over. */
  readonly release: (requestId: RequestId) => void;
  readonly size: () => number;
}

interface ReplicatedStream {
  metadata: ReplicaMetadata;
  readonly slot: number;
  readonly texts: string[];
  holder: ReplicaPeer | undefined;
  /** Tokens sent to the current holder. */
  sentCount: number;
  isMetadataSent: boolean;
  lastSentAtMs: number;
  /** Not sent before then, because the holder had no room for it. */
  retryAtMs: number;
  end: ReplicaEnd | undefined;
}

interface HolderState {
  isAwaitingAnswer: boolean;
  backoffUntilMs: number;
  /** Streams whose end is in the batch that awaits an answer. */
  ending: ReplicatedStream[];
}

const METADATA_OVERHEAD_BYTES = 64;
const TAIL_OVERHEAD_BYTES = 8;
const REFUSED_RETRY_DELAY_MS = 5_000;

export function createReplicaSender(settings: ReplicaSenderSettings): ReplicaSender {
  const streams = new Map<RequestId, ReplicatedStream>();
  const bySlot = new Map<number, ReplicatedStream>();
  const holders = new Map<RouterId, HolderState>();
  const ranks = new Map<string, readonly ReplicaPeer[]>();
  let peers: readonly ReplicaPeer[] = [];
  let lastSlot = 0;
  let rotation = 0;

  function holderState(routerId: RouterId): HolderState {
    const known = holders.get(routerId);
    if (known !== undefined) return known;
    const created: HolderState = { isAwaitingAnswer: false, backoffUntilMs: 0, ending: [] };
    holders.set(routerId, created);
    return created;
  }

  function ranked(requestId: RequestId): readonly ReplicaPeer[] {
    const key = placementKey(requestId);
    const known = ranks.get(key);
    if (known !== undefined) return known;
    const found = rankReplicaHolders(key, settings.self, peers, settings.hash);
    ranks.set(key, found);
    return found;
  }

  function chooseHolder(stream: ReplicatedStream, nowMs: number): ReplicaPeer | undefined {
    const backoffUntilMs = (peer: ReplicaPeer): number =>
      holders.get(peer.routerId)?.backoffUntilMs ?? 0;
    const candidates = ranked(stream.metadata.requestId);
    const usable = candidates.find((peer) => backoffUntilMs(peer) <= nowMs);
    if (usable !== undefined) return usable;
    // All have failed recently: the one that failed first is better than no replica at all.
    return [...candidates].sort((a, b) => backoffUntilMs(a) - backoffUntilMs(b))[0];
  }

  /** Chooses the stream's holder; true if that holder is due a message about the stream. */
  function assignHolder(stream: ReplicatedStream, nowMs: number): boolean {
    if (stream.retryAtMs > nowMs) return false;
    const holder = chooseHolder(stream, nowMs);
    if (holder?.routerId !== stream.holder?.routerId) {
      stream.holder = holder;
      markUnsent(stream);
    }
    if (holder === undefined) {
      if (stream.end !== undefined) remove(stream);
      return false;
    }
    const isIdle = nowMs - stream.lastSentAtMs >= settings.keepaliveIntervalMs;
    const hasUnsentData = !stream.isMetadataSent || stream.sentCount < stream.texts.length;
    return hasUnsentData || isIdle || stream.end !== undefined;
  }

  function markUnsent(stream: ReplicatedStream): void {
    stream.sentCount = 0;
    stream.isMetadataSent = false;
  }

  function flush(nowMs: number): OutgoingReplicaBatch[] {
    const groups = new Map<RouterId, ReplicatedStream[]>();
    streams.forEach((stream) => {
      if (!assignHolder(stream, nowMs) || stream.holder === undefined) return;
      const { routerId } = stream.holder;
      if (holderState(routerId).isAwaitingAnswer) return;
      const group = groups.get(routerId) ?? [];
      group.push(stream);
      groups.set(routerId, group);
    });
    const ids = [...groups.keys()];
    rotation += 1;
    const offset =
      ids.length > settings.maxBatchesPerFlush ? rotation * settings.maxBatchesPerFlush : 0;
    return ids.slice(0, settings.maxBatchesPerFlush).flatMap((_, step) => {
      const routerId = ids[(offset + step) % ids.length];
      const group = routerId === undefined ? undefined : groups.get(routerId);
      return group === undefined ? [] : (createBatch(group, nowMs) ?? []);
    });
  }

  function createBatch(
    group: readonly ReplicatedStream[],
    nowMs: number,
  ): OutgoingReplicaBatch | undefined {
    const holder = group[0]?.holder;
    if (holder === undefined) return undefined;
    const metadata: (ReplicaMetadata & { slot: number })[] = [];
    const tails: ReplicaTail[] = [];
    const ends: ReplicaEnd[] = [];
    const ending: ReplicatedStream[] = [];
    let roomBytes = settings.maxBatchBytes;
    // Streams that have waited longest come first, so that a long journal cannot starve the others.
    [...group]
      .sort((a, b) => a.lastSentAtMs - b.lastSentAtMs)
      .forEach((stream) => {
        if (roomBytes <= 0) return;
        if (!stream.isMetadataSent) {
          metadata.push({ ...stream.metadata, slot: stream.slot });
          roomBytes -= metadataSizeBytes(stream.metadata);
          stream.isMetadataSent = true;
        }
        const tail = takeTail(stream, roomBytes);
        roomBytes -= tailSizeBytes(tail);
        tails.push(tail);
        stream.lastSentAtMs = nowMs;
        if (stream.end !== undefined && stream.sentCount === stream.texts.length) {
          ends.push(stream.end);
          ending.push(stream);
        }
      });
    Object.assign(holderState(holder.routerId), { isAwaitingAnswer: true, ending });
    const { incarnation } = settings;
    const batch = { origin: settings.self.routerId, incarnation, metadata, tails, ends };
    return { holder, batch };
  }

  function takeTail(stream: ReplicatedStream, roomBytes: number): ReplicaTail {
    const texts: string[] = [];
    let bytes = TAIL_OVERHEAD_BYTES;
    const fromIndex = stream.sentCount;
    for (let index = fromIndex; index < stream.texts.length && bytes < roomBytes; index += 1) {
      const text = stream.texts[index] ?? '';
      texts.push(text);
      bytes += textSizeBytes(text);
    }
    stream.sentCount += texts.length;
    return { slot: stream.slot, fromIndex, texts };
  }

  function onAnswer(to: RouterId, answer: ReplicaAnswer, nowMs: number): RequestId[] {
    const state = holderState(to);
    const { ending } = state;
    Object.assign(state, { isAwaitingAnswer: false, ending: [] });
    answer.missing.forEach((slot) => {
      const stream = bySlot.get(slot);
      if (stream?.holder?.routerId === to) markUnsent(stream);
    });
    answer.refused.forEach((slot) => {
      const stream = bySlot.get(slot);
      if (stream === undefined) return;
      markUnsent(stream);
      stream.retryAtMs = nowMs + REFUSED_RETRY_DELAY_MS;
    });
    // An ended stream that the holder refused is dropped too: it won't be offered again.
    ending
      .filter((stream) => !answer.missing.includes(stream.slot))
      .forEach((stream) => remove(stream));
    return answer.superseded.flatMap((slot) => {
      const stream = bySlot.get(slot);
      if (stream === undefined) return [];
      remove(stream);
      return [stream.metadata.requestId];
    });
  }

  function onFailure(to: RouterId, nowMs: number): void {
    Object.assign(holderState(to), {
      isAwaitingAnswer: false,
      ending: [],
      backoffUntilMs: nowMs + settings.holderBackoffMs,
    });
    // The batch may or may not have been applied, so the next holder gets the whole journal.
    streams.forEach((stream) => {
      if (stream.holder?.routerId !== to) return;
      stream.holder = undefined;
      markUnsent(stream);
    });
  }

  function remove(entry: ReplicatedStream): void {
    bySlot.delete(entry.slot);
    if (streams.get(entry.metadata.requestId) === entry) streams.delete(entry.metadata.requestId);
  }

  return {
    onStart: (metadata, texts) => {
      const earlier = streams.get(metadata.requestId);
      if (earlier !== undefined) remove(earlier);
      lastSlot += 1;
      const stream: ReplicatedStream = {
        metadata,
        slot: lastSlot,
        texts: [...texts],
        holder: undefined,
        sentCount: 0,
        isMetadataSent: false,
        lastSentAtMs: 0,
        retryAtMs: 0,
        end: undefined,
      };
      streams.set(metadata.requestId, stream);
      bySlot.set(stream.slot, stream);
    },
    onAttempt: (metadata) => {
      const stream = streams.get(metadata.requestId);
      if (stream === undefined) return;
      stream.metadata = { ...metadata, takeoverCount: stream.metadata.takeoverCount };
      stream.isMetadataSent = false;
    },
    onToken: (requestId, index, text) => {
      const stream = streams.get(requestId);
      if (stream?.texts.length === index) stream.texts.push(text);
    },
    onEnd: (requestId, reason) => {
      const stream = streams.get(requestId);
      if (stream === undefined) return;
      stream.end = { slot: stream.slot, reason };
    },
    onPeers: (next) => {
      peers = next;
      ranks.clear();
      const ids = new Set(next.map(({ routerId }) => routerId));
      holders.forEach((state, routerId) => {
        if (!ids.has(routerId) && !state.isAwaitingAnswer) holders.delete(routerId);
      });
    },
    flush,
    onAnswer,
    onFailure,
    find: (requestId) => {
      const stream = streams.get(requestId);
      if (stream === undefined) return undefined;
      return { metadata: stream.metadata, texts: stream.texts, reason: stream.end?.reason };
    },
    release: (requestId) => {
      const stream = streams.get(requestId);
      if (stream !== undefined) remove(stream);
    },
    size: () => streams.size,
  };
}

export interface ReplicaHolderSettings {
  readonly maxBytes: number;
  /** Time for which a finished stream is kept for callers that reconnect. */
  readonly reconnectWindowMs: number;
  /** A replica without messages for this long is dropped: its router and its caller are gone. */
  readonly idleTimeoutMs: number;
}

export const REPLICA_HOLDER_DEFAULTS: ReplicaHolderSettings = {
  maxBytes: 16_777_216,
  reconnectWindowMs: 30_000,
  idleTimeoutMs: 90_000,
};

export interface HeldReplica {
  readonly origin: RouterId;
  readonly metadata: ReplicaMetadata;
  readonly texts: readonly string[];
  /** Set once the answer is complete. */
  readonly reason: FinishReason | undefined;
}

/** Keeps replicas of other routers' journals. */
export interface ReplicaHolder {
  readonly onBatch: (batch: ReplicaBatch, nowMs: number) => ReplicaAnswer;
  readonly find: (requestId: RequestId) => HeldReplica | undefined;
  /** Removes replicas that have expired. */
  readonly expire: (nowMs: number) => void;
  readonly sizeBytes: () => number;
  /** Number of requests with a replica. */
  readonly size: () => number;
}

interface StoredReplica {
  readonly origin: RouterId;
  metadata: ReplicaMetadata;
  readonly texts: string[];
  sizeBytes: number;
  reason: FinishReason | undefined;
  expiresAtMs: number;
}

/** Memory of a replica without its tokens. */
const REPLICA_OVERHEAD_BYTES = 512;
/** Memory of a token without its text: a pointer and a string header. */
const TOKEN_OVERHEAD_BYTES = 24;

export function createReplicaHolder(settings: ReplicaHolderSettings): ReplicaHolder {
  const origins = new Map<RouterId, { incarnation: number; slots: Map<number, StoredReplica> }>();
  const byRequest = new Map<RequestId, Set<StoredReplica>>();
  let totalBytes = 0;

  function slotsOfOrigin(batch: ReplicaBatch): Map<number, StoredReplica> | undefined {
    const known = origins.get(batch.origin);
    if (known !== undefined && known.incarnation > batch.incarnation) return undefined;
    if (known !== undefined && known.incarnation === batch.incarnation) return known.slots;
    // Replicas of an earlier incarnation of the router can still be found until they expire.
    const slots = new Map<number, StoredReplica>();
    origins.set(batch.origin, { incarnation: batch.incarnation, slots });
    return slots;
  }

  function findOrCreate(
    slot: number,
    slots: Map<number, StoredReplica>,
    origin: RouterId,
    metadata: ReplicaMetadata,
  ) {
    const known = slots.get(slot);
    if (known !== undefined) {
      known.metadata = metadata;
      return known;
    }
    const held: StoredReplica = {
      origin,
      metadata,
      texts: [],
      sizeBytes: REPLICA_OVERHEAD_BYTES,
      reason: undefined,
      expiresAtMs: 0,
    };
    slots.set(slot, held);
    totalBytes += REPLICA_OVERHEAD_BYTES;
    const sameRequest = byRequest.get(metadata.requestId) ?? new Set();
    byRequest.set(metadata.requestId, sameRequest.add(held));
    return held;
  }

  function append(held: StoredReplica, tail: ReplicaTail): boolean {
    if (tail.fromIndex > held.texts.length) return false;
    const known = held.texts.length - tail.fromIndex;
    tail.texts.slice(known).forEach((text) => {
      const bytes = TOKEN_OVERHEAD_BYTES + textSizeBytes(text);
      held.texts.push(text);
      held.sizeBytes += bytes;
      totalBytes += bytes;
    });
    return true;
  }

  function drop(held: StoredReplica): void {
    const sameRequest = byRequest.get(held.metadata.requestId);
    if (sameRequest?.delete(held) !== true) return;
    totalBytes -= held.sizeBytes;
    if (sameRequest.size === 0) byRequest.delete(held.metadata.requestId);
  }

  function onBatch(batch: ReplicaBatch, nowMs: number): ReplicaAnswer {
    const slots = slotsOfOrigin(batch);
    // A late batch of an earlier incarnation of the router changes nothing.
    if (slots === undefined) return { missing: [], refused: [], superseded: [] };
    const refused = new Set<number>();
    const missing = new Set<number>();
    batch.metadata.forEach((metadata) => {
      const hasRoom = slots.has(metadata.slot) || totalBytes < settings.maxBytes;
      if (hasRoom) findOrCreate(metadata.slot, slots, batch.origin, withoutSlot(metadata));
      else refused.add(metadata.slot);
    });
    batch.tails.forEach((tail) => {
      if (refused.has(tail.slot)) return;
      const held = slots.get(tail.slot);
      if (held === undefined || !append(held, tail)) missing.add(tail.slot);
      else held.expiresAtMs = nowMs + settings.idleTimeoutMs;
    });
    batch.ends.forEach(({ slot, reason }) => {
      const held = slots.get(slot);
      if (held === undefined || missing.has(slot)) return;
      held.reason = reason;
      held.expiresAtMs = nowMs + settings.reconnectWindowMs;
      slots.delete(slot);
      if (reason === undefined) drop(held);
    });
    // Ended replicas are evicted first, then the largest ones of the router that sent this batch.
    if (totalBytes > settings.maxBytes) evict(slots, refused);
    const superseded = batch.tails
      .map(({ slot }) => slot)
      .filter((slot) => isSuperseded(slots.get(slot)));
    return { missing: [...missing], refused: [...refused], superseded };
  }

  function isSuperseded(held: StoredReplica | undefined): boolean {
    if (held === undefined) return false;
    const sameRequest = [...(byRequest.get(held.metadata.requestId) ?? [])];
    return sameRequest.some((other) => other.metadata.takeoverCount > held.metadata.takeoverCount);
  }

  function evict(slots: Map<number, StoredReplica>, refused: Set<number>): void {
    byRequest.forEach((sameRequest) => {
      sameRequest.forEach((held) => {
        if (held.reason !== undefined && totalBytes > settings.maxBytes) drop(held);
      });
    });
    [...slots.entries()]
      .sort(([, a], [, b]) => b.sizeBytes - a.sizeBytes)
      .forEach(([slot, held]) => {
        if (totalBytes <= settings.maxBytes) return;
        slots.delete(slot);
        drop(held);
        refused.add(slot);
      });
  }

  function expire(nowMs: number): void {
    byRequest.forEach((sameRequest) => {
      sameRequest.forEach((held) => {
        if (held.expiresAtMs <= nowMs) drop(held);
      });
    });
    origins.forEach(({ slots }, origin) => {
      slots.forEach((held, slot) => {
        if (held.expiresAtMs <= nowMs) slots.delete(slot);
      });
      if (slots.size === 0 && !hasEntries(origin)) origins.delete(origin);
    });
  }

  function hasEntries(origin: RouterId): boolean {
    return [...byRequest.values()].some((held) => [...held].some((one) => one.origin === origin));
  }

  return {
    onBatch,
    find: (requestId) => {
      const found = [...(byRequest.get(requestId) ?? [])];
      return found.reduce<StoredReplica | undefined>(
        (best, held) => (best === undefined || isPreferredReplica(held, best) ? held : best),
        undefined,
      );
    },
    expire,
    sizeBytes: () => totalBytes,
    size: () => byRequest.size,
  };
}

/**
 * Whether to resume from `next` rather than from `known`. After a takeover the earlier router may
 * still append tokens that no caller receives, so the latest takeover counts before the length.
 */
export function isPreferredReplica(
  next: Pick<HeldReplica, 'metadata' | 'texts' | 'reason'>,
  known: Pick<HeldReplica, 'metadata' | 'texts' | 'reason'>,
): boolean {
  const [takenOver, before] = [next.metadata.takeoverCount, known.metadata.takeoverCount];
  if (takenOver !== before) return takenOver > before;
  if (next.texts.length !== known.texts.length) return next.texts.length > known.texts.length;
  return next.reason !== undefined && known.reason === undefined;
}

function withoutSlot(metadata: ReplicaMetadata & { readonly slot: number }): ReplicaMetadata {
  const { requestId, bodyHash, engineId, engineAddress, version, attemptNo, takeoverCount } =
    metadata;
  return { requestId, bodyHash, engineId, engineAddress, version, attemptNo, takeoverCount };
}

function metadataSizeBytes(metadata: ReplicaMetadata): number {
  const { requestId, bodyHash, engineId, engineAddress, version } = metadata;
  const texts = [requestId, bodyHash, engineId, engineAddress, version];
  return texts.reduce((sum, text) => sum + textSizeBytes(text), METADATA_OVERHEAD_BYTES);
}

function tailSizeBytes(tail: ReplicaTail): number {
  return tail.texts.reduce((sum, text) => sum + textSizeBytes(text), TAIL_OVERHEAD_BYTES);
}

/** Upper bound of the encoded size: one byte of header, three for each non-ASCII UTF-16 unit. */
function textSizeBytes(text: string): number {
  let bytes = 1;
  for (let index = 0; index < text.length; index += 1) {
    bytes += text.charCodeAt(index) < 128 ? 1 : 3;
  }
  return bytes;
}
