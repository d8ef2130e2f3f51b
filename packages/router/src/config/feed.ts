import { asRevision, chooseStoreReaders, createConfigReplica } from '@mimosamill/core';
import { takeRevisionsForMessage, MAX_MESSAGE_CHARS } from './config-peers';
import type { Clock, ConfigReader, Log, Metrics } from '@mimosamill/adapters';
import type { FleetConfig, Hash32, ConfigReplicaEffect, Revision } from '@mimosamill/core';
import type { Member, Membership } from '../peer/membership';
import type { ConfigPeerHandler, ConfigPeers, ConfigPush, SnapshotPart } from './config-peers';
import type { ConfigSource } from './source';

export interface ConfigFeedSettings {
  /** Time between polls of the store by a store reader, and between attempts to bootstrap. */
  readonly pollIntervalMs: number;
  /** Recent revisions that are kept so that peers can pull them. */
  readonly maxRecentRevisions: number;
}

export const DEFAULT_FEED_SETTINGS: ConfigFeedSettings = {
  pollIntervalMs: 500,
  maxRecentRevisions: 200,
};

export interface ConfigFeedOptions {
  readonly store: ConfigReader;
  readonly peers: ConfigPeers;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly hash: Hash32;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly settings: ConfigFeedSettings;
}

/** Keeps the router's configuration up to date from the store and from other routers. */
export interface ConfigFeed extends ConfigSource {
  readonly start: () => void;
  readonly stop: () => void;
  readonly revision: () => Revision;
  /** Called when a peer announces its revision, for example in a membership message. */
  readonly notePeerRevision: (revision: Revision, peerAddress: string) => void;
  readonly handler: ConfigPeerHandler;
}

/** Poll intervals without a poll after which the process is assumed to have been paused. */
const PAUSE_DETECTION_PERIODS = 3;
/** The serialised configuration (2.4 MB for 5,100 customers) is cached only while peers read it. */
const SNAPSHOT_CACHE_MS = 30_000;
/** Peers asked at the start: a single one may lag behind, of several the newest answer is used. */
const BOOTSTRAP_PEERS = 3;
/** Peers that are asked for missing revisions before the store is read. */
const MAX_PULL_PEERS = 3;

/** Nothing is read or sent before start(). */
export function createConfigFeed(options: ConfigFeedOptions): ConfigFeed {
  const { store, peers, membership, clock, hash, random, log, settings } = options;
  const replica = createConfigReplica(settings.maxRecentRevisions);
  const counters = createCounters(options.metrics);
  const changeListeners: ((config: FleetConfig) => void)[] = [];
  const cancelTimers: (() => void)[] = [];
  let notReadyReason: string | undefined = 'the configuration has not been read yet';
  let isPolling = false;
  let isPulling = false;
  let isStoreAvailable = true;
  let pushedRevision = asRevision(0);
  let unsupportedRevision = asRevision(0);
  let lastPollMs = clock.monotonicMs();
  let cachedSnapshot: { readonly revision: Revision; readonly text: string } | undefined;

  function isReader(): boolean {
    const { failureDomain, routerId } = membership.self();
    return chooseStoreReaders(membership.members(), failureDomain, hash).includes(routerId);
  }

  function performEffects(effects: readonly ConfigReplicaEffect[], senderAddress?: string): void {
    effects.forEach((effect) => {
      switch (effect.kind) {
        case 'changed':
          onChanged(effect.config);
          return;
        case 'gap':
          void pull(senderAddress);
          return;
        default:
          onUnsupported(effect.revision);
      }
    });
  }

  /** Reports a revision once, although every poll reads it again. */
  function onUnsupported(revision: Revision): void {
    if (revision === unsupportedRevision) return;
    unsupportedRevision = revision;
    counters.unsupported.inc();
    log.error('configuration revision cannot be applied; upgrade this router to a newer release', {
      revision,
    });
  }

  function onChanged(config: FleetConfig): void {
    if (notReadyReason !== undefined) {
      notReadyReason = undefined;
      log.info('the configuration is in force', { revision: config.revision });
    }
    counters.revision.set(config.revision);
    changeListeners.forEach((fn) => fn(config));
    if (isReader()) pushToDomain();
    else pushedRevision = config.revision;
  }

  function pushToDomain(): void {
    const self = membership.self();
    const newRevisions = replica.revisionsAfter(pushedRevision) ?? [];
    pushedRevision = replica.revision();
    const push: ConfigPush = {
      from: self.peerAddress,
      revision: replica.revision(),
      revisions: takeRevisionsForMessage(newRevisions),
    };
    membership
      .members()
      .filter((member) => member.failureDomain === self.failureDomain)
      .filter((member) => member.routerId !== self.routerId && isReachable(member))
      .forEach((member) => {
        void pushTo(member, push);
      });
  }

  /** Pushes to the store readers of every failure domain, which push to the rest of their domain. */
  function pushToReaders(push: ConfigPush): void {
    const { routerId } = membership.self();
    const members = membership.members();
    const domains = [...new Set(members.map(({ failureDomain }) => failureDomain))];
    const readers = domains.flatMap((domain) => chooseStoreReaders(members, domain, hash));
    members
      .filter((member) => member.routerId !== routerId && readers.includes(member.routerId))
      .forEach((member) => {
        void pushTo(member, push);
      });
  }

  function acceptPush(push: ConfigPush): Revision {
    replica.noteRevision(push.revision);
    performEffects(replica.applyRevisions(push.revisions), push.from);
    return replica.revision();
  }

  async function pushTo(member: Member, push: ConfigPush): Promise<void> {
    const answer = await peers.push(member, push);
    counters.pushes.inc({ outcome: answer.kind });
    if (answer.kind === 'ok') notePeerRevision(answer.revision, member.peerAddress);
  }

  /** Gets missing revisions from the peer at `firstAddress`, then other peers, then the store. */
  async function pull(firstAddress: string | undefined): Promise<void> {
    if (isPulling || replica.current() === undefined) return;
    isPulling = true;
    const candidates = choosePeers(firstAddress, MAX_PULL_PEERS);
    for (const member of candidates) {
      if (replica.revision() >= replica.highestKnownRevision()) break;
      await pullFrom(member);
    }
    if (replica.revision() < replica.highestKnownRevision()) await readStoreTail();
    isPulling = false;
  }

  async function pullFrom(member: Member): Promise<void> {
    let hasMore = true;
    while (hasMore) {
      const revisionBefore = replica.revision();
      const answer = await peers.pull(member, revisionBefore);
      counters.pulls.inc({ outcome: answer.kind });
      if (answer.kind === 'unavailable') return;
      if (answer.kind === 'tail') {
        performEffects(replica.applyRevisions(answer.revisions));
        hasMore = replica.revision() > revisionBefore && replica.revision() < answer.revision;
      } else {
        performEffects(replica.installSnapshot(answer.config));
        hasMore = false;
      }
    }
  }

  /**
   * Pulls once after a pause of the process: pushes sent during the pause are lost, and the next
   * membership message may be a second away.
   */
  async function catchUp(): Promise<void> {
    const [member] = choosePeers(undefined, 1);
    if (member !== undefined) await pullFrom(member);
  }

  /** Random reachable members: the one at `firstAddress` first, then those of the same domain. */
  function choosePeers(firstAddress: string | undefined, count: number): Member[] {
    const self = membership.self();
    const ranked = membership
      .members()
      .filter((member) => member.routerId !== self.routerId && isReachable(member))
      .map((member) => ({ member, rank: pullPreference(member, self, firstAddress) + random() }));
    ranked.sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, count).map(({ member }) => member);
  }

  async function readStoreTail(): Promise<void> {
    const answer = await store.readRevisionsAfter(replica.revision());
    onStoreOutcome(answer.kind === 'ok', answer.kind === 'ok' ? '' : answer.message);
    if (answer.kind === 'ok') performEffects(replica.applyRevisions(answer.revisions));
  }

  function onStoreOutcome(isAvailable: boolean, message: string): void {
    counters.polls.inc({ outcome: isAvailable ? 'ok' : 'unavailable' });
    if (isAvailable === isStoreAvailable) return;
    isStoreAvailable = isAvailable;
    if (isAvailable) log.info('the configuration store answers again');
    else log.warn('the configuration store is unavailable', { message });
  }

  async function bootstrap(): Promise<void> {
    const stored = await store.readConfig();
    onStoreOutcome(stored.kind === 'ok', stored.kind === 'ok' ? '' : stored.message);
    if (stored.kind === 'ok') {
      performEffects(replica.installSnapshot(stored.config));
      return;
    }
    const sources = choosePeers(undefined, BOOTSTRAP_PEERS);
    const answers = await Promise.all(sources.map((member) => peers.pull(member, undefined)));
    answers.forEach((answer) => {
      if (answer.kind === 'config') performEffects(replica.installSnapshot(answer.config));
    });
    if (replica.current() !== undefined) return;
    notReadyReason = `no configuration: the store is unavailable (${stored.message}) and none of ${sources.length} peers has one`;
  }

  async function pollHead(): Promise<void> {
    const answer = await store.readHead();
    onStoreOutcome(answer.kind === 'ok', answer.kind === 'ok' ? '' : answer.message);
    if (answer.kind !== 'ok' || answer.head.revision <= replica.revision()) return;
    await readStoreTail();
  }

  async function poll(): Promise<void> {
    if (isPolling) return;
    isPolling = true;
    const wasPaused =
      clock.monotonicMs() - lastPollMs > PAUSE_DETECTION_PERIODS * settings.pollIntervalMs;
    lastPollMs = clock.monotonicMs();
    if (replica.current() === undefined) await bootstrap();
    else if (isReader()) await pollHead();
    else if (wasPaused) await catchUp();
    if (replica.revision() < replica.highestKnownRevision()) await pull(undefined);
    isPolling = false;
  }

  function notePeerRevision(revision: Revision, peerAddress: string): void {
    performEffects(replica.noteRevision(revision), peerAddress);
  }

  function snapshotPart(revision: Revision | undefined, offset: number): SnapshotPart {
    const config = replica.current();
    if (config === undefined) return { kind: 'gone' };
    if (revision === undefined && cachedSnapshot?.revision !== config.revision) {
      cachedSnapshot = { revision: config.revision, text: JSON.stringify(config) };
      clock.runAfter(SNAPSHOT_CACHE_MS, () => {
        cachedSnapshot = undefined;
      });
    }
    if (
      cachedSnapshot === undefined ||
      (revision ?? cachedSnapshot.revision) !== cachedSnapshot.revision
    ) {
      return { kind: 'gone' };
    }
    const text = cachedSnapshot.text.slice(offset, offset + MAX_MESSAGE_CHARS);
    const totalChars = cachedSnapshot.text.length;
    const nextOffset = offset + text.length;
    return { kind: 'part', revision: cachedSnapshot.revision, text, nextOffset, totalChars };
  }

  // A router that starts while the store is down can bootstrap only from peers, which the membership
  // finds a moment after the start.
  membership.onChange(() => {
    if (replica.current() === undefined && cancelTimers.length > 0) void poll();
  });

  return {
    current: replica.current,
    onChange: (fn) => {
      changeListeners.push(fn);
    },
    notReadyReason: () => notReadyReason,
    revision: replica.revision,
    start: () => {
      // A random phase spreads the polls of routers that start together.
      void poll();
      const startPolling = (): void => {
        const cancel = clock.runEvery(settings.pollIntervalMs, () => {
          void poll();
        });
        cancelTimers.push(cancel);
      };
      cancelTimers.push(clock.runAfter(random() * settings.pollIntervalMs, startPolling));
    },
    stop: () => {
      cancelTimers.forEach((cancel) => cancel());
    },
    notePeerRevision,
    handler: {
      revision: replica.revision,
      isReady: () => notReadyReason === undefined,
      revisionsAfter: replica.revisionsAfter,
      snapshotPart,
      acceptPush,
      announce: (push) => {
        // Pushed at once, because the store may fail before any store reader polls it.
        pushToReaders({ ...push, from: membership.self().peerAddress });
        return acceptPush(push);
      },
      members: membership.members,
    },
  };
}

function createCounters(metrics: Metrics) {
  return {
    revision: metrics.gauge('mimosamill_config_revision', 'Configuration revision in force'),
    polls: metrics.counter('mimosamill_config_store_reads_total', 'Reads of the store', [
      'outcome',
    ]),
    pulls: metrics.counter('mimosamill_config_pulls_total', 'Tails pulled from peers', ['outcome']),
    pushes: metrics.counter('mimosamill_config_pushes_total', 'Tails pushed to peers', ['outcome']),
    unsupported: metrics.counter(
      'mimosamill_config_unsupported_total',
      'Revisions that this release cannot apply',
    ),
  };
}

function isReachable(member: Member): boolean {
  return member.state !== 'dead' && member.state !== 'unreachable';
}

function pullPreference(member: Member, self: Member, firstAddress: string | undefined): number {
  if (member.peerAddress === firstAddress) return 0;
  return member.failureDomain === self.failureDomain ? 1 : 2;
}
