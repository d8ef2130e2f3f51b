import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { createResetDetector } from '../src/forward/resets';
import type { ResettableSocket } from '../src/forward/resets';

function createStubSocket(remotePort: number | undefined) {
  const emitter = new EventEmitter();
  return Object.assign(emitter, { remotePort }) as unknown as ResettableSocket & EventEmitter;
}

// Guards against a response without a length that is passed on as complete although its connection
// was reset in the middle.
describe('the reset detector', () => {
  it.each([
    ['an error', 'error', 80, true],
    ['an end without a remote port, its error consumed by another call', 'end', undefined, true],
    ['an orderly end', 'end', 80, false],
  ])(
    'classifies %s as a reset or not, before the listeners of the HTTP client run',
    (_name, event, port, isReset) => {
      const resets = createResetDetector();
      const socket = createStubSocket(port);
      const seen: boolean[] = [];
      resets.watch(socket);
      socket.on(event, () => seen.push(resets.isHandlingReset()));
      socket.emit(event, new Error('read ECONNRESET'));
      expect(seen).toEqual([isReset]);
    },
  );

  it('no longer reports a reset after its listeners have run', async () => {
    const resets = createResetDetector();
    const socket = createStubSocket(80);
    socket.on('error', () => undefined);
    resets.watch(socket);
    socket.emit('error', new Error('read ECONNRESET'));
    await Promise.resolve();
    expect(resets.isHandlingReset()).toBe(false);
  });
});
