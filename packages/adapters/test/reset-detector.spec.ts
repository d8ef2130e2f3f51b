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
    [
      'an end without a remote port, where another call has consumed the error',
      'end',
      undefined,
      true,
    ],
    ['an orderly end', 'end', 80, false],
  ])('classifies %s before the listeners of the HTTP client run', (_name, event, port, isReset) => {
    const detector = createResetDetector();
    const socket = createStubSocket(port);
    const reported: boolean[] = [];
    detector.watch(socket);
    socket.on(event, () => reported.push(detector.isHandlingReset()));
    socket.emit(event, new Error('read ECONNRESET'));
    expect(reported).toEqual([isReset]);
  });

  it('no longer reports a reset after its listeners have run', async () => {
    const detector = createResetDetector();
    const socket = createStubSocket(80);
    socket.on('error', () => undefined);
    detector.watch(socket);
    socket.emit('error', new Error('read ECONNRESET'));
    await Promise.resolve();
    expect(detector.isHandlingReset()).toBe(false);
  });
});
