/** A 32-bit string hash; the adapters supply it from a library. */
export type Hash32 = (text: string, seed?: number) => number;

/**
 * Orders candidates by rendezvous hashing: every node computes the same order for a key, and removing a
 * candidate does not change the order of the others.
 */
export function rankByRendezvous<T>(
  key: string,
  candidates: readonly T[],
  idOf: (candidate: T) => string,
  hash: Hash32,
): T[] {
  const scored = candidates.map((candidate) => {
    const id = idOf(candidate);
    return { candidate, id, score: hash(`${id}\u0000${key}`) };
  });
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((entry) => entry.candidate);
}
