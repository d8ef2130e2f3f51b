import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

type Collect = (options: { readonly type: 'minor' }) => void;

/**
 * Received bytes after which V8 is made to free the buffers in which they arrived. V8 goes by its own heap, in
 * which each such buffer of up to 64 KiB takes some hundred bytes, and otherwise lets 50 MB of them gather.
 */
const COLLECT_EACH_BYTES = 8_388_608;

/** One count for the process, since its heap is one. */
let uncollectedBytes = 0;
let collect: Collect | undefined;

/** Notes bytes that arrived from callers in buffers which are not used any more. */
export function noteReceivedBytes(bytes: number): void {
  uncollectedBytes += bytes;
  if (uncollectedBytes < COLLECT_EACH_BYTES) return;
  uncollectedBytes = 0;
  collect ??= loadCollect();
  collect({ type: 'minor' });
}

/** Only the contexts created after the flag was set have the function. */
function loadCollect(): Collect {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as Collect;
}
