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
  /** The record of a running move; undefined if the tables cannot be read. */
  readonly readRecord: (moveId: MoveId) => Promise<MoveRecord | undefined>;
  /** Undefined if the peer did not answer. */
  readonly sendEvidence: (
    peer: Member,
    message: EvidenceMessage,
  ) => Promise<EvidenceReply | undefined>;
  readonly onWithdrawn: (withdrawal: Withdrawal, origin: 'own_evidence' | 'peer') => void;
}

/**
 * A router's tasks in version moves: it chooses the version of each request, collects evidence that
 * the new version is worse, and withdraws a version for which the evidence is sufficient.
 */
export interface MoveMonitor {
  /** Version for a request without tokens; not the new version if `failed` contains it. */
  readonly chooseVersion: (
    service: EngineServiceConfig,
    requestId: RequestId,
    failed?: ReadonlySet<VersionName>,
  ) => VersionChoice;
  /** Engines that requests of the group should leave to other requests where possible. */
  readonly enginesToAvoid: (
    service: EngineServiceConfig,
    group: VersionGroup,
    engines: readonly EngineVersions[],
    busyRatio: number,
  ) => ReadonlySet<EngineId>;
  readonly onAttempt: (attempt: MonitoredAttempt) => AttemptObserver;
  /** `engine` has the versions that it had loaded; `engines` are all engines of the service. */
  readonly onEngineDown: (
    service: ServiceName,
    engine: EngineVersions,
    engines: readonly EngineVersions[],
  ) => void;
  readonly onEvidence: (message: EvidenceMessage) => EvidenceReply;
  readonly withdrawals: () => readonly Withdrawal[];
  /** Reports and evaluates the evidence once; runs every second after `start`. */
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

/** State of a move whose record, with its times, has been read. */
interface MonitoredMove {
  readonly settings: EvidenceSettings;
  readonly pairing: AttemptPairing;
  readonly ownEvidence: EvidencePool;
  deaths: EngineDeath[];
  aggregatorIds: string;
  /** Total counts of each bucket as all aggregators have received it. */
  acknowledgedTotals: Map<string, number>;
}

interface MergedEvidence {
  readonly evidence: EvidencePool;
  readonly withdrawal: Omit<Withdrawal, 'reason'>;
  lastMessageMs: number;
}

/** Engines that each group should avoid, as computed at `computedAtMs`. */
interface AvoidedEngines {
  readonly candidate: CandidateVersion;
  readonly computedAtMs: number;
  readonly byGroup: Readonly<Record<VersionGroup, ReadonlySet<EngineId>>>;
}

const TICK_MS = 1_000;

/** While the record of a move cannot be read, 340 routers cause 68 reads/s at this interval. */
const RECORD_RETRY_MS = 5_000;

/** Ranking 600 engines anew for every request would take most of the time of its placement. */
const AVOIDED_ENGINES_REUSE_MS = 500;

/**
 * Bound on the probability that a version no worse than the old one is withdrawn. One half is for
 * the merged evidence, the other for the routers' own evidence, which decides in a partition.
 */
export const FALSE_ALARM_RATIO = 0.005;
const MERGED_BOUND_SHARE = 0.5;

/** Routers that merge the evidence of a move. */
const AGGREGATOR_COUNT = 2;

/** Merged evidence of a move is discarded when no router has reported for this time. */
const MERGED_EXPIRY_MS = 900_000;

const MIDDLE_LOAD_RATIO = 0.5;
const HIGH_LOAD_RATIO = 0.75;

const NO_OBSERVER: AttemptObserver = {
  onFirstToken: () => undefined,
  onGap: () => undefined,
  onOutcome: () => undefined,
};

/** Load level of engines that use this part of their capacity. */
export function loadLevelOf(loadRatio: number): LoadLevel {
  if (loadRatio >= HIGH_LOAD_RATIO) return 'high';
  return loadRatio >= MIDDLE_LOAD_RATIO ? 'middle' : 'low';
}

export function createMoveMonitor(ports: MoveMonitorPorts): MoveMonitor {
  const { config, membership, gossip, clock, hash } = ports;
  const withdrawals = createWithdrawals();
  const activeMoves = new Map<ServiceName, ActiveMove>();
  const mergedEvidence = new Map<string, MergedEvidence>();
  const avoidedByService = new Map<ServiceName, AvoidedEngines>();

  function recordWithdrawal(withdrawal: Withdrawal, origin: 'own_evidence' | 'peer'): void {
    if (!withdrawals.add(withdrawal)) return;
    // Items that come from peers are forwarded by the gossip itself.
    if (origin === 'own_evidence') gossip.publish(withdrawal);
    ports.onWithdrawn(withdrawal, origin);
  }

  function updateActiveMoves(): void {
    const services = Object.values(config.current()?.services ?? {});
    const servicesWithMove = new Set<ServiceName>();
    services.forEach((service) => {
      if (service.kind !== 'engine' || service.candidate === undefined) return;
      servicesWithMove.add(service.name);
      const { moveId, version } = service.candidate;
      if (activeMoves.get(service.name)?.moveId === moveId) return;
      activeMoves.set(service.name, {
        moveId,
        service: service.name,
        toVersion: version,
        fromVersion: service.stableVersion,
        routeCount: service.adapters.length + 1,
        nextRecordReadMs: 0,
        monitored: undefined,
      });
    });
    activeMoves.forEach((_move, name) => {
      if (!servicesWithMove.has(name)) activeMoves.delete(name);
    });
  }

  async function startMonitoring(move: ActiveMove): Promise<void> {
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

  function withdrawalOf(move: ActiveMove): Omit<Withdrawal, 'reason'> {
    const { moveId, service, toVersion, fromVersion } = move;
    return { moveId, service, version: toVersion, fallback: fromVersion };
  }

  async function report(move: ActiveMove, monitored: MonitoredMove): Promise<void> {
    const nowMs = clock.nowMs();
    const { routerId } = membership.self();
    const buckets = monitored.pairing.evidenceBuckets(nowMs);
    monitored.ownEvidence.merge(routerId, buckets);
    evaluate(withdrawalOf(move), monitored.ownEvidence, nowMs);
    const currentAggregators = aggregators(move.moveId);
    const currentIds = currentAggregators.map((each) => each.routerId).join();
    // A new aggregator needs the open epochs in full.
    if (currentIds !== monitored.aggregatorIds) monitored.acknowledgedTotals = new Map();
    monitored.aggregatorIds = currentIds;
    const changed = buckets.filter(
      (bucket) => monitored.acknowledgedTotals.get(bucketKey(bucket)) !== bucketTotal(bucket),
    );
    const { deaths } = monitored;
    if (changed.length === 0 && deaths.length === 0) return;
    const message: EvidenceMessage = {
      ...withdrawalOf(move),
      startMs: monitored.settings.startMs,
      byMs: monitored.settings.deadlineMs,
      routeCount: move.routeCount,
      routerId,
      cells: Buffer.from(encodeEvidenceBuckets(changed)).toString('base64'),
      deaths,
    };
    const replies = await Promise.all(
      currentAggregators.map((peer) =>
        peer.routerId === routerId ? onEvidence(message) : ports.sendEvidence(peer, message),
      ),
    );
    replies.forEach((reply) =>
      reply?.withdrawals.forEach((withdrawal) => recordWithdrawal(withdrawal, 'peer')),
    );
    // If an answer is missing, everything is sent again; merging a report twice changes nothing.
    if (replies.includes(undefined)) return;
    monitored.acknowledgedTotals = new Map(
      buckets.map((bucket) => [bucketKey(bucket), bucketTotal(bucket)]),
    );
    monitored.deaths = monitored.deaths.filter((death) => !deaths.includes(death));
  }

  function onEvidence(message: EvidenceMessage): EvidenceReply {
    const buckets = decodeEvidenceBuckets(Buffer.from(message.cells, 'base64'));
    if (buckets === undefined) return { withdrawals: withdrawals.list() };
    const merged = mergedEvidenceOf(message);
    merged.lastMessageMs = clock.nowMs();
    merged.evidence.merge(message.routerId, buckets);
    message.deaths.forEach(merged.evidence.addDeath);
    return { withdrawals: withdrawals.list() };
  }

  function mergedEvidenceOf(message: EvidenceMessage): MergedEvidence {
    const existing = mergedEvidence.get(message.moveId);
    if (existing !== undefined) return existing;
    const { startMs, byMs: deadlineMs, routeCount, moveId, service, version, fallback } = message;
    const falseAlarmRatio = (FALSE_ALARM_RATIO * MERGED_BOUND_SHARE) / AGGREGATOR_COUNT;
    const created: MergedEvidence = {
      evidence: createEvidencePool({ startMs, deadlineMs, routeCount, falseAlarmRatio }),
      withdrawal: { moveId, service, version, fallback } as Omit<Withdrawal, 'reason'>,
      lastMessageMs: clock.nowMs(),
    };
    mergedEvidence.set(moveId, created);
    return created;
  }

  function evaluate(
    withdrawal: Omit<Withdrawal, 'reason'>,
    pool: EvidencePool,
    nowMs: number,
  ): void {
    if (withdrawals.find(withdrawal.service, withdrawal.version) !== undefined) return;
    const verdict = pool.verdict(nowMs);
    if (verdict === undefined) return;
    recordWithdrawal(
      { ...withdrawal, reason: describeVerdict(verdict, withdrawal.service) },
      'own_evidence',
    );
  }

  function describeVerdict(verdict: EvidenceVerdict, service: ServiceName): string {
    const { againstNew, againstOld } = verdict.counts;
    const scope =
      verdict.routeHash === undefined ? 'all routes' : nameRoute(verdict.routeHash, service);
    const level = verdict.level === undefined ? '' : `, ${verdict.level} load`;
    return `${verdict.signal} on ${scope}${level}: ${againstNew} against, ${againstOld} for`;
  }

  /** Finds the name of a route in the configuration, because messages carry only its hash. */
  function nameRoute(routeHash: number, service: ServiceName): string {
    const found = config.current()?.services[service];
    const adapters = found?.kind === 'engine' ? found.adapters : [];
    const name = adapters.find((adapter) => hash(adapter) === routeHash);
    if (name !== undefined) return `adapter ${name}`;
    return routeHash === hash('') ? 'the base model' : `route ${routeHash}`;
  }

  async function tick(): Promise<void> {
    updateActiveMoves();
    const nowMs = clock.nowMs();
    mergedEvidence.forEach((merged, moveId) => {
      evaluate(merged.withdrawal, merged.evidence, nowMs);
      if (nowMs - merged.lastMessageMs > MERGED_EXPIRY_MS) mergedEvidence.delete(moveId);
    });
    await Promise.all(
      [...activeMoves.values()].map(async (move) => {
        if (move.monitored === undefined) await startMonitoring(move);
        if (move.monitored !== undefined) await report(move, move.monitored);
      }),
    );
  }

  config.onChange(updateActiveMoves);
  gossip.onWithdrawal((withdrawal) => recordWithdrawal(withdrawal, 'peer'));

  return {
    chooseVersion: (service, requestId, failed) =>
      chooseVersion(service, requestId, withdrawals, hash, failed),
    enginesToAvoid: (service, group, engines, busyRatio) => {
      const { candidate } = service;
      if (candidate === undefined) return new Set();
      const { moveId, version, shareRatio } = candidate;
      if (withdrawals.find(service.name, version) !== undefined) return new Set();
      const cached = avoidedByService.get(service.name);
      const isFresh =
        cached?.candidate === candidate &&
        clock.monotonicMs() - cached.computedAtMs < AVOIDED_ENGINES_REUSE_MS;
      if (cached !== undefined && isFresh) return cached.byGroup[group];
      const input = { engines, newVersion: version, moveId, shareRatio, busyRatio };
      const byGroup = {
        new: enginesToAvoid('new', input, hash),
        control: enginesToAvoid('control', input, hash),
        other: enginesToAvoid('other', input, hash),
      };
      avoidedByService.set(service.name, { candidate, computedAtMs: clock.monotonicMs(), byGroup });
      return byGroup[group];
    },
    onAttempt: (attempt) => {
      const move = activeMoves.get(attempt.service);
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
      const move = activeMoves.get(service);
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

function bucketKey(bucket: EvidenceBucket): string {
  return `${bucket.epoch}/${bucket.routeHash}/${bucket.level}`;
}

function bucketTotal(bucket: EvidenceBucket): number {
  const pairs = Object.values(bucket.counts).map((each) => each.againstNew + each.againstOld);
  return pairs.reduce((sum, each) => sum + each, bucket.newAttempts + bucket.oldAttempts);
}
