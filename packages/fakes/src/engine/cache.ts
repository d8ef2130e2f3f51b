import { chainBlockHashes } from '@mimosamill/core';
import type { Hash32 } from '@mimosamill/core';

export const TOKENS_PER_BLOCK = 16;

export interface CacheChange {
  readonly kind: 'stored' | 'removed';
  readonly blockHash: string;
}

/** Least-recently-used cache of prompt blocks. A block's hash covers everything before it. */
export interface PrefixCache {
  /** Tokens at the start that are cached. */
  readonly matchPrefix: (tokens: readonly string[]) => number;
  readonly store: (tokens: readonly string[]) => CacheChange[];
  readonly blockHashes: () => readonly string[];
  readonly usedRatio: () => number;
}

export function createPrefixCache(capacityBlocks: number, hash: Hash32): PrefixCache {
  // A Map keeps insertion order; the oldest entry is first.
  const blocks = new Map<string, true>();

  function touch(blockHash: string): void {
    blocks.delete(blockHash);
    blocks.set(blockHash, true);
  }

  function evict(): CacheChange[] {
    const removed: CacheChange[] = [];
    while (blocks.size > capacityBlocks) {
      const [oldest] = blocks.keys();
      if (oldest === undefined) break;
      blocks.delete(oldest);
      removed.push({ kind: 'removed', blockHash: oldest });
    }
    return removed;
  }

  return {
    matchPrefix: (tokens) => {
      const hashes = chainBlockHashes(tokens, TOKENS_PER_BLOCK, hash);
      const missing = hashes.findIndex((blockHash) => !blocks.has(blockHash));
      const count = missing === -1 ? hashes.length : missing;
      hashes.slice(0, count).forEach(touch);
      return count * TOKENS_PER_BLOCK;
    },
    store: (tokens) => {
      const stored = chainBlockHashes(tokens, TOKENS_PER_BLOCK, hash).filter((blockHash) => {
        const isNew = !blocks.has(blockHash);
        touch(blockHash);
        return isNew;
      });
      const changes: CacheChange[] = stored.map((blockHash) => ({ kind: 'stored', blockHash }));
      return [...changes, ...evict()];
    },
    blockHashes: () => [...blocks.keys()],
    usedRatio: () => blocks.size / capacityBlocks,
  };
}
