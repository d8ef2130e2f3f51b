import { evictOldest } from '../evict';
import { isAboutOrder } from './rollout';
import type { CallCounts } from './call-outcomes';
import type { FailureDomain, HostId, ServerId, ServiceName } from '../ids';
import type { ServerFailure } from './fleet';
import type { MoveEvidence, MoveState, VersionOrder } from './rollout';

/** Load that one router puts on one server. */
export interface RouterLoad {
  readonly serverId: ServerId;
  readonly running: number;
  /** Time until the engine has done the router's pending prefills. */
  readonly prefillMs: number;
  /** KV cache copies of the router's streams that the engine holds as backups. */
  readonly copies: number;
  /** Prompt tokens of the router's streams and copies in the engine's KV cache. */
  readonly tokens: number;
}

/** Failure of a server as another router saw it. */
export interface PeerFailure {
  readonly serverId: ServerId;
  readonly failure: ServerFailure;
  /** Number of the failure at its router; repeated reports carry the same number. */
  readonly failureNo: number;
  readonly ageMs: number;
}

/** State of a version move as one router sees it. */
export interface PeerMove {
  readonly service: ServiceName;
  readonly version: string;
  /** Revision of its order; absent from a router of an earlier release, or one that does not know it. */
  readonly orderRevision?: number | undefined;
  readonly state: MoveState;
  readonly evidence: MoveEvidence;
}

/** State that a router sends to all others; each update replaces the previous one. */
export interface PeerUpdate {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  /** Differs after each start of the router. */
  readonly incarnationId: string;
  /** Increases with each update of the incarnation; older updates are ignored. */
  readonly sequence: number;
  /** Whether the router can read the configuration store for others. */
  readonly canReadStore: boolean;
  readonly loads: readonly RouterLoad[];
  readonly failures: readonly PeerFailure[];
  readonly moves: readonly PeerMove[];
  readonly callCounts: readonly CallCounts[];
}

/** Load that all other routers together put on one server. */
export interface PeerLoad {
  readonly running: number;
  readonly prefillMs: number;
  readonly copies: number;
  readonly tokens: number;
}

/** Another router that has sent an update recently. */
export interface PeerRouter {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  readonly address: string;
  readonly canReadStore: boolean;
}

/** The latest updates of the other routers. */
export interface PeerRegistry {
  /**
   * Applies an update. Returns its failures that no earlier update reported; undefined if the update is
   * not newer than the last one applied.
   */
  readonly onUpdate: (
    update: PeerUpdate,
    address: string,
    nowMs: number,
  ) => readonly PeerFailure[] | undefined;
  /** Sum over the other routers; pending prefills shrink with the age of each update. */
  readonly loadAt: (serverId: ServerId, nowMs: number) => PeerLoad;
  /** Age of the oldest update that the load at the server is summed from; undefined without load. */
  readonly loadAgeMs: (serverId: ServerId, nowMs: number) => number | undefined;
  /** The other routers' states of an order's move, including routers that have since been lost. */
  readonly movesOf: (order: VersionOrder) => readonly PeerMove[];
  /** Routers that have sent an update recently. */
  readonly routers: (nowMs: number) => readonly PeerRouter[];
  /** Routers whose last update arrived at that time or later. */
  readonly heardSince: (sinceMs: number) => readonly HostId[];
}

/**
 * A router without an update for this time has stopped or is unreachable. Its load is ignored,
 * because its requests end with it.
 */
const PEER_TIMEOUT_MS = 3_000;
/** Processes whose moves are remembered; those that were heard of longest ago are forgotten. */
const MOVING_ROUTERS_MAX = 1_024;
const NO_LOAD: PeerLoad = { running: 0, prefillMs: 0, copies: 0, tokens: 0 };

interface Peer {
  router: PeerRouter;
  incarnationId: string;
  sequence: number;
  lastUpdateAtMs: number;
  lastFailureNo: number;
  loads: readonly RouterLoad[];
}

/**
 * The peers with load at one server. A placement asks for the load of each server several times at one
 * time, and most peers have load at few servers: a sum over all peers would cost peers times servers.
 */
interface LoadsAtServer {
  readonly byPeer: Map<Peer, RouterLoad>;
  /** The last sum, and the time that it holds for; undefined after an update. */
  sum: { readonly load: PeerLoad; readonly atMs: number } | undefined;
}

export function createPeerRegistry(): PeerRegistry {
  const peers = new Map<HostId, Peer>();
  const loadsByServer = new Map<ServerId, LoadsAtServer>();
  /** By host and incarnation, ordered by the last update. */
  const moves = new Map<string, readonly PeerMove[]>();

  function peerFor(update: PeerUpdate, router: PeerRouter, nowMs: number): Peer | undefined {
    const known = peers.get(update.hostId);
    if (known !== undefined && known.incarnationId === update.incarnationId) {
      return update.sequence > known.sequence ? known : undefined;
    }
    if (known !== undefined) setLoads(known, []);
    const created: Peer = {
      router,
      incarnationId: update.incarnationId,
      sequence: 0,
      lastUpdateAtMs: nowMs,
      lastFailureNo: 0,
      loads: [],
    };
    peers.set(update.hostId, created);
    return created;
  }

  function setLoads(peer: Peer, loads: readonly RouterLoad[]): void {
    peer.loads.forEach(({ serverId }) => {
      const at = loadsByServer.get(serverId);
      if (at === undefined) return;
      at.byPeer.delete(peer);
      at.sum = undefined;
      if (at.byPeer.size === 0) loadsByServer.delete(serverId);
    });
    peer.loads = loads;
    loads.forEach((load) => {
      const at = loadsByServer.get(load.serverId);
      if (at === undefined) {
        loadsByServer.set(load.serverId, { byPeer: new Map([[peer, load]]), sum: undefined });
        return;
      }
      at.byPeer.set(peer, load);
      at.sum = undefined;
    });
  }

  function setMoves(update: PeerUpdate): void {
    const key = `${update.hostId}/${update.incarnationId}`;
    moves.delete(key);
    if (update.moves.length > 0) moves.set(key, update.moves);
    evictOldest(moves, MOVING_ROUTERS_MAX);
  }

  function removeSilentPeers(nowMs: number): void {
    peers.forEach((peer, hostId) => {
      if (nowMs - peer.lastUpdateAtMs <= PEER_TIMEOUT_MS) return;
      setLoads(peer, []);
      peers.delete(hostId);
    });
  }

  return {
    onUpdate: (update, address, nowMs) => {
      const { hostId, failureDomain, canReadStore } = update;
      const router = { hostId, failureDomain, canReadStore, address };
      const peer = peerFor(update, router, nowMs);
      if (peer === undefined) return undefined;
      peer.router = router;
      peer.sequence = update.sequence;
      peer.lastUpdateAtMs = nowMs;
      setLoads(peer, update.loads);
      setMoves(update);
      const newFailures = update.failures.filter(({ failureNo }) => failureNo > peer.lastFailureNo);
      newFailures.forEach(({ failureNo }) => {
        peer.lastFailureNo = Math.max(peer.lastFailureNo, failureNo);
      });
      return newFailures;
    },
    loadAt: (serverId, nowMs) => {
      const at = loadsByServer.get(serverId);
      if (at === undefined) return NO_LOAD;
      if (at.sum?.atMs !== nowMs) at.sum = { load: sumOf(at.byPeer, nowMs), atMs: nowMs };
      return at.sum.load;
    },
    loadAgeMs: (serverId, nowMs) => {
      const ages = [...(loadsByServer.get(serverId)?.byPeer.keys() ?? [])]
        .map(({ lastUpdateAtMs }) => nowMs - lastUpdateAtMs)
        .filter((ageMs) => ageMs <= PEER_TIMEOUT_MS);
      return ages.length === 0 ? undefined : Math.max(...ages);
    },
    movesOf: (order) =>
      [...moves.values()]
        .flat()
        .filter(
          ({ service, version, orderRevision }) =>
            service === order.service &&
            version === order.version &&
            isAboutOrder(order, orderRevision),
        ),
    heardSince: (sinceMs) =>
      [...peers].filter(([, peer]) => peer.lastUpdateAtMs >= sinceMs).map(([hostId]) => hostId),
    routers: (nowMs) => {
      removeSilentPeers(nowMs);
      return [...peers.values()].map(({ router }) => router);
    },
  };
}

function sumOf(byPeer: ReadonlyMap<Peer, RouterLoad>, nowMs: number): PeerLoad {
  let running = 0;
  let prefillMs = 0;
  let copies = 0;
  let tokens = 0;
  byPeer.forEach((load, peer) => {
    const ageMs = nowMs - peer.lastUpdateAtMs;
    if (ageMs > PEER_TIMEOUT_MS) return;
    running += load.running;
    prefillMs += Math.max(0, load.prefillMs - ageMs);
    copies += load.copies;
    tokens += load.tokens;
  });
  return { running, prefillMs, copies, tokens };
}
