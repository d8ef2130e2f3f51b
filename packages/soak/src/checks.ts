import { eventText } from '@mimosamill/platform/standin';
import type { CallerResponse, StandinRun } from '@mimosamill/platform/standin';

export type RequestKind = 'stream' | 'once' | 'idempotent';

/** A request and the response that its caller received. */
export interface Exchange {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly apiKey: string;
  readonly sentAtMs: number;
  readonly answer: CallerResponse;
}

/** A broken promise, with the request that shows it. */
export interface Violation {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

/** Time of removal of each removed API key. */
export type KeyRemovalTimes = ReadonlyMap<string, number>;

const OK = 200;
/** A response with one of these statuses promises that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks what callers received and what servers executed against the promises to callers. */
export function findViolations(
  exchanges: readonly Exchange[],
  runs: readonly StandinRun[],
  keyRemovalTimes: KeyRemovalTimes,
  revokeMs: number,
  eventCount: number,
): Violation[] {
  const runsByRequest = new Map<string, StandinRun[]>();
  runs.forEach((run) =>
    runsByRequest.set(run.requestId, [...(runsByRequest.get(run.requestId) ?? []), run]),
  );
  return exchanges.flatMap((exchange) => {
    const ownRuns = runsByRequest.get(exchange.requestId) ?? [];
    return [
      ...checkRuns(exchange, ownRuns),
      ...checkKey(exchange, ownRuns, keyRemovalTimes, revokeMs),
      ...checkAnswer(exchange, eventCount),
    ];
  });
}

function checkRuns(
  { requestId, kind, answer }: Exchange,
  ownRuns: readonly StandinRun[],
): Violation[] {
  const violations: Violation[] = [];
  const count = ownRuns.length;
  if (kind === 'once' && count > 1) {
    violations.push({ promise: 'at most once', requestId, detail: `ran ${count} times` });
  }
  if (kind !== 'idempotent' && NOT_RUN_STATUSES.has(answer.status) && count > 0) {
    const detail = `answered ${answer.status} and ran ${count} times`;
    violations.push({ promise: 'a refusal is true', requestId, detail });
  }
  return violations;
}

function checkKey(
  { requestId, apiKey, sentAtMs }: Exchange,
  ownRuns: readonly StandinRun[],
  keyRemovalTimes: KeyRemovalTimes,
  revokeMs: number,
): Violation[] {
  const removedAtMs = keyRemovalTimes.get(apiKey);
  const isServable = removedAtMs === undefined || sentAtMs <= removedAtMs + revokeMs;
  if (isServable || ownRuns.length === 0) return [];
  const detail = `sent ${Math.round(sentAtMs - removedAtMs)} ms after its key was removed`;
  return [{ promise: 'removed keys are not served', requestId, detail }];
}

function checkAnswer({ requestId, kind, answer }: Exchange, eventCount: number): Violation[] {
  if (answer.status !== OK) return [];
  if (kind !== 'stream') {
    if (!answer.isComplete || answer.body === `answer to ${requestId}`) return [];
    return [{ promise: 'own and whole answers', requestId, detail: answer.body.slice(0, 80) }];
  }
  const expectedBody = Array.from({ length: eventCount }, (_, at) =>
    eventText(requestId, at + 1),
  ).join('');
  if (!expectedBody.startsWith(answer.body)) {
    return [{ promise: 'no event missing or repeated', requestId, detail: answer.body.slice(-80) }];
  }
  if (answer.isComplete && answer.body.length < expectedBody.length) {
    return [
      {
        promise: 'a short stream is not complete',
        requestId,
        detail: `complete after ${answer.body.length} characters`,
      },
    ];
  }
  return [];
}
