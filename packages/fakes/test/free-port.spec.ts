import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { findFreePort } from '../src/index';

const OUTGOING_RANGE_FILE = '/proc/sys/net/ipv4/ip_local_port_range';

describe('a free port for a process', () => {
  it('can be taken by no outgoing connection, and is given out once', async () => {
    // Guards against a process that can't listen, because a connection of another one has its port by then.
    const [firstOutgoing = 0] = readFileSync(OUTGOING_RANGE_FILE, 'utf8')
      .trim()
      .split(/\s+/u)
      .map(Number);
    const ports = await Promise.all(Array.from({ length: 200 }, findFreePort));
    expect(Math.max(...ports)).toBeLessThan(firstOutgoing);
    expect(new Set(ports).size).toBe(ports.length);
  });
});
