import { measureHeapBytes } from '@mimosamill/fakes';
import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { createEventSequence, createEventSplitter } from '../../src/index';
import type { EventSplitter } from '../../src/index';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

function event(no: number, lineEnd = '\n'): string {
  return `id: ${no}${lineEnd}data: token ${no}${lineEnd}${lineEnd}`;
}

describe('the event splitter', () => {
  it('returns the same events however the bytes are split into chunks', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 12 }),
        fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 60 }),
        fc.constantFrom('\n', '\r\n'),
        (count, sizes, lineEnd) => {
          const text = Array.from({ length: count }, (_, at) => event(at + 1, lineEnd)).join('');
          const bytes = encoder.encode(text);
          const splitter = createEventSplitter();
          const found: string[] = [];
          let at = 0;
          for (let turn = 0; at < bytes.length; turn += 1) {
            const size = sizes[turn % sizes.length] ?? 1;
            splitter.push(bytes.subarray(at, at + size))?.forEach((each) => {
              found.push(decoder.decode(each.bytes));
            });
            at += size;
          }
          expect(found.join('')).toBe(text);
          expect(found).toHaveLength(count);
          expect(splitter.pendingBytes()).toBe(0);
        },
      ),
    );
  });

  it('does not return an incomplete event', () => {
    const splitter = createEventSplitter();
    const events = splitter.push(encoder.encode(`${event(1)}id: 2\ndata: tok`));
    expect(events?.map(({ id }) => id)).toEqual([1]);
    expect(splitter.pendingBytes()).toBeGreaterThan(0);
  });

  it('rejects an event without a numeric id', () => {
    expect(createEventSplitter().push(encoder.encode('HTTP/1.1 200 OK\n\n'))).toBeUndefined();
  });

  it.each([
    ['of LF lines', '\n', 'x-id: 9\r\n\r\n'],
    ['of CRLF lines', '\r\n', 'content-length: 6\r\n\r\n'],
    ['of CRLF lines, from its start', '\r\n', '\r\nHTTP/1.1 500 Failed\r\n\r\n'],
  ])('rejects an event %s that holds a response head', (_name, lineEnd, rest) => {
    const text = `id: 1${lineEnd}data: tokHTTP/1.1 500 Failed\r\n${rest}`;
    expect(createEventSplitter().push(encoder.encode(text))).toBeUndefined();
  });

  it('accepts an event whose data names a head', () => {
    const text = 'id: 1\ndata: HTTP/1.1 500 Failed\ndata: content-length: 6\n\n';
    expect(createEventSplitter().push(encoder.encode(text))).toHaveLength(1);
  });

  it('takes the id from the id field only', () => {
    const events = createEventSplitter().push(encoder.encode('data: id: 9\nid: 3\n\n'));
    expect(events?.map(({ id }) => id)).toEqual([3]);
  });
});

/** Least time of some runs, as others may take the processor meanwhile. */
function leastMs(run: () => void): number {
  const times = Array.from({ length: 3 }, () => {
    const startedAtMs = performance.now();
    run();
    return performance.now() - startedAtMs;
  });
  return Math.min(...times);
}

/** Pushes the text in pieces, as one event that does not end. */
function pushPieces(text: string, pieceBytes: number): EventSplitter {
  const bytes = encoder.encode(text);
  const splitter = createEventSplitter();
  for (let at = 0; at < bytes.length; at += pieceBytes) {
    const events = splitter.push(bytes.subarray(at, at + pieceBytes));
    if (events?.length !== 0) throw new Error('expected no event and no fault');
  }
  return splitter;
}

// Guards against an event that takes a time of the square of its bytes: one stream of short lines without a blank one
// held the router for four seconds.
describe('an event that comes in small pieces', () => {
  const SIZE_BYTES = 65_536;
  const GROWTH = 8;
  /** In proportion it is 8, with the square 64. */
  const GROWTH_MAX = 24;

  it.each([
    ['lines of eight bytes, each a piece', 'data: x\n', 8],
    ['lines of eight bytes, in pieces of three', 'data: x\n', 3],
    ['line feeds and carriage returns', '\n\rx\r', 1],
    ['one line', 'xxxxxxxx', 3],
  ])('takes time and memory in proportion to its bytes: %s', (_name, unit, pieceBytes) => {
    const small = unit.repeat(SIZE_BYTES / unit.length);
    const large = small.repeat(GROWTH);
    pushPieces(small, pieceBytes);
    const smallMs = leastMs(() => pushPieces(small, pieceBytes));
    const largeMs = leastMs(() => pushPieces(large, pieceBytes));
    expect(largeMs / smallMs).toBeLessThan(GROWTH_MAX);
    const splitter = pushPieces(large, pieceBytes);
    expect(splitter.pendingBytes()).toBe(large.length);
    expect(splitter.heldBytes()).toBeLessThanOrEqual(2 * large.length);
  });

  it('keeps of a piece no more than the event that it begins', () => {
    const splitter = createEventSplitter();
    splitter.push(encoder.encode(`${event(1)}${event(2)}id: 3`));
    expect([splitter.pendingBytes(), splitter.heldBytes()]).toEqual([5, 5]);
  });

  it('keeps none of the memory of a piece for the event that it begins', async () => {
    // Guards against streams that hold 64 KiB each for the first bytes of an event.
    const measureBytes = (): number => {
      measureHeapBytes();
      return process.memoryUsage().arrayBuffers;
    };
    const text = `${event(1)}: ${'x'.repeat(65_536)}\n${event(2)}id: 3`;
    const before = measureBytes();
    const splitters = Array.from({ length: 1_000 }, () => {
      const splitter = createEventSplitter();
      expect(splitter.push(Buffer.from(text))).toHaveLength(2);
      return splitter;
    });
    // Memory of buffers is freed beside the program, some time after their collection.
    const isFreed = (): boolean => measureBytes() - before < 10_000_000;
    await vi.waitFor(() => expect(isFreed()).toBe(true), { timeout: 5_000, interval: 50 });
    expect(splitters.every((splitter) => splitter.pendingBytes() === 5)).toBe(true);
  });

  it('does not change the bytes of events that were returned before', () => {
    const splitter = createEventSplitter();
    const found = [event(1), event(2), event(3)]
      .join('')
      .split('')
      .flatMap((letter) => splitter.push(encoder.encode(letter)) ?? []);
    expect(found.map(({ bytes }) => decoder.decode(bytes))).toEqual([event(1), event(2), event(3)]);
  });
});

describe('the event sequence', () => {
  it('reports events that a second engine repeats as duplicates, and missing events as a gap', () => {
    const sequence = createEventSequence(4);
    const verdicts = [3, 4, 5, 6, 5, 8].map((id) => sequence.accept(id));
    expect(verdicts).toEqual(['duplicate', 'duplicate', 'next', 'next', 'duplicate', 'gap']);
    expect(sequence.lastId()).toBe(6);
  });
});
