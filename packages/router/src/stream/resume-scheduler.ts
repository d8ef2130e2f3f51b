import { createResumeQueue, RESUME_QUEUE_DEFAULTS } from '@mimosamill/core';
import type { Clock } from '@mimosamill/adapters';
import type { EngineId, RequestId } from '@mimosamill/core';

/** Starts resumes a few at a time, so that survivors are not overrun after a large loss. */
export interface ResumeScheduler {
  /** Calls back when the stream may be placed. */
  readonly schedule: (requestId: RequestId, lostAtMs: number, start: () => void) => void;
  readonly fullEngines: () => ReadonlySet<EngineId>;
  readonly onStarted: (requestId: RequestId, engineId: EngineId) => void;
  readonly onEnded: (requestId: RequestId) => void;
  /** Starts what may start by now; also run after every change. */
  readonly startReady: () => void;
}

export function createResumeScheduler(clock: Clock): ResumeScheduler {
  const queue = createResumeQueue(RESUME_QUEUE_DEFAULTS);
  const starts = new Map<RequestId, () => void>();

  function startReady(): void {
    if (starts.size === 0) return;
    queue.takeReady(clock.monotonicMs()).forEach((requestId) => {
      const start = starts.get(requestId);
      starts.delete(requestId);
      start?.();
    });
  }

  return {
    schedule: (requestId, lostAtMs, start) => {
      starts.set(requestId, start);
      queue.add(requestId, lostAtMs);
      startReady();
    },
    fullEngines: () => queue.fullEngines(clock.monotonicMs()),
    onStarted: (requestId, engineId) => queue.onStarted(requestId, engineId, clock.monotonicMs()),
    onEnded: (requestId) => {
      queue.onEnded(requestId, clock.monotonicMs());
      startReady();
    },
    startReady,
  };
}
