/** One of the items; undefined if there are none. */
export function pickRandom<T>(items: readonly T[], random: () => number): T | undefined {
  return items[Math.floor(random() * items.length)];
}

/** The items in random order. */
export function shuffle<T>(items: readonly T[], random: () => number): T[] {
  const keyed = items.map((item) => ({ item, order: random() }));
  keyed.sort((a, b) => a.order - b.order);
  return keyed.map(({ item }) => item);
}
