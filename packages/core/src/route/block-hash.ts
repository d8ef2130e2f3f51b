import type { Hash32 } from '../hash/rendezvous';

/**
 * Hashes a prompt's full blocks, as the engines do. Each hash covers the block and all blocks before
 * it, so equal hashes mean equal prefixes. A last block that is not full has no hash.
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
 * Shortens block hashes to the 31 bits that a cache view stores. In a view of 512 blocks, one lookup of
 * an absent block in 4 million succeeds; it only makes the estimate of cached tokens too high.
 */
export function toBlockKeys(blockHashes: readonly string[], hash: Hash32): number[] {
  return blockHashes.map((blockHash) => Math.max(1, Math.floor(hash(blockHash) / 2)));
}
