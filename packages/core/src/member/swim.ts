import { asRevision } from '../ids';
import { assertNever } from '../outcome';
import { pickRandom, shuffle } from './random';
import { createUpdateQueue } from './update-queue';
import {
  bucketOf,
  differingBuckets,
  supersedes,
  updateSizeBytes,
  memberBuckets,
} from './member-entry';
import type { Region, RouterId } from '../ids';
import type {
  ProbeTarget,
  Swim,
  SwimEffect,
  SwimMessage,
  SwimSettings,
  SyncReply,
  SyncRequest,
} from './swim-types';
import type { MemberUpdate, GossipedState, MemberEntry } from './member-entry';

const MAX_UPDATES_PER_MESSAGE = 8;
const MAX_MESSAGE_BYTES = 1_024;
/** Bytes for member updates; the rest of a message holds the envelope and gossip items. */
const MAX_UPDATE_BYTES = 800;
const MAX_SYNC_UPDATES = 64;
const INDIRECT_PROBES = 2;
const PUSH_FANOUT = 3;
/** Every fifth probe goes to a member outside this node's failure domain. */
const REMOTE_PROBE_CYCLE = 5;
/** Number of times an update is sent per doubling of the member count. */
const SENDS_PER_DOUBLING = 2;
const MIN_SENDS = 3;
/** A region counts as unreachable when probes to this many of its members fail in a row. */
const REGION_DOWN_FAILURES = 3;
/** Further members that must suspect a member before its suspicion timeout is halved. */
const SUSPICION_CONFIRMATIONS = 2;
/** A tick that is later than this many periods shows that this process itself was paused. */
const STALL_PERIODS = 2.5;
/** Anti-entropy slows down after this many exchanges in a row found no difference. */
const SETTLED_SYNC_COUNT = 3;
/** Seeds and listed hosts are probed every period for this long after the start. */
const BOOTSTRAP_MS = 30_000;
const INDIRECT_FACTOR = 2;
/** Maximum number of addresses kept from the host list. */
const MAX_HOST_ADDRESSES = 2_048;

type PendingRequest =
  | {
      readonly kind: 'direct' | 'reconnect' | 'final';
      readonly target: ProbeTarget;
      readonly sentMs: number;
    }
  | { readonly kind: 'indirect'; readonly target: ProbeTarget; readonly group: IndirectGroup }
  | { readonly kind: 'relay'; readonly target: ProbeTarget; readonly replyId: number }
  | { readonly kind: 'sync'; readonly peerAddress: string };

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };

interface IndirectGroup {
  remaining: number;
  hasAck: boolean;
  readonly sentMs: number;
}

/** Creates the SWIM state machine of one node; the caller sends a 'tick' event once per period. */
export function createSwim(settings: SwimSettings, startedAtMs: number): Swim {
  const { hash, random } = settings;
  const members = new Map<RouterId, MemberEntry>();
  const updateQueue = createUpdateQueue();
  const pendingRequests = new Map<number, PendingRequest>();
  const regionFailures = new Map<Region, Set<RouterId>>();
  let hostAddresses: readonly string[] = [];
  const probeOrder = { local: [] as RouterId[], remote: [] as RouterId[] };
  let ownState: 'alive' | 'leaving' | 'dead' = 'alive';
  let ownIncarnation = settings.incarnation;
  let revision = asRevision(0);
  let lastSeq = 0;
  let tickCount = 0;
  let lastTickMs = startedAtMs;
  let nextSyncMs = startedAtMs;
  let equalSyncs = 0;
  let nextReconnectMs = startedAtMs;

  function self(): MemberUpdate {
    const { routerId, address, peerAddress, region, failureDomain } = settings;
    const identity = { routerId, address, peerAddress, region, failureDomain };
    return { ...identity, incarnation: ownIncarnation, state: ownState };
  }

  function liveEntries(): MemberEntry[] {
    return [...members.values()].filter(
      (entry) => entry.update.state !== 'dead' && !entry.isUnreachable,
    );
  }

  function sendLimit(): number {
    return Math.ceil(SENDS_PER_DOUBLING * Math.log2(members.size + 2));
  }

  /** In a larger fleet it takes more rounds until the suspicion reaches its subject. */
  function suspicionMs(): number {
    return settings.periodMs * (1.5 + Math.log2(members.size + 2) / 4);
  }

  function createMessage(to: RouterId | undefined): SwimMessage {
    const receiver = to === undefined ? undefined : members.get(to);
    // The receiver must learn that it is suspected or declared dead, or it could not refute it.
    const isAccused = receiver?.update.state === 'suspect' || receiver?.update.state === 'dead';
    const first = receiver !== undefined && isAccused ? [withoutAge(receiver.update)] : [];
    const firstBytes = first.reduce((sum, update) => sum + updateSizeBytes(update), 0);
    const rest = updateQueue.take(
      MAX_UPDATES_PER_MESSAGE - first.length,
      MAX_UPDATE_BYTES - updateSizeBytes(self()) - firstBytes,
      sendLimit(),
    );
    return { from: self(), revision, updates: [...first, ...rest] };
  }

  function nextSeq(entry: PendingRequest): number {
    lastSeq += 1;
    pendingRequests.set(lastSeq, entry);
    return lastSeq;
  }

  function ping(
    kind: 'direct' | 'reconnect' | 'final',
    target: ProbeTarget,
    nowMs: number,
  ): SwimEffect {
    const seq = nextSeq({ kind, target, sentMs: nowMs });
    const message = createMessage(target.routerId);
    return { kind: 'ping', seq, target, message, timeoutMs: settings.probeTimeoutMs };
  }

  function setState(update: MemberUpdate, nowMs: number): SwimEffect[] {
    const known = members.get(update.routerId);
    const before = known === undefined ? undefined : visibleState(known);
    const entry: MemberEntry = {
      update: withoutAge(update),
      sinceMs: nowMs - (update.ageMs ?? 0),
      isUnreachable: known?.isUnreachable ?? isRegionDown(update.region),
      suspicionEndsMs: nowMs + suspicionMs(),
      suspectedBy: new Set(update.suspectedBy === undefined ? [] : [update.suspectedBy]),
    };
    members.set(update.routerId, entry);
    const after = visibleState(entry);
    if (before === after) return [];
    return [{ kind: 'changed', routerId: update.routerId, state: after }];
  }

  function isRegionDown(region: Region): boolean {
    return (
      region !== settings.region && (regionFailures.get(region)?.size ?? 0) >= REGION_DOWN_FAILURES
    );
  }

  function refute(update: MemberUpdate): SwimEffect[] {
    if (update.incarnation < ownIncarnation) return [];
    const isSame = update.incarnation === ownIncarnation && update.state === ownState;
    if (isSame || (ownState === 'dead' && update.incarnation === ownIncarnation)) return [];
    ownIncarnation = update.incarnation + 1;
    updateQueue.add(self());
    return pushUpdates([], update.suspectedBy);
  }

  function merge(update: MemberUpdate, nowMs: number): SwimEffect[] {
    if (update.routerId === settings.routerId) {
      return refute(update);
    }
    const known = members.get(update.routerId);
    if (known === undefined) {
      if ((update.ageMs ?? 0) >= settings.deadRetentionMs) return [];
      updateQueue.add(update);
      return setState(update, nowMs);
    }
    if (supersedes(update, known.update)) {
      updateQueue.add(update);
      return setState(update, nowMs);
    }
    confirmSuspicion(known, update, nowMs);
    return [];
  }

  /** Records another member that suspects the same incarnation; enough of them shorten the timeout. */
  function confirmSuspicion(entry: MemberEntry, next: MemberUpdate, nowMs: number): void {
    const match =
      entry.update.state === 'suspect' &&
      next.state === 'suspect' &&
      entry.update.incarnation === next.incarnation;
    if (!match || next.suspectedBy === undefined || entry.suspectedBy.has(next.suspectedBy)) return;
    if (entry.suspectedBy.size > SUSPICION_CONFIRMATIONS) return;
    entry.suspectedBy.add(next.suspectedBy);
    updateQueue.add(next);
    if (entry.suspectedBy.size !== SUSPICION_CONFIRMATIONS + 1) return;
    const halfMs = entry.sinceMs + suspicionMs() / 2;
    entry.suspicionEndsMs = Math.min(entry.suspicionEndsMs, Math.max(nowMs, halfMs));
  }

  /**
   * Merges a message's sender and updates. A sender that doesn't know that it was declared dead, or
   * whose incarnation is outdated, changes nothing here and is only answered.
   */
  function receive(
    from: MemberUpdate,
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): { readonly effects: SwimEffect[]; readonly isCurrent: boolean } {
    if (from.routerId === settings.routerId) return { effects: [], isCurrent: false };
    const known = members.get(from.routerId);
    const isOutdated =
      known !== undefined &&
      (from.incarnation < known.update.incarnation ||
        (known.update.state === 'dead' && from.incarnation === known.update.incarnation));
    if (isOutdated) {
      // Two nodes that hold each other for dead must still be able to refute.
      const own = updates.filter(({ routerId }) => routerId === settings.routerId);
      return { effects: own.flatMap((update) => refute(update)), isCurrent: false };
    }
    const effects = [
      ...merge(from, nowMs),
      ...updates.flatMap((update) => merge(update, nowMs)),
      ...markReachable(from, nowMs),
    ];
    return { effects, isCurrent: true };
  }

  /** A message from the member shows that the member, and so its region, can be reached. */
  function markReachable(from: MemberUpdate, nowMs: number): SwimEffect[] {
    if (from.region === settings.region) return [];
    const wasDown = isRegionDown(from.region);
    regionFailures.delete(from.region);
    return [...members.values()].flatMap((entry) => {
      const isSender = entry.update.routerId === from.routerId;
      const becomesReachable = isSender || (wasDown && entry.update.region === from.region);
      if (!becomesReachable || !entry.isUnreachable) return [];
      return setReachable(entry, true, nowMs);
    });
  }

  function setReachable(entry: MemberEntry, isReachable: boolean, nowMs: number): SwimEffect[] {
    if (entry.isUnreachable === !isReachable) return [];
    entry.isUnreachable = !isReachable;
    entry.sinceMs = nowMs;
    if (entry.update.state === 'dead') return [];
    return [{ kind: 'changed', routerId: entry.update.routerId, state: visibleState(entry) }];
  }

  function onTick(nowMs: number): SwimEffect[] {
    if (ownState === 'dead') return [];
    const isStalled = nowMs - lastTickMs > STALL_PERIODS * settings.periodMs;
    if (isStalled) resetAfterStall(nowMs);
    lastTickMs = nowMs;
    tickCount += 1;
    const effects = [...expire(nowMs), ...probe(nowMs)];
    if (nowMs >= nextReconnectMs) effects.push(...reconnect(nowMs));
    if (nowMs >= nextSyncMs) effects.push(...sync(nowMs));
    return effects;
  }

  /** After a pause of this process, unanswered probes and expired suspicions prove nothing. */
  function resetAfterStall(nowMs: number): void {
    pendingRequests.forEach(({ kind }, seq) => {
      // Another member waits for the outcome of a relayed probe.
      if (kind !== 'relay') pendingRequests.delete(seq);
    });
    members.forEach((entry) => {
      entry.suspicionEndsMs = Math.max(entry.suspicionEndsMs, nowMs + suspicionMs() / 2);
    });
  }

  function expire(nowMs: number): SwimEffect[] {
    const effects: SwimEffect[] = [];
    members.forEach((entry, routerId) => {
      const { update } = entry;
      if (update.state === 'dead' && nowMs - entry.sinceMs >= settings.deadRetentionMs) {
        members.delete(routerId);
        effects.push({ kind: 'changed', routerId, state: 'forgotten' });
      }
      // Only members of the same region can tell a dead member from a partition between regions.
      const isDue = update.state === 'suspect' && nowMs >= entry.suspicionEndsMs;
      // A last probe lets a member that has come back refute the suspicion at once.
      if (isDue && update.region === settings.region) {
        effects.push(ping('final', toProbeTarget(update), nowMs));
      }
    });
    return effects;
  }

  function probe(nowMs: number): SwimEffect[] {
    const live = liveEntries();
    const localMembers = live.filter((entry) => isLocal(entry));
    const remoteMembers = live.filter((entry) => !isLocal(entry));
    const wantsRemote = tickCount % REMOTE_PROBE_CYCLE === 0;
    const isRemote = localMembers.length === 0 || (wantsRemote && remoteMembers.length > 0);
    const target = isRemote
      ? nextInRound('remote', remoteMembers)
      : nextInRound('local', localMembers);
    if (target === undefined) {
      nextReconnectMs = Math.min(nextReconnectMs, nowMs);
      return [];
    }
    return [ping('direct', toProbeTarget(target.update), nowMs)];
  }

  function isLocal(entry: MemberEntry): boolean {
    const { region, failureDomain } = entry.update;
    return region === settings.region && failureDomain === settings.failureDomain;
  }

  /** Probes every member once per round, in random order. */
  function nextInRound(
    which: 'local' | 'remote',
    live: readonly MemberEntry[],
  ): MemberEntry | undefined {
    if (live.length === 0) return undefined;
    const byId = new Map(live.map((entry) => [entry.update.routerId, entry]));
    for (;;) {
      const round = probeOrder[which];
      if (round.length === 0) probeOrder[which] = shuffle([...byId.keys()], random);
      const routerId = probeOrder[which].pop();
      const entry = routerId === undefined ? undefined : byId.get(routerId);
      if (entry !== undefined) return entry;
    }
  }

  /** Probes one address that may have become reachable, so that a partitioned fleet rejoins. */
  function reconnect(nowMs: number): SwimEffect[] {
    const unknown = unknownAddresses();
    // Routers that start together form separate groups, which only the seeds can connect.
    const isStarting = nowMs - startedAtMs < BOOTSTRAP_MS && unknown.length > 0;
    const everyMs = isStarting ? settings.periodMs : settings.reconnectIntervalMs;
    nextReconnectMs = nowMs + everyMs * (0.5 + random());
    const lost = [...members.values()].filter(
      (entry) => entry.update.state === 'dead' || entry.isUnreachable,
    );
    const targets: ProbeTarget[] = [
      ...lost.map((entry) => toProbeTarget(entry.update)),
      ...unknown.map((peerAddress) => ({ routerId: undefined, peerAddress })),
    ];
    const target = pickRandom(targets, random);
    if (target === undefined) return [];
    return [ping('reconnect', target, nowMs)];
  }

  /** The host list lags behind, so it only adds addresses to probe and never removes a member. */
  function unknownAddresses(): string[] {
    const known = new Set([...members.values()].map((entry) => entry.update.peerAddress));
    const addresses = new Set([...settings.seeds, ...hostAddresses]);
    return [...addresses].filter(
      (peerAddress) => !known.has(peerAddress) && peerAddress !== settings.peerAddress,
    );
  }

  function sync(nowMs: number): SwimEffect[] {
    const live = liveEntries();
    const localMembers = live.filter((entry) => entry.update.region === settings.region);
    const wantsRemote = random() < 1 / REMOTE_PROBE_CYCLE || localMembers.length === 0;
    const chosen = pickRandom(wantsRemote ? live : localMembers, random);
    if (chosen === undefined) return [];
    nextSyncMs = nowMs + settings.syncIntervalMs * (0.5 + random());
    return [syncWith(chosen.update.peerAddress)];
  }

  function syncWith(peerAddress: string): SwimEffect {
    const seq = nextSeq({ kind: 'sync', peerAddress });
    return { kind: 'sync', seq, to: peerAddress, request: { from: self(), buckets: ownBuckets() } };
  }

  function ownBuckets(): number[] {
    const own: MemberEntry = {
      update: self(),
      sinceMs: 0,
      isUnreachable: false,
      suspicionEndsMs: 0,
      suspectedBy: new Set(),
    };
    return memberBuckets([...members.values(), own], hash);
  }

  function updatesInBuckets(differing: ReadonlySet<number>, nowMs: number): MemberUpdate[] {
    const found = [...members.values()].filter((entry) =>
      differing.has(bucketOf(entry.update.routerId, hash)),
    );
    return shuffle(found, random)
      .slice(0, MAX_SYNC_UPDATES)
      .map((entry) =>
        entry.update.state === 'dead'
          ? { ...entry.update, ageMs: nowMs - entry.sinceMs }
          : entry.update,
      );
  }

  function onSync(replyId: number, request: SyncRequest, nowMs: number): SwimEffect[] {
    const { effects } = receive(request.from, [], nowMs);
    const ours = ownBuckets();
    const updates = updatesInBuckets(differingBuckets(ours, request.buckets), nowMs);
    const reply: SyncReply = { from: self(), buckets: ours, updates };
    return [...effects, { kind: 'sync_reply', replyId, reply }];
  }

  function onSyncAck(seq: number, reply: SyncReply, nowMs: number): SwimEffect[] {
    const request = pendingRequests.get(seq);
    pendingRequests.delete(seq);
    if (request?.kind !== 'sync') return [];
    const { effects, isCurrent } = receive(reply.from, reply.updates, nowMs);
    if (!isCurrent) return effects;
    const differing = differingBuckets(ownBuckets(), reply.buckets);
    equalSyncs = differing.size === 0 ? equalSyncs + 1 : 0;
    // Views that differed lately, as after a start or a partition, are compared again soon.
    if (equalSyncs < SETTLED_SYNC_COUNT) nextSyncMs = nowMs + settings.periodMs * (1 + random());
    // The other nodes already know what this node would still repeat.
    if (equalSyncs >= SETTLED_SYNC_COUNT) updateQueue.trim(MIN_SENDS);
    if (differing.size === 0) return effects;
    // A reply of the maximum size was probably cut off, so the rest is fetched at once. The other
    // node may lack entries too, which it gets by the push below.
    if (reply.updates.length >= MAX_SYNC_UPDATES) nextSyncMs = nowMs;
    const updates = updatesInBuckets(differing, nowMs);
    if (updates.length === 0) return effects;
    return [...effects, { kind: 'push', to: request.peerAddress, from: self(), updates }];
  }

  function onAck(seq: number, message: SwimMessage, nowMs: number): SwimEffect[] {
    const request = pendingRequests.get(seq);
    pendingRequests.delete(seq);
    const { effects, isCurrent } = receive(message.from, message.updates, nowMs);
    if (isCurrent) effects.push(...compareRevision(message));
    if (request === undefined || request.kind === 'sync') return effects;
    const { target } = request;
    const isTarget = target.routerId === undefined || message.from.routerId === target.routerId;
    if (request.kind === 'indirect') {
      request.group.hasAck = true;
      return effects;
    }
    if (request.kind === 'relay') {
      const { replyId } = request;
      if (!isTarget) return [...effects, { kind: 'refuse', replyId }];
      return [...effects, { kind: 'reply', replyId, message: createMessage(undefined) }];
    }
    if (request.kind === 'reconnect') {
      if (isCurrent) nextSyncMs = Math.min(nextSyncMs, nowMs);
      return effects;
    }
    // Otherwise another router answered, which has taken over the address.
    if (isTarget) return effects;
    const failed =
      request.kind === 'final' ? declareDead(target, nowMs) : onProbeFailed(target, nowMs);
    return [...effects, ...failed];
  }

  function onNoAck(seq: number, nowMs: number): SwimEffect[] {
    const request = pendingRequests.get(seq);
    pendingRequests.delete(seq);
    if (request === undefined) return [];
    switch (request.kind) {
      case 'direct':
        return isLate(request.sentMs, settings.probeTimeoutMs, nowMs)
          ? []
          : probeIndirectly(request.target, nowMs);
      case 'indirect': {
        const { group, target } = request;
        group.remaining -= 1;
        if (group.remaining > 0 || group.hasAck) return [];
        if (isLate(group.sentMs, INDIRECT_FACTOR * settings.probeTimeoutMs, nowMs)) return [];
        return onProbeFailed(target, nowMs);
      }
      case 'final':
        return isLate(request.sentMs, settings.probeTimeoutMs, nowMs)
          ? []
          : declareDead(request.target, nowMs);
      case 'relay':
        return [{ kind: 'refuse', replyId: request.replyId }];
      case 'reconnect':
      case 'sync':
        return [];
      default:
        return assertNever(request);
    }
  }

  /** A timeout that is noticed late says more about a pause of this process than about the target. */
  function isLate(sentMs: number, timeoutMs: number, nowMs: number): boolean {
    const hasStalled = nowMs - lastTickMs > STALL_PERIODS * settings.periodMs;
    return hasStalled || nowMs - sentMs > timeoutMs + settings.periodMs;
  }

  function probeIndirectly(target: ProbeTarget, nowMs: number): SwimEffect[] {
    const others = liveEntries().filter(
      (entry) => entry.update.state === 'alive' && entry.update.routerId !== target.routerId,
    );
    const relays = shuffle(others, random).slice(0, INDIRECT_PROBES);
    if (relays.length === 0) return onProbeFailed(target, nowMs);
    const group: IndirectGroup = { remaining: relays.length, hasAck: false, sentMs: nowMs };
    return relays.map((relay) => ({
      kind: 'ping_req',
      seq: nextSeq({ kind: 'indirect', target, group }),
      via: relay.update.peerAddress,
      target,
      message: createMessage(relay.update.routerId),
      timeoutMs: INDIRECT_FACTOR * settings.probeTimeoutMs,
    }));
  }

  function onProbeFailed(target: ProbeTarget, nowMs: number): SwimEffect[] {
    const entry = target.routerId === undefined ? undefined : members.get(target.routerId);
    if (entry === undefined || entry.update.state === 'dead') return [];
    if (entry.update.region !== settings.region) return onRemoteProbeFailed(entry, nowMs);
    const suspectedBy = settings.routerId;
    const isNew = entry.update.state !== 'suspect';
    const suspicion: MemberUpdate = { ...entry.update, state: 'suspect', suspectedBy };
    const effects = merge(suspicion, nowMs);
    return isNew ? [...effects, ...pushUpdates([suspicion])] : effects;
  }

  function declareDead(target: ProbeTarget, nowMs: number): SwimEffect[] {
    const entry = target.routerId === undefined ? undefined : members.get(target.routerId);
    const isDue = entry?.update.state === 'suspect' && nowMs >= entry.suspicionEndsMs;
    if (entry === undefined || !isDue) return [];
    const death: MemberUpdate = { ...withoutAccuser(entry.update), state: 'dead' };
    return [...merge(death, nowMs), ...pushUpdates([death])];
  }

  function onRemoteProbeFailed(entry: MemberEntry, nowMs: number): SwimEffect[] {
    const { region, routerId } = entry.update;
    const failed = regionFailures.get(region) ?? new Set<RouterId>();
    regionFailures.set(region, failed.add(routerId));
    const effects = setReachable(entry, false, nowMs);
    if (!isRegionDown(region)) return effects;
    members.forEach((other) => {
      if (other.update.region === region) effects.push(...setReachable(other, false, nowMs));
    });
    return effects;
  }

  function onPing(replyId: number, message: SwimMessage, nowMs: number): SwimEffect[] {
    const { effects, isCurrent } = receive(message.from, message.updates, nowMs);
    if (isCurrent) effects.push(...compareRevision(message));
    const reply = createMessage(message.from.routerId);
    return [...effects, { kind: 'reply', replyId, message: reply }];
  }

  function onPingReq(
    replyId: number,
    message: SwimMessage,
    target: ProbeTarget,
    nowMs: number,
  ): SwimEffect[] {
    const { effects } = receive(message.from, message.updates, nowMs);
    const seq = nextSeq({ kind: 'relay', target, replyId });
    const { probeTimeoutMs: timeoutMs } = settings;
    return [
      ...effects,
      { kind: 'ping', seq, target, message: createMessage(target.routerId), timeoutMs },
    ];
  }

  function compareRevision(message: SwimMessage): SwimEffect[] {
    if (message.revision <= revision) return [];
    const { peerAddress } = message.from;
    return [{ kind: 'newer_revision', revision: message.revision, peerAddress }];
  }

  function leave(): SwimEffect[] {
    if (ownState !== 'alive') return [];
    ownState = 'leaving';
    ownIncarnation += 1;
    updateQueue.add(self());
    return pushUpdates([]);
  }

  function stop(): SwimEffect[] {
    if (ownState === 'dead') return [];
    ownState = 'dead';
    return pushUpdates([]);
  }

  /**
   * Sends this node's state, and updates that it made itself, to a few members at once. This saves
   * the first rounds of dissemination by probes.
   */
  function pushUpdates(updates: readonly MemberUpdate[], first?: RouterId): SwimEffect[] {
    const live = liveEntries().filter((entry) => entry.update.state !== 'suspect');
    const chosen = shuffle(live, random)
      .sort((a, b) => Number(b.update.routerId === first) - Number(a.update.routerId === first))
      .slice(0, PUSH_FANOUT);
    return chosen.map((entry) => ({
      kind: 'push',
      to: entry.update.peerAddress,
      from: self(),
      updates,
    }));
  }

  return {
    onEvent: (event, nowMs) => {
      switch (event.kind) {
        case 'tick':
          return onTick(nowMs);
        case 'ping':
          return onPing(event.replyId, event.message, nowMs);
        case 'ping_req':
          return onPingReq(event.replyId, event.message, event.target, nowMs);
        case 'ack':
          return onAck(event.seq, event.message, nowMs);
        case 'no_ack':
          return onNoAck(event.seq, nowMs);
        case 'sync':
          return onSync(event.replyId, event.request, nowMs);
        case 'sync_ack':
          return onSyncAck(event.seq, event.reply, nowMs);
        case 'push':
          return receive(event.from, event.updates, nowMs).effects;
        case 'hosts':
          hostAddresses = event.peerAddresses.slice(0, MAX_HOST_ADDRESSES);
          return [];
        case 'revision':
          revision = event.revision > revision ? event.revision : revision;
          return [];
        case 'leave':
          return leave();
        case 'stop':
          return stop();
        default:
          return assertNever(event);
      }
    },
    self,
    entries: () => members.values(),
    find: (routerId) => members.get(routerId),
  };
}

/** The member's state for other modules: a member that cannot be probed shows as 'unreachable'. */
export function visibleState(entry: Readonly<MemberEntry>): GossipedState | 'unreachable' {
  const isUnreachable = entry.isUnreachable && entry.update.state !== 'dead';
  return isUnreachable ? 'unreachable' : entry.update.state;
}

/** Bytes left in a message for gossip items. */
export function spareMessageBytes(message: SwimMessage): number {
  const used = [message.from, ...message.updates].reduce(
    (sum, update) => sum + updateSizeBytes(update),
    0,
  );
  return Math.max(0, MAX_MESSAGE_BYTES - used - 40);
}

function toProbeTarget(update: MemberUpdate): ProbeTarget {
  return { routerId: update.routerId, peerAddress: update.peerAddress };
}

function withoutAge(update: MemberUpdate): MemberUpdate {
  const rest: Mutable<MemberUpdate> = { ...update };
  delete rest.ageMs;
  return rest;
}

function withoutAccuser(update: MemberUpdate): MemberUpdate {
  const rest: Mutable<MemberUpdate> = { ...update };
  delete rest.suspectedBy;
  return rest;
}
