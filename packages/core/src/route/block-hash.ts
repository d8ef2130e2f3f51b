import type { Hash32 } from '../hash/rendezvous';

/**
 * Hashes a prompt's full blocks, as the engines do. Each hash covers the block and everything before
 * it, so an equal hash means an equal prefix. A last block that is not full has no hash.
 */
export function chainBlockHashes(
  tokens: readonly string[],
  blockTokens: number,
  hash: Hash32,
): string[] {
  const hashes: string[] = [];
  let chained = '';
  for (let start = 0; start + blockTokens <= tokens.length; start += blockTokens) {
    const block = tokens.slice(start, start + blockTokens).join(' ');
    chained = hash(`${chained}/${block}`).toString(16);
    hashes.push(chained);
  }
  return hashes;
}

/**
 * Shortens block hashes to the 31 bits that the cache view stores. Among 512 blocks, a lookup of
 * an absent one succeeds once in 4 million; the result is a wrong estimate and nothing else.
 */
export function toBlockKeys(blockHashes: readonly string[], hash: Hash32): number[] {
  return blockHashes.map((blockHash) => Math.max(1, Math.floor(hash(blockHash) / 2)));
}
