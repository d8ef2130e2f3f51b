import { asId, CONDEMNED_MS } from '@mimosamill/core';
import { Packr } from 'msgpackr';
import type { CrashReports } from './crash-guard';
import type { Clock, DatagramSocket, DecisionLog } from '@mimosamill/adapters';
import type {
  CallCounts,
  CallOutcomeTracker,
  FailureDomain,
  Fleet,
  HostId,
  PeerRegistry,
  PeerFailure,
  PeerMove,
  PeerUpdate,
  PromptPartId,
  ServerFailure,
  ServerId,
  ServerLimitReport,
} from '@mimosamill/core';

/** Addresses of the other routers. */
export interface PeerDirectory {
  readonly addresses: () => readonly string[];
  /** Called with the sender of each message; it may not be listed yet. */
  readonly onMessageFrom: (address: string) => void;
}

export interface StateBroadcastSettings {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  readonly incarnationId: string;
}

export interface StateBroadcastPorts {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly fleet: Fleet;
  readonly peerRegistry: PeerRegistry;
  readonly callOutcomes: CallOutcomeTracker;
  readonly peers: PeerDirectory;
  readonly datagrams: () => DatagramSocket | undefined;
  readonly onDomainSuspected: (failureDomain: FailureDomain) => void;
  readonly onServerLost: (serverId: ServerId) => void;
  readonly prefillMsPerToken: () => number;
  /** Whether this router can read the store on behalf of other routers. */
  readonly canReadStore: () => boolean;
  readonly ownMoves: () => readonly PeerMove[];
  readonly ownCrashReports: (nowMs: number) => CrashReports;
  readonly onCrashReports: (reports: CrashReports) => void;
}

/**
 * Sends this router's load at each server, the failures and call results that it observed and its
 * moves to all other routers by UDP.
 */
export interface StateBroadcast {
  /** For changes that affect the next placements of other routers; sent after a short batch delay. */
  readonly sendSoon: () => void;
  /** For changes that can wait; sent after a longer batch delay. */
  readonly sendLater: () => void;
  readonly onServerFailure: (serverId: ServerId, failure: ServerFailure) => void;
  readonly onMessage: (bytes: Buffer, from: string) => void;
  readonly stop: () => void;
}

/**
 * Changes within this time are sent as one message. The delay grows with the number of routers: each
 * message goes to all of them, so with a fixed delay the number of messages that each one receives
 * would grow with the number of routers.
 */
const BATCH_DELAY_MS = 15;
const BATCH_DELAY_MS_PER_PEER = 0.5;
const LATER_BATCH_DELAY_MS = 200;
const LATER_BATCH_DELAY_MS_PER_PEER = 6;
/** A failure is sent at once, and repeated in each message for this time, since a datagram may be lost. */
const FAILURE_REPEAT_MS = 1_500;
/** Longest time between two messages. */
const HEARTBEAT_PERIOD_MS = 1_000;
const MESSAGE_FORMAT = 4;

/** A message on the wire: an array without field names, to keep it short. */
type StateMessage = [
  format: number,
  hostId: string,
  failureDomain: string,
  incarnationId: string,
  sequence: number,
  canRead: boolean,
  loads: [string, number, number, number, number][],
  failures: [string, ServerFailure, number, number][],
  moves: readonly PeerMove[],
  callCounts: [string, string, number, number, number][],
  /** Undefined from a router of an earlier release. */
  crashReports?: CrashReportsMessage,
  /** Undefined likewise. */
  limits?: LimitMessage[],
];

/** A server's limit; a negative age stands for no news, a negative limit for none. */
type LimitMessage = [
  serverId: string,
  ageMs: number,
  requestsPerSec: number,
  sentByAge: readonly number[],
  wanted: number,
];

/** Reports on prompt parts, with the age of each in place of its time. */
type CrashReportsMessage = [
  crashes: [
    requestId: string,
    engineId: string,
    failureDomain: string,
    ageMs: number,
    combination: string | undefined,
    parts: string[],
    // Undefined from a router of an earlier release, as is the last field below.
    fingerprint?: string,
    isStream?: boolean,
  ][],
  cleared: [suspect: string, ageMs: number][],
  condemned: [suspect: string, ageMs: number, forMs?: number][],
];

interface OwnFailure {
  readonly serverId: ServerId;
  readonly failure: ServerFailure;
  readonly failureNo: number;
  readonly atMs: number;
}

export function createStateBroadcast(
  settings: StateBroadcastSettings,
  ports: StateBroadcastPorts,
): StateBroadcast {
  const { clock, fleet, peerRegistry } = ports;
  const packr = new Packr({ useRecords: false });
  let sequence = 0;
  let lastPeerCount = 0;
  let failureNo = 0;
  let failures: OwnFailure[] = [];
  let cancelUrgent: (() => void) | undefined;
  let cancelLater: (() => void) | undefined;
  let cancelHeartbeat = clock.runAfter(HEARTBEAT_PERIOD_MS, sendAll);

  function encode(nowMs: number, callCounts: readonly CallCounts[]): Uint8Array {
    sequence += 1;
    const message: StateMessage = [
      MESSAGE_FORMAT,
      settings.hostId,
      settings.failureDomain,
      settings.incarnationId,
      sequence,
      ports.canReadStore(),
      fleet
        .ownLoads(nowMs, ports.prefillMsPerToken())
        .map((load) => [
          load.serverId,
          load.running,
          Math.round(load.prefillMs),
          load.copies,
          load.tokens,
        ]),
      failures.map((failed) => [
        failed.serverId,
        failed.failure,
        failed.failureNo,
        Math.round(nowMs - failed.atMs),
      ]),
      ports.ownMoves(),
      callCounts.map(({ serverId, route, successes, failures: failed, slownessSum }) => [
        serverId,
        route,
        successes,
        failed,
        Math.round(slownessSum),
      ]),
      encodeCrashReports(ports.ownCrashReports(nowMs), nowMs),
      fleet.limits.ownReports(nowMs).map(encodeLimit),
    ];
    return packr.pack(message);
  }

  /** Sends everything except the call results, which wait for the next full message. */
  function sendUrgent(): void {
    send([]);
  }

  function sendAll(): void {
    cancelLater?.();
    cancelLater = undefined;
    send(ports.callOutcomes.recentCounts(clock.monotonicMs()));
  }

  function send(callCounts: readonly CallCounts[]): void {
    cancelUrgent?.();
    cancelUrgent = undefined;
    cancelHeartbeat();
    cancelHeartbeat = clock.runAfter(HEARTBEAT_PERIOD_MS, sendAll);
    const socket = ports.datagrams();
    if (socket === undefined) return;
    const nowMs = clock.monotonicMs();
    failures = failures.filter(({ atMs }) => nowMs - atMs < FAILURE_REPEAT_MS);
    const bytes = encode(nowMs, callCounts);
    const addresses = ports.peers.addresses();
    lastPeerCount = addresses.length;
    addresses.forEach((address) => socket.send(address, bytes));
  }

  function decode(bytes: Buffer, nowMs: number): PeerMessage | undefined {
    let wire: StateMessage;
    try {
      wire = packr.unpack(bytes) as StateMessage;
    } catch {
      return undefined;
    }
    if (!Array.isArray(wire) || wire[0] !== MESSAGE_FORMAT) return undefined;
    const [
      ,
      hostId,
      failureDomain,
      incarnationId,
      peerSequence,
      canReadStore,
      loads,
      peerFailures,
      moves,
      counts,
      crashReports,
      limits,
    ] = wire;
    const update: PeerUpdate = {
      hostId: asId(hostId),
      failureDomain: asId(failureDomain),
      incarnationId,
      sequence: peerSequence,
      canReadStore,
      loads: loads.map(([serverId, running, prefillMs, copies, tokens]) => ({
        serverId: asId(serverId),
        running,
        prefillMs,
        copies,
        tokens,
      })),
      failures: peerFailures.map(([serverId, failure, no, ageMs]) => ({
        serverId: asId(serverId),
        failure,
        failureNo: no,
        ageMs,
      })),
      moves,
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
      limits: (limits ?? []).map(decodeLimit),
    };
  }

  function onPeerLimits(hostId: HostId, limits: readonly ServerLimitReport[], nowMs: number): void {
    fleet.limits.onPeerReports(hostId, limits, nowMs).forEach(({ serverId, requestsPerSec }) => {
      ports.decisions.vital('server.limit', {
        server: serverId,
        requests_per_sec: requestsPerSec,
        source: hostId,
      });
    });
  }

  function onPeerFailure(hostId: HostId, failed: PeerFailure, nowMs: number): void {
    const effect = fleet.onPeerFailure(failed.serverId, failed.failure, nowMs - failed.ageMs);
    if (effect === undefined) return;
    ports.decisions.notable('server.lost_by_peer', {
      server: failed.serverId,
      loss: failed.failure,
      peer: hostId,
      age_ms: failed.ageMs,
      doubted_domain: effect.suspectedDomain,
    });
    if (failed.failure !== 'unread') ports.onServerLost(failed.serverId);
    if (effect.suspectedDomain !== undefined) ports.onDomainSuspected(effect.suspectedDomain);
  }

  return {
    sendSoon: () => {
      const delayMs = Math.max(BATCH_DELAY_MS, lastPeerCount * BATCH_DELAY_MS_PER_PEER);
      cancelUrgent ??= clock.runAfter(delayMs, sendUrgent);
    },
    sendLater: () => {
      const delayMs = Math.max(LATER_BATCH_DELAY_MS, lastPeerCount * LATER_BATCH_DELAY_MS_PER_PEER);
      cancelLater ??= clock.runAfter(delayMs, sendAll);
    },
    onServerFailure: (serverId, failure) => {
      failureNo += 1;
      failures.push({ serverId, failure, failureNo, atMs: clock.monotonicMs() });
      sendUrgent();
    },
    onMessage: (bytes, from) => {
      const nowMs = clock.monotonicMs();
      const message = decode(bytes, nowMs);
      if (message === undefined || message.update.hostId === settings.hostId) return;
      const { update, crashReports, limits } = message;
      ports.peers.onMessageFrom(from);
      const peerFailures = peerRegistry.onUpdate(update, from, nowMs);
      if (peerFailures === undefined) return;
      peerFailures.forEach((failure) => onPeerFailure(update.hostId, failure, nowMs));
      ports.callOutcomes.onPeerCounts(
        update.hostId,
        update.incarnationId,
        update.callCounts,
        nowMs,
      );
      ports.onCrashReports(crashReports);
      onPeerLimits(update.hostId, limits, nowMs);
    },
    stop: () => {
      cancelUrgent?.();
      cancelLater?.();
      cancelHeartbeat();
    },
  };
}

interface PeerMessage {
  readonly update: PeerUpdate;
  readonly crashReports: CrashReports;
  readonly limits: readonly ServerLimitReport[];
}

function encodeLimit({ serverId, named, sentByAge, wanted }: ServerLimitReport): LimitMessage {
  const lastSent = sentByAge.findLastIndex((count) => count > 0);
  const counts = sentByAge.slice(0, lastSent + 1);
  if (named === undefined) return [serverId, -1, -1, counts, wanted];
  return [serverId, Math.round(named.ageMs), named.requestsPerSec ?? -1, counts, wanted];
}

function decodeLimit([
  serverId,
  ageMs,
  perSec,
  sentByAge,
  wanted,
]: LimitMessage): ServerLimitReport {
  const requestsPerSec = perSec < 0 ? undefined : perSec;
  const named = ageMs < 0 ? undefined : { requestsPerSec, ageMs };
  return { serverId: asId(serverId), named, sentByAge, wanted };
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
    reports.cleared.map(({ suspect, atMs }) => [suspect, ageOf(atMs)]),
    reports.condemned.map(({ suspect, condemnedAtMs, forMs }) => [
      suspect,
      ageOf(condemnedAtMs),
      forMs,
    ]),
  ];
}

function decodeCrashReports(
  [crashes, cleared, condemned]: CrashReportsMessage,
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
    cleared: cleared.map(([suspect, ageMs]) => ({
      suspect: asId<PromptPartId>(suspect),
      atMs: nowMs - ageMs,
    })),
    condemned: condemned.map(([suspect, ageMs, forMs]) => ({
      suspect: asId<PromptPartId>(suspect),
      condemnedAtMs: nowMs - ageMs,
      forMs: forMs ?? CONDEMNED_MS,
    })),
  };
}
