import type { Socket } from 'node:net';

/** What a reset can be told by; a socket of `node:net` has both. */
export type ResettableSocket = Pick<Socket, 'prependListener' | 'remotePort'>;

/** Tells, while a connection's end is handled, whether it was a reset. */
export interface ResetDetector {
  /** Must be called before other listeners are added. */
  readonly watch: (socket: ResettableSocket) => void;
  /** True while the listeners of a reset connection run. */
  readonly isHandlingReset: () => boolean;
}

/**
 * undici takes an answer without a length as complete when its connection is reset. A reset shows
 * as an error, or, if another system call has consumed the error, as an end of a connection that no
 * longer has a peer.
 */
export function createResetDetector(): ResetDetector {
  let isResetting = false;

  function mark(): void {
    isResetting = true;
    // The other listeners run in the same turn.
    queueMicrotask(() => {
      isResetting = false;
    });
  }

  return {
    watch: (socket) => {
      socket.prependListener('error', mark);
      socket.prependListener('end', () => {
        if (socket.remotePort === undefined) mark();
      });
    },
    isHandlingReset: () => isResetting,
  };
}
