import { createBlockSet } from './block-set';

/** Blocks of prompts that this router itself sent, before the engines' events confirm them. */
export interface SentBlocks {
  readonly has: (salt: number, blockKey: number, nowMs: number) => boolean;
  readonly add: (salt: number, blockKey: number, nowMs: number) => void;
}

const MAX_BLOCKS_PER_GENERATION = 2_048;
/** An entry lives for one to two of these; the engines' events are known by then. */
const GENERATION_MS = 10_000;
/** Longest life of an entry. */
export const SENT_BLOCK_MAX_AGE_MS = 2 * GENERATION_MS;

/** Keeps two generations of entries, so that old ones are dropped without a timestamp each. */
export function createSentBlocks(): SentBlocks {
  let current = createBlockSet(MAX_BLOCKS_PER_GENERATION);
  let previous = createBlockSet(MAX_BLOCKS_PER_GENERATION);
  let startedAtMs = 0;

  function age(nowMs: number): void {
    if (nowMs - startedAtMs < GENERATION_MS) return;
    const isAllOld = nowMs - startedAtMs >= 2 * GENERATION_MS;
    [previous, current] = [current, previous];
    current.clear();
    if (isAllOld) previous.clear();
    startedAtMs = nowMs;
  }

  return {
    has: (salt, blockKey, nowMs) => {
      age(nowMs);
      if (current.size() + previous.size() === 0) return false;
      const key = hashKey(salt, blockKey);
      return current.has(key) || previous.has(key);
    },
    add: (salt, blockKey, nowMs) => {
      age(nowMs);
      current.add(hashKey(salt, blockKey));
    },
  };
}

function hashKey(salt: number, blockKey: number): number {
  return Math.max(1, Math.abs(Math.imul(blockKey, salt)));
}
