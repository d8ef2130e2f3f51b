import { chainBlockHashes } from '@mimosamill/core';
import type { Hash32 } from '@mimosamill/core';

export const TOKENS_PER_BLOCK = 16;

export interface CacheChange {
  readonly kind: 'stored' | 'removed';
  readonly blockHash: string;
}

/** Least-recently-used cache of prompt blocks. The hash of a block also covers all blocks before it. */
export interface PrefixCache {
  /** Number of leading tokens whose blocks are all cached. */
  readonly matchPrefix: (tokens: readonly string[]) => number;
  readonly store: (tokens: readonly string[]) => CacheChange[];
  readonly blockHashes: () => readonly string[];
  readonly usedRatio: () => number;
}

export function createPrefixCache(capacityBlocks: number, hash: Hash32): PrefixCache {
  // A Map iterates in insertion order, so the least recently used block comes first.
  const blocks = new Map<string, true>();

  function markUsed(blockHash: string): void {
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
      const firstMissing = hashes.findIndex((blockHash) => !blocks.has(blockHash));
      const count = firstMissing === -1 ? hashes.length : firstMissing;
      hashes.slice(0, count).forEach(markUsed);
      return count * TOKENS_PER_BLOCK;
    },
    store: (tokens) => {
      const added = chainBlockHashes(tokens, TOKENS_PER_BLOCK, hash).filter((blockHash) => {
        const isNew = !blocks.has(blockHash);
        markUsed(blockHash);
        return isNew;
      });
      const changes: CacheChange[] = added.map((blockHash) => ({ kind: 'stored', blockHash }));
      return [...changes, ...evict()];
    },
    blockHashes: () => [...blocks.keys()],
    usedRatio: () => blocks.size / capacityBlocks,
  };
}
