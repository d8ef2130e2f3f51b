import { connect, createServer } from 'node:net';
import { describe, expect, it } from 'vitest';
import { createSystemClock } from '../src/index';
import type { AddressInfo, Socket } from 'node:net';

const SHORT_MS = 40;

describe('a timer of the system clock', () => {
  it.each([2 ** 31, 1e300, Infinity])('does not end at once for a delay of %s ms', async (ms) => {
    const clock = createSystemClock();
    let hasEnded = false;
    const cancel = clock.runAfter(ms, () => {
      hasEnded = true;
    });
    await new Promise<void>((resolve) => {
      clock.runAfter(SHORT_MS, resolve);
    });
    cancel();
    expect(hasEnded).toBe(false);
  });

  it('is never early by the clock', async () => {
    // Guards against a decision that is due at a time and finds that the time has not come: a part that crashes
    // engines was then not condemned, and crashed one more.
    const clock = createSystemClock();
    const earliest = { aheadMs: -Infinity };
    const delays = Array.from({ length: 200 }, (_, no) => SHORT_MS + no * 0.37);
    await Promise.all(
      delays.map(async (delayMs) => {
        standStill(0.3);
        const dueAtMs = clock.monotonicMs() + delayMs;
        await new Promise<void>((resolve) => {
          clock.runAfter(delayMs, resolve);
        });
        earliest.aheadMs = Math.max(earliest.aheadMs, dueAtMs - clock.monotonicMs());
      }),
    );
    expect(earliest.aheadMs).toBeLessThanOrEqual(0);
  });

  it.each(['runAfter', 'runEvery'] as const)(
    'does not report silence while an answer waits to be read after the process stood still: %s',
    async (timer) => {
      const clock = createSystemClock();
      const server = createServer();
      const accepted = new Promise<Socket>((resolve) => {
        server.once('connection', resolve);
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
      const peer = await accepted;
      const seen: string[] = [];
      caller.on('data', () => seen.push('answer'));
      await new Promise<void>((resolve) => {
        const cancel = clock[timer](SHORT_MS, () => {
          cancel();
          seen.push('timeout');
          resolve();
        });
        peer.write('answer');
        standStill(2 * SHORT_MS);
      });
      caller.destroy();
      peer.destroy();
      server.close();
      expect(seen).toEqual(['answer', 'timeout']);
    },
  );
});

function standStill(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}
