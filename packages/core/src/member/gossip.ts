import { bucketOf, differingBuckets, SYNC_BUCKETS } from './member-entry';
import type { Hash32 } from '../hash/rendezvous';

/** One fact that every router has to learn, such as the withdrawal of a version. */
export interface GossipItem {
  /** For example 'withdrawal', 'culprit' or 'death'. */
  readonly kind: string;
  readonly key: string;
  readonly payload: string;
  /** Wall-clock time, so that passing an item on never prolongs it. */
  readonly expiresAtMs: number;
}

export interface GossipSettings {
  readonly maxItems: number;
  readonly maxItemBytes: number;
  /** Times each node sends an item on its messages. */
  readonly sendLimit: () => number;
  readonly hash: Hash32;
}

export const GOSSIP_DEFAULTS = { maxItems: 1_024, maxItemBytes: 256 } as const;

/** A set of items that only grows, apart from expiry; nodes that exchange messages converge. */
export interface Gossip {
  /** Returns the items that are new to this node. */
  readonly add: (items: readonly GossipItem[], nowMs: number) => GossipItem[];
  /** Least-sent items that fit on a message. */
  readonly take: (maxBytes: number, nowMs: number) => GossipItem[];
  readonly items: (nowMs: number) => GossipItem[];
  /** One number per bucket, for anti-entropy. */
  readonly buckets: (nowMs: number) => number[];
  /** Items of the buckets in which the other node differs, up to a bound. */
  readonly missing: (theirs: readonly number[], maxCount: number, nowMs: number) => GossipItem[];
}

interface StoredItem {
  readonly item: GossipItem;
  readonly hash: number;
  sends: number;
}

const ITEM_OVERHEAD_BYTES = 32;

export function createGossip(settings: GossipSettings): Gossip {
  const stored = new Map<string, StoredItem>();

  function expire(nowMs: number): void {
    stored.forEach(({ item }, id) => {
      if (item.expiresAtMs <= nowMs) stored.delete(id);
    });
  }

  function addOne(item: GossipItem, nowMs: number): boolean {
    if (item.expiresAtMs <= nowMs || itemSizeBytes(item) > settings.maxItemBytes) return false;
    const id = itemId(item);
    const known = stored.get(id);
    if (known !== undefined && !takesPrecedence(item, known.item)) return false;
    const hash = settings.hash(`${id} ${item.payload} ${item.expiresAtMs}`);
    stored.set(id, { item, hash, sends: 0 });
    if (stored.size > settings.maxItems) evict();
    return stored.has(id);
  }

  /** Every node drops the same item, the first to expire, so that full sets still converge. */
  function evict(): void {
    const all = [...stored.values()].map(({ item }) => item);
    const worst = all.reduce((a, b) => (takesPrecedence(a, b) ? b : a));
    stored.delete(itemId(worst));
  }

  function take(maxBytes: number, nowMs: number): GossipItem[] {
    const limit = settings.sendLimit();
    const waiting = [...stored.values()].filter(
      ({ item, sends }) => sends < limit && item.expiresAtMs > nowMs,
    );
    waiting.sort((a, b) => a.sends - b.sends);
    let bytes = 0;
    return waiting.flatMap((entry) => {
      const size = itemSizeBytes(entry.item);
      if (bytes + size > maxBytes) return [];
      bytes += size;
      entry.sends += 1;
      return [entry.item];
    });
  }

  function buckets(nowMs: number): number[] {
    expire(nowMs);
    const sums = new Array<number>(SYNC_BUCKETS).fill(0);
    stored.forEach(({ hash: line }, id) => {
      const bucket = bucketOf(id, settings.hash);
      sums[bucket] = ((sums[bucket] ?? 0) + line) % 2 ** 32;
    });
    return sums;
  }

  return {
    add: (items, nowMs) => {
      expire(nowMs);
      return items.filter((item) => addOne(item, nowMs));
    },
    take,
    items: (nowMs) => {
      expire(nowMs);
      return [...stored.values()].map(({ item }) => item);
    },
    buckets,
    missing: (theirs, maxCount, nowMs) => {
      const differing = differingBuckets(buckets(nowMs), theirs);
      return [...stored.entries()]
        .filter(([id]) => differing.has(bucketOf(id, settings.hash)))
        .slice(0, maxCount)
        .map(([, { item }]) => item);
    },
  };
}

/** Size of an item on the wire, slightly overestimated. */
export function itemSizeBytes(item: GossipItem): number {
  const texts = [item.kind, item.key, item.payload].reduce(
    (sum, text) => sum + jsonSizeBytes(text),
    0,
  );
  return texts + ITEM_OVERHEAD_BYTES;
}

/** JSON escapes and multi-byte characters take up to six bytes a character. */
function jsonSizeBytes(text: string): number {
  return JSON.stringify(text).replace(/[^\x20-\x7e]/gu, '....').length;
}

function itemId(item: GossipItem): string {
  return `${item.kind} ${item.key}`;
}

/** A total order, so that two nodes with different items of one key settle on the same one. */
function takesPrecedence(next: GossipItem, known: GossipItem): boolean {
  if (next.expiresAtMs !== known.expiresAtMs) return next.expiresAtMs > known.expiresAtMs;
  return `${itemId(next)} ${next.payload}` > `${itemId(known)} ${known.payload}`;
}
