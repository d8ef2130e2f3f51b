import { progressDueAtMs } from '@mimosamill/core';
import type { ServerResponse } from 'node:http';
import type { Clock } from '@mimosamill/adapters';
import type { MemoryBudget } from '@mimosamill/core';

/** The bytes of one response that its caller has not read yet. */
export interface UnsentBytes {
  /** Called after each write. Closes the connection if more is unsent than there is room for. */
  readonly onWritten: () => void;
}

/** Unsent bytes of a stream beyond which its connection is closed. */
const UNSENT_MAX_BYTES = 4_194_304;
/** A caller that reads nothing for so long does not get the rest of its response. */
const UNREAD_MAX_MS = 30_000;

/** Counts what callers leave unread, since a crowd that never reads could fill the memory of the host. */
export function createUnsentTracker(
  budget: MemoryBudget,
  clock: Clock,
): (res: ServerResponse) => UnsentBytes {
  return (res) => {
    const claim = budget.open('unsent', () => res.destroy());
    let cancelTimeout: (() => void) | undefined;
    let isWatched = false;

    function onRead(): void {
      cancelTimeout?.();
      cancelTimeout = undefined;
      claim.release();
    }

    function watch(): void {
      if (isWatched) return;
      isWatched = true;
      res.on('drain', onRead);
      res.once('finish', onRead);
      res.once('close', onRead);
    }

    /** Ends the response once its caller has read nothing for the whole time. */
    function watchProgress(): () => void {
      const sentBytes = res.socket?.bytesWritten;
      return clock.runAfter(UNREAD_MAX_MS, () => {
        if (res.socket?.bytesWritten === sentBytes) res.destroy();
        else cancelTimeout = watchProgress();
      });
    }

    return {
      onWritten: () => {
        const unsentBytes = res.writableLength;
        // Less than this belongs to a request's own claim, and its end is not reported.
        if (unsentBytes <= res.writableHighWaterMark || res.destroyed) return;
        watch();
        const nowMs = clock.monotonicMs();
        // The system reports no progress within one write, so the time for all of it counts from now.
        const dueAtMs = progressDueAtMs(nowMs, unsentBytes, Infinity);
        const isTooMuch = !res.writableEnded && unsentBytes > UNSENT_MAX_BYTES;
        if (isTooMuch || !claim.resize(unsentBytes, nowMs, dueAtMs)) {
          res.destroy();
          return;
        }
        cancelTimeout ??= watchProgress();
      },
    };
  };
}
