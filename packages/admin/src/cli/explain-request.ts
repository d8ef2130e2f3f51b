import { createHttpClient } from '@mimosamill/adapters';
import { EXIT } from './exit';
import { formatPercent, formatTable } from './output';
import type { CandidateExplanation, PlacementExplanation } from '@mimosamill/core';
import type { ExplainOutput } from './explain';

/** Options as parsed from the command line, which makes numbers of words that look like them. */
export interface ExplainRequestOptions {
  readonly json?: boolean;
  readonly router?: string;
  readonly method?: string;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  readonly lengthHint?: number;
  readonly customer?: string | number;
  readonly draw?: number;
}

interface RangeMs {
  readonly min: number;
  readonly max: number;
}

/** Answer of a router's `GET /explain`, as far as it is printed. */
interface RequestExplanation {
  readonly host: string;
  readonly draw: number;
  readonly configuration: { readonly revision?: number; readonly ageMs?: number };
  readonly serverListAgeMs?: number;
  readonly route?: { readonly name: string; readonly kind: string };
  readonly service?: string;
  readonly refusal?: Refusal;
  readonly admission?: Admission;
  readonly placement?: PlacementExplanation;
  readonly notChecked: readonly string[];
}

interface Refusal {
  readonly check: string;
  readonly message: string;
  readonly retryAfterMs?: RangeMs;
}

interface Admission {
  readonly level: number;
  readonly levels: number;
  readonly sendRatio: number;
  readonly waitRatio: number;
  readonly refuseRatio: number;
}

/** Port of the metrics on the platform. */
export const DEFAULT_ROUTER = '127.0.0.1:9464';
const REQUEST_TIMEOUT_MS = 5_000;

/** Asks a router where it would send a request now, and prints the answer. */
export async function explainRequest(
  host: string,
  path: string,
  options: ExplainRequestOptions,
  { print, printError }: ExplainOutput,
): Promise<number> {
  const http = createHttpClient(1);
  const { router = DEFAULT_ROUTER } = options;
  const url = `http://${router}/explain?${queryOf(host, path, options)}`;
  const answer = await http.fetch(url, { method: 'GET', timeoutMs: REQUEST_TIMEOUT_MS });
  await http.close();
  if (answer.kind !== 'ok') {
    printError(`${router}: ${answer.message}`);
    return EXIT.unavailable;
  }
  if (answer.status !== 200) {
    printError(`${router} answered with status ${answer.status}: ${answer.body}`);
    return answer.status === 400 ? EXIT.usage : EXIT.failed;
  }
  const explanation = JSON.parse(answer.body) as RequestExplanation;
  print(options.json === true ? JSON.stringify(explanation) : formatRequest(explanation));
  return EXIT.ok;
}

function queryOf(host: string, path: string, options: ExplainRequestOptions): string {
  const { method, promptTokens, outputTokens, lengthHint, customer, draw } = options;
  const fields = {
    host,
    path,
    method,
    prompt_tokens: promptTokens,
    output_tokens: outputTokens,
    length_hint: lengthHint,
    customer,
    draw,
  };
  const pairs = Object.entries(fields).flatMap(([name, value]): [string, string][] =>
    value === undefined ? [] : [[name, String(value)]],
  );
  return new URLSearchParams(pairs).toString();
}

/** Prints the decision first, then the servers that it compares, then those that it leaves out. */
function formatRequest(explanation: RequestExplanation): string {
  const { placement, notChecked } = explanation;
  const tables =
    placement === undefined
      ? []
      : [
          `candidates (${placement.candidates.length} of ${placement.candidateCount}; each cost is raised by a random 0 to ${formatMs(placement.randomMaxMs)} ms)`,
          formatCandidates(placement.candidates),
          ...section(
            `excluded (${placement.excluded.length} of ${placement.excludedCount})`,
            ['server', 'reasons'],
            placement.excluded.map(({ serverId, reasons }) => [serverId, reasons.join(' ')]),
          ),
          ...section(
            'engines for the KV cache copy',
            ['engine', 'cost ms', 'may be chosen'],
            placement.copyCandidates.map(({ serverId, costMs, isInSpread }) => [
              serverId,
              formatMs(costMs),
              isInSpread ? 'yes' : 'no',
            ]),
          ),
        ];
  return [formatDecision(explanation), ...tables, `not checked: ${notChecked.join(', ')}`].join(
    '\n',
  );
}

function formatDecision(explanation: RequestExplanation): string {
  const { configuration, route, service, refusal, admission, placement } = explanation;
  const probe = placement?.isProbe === true ? ' (probe of an ejected server)' : '';
  const rows: [string, string][] = [
    ['router', explanation.host],
    [
      'configuration',
      `revision ${configuration.revision ?? '-'}, age ${formatMs(configuration.ageMs)} ms`,
    ],
    ['server list', `age ${formatMs(explanation.serverListAgeMs)} ms`],
    ['route', route === undefined ? '-' : `${route.name} (${route.kind})`],
    ['service', service ?? '-'],
    ['draw', String(explanation.draw)],
    ...(admission === undefined
      ? []
      : [['admission', formatAdmission(admission)] satisfies [string, string]]),
    ['refused', refusal === undefined ? 'no' : formatRefusal(refusal)],
    ['goes to', refusal === undefined ? `${placement?.chosenId ?? '-'}${probe}` : '-'],
  ];
  return formatTable(['item', 'value'], rows);
}

function formatAdmission({ level, levels, ...ratios }: Admission): string {
  const [sent, waiting, refused] = [ratios.sendRatio, ratios.waitRatio, ratios.refuseRatio];
  return `level ${level} of ${levels}: ${formatPercent(sent)} sent, ${formatPercent(waiting)} wait, ${formatPercent(refused)} refused`;
}

function formatRefusal({ check, message, retryAfterMs }: Refusal): string {
  const retry =
    retryAfterMs === undefined
      ? ''
      : `; retry after ${formatMs(retryAfterMs.min)} to ${formatMs(retryAfterMs.max)} ms`;
  return `${check}: ${message}${retry}`;
}

function formatCandidates(candidates: readonly CandidateExplanation[]): string {
  return formatTable(
    ['server', 'domain', 'version', 'cost ms', 'parts ms', 'first event ms', 'ages ms'],
    candidates.map((candidate) => [
      candidate.serverId,
      candidate.failureDomain,
      candidate.version,
      formatMs(candidate.costMs),
      Object.entries(candidate.parts)
        .map(([part, costMs]) => `${part}=${formatMs(costMs)}`)
        .join(' ') || '-',
      formatMs(candidate.expectedFirstEventMs),
      `report=${formatMs(candidate.loadReportAgeMs)} peers=${formatMs(candidate.peerLoadAgeMs)} pace=${formatMs(candidate.paceAgeMs)}`,
    ]),
  );
}

function section(
  title: string,
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  return rows.length === 0 ? [] : [title, formatTable(head, rows)];
}

function formatMs(ms: number | undefined): string {
  return ms === undefined ? '-' : String(Math.round(ms));
}
