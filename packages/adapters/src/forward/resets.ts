import type { Socket } from 'node:net';

/** The members of a `node:net` socket that are needed to detect a reset. */
export type ResettableSocket = Pick<Socket, 'prependListener' | 'remotePort'>;

/** Tells, while the end of a connection is handled, whether the connection was reset. */
export interface ResetDetector {
  /** Must be called before other listeners are added. */
  readonly watch: (socket: ResettableSocket) => void;
  /** True while the listeners of a reset connection run. */
  readonly isHandlingReset: () => boolean;
}

/**
 * Needed because undici treats a response without a length as complete when its connection is reset.
 * A reset appears as an 'error' event, or, if another system call has consumed the error, as an 'end'
 * event of a socket that no longer has a remote port.
 */
export function createResetDetector(): ResetDetector {
  let isResetting = false;

  function markReset(): void {
    isResetting = true;
    // The other listeners of the event run before the microtask.
    queueMicrotask(() => {
      isResetting = false;
    });
  }

  return {
    watch: (socket) => {
      socket.prependListener('error', markReset);
      socket.prependListener('end', () => {
        if (socket.remotePort === undefined) markReset();
      });
    },
    isHandlingReset: () => isResetting,
  };
}
