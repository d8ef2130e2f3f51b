import { describe, expect, it } from 'vitest';
import { createByteBuffer } from '../src/index';

const PIECES = 100_000;

describe('a byte buffer', () => {
  // Guards against memory and time that grow with the number of pieces, or with its square.
  it.each([1, 3, 7])(
    'needs memory and copies in proportion to pieces of %i bytes',
    (pieceBytes) => {
      const sizeBytes = PIECES * pieceBytes;
      let copiedBytes = 0;
      const buffer = createByteBuffer({
        onReplaced: (bytes) => {
          copiedBytes += bytes;
        },
      });
      for (let no = 0; no < PIECES; no += 1) {
        buffer.add(new Uint8Array(pieceBytes).fill(no % 251));
      }
      expect(buffer.capacityWith(0)).toBeLessThanOrEqual(2 * sizeBytes);
      expect(copiedBytes).toBeLessThanOrEqual(2 * sizeBytes);
      const bytes = buffer.bytes();
      expect(bytes).toHaveLength(sizeBytes);
      expect(bytes.every((byte, at) => byte === Math.floor(at / pieceBytes) % 251)).toBe(true);
    },
  );

  it('allocates no more than a known total, and never more than the limit', () => {
    const known = createByteBuffer({ totalBytes: 1_000 });
    const limited = createByteBuffer({ maxBytes: 1_000 });
    for (let no = 0; no < 1_000; no += 1) {
      known.add(new Uint8Array(1));
      limited.add(new Uint8Array(1));
    }
    expect([known.capacityWith(0), limited.capacityWith(0)]).toEqual([1_000, 1_000]);
  });

  it('is empty before the first piece', () => {
    expect(createByteBuffer().bytes()).toHaveLength(0);
  });
});
