import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const TWO_POW_31 = 0x80000000;
const TWO_POW_32 = 0x100000000;

/** Returns a generator of pseudo-random numbers in [0, 1); the same seed gives the same sequence. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() + TWO_POW_31) / TWO_POW_32;
}
