import { createRandom, exponential, percentile } from '../random';
import { createTimeline } from '../timeline';
import { createSimulatedEngine, MAX_RUNNING, PREFILL_TOKENS_PER_MS } from './engine';
import { createPolicy, engineIdOf } from './policy';
import {
  createArrivalGenerator,
  ENGINE_COUNT,
  engineCountsByModel,
  MEAN_OUTPUT_TOKENS,
  residualTokens,
} from './workload';
import type { CacheBlockEvent, FailureDomain, Hash32, Region, RouteEngine } from '@mimosamill/core';
import type { PolicyName, ObservedReport } from './policy';

export interface RoutingRunOptions {
  readonly policy: PolicyName;
  readonly lagMs: number;
  /** Arrivals as a part of what the engines can decode. */
  readonly loadRatio: number;
  readonly seed: number;
  readonly routerCount: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
  readonly hash: Hash32;
}

export interface RoutingRunResult {
  readonly ttftP50Ms: number;
  readonly ttftP95Ms: number;
  readonly prefixHitRatio: number;
  readonly decisionUs: readonly number[];
}

/** Engines report their load and publish cache events at this period. */
const REPORT_INTERVAL_MS = 200;
const TIMED_DECISIONS = 20_000;
/** Pace of a full batch, from which the capacity follows. */
const FULL_BATCH_STEP_MS = 33.2;
const ENGINE_CAPACITY_PER_SEC =
  (MAX_RUNNING * 1_000) / (MEAN_OUTPUT_TOKENS * FULL_BATCH_STEP_MS + 1_500 / PREFILL_TOKENS_PER_MS);

export function simulateRouting(options: RoutingRunOptions): RoutingRunResult {
  const random = createRandom(options.seed);
  const choiceRandom = createRandom(options.seed + 1);
  const timeline = createTimeline();
  const nextArrival = createArrivalGenerator(options.routerCount, random);
  const engineAtsByModel: number[][] = [];
  const engines = engineCountsByModel().flatMap((count, modelAt) => {
    const firstAt = engineAtsByModel.flat().length;
    engineAtsByModel.push(Array.from({ length: count }, (_, at) => firstAt + at));
    return Array.from({ length: count }, () => createSimulatedEngine(`m${modelAt}`, timeline));
  });
  const directory: RouteEngine[] = engines.map((_, at) => ({
    engineId: engineIdOf(at),
    service: `s${engineAtsByModel.findIndex((ats) => ats.includes(at))}`,
    region: 'r0' as Region,
    failureDomain: `d${at % 3}` as FailureDomain,
    state: 'live',
  }));
  const policy = createPolicy(options.policy, directory, options.routerCount, options.hash);
  const reports: ObservedReport[][] = engines.map(() => []);
  const ttfts: number[] = [];
  let sharedTokens = 0;
  let hitTokens = 0;
  const endMs = options.warmUpMs + options.measuredMs;
  const engineRate = options.loadRatio * ENGINE_CAPACITY_PER_SEC;
  const gapMs = 1_000 / (engineRate * ENGINE_COUNT);

  function seedStreams(): void {
    const mean = options.loadRatio * MAX_RUNNING * 0.9;
    engines.forEach((engine) => {
      const count = Math.min(MAX_RUNNING, Math.round(mean + (random() - 0.5) * 8));
      for (let n = 0; n < count; n += 1) engine.addRunningStream(residualTokens(random));
    });
  }

  function sample(engineAt: number): void {
    const engine = engines[engineAt];
    const kept = reports[engineAt];
    if (engine === undefined || kept === undefined) return;
    const sampledAtMs = timeline.nowMs();
    kept.push({ sampledAtMs, load: { ...engine.report(), reportAgeMs: 0 } });
    while (kept.length > 2 && (kept[1]?.sampledAtMs ?? 0) <= sampledAtMs - options.lagMs) {
      kept.shift();
    }
    publish(engineAt, engine.takeChanges(), engine.latestSeq());
    timeline.schedule(sampledAtMs + REPORT_INTERVAL_MS, () => sample(engineAt));
  }

  function publish(engineAt: number, events: CacheBlockEvent[], latestSeq: number): void {
    const { cache } = policy;
    if (cache === undefined || events.length === 0) return;
    const oldestSeq = events[0]?.seq ?? 1;
    timeline.schedule(timeline.nowMs() + options.lagMs, () => {
      const view = cache.viewOf(engineIdOf(engineAt));
      const effect = view.onEvents({ events, oldestSeq, latestSeq }, timeline.nowMs());
      // The engines start empty, so the first snapshot is empty and the batch follows it.
      if (effect.kind === 'fetch_snapshot') {
        view.onSnapshot({ asOfSeq: oldestSeq - 1, blockKeys: [] });
        view.onEvents({ events, oldestSeq, latestSeq }, timeline.nowMs());
      }
    });
  }

  function reportOf(engineAt: number): ObservedReport | undefined {
    const visibleAtMs = timeline.nowMs() - options.lagMs;
    return reports[engineAt]?.findLast((report) => report.sampledAtMs <= visibleAtMs);
  }

  function arrive(): void {
    const nowMs = timeline.nowMs();
    const arrival = nextArrival();
    const engineIndices = engineAtsByModel[arrival.modelIndex] ?? [];
    const engineAt = policy.choose({
      arrival,
      engineIndices,
      reportOf,
      nowMs,
      random: choiceRandom,
    });
    const sent = policy.onSent(engineAt, arrival, nowMs);
    const isMeasured = nowMs >= options.warmUpMs;
    engines[engineAt]?.submit({
      promptTokens: arrival.promptTokens,
      blockKeys: arrival.blockKeys,
      outputTokens: arrival.outputTokens,
      priority: arrival.priority,
      onFirstToken: (atMs, cachedTokens) => {
        sent.onFirstToken(atMs);
        if (!isMeasured) return;
        ttfts.push(atMs - nowMs);
        sharedTokens += arrival.sharedTokens;
        hitTokens += Math.min(cachedTokens, arrival.sharedTokens);
      },
      onEnd: (atMs) => sent.onEnd(atMs, arrival.outputTokens),
    });
    timeline.schedule(nowMs + exponential(gapMs, random), arrive);
  }

  seedStreams();
  engines.forEach((_, at) =>
    timeline.schedule((REPORT_INTERVAL_MS * at) / engines.length, () => sample(at)),
  );
  timeline.schedule(0, arrive);
  timeline.runUntil(endMs);
  const arrivals = Array.from({ length: TIMED_DECISIONS }, nextArrival);
  const decisionUs = policy.timeDecisions?.(arrivals, reportOf, endMs, choiceRandom) ?? [];
  return {
    ttftP50Ms: percentile(ttfts, 0.5),
    ttftP95Ms: percentile(ttfts, 0.95),
    prefixHitRatio: sharedTokens === 0 ? 0 : hitTokens / sharedTokens,
    decisionUs,
  };
}
