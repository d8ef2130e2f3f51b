import { loadHashFunctions } from '@mimosamill/adapters';
import { createRandom, exponential, intBelow, percentile, round } from '../random';
import { createTimeline } from '../timeline';
import { createFleet } from './nodes';
import type { Quota, Permit } from '@mimosamill/core';
import type { MeasureOptions, Measurement, MeasureResult } from '../measurement';
import type { Fleet } from './nodes';

const NODES = 340;
const REGIONS = 3;
const LIMIT: Quota = { requestsPerSec: 50, tokensPerSec: 20_000, streams: 200 };
const ORDINARY_CUSTOMERS = 30;
const ORDINARY_RATIO = 0.3;
/** Customers that ask for three times their limit, from places that move. */
const HEAVY_CUSTOMERS = 6;
const HEAVY_RATIO = 3;
const SHIFT_MS = 15_000;
/** Nodes that a heavy customer's connections reach at a time. */
const HEAVY_NODES = [10, 40, 113, 340];
const TOKENS_PER_REQUEST = 300;
const STREAM_MS = 3_000;
/** Every third heavy customer has long outputs, so that tokens are its limit. */
const LONG_TOKENS = 1_000;
const LONG_STREAM_MS = 8_000;
const TOKEN_PERIOD_MS = 1_000;
const WINDOW_SEC = 5;
const PHASES = { warmUp: 10, steady: 50, cut: 70, healed: 80, stopped: 90, end: 105 } as const;
const CUT_RATIO = 0.4;

interface Second {
  offered: number;
  requests: number;
  tokens: number;
  streams: number;
}

interface Usage {
  readonly seconds: Second[];
  streams: number;
}

/** 340 nodes share limits without a counter; demand moves, a part is cut off, nodes restart. */
export const limitsMeasurement: Measurement = {
  name: 'limits',
  summary: 'overshoot and undershoot of fleet-wide limits, and the bytes they cost',
  run: measureLimits,
};

async function measureLimits({ seed }: MeasureOptions): Promise<MeasureResult> {
  const { hash32 } = await loadHashFunctions();
  const random = createRandom(seed);
  const timeline = createTimeline();
  const usages = new Map<string, Usage>();
  const fleet = createFleet({
    nodeCount: NODES,
    regionCount: REGIONS,
    timeline,
    random: createRandom(seed + 1),
    hash: hash32,
    limitOf: () => LIMIT,
  });

  function usageOf(customer: string): Usage {
    const known = usages.get(customer);
    if (known !== undefined) return known;
    const created: Usage = { seconds: [], streams: 0 };
    usages.set(customer, created);
    return created;
  }

  function secondOf(usage: Usage): Second {
    const at = Math.floor(timeline.nowMs() / 1_000);
    const second = usage.seconds[at] ?? { offered: 0, requests: 0, tokens: 0, streams: 0 };
    usage.seconds[at] = second;
    return second;
  }

  function request(customer: string, nodeAt: number, isLong: boolean): void {
    const usage = usageOf(customer);
    secondOf(usage).offered += 1;
    const maxTokens = isLong ? LONG_TOKENS : TOKENS_PER_REQUEST;
    fleet.acquire(nodeAt, customer, maxTokens, (permit) => {
      if (permit === undefined) return;
      const second = secondOf(usage);
      second.requests += 1;
      usage.streams += 1;
      second.streams = Math.max(second.streams, usage.streams);
      stream(nodeAt, usage, permit, isLong);
    });
  }

  function stream(nodeAt: number, usage: Usage, permit: Permit, isLong: boolean): void {
    const lengthMs = isLong ? LONG_STREAM_MS : STREAM_MS;
    const tokens = isLong ? LONG_TOKENS : TOKENS_PER_REQUEST;
    const steps = lengthMs / TOKEN_PERIOD_MS;
    const startedAtMs = timeline.nowMs();
    for (let step = 1; step <= steps; step += 1) {
      timeline.at(startedAtMs + step * TOKEN_PERIOD_MS, () => {
        if (fleet.isUp(nodeAt)) {
          secondOf(usage).tokens += tokens / steps;
          permit.onTokens(tokens / steps, timeline.nowMs());
        }
        if (step < steps) return;
        usage.streams -= 1;
        permit.onEnd(timeline.nowMs());
      });
    }
  }

  function arrivals(customer: string, rate: number, nodeOf: () => number, isLong: boolean): void {
    const next = (): void => {
      request(customer, nodeOf(), isLong);
      timeline.at(timeline.nowMs() + exponential(1_000 / rate, random), next);
    };
    timeline.at(exponential(1_000 / rate, random), next);
  }

  /** A heavy customer's connections move to other nodes, sometimes all of one region. */
  function createMovingNodes(heavyAt: number): () => number {
    let nodeAts: number[] = [];
    const shift = (): void => {
      const count = HEAVY_NODES[intBelow(HEAVY_NODES.length, random)] ?? NODES;
      const region = intBelow(REGIONS + 1, random);
      const eligible = Array.from({ length: NODES }, (_, at) => at).filter(
        (at) => region === REGIONS || fleet.regionOf(at) === region,
      );
      nodeAts = Array.from({ length: Math.min(count, eligible.length) }, () => {
        const at = intBelow(eligible.length, random);
        return eligible.splice(at, 1)[0] ?? 0;
      });
      // The customers' first moves lie apart.
      const isFirst = timeline.nowMs() === 0;
      const delayMs = isFirst ? (SHIFT_MS * (heavyAt + 1)) / HEAVY_CUSTOMERS : SHIFT_MS;
      timeline.at(timeline.nowMs() + delayMs, shift);
    };
    shift();
    return () => nodeAts[intBelow(nodeAts.length, random)] ?? 0;
  }

  for (let at = 0; at < ORDINARY_CUSTOMERS; at += 1) {
    const rate = LIMIT.requestsPerSec * ORDINARY_RATIO;
    arrivals(`ordinary-${at}`, rate, () => intBelow(NODES, random), false);
  }
  for (let at = 0; at < HEAVY_CUSTOMERS; at += 1) {
    const rate = LIMIT.requestsPerSec * HEAVY_RATIO;
    arrivals(`heavy-${at}`, rate, createMovingNodes(at), at % 3 === 2);
  }
  scheduleFaults(fleet, timeline.at);
  timeline.runUntil(PHASES.end * 1_000);
  return summarise(usages, fleet);
}

/** Cuts off 40% of one region, then restarts nodes that allocate for heavy customers. */
function scheduleFaults(fleet: Fleet, at: (atMs: number, fn: () => void) => void): void {
  const region = Array.from({ length: NODES }, (_, nodeAt) => nodeAt).filter(
    (nodeAt) => fleet.regionOf(nodeAt) === 0,
  );
  at(PHASES.steady * 1_000, () => fleet.cut(region.slice(0, region.length * CUT_RATIO)));
  at(PHASES.cut * 1_000, fleet.heal);
  const allocators = (): number[] =>
    Array.from({ length: HEAVY_CUSTOMERS }, (_, heavyAt) =>
      fleet.allocatorOf(`heavy-${heavyAt}`, heavyAt % REGIONS),
    );
  at(PHASES.healed * 1_000, () => {
    const stopped = allocators();
    fleet.stop(stopped);
    at(PHASES.stopped * 1_000, () => fleet.restart(stopped));
  });
}

function summarise(usages: ReadonlyMap<string, Usage>, fleet: Fleet): MeasureResult {
  const { warmUp, steady, cut, healed, end } = PHASES;
  const phases = {
    shifting: [warmUp, steady],
    partition: [steady, cut],
    after_partition: [cut, healed],
    restart: [healed, end],
  } as const;
  const overshoots = Object.fromEntries(
    Object.entries(phases).map(([name, [from, to]]) => [
      name,
      round(Math.max(...[...usages.values()].flatMap((usage) => overshoot(usage, from, to))), 3),
    ]),
  );
  const shortfalls = (from: number, to: number, kind = ''): number[] =>
    [...usages].flatMap(([customer, usage]) =>
      customer.startsWith(kind) ? undershoot(usage, from, to) : [],
    );
  return {
    overshoot_ratio_max: Math.max(...Object.values(overshoots)),
    overshoot_ratio_max_by_phase: overshoots,
    undershoot_ratio_p50: round(percentile(shortfalls(warmUp, end), 0.5), 3),
    undershoot_ratio_p95: round(percentile(shortfalls(warmUp, end), 0.95), 3),
    undershoot_ratio_p95_shifting: round(percentile(shortfalls(warmUp, steady), 0.95), 3),
    undershoot_ratio_p95_heavy: round(percentile(shortfalls(warmUp, end, 'heavy'), 0.95), 3),
    undershoot_ratio_p95_ordinary: round(percentile(shortfalls(warmUp, end, 'ordinary'), 0.95), 3),
    bytes_per_sec_per_node: round(fleet.sentBytes() / end / NODES),
    assumed_http_bytes_per_exchange: 250,
    window_s: WINDOW_SEC,
    nodes: NODES,
  };
}

function windowAt(usage: Usage, from: number): Second {
  const sum: Second = { offered: 0, requests: 0, tokens: 0, streams: 0 };
  for (let at = from; at < from + WINDOW_SEC; at += 1) {
    const second = usage.seconds[at];
    if (second === undefined) continue;
    sum.offered += second.offered;
    sum.requests += second.requests;
    sum.tokens += second.tokens;
    sum.streams = Math.max(sum.streams, second.streams);
  }
  return sum;
}

/** Use over the limit, for the meter that is most over it. */
function overshoot(usage: Usage, from: number, to: number): number[] {
  const ratios: number[] = [];
  for (let at = from; at + WINDOW_SEC <= to; at += 1) {
    const window = windowAt(usage, at);
    ratios.push(
      Math.max(
        window.requests / (LIMIT.requestsPerSec * WINDOW_SEC),
        window.tokens / (LIMIT.tokensPerSec * WINDOW_SEC),
        window.streams / LIMIT.streams,
      ),
    );
  }
  return ratios;
}

/** What was refused although no limit was reached, as a part of what could have been served. */
function undershoot(usage: Usage, from: number, to: number): number[] {
  const ratios: number[] = [];
  for (let at = from; at + WINDOW_SEC <= to; at += 1) {
    const window = windowAt(usage, at);
    const used = Math.max(
      window.requests / Math.min(window.offered, LIMIT.requestsPerSec * WINDOW_SEC),
      window.tokens / (LIMIT.tokensPerSec * WINDOW_SEC),
      window.streams / LIMIT.streams,
    );
    if (window.offered > 0) ratios.push(Math.max(0, 1 - used));
  }
  return ratios;
}
