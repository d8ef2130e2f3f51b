import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import { EXIT, exitCodeOf } from './exit';
import { formatPercent, formatTable, formatTime, formatValue } from './output';
import type { AdminClient, ClientAnswer } from './client';

/** Options of all commands, as parsed from the command line. */
export interface CommandOptions {
  readonly json?: boolean;
  readonly after?: string;
  readonly limit?: number;
  readonly before?: number;
  readonly base?: number;
  readonly why?: string;
  readonly operationId?: string;
  readonly dryRun?: boolean;
  readonly revision?: number;
  readonly service?: string;
  readonly customer?: string;
  readonly failureDomain?: string;
  readonly to?: string;
  readonly by?: string;
  readonly reason?: string;
  readonly wait?: boolean;
}

export interface CommandContext {
  readonly client: AdminClient;
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly nowMs: () => number;
}

type JsonObject = Readonly<Record<string, unknown>>;
type Formatter = (value: JsonObject) => string;

/** File name that replaces "-" (standard input), which the argument parser would drop. */
export const STANDARD_INPUT = 'stdin:';

/** Time for which the server may hold one request of a watch. */
const WATCH_WAIT_MS = 20_000;
const STATUS_POLL_INTERVAL_MS = 500;
const STATUS_WAIT_TIMEOUT_MS = 60_000;

interface MoveFields {
  readonly id: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  readonly state: string;
  readonly reason: string;
  readonly byMs: number;
  readonly stepShareRatio: number;
}

/** Creates the commands. Each of them prints its result and returns the exit code. */
export function createCommands(context: CommandContext) {
  const { client, print, printError } = context;

  function printFailure(
    answer: Extract<ClientAnswer, { kind: 'error' }>,
    options: CommandOptions,
  ): number {
    const { code, message, details } = answer;
    if (options.json === true) print(JSON.stringify({ error: { code, message, details } }));
    else {
      printError(`${code}: ${message}`);
      if (details !== undefined) printError(JSON.stringify(details, null, 2));
    }
    return exitCodeOf(code);
  }

  function printAnswer(answer: ClientAnswer, options: CommandOptions, show: Formatter): number {
    if (answer.kind === 'error') return printFailure(answer, options);
    print(options.json === true ? JSON.stringify(answer.value) : show(answer.value));
    return EXIT.ok;
  }

  function printUsageError(message: string): number {
    printError(message);
    return EXIT.usage;
  }

  async function readCurrentRevision(): Promise<number | ClientAnswer> {
    const answer = await client.get('/v1/config/teams', { limit: 1 });
    return answer.kind === 'ok' ? Number(answer.value['revision']) : answer;
  }

  function getOperationId(options: CommandOptions): string {
    return options.operationId === undefined ? `cli-${randomUUID()}` : String(options.operationId);
  }

  async function apply(file: string, options: CommandOptions): Promise<number> {
    if (options.why === undefined) return printUsageError('apply needs --why with a reason');
    const input = readChanges(file);
    if (typeof input === 'string') return printUsageError(input);
    const baseRevision = options.base ?? input.baseRevision ?? (await readCurrentRevision());
    if (typeof baseRevision === 'object') return printAnswer(baseRevision, options, () => '');
    const body = {
      operationId: getOperationId(options),
      baseRevision,
      why: String(options.why),
      dryRun: options.dryRun === true,
      changes: input.changes,
    };
    return printAnswer(await client.post('/v1/revisions', body), options, formatChange);
  }

  async function undo(revision: string, options: CommandOptions): Promise<number> {
    if (options.why === undefined) return printUsageError('undo needs --why with a reason');
    const body = {
      operationId: getOperationId(options),
      why: String(options.why),
      dryRun: options.dryRun === true,
    };
    const answer = await client.post(`/v1/revisions/${encodeURIComponent(revision)}/undo`, body);
    return printAnswer(answer, options, formatChange);
  }

  async function watch(options: CommandOptions): Promise<number> {
    let after = Number(options.after ?? (await readCurrentRevision()));
    if (Number.isNaN(after)) after = 0;
    for (;;) {
      const answer = await client.get('/v1/watch', { after, waitMs: WATCH_WAIT_MS });
      if (answer.kind === 'error') return printFailure(answer, options);
      const revisions = answer.value['revisions'] as readonly JsonObject[];
      revisions.forEach((revision) =>
        print(options.json === true ? JSON.stringify(revision) : formatRevisionLine(revision)),
      );
      after = Math.max(after, ...revisions.map(({ revision }) => Number(revision)));
    }
  }

  /** With --wait, prints progress until all routers have applied the revision or the time is over. */
  async function status(options: CommandOptions): Promise<number> {
    let { revision } = options;
    let progress = '';
    const untilMs = context.nowMs() + STATUS_WAIT_TIMEOUT_MS;
    for (;;) {
      const answer = await client.get('/v1/status', { revision });
      const isDone = answer.kind === 'error' || answer.value['isEverywhere'] === true;
      if (options.wait !== true || isDone) return printAnswer(answer, options, formatStatus);
      if (context.nowMs() > untilMs) {
        printAnswer(answer, options, formatStatus);
        return EXIT.failed;
      }
      revision = Number(answer.value['revision']);
      const next = formatStatusLine(answer.value);
      if (next !== progress && options.json !== true) print(next);
      progress = next;
      await sleep(STATUS_POLL_INTERVAL_MS);
    }
  }

  async function orderMove(
    service: string,
    version: string,
    options: CommandOptions,
  ): Promise<number> {
    const byMs = parseDeadline(options.by ?? '', context.nowMs());
    if (byMs === undefined) return printUsageError('move order needs --by: 30m, 2h or an ISO time');
    if (options.reason === undefined) return printUsageError('move order needs --reason');
    const body = {
      operationId: getOperationId(options),
      service,
      toVersion: version,
      byMs,
      reason: String(options.reason),
    };
    return printAnswer(await client.post('/v1/moves', body), options, formatMove);
  }

  async function watchMove(id: string, options: CommandOptions): Promise<number> {
    let seen = 0;
    for (;;) {
      const path = `/v1/moves/${encodeURIComponent(id)}`;
      const answer = await client.get(path, { seen, waitMs: seen === 0 ? 0 : WATCH_WAIT_MS });
      if (answer.kind === 'error') return printFailure(answer, options);
      const move = answer.value['move'] as MoveFields;
      const rowVersion = Number(answer.value['rowVersion']);
      if (rowVersion > seen) {
        const time = formatTime(context.nowMs());
        print(options.json === true ? JSON.stringify(move) : formatMoveProgress(move, time));
      }
      seen = rowVersion;
      if (move.state !== 'running') return move.state === 'done' ? EXIT.ok : EXIT.moveNotDone;
    }
  }

  return {
    list: async (section: string, options: CommandOptions) => {
      const { after, limit } = options;
      const answer = await client.get(`/v1/config/${section}`, { after, limit });
      return printAnswer(answer, options, formatList);
    },
    show: async (section: string, id: string, options: CommandOptions) => {
      const path = `/v1/config/${section}/${encodeURIComponent(id)}`;
      return printAnswer(await client.get(path), options, formatEntry);
    },
    effective: async (options: CommandOptions) => {
      const { service, customer, failureDomain } = options;
      const answer = await client.get('/v1/effective', { service, customer, failureDomain });
      return printAnswer(answer, options, ({ settings }) => formatFields(settings as JsonObject));
    },
    export: async (options: CommandOptions) => {
      const answer = await client.get('/v1/export', { revision: options.revision });
      return printAnswer(answer, options, (value) => JSON.stringify(value, null, 2));
    },
    diff: async (from: string, to: string | undefined, options: CommandOptions) =>
      printAnswer(await client.get('/v1/diff', { from, to }), options, formatDiff),
    history: async (options: CommandOptions) => {
      const { before, limit } = options;
      return printAnswer(
        await client.get('/v1/revisions', { before, limit }),
        options,
        formatHistory,
      );
    },
    apply,
    undo,
    watch,
    status,
    orderMove,
    watchMove,
    listMoves: async (options: CommandOptions) => {
      const { after, limit } = options;
      return printAnswer(await client.get('/v1/moves', { after, limit }), options, formatMoves);
    },
    cancelMove: async (id: string, options: CommandOptions) => {
      if (options.reason === undefined) return printUsageError('move cancel needs --reason');
      const path = `/v1/moves/${encodeURIComponent(id)}/cancel`;
      return printAnswer(
        await client.post(path, { reason: String(options.reason) }),
        options,
        formatMove,
      );
    },
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

interface ChangeFile {
  readonly changes: unknown;
  readonly baseRevision?: number;
}

/**
 * Reads a file that holds a list of changes, or an object with `changes` and `baseRevision`.
 * Returns an error message if it cannot be read.
 */
function readChanges(file: string): ChangeFile | string {
  let text: string;
  try {
    text = readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8');
  } catch (error) {
    return `${file}: ${(error as Error).message}`;
  }
  const errors: unknown[] = [];
  const value = parse(text, errors as never, { allowTrailingComma: true }) as unknown;
  if (errors.length > 0) return `${file}: expected JSON with comments, but it does not parse`;
  return Array.isArray(value) ? { changes: value } : (value as ChangeFile);
}

const UNIT_MS: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: 3_600_000 };

/** Parses a duration from now, such as "30m", or an ISO time; undefined for any other text. */
function parseDeadline(text: string, nowMs: number): number | undefined {
  const relative = /^(\d+)([smh])$/.exec(text);
  if (relative !== null) {
    return nowMs + Number(relative[1]) * (UNIT_MS[relative[2] ?? ''] ?? 0);
  }
  const atMs = Date.parse(text);
  return Number.isNaN(atMs) ? undefined : atMs;
}

function formatList(value: JsonObject): string {
  const items = value['items'] as readonly { id: string; value: unknown }[];
  const rows = items.map(({ id, value: entry }) => ({ id, ...toColumns(entry) }) as JsonObject);
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) => columns.map((column) => formatValue(row[column], column)));
  const table = formatTable(columns, cells);
  return `${table}\n${formatNextPageHint(value, 'after')}revision ${value['revision'] as number}`;
}

/** Turns the fields of an entry into columns; its name or id is already the first column. */
function toColumns(entry: unknown): JsonObject {
  if (typeof entry !== 'object' || entry === null) return { value: entry };
  const hidden = ['id', 'name'];
  return Object.fromEntries(Object.entries(entry).filter(([key]) => !hidden.includes(key)));
}

function formatEntry(value: JsonObject): string {
  const entry = value['value'];
  return typeof entry === 'object' && entry !== null
    ? formatFields(entry as JsonObject)
    : formatValue(entry);
}

function formatFields(value: JsonObject): string {
  const rows = Object.entries(value).map(([key, entry]) => [key, formatValue(entry, key)]);
  return formatTable(['field', 'value'], rows);
}

function formatDiff(value: JsonObject): string {
  const entries = value['entries'] as readonly {
    section: string;
    id: string;
    kind: string;
    fields: readonly { path: string; before: unknown; after: unknown }[];
  }[];
  if (entries.length === 0) return 'no difference';
  const rows = entries.flatMap((entry) =>
    entry.fields.map((field) => [
      `${entry.section}/${entry.id}`,
      entry.kind,
      field.path,
      formatValue(field.before),
      formatValue(field.after),
    ]),
  );
  return formatTable(['entry', 'change', 'field', 'before', 'after'], rows);
}

function formatChange(value: JsonObject): string {
  return value['dryRun'] === true ? formatDiff(value) : `accepted: ${formatRevisionLine(value)}`;
}

function formatRevisionLine(value: JsonObject): string {
  const kinds = (value['changes'] as readonly { kind: string }[]).map(({ kind }) => kind);
  const by = `${formatValue(value['who'])}: ${formatValue(value['why'])}`;
  const revision = formatValue(value['revision']);
  return `revision ${revision} at ${formatTime(value['atMs'])} by ${by} (${kinds.join(', ')})`;
}

function formatHistory(value: JsonObject): string {
  const items = value['items'] as readonly JsonObject[];
  const rows = items.map((item) => [
    formatValue(item['revision']),
    formatTime(item['atMs']),
    formatValue(item['who']),
    formatValue(item['why']),
    (item['changes'] as readonly { kind: string }[]).map(({ kind }) => kind).join(', '),
  ]);
  const table = formatTable(['revision', 'at', 'who', 'why', 'changes'], rows);
  return `${table}\n${formatNextPageHint(value, 'before')}`.trimEnd();
}

interface RegionFields {
  readonly region: string;
  readonly nodes: number;
  readonly inForce: number;
  readonly lowestRevision: number | null;
  readonly behind: readonly string[];
  readonly notAnswering: readonly string[];
}

function formatStatusLine(value: JsonObject): string {
  const regions = value['regions'] as readonly RegionFields[];
  const counts = regions.map(({ region, inForce, nodes }) => `${region} ${inForce}/${nodes}`);
  return `revision ${formatValue(value['revision'])}: ${counts.join(', ')}`;
}

function formatStatus(value: JsonObject): string {
  const regions = value['regions'] as readonly RegionFields[];
  const rows = regions.map((region) => [
    region.region,
    `${region.inForce}/${region.nodes}`,
    formatValue(region.lowestRevision),
    region.behind.join(' ') || '-',
    region.notAnswering.join(' ') || '-',
  ]);
  const table = formatTable(['region', 'in force', 'lowest', 'behind', 'not answering'], rows);
  const verb = value['isEverywhere'] === true ? 'is' : 'is not yet';
  return `${table}\nrevision ${formatValue(value['revision'])} ${verb} in force everywhere`;
}

function formatMove(value: JsonObject): string {
  return formatFields(value['move'] as JsonObject);
}

function formatMoves(value: JsonObject): string {
  const rows = (value['items'] as readonly MoveFields[]).map((move) => [
    move.id,
    move.service,
    `${move.fromVersion} → ${move.toVersion}`,
    move.state,
    formatPercent(move.stepShareRatio),
    formatTime(move.byMs),
    move.reason,
  ]);
  const head = ['id', 'service', 'versions', 'state', 'share', 'by', 'reason'];
  return `${formatTable(head, rows)}\n${formatNextPageHint(value, 'after')}`.trimEnd();
}

function formatMoveProgress(move: MoveFields, time: string): string {
  const share = formatPercent(move.stepShareRatio).padStart(4);
  const versions = `${move.service} ${move.fromVersion} → ${move.toVersion}`;
  const suffix = move.state === 'running' ? `due ${formatTime(move.byMs)}` : move.reason;
  return `${time}  ${versions}  ${share}  ${move.state}  ${suffix}`;
}

function formatNextPageHint(value: JsonObject, option: string): string {
  const { next } = value;
  return next === null || next === undefined ? '' : `more: --${option} ${formatValue(next)}\n`;
}
