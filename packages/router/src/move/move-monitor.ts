import {
  chooseVersion,
  createEvidencePool,
  createAttemptPairing,
  createWithdrawals,
  decodeEvidenceBuckets,
  encodeEvidenceBuckets,
  enginesToAvoid,
  epochAt,
  rankByRendezvous,
} from '@mimosamill/core';
import type { Clock } from '@mimosamill/adapters';
import type {
  AttemptNo,
  AttemptObserver,
  CandidateVersion,
  EngineDeath,
  EngineId,
  EngineServiceConfig,
  EngineVersions,
  EvidenceBucket,
  EvidencePool,
  EvidenceSettings,
  EvidenceVerdict,
  Hash32,
  LoadLevel,
  MoveId,
  MoveRecord,
  AttemptPairing,
  RequestId,
  ServiceName,
  VersionChoice,
  VersionGroup,
  VersionName,
  Withdrawal,
} from '@mimosamill/core';
import type { ConfigSource } from '../config/source';
import type { Member, Membership } from '../peer/membership';
import type { WithdrawalGossip } from './withdrawal-gossip';
import type { EvidenceMessage, EvidenceReply } from './evidence-message';

/** An attempt that the router is about to send to an engine. */
export interface MonitoredAttempt {
  readonly service: ServiceName;
  readonly version: VersionName;
  /** Only first attempts are compared: one bad request would count once for each of its retries. */
  readonly attemptNo: AttemptNo;
  /** Adapter of the request; empty for the base model. */
  readonly route: string;
  readonly group: VersionGroup;
  /**
   * Mean load of the control group's engines. The new version's engines are offered the same
   * load; their measured load is no basis for comparison, because a slow version raises it.
   */
  readonly controlLoadRatio: number;
  readonly engineId: EngineId;
}

export interface MoveMonitorPorts {
  readonly config: ConfigSource;
  readonly membership: Membership;
  readonly gossip: WithdrawalGossip;
  readonly clock: Clock;
  readonly hash: Hash32;
  /** The record of a running move; undefined while the tables cannot be read. */
  readonly readRecord: (moveId: MoveId) => Promise<MoveRecord | undefined>;
  /** Undefined if the peer did not answer. */
  readonly sendEvidence: (
    peer: Member,
    message: EvidenceMessage,
  ) => Promise<EvidenceReply | undefined>;
  readonly onWithdrawn: (item: Withdrawal, origin: 'own_evidence' | 'peer') => void;
}

/** A router's part in the version moves. */
export interface MoveMonitor {
  /** Version of a request without tokens; not the new one if it has failed the request. */
  readonly chooseVersion: (
    service: EngineServiceConfig,
    requestId: RequestId,
    failed?: ReadonlySet<VersionName>,
  ) => VersionChoice;
  /** Engines that the group should leave to other requests, if it can. */
  readonly enginesToAvoid: (
    service: EngineServiceConfig,
    group: VersionGroup,
    engines: readonly EngineVersions[],
    busyRatio: number,
  ) => ReadonlySet<EngineId>;
  readonly onAttempt: (attempt: MonitoredAttempt) => AttemptObserver;
  /** `versions` are those the engine had loaded; `engines` are all of the service. */
  readonly onEngineDown: (
    service: ServiceName,
    engine: EngineVersions,
    engines: readonly EngineVersions[],
  ) => void;
  readonly onEvidence: (message: EvidenceMessage) => EvidenceReply;
  readonly withdrawals: () => readonly Withdrawal[];
  /** Reports and judges the evidence once; also run every second after `start`. */
  readonly tick: () => Promise<void>;
  readonly start: () => () => void;
}

interface ActiveMove {
  readonly moveId: MoveId;
  readonly service: ServiceName;
  readonly toVersion: VersionName;
  readonly fromVersion: VersionName;
  readonly routeCount: number;
  nextRecordReadMs: number;
  monitored: MonitoredMove | undefined;
}

/** The parts that need the move's times. */
interface MonitoredMove {
  readonly settings: EvidenceSettings;
  readonly pairing: AttemptPairing;
  readonly ownEvidence: EvidencePool;
  deaths: EngineDeath[];
  aggregatorIds: string;
  /** Sums of the cells that both aggregators have, by cell. */
  acknowledgedTotals: Map<string, number>;
}

interface MergedEvidence {
  readonly evidence: EvidencePool;
  readonly withdrawal: Omit<Withdrawal, 'reason'>;
  lastMessageMs: number;
}

/** A service's engines by group, as computed at `atMs`. */
interface AvoidedEngines {
  readonly candidate: CandidateVersion;
  readonly computedAtMs: number;
  readonly byGroup: Readonly<Record<VersionGroup, ReadonlySet<EngineId>>>;
}

const TICK_MS = 1_000;

/** With 340 routers, a candidate without a readable record costs 68 reads/s. */
const RECORD_RETRY_MS = 5_000;

/** Ranking 600 engines for every request would take most of the time of its placement. */
const AVOIDED_ENGINES_REUSE_MS = 500;

/**
 * Bound on the probability that a version no worse than the old one is withdrawn. Half belongs to
 * the merged evidence, half to the routers' own evidence, which decides in a partition.
 */
export const FALSE_ALARM_RATIO = 0.005;
const MERGED_BOUND_SHARE = 0.5;

/** Peers that merge a move's evidence. */
const AGGREGATOR_COUNT = 2;

/** Merged evidence of a move is dropped when no router has reported for this time. */
const MERGED_EXPIRY_MS = 900_000;

const MIDDLE_LOAD_RATIO = 0.5;
const HIGH_LOAD_RATIO = 0.75;

const NO_OBSERVER: AttemptObserver = {
  onFirstToken: () => undefined,
  onGap: () => undefined,
  onOutcome: () => undefined,
};

/** Load level of engines with this part of their places in use. */
export function loadLevelOf(loadRatio: number): LoadLevel {
  if (loadRatio >= HIGH_LOAD_RATIO) return 'high';
  return loadRatio >= MIDDLE_LOAD_RATIO ? 'middle' : 'low';
}

export function createMoveMonitor(ports: MoveMonitorPorts): MoveMonitor {
  const { config, membership, gossip, clock, hash } = ports;
  const withdrawals = createWithdrawals();
  const active = new Map<ServiceName, ActiveMove>();
  const merged = new Map<string, MergedEvidence>();
  const splits = new Map<ServiceName, AvoidedEngines>();

  function takeIn(item: Withdrawal, origin: 'own_evidence' | 'peer'): void {
    if (!withdrawals.add(item)) return;
    // The membership passes items from peers on by itself.
    if (origin === 'own_evidence') gossip.publish(item);
    ports.onWithdrawn(item, origin);
  }

  function syncMoves(): void {
    const services = Object.values(config.current()?.services ?? {});
    const running = new Set<ServiceName>();
    services.forEach((service) => {
      if (service.kind !== 'engine' || service.candidate === undefined) return;
      running.add(service.name);
      const { moveId, version } = service.candidate;
      if (active.get(service.name)?.moveId === moveId) return;
      active.set(service.name, {
        moveId,
        service: service.name,
        toVersion: version,
        fromVersion: service.stableVersion,
        routeCount: service.adapters.length + 1,
        nextRecordReadMs: 0,
        monitored: undefined,
      });
    });
    active.forEach((_move, name) => {
      if (!running.has(name)) active.delete(name);
    });
  }

  async function learnTimes(move: ActiveMove): Promise<void> {
    if (clock.monotonicMs() < move.nextRecordReadMs) return;
    move.nextRecordReadMs = clock.monotonicMs() + RECORD_RETRY_MS;
    const record = await ports.readRecord(move.moveId);
    if (record === undefined || move.monitored !== undefined) return;
    const settings = {
      startMs: record.orderedAtMs,
      deadlineMs: record.byMs,
      routeCount: move.routeCount,
      falseAlarmRatio: (FALSE_ALARM_RATIO * (1 - MERGED_BOUND_SHARE)) / aliveMembers().length,
    };
    move.monitored = {
      settings,
      pairing: createAttemptPairing(settings),
      ownEvidence: createEvidencePool(settings),
      deaths: [],
      aggregatorIds: '',
      acknowledgedTotals: new Map(),
    };
  }

  function aliveMembers(): readonly Member[] {
    const self = membership.self();
    const others = membership.members().filter((member) => {
      return member.state === 'alive' && member.routerId !== self.routerId;
    });
    return [self, ...others];
  }

  function aggregators(moveId: MoveId): Member[] {
    const ranked = rankByRendezvous(moveId, aliveMembers(), (each) => each.routerId, hash);
    return ranked.slice(0, AGGREGATOR_COUNT);
  }

  function itemOf(move: ActiveMove): Omit<Withdrawal, 'reason'> {
    const { moveId, service, toVersion, fromVersion } = move;
    return { moveId, service, version: toVersion, fallback: fromVersion };
  }

  async function report(move: ActiveMove, watched: MonitoredMove): Promise<void> {
    const nowMs = clock.nowMs();
    const { routerId } = membership.self();
    const cells = watched.pairing.evidenceBuckets(nowMs);
    watched.ownEvidence.merge(routerId, cells);
    judge(itemOf(move), watched.ownEvidence, nowMs);
    const receivers = aggregators(move.moveId);
    const receiverIds = receivers.map((each) => each.routerId).join();
    // A new aggregator gets the open epochs from the start.
    if (receiverIds !== watched.aggregatorIds) watched.acknowledgedTotals = new Map();
    watched.aggregatorIds = receiverIds;
    const changed = cells.filter(
      (cell) => watched.acknowledgedTotals.get(bucketKey(cell)) !== bucketTotal(cell),
    );
    const { deaths } = watched;
    if (changed.length === 0 && deaths.length === 0) return;
    const message: EvidenceMessage = {
      ...itemOf(move),
      startMs: watched.settings.startMs,
      byMs: watched.settings.deadlineMs,
      routeCount: move.routeCount,
      routerId,
      cells: Buffer.from(encodeEvidenceBuckets(changed)).toString('base64'),
      deaths,
    };
    const replies = await Promise.all(
      receivers.map((peer) =>
        peer.routerId === routerId ? onEvidence(message) : ports.sendEvidence(peer, message),
      ),
    );
    replies.forEach((reply) => reply?.withdrawals.forEach((item) => takeIn(item, 'peer')));
    // Without both answers everything is sent again; merging a report twice changes nothing.
    if (replies.includes(undefined)) return;
    watched.acknowledgedTotals = new Map(cells.map((cell) => [bucketKey(cell), bucketTotal(cell)]));
    watched.deaths = watched.deaths.filter((death) => !deaths.includes(death));
  }

  function onEvidence(message: EvidenceMessage): EvidenceReply {
    const cells = decodeEvidenceBuckets(Buffer.from(message.cells, 'base64'));
    if (cells === undefined) return { withdrawals: withdrawals.list() };
    const move = mergedFor(message);
    move.lastMessageMs = clock.nowMs();
    move.evidence.merge(message.routerId, cells);
    message.deaths.forEach(move.evidence.addDeath);
    return { withdrawals: withdrawals.list() };
  }

  function mergedFor(message: EvidenceMessage): MergedEvidence {
    const known = merged.get(message.moveId);
    if (known !== undefined) return known;
    const { startMs, byMs: deadlineMs, routeCount, moveId, service, version, fallback } = message;
    const falseAlarmRatio = (FALSE_ALARM_RATIO * MERGED_BOUND_SHARE) / AGGREGATOR_COUNT;
    const created: MergedEvidence = {
      evidence: createEvidencePool({ startMs, deadlineMs, routeCount, falseAlarmRatio }),
      withdrawal: { moveId, service, version, fallback } as Omit<Withdrawal, 'reason'>,
      lastMessageMs: clock.nowMs(),
    };
    merged.set(moveId, created);
    return created;
  }

  function judge(item: Omit<Withdrawal, 'reason'>, pool: EvidencePool, nowMs: number): void {
    if (withdrawals.find(item.service, item.version) !== undefined) return;
    const verdict = pool.verdict(nowMs);
    if (verdict === undefined) return;
    takeIn({ ...item, reason: describeVerdict(verdict, item.service) }, 'own_evidence');
  }

  function describeVerdict(verdict: EvidenceVerdict, service: ServiceName): string {
    const { againstNew, againstOld } = verdict.counts;
    const scope =
      verdict.routeHash === undefined ? 'all routes' : nameRoute(verdict.routeHash, service);
    const level = verdict.level === undefined ? '' : `, ${verdict.level} load`;
    return `${verdict.signal} on ${scope}${level}: ${againstNew} against, ${againstOld} for`;
  }

  /** Messages carry hashes of the routes; their names are in the configuration. */
  function nameRoute(routeHash: number, service: ServiceName): string {
    const found = config.current()?.services[service];
    const adapters = found?.kind === 'engine' ? found.adapters : [];
    const name = adapters.find((adapter) => hash(adapter) === routeHash);
    if (name !== undefined) return `adapter ${name}`;
    return routeHash === hash('') ? 'the base model' : `route ${routeHash}`;
  }

  async function tick(): Promise<void> {
    syncMoves();
    const nowMs = clock.nowMs();
    merged.forEach((move, moveId) => {
      judge(move.withdrawal, move.evidence, nowMs);
      if (nowMs - move.lastMessageMs > MERGED_EXPIRY_MS) merged.delete(moveId);
    });
    await Promise.all(
      [...active.values()].map(async (move) => {
        if (move.monitored === undefined) await learnTimes(move);
        if (move.monitored !== undefined) await report(move, move.monitored);
      }),
    );
  }

  config.onChange(syncMoves);
  gossip.onWithdrawal((item) => takeIn(item, 'peer'));

  return {
    chooseVersion: (service, requestId, failed) =>
      chooseVersion(service, requestId, withdrawals, hash, failed),
    enginesToAvoid: (service, group, engines, busyRatio) => {
      const { candidate } = service;
      if (candidate === undefined) return new Set();
      const { moveId, version, shareRatio } = candidate;
      if (withdrawals.find(service.name, version) !== undefined) return new Set();
      const split = splits.get(service.name);
      const isCurrent =
        split?.candidate === candidate &&
        clock.monotonicMs() - split.computedAtMs < AVOIDED_ENGINES_REUSE_MS;
      if (split !== undefined && isCurrent) return split.byGroup[group];
      const input = { engines, newVersion: version, moveId, shareRatio, busyRatio };
      const byGroup = {
        new: enginesToAvoid('new', input, hash),
        control: enginesToAvoid('control', input, hash),
        other: enginesToAvoid('other', input, hash),
      };
      splits.set(service.name, { candidate, computedAtMs: clock.monotonicMs(), byGroup });
      return byGroup[group];
    },
    onAttempt: (attempt) => {
      const move = active.get(attempt.service);
      if (move?.monitored === undefined || attempt.attemptNo > 1) return NO_OBSERVER;
      const isNew = attempt.version === move.toVersion;
      const isControl = attempt.version === move.fromVersion && attempt.group === 'control';
      if (!isNew && !isControl) return NO_OBSERVER;
      const scope = {
        comparedVersion: isNew ? 'new' : 'old',
        routeHash: hash(attempt.route),
        level: loadLevelOf(attempt.controlLoadRatio),
        engineId: attempt.engineId,
      } as const;
      return move.monitored.pairing.onAttempt(scope, clock.nowMs());
    },
    onEngineDown: (service, engine, engines) => {
      const move = active.get(service);
      if (move?.monitored === undefined || engines.length === 0) return;
      const { settings, pairing, ownEvidence, deaths } = move.monitored;
      const nowMs = clock.nowMs();
      pairing.onEngineDown(engine.engineId, nowMs);
      const hasNew = (each: EngineVersions): boolean => each.versions.includes(move.toVersion);
      const death = {
        engineId: engine.engineId,
        isNew: hasNew(engine),
        newEngineRatio: engines.filter(hasNew).length / engines.length,
        epoch: epochAt(settings, nowMs),
      };
      ownEvidence.addDeath(death);
      deaths.push(death);
    },
    onEvidence,
    withdrawals: withdrawals.list,
    tick,
    start: () =>
      clock.runEvery(TICK_MS, () => {
        void tick();
      }),
  };
}

function bucketKey(cell: EvidenceBucket): string {
  return `${cell.epoch}/${cell.routeHash}/${cell.level}`;
}

function bucketTotal(cell: EvidenceBucket): number {
  const pairs = Object.values(cell.counts).map((each) => each.againstNew + each.againstOld);
  return pairs.reduce((sum, each) => sum + each, cell.newAttempts + cell.oldAttempts);
}
