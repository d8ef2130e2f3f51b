import type { EngineId, RequestId } from '../ids';

export interface ResumeQueueSettings {
  /** Resumes of this router that may wait for their first token at the same time. */
  readonly maxPerRouter: number;
  /** The same for each engine; an engine that prefills many prompts at once serves all late. */
  readonly maxPerEngine: number;
  /** Every stream that waits has started within this time of its loss. */
  readonly maxWaitMs: number;
}

/**
 * A lost domain of a third of the engines leaves the other engines half as many streams again; 2
 * prompts at once on an engine add about one prefill to its other streams' next token.
 */
export const RESUME_QUEUE_DEFAULTS: ResumeQueueSettings = {
  maxPerRouter: 16,
  maxPerEngine: 2,
  maxWaitMs: 2_500,
};

/** Streams that wait to be resumed after their engine was lost. */
export interface ResumeQueue {
  readonly add: (requestId: RequestId, lostAtMs: number) => void;
  /** The streams to start now, longest wait first. Those that find no engine are added again. */
  readonly takeReady: (nowMs: number) => RequestId[];
  /** Engines that have as many resumes under way as they may have. */
  readonly fullEngines: (nowMs: number) => ReadonlySet<EngineId>;
  readonly onStarted: (requestId: RequestId, engineId: EngineId, nowMs: number) => void;
  /** The resumed stream has its first token, or the attempt has ended without one. */
  readonly onEnded: (requestId: RequestId, nowMs: number) => void;
  readonly waiting: () => number;
  readonly starting: () => number;
}

interface StartingResume {
  engineId: EngineId | undefined;
  startedAtMs: number;
}

/** Weight of the newest start in the moving average of start times. */
const SMOOTHING_RATIO = 0.2;
const INITIAL_MEAN_START_MS = 200;

export function createResumeQueue(settings: ResumeQueueSettings): ResumeQueue {
  const waiting = new Map<RequestId, number>();
  const starting = new Map<RequestId, StartingResume>();
  let meanStartMs = INITIAL_MEAN_START_MS;

  /** Relaxes a bound when it would keep the longest waiter beyond its time. */
  function relaxed(limit: number, nowMs: number): number {
    if (waiting.size === 0) return limit;
    const oldestMs = Math.min(...waiting.values());
    const leftMs = oldestMs + settings.maxWaitMs - nowMs - meanStartMs;
    if (leftMs <= 0) return Infinity;
    const needed = Math.ceil((waiting.size * meanStartMs) / leftMs);
    return Math.max(limit, needed);
  }

  function takeReady(nowMs: number): RequestId[] {
    const free = relaxed(settings.maxPerRouter, nowMs) - starting.size;
    if (free <= 0) return [];
    const ordered = [...waiting.entries()].sort(([, a], [, b]) => a - b);
    return ordered.slice(0, free).map(([requestId]) => {
      waiting.delete(requestId);
      starting.set(requestId, { engineId: undefined, startedAtMs: nowMs });
      return requestId;
    });
  }

  function fullEngines(nowMs: number): ReadonlySet<EngineId> {
    const counts = new Map<EngineId, number>();
    starting.forEach(({ engineId }) => {
      if (engineId !== undefined) counts.set(engineId, (counts.get(engineId) ?? 0) + 1);
    });
    // A factor above 1 means that the router's own bound had to give way; the engines' follows.
    const factor = relaxed(settings.maxPerRouter, nowMs) / settings.maxPerRouter;
    const full = [...counts].filter(([, count]) => count >= settings.maxPerEngine * factor);
    return new Set(full.map(([engineId]) => engineId));
  }

  return {
    add: (requestId, lostAtMs) => {
      starting.delete(requestId);
      waiting.set(requestId, lostAtMs);
    },
    takeReady,
    fullEngines,
    onStarted: (requestId, engineId, nowMs) => {
      const start = starting.get(requestId);
      if (start === undefined) return;
      start.engineId = engineId;
      start.startedAtMs = nowMs;
    },
    onEnded: (requestId, nowMs) => {
      waiting.delete(requestId);
      const start = starting.get(requestId);
      if (start === undefined) return;
      starting.delete(requestId);
      meanStartMs += SMOOTHING_RATIO * (nowMs - start.startedAtMs - meanStartMs);
    },
    waiting: () => waiting.size,
    starting: () => starting.size,
  };
}
