import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { STANDARD_INPUT } from './commands';
import { EXIT } from './exit';

/** A decision that a router has logged. */
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

/**
 * Events that belong to no request but explain decisions about it, such as lost stores and changed
 * backends. They are shown if they come from a router that handled the request.
 */
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
/** Context events are shown from this long before the first event of the request. */
const CONTEXT_BEFORE_MS = 5_000;
/** The oldest context events are dropped above this number, to bound the memory for large logs. */
const MAX_CONTEXT_LINES = 5_000;
/** Fields that are omitted from the list of fields, since each line starts with them. */
const PREFIX_FIELDS: ReadonlySet<string> = new Set(['time', 'host', 'event', 'request']);

/** Prints what happened to a request, from the log lines of one or more routers in any order. */
export async function explainFiles(
  requestId: string,
  files: readonly string[],
  output: ExplainOutput,
): Promise<number> {
  const requestLines: DecisionLine[] = [];
  const contextLines: DecisionLine[] = [];
  const fileNames = files.length === 0 ? [STANDARD_INPUT] : files;
  for (const name of fileNames) {
    try {
      await readLines(name, (line) => collectLine(line, requestId, requestLines, contextLines));
    } catch (error) {
      output.printError(`${name}: ${(error as Error).message}`);
      return EXIT.usage;
    }
  }
  if (requestLines.length === 0) {
    output.printError(`no log line names the request ${requestId}`);
    return EXIT.failed;
  }
  output.print(formatExplanation(requestId, requestLines, contextLines));
  return EXIT.ok;
}

async function readLines(name: string, onLine: (line: string) => void): Promise<void> {
  const input = name === STANDARD_INPUT ? process.stdin : createReadStream(name);
  for await (const line of createInterface({ input, crlfDelay: Infinity })) onLine(line);
}

function collectLine(
  text: string,
  requestId: string,
  requestLines: DecisionLine[],
  contextLines: DecisionLine[],
): void {
  const line = parseLine(text);
  if (line === undefined) return;
  if (line['request'] === requestId) requestLines.push(line);
  else if (CONTEXT_EVENTS.has(line.event)) {
    contextLines.push(line);
    if (contextLines.length > MAX_CONTEXT_LINES) contextLines.shift();
  }
}

/** A log line may have a prefix before its JSON, such as the name of the process that wrote it. */
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

/** Lists the events of the request and of its routers by time, with a conclusion at the end. */
export function formatExplanation(
  requestId: string,
  requestLines: readonly DecisionLine[],
  contextLines: readonly DecisionLine[],
): string {
  const hosts = new Set(requestLines.map(({ host }) => host));
  const times = requestLines.map(({ time }) => Date.parse(time));
  const fromMs = Math.min(...times) - CONTEXT_BEFORE_MS;
  const toMs = Math.max(...times);
  const nearby = contextLines.filter(({ host, time }) => {
    const atMs = Date.parse(time);
    return hosts.has(host) && atMs >= fromMs && atMs <= toMs;
  });
  const lines = [...requestLines, ...nearby].sort(
    (a, b) => Date.parse(a.time) - Date.parse(b.time),
  );
  const shown = lines.map((line) => {
    const mark = line['request'] === requestId ? '*' : ' ';
    return `${mark} ${line.time} ${line.host} ${line.event} ${formatFields(line)}`.trimEnd();
  });
  return [`request ${requestId} (* its own lines)`, ...shown, formatConclusion(requestLines)].join(
    '\n',
  );
}

function formatFields(line: DecisionLine): string {
  return Object.entries(line)
    .filter(([name, value]) => !PREFIX_FIELDS.has(name) && value !== undefined && value !== null)
    .map(([name, value]) => `${name}=${Array.isArray(value) ? value.join('+') : String(value)}`)
    .join(' ');
}

/** States in one sentence how the request ended. */
function formatConclusion(requestLines: readonly DecisionLine[]): string {
  const last = requestLines.findLast(
    ({ event }) => event.endsWith('.end') || event === 'request.refused',
  );
  if (last === undefined) {
    return '=> no log line records the end: the router was killed, or it dropped log lines';
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
