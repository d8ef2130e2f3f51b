import { asId } from '@mimosamill/core';
import { Packr } from 'msgpackr';
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
  ServerFailure,
  ServerId,
} from '@mimosamill/core';

/** Addresses of the other routers. */
export interface PeerDirectory {
  readonly addresses: () => readonly string[];
  /** A message came from an address that may not be listed yet. */
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
  /** Whether this router can read the store for others. */
  readonly canReadStore: () => boolean;
  readonly ownMoves: () => readonly PeerMove[];
}

/** Tells the other routers what this one has at each engine and which servers it lost. */
export interface StateBroadcast {
  /** Something changed that the others' next choices depend on: they are told soon. */
  readonly sendSoon: () => void;
  /** Something changed that can wait for other news. */
  readonly sendLater: () => void;
  readonly onServerFailure: (serverId: ServerId, failure: ServerFailure) => void;
  readonly onMessage: (bytes: Buffer, from: string) => void;
  readonly stop: () => void;
}

/**
 * Changes within this time go out as one message. It grows with the number of routers: each message
 * goes to all of them, and with a fixed time the messages that each has to read would grow likewise.
 */
const BATCH_DELAY_MS = 15;
const BATCH_DELAY_MS_PER_PEER = 0.5;
const LATER_BATCH_DELAY_MS = 200;
const LATER_BATCH_DELAY_MS_PER_PEER = 6;
/** A failure goes out at once, and again with each message for this time. */
const FAILURE_REPEAT_MS = 1_500;
/** Longest silence between two messages. */
const HEARTBEAT_PERIOD_MS = 1_000;
const MESSAGE_FORMAT = 4;

/** One message on the wire, in a fixed order of fields to keep it short. */
type StateMessage = [
  format: number,
  hostId: string,
  failureDomain: string,
  lifeId: string,
  sequence: number,
  canRead: boolean,
  loads: [string, number, number, number, number][],
  failures: [string, ServerFailure, number, number][],
  moves: readonly PeerMove[],
  evidence: [string, string, number, number, number][],
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

  function encode(nowMs: number, evidence: readonly CallCounts[]): Uint8Array {
    sequence += 1;
    const news: StateMessage = [
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
      evidence.map(({ serverId, route, successes, failures: failed, slownessSum }) => [
        serverId,
        route,
        successes,
        failed,
        Math.round(slownessSum),
      ]),
    ];
    return packr.pack(news);
  }

  /** What choices depend on at once; counts of results wait for the next full message. */
  function sendUrgent(): void {
    send([]);
  }

  function sendAll(): void {
    cancelLater?.();
    cancelLater = undefined;
    send(ports.callOutcomes.recentCounts(clock.monotonicMs()));
  }

  function send(evidence: readonly CallCounts[]): void {
    cancelUrgent?.();
    cancelUrgent = undefined;
    cancelHeartbeat();
    cancelHeartbeat = clock.runAfter(HEARTBEAT_PERIOD_MS, sendAll);
    const datagrams = ports.datagrams();
    if (datagrams === undefined) return;
    const nowMs = clock.monotonicMs();
    failures = failures.filter(({ atMs }) => nowMs - atMs < FAILURE_REPEAT_MS);
    const bytes = encode(nowMs, evidence);
    const addresses = ports.peers.addresses();
    lastPeerCount = addresses.length;
    addresses.forEach((address) => datagrams.send(address, bytes));
  }

  function decode(bytes: Buffer): PeerUpdate | undefined {
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
      newsSequence,
      canReadStore,
      loads,
      lost,
      moves,
      evidence,
    ] = wire;
    return {
      hostId: asId(hostId),
      failureDomain: asId(failureDomain),
      incarnationId,
      sequence: newsSequence,
      canReadStore,
      loads: loads.map(([serverId, running, prefillMs, copies, tokens]) => ({
        serverId: asId(serverId),
        running,
        readingMs: prefillMs,
        copies,
        tokens,
      })),
      failures: lost.map(([serverId, failure, no, ageMs]) => ({
        serverId: asId(serverId),
        failure,
        failureNo: no,
        ageMs,
      })),
      moves,
      callCounts: evidence.map(([serverId, route, successes, failed, slownessSum]): CallCounts => ({
        serverId: asId(serverId),
        route,
        successes,
        failures: failed,
        slownessSum,
      })),
    };
  }

  function onPeerFailure(hostId: HostId, failed: PeerFailure, nowMs: number): void {
    const found = fleet.onPeerFailure(failed.serverId, failed.failure, nowMs - failed.ageMs);
    if (found === undefined) return;
    ports.decisions.notable('server.lost_by_peer', {
      server: failed.serverId,
      loss: failed.failure,
      peer: hostId,
      age_ms: failed.ageMs,
      doubted_domain: found.suspectedDomain,
    });
    if (failed.failure !== 'unread') ports.onServerLost(failed.serverId);
    if (found.suspectedDomain !== undefined) ports.onDomainSuspected(found.suspectedDomain);
  }

  return {
    sendSoon: () => {
      const gatherMs = Math.max(BATCH_DELAY_MS, lastPeerCount * BATCH_DELAY_MS_PER_PEER);
      cancelUrgent ??= clock.runAfter(gatherMs, sendUrgent);
    },
    sendLater: () => {
      const gatherMs = Math.max(
        LATER_BATCH_DELAY_MS,
        lastPeerCount * LATER_BATCH_DELAY_MS_PER_PEER,
      );
      cancelLater ??= clock.runAfter(gatherMs, sendAll);
    },
    onServerFailure: (serverId, failure) => {
      failureNo += 1;
      failures.push({ serverId, failure, failureNo, atMs: clock.monotonicMs() });
      sendUrgent();
    },
    onMessage: (bytes, from) => {
      const news = decode(bytes);
      if (news === undefined || news.hostId === settings.hostId) return;
      ports.peers.onMessageFrom(from);
      const nowMs = clock.monotonicMs();
      const failed = peerRegistry.onUpdate(news, from, nowMs);
      if (failed === undefined) return;
      failed.forEach((failure) => onPeerFailure(news.hostId, failure, nowMs));
      ports.callOutcomes.onPeerCounts(news.hostId, news.incarnationId, news.callCounts, nowMs);
    },
    stop: () => {
      cancelUrgent?.();
      cancelLater?.();
      cancelHeartbeat();
    },
  };
}
