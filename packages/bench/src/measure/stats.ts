import { median, quantile } from 'simple-statistics';

/** Rounds for printing, because further digits differ between runs. */
export function round(value: number, digits = 2): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}

/** Returns the quantile, or 0 without values. */
export function quantileOf(values: readonly number[], ratio: number): number {
  return values.length === 0 ? 0 : quantile([...values], ratio);
}

export function medianOf(values: readonly number[]): number {
  return values.length === 0 ? 0 : median([...values]);
}
