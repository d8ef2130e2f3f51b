/**
 * Collects bytes that arrive in pieces of any size in one buffer. A buffer for each piece would take some hundred
 * bytes beside its content, so that one answer in pieces of three bytes fills the heap of a process.
 */
export interface ByteBuffer {
  readonly add: (piece: Uint8Array) => void;
  readonly sizeBytes: () => number;
  /** Size in memory after another piece of this size. */
  readonly capacityWith: (pieceBytes: number) => number;
  /** What was added, without a copy; it must not be changed. */
  readonly bytes: () => Uint8Array;
}

export interface ByteBufferOptions {
  /** Known length of the whole. */
  readonly totalBytes?: number | undefined;
  /** The caller adds no more than this. */
  readonly maxBytes?: number;
  /** Called when the content has been copied to a larger buffer, with the bytes of the one that is given up. */
  readonly onReplaced?: (sizeBytes: number) => void;
}

const FIRST_CAPACITY_BYTES = 256;
const NO_BYTES = new Uint8Array(0);

/** Creates a buffer that doubles when it is full, so that each byte is copied about once. */
export function createByteBuffer({
  totalBytes,
  maxBytes = Infinity,
  onReplaced = () => undefined,
}: ByteBufferOptions = {}): ByteBuffer {
  let buffer: Uint8Array | undefined;
  let sizeBytes = 0;

  function capacityWith(pieceBytes: number): number {
    const neededBytes = sizeBytes + pieceBytes;
    if (totalBytes !== undefined) return totalBytes;
    if (buffer === undefined || neededBytes <= buffer.length) {
      return Math.max(neededBytes, buffer?.length ?? 0);
    }
    return Math.min(maxBytes, Math.max(neededBytes, 2 * buffer.length, FIRST_CAPACITY_BYTES));
  }

  function replace(capacityBytes: number): Uint8Array {
    const larger = new Uint8Array(capacityBytes);
    if (buffer !== undefined) larger.set(buffer.subarray(0, sizeBytes));
    if (sizeBytes > 0) onReplaced(sizeBytes);
    return larger;
  }

  return {
    add: (piece) => {
      const capacityBytes = capacityWith(piece.length);
      if (buffer === undefined && piece.length === capacityBytes) buffer = piece;
      else {
        if (buffer === undefined || buffer.length < capacityBytes) buffer = replace(capacityBytes);
        buffer.set(piece, sizeBytes);
      }
      sizeBytes += piece.length;
    },
    sizeBytes: () => sizeBytes,
    capacityWith,
    bytes: () => buffer?.subarray(0, sizeBytes) ?? NO_BYTES,
  };
}
