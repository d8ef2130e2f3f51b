import { asId, CONDEMNED_MS, partSetId } from '@mimosamill/core';
import { MESSAGE_FORMAT } from './state-schema';
import type { CrashReports } from './crash-guard';
import type { ServiceRetryTotals } from './retry-budgets';
import type {
  CrashReportsMessage,
  LimitMessage,
  LimitsMessage,
  MoveMessage,
  StateMessage,
} from './state-schema';
import type {
  CallCounts,
  LimitReports,
  PeerMove,
  PeerUpdate,
  PromptPartId,
  ServerLimitReport,
  ServiceName,
} from '@mimosamill/core';

/** What a router tells the others about itself and the servers. */
export interface RouterState {
  readonly update: PeerUpdate;
  readonly crashReports: CrashReports;
  readonly limits: LimitReports;
  /** Services of which the message tells nothing new may be left out. */
  readonly retryTotals: readonly ServiceRetryTotals[];
}

/** Translates the state of a router to a message; times become ages on the way. */
export function toStateMessage(routerState: RouterState, nowMs: number): StateMessage {
  const { update, crashReports, limits, retryTotals } = routerState;
  return [
    MESSAGE_FORMAT,
    update.hostId,
    update.failureDomain,
    update.incarnationId,
    update.sequence,
    update.canReadStore,
    update.loads.map((load) => [
      load.serverId,
      load.running,
      Math.round(load.prefillMs),
      load.copies,
      load.tokens,
    ]),
    update.failures.map(({ serverId, failure, failureNo, ageMs }) => [
      serverId,
      failure,
      failureNo,
      Math.round(ageMs),
    ]),
    update.moves.map(({ service, version, orderRevision, state, evidence }) => ({
      service,
      version,
      orderRevision,
      state,
      evidence,
    })),
    update.callCounts.map(({ serverId, route, successes, failures, slownessSum }) => [
      serverId,
      route,
      successes,
      failures,
      Math.round(slownessSum),
    ]),
    encodeCrashReports(crashReports, nowMs),
    [
      limits.servers.map(encodeLimit),
      limits.demands.map(({ service, requests }) => [service, requests]),
    ],
    retryTotals.map(({ service, requests, retries }) => [service, requests, retries]),
  ];
}

/** Translates a checked message back. */
export function fromStateMessage(message: StateMessage, nowMs: number): RouterState {
  const [
    ,
    hostId,
    failureDomain,
    incarnationId,
    sequence,
    canReadStore,
    loads,
    failures,
    moves,
    counts,
    crashReports,
    limits,
    retryTotals,
  ] = message;
  const update: PeerUpdate = {
    hostId: asId(hostId),
    failureDomain: asId(failureDomain),
    incarnationId,
    sequence,
    canReadStore,
    loads: loads.map(([serverId, running, prefillMs, copies, tokens]) => ({
      serverId: asId(serverId),
      running,
      prefillMs,
      copies,
      tokens,
    })),
    failures: failures.map(([serverId, failure, no, ageMs]) => ({
      serverId: asId(serverId),
      failure,
      failureNo: no,
      ageMs,
    })),
    moves: moves.map(decodeMove),
    callCounts: counts.map(([serverId, route, successes, failed, slownessSum]): CallCounts => ({
      serverId: asId(serverId),
      route,
      successes,
      failures: failed,
      slownessSum,
    })),
  };
  return {
    update,
    crashReports: decodeCrashReports(crashReports ?? [[], [], []], nowMs),
    limits: decodeLimits(limits ?? [[], []]),
    retryTotals: (retryTotals ?? []).map(([service, requests, retries]) => ({
      service: asId(service),
      requests,
      retries,
    })),
  };
}

/** Takes over the known fields only: a later release may send further ones. */
function decodeMove(move: MoveMessage): PeerMove {
  const { service, version, orderRevision, state, evidence } = move;
  const { fresh, former } = evidence;
  return {
    service: asId<ServiceName>(service),
    version,
    orderRevision,
    state,
    evidence: {
      fresh: { answers: fresh.answers, bad: fresh.bad },
      former: { answers: former.answers, bad: former.bad },
    },
  };
}

function encodeLimit({ serverId, named, sentByAge }: ServerLimitReport): LimitMessage {
  const lastSent = sentByAge.findLastIndex((count) => count > 0);
  const counts = sentByAge.slice(0, lastSent + 1);
  if (named === undefined) return [serverId, -1, -1, counts];
  return [serverId, Math.round(named.ageMs), named.requestsPerSec ?? -1, counts];
}

function decodeLimits([servers, demands]: LimitsMessage): LimitReports {
  return {
    servers: servers.map(decodeLimit),
    demands: demands.map(([service, requests]) => ({ service: asId(service), requests })),
  };
}

function decodeLimit([serverId, ageMs, perSec, sentByAge]: LimitMessage): ServerLimitReport {
  const requestsPerSec = perSec < 0 ? undefined : perSec;
  const named = ageMs < 0 ? undefined : { requestsPerSec, ageMs };
  return { serverId: asId(serverId), named, sentByAge };
}

function encodeCrashReports(reports: CrashReports, nowMs: number): CrashReportsMessage {
  const ageOf = (atMs: number): number => Math.round(nowMs - atMs);
  return [
    reports.crashes.map((crash) => [
      crash.requestId,
      crash.serverId,
      crash.failureDomain,
      ageOf(crash.atMs),
      crash.parts.length === 0 ? undefined : partSetId(crash.parts),
      [...crash.parts],
      crash.fingerprint,
      crash.isStream,
    ]),
    reports.answers.map(({ suspect, atMs }) => [suspect, ageOf(atMs)]),
    reports.condemned.map(({ suspect, condemnedAtMs, forMs, outweighsAnswers }) => [
      suspect,
      ageOf(condemnedAtMs),
      forMs,
      outweighsAnswers,
    ]),
  ];
}

function decodeCrashReports(
  [crashes, answers, condemned]: CrashReportsMessage,
  nowMs: number,
): CrashReports {
  return {
    crashes: crashes.map(
      ([requestId, serverId, domain, ageMs, , parts, fingerprint, isStream]) => ({
        requestId: asId(requestId),
        serverId: asId(serverId),
        failureDomain: asId(domain),
        atMs: nowMs - ageMs,
        parts: parts.map((part) => asId<PromptPartId>(part)),
        fingerprint: asId(fingerprint ?? requestId),
        isStream: isStream ?? true,
      }),
    ),
    answers: answers.map(([suspect, ageMs]) => ({
      suspect: asId<PromptPartId>(suspect),
      atMs: nowMs - ageMs,
    })),
    condemned: condemned.map(([suspect, ageMs, forMs, outweighsAnswers]) => ({
      suspect: asId<PromptPartId>(suspect),
      condemnedAtMs: nowMs - ageMs,
      forMs: forMs ?? CONDEMNED_MS,
      outweighsAnswers: outweighsAnswers ?? true,
    })),
  };
}
