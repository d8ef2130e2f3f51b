import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { STANDARD_INPUT } from './commands';
import { EXIT_CODES } from './exit';

/** One decision line of a router. */
interface DecisionLine {
  readonly time: string;
  readonly host: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

export interface ExplainOutput {
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
}

/** Changes of what a router believes that are shown beside a request. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'clock.discrepancy',
  'config.applied',
  'domain.doubted',
  'log.dropped',
  'router.readiness',
  'router.started',
  'router.stopped',
  'router.stopping',
  'servers.changed',
  'store.lost',
  'store.regained',
]);
/** Beliefs are shown from this long before the request's first line. */
const CONTEXT_BEFORE_MS = 5_000;
const MAX_CONTEXT_LINES = 5_000;
const PREFIX_FIELDS: ReadonlySet<string> = new Set(['time', 'host', 'event', 'request']);

/** Tells from decision lines what happened to a request; the lines of several routers may be mixed. */
export async function explainFiles(
  requestId: string,
  files: readonly string[],
  output: ExplainOutput,
): Promise<number> {
  const story: DecisionLine[] = [];
  const beliefs: DecisionLine[] = [];
  const names = files.length === 0 ? [STANDARD_INPUT] : files;
  for (const name of names) {
    try {
      await readLines(name, (line) => collectLine(line, requestId, story, beliefs));
    } catch (error) {
      output.printError(`${name}: ${(error as Error).message}`);
      return EXIT_CODES.usage;
    }
  }
  if (story.length === 0) {
    output.printError(`no line names the request ${requestId}`);
    return EXIT_CODES.failed;
  }
  output.print(formatExplanation(requestId, story, beliefs));
  return EXIT_CODES.ok;
}

async function readLines(name: string, onLine: (line: string) => void): Promise<void> {
  const input = name === STANDARD_INPUT ? process.stdin : createReadStream(name);
  for await (const line of createInterface({ input, crlfDelay: Infinity })) onLine(line);
}

function collectLine(
  text: string,
  requestId: string,
  story: DecisionLine[],
  beliefs: DecisionLine[],
): void {
  const line = parseLine(text);
  if (line === undefined) return;
  if (line['request'] === requestId) story.push(line);
  else if (CONTEXT_EVENTS.has(line.event)) {
    beliefs.push(line);
    if (beliefs.length > MAX_CONTEXT_LINES) beliefs.shift();
  }
}

/** A line may have a prefix, for instance the name of the process that wrote it. */
function parseLine(text: string): DecisionLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Partial<DecisionLine>;
    const isLine = typeof value.time === 'string' && typeof value.event === 'string';
    return isLine ? (value as DecisionLine) : undefined;
  } catch {
    return undefined;
  }
}

/** The request's lines in order, with what its routers learned meanwhile. */
export function formatExplanation(
  requestId: string,
  story: readonly DecisionLine[],
  beliefs: readonly DecisionLine[],
): string {
  const hosts = new Set(story.map(({ host }) => host));
  const times = story.map(({ time }) => Date.parse(time));
  const fromMs = Math.min(...times) - CONTEXT_BEFORE_MS;
  const toMs = Math.max(...times);
  const near = beliefs.filter(({ host, time }) => {
    const atMs = Date.parse(time);
    return hosts.has(host) && atMs >= fromMs && atMs <= toMs;
  });
  const lines = [...story, ...near].sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
  const shown = lines.map((line) => {
    const mark = line['request'] === requestId ? '*' : ' ';
    return `${mark} ${line.time} ${line.host} ${line.event} ${formatFields(line)}`.trimEnd();
  });
  return [`request ${requestId} (* its own lines)`, ...shown, formatConclusion(story)].join('\n');
}

function formatFields(line: DecisionLine): string {
  return Object.entries(line)
    .filter(([name, value]) => !PREFIX_FIELDS.has(name) && value !== undefined && value !== null)
    .map(([name, value]) => `${name}=${Array.isArray(value) ? value.join('+') : String(value)}`)
    .join(' ');
}

/** One sentence on how the request ended. */
function formatConclusion(story: readonly DecisionLine[]): string {
  const last = story.findLast(({ event }) => event.endsWith('.end') || event === 'request.refused');
  if (last === undefined) {
    return '=> no line tells its end: its router was killed, or dropped lines';
  }
  if (last.event === 'request.refused') {
    return `=> refused by ${last.host} (${String(last['code'])}): ${String(last['reason'])}; not run`;
  }
  const reason = last['reason'] === undefined ? '' : `: ${String(last['reason'])}`;
  const run = last['run'] === undefined ? '' : `; ${describeRun(last['run'])}`;
  return `=> ${String(last['outcome'])} at ${last.host} after ${String(last['took_ms'])} ms${reason}${run}`;
}

function describeRun(run: unknown): string {
  if (run === 'not_run') return 'it has not run';
  return run === 'ran' ? 'it has run' : 'whether it ran is not known';
}
