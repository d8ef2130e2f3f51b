import {
  createReplicaHolder,
  createReplicaSender,
  REPLICA_HOLDER_DEFAULTS,
  isPreferredReplica,
  placementKey,
  planReplicaLookup,
  REPLICA_SENDER_DEFAULTS,
} from '@mimosamill/core';
import { createReplicaRouter, packBatch, unpackAnswer, unpackReplica } from './peer';
import type { Clock } from '@mimosamill/adapters';
import type {
  FinishReason,
  Hash32,
  HeldReplica,
  ReplicaHolderSettings,
  OutgoingReplicaBatch,
  ReplicaMetadata,
  RequestId,
} from '@mimosamill/core';
import type { Member, Membership } from '../peer/membership';
import type { PeerPool } from '../peer/pool';
import type { ReplicaRouter } from './peer';

export interface ReplicaSettings {
  readonly flushIntervalMs: number;
  readonly sendTimeoutMs: number;
  readonly findTimeoutMs: number;
  readonly holder: ReplicaHolderSettings;
}

/**
 * A flush every 250 ms rather than 100: each message costs 1 to 2 ms of CPU at both ends together,
 * so ten a second would take the whole CPU budget of the control plane. What a lost router had not
 * sent yet, about eight tokens a stream, comes from the engine.
 */
export const REPLICA_DEFAULTS: ReplicaSettings = {
  flushIntervalMs: 250,
  sendTimeoutMs: 1_000,
  findTimeoutMs: 300,
  holder: REPLICA_HOLDER_DEFAULTS,
};

export interface ReplicaDeps {
  readonly membership: Membership;
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly hash: Hash32;
}

export type ReplicaLookupOutcome =
  | { readonly kind: 'found'; readonly replica: HeldReplica }
  /** `unansweredCount` routers that might have a replica did not answer. */
  | { readonly kind: 'absent'; readonly unansweredCount: number };

/** Replicas of this router's streams at a peer, and of its peers' streams here. */
export interface Replicas {
  /** To be mounted as 'replica'. */
  readonly router: ReplicaRouter;
  readonly start: () => void;
  readonly stop: () => void;
  /** `texts` are the tokens known from an earlier router. */
  readonly onStart: (start: ReplicaMetadata, texts?: readonly string[]) => void;
  readonly onAttempt: (start: Omit<ReplicaMetadata, 'takeoverCount'>) => void;
  readonly onToken: (requestId: RequestId, index: number, text: string) => void;
  /** Without a reason if there is no complete answer. */
  readonly onEnd: (requestId: RequestId, reason?: FinishReason) => void;
  readonly find: (requestId: RequestId) => Promise<ReplicaLookupOutcome>;
  /**
   * Asks the router that served the stream to give it up, and returns the newest known state. To
   * be called before the stream goes on here, with `adoptionCount` one higher.
   */
  readonly takeOver: (replica: HeldReplica) => Promise<HeldReplica>;
  /** Calls back when another router has taken over a stream that runs here. */
  readonly onRelease: (fn: (requestId: RequestId) => void) => void;
  /** Streams and bytes held for peers, and own running streams. */
  readonly sizes: () => { readonly held: number; readonly heldBytes: number; readonly own: number };
}

const EXPIRY_INTERVAL_MS = 1_000;

export function createReplicas(settings: ReplicaSettings, deps: ReplicaDeps): Replicas {
  const { membership, pool, clock, hash } = deps;
  const self = membership.self();
  const holder = createReplicaHolder(settings.holder);
  const sender = createReplicaSender({
    ...REPLICA_SENDER_DEFAULTS,
    self,
    incarnation: clock.nowMs(),
    hash,
  });
  const releaseHooks: ((requestId: RequestId) => void)[] = [];
  const cancels: (() => void)[] = [];

  function client(peerAddress: string) {
    return pool.client<ReplicaRouter>('replica', peerAddress);
  }

  function releaseAll(requestIds: readonly RequestId[]): void {
    requestIds.forEach((requestId) => releaseHooks.forEach((fn) => fn(requestId)));
  }

  function flush(): void {
    sender.flush(clock.monotonicMs()).forEach(send);
  }

  function send({ holder: to, batch }: OutgoingReplicaBatch): void {
    const context = { timeoutMs: settings.sendTimeoutMs };
    client(to.peerAddress)
      .push.mutate(packBatch(batch) as never, { context })
      .then((value) =>
        releaseAll(sender.onAnswer(to.routerId, unpackAnswer(value), clock.monotonicMs())),
      )
      .catch(() => sender.onFailure(to.routerId, clock.monotonicMs()));
  }

  /** Own streams count as well: a caller may come back to the router that serves it. */
  function findLocally(requestId: RequestId): HeldReplica | undefined {
    const own = sender.find(requestId);
    const held = holder.find(requestId);
    if (own === undefined) return held;
    const replica = { origin: self.routerId, ...own, texts: [...own.texts] };
    return held !== undefined && isPreferredReplica(held, replica) ? held : replica;
  }

  function release(requestId: RequestId): HeldReplica | undefined {
    const own = sender.find(requestId);
    if (own === undefined) return undefined;
    const replica = { origin: self.routerId, ...own, texts: [...own.texts] };
    sender.release(requestId);
    releaseAll([requestId]);
    return replica;
  }

  async function ask(peerAddress: string, requestId: RequestId): Promise<HeldReplica | undefined> {
    const context = { timeoutMs: settings.findTimeoutMs };
    return unpackReplica(await client(peerAddress).find.query(requestId, { context }));
  }

  async function find(requestId: RequestId): Promise<ReplicaLookupOutcome> {
    let best = findLocally(requestId);
    let unansweredCount = 0;
    const others = membership.members().filter(isAskable);
    const groups = planReplicaLookup(placementKey(requestId), self.region, others, hash);
    for (const group of groups) {
      const answers = await Promise.allSettled(
        group.map(({ peerAddress }) => ask(peerAddress, requestId)),
      );
      answers.forEach((answer) => {
        if (answer.status === 'rejected') unansweredCount += 1;
        else best = preferredReplica(best, answer.value);
      });
      if (best !== undefined) return { kind: 'found', replica: best };
    }
    return { kind: 'absent', unansweredCount };
  }

  function isAskable(member: Member): boolean {
    return (
      member.routerId !== self.routerId && member.state !== 'dead' && member.state !== 'unreachable'
    );
  }

  async function takeOver(replica: HeldReplica): Promise<HeldReplica> {
    if (replica.origin === self.routerId) {
      return preferredReplica(release(replica.metadata.requestId), replica) ?? replica;
    }
    const origin = membership.members().find(({ routerId }) => routerId === replica.origin);
    if (origin === undefined || !isAskable(origin)) return replica;
    try {
      const context = { timeoutMs: settings.findTimeoutMs };
      const { requestId } = replica.metadata;
      const answer = await client(origin.peerAddress).release.mutate(requestId, { context });
      return preferredReplica(unpackReplica(answer), replica) ?? replica;
    } catch {
      // The router is gone or paused; the holder tells it of the takeover if it returns.
      return replica;
    }
  }

  function onPeers(members: readonly Member[]): void {
    // A suspect still holds what it was sent; a leaving router is given nothing new.
    sender.onPeers(members.filter(({ state }) => state === 'alive' || state === 'suspect'));
  }

  return {
    router: createReplicaRouter({
      onBatch: (batch) => holder.onBatch(batch, clock.monotonicMs()),
      find: findLocally,
      release,
    }),
    start: () => {
      onPeers(membership.members());
      membership.onChange(onPeers);
      cancels.push(clock.runEvery(settings.flushIntervalMs, flush));
      cancels.push(clock.runEvery(EXPIRY_INTERVAL_MS, () => holder.expire(clock.monotonicMs())));
    },
    stop: () => cancels.forEach((cancel) => cancel()),
    onStart: (start, texts = []) => sender.onStart(start, texts),
    onAttempt: sender.onAttempt,
    onToken: sender.onToken,
    onEnd: (requestId, reason) => sender.onEnd(requestId, reason),
    find,
    takeOver,
    onRelease: (fn) => {
      releaseHooks.push(fn);
    },
    sizes: () => ({ held: holder.size(), heldBytes: holder.sizeBytes(), own: sender.size() }),
  };
}

function preferredReplica(
  known: HeldReplica | undefined,
  next: HeldReplica | undefined,
): HeldReplica | undefined {
  if (known === undefined || next === undefined) return known ?? next;
  return isPreferredReplica(next, known) ? next : known;
}
