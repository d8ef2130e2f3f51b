import { hasLookup } from './simulation';
import type { SentRequest, CallSimulation } from './simulation';

/** Violations counted in one simulation. */
export interface CallCheckResult {
  readonly doubleRuns: number;
  /** Requests that ran although they were answered "not run". */
  readonly falseNotRun: number;
  readonly wrongAnswers: number;
  /** Requests answered later than their deadline plus the pauses of their router allows, or never. */
  readonly unanswered: number;
  readonly bookingsRun: number;
  readonly bookingsAnswered: number;
  /** Bookings that ran but whose answer a lookup after the faults did not return. */
  readonly leftUnknown: number;
  readonly leftUnknownWithLookup: number;
}

const ANSWER_GRACE_MS = 1_000;

export function checkCalls(simulation: CallSimulation, bookings: number): CallCheckResult {
  const bookingNumbers = Array.from({ length: bookings }, (_, index) => index);
  const ran = bookingNumbers.filter((booking) => simulation.storedRunOf(booking) !== undefined);
  const unknownRuns = ran.filter((booking) => simulation.finalLookups.get(booking)?.kind !== 'ok');
  const answered = new Set(simulation.requests.filter(isAnsweredOk).map(({ booking }) => booking));
  return {
    doubleRuns: simulation.runs().reduce((sum, { runs }) => sum + runs - 1, 0),
    falseNotRun: simulation.requests.filter((r) => isRefusedAsNotRun(r) && simulation.hasRun(r))
      .length,
    wrongAnswers: simulation.requests.filter((r) => isWrong(r, simulation)).length,
    unanswered: simulation.requests.filter(isUnanswered).length,
    bookingsRun: ran.length,
    bookingsAnswered: answered.size,
    leftUnknown: unknownRuns.length,
    leftUnknownWithLookup: unknownRuns.filter(hasLookup).length,
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

/** A correct answer is the one that the service gave for the same key and body. */
function isWrong(request: SentRequest, simulation: CallSimulation): boolean {
  const { outcome } = request;
  if (typeof outcome !== 'object') return false;
  const run = simulation.storedRunOf(request.booking);
  if (outcome.kind === 'error') {
    const isFalseReuse = outcome.error.code === 'key_reused' && run?.body === request.body;
    return isFalseReuse || (outcome.error.runState === 'ran' && run === undefined);
  }
  return run === undefined || run.body !== request.body || outcome.body !== run.answer;
}

function isUnanswered(request: SentRequest): boolean {
  const tookMs = request.answeredAtMs - request.sentAtMs;
  return tookMs > request.deadlineMs + request.pausedMs + ANSWER_GRACE_MS;
}
