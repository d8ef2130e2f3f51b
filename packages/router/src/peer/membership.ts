import {
  assertNever,
  createGossip,
  createSwim,
  GOSSIP_DEFAULTS,
  visibleState,
  shuffle,
  spareMessageBytes,
  SWIM_DEFAULTS,
} from '@mimosamill/core';
import { createPeerPool, PEER_POOL_DEFAULTS } from './pool';
import { createMemberRouter } from './member-router';
import {
  packGossipItem,
  packMessage,
  packUpdate,
  unpackGossipItem,
  unpackMessage,
  unpackUpdate,
} from './wire';
import type { Clock, HostList, ListedHost, Log } from '@mimosamill/adapters';
import type {
  FailureDomain,
  GossipItem,
  Hash32,
  MemberUpdate,
  ProbeTarget,
  Region,
  Revision,
  RouterId,
  SwimEffect,
  SwimEvent,
  SwimMessage,
  SwimTimes,
  SyncReply,
} from '@mimosamill/core';
import type { PeerPool, PeerPoolSettings } from './pool';
import type { MemberRouter } from './member-router';
import type { PeerTraffic } from './traffic';
import type { MessageTuple } from './wire';

/** A router of the fleet, as this router sees it. */
export interface Member {
  readonly routerId: RouterId;
  /** IP and port of the caller-facing server. */
  readonly address: string;
  /** IP and port of the tRPC server for peers. */
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly state: 'alive' | 'suspect' | 'leaving' | 'dead' | 'unreachable';
  readonly incarnation: number;
}

/** Read side of the membership, for the other modules of the router. */
export interface Membership {
  readonly self: () => Member;
  /** Every known member, this router included. */
  readonly members: () => readonly Member[];
  readonly onChange: (fn: (members: readonly Member[]) => void) => void;
}

export interface MembershipSettings {
  readonly routerId: RouterId;
  readonly address: string;
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  /** Peer addresses that are tried first. */
  readonly seeds: readonly string[];
  readonly swim?: Partial<SwimTimes>;
  readonly pool?: Partial<PeerPoolSettings>;
}

export interface MembershipDeps {
  readonly clock: Clock;
  readonly hash: Hash32;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly traffic: PeerTraffic;
  readonly log: Pick<Log, 'info'>;
  readonly hosts?: HostList;
  /** Peer address of a listed router; by default the listed address itself. */
  readonly peerAddressOf?: (host: ListedHost) => string;
}

/** This router's part in the fleet. */
export interface MembershipService extends Membership {
  /** To be mounted as 'member'. */
  readonly router: MemberRouter;
  readonly pool: PeerPool;
  readonly start: () => void;
  /** Announces a planned stop; the router stays a member until stop(). */
  readonly leave: () => void;
  /** Announces the end of the process and closes the connections. */
  readonly stop: () => Promise<void>;
  /** Tells every router; a new item reaches most of them within a second. */
  readonly publish: (item: GossipPublication) => void;
  /** Calls back once for every item of the kind published by another router. */
  readonly onGossipItem: (kind: string, fn: (item: GossipItem) => void) => void;
  readonly gossipItems: () => readonly GossipItem[];
  /** Sets the configuration revision that messages carry. */
  readonly setConfigRevision: (revision: Revision) => void;
  /** Calls back whenever a peer shows a higher revision than this router's. */
  readonly onNewerConfigRevision: (fn: (revision: Revision, peerAddress: string) => void) => void;
}

export interface GossipPublication {
  readonly kind: string;
  readonly key: string;
  readonly payload: string;
  readonly ttlMs: number;
}

const HOST_LIST_INTERVAL_MS = 10_000;
/** New items go at once to this many members; probes and anti-entropy reach the rest. */
const FLUSH_FANOUT = 3;
/** Collects items that arrive together, and bounds the pushes to ten a second. */
const FLUSH_DELAY_MS = 100;
const MAX_FLUSH_BYTES = 4_096;
const MAX_SYNC_ITEMS = 64;
const RETRANSMIT_FACTOR = 2;
const DELIVERY_MARGIN_MS = 100;

/** Creates the membership; nothing is sent before start(). */
export function createMembershipService(
  settings: MembershipSettings,
  deps: MembershipDeps,
): MembershipService {
  const { clock, hash, random, log } = deps;
  const pool = createPeerPool({ ...PEER_POOL_DEFAULTS, ...settings.pool }, clock, deps.traffic);
  const swim = createSwim(
    {
      ...SWIM_DEFAULTS,
      ...settings.swim,
      routerId: settings.routerId,
      address: settings.address,
      peerAddress: settings.peerAddress,
      region: settings.region,
      failureDomain: settings.failureDomain,
      incarnation: clock.nowMs(),
      seeds: settings.seeds,
      hash,
      random,
    },
    clock.monotonicMs(),
  );
  const gossip = createGossip({
    ...GOSSIP_DEFAULTS,
    sendLimit: () => Math.ceil(RETRANSMIT_FACTOR * Math.log2(members().length + 1)),
    hash,
  });
  const waiting = new Map<number, (message: SwimMessage | undefined) => void>();
  const changeHooks: ((members: readonly Member[]) => void)[] = [];
  const itemHooks: { kind: string; fn: (item: GossipItem) => void }[] = [];
  const revisionHooks: ((revision: Revision, peerAddress: string) => void)[] = [];
  const cancels: (() => void)[] = [];
  let known: readonly Member[] | undefined;
  let lastReplyId = 0;
  let isFlushing = false;
  let isStopped = false;
  let syncReply: SyncReply | undefined;

  function self(): Member {
    return toMember(swim.self(), swim.self().state);
  }

  function members(): readonly Member[] {
    known ??= [
      self(),
      ...[...swim.entries()].map((entry) => toMember(entry.update, visibleState(entry))),
    ];
    return known;
  }

  function dispatch(event: SwimEvent): void {
    if (isStopped) return;
    swim.onEvent(event, clock.monotonicMs()).forEach(apply);
  }

  function apply(effect: SwimEffect): void {
    switch (effect.kind) {
      case 'ping':
        sendPing(effect);
        break;
      case 'ping_req':
        sendPingReq(effect);
        break;
      case 'reply':
        answer(effect.replyId, effect.message);
        break;
      case 'refuse':
        answer(effect.replyId, undefined);
        break;
      case 'sync':
        sendSync(effect);
        break;
      case 'sync_reply':
        syncReply = effect.reply;
        break;
      case 'push':
        sendPush(effect.to, effect.from, effect.updates, []);
        break;
      case 'changed':
        onMemberChanged(effect);
        break;
      case 'newer_revision':
        revisionHooks.forEach((fn) => fn(effect.revision, effect.peerAddress));
        break;
      default:
        assertNever(effect);
    }
  }

  function client(peerAddress: string) {
    return pool.client<MemberRouter>('member', peerAddress);
  }

  function sendPing({ seq, target, message, timeoutMs }: SwimEffect & { kind: 'ping' }): void {
    const call = client(target.peerAddress).ping.mutate(pack(message), { context: { timeoutMs } });
    settle(seq, call);
  }

  function sendPingReq(effect: SwimEffect & { kind: 'ping_req' }): void {
    const { seq, via, target, message, timeoutMs } = effect;
    const input = [pack(message), target.routerId ?? '', target.peerAddress] as const;
    const context = { timeoutMs: timeoutMs + DELIVERY_MARGIN_MS };
    settle(seq, client(via).pingReq.mutate([...input], { context }));
  }

  function settle(seq: number, call: Promise<MessageTuple | null>): void {
    call
      .then((tuple) => {
        if (tuple === null) {
          dispatch({ kind: 'no_ack', seq });
          return;
        }
        const { message, gossip: items } = unpackMessage(tuple);
        receiveItems(items);
        dispatch({ kind: 'ack', seq, message });
      })
      .catch(() => dispatch({ kind: 'no_ack', seq }));
  }

  function sendSync({ seq, to, request }: SwimEffect & { kind: 'sync' }): void {
    const itemBuckets = gossip.buckets(clock.nowMs());
    client(to)
      .sync.mutate([packUpdate(request.from), [...request.buckets], itemBuckets])
      .then((tuple) => {
        if (tuple === null) return;
        const [from, buckets, theirItemBuckets, updates, items] = tuple;
        receiveItems(items.map(unpackGossipItem));
        const reply = { from: unpackUpdate(from), buckets, updates: updates.map(unpackUpdate) };
        dispatch({ kind: 'sync_ack', seq, reply });
        pushMissing(to, theirItemBuckets);
      })
      .catch(() => dispatch({ kind: 'no_ack', seq }));
  }

  function pushMissing(to: string, theirBuckets: readonly number[]): void {
    const items = gossip.missing(theirBuckets, MAX_SYNC_ITEMS, clock.nowMs());
    if (items.length > 0) sendPush(to, swim.self(), [], items);
  }

  function sendPush(
    to: string,
    from: MemberUpdate,
    updates: readonly MemberUpdate[],
    items: readonly GossipItem[],
  ): void {
    client(to)
      .push.mutate([packUpdate(from), updates.map(packUpdate), items.map(packGossipItem)])
      // A lost push is repaired by probes and anti-entropy.
      .catch(() => undefined);
  }

  function pack(message: SwimMessage): MessageTuple {
    return packMessage(message, takeItems(message));
  }

  function takeItems(message: SwimMessage): readonly GossipItem[] {
    return gossip.take(spareMessageBytes(message), clock.nowMs());
  }

  function answer(replyId: number, message: SwimMessage | undefined): void {
    waiting.get(replyId)?.(message);
    waiting.delete(replyId);
  }

  function ask(
    toEvent: (replyId: number) => SwimEvent,
    done: (message: SwimMessage | undefined) => void,
  ): void {
    lastReplyId += 1;
    if (isStopped) {
      done(undefined);
      return;
    }
    waiting.set(lastReplyId, done);
    dispatch(toEvent(lastReplyId));
  }

  function onMemberChanged({ routerId, state }: SwimEffect & { kind: 'changed' }): void {
    known = undefined;
    log.info('member changed', { routerId, state });
    changeHooks.forEach((fn) => fn(members()));
  }

  function receiveItems(items: readonly GossipItem[]): void {
    if (items.length === 0) return;
    const added = gossip.add(items, clock.nowMs());
    if (added.length === 0) return;
    flushSoon();
    added.forEach((item) =>
      itemHooks.filter(({ kind }) => kind === item.kind).forEach(({ fn }) => fn(item)),
    );
  }

  function flushSoon(): void {
    if (isFlushing) return;
    isFlushing = true;
    cancels.push(
      clock.runAfter(FLUSH_DELAY_MS, () => {
        isFlushing = false;
        flush();
      }),
    );
  }

  function flush(): void {
    const others = members().filter(
      (member) => member.routerId !== settings.routerId && member.state === 'alive',
    );
    shuffle(others, random)
      .slice(0, FLUSH_FANOUT)
      .forEach(({ peerAddress }) => {
        const items = gossip.take(MAX_FLUSH_BYTES, clock.nowMs());
        if (items.length > 0) sendPush(peerAddress, swim.self(), [], items);
      });
  }

  async function readHosts(hosts: HostList): Promise<void> {
    const outcome = await hosts.read();
    if (outcome.kind !== 'ok') return;
    const addressOf = deps.peerAddressOf ?? ((host) => host.address);
    const routers = outcome.hosts.filter((host) => host.role === 'router');
    dispatch({ kind: 'hosts', peerAddresses: routers.map(addressOf) });
  }

  function pollHosts(hosts: HostList): void {
    // The port answers with outcomes; a rejected promise only delays the next reading.
    readHosts(hosts).catch((cause: unknown) => {
      log.info('host list could not be read', { cause: String(cause) });
    });
  }

  function start(): void {
    const { hosts } = deps;
    const periodMs = settings.swim?.periodMs ?? SWIM_DEFAULTS.periodMs;
    if (hosts !== undefined) {
      pollHosts(hosts);
      cancels.push(clock.runEvery(HOST_LIST_INTERVAL_MS, () => pollHosts(hosts)));
    }
    // Routers started together would otherwise probe in the same instant for ever.
    const startTicks = (): void => {
      cancels.push(clock.runEvery(periodMs, () => dispatch({ kind: 'tick' })));
    };
    dispatch({ kind: 'tick' });
    cancels.push(clock.runAfter(random() * periodMs, startTicks));
  }

  const router = createMemberRouter({
    onPing: (message) => {
      let reply: SwimMessage | undefined;
      ask(
        (replyId) => ({ kind: 'ping', replyId, message }),
        (given) => {
          reply = given;
        },
      );
      return reply;
    },
    onPingReq: (message, target: ProbeTarget) =>
      new Promise((resolve) => {
        ask((replyId) => ({ kind: 'ping_req', replyId, message, target }), resolve);
      }),
    onSync: (request) => {
      syncReply = undefined;
      dispatch({ kind: 'sync', replyId: 0, request });
      return syncReply;
    },
    onPush: (from, updates) => dispatch({ kind: 'push', from, updates }),
    onItems: receiveItems,
    takeItems,
    gossip,
    nowMs: clock.nowMs,
  });

  return {
    self,
    members,
    onChange: (fn) => {
      changeHooks.push(fn);
    },
    router,
    pool,
    start,
    leave: () => {
      dispatch({ kind: 'leave' });
      known = undefined;
    },
    stop: async () => {
      dispatch({ kind: 'stop' });
      isStopped = true;
      cancels.forEach((cancel) => cancel());
      waiting.forEach((done) => done(undefined));
      waiting.clear();
      await new Promise<void>((resolve) => {
        clock.runAfter(DELIVERY_MARGIN_MS, resolve);
      });
      await pool.close();
    },
    publish: ({ kind, key, payload, ttlMs }) => {
      const expiresAtMs = Math.round(clock.nowMs() + ttlMs);
      gossip.add([{ kind, key, payload, expiresAtMs }], clock.nowMs());
      flushSoon();
    },
    onGossipItem: (kind, fn) => {
      itemHooks.push({ kind, fn });
    },
    gossipItems: () => gossip.items(clock.nowMs()),
    setConfigRevision: (revision) => dispatch({ kind: 'revision', revision }),
    onNewerConfigRevision: (fn) => {
      revisionHooks.push(fn);
    },
  };
}

function toMember(update: MemberUpdate, state: Member['state']): Member {
  const { routerId, address, peerAddress, region, failureDomain, incarnation } = update;
  return { routerId, address, peerAddress, region, failureDomain, state, incarnation };
}
