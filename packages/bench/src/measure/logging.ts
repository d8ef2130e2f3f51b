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

/**
 * How the router's standard output is read: 'no lines' turns the decision lines off, 'slow' reads
 * less than the router writes and 'none' reads nothing.
 */
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
/** Clock ticks per second, the unit of the CPU times in /proc. */
const TICKS_PER_SEC = 100;
const US_PER_TICK = 1e6 / TICKS_PER_SEC;
const KB_PER_MB = 1_024;
const OK = 200;

/**
 * Compares CPU time per request with and without decision lines, and counts dropped lines and
 * memory growth when the lines are read slowly or not at all.
 */
export const loggingMeasurement: Measurement = {
  name: 'logging',
  summary: 'cost of decision lines a request, with a reader, a slow one and none',
  run: async ({ isFull }) => {
    const samples = new Map<LogReader, Sample[]>(LOG_READERS.map((reader) => [reader, []]));
    for (let roundNo = 0; roundNo < (isFull ? ROUNDS_FULL : ROUNDS); roundNo += 1) {
      for (const reader of LOG_READERS) samples.get(reader)?.push(await measureReader(reader));
    }
    const median = (reader: LogReader, pick: (sample: Sample) => number): number =>
      medianOf((samples.get(reader) ?? []).map(pick));
    const cost = (reader: LogReader): number => median(reader, ({ usPerRequest }) => usPerRequest);
    const usWithoutLines = cost('no lines');
    const kinds = ['all', 'slow', 'none'] as const;
    return {
      us_per_request_without: round(usWithoutLines, 1),
      us_per_request_with: Object.fromEntries(kinds.map((kind) => [kind, round(cost(kind), 1)])),
      ratio: Object.fromEntries(kinds.map((kind) => [kind, round(cost(kind) / usWithoutLines)])),
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
  const platform = await startStandinPlatform({ eventCount: 1, prefillMs: 1, eventGapMs: 1 });
  await platform.addPlain('shop-1', 'east');
  const settings = await createGatewaySettings(platform.store.address);
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
    await platform.close();
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
  for (let i = 0; (await send(`ready-${i}`)).status !== OK; i += 1) await delay(READY_POLL_MS);
  const sendMany = async (name: string, count: number): Promise<void> => {
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      for (let i = caller; i < count; i += CALLERS) await send(`${name}-${i}`);
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
  // Counted after the process name in parentheses, user time is field 12 and system time field 13.
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
