const MAX_BINARY_BYTES = 262_144;

/**
 * Input parser of procedures that take bytes. For a single call the peer server passes the body that
 * it has read; tRPC's HTTP adapter, which handles batches and other requests, passes a stream.
 */
export function parseBinaryInput(input: unknown): Uint8Array | Promise<Uint8Array> {
  if (input instanceof Uint8Array) return input;
  if (input instanceof ReadableStream) return readBytes(input as ReadableStream<Uint8Array>);
  throw new Error('expected a binary request body');
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
      throw new Error(`binary message exceeds the limit of ${MAX_BINARY_BYTES} bytes`);
    }
    chunks.push(value);
  }
  return Buffer.concat(chunks);
}
