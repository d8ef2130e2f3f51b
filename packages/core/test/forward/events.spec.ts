import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createEventSequence, createEventSplitter } from '../../src/index';

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

describe('the event sequence', () => {
  it('reports events that a second engine repeats as duplicates, and missing events as a gap', () => {
    const sequence = createEventSequence(4);
    const verdicts = [3, 4, 5, 6, 5, 8].map((id) => sequence.accept(id));
    expect(verdicts).toEqual(['duplicate', 'duplicate', 'next', 'next', 'duplicate', 'gap']);
    expect(sequence.lastId()).toBe(6);
  });
});
