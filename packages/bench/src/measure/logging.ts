import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import {
  sendCallerRequest,
  createGatewaySettings,
  ROUTE_PREFIXES,
  startStandinPlatform,
} from '@mimosamill/platform/standin';
import { medianOf, round } from './stats';
import type { ChildProcess } from 'node:child_process';
import type { Measurement } from './measurement';

/** Who reads the router's standard output. */
type LogReader = 'no lines' | 'all' | 'slow' | 'none';

interface Sample {
  readonly usPerRequest: number;
  readonly linesDropped: number;
  readonly rssGrowthMb: number;
}

const PROGRAM = 'dist/bench-gateway.mjs';
const LOG_READERS: readonly LogReader[] = ['no lines', 'all', 'slow', 'none'];
const CALLERS = 8;
const WARM_UP_REQUESTS = 1_500;
const REQUESTS = 4_000;
const ROUNDS = 3;
const ROUNDS_FULL = 7;
const READY_POLL_MS = 20;
const SLOW_READ_PERIOD_MS = 200;
const SLOW_READ_BYTES = 1_024;
/** Clock ticks of /proc a second. */
const TICKS_PER_SEC = 100;
const US_PER_TICK = 1e6 / TICKS_PER_SEC;
const KB_PER_MB = 1_024;
const OK = 200;

/** Processor time that decision lines cost, and what happens when nobody reads them. */
export const loggingMeasurement: Measurement = {
  name: 'logging',
  summary: 'cost of decision lines a request, with a reader, a slow one and none',
  run: async ({ isFull }) => {
    const samples = new Map<LogReader, Sample[]>(LOG_READERS.map((reader) => [reader, []]));
    for (let round_ = 0; round_ < (isFull ? ROUNDS_FULL : ROUNDS); round_ += 1) {
      for (const reader of LOG_READERS) samples.get(reader)?.push(await measureReader(reader));
    }
    const median = (reader: LogReader, of: (sample: Sample) => number): number =>
      medianOf((samples.get(reader) ?? []).map(of));
    const cost = (reader: LogReader): number => median(reader, ({ usPerRequest }) => usPerRequest);
    const without = cost('no lines');
    const kinds = ['all', 'slow', 'none'] as const;
    return {
      us_per_request_without: round(without, 1),
      us_per_request_with: Object.fromEntries(kinds.map((kind) => [kind, round(cost(kind), 1)])),
      ratio: Object.fromEntries(kinds.map((kind) => [kind, round(cost(kind) / without)])),
      lines_dropped: Object.fromEntries(
        kinds.map((kind) => [kind, median(kind, ({ linesDropped }) => linesDropped)]),
      ),
      rss_growth_mb: Object.fromEntries(
        LOG_READERS.map((kind) => [
          kind,
          round(
            median(kind, ({ rssGrowthMb }) => rssGrowthMb),
            1,
          ),
        ]),
      ),
    };
  },
};

async function measureReader(reader: LogReader): Promise<Sample> {
  const directory = mkdtempSync(join(tmpdir(), 'mimosamill-logging-'));
  const world = await startStandinPlatform({ eventCount: 1, prefillMs: 1, eventGapMs: 1 });
  await world.addPlain('shop-1', 'east');
  const settings = await createGatewaySettings(world.store.address);
  const file = join(directory, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  const lines = reader === 'no lines' ? 'none' : 'stdout';
  const child = spawn('node', [PROGRAM, file, lines], { stdio: ['ignore', 'pipe', 'inherit'] });
  const stopReading = startReading(child, reader);
  try {
    return await runLoad(child, settings.callerAddress, settings.metricsPort);
  } finally {
    stopReading();
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await ended;
    await world.close();
    rmSync(directory, { recursive: true, force: true });
  }
}

function startReading({ stdout }: ChildProcess, reader: LogReader): () => void {
  if (reader === 'none') return () => undefined;
  if (reader !== 'slow') {
    stdout?.resume();
    return () => undefined;
  }
  const timer = setInterval(() => stdout?.read(SLOW_READ_BYTES), SLOW_READ_PERIOD_MS);
  return () => clearInterval(timer);
}

async function runLoad(child: ChildProcess, address: string, metricsPort: number): Promise<Sample> {
  const agent = new Agent({ keepAlive: true, maxSockets: CALLERS });
  const send = (requestId: string) =>
    sendCallerRequest(address, { requestId, path: `${ROUTE_PREFIXES.idempotent}x`, agent });
  for (let no = 0; (await send(`ready-${no}`)).status !== OK; no += 1) await delay(READY_POLL_MS);
  const sendMany = async (name: string, count: number): Promise<void> => {
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      for (let no = caller; no < count; no += CALLERS) await send(`${name}-${no}`);
    });
    await Promise.all(callers);
  };
  await sendMany('warm-up', WARM_UP_REQUESTS);
  const before = readProcessUsage(child);
  await sendMany('measured', REQUESTS);
  const after = readProcessUsage(child);
  const linesDropped = await readDroppedLines(metricsPort);
  agent.destroy();
  return {
    usPerRequest: ((after.ticks - before.ticks) * US_PER_TICK) / REQUESTS,
    linesDropped,
    rssGrowthMb: (after.rssKb - before.rssKb) / KB_PER_MB,
  };
}

function readProcessUsage({ pid }: ChildProcess): {
  readonly ticks: number;
  readonly rssKb: number;
} {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The fields after the name, which is in parentheses: user time is the 12th, system time the 13th.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    ticks: Number(fields[11]) + Number(fields[12]),
    rssKb: Number(/VmRSS:\s+(\d+)/u.exec(status)?.[1]),
  };
}

async function readDroppedLines(metricsPort: number): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
  const line = /mimosamill_forward_state\{what="log_lines_dropped"\} (\d+)/u;
  return Number(line.exec(await response.text())?.[1] ?? 0);
}
