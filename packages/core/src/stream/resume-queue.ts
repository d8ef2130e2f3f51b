import type { EngineId, RequestId } from '../ids';

export interface ResumeQueueSettings {
  /** Resumed streams of this router that may await their first token at the same time. */
  readonly maxPerRouter: number;
  /** The same for each engine: one that prefills many prompts at once delays all its streams. */
  readonly maxPerEngine: number;
  /** Time after its loss within which a stream must have its first token. */
  readonly maxWaitMs: number;
}

/**
 * If a failure domain with a third of the engines is lost, each remaining engine gets half as many
 * streams again. Two prompts at once on an engine delay the next token of its other streams by
 * about one prefill.
 */
export const RESUME_QUEUE_DEFAULTS: ResumeQueueSettings = {
  maxPerRouter: 16,
  maxPerEngine: 2,
  maxWaitMs: 2_500,
};

/** Streams that wait to be resumed after their engine was lost; limits concurrent resumes. */
export interface ResumeQueue {
  readonly add: (requestId: RequestId, lostAtMs: number) => void;
  /** Streams to resume now, longest wait first. One that finds no engine must be added again. */
  readonly takeReady: (nowMs: number) => RequestId[];
  /** Engines that must get no further resume for now. */
  readonly fullEngines: (nowMs: number) => ReadonlySet<EngineId>;
  readonly onStarted: (requestId: RequestId, engineId: EngineId, nowMs: number) => void;
  /** The resumed stream has its first token, or ended without one. */
  readonly onEnded: (requestId: RequestId, nowMs: number) => void;
  readonly waiting: () => number;
  readonly starting: () => number;
}

interface StartingResume {
  engineId: EngineId | undefined;
  startedAtMs: number;
}

/** Weight of the newest resume in the moving average of times to a first token. */
const SMOOTHING_RATIO = 0.2;
const INITIAL_MEAN_START_MS = 200;

export function createResumeQueue(settings: ResumeQueueSettings): ResumeQueue {
  const waiting = new Map<RequestId, number>();
  const starting = new Map<RequestId, StartingResume>();
  let meanStartMs = INITIAL_MEAN_START_MS;

  /** Raises the limit as far as needed to start all waiting streams within `maxWaitMs`. */
  function effectiveLimit(limit: number, nowMs: number): number {
    if (waiting.size === 0) return limit;
    const oldestMs = Math.min(...waiting.values());
    const leftMs = oldestMs + settings.maxWaitMs - nowMs - meanStartMs;
    if (leftMs <= 0) return Infinity;
    const needed = Math.ceil((waiting.size * meanStartMs) / leftMs);
    return Math.max(limit, needed);
  }

  function takeReady(nowMs: number): RequestId[] {
    const free = effectiveLimit(settings.maxPerRouter, nowMs) - starting.size;
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
    // The limit of each engine is raised by the same factor as that of the router.
    const factor = effectiveLimit(settings.maxPerRouter, nowMs) / settings.maxPerRouter;
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
