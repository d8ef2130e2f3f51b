/** Deletes the entries that were inserted first until the map has at most `maxSize` entries. */
export function evictOldest<K, V>(map: Map<K, V>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
