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
export interface SeenReport {
  /** The age is set whenever the report is read. */
  readonly load: { -readonly [key in keyof LoadReport]: LoadReport[key] };
  readonly sampledAtMs: number;
}

/** Engines of the arrival's model, with the reports that are visible now. */
export interface Choice {
  readonly arrival: Arrival;
  readonly engineAts: readonly number[];
  readonly reportOf: (engineAt: number) => SeenReport | undefined;
  readonly nowMs: number;
  readonly random: Random;
}

export interface Sent {
  readonly onFirstToken: (nowMs: number) => void;
  readonly onEnd: (nowMs: number, tokens: number) => void;
}

export interface Policy {
  /** Index of an engine. */
  readonly choose: (choice: Choice) => number;
  readonly onSent: (engineAt: number, arrival: Arrival, nowMs: number) => Sent;
  readonly cache?: PrefixCacheViews;
  /** Durations in microseconds of decisions by one router that has seen every report. */
  readonly timeDecisions?: (
    arrivals: readonly Arrival[],
    reportOf: Choice['reportOf'],
    nowMs: number,
    random: Random,
  ) => number[];
}

export type PolicyName = 'random' | 'round_robin' | 'least_reported' | 'two_choices' | 'picker';

const NO_SENT: Sent = { onFirstToken: () => undefined, onEnd: () => undefined };

export function engineIdAt(at: number): EngineId {
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
      return baseline(({ engineAts, random }) => engineAts[intBelow(engineAts.length, random)]);
    case 'round_robin':
      return createRoundRobin();
    case 'least_reported':
      return baseline(leastReported);
    case 'two_choices':
      return baseline((choice) => {
        const { engineAts, random } = choice;
        const first = engineAts[intBelow(engineAts.length, random)] ?? 0;
        const second = engineAts[intBelow(engineAts.length, random)] ?? 0;
        return reported(choice, first) <= reported(choice, second) ? first : second;
      });
    default:
      return createPickers(engines, routerCount, hash);
  }
}

function baseline(choose: (choice: Choice) => number | undefined): Policy {
  return { choose: (choice) => choose(choice) ?? 0, onSent: () => NO_SENT };
}

/** Every router keeps its own position per model. */
function createRoundRobin(): Policy {
  const positions = new Map<number, number>();
  return baseline(({ arrival, engineAts, random }) => {
    const key = arrival.routerAt * 100 + arrival.modelAt;
    const position = positions.get(key) ?? intBelow(engineAts.length, random);
    positions.set(key, position + 1);
    return engineAts[position % engineAts.length];
  });
}

function reported(choice: Choice, engineAt: number): number {
  const report = choice.reportOf(engineAt);
  return report === undefined ? 0 : report.load.running + report.load.queued;
}

/** Ties are broken at random, so that a quiet fleet is not a herd. */
function leastReported(choice: Choice): number | undefined {
  let best: number | undefined;
  let bestLoad = Infinity;
  let ties = 0;
  for (const engineAt of choice.engineAts) {
    const load = reported(choice, engineAt);
    if (load > bestLoad) continue;
    ties = load === bestLoad ? ties + 1 : 1;
    if (load < bestLoad || choice.random() * ties < 1) best = engineAt;
    bestLoad = load;
  }
  return best;
}

function createPickers(engines: readonly RouteEngine[], routerCount: number, hash: Hash32): Policy {
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
      model: `m${arrival.modelAt}`,
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
    reportOf: Choice['reportOf'],
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
    choose: ({ arrival, engineAts, reportOf, nowMs, random }) => {
      const entry = pickers[arrival.routerAt];
      if (entry === undefined) return 0;
      // Reports of other models' engines have no part in this decision and are left for later.
      for (const engineAt of engineAts) {
        const report = reportOf(engineAt);
        if (report === undefined || entry.seenAtMs[engineAt] === report.sampledAtMs) continue;
        entry.seenAtMs[engineAt] = report.sampledAtMs;
        report.load.reportAgeMs = nowMs - report.sampledAtMs;
        entry.picker.onLoad(engineIds[engineAt] ?? engineIdAt(engineAt), report.load, nowMs);
      }
      const request = requestOf(arrival);
      const outcome = entry.picker.pick(request, nowMs, random);
      return outcome.kind === 'ok' ? Number(outcome.engineId.slice(1)) : 0;
    },
    onSent: (engineAt, arrival, nowMs) => {
      const picker = pickers[arrival.routerAt]?.picker;
      if (picker === undefined) return NO_SENT;
      const send: RoutedRequest = picker.onSent(engineIdAt(engineAt), requestOf(arrival), nowMs);
      return {
        onFirstToken: (atMs) => picker.onFirstToken(send, atMs),
        onEnd: (atMs, tokens) => picker.onEnd(send, 'ok', atMs, tokens),
      };
    },
  };
}
