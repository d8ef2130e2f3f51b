import type { ServerFailure } from '@mimosamill/core';

/** Messages of another format are ignored. */
export const MESSAGE_FORMAT = 4;

interface AnswerCounts {
  answers: number;
  bad: number;
}

export interface MoveMessage {
  service: string;
  version: string;
  /** Absent from a router of an earlier release. */
  orderRevision?: number | undefined;
  state: 'running' | 'completed' | 'rolled_back';
  evidence: { fresh: AnswerCounts; former: AnswerCounts };
}

export type LoadMessage = [
  serverId: string,
  running: number,
  prefillMs: number,
  copies: number,
  tokens: number,
];
type FailureMessage = [serverId: string, failure: ServerFailure, failureNo: number, ageMs: number];
type CallCountMessage = [
  serverId: string,
  route: string,
  successes: number,
  failures: number,
  slownessSum: number,
];
type RetryTotalsMessage = [service: string, requests: number, retries: number];
/** A server's limit; a negative age stands for no news, a negative limit for none. */
export type LimitMessage = [serverId: string, ageMs: number, perSec: number, sentByAge: number[]];
export type LimitsMessage = [servers: LimitMessage[], demands: [service: string, count: number][]];
type CrashMessage = [
  requestId: string,
  serverId: string,
  failureDomain: string,
  ageMs: number,
  /** Read by earlier releases only. */
  combination: string | undefined,
  parts: string[],
  /** Absent from a router of an earlier release, as is the next field. */
  fingerprint?: string | undefined,
  isStream?: boolean | undefined,
];
type SuspectAnswerMessage = [suspect: string, ageMs: number];
type CondemnedMessage = [
  suspect: string,
  ageMs: number,
  forMs?: number | undefined,
  outweighsAnswers?: boolean | undefined,
];
export type CrashReportsMessage = [
  crashes: CrashMessage[],
  answers: SuspectAnswerMessage[],
  condemned: CondemnedMessage[],
];

/** A message on the wire: an array without field names, to keep it short. */
export type StateMessage = [
  format: typeof MESSAGE_FORMAT,
  hostId: string,
  failureDomain: string,
  incarnationId: string,
  sequence: number,
  /** Whether the sender can read the store. */
  canReadStore: boolean,
  loads: LoadMessage[],
  failures: FailureMessage[],
  moves: MoveMessage[],
  callCounts: CallCountMessage[],
  /** Absent from a router of an earlier release, as are the next two. */
  crashReports?: CrashReportsMessage | undefined,
  limits?: LimitsMessage | undefined,
  retryTotals?: RetryTotalsMessage[] | undefined,
];

type Check = (value: unknown) => boolean;

const FAILURES: ReadonlySet<unknown> = new Set<ServerFailure>([
  'refused',
  'silent',
  'reset',
  'misdirected',
  'unread',
]);
const MOVE_STATES: ReadonlySet<unknown> = new Set<MoveMessage['state']>([
  'running',
  'completed',
  'rolled_back',
]);

const isText: Check = (value) => typeof value === 'string';
const isFlag: Check = (value) => typeof value === 'boolean';
const isNumber: Check = (value) => Number.isFinite(value);
const isCount: Check = (value) => typeof value === 'number' && value >= 0 && value < Infinity;

function optional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

function listOf(check: Check): Check {
  return (value) => Array.isArray(value) && value.every((item) => check(item));
}

/** Trailing items that are optional may also be left out. */
function tupleOf(required: readonly Check[], optionals: readonly Check[] = []): Check {
  const checks = [...required, ...optionals.map(optional)];
  return (value) =>
    Array.isArray(value) &&
    value.length >= required.length &&
    value.length <= checks.length &&
    value.every((item, at) => checks[at]?.(item) === true);
}

function recordOf(checks: Readonly<Record<string, Check>>): Check {
  const fields = Object.entries(checks);
  return (value) =>
    typeof value === 'object' &&
    value !== null &&
    fields.every(([name, check]) => check((value as Record<string, unknown>)[name]));
}

const isAnswerCounts = recordOf({ answers: isCount, bad: isCount });
const isMove = recordOf({
  service: isText,
  version: isText,
  orderRevision: optional(isCount),
  state: (value) => MOVE_STATES.has(value),
  evidence: recordOf({ fresh: isAnswerCounts, former: isAnswerCounts }),
});
const isLimits = tupleOf([
  listOf(tupleOf([isText, isNumber, isNumber, listOf(isCount)])),
  listOf(tupleOf([isText, isCount])),
]);
const isCrash = tupleOf(
  [isText, isText, isText, isNumber, optional(isText), listOf(isText)],
  [isText, isFlag],
);
const isCrashReports = tupleOf([
  listOf(isCrash),
  listOf(tupleOf([isText, isNumber])),
  listOf(tupleOf([isText, isNumber], [isNumber, isFlag])),
]);
const isMessage = tupleOf(
  [
    (value) => value === MESSAGE_FORMAT,
    (value) => isText(value) && value !== '',
    isText,
    isText,
    isCount,
    isFlag,
    listOf(tupleOf([isText, isCount, isCount, isCount, isCount])),
    listOf(tupleOf([isText, (value) => FAILURES.has(value), isCount, isNumber])),
    listOf(isMove),
    listOf(tupleOf([isText, isText, isCount, isCount, isCount])),
  ],
  [isCrashReports, isLimits, listOf(tupleOf([isText, isCount, isCount]))],
);

/**
 * Anyone can send a datagram to the port, so a message is checked before any of it is used. The checks
 * are plain functions, because a message comes from each other router several times a second and a
 * schema took nearly half of the time in which it is received.
 */
export function isStateMessage(value: unknown): value is StateMessage {
  return isMessage(value);
}

/** Servers, how long work takes there in percent of the usual time, and the ages of these figures. */
export type PaceMessage = [
  kind: 'pace',
  hostId: string,
  reports: [serverId: string, workTimePercent: number, ageMs: number][],
];

const isPace = tupleOf([
  (value) => value === 'pace',
  (value) => isText(value) && value !== '',
  listOf(tupleOf([isText, isCount, isCount])),
]);

/** Checks a message before any of it is used, as for states. */
export function isPaceMessage(value: unknown): value is PaceMessage {
  return isPace(value);
}
