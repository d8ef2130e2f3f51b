import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Uniform numbers in [0, 1) from a seed. */
export type Random = () => number;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() + 2 ** 31) / 2 ** 32;
}

export function exponential(mean: number, random: Random): number {
  return -mean * Math.log(1 - random());
}

export function intBelow(bound: number, random: Random): number {
  return Math.floor(random() * bound);
}

/** Draws ranks 0 to count-1 with probability proportional to 1 / (rank + 1) ** exponent. */
export function createZipfSampler(count: number, exponent: number): (random: Random) => number {
  const sums: number[] = [];
  let sum = 0;
  for (let rank = 0; rank < count; rank += 1) {
    sum += (rank + 1) ** -exponent;
    sums.push(sum);
  }
  return (random) => {
    const target = random() * sum;
    let low = 0;
    let high = count - 1;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((sums[middle] ?? 0) < target) low = middle + 1;
      else high = middle;
    }
    return low;
  };
}

/** The value below which the given part of the sorted values lies. */
export function percentile(values: readonly number[], ratio: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(ratio * sorted.length))] ?? 0;
}

export function round(value: number, digits = 1): number {
  return Number(value.toFixed(digits));
}
