import { createByteBuffer, SMALL_CLAIM_BYTES } from '@mimosamill/core';
import { noteFreedBytes } from './buffer-collection';

/** Collects the body of a request or a response in one buffer, however small its chunks are. */
export interface BodyBuffer {
  /** Whether another chunk of this size is within the limit. */
  readonly fits: (chunkBytes: number) => boolean;
  /** Size of the buffer after another chunk of this size. */
  readonly capacityWith: (chunkBytes: number) => number;
  readonly add: (chunk: Uint8Array) => void;
  readonly bytes: () => Buffer;
}

/** `totalBytes` is the length as announced; the caller adds no more than `maxBytes`. */
export function createBodyBuffer(totalBytes: number | undefined, maxBytes: number): BodyBuffer {
  const buffer = createByteBuffer({
    totalBytes,
    maxBytes,
    onReplaced: (sizeBytes) => {
      if (sizeBytes > SMALL_CLAIM_BYTES) noteFreedBytes(sizeBytes);
    },
  });
  return {
    fits: (chunkBytes) => buffer.sizeBytes() + chunkBytes <= maxBytes,
    capacityWith: buffer.capacityWith,
    add: buffer.add,
    bytes: () => asBuffer(buffer.bytes()),
  };
}

/** The same memory as a buffer: a copy would not be counted as held. */
export function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
