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
/** Room for the envelope and for gossip items next to the updates. */
const MAX_UPDATE_BYTES = 800;
const MAX_SYNC_UPDATES = 64;
const INDIRECT_PROBES = 2;
const PUSH_FANOUT = 3;
/** Every fifth probe leaves the own failure domain. */
const REMOTE_PROBE_CYCLE = 5;
/** Each update is sent this often per doubling of the fleet. */
const SENDS_PER_DOUBLING = 2;
const MIN_SENDS = 3;
/** Failures in a row, of different members, after which a whole region counts as unreachable. */
const REGION_DOWN_FAILURES = 3;
/** Independent suspicions after which the timeout is halved. */
const SUSPICION_CONFIRMATIONS = 2;
/** A later tick than this many periods means that this process itself was paused. */
const STALL_PERIODS = 2.5;
/** Equal views in a row after which anti-entropy slows down. */
const SETTLED_SYNC_COUNT = 3;
/** Time after the start in which seeds and listed hosts are tried every period. */
const BOOTSTRAP_MS = 30_000;
const INDIRECT_FACTOR = 2;
/** Bound on addresses kept from the host list. */
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

/** Creates the state machine of one node; 'tick' drives it once per period. */
export function createSwim(settings: SwimSettings, startedAtMs: number): Swim {
  const { hash, random } = settings;
  const members = new Map<RouterId, MemberEntry>();
  const updateQueue = createUpdateQueue();
  const pendingRequests = new Map<number, PendingRequest>();
  const regionFailures = new Map<Region, Set<RouterId>>();
  let hostAddresses: readonly string[] = [];
  const probeOrder = { near: [] as RouterId[], far: [] as RouterId[] };
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
    const place = { routerId, address, peerAddress, region, failureDomain };
    return { ...place, incarnation: ownIncarnation, state: ownState };
  }

  function liveEntries(): MemberEntry[] {
    return [...members.values()].filter(
      (entry) => entry.update.state !== 'dead' && !entry.isUnreachable,
    );
  }

  function sendLimit(): number {
    return Math.ceil(SENDS_PER_DOUBLING * Math.log2(members.size + 2));
  }

  /** Larger fleets need more rounds until the suspect hears of it and can answer. */
  function suspicionMs(): number {
    return settings.periodMs * (1.5 + Math.log2(members.size + 2) / 4);
  }

  function createMessage(to: RouterId | undefined): SwimMessage {
    const about = to === undefined ? undefined : members.get(to);
    // A node that is suspected or thought dead must hear of it to be able to refute.
    const isAccused = about?.update.state === 'suspect' || about?.update.state === 'dead';
    const first = about !== undefined && isAccused ? [withoutAge(about.update)] : [];
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

  /** Counts a further node that suspects the same incarnation. */
  function confirmSuspicion(known: MemberEntry, update: MemberUpdate, nowMs: number): void {
    const isSame =
      known.update.state === 'suspect' &&
      update.state === 'suspect' &&
      known.update.incarnation === update.incarnation;
    if (!isSame || update.suspectedBy === undefined || known.suspectedBy.has(update.suspectedBy))
      return;
    if (known.suspectedBy.size > SUSPICION_CONFIRMATIONS) return;
    known.suspectedBy.add(update.suspectedBy);
    updateQueue.add(update);
    if (known.suspectedBy.size !== SUSPICION_CONFIRMATIONS + 1) return;
    const halfMs = known.sinceMs + suspicionMs() / 2;
    known.suspicionEndsMs = Math.min(known.suspicionEndsMs, Math.max(nowMs, halfMs));
  }

  /** Takes in a message; a sender that is out of date about itself may only be answered. */
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
      // Two nodes that think each other dead must still be able to refute.
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

  /** The member answered or sent something: its region can be reached. */
  function markReachable(from: MemberUpdate, nowMs: number): SwimEffect[] {
    if (from.region === settings.region) return [];
    const wasDown = isRegionDown(from.region);
    regionFailures.delete(from.region);
    return [...members.values()].flatMap((entry) => {
      const isIt = entry.update.routerId === from.routerId;
      const isFreed = isIt || (wasDown && entry.update.region === from.region);
      if (!isFreed || !entry.isUnreachable) return [];
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

  /** After a pause of this process, unanswered probes and old suspicions prove nothing. */
  function resetAfterStall(nowMs: number): void {
    pendingRequests.forEach(({ kind }, seq) => {
      // A relayed probe has a caller waiting for its outcome.
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
      // Only members of the same region can tell a death from a partition between regions.
      const isDue = update.state === 'suspect' && nowMs >= entry.suspicionEndsMs;
      // The last probe gives a member that has returned the chance to refute at once.
      if (isDue && update.region === settings.region) {
        effects.push(ping('final', toProbeTarget(update), nowMs));
      }
    });
    return effects;
  }

  function probe(nowMs: number): SwimEffect[] {
    const live = liveEntries();
    const near = live.filter((entry) => isNear(entry));
    const far = live.filter((entry) => !isNear(entry));
    const wantsFar = tickCount % REMOTE_PROBE_CYCLE === 0;
    const isFar = near.length === 0 || (wantsFar && far.length > 0);
    const target = isFar ? nextInRound('far', far) : nextInRound('near', near);
    if (target === undefined) {
      nextReconnectMs = Math.min(nextReconnectMs, nowMs);
      return [];
    }
    return [ping('direct', toProbeTarget(target.update), nowMs)];
  }

  function isNear(entry: MemberEntry): boolean {
    const { region, failureDomain } = entry.update;
    return region === settings.region && failureDomain === settings.failureDomain;
  }

  /** Every member comes up once per round, in a random order. */
  function nextInRound(
    which: 'near' | 'far',
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

  /** Probes one address that may have become reachable, so that separated parts join again. */
  function reconnect(nowMs: number): SwimEffect[] {
    const unknown = unknownAddresses();
    // Routers started together form several groups, which only the seeds can join.
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

  /** The host list lags, so it only adds addresses to try. */
  function unknownAddresses(): string[] {
    const known = new Set([...members.values()].map((entry) => entry.update.peerAddress));
    const addresses = new Set([...settings.seeds, ...hostAddresses]);
    return [...addresses].filter(
      (peerAddress) => !known.has(peerAddress) && peerAddress !== settings.peerAddress,
    );
  }

  function sync(nowMs: number): SwimEffect[] {
    const live = liveEntries();
    const near = live.filter((entry) => entry.update.region === settings.region);
    const wantsFar = random() < 1 / REMOTE_PROBE_CYCLE || near.length === 0;
    const chosen = pickRandom(wantsFar ? live : near, random);
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
    // Others know what this node would still repeat.
    if (equalSyncs >= SETTLED_SYNC_COUNT) updateQueue.trim(MIN_SENDS);
    if (differing.size === 0) return effects;
    // The answer was cut off at its bound, or the other node lacks entries of this one.
    if (reply.updates.length >= MAX_SYNC_UPDATES) nextSyncMs = nowMs;
    const updates = updatesInBuckets(differing, nowMs);
    if (updates.length === 0) return effects;
    return [...effects, { kind: 'push', to: request.peerAddress, from: self(), updates }];
  }

  function onAck(seq: number, message: SwimMessage, nowMs: number): SwimEffect[] {
    const probed = pendingRequests.get(seq);
    pendingRequests.delete(seq);
    const { effects, isCurrent } = receive(message.from, message.updates, nowMs);
    if (isCurrent) effects.push(...compareRevision(message));
    if (probed === undefined || probed.kind === 'sync') return effects;
    const { target } = probed;
    const isTarget = target.routerId === undefined || message.from.routerId === target.routerId;
    if (probed.kind === 'indirect') {
      probed.group.hasAck = true;
      return effects;
    }
    if (probed.kind === 'relay') {
      const { replyId } = probed;
      if (!isTarget) return [...effects, { kind: 'refuse', replyId }];
      return [...effects, { kind: 'reply', replyId, message: createMessage(undefined) }];
    }
    if (probed.kind === 'reconnect') {
      if (isCurrent) nextSyncMs = Math.min(nextSyncMs, nowMs);
      return effects;
    }
    // Another router has taken over the address.
    if (isTarget) return effects;
    const failed =
      probed.kind === 'final' ? declareDead(target, nowMs) : onProbeFailed(target, nowMs);
    return [...effects, ...failed];
  }

  function onNoAck(seq: number, nowMs: number): SwimEffect[] {
    const probed = pendingRequests.get(seq);
    pendingRequests.delete(seq);
    if (probed === undefined) return [];
    switch (probed.kind) {
      case 'direct':
        return isTimeoutLate(probed.sentMs, settings.probeTimeoutMs, nowMs)
          ? []
          : probeIndirectly(probed.target, nowMs);
      case 'indirect': {
        const { group, target } = probed;
        group.remaining -= 1;
        if (group.remaining > 0 || group.hasAck) return [];
        if (isTimeoutLate(group.sentMs, INDIRECT_FACTOR * settings.probeTimeoutMs, nowMs))
          return [];
        return onProbeFailed(target, nowMs);
      }
      case 'final':
        return isTimeoutLate(probed.sentMs, settings.probeTimeoutMs, nowMs)
          ? []
          : declareDead(probed.target, nowMs);
      case 'relay':
        return [{ kind: 'refuse', replyId: probed.replyId }];
      case 'reconnect':
      case 'sync':
        return [];
      default:
        return assertNever(probed);
    }
  }

  /** A timeout that is noticed late says more about this process than about the target. */
  function isTimeoutLate(sentMs: number, timeoutMs: number, nowMs: number): boolean {
    const hasStalled = nowMs - lastTickMs > STALL_PERIODS * settings.periodMs;
    return hasStalled || nowMs - sentMs > timeoutMs + settings.periodMs;
  }

  function probeIndirectly(target: ProbeTarget, nowMs: number): SwimEffect[] {
    const others = liveEntries().filter(
      (entry) => entry.update.state === 'alive' && entry.update.routerId !== target.routerId,
    );
    const helpers = shuffle(others, random).slice(0, INDIRECT_PROBES);
    if (helpers.length === 0) return onProbeFailed(target, nowMs);
    const group: IndirectGroup = { remaining: helpers.length, hasAck: false, sentMs: nowMs };
    return helpers.map((helper) => ({
      kind: 'ping_req',
      seq: nextSeq({ kind: 'indirect', target, group }),
      via: helper.update.peerAddress,
      target,
      message: createMessage(helper.update.routerId),
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
   * Sends the own state and news of this node's own at once to a few members, which saves the
   * first rounds of spreading by probes.
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

/** State as other modules see it. */
export function visibleState(entry: Readonly<MemberEntry>): GossipedState | 'unreachable' {
  const isHidden = entry.isUnreachable && entry.update.state !== 'dead';
  return isHidden ? 'unreachable' : entry.update.state;
}

/** Room left for gossip items in a message. */
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
