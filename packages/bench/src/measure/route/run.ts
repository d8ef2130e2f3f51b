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
  /** Rate of arrivals relative to the capacity of the engines. */
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

/** Interval at which engines report their load and publish cache events. */
const REPORT_INTERVAL_MS = 200;
const TIMED_DECISIONS = 20_000;
/** Time per token of a full batch, from which the capacity of an engine is computed. */
const FULL_BATCH_STEP_MS = 33.2;
const ENGINE_CAPACITY_PER_SEC =
  (MAX_RUNNING * 1_000) / (MEAN_OUTPUT_TOKENS * FULL_BATCH_STEP_MS + 1_500 / PREFILL_TOKENS_PER_MS);

export function simulateRouting(options: RoutingRunOptions): RoutingRunResult {
  const random = createRandom(options.seed);
  const policyRandom = createRandom(options.seed + 1);
  const timeline = createTimeline();
  const nextArrival = createArrivalGenerator(options.routerCount, random);
  const engineIndicesByModel: number[][] = [];
  const engines = engineCountsByModel().flatMap((count, modelIndex) => {
    const firstIndex = engineIndicesByModel.flat().length;
    engineIndicesByModel.push(Array.from({ length: count }, (_, index) => firstIndex + index));
    return Array.from({ length: count }, () => createSimulatedEngine(`m${modelIndex}`, timeline));
  });
  const directory: RouteEngine[] = engines.map((_, index) => ({
    engineId: engineIdOf(index),
    service: `s${engineIndicesByModel.findIndex((indices) => indices.includes(index))}`,
    region: 'r0' as Region,
    failureDomain: `d${index % 3}` as FailureDomain,
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

  function startInitialStreams(): void {
    const mean = options.loadRatio * MAX_RUNNING * 0.9;
    engines.forEach((engine) => {
      const count = Math.min(MAX_RUNNING, Math.round(mean + (random() - 0.5) * 8));
      for (let n = 0; n < count; n += 1) engine.addRunningStream(residualTokens(random));
    });
  }

  function sample(engineIndex: number): void {
    const engine = engines[engineIndex];
    const engineReports = reports[engineIndex];
    if (engine === undefined || engineReports === undefined) return;
    const sampledAtMs = timeline.nowMs();
    engineReports.push({ sampledAtMs, load: { ...engine.report(), reportAgeMs: 0 } });
    while (
      engineReports.length > 2 &&
      (engineReports[1]?.sampledAtMs ?? 0) <= sampledAtMs - options.lagMs
    ) {
      engineReports.shift();
    }
    publish(engineIndex, engine.takeChanges(), engine.latestSeq());
    timeline.schedule(sampledAtMs + REPORT_INTERVAL_MS, () => sample(engineIndex));
  }

  function publish(engineIndex: number, events: CacheBlockEvent[], latestSeq: number): void {
    const { cache } = policy;
    if (cache === undefined || events.length === 0) return;
    const oldestSeq = events[0]?.seq ?? 1;
    timeline.schedule(timeline.nowMs() + options.lagMs, () => {
      const view = cache.viewOf(engineIdOf(engineIndex));
      const effect = view.onEvents({ events, oldestSeq, latestSeq }, timeline.nowMs());
      // The caches start empty, so the first snapshot is empty and this batch follows it directly.
      if (effect.kind === 'fetch_snapshot') {
        view.onSnapshot({ asOfSeq: oldestSeq - 1, blockKeys: [] });
        view.onEvents({ events, oldestSeq, latestSeq }, timeline.nowMs());
      }
    });
  }

  function reportOf(engineIndex: number): ObservedReport | undefined {
    const visibleAtMs = timeline.nowMs() - options.lagMs;
    return reports[engineIndex]?.findLast((report) => report.sampledAtMs <= visibleAtMs);
  }

  function arrive(): void {
    const nowMs = timeline.nowMs();
    const arrival = nextArrival();
    const engineIndices = engineIndicesByModel[arrival.modelIndex] ?? [];
    const engineIndex = policy.choose({
      arrival,
      engineIndices,
      reportOf,
      nowMs,
      random: policyRandom,
    });
    const sent = policy.onSent(engineIndex, arrival, nowMs);
    const isMeasured = nowMs >= options.warmUpMs;
    engines[engineIndex]?.submit({
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

  startInitialStreams();
  engines.forEach((_, index) =>
    timeline.schedule((REPORT_INTERVAL_MS * index) / engines.length, () => sample(index)),
  );
  timeline.schedule(0, arrive);
  timeline.runUntil(endMs);
  const arrivals = Array.from({ length: TIMED_DECISIONS }, nextArrival);
  const decisionUs = policy.timeDecisions?.(arrivals, reportOf, endMs, policyRandom) ?? [];
  return {
    ttftP50Ms: percentile(ttfts, 0.5),
    ttftP95Ms: percentile(ttfts, 0.95),
    prefixHitRatio: sharedTokens === 0 ? 0 : hitTokens / sharedTokens,
    decisionUs,
  };
}
