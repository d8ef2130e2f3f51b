import { asRevision } from '../ids';
import { assertNever } from '../outcome';
import { pick, shuffle } from './random';
import { createSpreadQueue } from './spread';
import { bucketOf, differingBuckets, overrides, updateSizeBytes, viewBuckets } from './view';
import type { Region, RouterId } from '../ids';
import type {
  ProbeTarget,
  Swim,
  SwimEffect,
  SwimMessage,
  SwimSettings,
  SyncReply,
  SyncRequest,
} from './message';
import type { MemberUpdate, SpreadState, ViewEntry } from './view';

const MAX_UPDATES = 8;
const MAX_MESSAGE_BYTES = 1_024;
/** Room for the envelope and for gossip items next to the updates. */
const UPDATE_BYTES = 800;
const MAX_SYNC_UPDATES = 64;
const INDIRECT_PROBES = 2;
const TELL_FANOUT = 3;
/** Every fifth probe leaves the own failure domain. */
const DOMAIN_CYCLE = 5;
/** Each update is sent this often per doubling of the fleet. */
const SENDS_PER_DOUBLING = 2;
const MIN_SENDS = 3;
/** Failures in a row, of different members, after which a whole region counts as unreachable. */
const REGION_FAILURES = 3;
/** Independent suspicions after which the timeout is halved. */
const CONFIRMATIONS = 2;
/** A later tick than this many periods means that this process itself was paused. */
const STALL_PERIODS = 2.5;
/** Equal views in a row after which anti-entropy slows down. */
const SETTLED_SYNCS = 3;
/** Time after the start in which seeds and listed hosts are tried every period. */
const START_MS = 30_000;
const RELAY_FACTOR = 2;
/** Bound on addresses kept from the host list. */
const MAX_CANDIDATES = 2_048;

type Pending =
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
  const view = new Map<RouterId, ViewEntry>();
  const spread = createSpreadQueue();
  const pending = new Map<number, Pending>();
  const regionFailures = new Map<Region, Set<RouterId>>();
  let listed: readonly string[] = [];
  const rounds = { near: [] as RouterId[], far: [] as RouterId[] };
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

  function liveEntries(): ViewEntry[] {
    return [...view.values()].filter(
      (entry) => entry.update.state !== 'dead' && !entry.isUnreachable,
    );
  }

  function sendLimit(): number {
    return Math.ceil(SENDS_PER_DOUBLING * Math.log2(view.size + 2));
  }

  /** Larger fleets need more rounds until the suspect hears of it and can answer. */
  function suspicionMs(): number {
    return settings.periodMs * (1.5 + Math.log2(view.size + 2) / 4);
  }

  function createMessage(to: RouterId | undefined): SwimMessage {
    const about = to === undefined ? undefined : view.get(to);
    // A node that is suspected or thought dead must hear of it to be able to refute.
    const isAccused = about?.update.state === 'suspect' || about?.update.state === 'dead';
    const first = about !== undefined && isAccused ? [withoutAge(about.update)] : [];
    const firstBytes = first.reduce((sum, update) => sum + updateSizeBytes(update), 0);
    const rest = spread.take(
      MAX_UPDATES - first.length,
      UPDATE_BYTES - updateSizeBytes(self()) - firstBytes,
      sendLimit(),
    );
    return { from: self(), revision, updates: [...first, ...rest] };
  }

  function nextSeq(entry: Pending): number {
    lastSeq += 1;
    pending.set(lastSeq, entry);
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
    const known = view.get(update.routerId);
    const before = known === undefined ? undefined : shownState(known);
    const entry: ViewEntry = {
      update: withoutAge(update),
      sinceMs: nowMs - (update.ageMs ?? 0),
      isUnreachable: known?.isUnreachable ?? isRegionDown(update.region),
      suspectUntilMs: nowMs + suspicionMs(),
      accusers: new Set(update.accuser === undefined ? [] : [update.accuser]),
    };
    view.set(update.routerId, entry);
    const after = shownState(entry);
    if (before === after) return [];
    return [{ kind: 'changed', routerId: update.routerId, state: after }];
  }

  function isRegionDown(region: Region): boolean {
    return region !== settings.region && (regionFailures.get(region)?.size ?? 0) >= REGION_FAILURES;
  }

  function refute(update: MemberUpdate): SwimEffect[] {
    if (update.incarnation < ownIncarnation) return [];
    const isSame = update.incarnation === ownIncarnation && update.state === ownState;
    if (isSame || (ownState === 'dead' && update.incarnation === ownIncarnation)) return [];
    ownIncarnation = update.incarnation + 1;
    spread.add(self());
    return tell([], update.accuser);
  }

  function merge(update: MemberUpdate, nowMs: number): SwimEffect[] {
    if (update.routerId === settings.routerId) {
      return refute(update);
    }
    const known = view.get(update.routerId);
    if (known === undefined) {
      if ((update.ageMs ?? 0) >= settings.deadKeepMs) return [];
      spread.add(update);
      return setState(update, nowMs);
    }
    if (overrides(update, known.update)) {
      spread.add(update);
      return setState(update, nowMs);
    }
    confirm(known, update, nowMs);
    return [];
  }

  /** Counts a further node that suspects the same incarnation. */
  function confirm(known: ViewEntry, update: MemberUpdate, nowMs: number): void {
    const isSame =
      known.update.state === 'suspect' &&
      update.state === 'suspect' &&
      known.update.incarnation === update.incarnation;
    if (!isSame || update.accuser === undefined || known.accusers.has(update.accuser)) return;
    if (known.accusers.size > CONFIRMATIONS) return;
    known.accusers.add(update.accuser);
    spread.add(update);
    if (known.accusers.size !== CONFIRMATIONS + 1) return;
    const halfMs = known.sinceMs + suspicionMs() / 2;
    known.suspectUntilMs = Math.min(known.suspectUntilMs, Math.max(nowMs, halfMs));
  }

  /** Takes in a message; a sender that is out of date about itself may only be answered. */
  function hear(
    from: MemberUpdate,
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): { readonly effects: SwimEffect[]; readonly isCurrent: boolean } {
    if (from.routerId === settings.routerId) return { effects: [], isCurrent: false };
    const known = view.get(from.routerId);
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
      ...reach(from, nowMs),
    ];
    return { effects, isCurrent: true };
  }

  /** The member answered or sent something: its region can be reached. */
  function reach(from: MemberUpdate, nowMs: number): SwimEffect[] {
    if (from.region === settings.region) return [];
    const wasDown = isRegionDown(from.region);
    regionFailures.delete(from.region);
    return [...view.values()].flatMap((entry) => {
      const isIt = entry.update.routerId === from.routerId;
      const isFreed = isIt || (wasDown && entry.update.region === from.region);
      if (!isFreed || !entry.isUnreachable) return [];
      return setReachable(entry, true, nowMs);
    });
  }

  function setReachable(entry: ViewEntry, isReachable: boolean, nowMs: number): SwimEffect[] {
    if (entry.isUnreachable === !isReachable) return [];
    entry.isUnreachable = !isReachable;
    entry.sinceMs = nowMs;
    if (entry.update.state === 'dead') return [];
    return [{ kind: 'changed', routerId: entry.update.routerId, state: shownState(entry) }];
  }

  function onTick(nowMs: number): SwimEffect[] {
    if (ownState === 'dead') return [];
    const isStalled = nowMs - lastTickMs > STALL_PERIODS * settings.periodMs;
    if (isStalled) forgive(nowMs);
    lastTickMs = nowMs;
    tickCount += 1;
    const effects = [...expire(nowMs), ...probe(nowMs)];
    if (nowMs >= nextReconnectMs) effects.push(...reconnect(nowMs));
    if (nowMs >= nextSyncMs) effects.push(...sync(nowMs));
    return effects;
  }

  /** After a pause of this process, unanswered probes and old suspicions prove nothing. */
  function forgive(nowMs: number): void {
    pending.forEach(({ kind }, seq) => {
      // A relayed probe has a caller waiting for its outcome.
      if (kind !== 'relay') pending.delete(seq);
    });
    view.forEach((entry) => {
      entry.suspectUntilMs = Math.max(entry.suspectUntilMs, nowMs + suspicionMs() / 2);
    });
  }

  function expire(nowMs: number): SwimEffect[] {
    const effects: SwimEffect[] = [];
    view.forEach((entry, routerId) => {
      const { update } = entry;
      if (update.state === 'dead' && nowMs - entry.sinceMs >= settings.deadKeepMs) {
        view.delete(routerId);
        effects.push({ kind: 'changed', routerId, state: 'forgotten' });
      }
      // Only members of the same region can tell a death from a partition between regions.
      const isDue = update.state === 'suspect' && nowMs >= entry.suspectUntilMs;
      // The last probe gives a member that has returned the chance to refute at once.
      if (isDue && update.region === settings.region) {
        effects.push(ping('final', targetOf(update), nowMs));
      }
    });
    return effects;
  }

  function probe(nowMs: number): SwimEffect[] {
    const live = liveEntries();
    const near = live.filter((entry) => isNear(entry));
    const far = live.filter((entry) => !isNear(entry));
    const wantsFar = tickCount % DOMAIN_CYCLE === 0;
    const isFar = near.length === 0 || (wantsFar && far.length > 0);
    const target = isFar ? nextInRound('far', far) : nextInRound('near', near);
    if (target === undefined) {
      nextReconnectMs = Math.min(nextReconnectMs, nowMs);
      return [];
    }
    return [ping('direct', targetOf(target.update), nowMs)];
  }

  function isNear(entry: ViewEntry): boolean {
    const { region, failureDomain } = entry.update;
    return region === settings.region && failureDomain === settings.failureDomain;
  }

  /** Every member comes up once per round, in a random order. */
  function nextInRound(which: 'near' | 'far', live: readonly ViewEntry[]): ViewEntry | undefined {
    if (live.length === 0) return undefined;
    const byId = new Map(live.map((entry) => [entry.update.routerId, entry]));
    for (;;) {
      const round = rounds[which];
      if (round.length === 0) rounds[which] = shuffle([...byId.keys()], random);
      const routerId = rounds[which].pop();
      const entry = routerId === undefined ? undefined : byId.get(routerId);
      if (entry !== undefined) return entry;
    }
  }

  /** Probes one address that may have become reachable, so that separated parts join again. */
  function reconnect(nowMs: number): SwimEffect[] {
    const unknown = candidates();
    // Routers started together form several groups, which only the seeds can join.
    const isStarting = nowMs - startedAtMs < START_MS && unknown.length > 0;
    const everyMs = isStarting ? settings.periodMs : settings.reconnectEveryMs;
    nextReconnectMs = nowMs + everyMs * (0.5 + random());
    const lost = [...view.values()].filter(
      (entry) => entry.update.state === 'dead' || entry.isUnreachable,
    );
    const targets: ProbeTarget[] = [
      ...lost.map((entry) => targetOf(entry.update)),
      ...unknown.map((peerAddress) => ({ routerId: undefined, peerAddress })),
    ];
    const target = pick(targets, random);
    if (target === undefined) return [];
    return [ping('reconnect', target, nowMs)];
  }

  /** The host list lags, so it only adds addresses to try. */
  function candidates(): string[] {
    const known = new Set([...view.values()].map((entry) => entry.update.peerAddress));
    const addresses = new Set([...settings.seeds, ...listed]);
    return [...addresses].filter(
      (peerAddress) => !known.has(peerAddress) && peerAddress !== settings.peerAddress,
    );
  }

  function sync(nowMs: number): SwimEffect[] {
    const live = liveEntries();
    const near = live.filter((entry) => entry.update.region === settings.region);
    const wantsFar = random() < 1 / DOMAIN_CYCLE || near.length === 0;
    const chosen = pick(wantsFar ? live : near, random);
    if (chosen === undefined) return [];
    nextSyncMs = nowMs + settings.syncEveryMs * (0.5 + random());
    return [syncWith(chosen.update.peerAddress)];
  }

  function syncWith(peerAddress: string): SwimEffect {
    const seq = nextSeq({ kind: 'sync', peerAddress });
    return { kind: 'sync', seq, to: peerAddress, request: { from: self(), buckets: buckets() } };
  }

  function buckets(): number[] {
    const own: ViewEntry = {
      update: self(),
      sinceMs: 0,
      isUnreachable: false,
      suspectUntilMs: 0,
      accusers: new Set(),
    };
    return viewBuckets([...view.values(), own], hash);
  }

  function entriesIn(differing: ReadonlySet<number>, nowMs: number): MemberUpdate[] {
    const found = [...view.values()].filter((entry) =>
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
    const { effects } = hear(request.from, [], nowMs);
    const ours = buckets();
    const updates = entriesIn(differingBuckets(ours, request.buckets), nowMs);
    const reply: SyncReply = { from: self(), buckets: ours, updates };
    return [...effects, { kind: 'sync_reply', replyId, reply }];
  }

  function onSyncAck(seq: number, reply: SyncReply, nowMs: number): SwimEffect[] {
    const request = pending.get(seq);
    pending.delete(seq);
    if (request?.kind !== 'sync') return [];
    const { effects, isCurrent } = hear(reply.from, reply.updates, nowMs);
    if (!isCurrent) return effects;
    const differing = differingBuckets(buckets(), reply.buckets);
    equalSyncs = differing.size === 0 ? equalSyncs + 1 : 0;
    // Views that differed lately, as after a start or a partition, are compared again soon.
    if (equalSyncs < SETTLED_SYNCS) nextSyncMs = nowMs + settings.periodMs * (1 + random());
    // Others know what this node would still repeat.
    if (equalSyncs >= SETTLED_SYNCS) spread.trim(MIN_SENDS);
    if (differing.size === 0) return effects;
    // The answer was cut off at its bound, or the other node lacks entries of this one.
    if (reply.updates.length >= MAX_SYNC_UPDATES) nextSyncMs = nowMs;
    const updates = entriesIn(differing, nowMs);
    if (updates.length === 0) return effects;
    return [...effects, { kind: 'push', to: request.peerAddress, from: self(), updates }];
  }

  function onAck(seq: number, message: SwimMessage, nowMs: number): SwimEffect[] {
    const probed = pending.get(seq);
    pending.delete(seq);
    const { effects, isCurrent } = hear(message.from, message.updates, nowMs);
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
    const probed = pending.get(seq);
    pending.delete(seq);
    if (probed === undefined) return [];
    switch (probed.kind) {
      case 'direct':
        return isLate(probed.sentMs, settings.probeTimeoutMs, nowMs)
          ? []
          : askOthers(probed.target, nowMs);
      case 'indirect': {
        const { group, target } = probed;
        group.remaining -= 1;
        if (group.remaining > 0 || group.hasAck) return [];
        if (isLate(group.sentMs, RELAY_FACTOR * settings.probeTimeoutMs, nowMs)) return [];
        return onProbeFailed(target, nowMs);
      }
      case 'final':
        return isLate(probed.sentMs, settings.probeTimeoutMs, nowMs)
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
  function isLate(sentMs: number, timeoutMs: number, nowMs: number): boolean {
    const hasStalled = nowMs - lastTickMs > STALL_PERIODS * settings.periodMs;
    return hasStalled || nowMs - sentMs > timeoutMs + settings.periodMs;
  }

  function askOthers(target: ProbeTarget, nowMs: number): SwimEffect[] {
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
      timeoutMs: RELAY_FACTOR * settings.probeTimeoutMs,
    }));
  }

  function onProbeFailed(target: ProbeTarget, nowMs: number): SwimEffect[] {
    const entry = target.routerId === undefined ? undefined : view.get(target.routerId);
    if (entry === undefined || entry.update.state === 'dead') return [];
    if (entry.update.region !== settings.region) return onFarFailure(entry, nowMs);
    const accuser = settings.routerId;
    const isNew = entry.update.state !== 'suspect';
    const suspicion: MemberUpdate = { ...entry.update, state: 'suspect', accuser };
    const effects = merge(suspicion, nowMs);
    return isNew ? [...effects, ...tell([suspicion])] : effects;
  }

  function declareDead(target: ProbeTarget, nowMs: number): SwimEffect[] {
    const entry = target.routerId === undefined ? undefined : view.get(target.routerId);
    const isDue = entry?.update.state === 'suspect' && nowMs >= entry.suspectUntilMs;
    if (entry === undefined || !isDue) return [];
    const death: MemberUpdate = { ...withoutAccuser(entry.update), state: 'dead' };
    return [...merge(death, nowMs), ...tell([death])];
  }

  function onFarFailure(entry: ViewEntry, nowMs: number): SwimEffect[] {
    const { region, routerId } = entry.update;
    const failed = regionFailures.get(region) ?? new Set<RouterId>();
    regionFailures.set(region, failed.add(routerId));
    const effects = setReachable(entry, false, nowMs);
    if (!isRegionDown(region)) return effects;
    view.forEach((other) => {
      if (other.update.region === region) effects.push(...setReachable(other, false, nowMs));
    });
    return effects;
  }

  function onPing(replyId: number, message: SwimMessage, nowMs: number): SwimEffect[] {
    const { effects, isCurrent } = hear(message.from, message.updates, nowMs);
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
    const { effects } = hear(message.from, message.updates, nowMs);
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
    spread.add(self());
    return tell([]);
  }

  function stop(): SwimEffect[] {
    if (ownState === 'dead') return [];
    ownState = 'dead';
    return tell([]);
  }

  /**
   * Sends the own state and news of this node's own at once to a few members, which saves the
   * first rounds of spreading by probes.
   */
  function tell(updates: readonly MemberUpdate[], first?: RouterId): SwimEffect[] {
    const live = liveEntries().filter((entry) => entry.update.state !== 'suspect');
    const chosen = shuffle(live, random)
      .sort((a, b) => Number(b.update.routerId === first) - Number(a.update.routerId === first))
      .slice(0, TELL_FANOUT);
    return chosen.map((entry) => ({
      kind: 'push',
      to: entry.update.peerAddress,
      from: self(),
      updates,
    }));
  }

  return {
    on: (event, nowMs) => {
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
          return hear(event.from, event.updates, nowMs).effects;
        case 'hosts':
          listed = event.peerAddresses.slice(0, MAX_CANDIDATES);
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
    entries: () => view.values(),
    find: (routerId) => view.get(routerId),
  };
}

/** State as other modules see it. */
export function shownState(entry: Readonly<ViewEntry>): SpreadState | 'unreachable' {
  const isHidden = entry.isUnreachable && entry.update.state !== 'dead';
  return isHidden ? 'unreachable' : entry.update.state;
}

/** Room left for gossip items in a message. */
export function spareBytes(message: SwimMessage): number {
  const used = [message.from, ...message.updates].reduce(
    (sum, update) => sum + updateSizeBytes(update),
    0,
  );
  return Math.max(0, MAX_MESSAGE_BYTES - used - 40);
}

function targetOf(update: MemberUpdate): ProbeTarget {
  return { routerId: update.routerId, peerAddress: update.peerAddress };
}

function withoutAge(update: MemberUpdate): MemberUpdate {
  const rest: Mutable<MemberUpdate> = { ...update };
  delete rest.ageMs;
  return rest;
}

function withoutAccuser(update: MemberUpdate): MemberUpdate {
  const rest: Mutable<MemberUpdate> = { ...update };
  delete rest.accuser;
  return rest;
}
