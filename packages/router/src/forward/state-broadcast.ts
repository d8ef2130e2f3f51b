import { createStateCodec } from './state-message';
import type { CrashReports } from './crash-guard';
import type { RetryBudgets, ServiceRetryTotals } from './retry-budgets';
import type { RouterState } from './state-message';
import type { Clock, DatagramSocket, DecisionLog } from '@mimosamill/adapters';
import type {
  CallCounts,
  CallOutcomeTracker,
  FailureDomain,
  Fleet,
  HostId,
  LimitReports,
  PeerRegistry,
  PeerFailure,
  PeerMove,
  ServerFailure,
  ServerId,
  ServiceName,
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
  readonly retryBudgets: Pick<RetryBudgets, 'ownTotals' | 'onPeerTotals'>;
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

/** Parts of a message that are left out of some. */
interface MessageParts {
  readonly callCounts: readonly CallCounts[];
  readonly retryTotals: readonly ServiceRetryTotals[];
}

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
  const codec = createStateCodec();
  let sequence = 0;
  let lastPeerCount = 0;
  let failureNo = 0;
  let failures: OwnFailure[] = [];
  /** Retries that the last message told of, by service. */
  const sentRetries = new Map<ServiceName, number>();
  let cancelUrgent: (() => void) | undefined;
  let cancelLater: (() => void) | undefined;
  let cancelHeartbeat = clock.runAfter(HEARTBEAT_PERIOD_MS, sendAll);

  /** Totals with new retries, which the others must know at once; requests can wait. */
  function urgentTotals(): readonly ServiceRetryTotals[] {
    return ports.retryBudgets
      .ownTotals()
      .filter(({ service, retries }) => retries !== (sentRetries.get(service) ?? 0));
  }

  function noteSent(totals: readonly ServiceRetryTotals[]): readonly ServiceRetryTotals[] {
    totals.forEach(({ service, retries }) => sentRetries.set(service, retries));
    return totals;
  }

  function currentState(nowMs: number, { callCounts, retryTotals }: MessageParts): RouterState {
    sequence += 1;
    return {
      update: {
        hostId: settings.hostId,
        failureDomain: settings.failureDomain,
        incarnationId: settings.incarnationId,
        sequence,
        canReadStore: ports.canReadStore(),
        loads: fleet.ownLoads(nowMs, ports.prefillMsPerToken()),
        failures: failures.map(({ serverId, failure, failureNo: no, atMs }) => ({
          serverId,
          failure,
          failureNo: no,
          ageMs: nowMs - atMs,
        })),
        moves: ports.ownMoves(),
        callCounts,
      },
      crashReports: ports.ownCrashReports(nowMs),
      limits: fleet.limits.ownReports(nowMs),
      retryTotals: noteSent(retryTotals),
      paces: fleet.pace.ownReports(nowMs),
    };
  }

  /** Sends everything except what can wait for the next full message. */
  function sendUrgent(): void {
    send({ callCounts: [], retryTotals: urgentTotals() });
  }

  function sendAll(): void {
    cancelLater?.();
    cancelLater = undefined;
    send({
      callCounts: ports.callOutcomes.recentCounts(clock.monotonicMs()),
      retryTotals: ports.retryBudgets.ownTotals(),
    });
  }

  function send(parts: MessageParts): void {
    cancelUrgent?.();
    cancelUrgent = undefined;
    cancelHeartbeat();
    cancelHeartbeat = clock.runAfter(HEARTBEAT_PERIOD_MS, sendAll);
    const socket = ports.datagrams();
    if (socket === undefined) return;
    const nowMs = clock.monotonicMs();
    failures = failures.filter(({ atMs }) => nowMs - atMs < FAILURE_REPEAT_MS);
    const bytes = codec.encode(currentState(nowMs, parts), nowMs);
    const addresses = ports.peers.addresses();
    lastPeerCount = addresses.length;
    addresses.forEach((address) => socket.send(address, bytes));
  }

  function onPeerLimits(hostId: HostId, limits: LimitReports, nowMs: number): void {
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
      const message = codec.decode(bytes, nowMs);
      if (message === undefined) {
        ports.decisions.notable('peer.message_ignored', { from, size_bytes: bytes.length });
        return;
      }
      if (message.update.hostId === settings.hostId) return;
      const { update, crashReports, limits, retryTotals, paces } = message;
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
      ports.retryBudgets.onPeerTotals(update.hostId, update.incarnationId, retryTotals);
      ports.onCrashReports(crashReports);
      onPeerLimits(update.hostId, limits, nowMs);
      paces.forEach((report) => {
        const server = fleet.get(report.serverId)?.server;
        if (server !== undefined) fleet.pace.onPeerReport(server, report, update.hostId, nowMs);
      });
    },
    stop: () => {
      cancelUrgent?.();
      cancelLater?.();
      cancelHeartbeat();
    },
  };
}
