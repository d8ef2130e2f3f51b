import { setTimeout as wait } from 'node:timers/promises';
import { createRandom } from '@mimosamill/fakes';
import { startFleet } from '../fleet/fleet';
import { commitSampleConfig, SAMPLE, SAMPLE_DOMAINS, startRouters } from '../fleet/setup';
import type { Fleet, FleetNode } from '../fleet/fleet';

/** Outcome of the bookings sent to real processes. */
export interface CallProcessResult {
  readonly double_runs: number;
  /** Bookings that ran although all their requests were answered "not run". */
  readonly false_not_run: number;
  readonly wrong_answers: number;
  /** Requests without an answer 2 s after their deadline plus the longest pause of a router. */
  readonly unanswered: number;
  readonly trials: number;
  readonly bookings_run: number;
  readonly bookings_answered: number;
  readonly phases: readonly string[];
}

interface SentBooking {
  readonly booking: number;
  /** The HTTP answer, or how the connection ended. */
  outcome: Outcome;
}

type Outcome =
  | { readonly kind: 'ok'; readonly body: string }
  | { readonly kind: 'error'; readonly state: string }
  | { readonly kind: 'connection_lost' }
  | { readonly kind: 'no_answer' };

interface Phase {
  readonly name: string;
  readonly start: (bookingFleet: BookingFleet) => Promise<void>;
  readonly end: (bookingFleet: BookingFleet) => Promise<void>;
}

interface BookingFleet {
  readonly fleet: Fleet;
  readonly routers: FleetNode[];
  readonly servers: readonly FleetNode[];
}

const PHASE_MS = 2_500;
const BOOKINGS_PER_PHASE = 60;
const DEADLINE_MS = 2_000;
const MAX_PAUSE_MS = 2_500;
const ANSWER_GRACE_MS = 2_000;
const MAX_SENDS = 6;
const FINAL_WAIT_MS = 3_000;

const HEALTHY_TABLES = { isDown: false, delayMs: 0, lostAnswerRatio: 0 };
const HEALTHY_SERVERS = { delayMs: 0, answerDelayMs: 0, lostAnswerRatio: 0, crossedAnswerRatio: 0 };

function setTableFaults(faults: object): (bookingFleet: BookingFleet) => Promise<void> {
  return ({ fleet }) => fleet.setFaults({ ...HEALTHY_TABLES, ...faults });
}

function setAnswerFaults(faults: object): (bookingFleet: BookingFleet) => Promise<void> {
  return async ({ fleet, servers }) => {
    const all = servers.map(({ directAddress }) =>
      fleet.post(directAddress, '/faults', { ...HEALTHY_SERVERS, ...faults }),
    );
    await Promise.all(all);
  };
}

async function clearFaults(bookingFleet: BookingFleet): Promise<void> {
  bookingFleet.routers.forEach(({ process }) => process.resume());
  bookingFleet.servers.forEach(({ process }) => process.resume());
  await setTableFaults({})(bookingFleet);
  await setAnswerFaults({})(bookingFleet);
}

async function replaceRouter(bookingFleet: BookingFleet): Promise<void> {
  await bookingFleet.routers[0]?.process.kill();
  const [failureDomain = ''] = SAMPLE_DOMAINS;
  const router = await bookingFleet.fleet.startRouter({ id: 'router-0', failureDomain });
  await bookingFleet.fleet.waitReady([router]);
  bookingFleet.routers[0] = router;
}

async function pauseRouter({ routers }: BookingFleet): Promise<void> {
  routers[1]?.process.pause();
}

async function pauseServer({ servers }: BookingFleet): Promise<void> {
  servers[0]?.process.pause();
}

async function runBoth(
  bookingFleet: BookingFleet,
  first: (bookingFleet: BookingFleet) => Promise<void>,
  second: (bookingFleet: BookingFleet) => Promise<void>,
): Promise<void> {
  await Promise.all([first(bookingFleet), second(bookingFleet)]);
}

const loseCommitAnswers = setTableFaults({ lostAnswerRatio: 0.5 });
const slowTables = setTableFaults({ delayMs: 400 });
const stopTables = setTableFaults({ isDown: true });
const loseOrCrossAnswers = setAnswerFaults({
  delayMs: 20,
  lostAnswerRatio: 0.3,
  crossedAnswerRatio: 0.3,
});
const delayAnswers = setAnswerFaults({ delayMs: 20, answerDelayMs: 2_500 });

const PHASES: readonly Phase[] = [
  {
    name: 'router_killed+tables_slow',
    start: (bookingFleet) => runBoth(bookingFleet, slowTables, replaceRouter),
    end: clearFaults,
  },
  {
    name: 'router_paused+commit_answer_lost',
    start: (bookingFleet) => runBoth(bookingFleet, loseCommitAnswers, pauseRouter),
    end: clearFaults,
  },
  {
    name: 'server_paused+answers_lost_or_crossed',
    start: async (bookingFleet) => {
      await loseOrCrossAnswers(bookingFleet);
      await pauseServer(bookingFleet);
    },
    end: clearFaults,
  },
  {
    name: 'tables_outage+router_killed',
    start: async (bookingFleet) => {
      await bookingFleet.routers[0]?.process.kill();
      await stopTables(bookingFleet);
    },
    end: async (bookingFleet) => {
      await clearFaults(bookingFleet);
      await replaceRouter(bookingFleet);
    },
  },
  {
    name: 'answers_late+commit_answer_lost',
    start: (bookingFleet) => runBoth(bookingFleet, delayAnswers, loseCommitAnswers),
    end: clearFaults,
  },
  {
    name: 'router_paused+router_killed',
    start: (bookingFleet) => runBoth(bookingFleet, pauseRouter, replaceRouter),
    end: clearFaults,
  },
];

/** Sends bookings through three routers to three servers under pairs of faults; callers resend. */
export async function measureCallProcesses(seed: number): Promise<CallProcessResult> {
  const fleet = await startFleet({ seed });
  try {
    const bookingFleet = await startBookingFleet(fleet);
    const sent = await runPhases(bookingFleet, createRandom(seed));
    return checkBookings(sent, await collectRuns(bookingFleet));
  } finally {
    await fleet.stop();
  }
}

async function startBookingFleet(fleet: Fleet): Promise<BookingFleet> {
  const servers: FleetNode[] = [];
  for (const [index, domain] of SAMPLE_DOMAINS.entries()) {
    servers.push(await fleet.startService(`shop-${index}`, SAMPLE.plainService, domain));
  }
  await commitSampleConfig(fleet);
  const routers = await startRouters(fleet);
  return { fleet, routers, servers };
}

async function runPhases(bookingFleet: BookingFleet, random: () => number): Promise<SentBooking[]> {
  const sent: SentBooking[] = [];
  const callers: Promise<void>[] = [];
  for (const [phaseIndex, phase] of PHASES.entries()) {
    for (let index = 0; index < BOOKINGS_PER_PHASE; index += 1) {
      const booking = phaseIndex * BOOKINGS_PER_PHASE + index;
      // The fault starts after 100 ms, when the first bookings are already running.
      const startMs = random() * PHASE_MS;
      callers.push(wait(startMs).then(() => book(bookingFleet, booking, sent, random)));
    }
    await wait(100);
    await phase.start(bookingFleet);
    await wait(PHASE_MS);
    await phase.end(bookingFleet);
  }
  await Promise.all(callers);
  await wait(FINAL_WAIT_MS);
  return sent;
}

/** Sends through any router until one answer is known; some attempts send two requests at once. */
async function book(
  bookingFleet: BookingFleet,
  booking: number,
  sent: SentBooking[],
  random: () => number,
): Promise<void> {
  for (let sends = 0; sends < MAX_SENDS; sends += 1) {
    const requests = random() < 0.3 ? 2 : 1;
    const outcomes = Array.from({ length: requests }, () =>
      send(bookingFleet, booking, sent, random),
    );
    const isKnown = (await Promise.all(outcomes)).some(({ kind }) => kind === 'ok');
    if (isKnown) return;
    await wait(200 + random() * 400);
  }
}

async function send(
  bookingFleet: BookingFleet,
  booking: number,
  sent: SentBooking[],
  random: () => number,
): Promise<Outcome> {
  const router = bookingFleet.routers[Math.floor(random() * bookingFleet.routers.length)];
  const answer = await bookingFleet.fleet.http.fetch(
    `http://${router?.address}/v1/services/${SAMPLE.plainService}/book`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${SAMPLE.key}`,
        'idempotency-key': keyOf(booking),
        'x-deadline-ms': String(DEADLINE_MS),
      },
      body: JSON.stringify({ slot: booking }),
      timeoutMs: DEADLINE_MS + MAX_PAUSE_MS + ANSWER_GRACE_MS,
    },
  );
  const outcome = toOutcome(answer);
  sent.push({ booking, outcome });
  return outcome;
}

function toOutcome(answer: Awaited<ReturnType<Fleet['http']['fetch']>>): Outcome {
  if (answer.kind === 'not_sent') return { kind: 'connection_lost' };
  if (answer.kind === 'no_answer') {
    const isTimeout = /timeout|abort/i.test(answer.message);
    return { kind: isTimeout ? 'no_answer' : 'connection_lost' };
  }
  if (answer.status === 200) return { kind: 'ok', body: answer.body };
  const { error } = JSON.parse(answer.body) as { error: { outcome: string } };
  return { kind: 'error', state: error.outcome };
}

interface StoredBooking {
  readonly key: string;
  readonly runs: number;
  readonly answer: string;
}

async function collectRuns({ fleet, servers }: BookingFleet): Promise<StoredBooking[]> {
  const pages = await Promise.all(
    servers.map(({ directAddress }) => fleet.get(directAddress, '/runs')),
  );
  return pages.flatMap((page) => (page as { runs: StoredBooking[] }).runs);
}

function checkBookings(
  sent: readonly SentBooking[],
  runs: readonly StoredBooking[],
): CallProcessResult {
  const bookings = PHASES.length * BOOKINGS_PER_PHASE;
  const runsOf = (booking: number): StoredBooking[] =>
    runs.filter(({ key }) => key.endsWith(`/${keyOf(booking)}`));
  const countRuns = (booking: number): number =>
    runsOf(booking).reduce((sum, run) => sum + run.runs, 0);
  const bookingNumbers = Array.from({ length: bookings }, (_, index) => index);
  const isWrong = ({ booking, outcome }: SentBooking): boolean => {
    if (outcome.kind === 'error') return outcome.state === 'ran' && countRuns(booking) === 0;
    return outcome.kind === 'ok' && !runsOf(booking).some(({ answer }) => answer === outcome.body);
  };
  const isRefusedAlways = (booking: number): boolean =>
    sent
      .filter((request) => request.booking === booking)
      .every(({ outcome }) => outcome.kind === 'error' && outcome.state === 'not_run');
  const answered = new Set(
    sent.filter(({ outcome }) => outcome.kind === 'ok').map(({ booking }) => booking),
  );
  return {
    double_runs: bookingNumbers.reduce(
      (sum, booking) => sum + Math.max(0, countRuns(booking) - 1),
      0,
    ),
    false_not_run: bookingNumbers.filter((n) => isRefusedAlways(n) && countRuns(n) > 0).length,
    wrong_answers: sent.filter(isWrong).length,
    unanswered: sent.filter(({ outcome }) => outcome.kind === 'no_answer').length,
    trials: bookings,
    bookings_run: bookingNumbers.filter((booking) => countRuns(booking) > 0).length,
    bookings_answered: answered.size,
    phases: PHASES.map(({ name }) => name),
  };
}

function keyOf(booking: number): string {
  return `booking-${booking}`;
}
