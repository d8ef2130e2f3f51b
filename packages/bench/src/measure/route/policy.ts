import { createPrefixCacheViews, createEnginePicker } from '@mimosamill/core';
import { intBelow } from '../random';
import { BLOCK_TOKENS, PREFILL_TOKENS_PER_MS } from './engine';
import type {
  PrefixCacheViews,
  EngineId,
  FailureDomain,
  Hash32,
  LoadReport,
  EnginePicker,
  Region,
  RouteEngine,
  RoutedRequest,
} from '@mimosamill/core';
import type { Random } from '../random';
import type { Arrival } from './workload';

/** A report as one router sees it. */
export interface ObservedReport {
  /** The age is set whenever the report is read. */
  readonly load: { -readonly [key in keyof LoadReport]: LoadReport[key] };
  readonly sampledAtMs: number;
}

/** Engines of the arrival's model, with the reports that are visible now. */
export interface RoutingInput {
  readonly arrival: Arrival;
  readonly engineIndices: readonly number[];
  readonly reportOf: (engineAt: number) => ObservedReport | undefined;
  readonly nowMs: number;
  readonly random: Random;
}

export interface SentRequestObserver {
  readonly onFirstToken: (nowMs: number) => void;
  readonly onEnd: (nowMs: number, tokens: number) => void;
}

export interface Policy {
  /** Index of an engine. */
  readonly choose: (choice: RoutingInput) => number;
  readonly onSent: (engineAt: number, arrival: Arrival, nowMs: number) => SentRequestObserver;
  readonly cache?: PrefixCacheViews;
  /** Durations in microseconds of decisions by one router that has seen every report. */
  readonly timeDecisions?: (
    arrivals: readonly Arrival[],
    reportOf: RoutingInput['reportOf'],
    nowMs: number,
    random: Random,
  ) => number[];
}

export type PolicyName = 'random' | 'round_robin' | 'least_reported' | 'two_choices' | 'picker';

const IGNORE_SENT_REQUEST: SentRequestObserver = {
  onFirstToken: () => undefined,
  onEnd: () => undefined,
};

export function engineIdOf(at: number): EngineId {
  return `e${at}` as EngineId;
}

export function createPolicy(
  name: PolicyName,
  engines: readonly RouteEngine[],
  routerCount: number,
  hash: Hash32,
): Policy {
  switch (name) {
    case 'random':
      return createBaselinePolicy(
        ({ engineIndices, random }) => engineIndices[intBelow(engineIndices.length, random)],
      );
    case 'round_robin':
      return createRoundRobinPolicy();
    case 'least_reported':
      return createBaselinePolicy(chooseLeastReported);
    case 'two_choices':
      return createBaselinePolicy((choice) => {
        const { engineIndices: engineAts, random } = choice;
        const first = engineAts[intBelow(engineAts.length, random)] ?? 0;
        const second = engineAts[intBelow(engineAts.length, random)] ?? 0;
        return reportedRequestCount(choice, first) <= reportedRequestCount(choice, second)
          ? first
          : second;
      });
    default:
      return createPickerPolicy(engines, routerCount, hash);
  }
}

function createBaselinePolicy(choose: (choice: RoutingInput) => number | undefined): Policy {
  return { choose: (choice) => choose(choice) ?? 0, onSent: () => IGNORE_SENT_REQUEST };
}

/** Every router keeps its own position per model. */
function createRoundRobinPolicy(): Policy {
  const positions = new Map<number, number>();
  return createBaselinePolicy(({ arrival, engineIndices, random }) => {
    const key = arrival.routerIndex * 100 + arrival.modelIndex;
    const position = positions.get(key) ?? intBelow(engineIndices.length, random);
    positions.set(key, position + 1);
    return engineIndices[position % engineIndices.length];
  });
}

function reportedRequestCount(choice: RoutingInput, engineAt: number): number {
  const report = choice.reportOf(engineAt);
  return report === undefined ? 0 : report.load.running + report.load.queued;
}

/** Ties are broken at random, so that a quiet fleet is not a herd. */
function chooseLeastReported(choice: RoutingInput): number | undefined {
  let best: number | undefined;
  let bestLoad = Infinity;
  let ties = 0;
  for (const engineAt of choice.engineIndices) {
    const load = reportedRequestCount(choice, engineAt);
    if (load > bestLoad) continue;
    ties = load === bestLoad ? ties + 1 : 1;
    if (load < bestLoad || choice.random() * ties < 1) best = engineAt;
    bestLoad = load;
  }
  return best;
}

function createPickerPolicy(
  engines: readonly RouteEngine[],
  routerCount: number,
  hash: Hash32,
): Policy {
  const cache = createPrefixCacheViews();
  const engineIds = engines.map((engine) => engine.engineId);
  const pickers = Array.from({ length: routerCount }, () => {
    const picker: EnginePicker = createEnginePicker(
      {
        region: 'r0' as Region,
        failureDomain: 'd0' as FailureDomain,
        hash,
        blockTokens: BLOCK_TOKENS,
        prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
        ownDomainRoundTripMs: 0.5,
        ownRegionRoundTripMs: 1,
        otherRegionRoundTripMs: 40,
        ejectedMaxRatio: () => 0.3,
      },
      cache,
    );
    picker.setEngines(engines);
    return { picker, seenAtMs: new Float64Array(engines.length).fill(-1) };
  });

  function requestOf(arrival: Arrival) {
    return {
      model: `m${arrival.modelIndex}`,
      version: 'v1',
      adapter: '',
      priority: arrival.priority,
      promptTokens: arrival.promptTokens,
      blockKeys: arrival.blockKeys,
      excluded: new Set<EngineId>(),
    };
  }

  function timeDecisions(
    arrivals: readonly Arrival[],
    reportOf: RoutingInput['reportOf'],
    nowMs: number,
    random: Random,
  ): number[] {
    const picker = pickers[0]?.picker;
    if (picker === undefined) return [];
    engines.forEach((engine, engineAt) => {
      const report = reportOf(engineAt);
      if (report === undefined) return;
      report.load.reportAgeMs = nowMs - report.sampledAtMs;
      picker.onLoad(engine.engineId, report.load, nowMs);
    });
    return arrivals.map((arrival) => {
      const request = requestOf(arrival);
      const startedAt = performance.now();
      picker.pick(request, nowMs, random);
      return (performance.now() - startedAt) * 1_000;
    });
  }

  return {
    cache,
    timeDecisions,
    choose: ({ arrival, engineIndices, reportOf, nowMs, random }) => {
      const entry = pickers[arrival.routerIndex];
      if (entry === undefined) return 0;
      // Reports of other models' engines have no part in this decision and are left for later.
      for (const engineAt of engineIndices) {
        const report = reportOf(engineAt);
        if (report === undefined || entry.seenAtMs[engineAt] === report.sampledAtMs) continue;
        entry.seenAtMs[engineAt] = report.sampledAtMs;
        report.load.reportAgeMs = nowMs - report.sampledAtMs;
        entry.picker.onLoad(engineIds[engineAt] ?? engineIdOf(engineAt), report.load, nowMs);
      }
      const request = requestOf(arrival);
      const outcome = entry.picker.pick(request, nowMs, random);
      return outcome.kind === 'ok' ? Number(outcome.engineId.slice(1)) : 0;
    },
    onSent: (engineAt, arrival, nowMs) => {
      const picker = pickers[arrival.routerIndex]?.picker;
      if (picker === undefined) return IGNORE_SENT_REQUEST;
      const send: RoutedRequest = picker.onSent(engineIdOf(engineAt), requestOf(arrival), nowMs);
      return {
        onFirstToken: (atMs) => picker.onFirstToken(send, atMs),
        onEnd: (atMs, tokens) => picker.onEnd(send, 'ok', atMs, tokens),
      };
    },
  };
}
