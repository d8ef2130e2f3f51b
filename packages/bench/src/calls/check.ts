import { hasLookup } from './simulation';
import type { SentRequest, CallSimulation } from './simulation';

/** What went wrong in one world, and how often. */
export interface CallCheckResult {
  readonly doubleRuns: number;
  /** Requests that were told "not run" and ran. */
  readonly falseNotRun: number;
  readonly wrongAnswers: number;
  /** Requests to a router that stayed up and did not answer in time, pauses not counted. */
  readonly unanswered: number;
  readonly bookingsRun: number;
  readonly bookingsAnswered: number;
  /** Bookings that ran and whose run a later lookup could not tell. */
  readonly leftUnknown: number;
  readonly leftUnknownWithLookup: number;
}

const ANSWER_SLACK_MS = 1_000;

export function checkCalls(world: CallSimulation, bookings: number): CallCheckResult {
  const numbers = Array.from({ length: bookings }, (_, index) => index);
  const ran = numbers.filter((booking) => world.storedRunOf(booking) !== undefined);
  const left = ran.filter((booking) => world.finalLookups.get(booking)?.kind !== 'ok');
  const answered = new Set(world.requests.filter(isAnsweredOk).map(({ booking }) => booking));
  return {
    doubleRuns: world.runs().reduce((sum, { runs }) => sum + runs - 1, 0),
    falseNotRun: world.requests.filter((r) => isRefusedAsNotRun(r) && world.hasRun(r)).length,
    wrongAnswers: world.requests.filter((r) => isWrong(r, world)).length,
    unanswered: world.requests.filter(isUnanswered).length,
    bookingsRun: ran.length,
    bookingsAnswered: answered.size,
    leftUnknown: left.length,
    leftUnknownWithLookup: left.filter(hasLookup).length,
  };
}

function isAnsweredOk({ outcome }: SentRequest): boolean {
  return typeof outcome === 'object' && outcome.kind === 'ok';
}

function isRefusedAsNotRun({ outcome }: SentRequest): boolean {
  return (
    typeof outcome === 'object' && outcome.kind === 'error' && outcome.error.runState === 'not_run'
  );
}

/** An answer must be the one the service gave to this key and this body. */
function isWrong(request: SentRequest, world: CallSimulation): boolean {
  const { outcome } = request;
  if (typeof outcome !== 'object') return false;
  const run = world.storedRunOf(request.booking);
  if (outcome.kind === 'error') {
    const isFalseReuse = outcome.error.code === 'key_reused' && run?.body === request.body;
    return isFalseReuse || (outcome.error.runState === 'ran' && run === undefined);
  }
  return run === undefined || run.body !== request.body || outcome.body !== run.answer;
}

function isUnanswered(request: SentRequest): boolean {
  const tookMs = request.answeredAtMs - request.sentAtMs;
  return tookMs > request.deadlineMs + request.pausedMs + ANSWER_SLACK_MS;
}
