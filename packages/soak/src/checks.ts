import { eventText } from '@mimosamill/platform/standin';
import type { CallerResponse, StandinRun } from '@mimosamill/platform/standin';

export type RequestKind = 'stream' | 'once' | 'idempotent';

/** A request as its caller saw it. */
export interface Exchange {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly apiKey: string;
  readonly sentAtMs: number;
  readonly answer: CallerResponse;
}

/** A promise that was broken. */
export interface Violation {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

/** When a key was taken away. */
export type KeyRemovalTimes = ReadonlyMap<string, number>;

const OK = 200;
/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks what callers and servers saw against the promises. */
export function findViolations(
  exchanges: readonly Exchange[],
  runs: readonly StandinRun[],
  removed: KeyRemovalTimes,
  revokeMs: number,
  eventCount: number,
): Violation[] {
  const runsOf = new Map<string, StandinRun[]>();
  runs.forEach((run) => runsOf.set(run.requestId, [...(runsOf.get(run.requestId) ?? []), run]));
  return exchanges.flatMap((exchange) => {
    const own = runsOf.get(exchange.requestId) ?? [];
    return [
      ...checkRuns(exchange, own),
      ...checkKey(exchange, own, removed, revokeMs),
      ...checkAnswer(exchange, eventCount),
    ];
  });
}

function checkRuns({ requestId, kind, answer }: Exchange, own: readonly StandinRun[]): Violation[] {
  const found: Violation[] = [];
  const count = own.length;
  if (kind === 'once' && count > 1) {
    found.push({ promise: 'at most once', requestId, detail: `ran ${count} times` });
  }
  if (kind !== 'idempotent' && NOT_RUN_STATUSES.has(answer.status) && count > 0) {
    const detail = `answered ${answer.status} and ran ${count} times`;
    found.push({ promise: 'a refusal is true', requestId, detail });
  }
  return found;
}

function checkKey(
  { requestId, apiKey, sentAtMs }: Exchange,
  own: readonly StandinRun[],
  removed: KeyRemovalTimes,
  revokeMs: number,
): Violation[] {
  const removedAtMs = removed.get(apiKey);
  const isServable = removedAtMs === undefined || sentAtMs <= removedAtMs + revokeMs;
  if (isServable || own.length === 0) return [];
  const detail = `sent ${Math.round(sentAtMs - removedAtMs)} ms after its key was taken away`;
  return [{ promise: 'removed keys are not served', requestId, detail }];
}

function checkAnswer({ requestId, kind, answer }: Exchange, eventCount: number): Violation[] {
  if (answer.status !== OK) return [];
  if (kind !== 'stream') {
    if (!answer.isComplete || answer.body === `answer to ${requestId}`) return [];
    return [{ promise: 'own and whole answers', requestId, detail: answer.body.slice(0, 80) }];
  }
  const all = Array.from({ length: eventCount }, (_, at) => eventText(requestId, at + 1)).join('');
  if (!all.startsWith(answer.body)) {
    return [{ promise: 'no event missing or repeated', requestId, detail: answer.body.slice(-80) }];
  }
  if (answer.isComplete && answer.body.length < all.length) {
    return [
      { promise: 'a short stream is not complete', requestId, detail: `${answer.body.length}` },
    ];
  }
  return [];
}
