import { loadavg } from 'node:os';
import { linearRegression } from 'simple-statistics';
import { measureUsage, round, startNodeFleet, wait } from '../member/fleet';
import { CONTROL_BUDGET, DESIGN_SCALE } from './scale';
import type { NodeFleet, NodeFleetSpec, Usage } from '../member/fleet';
import type { Measurement, MeasureOptions, MeasureResult } from './measurement';

const SETTLE_MS = 11_000;
const STEADY_MS = 10_000;
const FULL_SETTLE_MS = 30_000;
const FULL_STEADY_MS = 60_000;
/** Nodes of the fleets that vary engines or streams. */
const BASE_NODES = 12;
const TOKENS_PER_SEC_PER_STREAM = 1_000 / 33;

/** What one node meets at full scale. */
const FULL_SCALE = {
  nodes: DESIGN_SCALE.nodes,
  enginesPerRegion: DESIGN_SCALE.engines / DESIGN_SCALE.regions,
  // Two routers read each engine once a second.
  readsPerSec: (2 * DESIGN_SCALE.engines) / DESIGN_SCALE.nodes,
  tokensPerSec: DESIGN_SCALE.tokensPerSec / DESIGN_SCALE.nodes,
  customers: DESIGN_SCALE.customers,
} as const;

type CaseName =
  | 'idle'
  | 'idleStreams'
  | 'idleCustomers'
  | 'nodes8'
  | 'nodes16'
  | 'nodes32'
  | 'base'
  | 'engines100'
  | 'engines200'
  | 'engines200Read'
  | 'streams12'
  | 'streams36'
  | 'streams36Flush100'
  | 'customers'
  | 'all';

interface CaseUsage extends Usage {
  readonly liveMb: number;
}

type Usages = Readonly<Record<CaseName, CaseUsage>>;

/** What the duties for other routers cost, by what they grow with. */
export const controlMeasurement: Measurement = {
  name: 'control',
  summary: 'CPU, bytes and memory of the control plane per node, engine, stream and customer',
  run: measure,
};

async function measure({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const node = (nodes: number, extra: Partial<NodeFleetSpec> = {}): NodeFleetSpec => ({
    binary: 'bench-node',
    nodes,
    seed,
    engines: 0,
    streams: 0,
    customers: 0,
    ...extra,
  });
  const idle = (extra: Partial<NodeFleetSpec> = {}): NodeFleetSpec =>
    node(4, { binary: 'bench-idle', ...extra });
  const first = await runCases(
    {
      idle: idle(),
      idleStreams: idle({ streams: 36 }),
      idleCustomers: idle({ customers: FULL_SCALE.customers }),
      nodes8: node(8),
      nodes16: node(16),
      nodes32: node(32),
      customers: node(4, { customers: FULL_SCALE.customers }),
    },
    isFull,
  );
  const loads = await startNodeFleet(idle({ nodes: 1 }));
  const [loadServer = ''] = loads.addresses;
  const second = await runCases(
    {
      base: node(BASE_NODES),
      engines100: node(BASE_NODES, { engines: 100 }),
      engines200: node(BASE_NODES, { engines: 200 }),
      engines200Read: node(BASE_NODES, { engines: 200, loadServer }),
      streams12: node(BASE_NODES, { streams: 12 }),
      streams36: node(BASE_NODES, { streams: 36 }),
      streams36Flush100: node(BASE_NODES, { streams: 36, flushIntervalMs: 100 }),
      all: node(BASE_NODES, { engines: 200, streams: 36, customers: FULL_SCALE.customers }),
    },
    isFull,
  );
  await loads.stop();
  return report({ ...first, ...second } as Usages);
}

/** Runs fleets side by side and measures them over the same window. */
async function runCases(
  specs: Partial<Record<CaseName, NodeFleetSpec>>,
  isFull: boolean,
): Promise<Partial<Record<CaseName, CaseUsage>>> {
  const fleets = new Map<string, NodeFleet>();
  try {
    for (const [name, spec] of Object.entries(specs)) fleets.set(name, await startNodeFleet(spec));
    await wait(isFull ? FULL_SETTLE_MS : SETTLE_MS);
    const fromMs = Date.now();
    await wait(isFull ? FULL_STEADY_MS : STEADY_MS);
    const toMs = Date.now();
    const usages = await Promise.all(
      [...fleets].map(async ([name, fleet]) => {
        const usage = measureUsage(fleet, fromMs, toMs);
        return [name, { ...usage, liveMb: await fleet.liveMb() }];
      }),
    );
    return Object.fromEntries(usages) as Partial<Record<CaseName, CaseUsage>>;
  } finally {
    await Promise.all([...fleets.values()].map((fleet) => fleet.stop()));
  }
}

interface Cost {
  readonly cpuRatio: number;
  readonly outBytesPerSec: number;
  readonly inBytesPerSec: number;
  /** Memory in use after a collection; resident memory also has room for garbage. */
  readonly liveMb: number;
}

function report(usages: Usages): MeasureResult {
  const perNode = slope([
    [8, usages.nodes8],
    [16, usages.nodes16],
    [32, usages.nodes32],
  ]);
  const perEngine = slope([
    [0, usages.base],
    [100, usages.engines100],
    [200, usages.engines200],
  ]);
  const perStream = slope([
    [0, usages.base],
    [12, usages.streams12],
    [36, usages.streams36],
  ]);
  // The streams themselves cost the idle router something too, which is no control duty.
  const ownStream = divide(subtract(usages.idleStreams, usages.idle), 36);
  const streamControl = subtractCost(perStream, ownStream);
  const readsPerSec = (2 * 200) / BASE_NODES;
  const perRead = divide(subtract(usages.engines200Read, usages.engines200), readsPerSec);
  const perCustomer = divide(subtract(usages.idleCustomers, usages.idle), FULL_SCALE.customers);
  const fixed = subtract(usages.base, usages.idle);
  const grown = sum([
    fixed,
    scale(perNode, FULL_SCALE.nodes - BASE_NODES),
    scale(perEngine, FULL_SCALE.enginesPerRegion),
    scale(perRead, FULL_SCALE.readsPerSec),
    scale(streamControl, FULL_SCALE.tokensPerSec / TOKENS_PER_SEC_PER_STREAM),
    scale(perCustomer, FULL_SCALE.customers),
  ]);
  // CPU goes with the number of messages, which neither nodes nor streams raise; the case with
  // everything at once has as many messages a node as full scale.
  const cpuRatio =
    usages.all.cpuRatio - usages.idleStreams.cpuRatio + FULL_SCALE.readsPerSec * perRead.cpuRatio;
  const total: Cost = { ...grown, cpuRatio };
  return {
    load_average: round(loadavg()[0] ?? 0, 1),
    usage_by_case: Object.fromEntries(
      Object.entries(usages).map(([name, usage]) => [
        name,
        { ...formatCost(toCost(usage)), rss_mb: round(usage.rssMb, 1) },
      ]),
    ),
    fixed_at_12_nodes: formatCost(fixed),
    per_node: formatCost(perNode),
    per_engine_of_region: formatCost(perEngine),
    per_load_read_per_sec: formatCost(perRead),
    per_stream_of_30_tokens_per_sec: formatCost(streamControl),
    per_customer: formatCost(perCustomer),
    full_scale: formatCost(total),
    // Resident memory with the engines of a region, the streams and the customers of full scale.
    rss_mb_whole_process: round(usages.all.rssMb, 1),
    rss_mb_without_duties: round(usages.idle.rssMb, 1),
    rss_mb_increment: round(usages.all.rssMb - usages.idleStreams.rssMb, 1),
    budget: {
      cpu_ratio: CONTROL_BUDGET.cpuPercent / 100,
      rss_mb: CONTROL_BUDGET.memoryMb,
      bytes_per_sec: CONTROL_BUDGET.kilobytesPerSec * 1_024,
    },
  };
}

function toCost({ cpuRatio, outBytesPerSec, inBytesPerSec, liveMb }: CaseUsage): Cost {
  return { cpuRatio, outBytesPerSec, inBytesPerSec, liveMb };
}

function combine(a: Cost, b: Cost, fn: (x: number, y: number) => number): Cost {
  return {
    cpuRatio: fn(a.cpuRatio, b.cpuRatio),
    outBytesPerSec: fn(a.outBytesPerSec, b.outBytesPerSec),
    inBytesPerSec: fn(a.inBytesPerSec, b.inBytesPerSec),
    liveMb: fn(a.liveMb, b.liveMb),
  };
}

function subtract(a: CaseUsage, b: CaseUsage): Cost {
  return subtractCost(toCost(a), toCost(b));
}

function subtractCost(a: Cost, b: Cost): Cost {
  return combine(a, b, (x, y) => x - y);
}

function divide(cost: Cost, by: number): Cost {
  return combine(cost, cost, (x) => x / by);
}

function scale(cost: Cost, by: number): Cost {
  return combine(cost, cost, (x) => x * by);
}

function sum(costs: readonly Cost[]): Cost {
  const zero: Cost = { cpuRatio: 0, outBytesPerSec: 0, inBytesPerSec: 0, liveMb: 0 };
  return costs.reduce((total, cost) => combine(total, cost, (x, y) => x + y), zero);
}

/** Cost per unit, by least squares. */
function slope(points: readonly (readonly [number, CaseUsage])[]): Cost {
  const fit = (pick: (cost: Cost) => number): number =>
    linearRegression(points.map(([x, usage]) => [x, pick(toCost(usage))])).m;
  return {
    cpuRatio: fit(({ cpuRatio }) => cpuRatio),
    outBytesPerSec: fit(({ outBytesPerSec }) => outBytesPerSec),
    inBytesPerSec: fit(({ inBytesPerSec }) => inBytesPerSec),
    liveMb: fit(({ liveMb }) => liveMb),
  };
}

function formatCost({ cpuRatio, outBytesPerSec, inBytesPerSec, liveMb }: Cost) {
  return {
    cpu_ratio: round(cpuRatio, 7),
    out_bytes_per_sec: round(outBytesPerSec, 2),
    in_bytes_per_sec: round(inBytesPerSec, 2),
    live_mb: round(liveMb, 5),
  };
}
