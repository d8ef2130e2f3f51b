import type { CallEvidence } from './evidence';
import type { FailureDomain, HostId, ServerId, ServiceName } from '../ids';
import type { ServerFailure } from './fleet';
import type { MoveEvidence, MoveState } from './rollout';

/** What one router has at one engine. */
export interface OwnLoad {
  readonly serverId: ServerId;
  readonly running: number;
  /** Time until the engine has read this router's prompts. */
  readonly readingMs: number;
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
export interface PeerNews {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  /** Changes at each start of the router. */
  readonly lifeId: string;
  readonly sequence: number;
  /** Whether it can read the store for others. */
  readonly canRead: boolean;
  readonly loads: readonly OwnLoad[];
  readonly failures: readonly PeerFailure[];
  readonly moves: readonly PeerMove[];
  readonly evidence: readonly CallEvidence[];
}

/** Load of the other routers at one engine. */
export interface PeerLoad {
  readonly running: number;
  readonly readingMs: number;
  readonly copies: number;
  readonly tokens: number;
}

/** A router that was heard from lately. */
export interface PeerRouter {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  readonly address: string;
  readonly canRead: boolean;
}

/** What the other routers last said. */
export interface PeerBook {
  /** Failures that were not known yet; undefined if the news is older than what is known. */
  readonly onNews: (
    news: PeerNews,
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
const SILENT_PEER_MS = 3_000;
const NO_LOAD: PeerLoad = { running: 0, readingMs: 0, copies: 0, tokens: 0 };

interface Peer {
  router: PeerRouter;
  lifeId: string;
  sequence: number;
  heardAtMs: number;
  lastFailureNo: number;
  loads: Map<ServerId, OwnLoad>;
}

export function createPeerBook(): PeerBook {
  const peers = new Map<HostId, Peer>();
  const moves = new Map<string, readonly PeerMove[]>();

  function accept(news: PeerNews, router: PeerRouter, nowMs: number): Peer | undefined {
    const known = peers.get(news.hostId);
    if (known !== undefined && known.lifeId === news.lifeId) {
      return news.sequence > known.sequence ? known : undefined;
    }
    const created: Peer = {
      router,
      lifeId: news.lifeId,
      sequence: 0,
      heardAtMs: nowMs,
      lastFailureNo: 0,
      loads: new Map(),
    };
    peers.set(news.hostId, created);
    return created;
  }

  function expire(nowMs: number): void {
    peers.forEach((peer, hostId) => {
      if (nowMs - peer.heardAtMs > SILENT_PEER_MS) peers.delete(hostId);
    });
  }

  return {
    onNews: (news, address, nowMs) => {
      const { hostId, failureDomain, canRead } = news;
      const router = { hostId, failureDomain, canRead, address };
      const peer = accept(news, router, nowMs);
      if (peer === undefined) return undefined;
      peer.router = router;
      peer.sequence = news.sequence;
      peer.heardAtMs = nowMs;
      peer.loads = new Map(news.loads.map((load) => [load.serverId, load]));
      moves.set(`${hostId}/${news.lifeId}`, news.moves);
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
        const ageMs = nowMs - peer.heardAtMs;
        if (load === undefined || ageMs > SILENT_PEER_MS) return;
        sum = {
          running: sum.running + load.running,
          readingMs: sum.readingMs + Math.max(0, load.readingMs - ageMs),
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
