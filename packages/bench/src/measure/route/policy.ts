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

/** A load report and the time at which the engine made it. */
export interface ObservedReport {
  /** `reportAgeMs` is set whenever a router reads the report. */
  readonly load: { -readonly [key in keyof LoadReport]: LoadReport[key] };
  readonly sampledAtMs: number;
}

/** Input of a decision: the engines of the arrival's model and the reports visible to routers. */
export interface RoutingInput {
  readonly arrival: Arrival;
  readonly engineIndices: readonly number[];
  readonly reportOf: (engineIndex: number) => ObservedReport | undefined;
  readonly nowMs: number;
  readonly random: Random;
}

export interface SentRequestObserver {
  readonly onFirstToken: (nowMs: number) => void;
  readonly onEnd: (nowMs: number, tokens: number) => void;
}

export interface Policy {
  /** Returns the index of the chosen engine. */
  readonly choose: (input: RoutingInput) => number;
  readonly onSent: (engineIndex: number, arrival: Arrival, nowMs: number) => SentRequestObserver;
  readonly cache?: PrefixCacheViews;
  /** Times decisions of one router that has read every report, in microseconds. */
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

export function engineIdOf(index: number): EngineId {
  return `e${index}` as EngineId;
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
      return createBaselinePolicy((input) => {
        const { engineIndices, random } = input;
        const first = engineIndices[intBelow(engineIndices.length, random)] ?? 0;
        const second = engineIndices[intBelow(engineIndices.length, random)] ?? 0;
        return reportedRequestCount(input, first) <= reportedRequestCount(input, second)
          ? first
          : second;
      });
    default:
      return createPickerPolicy(engines, routerCount, hash);
  }
}

function createBaselinePolicy(choose: (input: RoutingInput) => number | undefined): Policy {
  return { choose: (input) => choose(input) ?? 0, onSent: () => IGNORE_SENT_REQUEST };
}

/** Each router keeps its own position per model. */
function createRoundRobinPolicy(): Policy {
  const positions = new Map<number, number>();
  return createBaselinePolicy(({ arrival, engineIndices, random }) => {
    const key = arrival.routerIndex * 100 + arrival.modelIndex;
    const position = positions.get(key) ?? intBelow(engineIndices.length, random);
    positions.set(key, position + 1);
    return engineIndices[position % engineIndices.length];
  });
}

function reportedRequestCount(input: RoutingInput, engineIndex: number): number {
  const report = input.reportOf(engineIndex);
  return report === undefined ? 0 : report.load.running + report.load.queued;
}

/** Breaks ties at random, so that not all routers choose the same one of several idle engines. */
function chooseLeastReported(input: RoutingInput): number | undefined {
  let chosen: number | undefined;
  let lowestLoad = Infinity;
  let ties = 0;
  for (const engineIndex of input.engineIndices) {
    const load = reportedRequestCount(input, engineIndex);
    if (load > lowestLoad) continue;
    ties = load === lowestLoad ? ties + 1 : 1;
    if (load < lowestLoad || input.random() * ties < 1) chosen = engineIndex;
    lowestLoad = load;
  }
  return chosen;
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
    engines.forEach((engine, engineIndex) => {
      const report = reportOf(engineIndex);
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
      // Reports on other models' engines do not affect this decision; a later one reads them.
      for (const engineIndex of engineIndices) {
        const report = reportOf(engineIndex);
        if (report === undefined || entry.seenAtMs[engineIndex] === report.sampledAtMs) continue;
        entry.seenAtMs[engineIndex] = report.sampledAtMs;
        report.load.reportAgeMs = nowMs - report.sampledAtMs;
        entry.picker.onLoad(engineIds[engineIndex] ?? engineIdOf(engineIndex), report.load, nowMs);
      }
      const request = requestOf(arrival);
      const outcome = entry.picker.pick(request, nowMs, random);
      return outcome.kind === 'ok' ? Number(outcome.engineId.slice(1)) : 0;
    },
    onSent: (engineIndex, arrival, nowMs) => {
      const picker = pickers[arrival.routerIndex]?.picker;
      if (picker === undefined) return IGNORE_SENT_REQUEST;
      const send: RoutedRequest = picker.onSent(engineIdOf(engineIndex), requestOf(arrival), nowMs);
      return {
        onFirstToken: (atMs) => picker.onFirstToken(send, atMs),
        onEnd: (atMs, tokens) => picker.onEnd(send, 'ok', atMs, tokens),
      };
    },
  };
}
