import { loadHashFunctions } from '@mimosamill/adapters';
import { createRandom, exponential, intBelow, percentile, round } from '../random';
import { createTimeline } from '../timeline';
import { createQuotaFleet } from './nodes';
import type { Quota, Permit } from '@mimosamill/core';
import type { MeasureOptions, Measurement, MeasureResult } from '../measurement';
import type { QuotaFleet } from './nodes';

const NODES = 340;
const REGIONS = 3;
const CUSTOMER_QUOTA: Quota = { requestsPerSec: 50, tokensPerSec: 20_000, streams: 200 };
const ORDINARY_CUSTOMERS = 30;
const ORDINARY_RATIO = 0.3;
/** Customers that ask for three times their limit, from places that move. */
const HEAVY_CUSTOMERS = 6;
const HEAVY_RATIO = 3;
const RELOCATION_INTERVAL_MS = 15_000;
/** Nodes that a heavy customer's connections reach at a time. */
const HEAVY_NODE_COUNTS = [10, 40, 113, 340];
const TOKENS_PER_REQUEST = 300;
const STREAM_DURATION_MS = 3_000;
/** Every third heavy customer has long outputs, so that tokens are its limit. */
const LONG_TOKENS = 1_000;
const LONG_STREAM_DURATION_MS = 8_000;
const TOKEN_PERIOD_MS = 1_000;
const WINDOW_SEC = 5;
const PHASE_END_SEC = {
  warmUp: 10,
  steady: 50,
  cut: 70,
  healed: 80,
  stopped: 90,
  end: 105,
} as const;
const ISOLATED_RATIO = 0.4;

interface SecondUsage {
  offered: number;
  requests: number;
  tokens: number;
  streams: number;
}

interface CustomerUsage {
  readonly seconds: SecondUsage[];
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
  const usages = new Map<string, CustomerUsage>();
  const fleet = createQuotaFleet({
    nodeCount: NODES,
    regionCount: REGIONS,
    timeline,
    random: createRandom(seed + 1),
    hash: hash32,
    limitOf: () => CUSTOMER_QUOTA,
  });

  function usageOf(customer: string): CustomerUsage {
    const known = usages.get(customer);
    if (known !== undefined) return known;
    const created: CustomerUsage = { seconds: [], streams: 0 };
    usages.set(customer, created);
    return created;
  }

  function secondOf(usage: CustomerUsage): SecondUsage {
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

  function stream(nodeAt: number, usage: CustomerUsage, permit: Permit, isLong: boolean): void {
    const lengthMs = isLong ? LONG_STREAM_DURATION_MS : STREAM_DURATION_MS;
    const tokens = isLong ? LONG_TOKENS : TOKENS_PER_REQUEST;
    const steps = lengthMs / TOKEN_PERIOD_MS;
    const startedAtMs = timeline.nowMs();
    for (let step = 1; step <= steps; step += 1) {
      timeline.schedule(startedAtMs + step * TOKEN_PERIOD_MS, () => {
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
      timeline.schedule(timeline.nowMs() + exponential(1_000 / rate, random), next);
    };
    timeline.schedule(exponential(1_000 / rate, random), next);
  }

  /** A heavy customer's connections move to other nodes, sometimes all of one region. */
  function createMovingNodes(heavyAt: number): () => number {
    let nodeAts: number[] = [];
    const shift = (): void => {
      const count = HEAVY_NODE_COUNTS[intBelow(HEAVY_NODE_COUNTS.length, random)] ?? NODES;
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
      const delayMs = isFirst
        ? (RELOCATION_INTERVAL_MS * (heavyAt + 1)) / HEAVY_CUSTOMERS
        : RELOCATION_INTERVAL_MS;
      timeline.schedule(timeline.nowMs() + delayMs, shift);
    };
    shift();
    return () => nodeAts[intBelow(nodeAts.length, random)] ?? 0;
  }

  for (let at = 0; at < ORDINARY_CUSTOMERS; at += 1) {
    const rate = CUSTOMER_QUOTA.requestsPerSec * ORDINARY_RATIO;
    arrivals(`ordinary-${at}`, rate, () => intBelow(NODES, random), false);
  }
  for (let at = 0; at < HEAVY_CUSTOMERS; at += 1) {
    const rate = CUSTOMER_QUOTA.requestsPerSec * HEAVY_RATIO;
    arrivals(`heavy-${at}`, rate, createMovingNodes(at), at % 3 === 2);
  }
  scheduleFaults(fleet, timeline.schedule);
  timeline.runUntil(PHASE_END_SEC.end * 1_000);
  return summarise(usages, fleet);
}

/** Cuts off 40% of one region, then restarts nodes that allocate for heavy customers. */
function scheduleFaults(fleet: QuotaFleet, at: (atMs: number, fn: () => void) => void): void {
  const region = Array.from({ length: NODES }, (_, nodeAt) => nodeAt).filter(
    (nodeAt) => fleet.regionOf(nodeAt) === 0,
  );
  at(PHASE_END_SEC.steady * 1_000, () =>
    fleet.isolate(region.slice(0, region.length * ISOLATED_RATIO)),
  );
  at(PHASE_END_SEC.cut * 1_000, fleet.heal);
  const allocators = (): number[] =>
    Array.from({ length: HEAVY_CUSTOMERS }, (_, heavyAt) =>
      fleet.allocatorOf(`heavy-${heavyAt}`, heavyAt % REGIONS),
    );
  at(PHASE_END_SEC.healed * 1_000, () => {
    const stopped = allocators();
    fleet.stop(stopped);
    at(PHASE_END_SEC.stopped * 1_000, () => fleet.restart(stopped));
  });
}

function summarise(usages: ReadonlyMap<string, CustomerUsage>, fleet: QuotaFleet): MeasureResult {
  const { warmUp, steady, cut, healed, end } = PHASE_END_SEC;
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

function sumWindow(usage: CustomerUsage, from: number): SecondUsage {
  const sum: SecondUsage = { offered: 0, requests: 0, tokens: 0, streams: 0 };
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
function overshoot(usage: CustomerUsage, from: number, to: number): number[] {
  const ratios: number[] = [];
  for (let at = from; at + WINDOW_SEC <= to; at += 1) {
    const window = sumWindow(usage, at);
    ratios.push(
      Math.max(
        window.requests / (CUSTOMER_QUOTA.requestsPerSec * WINDOW_SEC),
        window.tokens / (CUSTOMER_QUOTA.tokensPerSec * WINDOW_SEC),
        window.streams / CUSTOMER_QUOTA.streams,
      ),
    );
  }
  return ratios;
}

/** What was refused although no limit was reached, as a part of what could have been served. */
function undershoot(usage: CustomerUsage, from: number, to: number): number[] {
  const ratios: number[] = [];
  for (let at = from; at + WINDOW_SEC <= to; at += 1) {
    const window = sumWindow(usage, at);
    const used = Math.max(
      window.requests / Math.min(window.offered, CUSTOMER_QUOTA.requestsPerSec * WINDOW_SEC),
      window.tokens / (CUSTOMER_QUOTA.tokensPerSec * WINDOW_SEC),
      window.streams / CUSTOMER_QUOTA.streams,
    );
    if (window.offered > 0) ratios.push(Math.max(0, 1 - used));
  }
  return ratios;
}
