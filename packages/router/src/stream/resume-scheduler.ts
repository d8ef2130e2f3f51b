import { createResumeQueue, RESUME_QUEUE_DEFAULTS } from '@mimosamill/core';
import type { Clock } from '@mimosamill/adapters';
import type { EngineId, RequestId } from '@mimosamill/core';

/** Starts a few resumes at a time, so that a large loss does not overload the other engines. */
export interface ResumeScheduler {
  /** Calls `start` once the stream may be placed on an engine. */
  readonly schedule: (requestId: RequestId, lostAtMs: number, start: () => void) => void;
  /** Engines that have reached their limit of concurrent resumes. */
  readonly fullEngines: () => ReadonlySet<EngineId>;
  readonly onStarted: (requestId: RequestId, engineId: EngineId) => void;
  readonly onEnded: (requestId: RequestId) => void;
  /** Starts the resumes that may start by now. Adding or ending a resume calls it as well. */
  readonly startReady: () => void;
}

export function createResumeScheduler(clock: Clock): ResumeScheduler {
  const queue = createResumeQueue(RESUME_QUEUE_DEFAULTS);
  const pendingStarts = new Map<RequestId, () => void>();

  function startReady(): void {
    if (pendingStarts.size === 0) return;
    queue.takeReady(clock.monotonicMs()).forEach((requestId) => {
      const start = pendingStarts.get(requestId);
      pendingStarts.delete(requestId);
      start?.();
    });
  }

  return {
    schedule: (requestId, lostAtMs, start) => {
      pendingStarts.set(requestId, start);
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
