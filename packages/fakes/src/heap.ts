import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Bytes of this process's heap that are in use after a garbage collection. */
export function measureHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  // Only contexts that are created after the flag was set have the function.
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}
