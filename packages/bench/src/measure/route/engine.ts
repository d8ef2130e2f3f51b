import type { CacheBlockEvent, LoadReport, RoutePriority } from '@mimosamill/core';
import type { Timeline } from '../timeline';

/** A request as an engine sees it. */
export interface SimulatedRequest {
  readonly promptTokens: number;
  readonly blockKeys: readonly number[];
  readonly outputTokens: number;
  readonly priority: RoutePriority;
  readonly onFirstToken: (nowMs: number, cachedTokens: number) => void;
  readonly onEnd: (nowMs: number) => void;
}

/**
 * An engine as the route measurement models it: prompts are processed one at a time, urgent ones
 * first; a place in the batch is held from the start of the prompt to the last token; the pace
 * falls with the size of the batch; prompt blocks stay cached until the least recently used ones
 * must make room.
 */
export interface SimulatedEngine {
  readonly submit: (request: SimulatedRequest) => void;
  /** Adds a stream that was already running at the start. */
  readonly addRunningStream: (remainingTokens: number) => void;
  readonly report: () => Omit<LoadReport, 'reportAgeMs'>;
  /** Cache changes since the last call. */
  readonly takeChanges: () => CacheBlockEvent[];
  readonly latestSeq: () => number;
}

export const BLOCK_TOKENS = 64;
export const MAX_RUNNING = 32;
export const PREFILL_TOKENS_PER_MS = 8;
const CACHED_BLOCKS = 512;
const BASE_STEP_MS = 14;
const STEP_MS_PER_STREAM = 0.6;
const PRIORITIES: readonly RoutePriority[] = ['urgent', 'normal', 'batch'];

export function createSimulatedEngine(model: string, timeline: Timeline): SimulatedEngine {
  const loaded = [{ model, version: 'v1', adapters: [] }];
  const queues = PRIORITIES.map((): SimulatedRequest[] => []);
  const cache = new Map<number, true>();
  let changes: CacheBlockEvent[] = [];
  let seq = 0;
  let running = 0;
  let isPrefilling = false;

  function stepMs(): number {
    return BASE_STEP_MS + STEP_MS_PER_STREAM * running;
  }

  function change(kind: CacheBlockEvent['kind'], blockKey: number): void {
    seq += 1;
    changes.push({ seq, kind, blockKey });
  }

  /** Tokens of the longest cached prefix. */
  function cachedTokens(blockKeys: readonly number[]): number {
    let count = 0;
    while (count < blockKeys.length && cache.has(blockKeys[count] ?? 0)) count += 1;
    return count * BLOCK_TOKENS;
  }

  /** Later blocks are refreshed first, so that the start of a prefix is dropped last. */
  function store(blockKeys: readonly number[]): void {
    for (let at = blockKeys.length - 1; at >= 0; at -= 1) {
      const blockKey = blockKeys[at] ?? 0;
      if (!cache.delete(blockKey)) change('stored', blockKey);
      cache.set(blockKey, true);
    }
    for (const blockKey of cache.keys()) {
      if (cache.size <= CACHED_BLOCKS) break;
      cache.delete(blockKey);
      change('removed', blockKey);
    }
  }

  function startNext(): void {
    if (isPrefilling || running >= MAX_RUNNING) return;
    const request = queues.find((queue) => queue.length > 0)?.shift();
    if (request === undefined) return;
    isPrefilling = true;
    running += 1;
    const cached = Math.min(cachedTokens(request.blockKeys), request.promptTokens - 1);
    const prefillMs = (request.promptTokens - cached) / PREFILL_TOKENS_PER_MS;
    timeline.schedule(timeline.nowMs() + prefillMs + stepMs(), () => {
      isPrefilling = false;
      store(request.blockKeys);
      request.onFirstToken(timeline.nowMs(), cached);
      decode(request.outputTokens, request.onEnd);
      startNext();
    });
  }

  /** Runs in chunks, because the pace changes with the batch. */
  function decode(tokens: number, onEnd: (nowMs: number) => void): void {
    const chunk = Math.min(tokens, 128);
    timeline.schedule(timeline.nowMs() + chunk * stepMs(), () => {
      if (tokens > chunk) {
        decode(tokens - chunk, onEnd);
        return;
      }
      running -= 1;
      onEnd(timeline.nowMs());
      startNext();
    });
  }

  return {
    submit: (request) => {
      queues[PRIORITIES.indexOf(request.priority)]?.push(request);
      startNext();
    },
    addRunningStream: (remainingTokens) => {
      running += 1;
      decode(remainingTokens, () => undefined);
    },
    report: () => ({
      state: 'live',
      role: 'mixed',
      running,
      queued: queues.reduce((sum, queue) => sum + queue.length, 0),
      maxRunning: MAX_RUNNING,
      stepMs: stepMs(),
      loaded,
    }),
    takeChanges: () => {
      const taken = changes;
      changes = [];
      return taken;
    },
    latestSeq: () => seq,
  };
}
