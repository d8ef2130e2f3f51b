import { asRevision, chooseStoreReaders, createConfigReplica } from '@mimosamill/core';
import { takeRevisionsForMessage, MAX_MESSAGE_CHARS } from './config-peers';
import type { Clock, ConfigReader, Log, Metrics } from '@mimosamill/adapters';
import type { FleetConfig, Hash32, ConfigReplicaEffect, Revision } from '@mimosamill/core';
import type { Member, Membership } from '../peer/membership';
import type { ConfigPeerHandler, ConfigPeers, ConfigPush, SnapshotPart } from './config-peers';
import type { ConfigSource } from './source';

export interface ConfigFeedSettings {
  /** Period of a reader's polls of the head, and of attempts to start. */
  readonly pollIntervalMs: number;
  /** Revisions kept for peers. */
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

/** The router's configuration and the tasks that keep it up to date. */
export interface ConfigFeed extends ConfigSource {
  readonly start: () => void;
  readonly stop: () => void;
  readonly revision: () => Revision;
  /** A peer was heard to be at a revision, for example in a membership message. */
  readonly notePeerRevision: (revision: Revision, peerAddress: string) => void;
  readonly handler: ConfigPeerHandler;
}

/** Missed poll periods after which the process must have been paused. */
const PAUSE_DETECTION_PERIODS = 3;
/** A serialised configuration (2.4 MB for 5,100 customers) is kept only while peers read it. */
const SNAPSHOT_CACHE_MS = 30_000;
/** Peers asked at start; one alone may lag behind, and the newest answer is taken. */
const BOOTSTRAP_PEERS = 3;
/** Peers tried for a missing tail before the store is asked. */
const MAX_PULL_PEERS = 3;

/** Creates a feed; it does nothing until started. */
export function createConfigFeed(options: ConfigFeedOptions): ConfigFeed {
  const { store, peers, membership, clock, hash, random, log, settings } = options;
  const replica = createConfigReplica(settings.maxRecentRevisions);
  const counters = createCounters(options.metrics);
  const listeners: ((config: FleetConfig) => void)[] = [];
  const cancels: (() => void)[] = [];
  let notReadyReason: string | undefined = 'the configuration has not been read yet';
  let isPolling = false;
  let isPulling = false;
  let isStoreUp = true;
  let pushedRevision = asRevision(0);
  let unsupportedRevision = asRevision(0);
  let polledAtMs = clock.monotonicMs();
  let snapshot: { readonly revision: Revision; readonly text: string } | undefined;

  function isReader(): boolean {
    const { failureDomain, routerId } = membership.self();
    return chooseStoreReaders(membership.members(), failureDomain, hash).includes(routerId);
  }

  function perform(effects: readonly ConfigReplicaEffect[], from?: string): void {
    effects.forEach((effect) => {
      switch (effect.kind) {
        case 'changed':
          onChanged(effect.config);
          return;
        case 'gap':
          void pull(from);
          return;
        default:
          onUnsupported(effect.revision);
      }
    });
  }

  /** The revision is read again by every poll, and reported once. */
  function onUnsupported(revision: Revision): void {
    if (revision === unsupportedRevision) return;
    unsupportedRevision = revision;
    counters.unsupported.inc();
    log.error('a configuration revision needs a newer release', { revision });
  }

  function onChanged(config: FleetConfig): void {
    if (notReadyReason !== undefined) {
      notReadyReason = undefined;
      log.info('the configuration is in force', { revision: config.revision });
    }
    counters.revision.set(config.revision);
    listeners.forEach((fn) => fn(config));
    if (isReader()) pushToDomain();
    else pushedRevision = config.revision;
  }

  function pushToDomain(): void {
    const self = membership.self();
    const held = replica.revisionsAfter(pushedRevision) ?? [];
    pushedRevision = replica.revision();
    const push: ConfigPush = {
      from: self.peerAddress,
      revision: replica.revision(),
      revisions: takeRevisionsForMessage(held),
    };
    membership
      .members()
      .filter((member) => member.failureDomain === self.failureDomain)
      .filter((member) => member.routerId !== self.routerId && isReachable(member))
      .forEach((member) => {
        void pushTo(member, push);
      });
  }

  /** Readers of every failure domain push on to the routers of theirs. */
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
    perform(replica.applyRevisions(push.revisions), push.from);
    return replica.revision();
  }

  async function pushTo(member: Member, push: ConfigPush): Promise<void> {
    const answer = await peers.push(member, push);
    counters.pushes.inc({ outcome: answer.kind });
    if (answer.kind === 'ok') notePeerRevision(answer.revision, member.peerAddress);
  }

  /** Tries the member that knows of the revision, then others, then the store. */
  async function pull(from: string | undefined): Promise<void> {
    if (isPulling || replica.current() === undefined) return;
    isPulling = true;
    const candidates = choosePeers(from, MAX_PULL_PEERS);
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
      const before = replica.revision();
      const answer = await peers.pull(member, before);
      counters.pulls.inc({ outcome: answer.kind });
      if (answer.kind === 'unavailable') return;
      if (answer.kind === 'tail') {
        perform(replica.applyRevisions(answer.revisions));
        hasMore = replica.revision() > before && replica.revision() < answer.revision;
      } else {
        perform(replica.installSnapshot(answer.config));
        hasMore = false;
      }
    }
  }

  /** What was pushed during a pause is lost, and the next membership message may take a second. */
  async function catchUp(): Promise<void> {
    const [member] = choosePeers(undefined, 1);
    if (member !== undefined) await pullFrom(member);
  }

  /** Random reachable members, those of the own failure domain first. */
  function choosePeers(first: string | undefined, count: number): Member[] {
    const self = membership.self();
    const scored = membership
      .members()
      .filter((member) => member.routerId !== self.routerId && isReachable(member))
      .map((member) => ({ member, score: pullPreference(member, self, first) + random() }));
    scored.sort((a, b) => a.score - b.score);
    return scored.slice(0, count).map(({ member }) => member);
  }

  async function readStoreTail(): Promise<void> {
    const answer = await store.readRevisionsAfter(replica.revision());
    noteStore(answer.kind === 'ok', answer.kind === 'ok' ? '' : answer.message);
    if (answer.kind === 'ok') perform(replica.applyRevisions(answer.revisions));
  }

  function noteStore(isUp: boolean, message: string): void {
    counters.polls.inc({ outcome: isUp ? 'ok' : 'unavailable' });
    if (isUp === isStoreUp) return;
    isStoreUp = isUp;
    if (isUp) log.info('the configuration store answers again');
    else log.warn('the configuration store is unavailable', { message });
  }

  async function bootstrap(): Promise<void> {
    const stored = await store.readConfig();
    noteStore(stored.kind === 'ok', stored.kind === 'ok' ? '' : stored.message);
    if (stored.kind === 'ok') {
      perform(replica.installSnapshot(stored.config));
      return;
    }
    const asked = choosePeers(undefined, BOOTSTRAP_PEERS);
    const answers = await Promise.all(asked.map((member) => peers.pull(member, undefined)));
    answers.forEach((answer) => {
      if (answer.kind === 'config') perform(replica.installSnapshot(answer.config));
    });
    if (replica.current() !== undefined) return;
    notReadyReason = `no configuration: the store is unavailable (${stored.message}) and none of ${asked.length} peers has one`;
  }

  async function pollHead(): Promise<void> {
    const answer = await store.readHead();
    noteStore(answer.kind === 'ok', answer.kind === 'ok' ? '' : answer.message);
    if (answer.kind !== 'ok' || answer.head.revision <= replica.revision()) return;
    await readStoreTail();
  }

  async function poll(): Promise<void> {
    if (isPolling) return;
    isPolling = true;
    const wasPaused =
      clock.monotonicMs() - polledAtMs > PAUSE_DETECTION_PERIODS * settings.pollIntervalMs;
    polledAtMs = clock.monotonicMs();
    if (replica.current() === undefined) await bootstrap();
    else if (isReader()) await pollHead();
    else if (wasPaused) await catchUp();
    if (replica.revision() < replica.highestKnownRevision()) await pull(undefined);
    isPolling = false;
  }

  function notePeerRevision(revision: Revision, peerAddress: string): void {
    perform(replica.noteRevision(revision), peerAddress);
  }

  function snapshotPart(revision: Revision | undefined, offset: number): SnapshotPart {
    const config = replica.current();
    if (config === undefined) return { kind: 'gone' };
    if (revision === undefined && snapshot?.revision !== config.revision) {
      snapshot = { revision: config.revision, text: JSON.stringify(config) };
      clock.runAfter(SNAPSHOT_CACHE_MS, () => {
        snapshot = undefined;
      });
    }
    if (snapshot === undefined || (revision ?? snapshot.revision) !== snapshot.revision) {
      return { kind: 'gone' };
    }
    const text = snapshot.text.slice(offset, offset + MAX_MESSAGE_CHARS);
    const totalChars = snapshot.text.length;
    const nextOffset = offset + text.length;
    return { kind: 'part', revision: snapshot.revision, text, nextOffset, totalChars };
  }

  // A router that starts while the store is down needs peers, and learns of them a moment later.
  membership.onChange(() => {
    if (replica.current() === undefined && cancels.length > 0) void poll();
  });

  return {
    current: replica.current,
    onChange: (fn) => {
      listeners.push(fn);
    },
    notReadyReason: () => notReadyReason,
    revision: replica.revision,
    start: () => {
      // A random phase spreads the polls of routers that were started together.
      void poll();
      const startPolling = (): void => {
        const cancel = clock.runEvery(settings.pollIntervalMs, () => {
          void poll();
        });
        cancels.push(cancel);
      };
      cancels.push(clock.runAfter(random() * settings.pollIntervalMs, startPolling));
    },
    stop: () => {
      cancels.forEach((cancel) => cancel());
    },
    notePeerRevision,
    handler: {
      revision: replica.revision,
      isReady: () => notReadyReason === undefined,
      revisionsAfter: replica.revisionsAfter,
      snapshotPart,
      acceptPush,
      announce: (push) => {
        // The store may fail before a reader polls it, so an accepted revision travels at once.
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

function pullPreference(member: Member, self: Member, first: string | undefined): number {
  if (member.peerAddress === first) return 0;
  return member.failureDomain === self.failureDomain ? 1 : 2;
}
