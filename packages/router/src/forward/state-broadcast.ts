import { assertNever, createLinkPace, evictOldest } from '@mimosamill/core';
import { createMessageCodec } from './message-codec';
import { fromPaceMessage, toPaceMessage } from './pace-message';
import { fromStateMessage, toStateMessage } from './state-message';
import type { CrashReports } from './crash-guard';
import type { RetryBudgets, ServiceRetryTotals } from './retry-budgets';
import type { RouterMessage } from './message-codec';
import type { PaceNews } from './pace-message';
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
  /** Rate of this host's link; undefined if it is not known. */
  readonly linkMbps: number | undefined;
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
  /**
   * For streams that begin to send or end, which others estimate by age or learn soon enough with the
   * next message: sent like other changes that can wait, but not by a message of its own among many
   * routers.
   */
  readonly sendWithNext: () => void;
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
/**
 * Above this number of routers the batch delay grows, and messages that tell little are left out: what
 * a router receives grows with the number of routers, and so does what each of their messages costs.
 */
const FEW_PEERS_MAX = BATCH_DELAY_MS / BATCH_DELAY_MS_PER_PEER;
/**
 * A failure of the same server that was sent or received within this time is known to the others. When
 * a failure domain is lost, each router finds each of its servers, most of them after another has.
 */
const KNOWN_FAILURE_MS = 500;
/** A failure is sent at once, and repeated in each message for this time, since a datagram may be lost. */
const FAILURE_REPEAT_MS = 1_500;
/** Bytes of a datagram beside its content. */
const DATAGRAM_HEADER_BYTES = 42;
const TOLD_FAILURES_MAX = 2_048;
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
  const codec = createMessageCodec();
  const linkPace = createLinkPace(settings.linkMbps);
  let sequence = 0;
  let lastPeerCount = 0;
  let failureNo = 0;
  let failures: OwnFailure[] = [];
  /** When a failure of a server was last sent or received, by server and kind of failure. */
  const failureToldAtMs = new Map<string, number>();
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
    };
  }

  function hasManyPeers(): boolean {
    return lastPeerCount > FEW_PEERS_MAX;
  }

  /** Whether the others know of such a failure; notes that they will. */
  function isFailureKnown(serverId: ServerId, failure: ServerFailure, nowMs: number): boolean {
    const key = `${serverId}/${failure}`;
    const toldAtMs = failureToldAtMs.get(key) ?? -Infinity;
    if (nowMs - toldAtMs < KNOWN_FAILURE_MS) return true;
    failureToldAtMs.delete(key);
    failureToldAtMs.set(key, nowMs);
    evictOldest(failureToldAtMs, TOLD_FAILURES_MAX);
    return false;
  }

  /** Sends what the batch delay was for; among many routers also what waits for a longer one. */
  function sendBatch(): void {
    if (cancelLater !== undefined && hasManyPeers()) sendAll();
    else sendUrgent();
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
    sendPaces();
  }

  /** Only services whose servers state how long work takes have reports, and most messages none. */
  function sendPaces(): void {
    const reports = fleet.pace.ownReports(clock.monotonicMs());
    if (reports.length > 0) sendMessage(toPaceMessage({ hostId: settings.hostId, reports }));
  }

  function sendMessage(message: RouterMessage): void {
    const socket = ports.datagrams();
    if (socket === undefined) return;
    const bytes = codec.encode(message);
    const addresses = ports.peers.addresses();
    lastPeerCount = addresses.length;
    addresses.forEach((address) => socket.send(address, bytes));
    const sentBytes = (bytes.length + DATAGRAM_HEADER_BYTES) * addresses.length;
    linkPace.onSent(sentBytes, clock.monotonicMs());
  }

  function onPaceNews({ hostId, reports }: PaceNews, nowMs: number): void {
    reports.forEach((report) => {
      const server = fleet.get(report.serverId)?.server;
      if (server !== undefined) fleet.pace.onPeerReport(server, report, hostId, nowMs);
    });
  }

  function onPeerState(state: RouterState, from: string, nowMs: number): void {
    const { update, crashReports, limits, retryTotals } = state;
    if (update.hostId === settings.hostId) return;
    ports.peers.onMessageFrom(from);
    const peerFailures = peerRegistry.onUpdate(update, from, nowMs);
    if (peerFailures === undefined) return;
    peerFailures.forEach((failure) => onPeerFailure(update.hostId, failure, nowMs));
    ports.callOutcomes.onPeerCounts(update.hostId, update.incarnationId, update.callCounts, nowMs);
    ports.retryBudgets.onPeerTotals(update.hostId, update.incarnationId, retryTotals);
    ports.onCrashReports(crashReports);
    onPeerLimits(update.hostId, limits, nowMs);
  }

  function send(parts: MessageParts): void {
    cancelUrgent?.();
    cancelUrgent = undefined;
    cancelHeartbeat();
    cancelHeartbeat = clock.runAfter(HEARTBEAT_PERIOD_MS, sendAll);
    if (ports.datagrams() === undefined) return;
    const nowMs = clock.monotonicMs();
    failures = failures.filter(({ atMs }) => nowMs - atMs < FAILURE_REPEAT_MS);
    sendMessage(toStateMessage(currentState(nowMs, parts), nowMs));
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
    const isKnown = isFailureKnown(failed.serverId, failed.failure, nowMs);
    const effect = fleet.onPeerFailure(failed.serverId, failed.failure, nowMs - failed.ageMs);
    if (effect === undefined) return;
    // Each router reports each server of a lost failure domain; the first report tells.
    if (!isKnown || effect.suspectedDomain !== undefined) {
      ports.decisions.notable('server.lost_by_peer', {
        server: failed.serverId,
        loss: failed.failure,
        peer: hostId,
        age_ms: failed.ageMs,
        doubted_domain: effect.suspectedDomain,
      });
    }
    if (failed.failure !== 'unread') ports.onServerLost(failed.serverId);
    if (effect.suspectedDomain !== undefined) ports.onDomainSuspected(effect.suspectedDomain);
  }

  function sendSoon(): void {
    const batchMs = Math.max(BATCH_DELAY_MS, lastPeerCount * BATCH_DELAY_MS_PER_PEER);
    const delayMs = Math.max(batchMs, linkPace.delayMs(clock.monotonicMs()));
    cancelUrgent ??= clock.runAfter(delayMs, sendBatch);
  }

  function sendLater(): void {
    const batchMs = Math.max(LATER_BATCH_DELAY_MS, lastPeerCount * LATER_BATCH_DELAY_MS_PER_PEER);
    const delayMs = Math.max(batchMs, linkPace.delayMs(clock.monotonicMs()));
    cancelLater ??= clock.runAfter(delayMs, sendAll);
  }

  return {
    sendSoon,
    sendLater,
    sendWithNext: () => {
      if (!hasManyPeers()) sendLater();
    },
    onServerFailure: (serverId, failure) => {
      const nowMs = clock.monotonicMs();
      failureNo += 1;
      failures.push({ serverId, failure, failureNo, atMs: nowMs });
      const isKnown = isFailureKnown(serverId, failure, nowMs) && hasManyPeers();
      if (isKnown || linkPace.delayMs(nowMs) > 0) sendSoon();
      else sendUrgent();
    },
    onMessage: (bytes, from) => {
      const nowMs = clock.monotonicMs();
      const decoded = codec.decode(bytes);
      switch (decoded?.kind) {
        case undefined:
          ports.decisions.notable('peer.message_ignored', { from, size_bytes: bytes.length });
          return;
        case 'state':
          onPeerState(fromStateMessage(decoded.message, nowMs), from, nowMs);
          return;
        case 'pace':
          onPaceNews(fromPaceMessage(decoded.message), nowMs);
          return;
        default:
          assertNever(decoded);
      }
    },
    stop: () => {
      cancelUrgent?.();
      cancelLater?.();
      cancelHeartbeat();
    },
  };
}
