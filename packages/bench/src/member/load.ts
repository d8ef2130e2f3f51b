import { asId } from '@mimosamill/core';
import { createRandom } from '@mimosamill/fakes';
import type { CustomerConfig, EngineId, EngineReport } from '@mimosamill/core';

/** Command line of a measured node. */
export interface NodeOptions {
  readonly id: string;
  readonly peer: string;
  readonly region: string;
  readonly domain: string;
  readonly seeds: string;
  readonly seed: string | number;
  readonly engines: string | number;
  readonly streams: string | number;
  readonly customers: string | number;
  /** Address of a server of load reports; empty if the node generates random loads. */
  readonly loads: string;
  /** Flush interval of the journal replicas in milliseconds. */
  readonly flush: string | number;
}

export interface StreamHooks {
  readonly onStart: (streamName: string) => void;
  readonly onToken: (streamName: string, index: number, text: string) => void;
  readonly onEnd: (streamName: string) => void;
}

/** Load that both bench-node and the baseline bench-idle carry. */
export interface NodeLoad {
  readonly engines: readonly EngineId[];
  readonly readLoad: (engineId: EngineId) => Promise<EngineReport>;
  /** Prints CPU time, memory and the given figures every second. */
  readonly report: (
    figures: () => Readonly<Record<string, unknown>>,
    print: (line: Readonly<Record<string, unknown>>) => void,
  ) => void;
}

/** Inter-token latency of 33 ms, as of a stream that just meets its target of 32 ms. */
const TOKEN_INTERVAL_MS = 33;
const STREAM_TOKENS = 600;
const WORDS =
  ' the of and to in is that it was for on are as with his they at be this from have or by one had not but what all were when we there can an your which their said if do will each about how up out them then she many some so these would other into has more her two like him see time could no make than first been its who now people my made over did down only way find use may water long little very after words called just where most know'.split(
    /(?= )/u,
  );

/** Starts simulated streams and builds a simulated configuration. */
export function startLoad(options: NodeOptions, hooks: StreamHooks): NodeLoad {
  const random = createRandom(Number(options.seed) + 1);
  const engines = Array.from({ length: Number(options.engines) }, (_, n) =>
    asId<EngineId>(`${options.region}-engine-${n}`),
  );
  startStreams(Number(options.streams), hooks, random);
  // The report below keeps a reference, so that this memory stays live like a router's replica.
  const customers = createCustomers(Number(options.customers));
  return {
    engines,
    readLoad: (engineId) => Promise.resolve(createReport(engineId, random)),
    report: (figures, print) => {
      process.on('SIGUSR2', () => {
        collectGarbage();
        const { heapUsed, external } = process.memoryUsage();
        print({ event: 'live', bytes: heapUsed + external });
      });
      setInterval(() => {
        const { user, system } = process.cpuUsage();
        print({
          event: 'stats',
          cpuMs: (user + system) / 1_000,
          rssBytes: process.memoryUsage.rss(),
          keys: customers.size,
          ...figures(),
        });
      }, 1_000);
    },
  };
}

function startStreams(count: number, hooks: StreamHooks, random: () => number): void {
  const lengths = Array.from({ length: count }, () => Math.floor(random() * STREAM_TOKENS));
  const names = lengths.map((_, n) => `0${n}`);
  let lastName = count;
  names.forEach((name) => hooks.onStart(name));
  const indices = lengths.map(() => 0);
  if (count === 0) return;
  setInterval(() => {
    indices.forEach((index, n) => {
      const name = names[n] ?? '';
      hooks.onToken(name, index, WORDS[Math.floor(random() * WORDS.length)] ?? ' a');
      indices[n] = index + 1;
      if (index < (lengths[n] ?? 0)) return;
      hooks.onEnd(name);
      lastName += 1;
      names[n] = `${lastName}-${Math.floor(random() * 1e12).toString(36)}`;
      lengths[n] = STREAM_TOKENS;
      indices[n] = 0;
      hooks.onStart(names[n] ?? '');
    });
  }, TOKEN_INTERVAL_MS);
}

/** Does nothing unless Node.js runs with --expose-gc, which the measurements set. */
function collectGarbage(): void {
  (globalThis as { gc?: () => void }).gc?.();
}

/** A load report that changes by about one request a second, as with one-minute generations. */
export function createReport(engineId: string, random: () => number): EngineReport {
  const base = 16 + (engineId.length % 8);
  return {
    state: 'live',
    role: 'mixed',
    running: base + Math.floor(random() * 6),
    queued: random() < 0.1 ? 1 : 0,
    maxRunning: 32,
    stepMs: 20 + random(),
    cacheUsedRatio: 0.6 + 0.05 * random(),
    loaded: [{ model: 'bench-guide', version: '2026-11-30', adapters: [] }],
    reportAgeMs: Math.floor(random() * 300),
  };
}

/** The customers of a simulated configuration, indexed by key hash as in a router. */
function createCustomers(count: number): Map<string, CustomerConfig> {
  const text = JSON.stringify(
    Array.from({ length: count }, (_, n) => ({
      id: `customer-${n}`,
      team: `team-${n % 20}`,
      keyHashes: [hashOf(2 * n), hashOf(2 * n + 1)],
      weight: 1,
      services: ['bench-guide', 'guild-shop'],
    })),
  );
  const customers = JSON.parse(text) as CustomerConfig[];
  return new Map(
    customers.flatMap((customer) =>
      customer.keyHashes.map((keyHash): [string, CustomerConfig] => [keyHash, customer]),
    ),
  );
}

function hashOf(n: number): string {
  return n.toString(16).padStart(64, '0');
}
