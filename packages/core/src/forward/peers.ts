import type { CallCounts } from './call-outcomes';
import type { FailureDomain, HostId, ServerId, ServiceName } from '../ids';
import type { ServerFailure } from './fleet';
import type { MoveEvidence, MoveState } from './rollout';

/** What one router has at one engine. */
export interface RouterLoad {
  readonly serverId: ServerId;
  readonly running: number;
  /** Time until the engine has read this router's prompts. */
  readonly prefillMs: number;
  /** Copies of runs' memory that the engine keeps for this router. */
  readonly copies: number;
  /** Tokens of this router's runs and copies in the engine's memory. */
  readonly tokens: number;
}

/** A server that a router lost. */
export interface PeerFailure {
  readonly serverId: ServerId;
  readonly failure: ServerFailure;
  /** Numbers a router's failures, so that each is taken once. */
  readonly failureNo: number;
  readonly ageMs: number;
}

/** What a router has seen of a version move. */
export interface PeerMove {
  readonly service: ServiceName;
  readonly version: string;
  readonly state: MoveState;
  readonly evidence: MoveEvidence;
}

/** All that a router tells the others; each message replaces the one before it. */
export interface PeerUpdate {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  /** Changes at each start of the router. */
  readonly incarnationId: string;
  readonly sequence: number;
  /** Whether it can read the store for others. */
  readonly canReadStore: boolean;
  readonly loads: readonly RouterLoad[];
  readonly failures: readonly PeerFailure[];
  readonly moves: readonly PeerMove[];
  readonly callCounts: readonly CallCounts[];
}

/** Load of the other routers at one engine. */
export interface PeerLoad {
  readonly running: number;
  readonly prefillMs: number;
  readonly copies: number;
  readonly tokens: number;
}

/** A router that was heard from lately. */
export interface PeerRouter {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  readonly address: string;
  readonly canReadStore: boolean;
}

/** What the other routers last said. */
export interface PeerRegistry {
  /** Failures that were not known yet; undefined if the news is older than what is known. */
  readonly onUpdate: (
    news: PeerUpdate,
    address: string,
    nowMs: number,
  ) => readonly PeerFailure[] | undefined;
  readonly loadAt: (serverId: ServerId, nowMs: number) => PeerLoad;
  /** The other routers' parts of a move; those of a router that was lost go on counting. */
  readonly movesOf: (service: ServiceName, version: string) => readonly PeerMove[];
  /** Routers that were heard from lately. */
  readonly routers: (nowMs: number) => readonly PeerRouter[];
}

/** A router that says nothing for so long has ended or is cut off; its requests end with it. */
const PEER_TIMEOUT_MS = 3_000;
const NO_LOAD: PeerLoad = { running: 0, prefillMs: 0, copies: 0, tokens: 0 };

interface Peer {
  router: PeerRouter;
  incarnationId: string;
  sequence: number;
  lastUpdateAtMs: number;
  lastFailureNo: number;
  loads: Map<ServerId, RouterLoad>;
}

export function createPeerRegistry(): PeerRegistry {
  const peers = new Map<HostId, Peer>();
  const moves = new Map<string, readonly PeerMove[]>();

  function accept(news: PeerUpdate, router: PeerRouter, nowMs: number): Peer | undefined {
    const known = peers.get(news.hostId);
    if (known !== undefined && known.incarnationId === news.incarnationId) {
      return news.sequence > known.sequence ? known : undefined;
    }
    const created: Peer = {
      router,
      incarnationId: news.incarnationId,
      sequence: 0,
      lastUpdateAtMs: nowMs,
      lastFailureNo: 0,
      loads: new Map(),
    };
    peers.set(news.hostId, created);
    return created;
  }

  function expire(nowMs: number): void {
    peers.forEach((peer, hostId) => {
      if (nowMs - peer.lastUpdateAtMs > PEER_TIMEOUT_MS) peers.delete(hostId);
    });
  }

  return {
    onUpdate: (news, address, nowMs) => {
      const { hostId, failureDomain, canReadStore } = news;
      const router = { hostId, failureDomain, canReadStore: canReadStore, address };
      const peer = accept(news, router, nowMs);
      if (peer === undefined) return undefined;
      peer.router = router;
      peer.sequence = news.sequence;
      peer.lastUpdateAtMs = nowMs;
      peer.loads = new Map(news.loads.map((load) => [load.serverId, load]));
      moves.set(`${hostId}/${news.incarnationId}`, news.moves);
      const fresh = news.failures.filter(({ failureNo }) => failureNo > peer.lastFailureNo);
      fresh.forEach(({ failureNo }) => {
        peer.lastFailureNo = Math.max(peer.lastFailureNo, failureNo);
      });
      return fresh;
    },
    loadAt: (serverId, nowMs) => {
      let sum = NO_LOAD;
      peers.forEach((peer) => {
        const load = peer.loads.get(serverId);
        const ageMs = nowMs - peer.lastUpdateAtMs;
        if (load === undefined || ageMs > PEER_TIMEOUT_MS) return;
        sum = {
          running: sum.running + load.running,
          prefillMs: sum.prefillMs + Math.max(0, load.prefillMs - ageMs),
          copies: sum.copies + load.copies,
          tokens: sum.tokens + load.tokens,
        };
      });
      return sum;
    },
    movesOf: (service, version) =>
      [...moves.values()]
        .flat()
        .filter((move) => move.service === service && move.version === version),
    routers: (nowMs) => {
      expire(nowMs);
      return [...peers.values()].map(({ router }) => router);
    },
  };
}
