import { asId, CONDEMNED_MS } from '@mimosamill/core';
import { Packr } from 'msgpackr';
import { MESSAGE_FORMAT, stateMessageSchema } from './state-schema';
import type { CrashReports } from './crash-guard';
import type { ServiceRetryTotals } from './retry-budgets';
import type {
  CrashReportsMessage,
  LimitMessage,
  LimitsMessage,
  StateMessage,
} from './state-schema';
import type {
  CallCounts,
  LimitReports,
  PaceReport,
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
  readonly paces: readonly PaceReport[];
}

/** Translates the state of a router to a datagram and back; times become ages on the way. */
export interface StateCodec {
  readonly encode: (state: RouterState, nowMs: number) => Uint8Array;
  /** Undefined for bytes that are no message of this format. */
  readonly decode: (bytes: Buffer, nowMs: number) => RouterState | undefined;
}

export function createStateCodec(): StateCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode: (state, nowMs) => packr.pack(toMessage(state, nowMs)),
    decode: (bytes, nowMs) => {
      let unpacked: unknown;
      try {
        unpacked = packr.unpack(bytes);
      } catch {
        return undefined;
      }
      const { data: message } = stateMessageSchema.safeParse(unpacked);
      return message === undefined ? undefined : toState(message, nowMs);
    },
  };
}

function toMessage(routerState: RouterState, nowMs: number): StateMessage {
  const { update, crashReports, limits, retryTotals, paces } = routerState;
  const message: StateMessage = [
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
  // A router of an earlier release cannot read a message with this field.
  if (paces.length > 0) message[13] = paces.map(encodePace);
  return message;
}

function toState(message: StateMessage, nowMs: number): RouterState {
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
    paces,
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
    moves: moves.map(({ service, ...move }) => ({ service: asId<ServiceName>(service), ...move })),
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
    paces: (paces ?? []).map(([serverId, workTimePercent, ageMs]) => ({
      serverId: asId(serverId),
      workTimePercent,
      ageMs,
    })),
  };
}

function encodePace({ serverId, workTimePercent, ageMs }: PaceReport): [string, number, number] {
  return [serverId, workTimePercent, Math.round(ageMs)];
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
      crash.combination,
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
      ([requestId, serverId, domain, ageMs, combination, parts, fingerprint, isStream]) => ({
        requestId: asId(requestId),
        serverId: asId(serverId),
        failureDomain: asId(domain),
        atMs: nowMs - ageMs,
        combination: combination === undefined ? undefined : asId<PromptPartId>(combination),
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
