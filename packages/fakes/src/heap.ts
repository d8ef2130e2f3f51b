import { collectGarbage } from '@mimosamill/adapters';

/** Bytes of this process's heap that are in use after a garbage collection. */
export function measureHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
