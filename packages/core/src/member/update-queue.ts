import { updateSizeBytes } from './member-entry';
import type { RouterId } from '../ids';
import type { MemberUpdate } from './member-entry';

/** Updates waiting to be passed on; each is sent a bounded number of times. */
export interface UpdateQueue {
  readonly add: (update: MemberUpdate) => void;
  /** Takes the least-sent updates; each counts as sent once more. */
  readonly take: (maxCount: number, maxBytes: number, sendLimit: number) => MemberUpdate[];
  /** Drops updates that were sent at least that often. */
  readonly trim: (minSends: number) => void;
  readonly size: () => number;
}

interface QueuedUpdate {
  readonly update: MemberUpdate;
  sends: number;
}

/** Creates an empty queue with at most one update per member: the newest. */
export function createUpdateQueue(): UpdateQueue {
  const queue = new Map<RouterId, QueuedUpdate>();

  function take(maxCount: number, maxBytes: number, sendLimit: number): MemberUpdate[] {
    const waiting = [...queue.values()].sort((a, b) => a.sends - b.sends);
    const taken: MemberUpdate[] = [];
    let bytes = 0;
    for (const queued of waiting) {
      if (taken.length >= maxCount) break;
      const size = updateSizeBytes(queued.update);
      if (bytes + size <= maxBytes) {
        bytes += size;
        taken.push(queued.update);
        queued.sends += 1;
        if (queued.sends >= sendLimit) queue.delete(queued.update.routerId);
      }
    }
    return taken;
  }

  return {
    add: (update) => {
      queue.set(update.routerId, { update, sends: 0 });
    },
    take,
    trim: (minSends) => {
      queue.forEach(({ sends }, routerId) => {
        if (sends >= minSends) queue.delete(routerId);
      });
    },
    size: () => queue.size,
  };
}
