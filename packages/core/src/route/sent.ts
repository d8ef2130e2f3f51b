import { createBlockSet } from './block-set';

/** Blocks of prompts that this router sent, assumed cached until the engines' cache events arrive. */
export interface SentBlocks {
  readonly has: (hashFactor: number, blockKey: number, nowMs: number) => boolean;
  readonly add: (hashFactor: number, blockKey: number, nowMs: number) => void;
}

const MAX_BLOCKS_PER_GENERATION = 2_048;
/** Entries live for one to two generations; the engines' cache events have arrived by then. */
const GENERATION_MS = 10_000;
export const SENT_BLOCK_MAX_AGE_MS = 2 * GENERATION_MS;

/** Keeps two generations of entries, so that old ones expire without a timestamp per entry. */
export function createSentBlocks(): SentBlocks {
  let current = createBlockSet(MAX_BLOCKS_PER_GENERATION);
  let previous = createBlockSet(MAX_BLOCKS_PER_GENERATION);
  let startedAtMs = 0;

  function rotate(nowMs: number): void {
    if (nowMs - startedAtMs < GENERATION_MS) return;
    const areBothExpired = nowMs - startedAtMs >= 2 * GENERATION_MS;
    [previous, current] = [current, previous];
    current.clear();
    if (areBothExpired) previous.clear();
    startedAtMs = nowMs;
  }

  return {
    has: (hashFactor, blockKey, nowMs) => {
      rotate(nowMs);
      if (current.size() + previous.size() === 0) return false;
      const key = hashKey(hashFactor, blockKey);
      return current.has(key) || previous.has(key);
    },
    add: (hashFactor, blockKey, nowMs) => {
      rotate(nowMs);
      current.add(hashKey(hashFactor, blockKey));
    },
  };
}

function hashKey(hashFactor: number, blockKey: number): number {
  return Math.max(1, Math.abs(Math.imul(blockKey, hashFactor)));
}
