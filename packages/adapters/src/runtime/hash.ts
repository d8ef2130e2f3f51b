import { createHash } from 'node:crypto';
import xxhash from 'xxhash-wasm';
import type { Hash32 } from '@mimosamill/core';

export interface HashFunctions {
  readonly hash32: Hash32;
  /** 64-bit hash as 16 hexadecimal digits. */
  readonly hash64: (text: string) => string;
}

/** Loads the hash functions. This is asynchronous because the library compiles WebAssembly. */
export async function loadHashFunctions(): Promise<HashFunctions> {
  const { h32, h64ToString } = await xxhash();
  return { hash32: (text, seed = 0) => h32(text, seed), hash64: (text) => h64ToString(text) };
}

/** SHA-256 in hexadecimal, the form in which API keys are stored. */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
