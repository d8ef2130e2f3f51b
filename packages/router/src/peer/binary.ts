/** Bound on a binary message. */
const MAX_BINARY_BYTES = 262_144;

/**
 * Input of procedures that take bytes. The server hands over a body that it has read; the adapter
 * of the library hands over a stream.
 */
export function parseBinaryInput(input: unknown): Uint8Array | Promise<Uint8Array> {
  if (input instanceof Uint8Array) return input;
  if (input instanceof ReadableStream) return readBytes(input as ReadableStream<Uint8Array>);
  throw new Error('a binary body was expected');
}

async function readBytes(stream: ReadableStream<Uint8Array>): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let sizeBytes = 0;
  const reader = stream.getReader();
  for (;;) {
    const { done, value } = await reader.read();
    if (done) break;
    sizeBytes += value.byteLength;
    if (sizeBytes > MAX_BINARY_BYTES) {
      await reader.cancel();
      throw new Error(`a binary message exceeds ${MAX_BINARY_BYTES} bytes`);
    }
    chunks.push(value);
  }
  return Buffer.concat(chunks);
}
