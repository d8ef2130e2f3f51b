import { describe, expect, it } from 'vitest';
import { createMemoryBudget, createResponseBuffers } from '../../src/index';

const MIB = 1_048_576;

describe('the buffers of responses', () => {
  it('give up large responses, and not the small ones, once all hold too much', () => {
    // Guards against servers that send without end until the router is out of memory.
    const buffers = createResponseBuffers(createMemoryBudget(Infinity), () => 0);
    const endless = Array.from({ length: 50 }, () => buffers.open('answer'));
    const results = endless.map((buffer) => buffer.hold(MIB));
    expect(results.filter(Boolean)).toHaveLength(48);
    const small = buffers.open('answer');
    expect(small.hold(65_536)).toBe(true);
    expect(small.hold(65_537)).toBe(false);
  });

  it('give up unfinished events before they give up whole answers', () => {
    const buffers = createResponseBuffers(createMemoryBudget(Infinity), () => 0);
    const events = Array.from({ length: 9 }, () => buffers.open('event'));
    expect(events.map((buffer) => buffer.hold(MIB)).filter(Boolean)).toHaveLength(8);
    expect(buffers.open('answer').hold(MIB)).toBe(true);
  });

  it('have room again once responses have ended', () => {
    const buffers = createResponseBuffers(createMemoryBudget(Infinity), () => 0);
    const first = buffers.open('answer');
    expect(first.hold(48 * MIB)).toBe(true);
    const second = buffers.open('answer');
    expect(second.hold(MIB)).toBe(false);
    first.release();
    expect(second.hold(MIB)).toBe(true);
    second.hold(10);
    expect(buffers.heldBytes()).toBe(10);
  });
});
