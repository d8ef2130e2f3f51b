import { setTimeout as wait } from 'node:timers/promises';
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { ChildProcess } from 'node:child_process';
import type { Server } from 'node:net';

/** Settings that all processes of one fleet share. */
export interface NodeFleetSpec {
  readonly binary: 'bench-node' | 'bench-idle';
  readonly nodes: number;
  readonly seed: number;
  readonly engines: number;
  /** Running streams per node. */
  readonly streams: number;
  readonly customers: number;
  /** Address of a server of load reports; without it each node generates random loads. */
  readonly loadServer?: string;
  /** Flush interval of the journal replicas, if not the default. */
  readonly flushIntervalMs?: number;
}

export interface Stats {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly wireIn: number;
  readonly wireOut: number;
  readonly states: Readonly<Record<string, number>>;
  readonly held: number;
  readonly loads: number;
}

/** A membership state of one router as observed by another. */
export interface StateObservation {
  readonly observer: string;
  readonly routerId: string;
  readonly state: string;
  readonly atMs: number;
}

/** Node processes on loopback. */
export interface NodeFleet {
  readonly ids: readonly string[];
  readonly addresses: readonly string[];
  readonly observations: readonly StateObservation[];
  readonly stats: (id: string) => readonly Stats[];
  /** Mean live memory per running node after a garbage collection. */
  readonly liveMb: () => Promise<number>;
  /** Ids of the nodes whose process is running. */
  readonly running: () => readonly string[];
  readonly signal: (id: string, name: NodeJS.Signals) => void;
  readonly stop: () => Promise<void>;
}

interface NodeProcess {
  readonly id: string;
  readonly address: string;
  readonly process: ChildProcess;
  readonly stats: Stats[];
  liveBytes: number;
  isReady: boolean;
}

const BYTES_PER_MB = 1_048_576;
const DOMAIN_COUNT = 3;
const READY_TIMEOUT_MS = 20_000;
const FIRST_PORT = 18_000;
const PORT_COUNT = 12_000;

/** Starts a fleet in one region with three failure domains. */
export async function startNodeFleet(spec: NodeFleetSpec): Promise<NodeFleet> {
  const ports = await findPorts(spec.nodes);
  const sightings: StateObservation[] = [];
  const nodes = ports.map((port, n) => startNode(spec, n, port, ports, sightings));
  const fleet = toNodeFleet(nodes, sightings);
  const isReady = await waitUntil(() => nodes.every((node) => node.isReady), READY_TIMEOUT_MS);
  if (isReady) return fleet;
  await fleet.stop();
  throw new Error('expected all nodes to be ready within the time-out');
}

function startNode(
  spec: NodeFleetSpec,
  n: number,
  port: number,
  ports: readonly number[],
  sightings: StateObservation[],
): NodeProcess {
  const id = `router-${String(n).padStart(3, '0')}`;
  const seeds = ports.slice(0, 3).map((seed) => `127.0.0.1:${seed}`);
  const options: Readonly<Record<string, string | number>> = {
    id,
    peer: `127.0.0.1:${port}`,
    region: 'guild',
    domain: ['jabal-weibdeh', 'marka', 'sweileh'][n % DOMAIN_COUNT] ?? '',
    seeds: seeds.join(','),
    seed: spec.seed + n,
    engines: spec.engines,
    streams: spec.streams,
    customers: spec.customers,
    ...(spec.loadServer === undefined ? {} : { loads: spec.loadServer }),
    ...(spec.flushIntervalMs === undefined ? {} : { flush: spec.flushIntervalMs }),
  };
  const args = Object.entries(options).map(([name, value]) => `--${name}=${value}`);
  const file = join(dirname(fileURLToPath(import.meta.url)), `${spec.binary}.mjs`);
  const child = spawn(process.execPath, ['--expose-gc', file, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const address = `127.0.0.1:${port}`;
  const node: NodeProcess = {
    id,
    address,
    process: child,
    stats: [],
    liveBytes: 0,
    isReady: false,
  };
  createInterface({ input: child.stdout as NodeJS.ReadableStream }).on('line', (line) => {
    const { event, ...fields } = JSON.parse(line) as { event: string };
    if (event === 'ready') node.isReady = true;
    if (event === 'live') node.liveBytes = (fields as unknown as { bytes: number }).bytes;
    if (event === 'stats') node.stats.push(fields as unknown as Stats);
    if (event === 'member') {
      sightings.push({
        ...(fields as unknown as Omit<StateObservation, 'observer'>),
        observer: id,
      });
    }
  });
  return node;
}

function toNodeFleet(
  nodes: readonly NodeProcess[],
  observations: readonly StateObservation[],
): NodeFleet {
  const isRunning = ({ process: child }: NodeProcess): boolean =>
    child.exitCode === null && child.signalCode === null;
  const find = (id: string): NodeProcess => {
    const node = nodes.find((candidate) => candidate.id === id);
    if (node === undefined) throw new Error(`unknown node ${id}`);
    return node;
  };
  return {
    ids: nodes.map(({ id }) => id),
    addresses: nodes.map(({ address }) => address),
    observations,
    stats: (id) => find(id).stats,
    liveMb: async () => {
      const live = nodes.filter(isRunning);
      live.forEach((node) => node.process.kill('SIGUSR2'));
      await waitUntil(() => live.every(({ liveBytes }) => liveBytes > 0), READY_TIMEOUT_MS);
      const total = live.reduce((sum, { liveBytes }) => sum + liveBytes, 0);
      return total / live.length / BYTES_PER_MB;
    },
    running: () => nodes.filter(isRunning).map(({ id }) => id),
    signal: (id, name) => {
      find(id).process.kill(name);
    },
    stop: async () => {
      nodes.filter(isRunning).forEach((node) => node.process.kill('SIGKILL'));
      await waitUntil(() => !nodes.some(isRunning), READY_TIMEOUT_MS);
    },
  };
}

/** Polls until the condition holds; false if it does not within the time-out. */
export async function waitUntil(isTrue: () => boolean, timeoutMs: number): Promise<boolean> {
  const endMs = Date.now() + timeoutMs;
  while (!isTrue()) {
    if (Date.now() > endMs) return false;
    await wait(50);
  }
  return true;
}

let nextPort = FIRST_PORT + ((process.pid * 97) % PORT_COUNT);

/** Free ports below the system's ephemeral range, so that outgoing connections cannot take them. */
async function findPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = FIRST_PORT + ((nextPort + 1 - FIRST_PORT) % PORT_COUNT);
    const server = await listen(port);
    if (server !== undefined) {
      ports.push(port);
      await close(server);
    }
  }
  return ports;
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

/** Resource usage, as a mean per node. */
export interface Usage {
  readonly cpuRatio: number;
  readonly outBytesPerSec: number;
  readonly inBytesPerSec: number;
  readonly rssMb: number;
}

/** Mean usage per running node between two times. */
export function measureUsage(fleet: NodeFleet, fromMs: number, toMs: number): Usage {
  const rates = fleet.running().flatMap((id) => {
    const within = fleet.stats(id).filter(({ atMs }) => atMs >= fromMs && atMs <= toMs);
    const [first, last] = [within[0], within.at(-1)];
    if (first === undefined || last === undefined || first === last) return [];
    const elapsedMs = last.atMs - first.atMs;
    return [
      {
        cpuRatio: (last.cpuMs - first.cpuMs) / elapsedMs,
        outBytesPerSec: (1_000 * (last.wireOut - first.wireOut)) / elapsedMs || 0,
        inBytesPerSec: (1_000 * (last.wireIn - first.wireIn)) / elapsedMs || 0,
        rssMb: last.rssBytes / BYTES_PER_MB,
      },
    ];
  });
  const mean = (pick: (rate: Usage) => number): number =>
    rates.reduce((sum, rate) => sum + pick(rate), 0) / Math.max(1, rates.length);
  return {
    cpuRatio: mean(({ cpuRatio }) => cpuRatio),
    outBytesPerSec: mean(({ outBytesPerSec }) => outBytesPerSec),
    inBytesPerSec: mean(({ inBytesPerSec }) => inBytesPerSec),
    rssMb: mean(({ rssMb }) => rssMb),
  };
}

export function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

export { wait };
