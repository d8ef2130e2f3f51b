import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

type Collect = (options?: { readonly type: 'minor' }) => void;

// V8 decides by its own heap, in which a buffer of any size takes some hundred bytes, and lets 50 MB of
// buffers gather that nothing refers to. On a host of 210 MB that is a quarter of the memory.

/** Bytes that arrived in buffers of up to 64 KiB, after which the young ones among them are freed. */
const COLLECT_RECEIVED_BYTES = 2_097_152;
/** Bytes of large buffers that were given up, after which they are freed; they are old by then. */
const COLLECT_FREED_BYTES = 4_194_304;

/** One count for the process, since its heap is one. */
let receivedBytes = 0;
let freedBytes = 0;
let loaded: Collect | undefined;

/** Notes bytes that arrived from callers in buffers which are not used any more. */
export function noteReceivedBytes(bytes: number): void {
  receivedBytes += bytes;
  if (receivedBytes < COLLECT_RECEIVED_BYTES) return;
  receivedBytes = 0;
  collectGarbage({ type: 'minor' });
}

/** Notes the size of large buffers that their holder gives up now. */
export function noteFreedBytes(bytes: number): void {
  const wasDue = freedBytes >= COLLECT_FREED_BYTES;
  freedBytes += bytes;
  if (wasDue || freedBytes < COLLECT_FREED_BYTES) return;
  // The holder still refers to them.
  setImmediate(() => {
    freedBytes = 0;
    collectGarbage();
  });
}

/** Collects garbage. Loaded at the first use: only contexts created after the flag was set have the function. */
export function collectGarbage(options?: { readonly type: 'minor' }): void {
  if (loaded === undefined) {
    setFlagsFromString('--expose-gc');
    loaded = runInNewContext('gc') as Collect;
  }
  loaded(options);
}
