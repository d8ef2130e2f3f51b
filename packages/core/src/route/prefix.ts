import type { Hash32 } from '../hash/rendezvous';

/** A 64-bit string hash as hexadecimal text; supplied by a library outside the core. */
export type Hash64Text = (text: string) => string;

/** What makes two equal prompts share cache blocks. */
export interface PrefixScope {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
}

/**
 * Hashes a prompt's full blocks. Each hash covers the block and everything before it, so an equal
 * hash means an equal prefix. A last block that is not full has no hash.
 */
export function chainBlockHashes(
  scope: PrefixScope,
  prompt: string,
  blockChars: number,
  hash: Hash64Text,
): string[] {
  const hashes: string[] = [];
  let previous = `${scope.model}\u0000${scope.version}\u0000${scope.adapter}`;
  for (let end = blockChars; end <= prompt.length; end += blockChars) {
    previous = hash(`${previous}\u0000${prompt.slice(end - blockChars, end)}`);
    hashes.push(previous);
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
