import { asId } from '../ids';
import { evictOldest } from '../evict';
import { createDeathTable } from './death-table';
import type { EngineId, FailureDomain, Fingerprint, RequestId, RouterId } from '../ids';
import type { Hash32 } from '../hash/rendezvous';
import type { Death, DeathReport } from './death-table';

export interface SuspectTrackerSettings {
  readonly routerId: RouterId;
  readonly hash: Hash32;
  /** A request that gets this many tokens past its index at a death is cleared of that death. */
  readonly clearAfterTokens: number;
  /** Deaths in one failure domain within this time may be a loss of the domain itself. */
  readonly domainLossWindowMs: number;
  /** Time after a death before a suspect may resume: other routers report the same death. */
  readonly reportWaitMs: number;
  /** Time after a death before a request may be condemned: slow routers still report it. */
  readonly condemnDelayMs: number;
  /** Time a suspect needs to be cleared: a prefill and 32 tokens at 32 ms. */
  readonly clearTimeMs: number;
  /**
   * Longest wait for an engine without another suspect: `clearTimeMs` twice, which keeps a resume
   * within 3 s.
   */
  readonly maxEngineWaitMs: number;
  /** Longest wait of a request that may be condemned for the other suspects to be cleared. */
  readonly maxHoldMs: number;
  /** Delay between the turns of the routers that wait to run the same suspect. */
  readonly turnIntervalMs: number;
  /** A router counts as running a suspect for this long after its last 'runner' item. */
  readonly runnerTimeoutMs: number;
  /** How long a condemned request is refused, and how long deaths are remembered. */
  readonly culpritExpiryMs: number;
  readonly maxSuspects: number;
}

export const SUSPECT_TRACKER_DEFAULTS = {
  clearAfterTokens: 32,
  domainLossWindowMs: 2_000,
  reportWaitMs: 50,
  condemnDelayMs: 1_000,
  clearTimeMs: 1_200,
  maxEngineWaitMs: 2_400,
  maxHoldMs: 3_000,
  turnIntervalMs: 1_000,
  runnerTimeoutMs: 5_000,
  culpritExpiryMs: 600_000,
  maxSuspects: 1_024,
} as const satisfies Partial<SuspectTrackerSettings>;

/** Update for all routers; sent directly to the nearest peers and spread further by gossip. */
export interface SuspectItem {
  readonly kind: 'death' | 'cleared' | 'runner' | 'culprit';
  readonly key: string;
  readonly payload: string;
  readonly expiresAtMs: number;
}

export interface EngineLocation {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomain;
}

/** Whether a request may be sent to an engine now. */
export type SuspectAdmission =
  | { readonly kind: 'run' }
  /** Another run of the same request, or other suspects, must be decided first. */
  | { readonly kind: 'wait'; readonly untilMs: number }
  | { readonly kind: 'condemned' };

/** 'held': may be the cause of several deaths, and must not run until that is decided. */
export type SuspectStatus = 'clear' | 'suspect' | 'held' | 'condemned';

/**
 * Finds requests whose content crashes engines. Every request on an engine that died is a suspect;
 * it is cleared once its generation gets well past the index of the death, and
 * condemned once only it can explain the deaths. Times are wall-clock times, because they are
 * compared with those of other routers.
 */
export interface SuspectTracker {
  /** An engine with requests of this router died: it reset or refused connections. */
  readonly onDeath: (death: DeathReport, nowMs: number) => void;
  readonly onItem: (item: SuspectItem, nowMs: number) => void;
  /** A request of this router received the token with this index. */
  readonly onProgress: (fingerprint: Fingerprint, index: number, nowMs: number) => void;
  /** A request of this router ended. A run that was given up neither clears nor condemns it. */
  readonly onEnd: (
    fingerprint: Fingerprint,
    requestId: RequestId,
    outcome: 'finished' | 'given_up',
    nowMs: number,
  ) => void;
  /** To be called before each attempt. All routers agree on the order that `rank` comes from. */
  readonly admit: (
    fingerprint: Fingerprint,
    requestId: RequestId,
    rank: number,
    nowMs: number,
  ) => SuspectAdmission;
  /** An admitted request was sent to this engine. */
  readonly onPlaced: (fingerprint: Fingerprint, engineId: EngineId) => void;
  /**
   * Engines that the next attempt must not use, because they are left to other suspects. All of
   * `engines` if the attempt should wait.
   */
  readonly enginesToAvoid: (
    fingerprint: Fingerprint,
    engines: readonly EngineLocation[],
    nowMs: number,
  ) => ReadonlySet<EngineId>;
  readonly statusOf: (fingerprint: Fingerprint, nowMs: number) => SuspectStatus;
  /** Items to send to the other routers; each is returned once. */
  readonly takeItems: () => SuspectItem[];
  readonly sizes: () => { readonly suspects: number; readonly deaths: number };
}

/** The one run of a suspect that is allowed now. In an item, an empty request id means none. */
interface Runner {
  readonly routerId: string;
  readonly requestId: string;
  engineId: string;
  readonly expiresAtMs: number;
}

interface Suspect {
  clearedAtMs: number;
  runner: Runner | undefined;
  /** When the last run ended without clearing the suspect. */
  idleSinceMs: number;
}

/** Also the time for which an engine that died is not used; a restart takes longer. */
const DEATH_MERGE_WINDOW_MS = 5_000;
const MAX_DEATHS = 256;
const MAX_CANDIDATES_PER_DEATH = 256;
/** Keeps a 'death' item below the size limit of a gossip item. */
const STREAMS_PER_ITEM = 6;
const SEPARATOR = ' ';

export function createSuspectTracker(settings: SuspectTrackerSettings): SuspectTracker {
  const deaths = createDeathTable({
    mergeWindowMs: DEATH_MERGE_WINDOW_MS,
    expiryMs: settings.culpritExpiryMs,
    maxDeaths: MAX_DEATHS,
    maxCandidatesPerDeath: MAX_CANDIDATES_PER_DEATH,
  });
  const suspects = new Map<Fingerprint, Suspect>();
  /** Condemned requests, with the time until which they are refused. */
  const culprits = new Map<Fingerprint, number>();
  let items: SuspectItem[] = [];
  /** Results of `possibleDeathsOf`; cleared whenever a death, clearance or verdict changes. */
  const possibleDeathsCache = new Map<Fingerprint, readonly Death[]>();

  function suspectOf(fingerprint: Fingerprint): Suspect {
    const known = suspects.get(fingerprint);
    if (known !== undefined) return known;
    const created: Suspect = {
      clearedAtMs: -Infinity,
      runner: undefined,
      idleSinceMs: -Infinity,
    };
    suspects.set(fingerprint, created);
    evictOldest(suspects, settings.maxSuspects);
    return created;
  }

  function isCondemned(fingerprint: Fingerprint, nowMs: number): boolean {
    return (culprits.get(fingerprint) ?? -Infinity) > nowMs;
  }

  function isClearedOf(fingerprint: Fingerprint, death: Death): boolean {
    return (suspects.get(fingerprint)?.clearedAtMs ?? -Infinity) >= death.atMs;
  }

  /** Removes expired deaths and culprits. */
  function expire(nowMs: number): void {
    let hasChanged = deaths.expire(nowMs);
    for (const [fingerprint, untilMs] of culprits) {
      if (untilMs > nowMs) break;
      culprits.delete(fingerprint);
      hasChanged = true;
    }
    if (hasChanged) possibleDeathsCache.clear();
  }

  /** Deaths that this request may have caused: unexplained, and no infrastructure loss. */
  function possibleDeathsOf(fingerprint: Fingerprint, nowMs: number): readonly Death[] {
    const known = possibleDeathsCache.get(fingerprint);
    if (known !== undefined) return known;
    const possible = deaths
      .findByFingerprint(fingerprint)
      .filter(
        (death) => isUnexplained(fingerprint, death, nowMs) && !isInfrastructureLoss(death, nowMs),
      );
    possibleDeathsCache.set(fingerprint, possible);
    return possible;
  }

  function unexplainedDeathsOf(fingerprint: Fingerprint, nowMs: number): readonly Death[] {
    return deaths
      .findByFingerprint(fingerprint)
      .filter((death) => isUnexplained(fingerprint, death, nowMs));
  }

  /** Whether the request is not cleared of the death and no condemned request explains it. */
  function isUnexplained(fingerprint: Fingerprint, death: Death, nowMs: number): boolean {
    if (isClearedOf(fingerprint, death)) return false;
    return !otherCandidatesOf(fingerprint, death).some((other) => isCondemned(other, nowMs));
  }

  /**
   * Whether the engine was lost together with others of its failure domain, as when a rack fails:
   * two such deaths have no request in common, neither with each other nor with any other death.
   */
  function isInfrastructureLoss(death: Death, nowMs: number): boolean {
    if (hasCommonRequest(death, nowMs)) return false;
    const concurrent = deaths.findConcurrentInDomain(death, settings.domainLossWindowMs);
    return concurrent.some((other) => !hasCommonRequest(other, nowMs));
  }

  function hasCommonRequest(death: Death, nowMs: number): boolean {
    return [...death.candidates.keys()].some((fingerprint) => {
      const isRepeated = deaths.findByFingerprint(fingerprint).length > 1;
      return isRepeated && unexplainedDeathsOf(fingerprint, nowMs).length > 1;
    });
  }

  /**
   * Counts deaths in one failure domain within a short time once: a stream that was resumed on
   * another engine of a failing domain is present at the next death without causing it.
   */
  function countIncidents(possible: readonly Death[]): number {
    const counted: Death[] = [];
    possible.forEach((death) => {
      const concurrent = deaths.findConcurrentInDomain(death, settings.domainLossWindowMs);
      if (!concurrent.some((other) => counted.includes(other))) counted.push(death);
    });
    return counted.length;
  }

  function otherCandidatesOf(fingerprint: Fingerprint, death: Death): Fingerprint[] {
    return [...death.candidates.keys()].filter((other) => other !== fingerprint);
  }

  function isOnlyCandidateLeft(fingerprint: Fingerprint, death: Death): boolean {
    return otherCandidatesOf(fingerprint, death).every((other) => isClearedOf(other, death));
  }

  function statusOf(fingerprint: Fingerprint, nowMs: number): SuspectStatus {
    expire(nowMs);
    if (isCondemned(fingerprint, nowMs)) return 'condemned';
    const possible = possibleDeathsOf(fingerprint, nowMs);
    const latest = possible.at(-1);
    if (latest === undefined) return 'clear';
    if (
      countIncidents(possible) < 2 ||
      hasIndistinguishableSuspect(fingerprint, possible, latest, nowMs)
    ) {
      return 'suspect';
    }
    const waitedMs = nowMs - latest.atMs;
    if (waitedMs < settings.condemnDelayMs) return 'held';
    // The request was on the engine at every one of these deaths. Once all other candidates of one
    // death are cleared, the request caused that death.
    const isCause = possible.some((death) => isOnlyCandidateLeft(fingerprint, death));
    if (!isCause && waitedMs < settings.maxHoldMs) return 'held';
    // The other candidates had time to be cleared: the request with the most deaths is condemned;
    // any other may run once more.
    if (!isCause && !hasMostDeaths(fingerprint, possible.length, latest, nowMs)) return 'suspect';
    condemn(fingerprint, nowMs);
    return 'condemned';
  }

  /** Whether another suspect was on all the same deaths; only runs on separate engines decide. */
  function hasIndistinguishableSuspect(
    fingerprint: Fingerprint,
    possible: readonly Death[],
    latest: Death,
    nowMs: number,
  ): boolean {
    return otherCandidatesOf(fingerprint, latest).some((other) => {
      if (isClearedOf(other, latest)) return false;
      const otherPossible = possibleDeathsOf(other, nowMs);
      return possible.every((death) => otherPossible.includes(death));
    });
  }

  function hasMostDeaths(
    fingerprint: Fingerprint,
    count: number,
    death: Death,
    nowMs: number,
  ): boolean {
    return otherCandidatesOf(fingerprint, death).every(
      (other) => isClearedOf(other, death) || possibleDeathsOf(other, nowMs).length < count,
    );
  }

  function condemn(fingerprint: Fingerprint, nowMs: number): void {
    const expiresAtMs = nowMs + settings.culpritExpiryMs;
    culprits.set(fingerprint, expiresAtMs);
    evictOldest(culprits, settings.maxSuspects);
    possibleDeathsCache.clear();
    items.push({ kind: 'culprit', key: fingerprint, payload: '', expiresAtMs });
  }

  function clear(fingerprint: Fingerprint, nowMs: number): void {
    const suspect = suspectOf(fingerprint);
    suspect.clearedAtMs = nowMs;
    possibleDeathsCache.clear();
    suspect.runner = undefined;
    items.push({
      kind: 'cleared',
      key: fingerprint,
      payload: String(nowMs),
      expiresAtMs: nowMs + settings.culpritExpiryMs,
    });
  }

  function onDeath(death: DeathReport, nowMs: number): void {
    deaths.add(death, settings.routerId, nowMs);
    possibleDeathsCache.clear();
    death.running.forEach(({ fingerprint }) => suspectOf(fingerprint));
    for (let from = 0; from < death.running.length; from += STREAMS_PER_ITEM) {
      const part = death.running.slice(from, from + STREAMS_PER_ITEM);
      items.push(deathItem(death, settings.routerId, part, nowMs + settings.culpritExpiryMs));
    }
  }

  function onItem(item: SuspectItem, nowMs: number): void {
    if (item.expiresAtMs <= nowMs) return;
    possibleDeathsCache.clear();
    const fingerprint = asId<Fingerprint>(item.key);
    switch (item.kind) {
      case 'death': {
        const report = parseDeathItem(item);
        if (report === undefined) return;
        deaths.add(report.death, report.routerId, nowMs);
        report.death.running.forEach((running) => suspectOf(running.fingerprint));
        return;
      }
      case 'cleared': {
        const suspect = suspectOf(fingerprint);
        suspect.clearedAtMs = Math.max(suspect.clearedAtMs, Number(item.payload));
        return;
      }
      case 'runner':
        onRunnerItem(fingerprint, item, nowMs);
        return;
      case 'culprit':
        culprits.set(fingerprint, Math.max(item.expiresAtMs, culprits.get(fingerprint) ?? 0));
        evictOldest(culprits, settings.maxSuspects);
        break;
      default:
      // A newer router may send kinds that this one does not know.
    }
  }

  function onRunnerItem(fingerprint: Fingerprint, item: SuspectItem, nowMs: number): void {
    const [routerId = '', requestId = '', engineId = ''] = item.payload.split(SEPARATOR);
    const suspect = suspectOf(fingerprint);
    if (requestId === '') {
      if (suspect.runner?.routerId === routerId) suspect.runner = undefined;
      suspect.idleSinceMs = nowMs;
      return;
    }
    const { runner } = suspect;
    // Of two routers that run the suspect at once, all routers regard the lower id as the runner.
    const isTaken =
      runner !== undefined && runner.expiresAtMs > nowMs && runner.routerId < routerId;
    if (!isTaken) suspect.runner = { routerId, requestId, engineId, expiresAtMs: item.expiresAtMs };
  }

  function onProgress(fingerprint: Fingerprint, index: number, nowMs: number): void {
    if (!suspects.has(fingerprint)) return;
    expire(nowMs);
    const openDeaths = unexplainedDeathsOf(fingerprint, nowMs);
    const indexes = openDeaths.map((death) => death.candidates.get(fingerprint)?.index ?? 0);
    if (openDeaths.length === 0 || index < Math.max(...indexes) + settings.clearAfterTokens) return;
    clear(fingerprint, nowMs);
  }

  function onEnd(
    fingerprint: Fingerprint,
    requestId: RequestId,
    outcome: 'finished' | 'given_up',
    nowMs: number,
  ): void {
    const suspect = suspects.get(fingerprint);
    const isRunner =
      suspect?.runner?.routerId === settings.routerId && suspect.runner.requestId === requestId;
    if (suspect === undefined || !isRunner) return;
    if (outcome === 'finished') {
      clear(fingerprint, nowMs);
      return;
    }
    suspect.runner = undefined;
    suspect.idleSinceMs = nowMs;
    const untilMs = nowMs + settings.runnerTimeoutMs;
    const { routerId } = settings;
    items.push(
      runnerItem(fingerprint, { routerId, requestId: '', engineId: '', expiresAtMs: untilMs }),
    );
  }

  function admit(
    fingerprint: Fingerprint,
    requestId: RequestId,
    rank: number,
    nowMs: number,
  ): SuspectAdmission {
    const current = statusOf(fingerprint, nowMs);
    if (current === 'condemned') return { kind: 'condemned' };
    // Applies to infrastructure losses too: reports that still arrive may show a common request.
    const lastDeathMs = unexplainedDeathsOf(fingerprint, nowMs).at(-1)?.atMs ?? -Infinity;
    const reportsInAtMs = lastDeathMs + settings.reportWaitMs;
    if (nowMs < reportsInAtMs) return { kind: 'wait', untilMs: reportsInAtMs };
    const latest = possibleDeathsOf(fingerprint, nowMs).at(-1);
    if (current === 'clear' || latest === undefined) return { kind: 'run' };
    if (current === 'held') return { kind: 'wait', untilMs: nowMs + settings.reportWaitMs };
    const suspect = suspectOf(fingerprint);
    const { runner } = suspect;
    if (runner !== undefined && runner.expiresAtMs > nowMs) {
      const isOwn = runner.routerId === settings.routerId && runner.requestId === requestId;
      if (!isOwn) return { kind: 'wait', untilMs: nowMs + settings.reportWaitMs };
    }
    const startAtMs = turnStartMs(fingerprint, suspect, latest, rank);
    if (nowMs < startAtMs) return { kind: 'wait', untilMs: startAtMs };
    const untilMs = nowMs + settings.runnerTimeoutMs;
    suspect.runner = { routerId: settings.routerId, requestId, engineId: '', expiresAtMs: untilMs };
    // Published before an engine is chosen, so that the other routers wait from now on.
    items.push(runnerItem(fingerprint, suspect.runner));
    return { kind: 'run' };
  }

  function onPlaced(fingerprint: Fingerprint, engineId: EngineId): void {
    const runner = suspects.get(fingerprint)?.runner;
    if (runner?.routerId !== settings.routerId) return;
    runner.engineId = engineId;
    items.push(runnerItem(fingerprint, runner));
  }

  /**
   * When this router may run the suspect. Routers that had the request on the dead engine come
   * first, in the order of their ids, then the others by rank. The delay between turns lets each
   * router learn of an earlier one's run in time.
   */
  function turnStartMs(
    fingerprint: Fingerprint,
    suspect: Suspect,
    latest: Death,
    rank: number,
  ): number {
    const reporters = [...(latest.candidates.get(fingerprint)?.reporters ?? [])].sort();
    const position = reporters.indexOf(settings.routerId);
    const turn = position >= 0 ? position : reporters.length + rank;
    const startMs = Math.max(latest.atMs + settings.reportWaitMs, suspect.idleSinceMs);
    return startMs + turn * settings.turnIntervalMs;
  }

  function enginesToAvoid(
    fingerprint: Fingerprint,
    engines: readonly EngineLocation[],
    nowMs: number,
  ): ReadonlySet<EngineId> {
    const latest = unexplainedDeathsOf(fingerprint, nowMs).at(-1);
    const ids = engines.map(({ engineId }) => engineId);
    if (latest === undefined || ids.length === 0) return new Set();
    // The caller's list of engines may still contain some that have died since.
    const alive = engines.filter(
      ({ engineId }) => !deaths.hasDiedSince(engineId, nowMs - DEATH_MERGE_WINDOW_MS),
    );
    if (alive.length === 0) return new Set();
    if (isInfrastructureLoss(latest, nowMs)) {
      return excluding(ids, assignEngines(fingerprint, alive, latest, nowMs).assigned);
    }
    // A first death is usually a fault of the engine, so its streams resume at once. A death that
    // shares a request with another one suggests a culprit: waiting costs less than another engine.
    const sinceMs = nowMs - latest.atMs;
    const mayWait = hasCommonRequest(latest, nowMs) && sinceMs < settings.maxEngineWaitMs;
    const occupied = enginesOfOtherDeaths(latest, nowMs);
    const free = alive.filter(({ engineId }) => !occupied.has(engineId));
    const isOutside = ({ failureDomain }: EngineLocation): boolean =>
      failureDomain !== latest.failureDomain;
    const preferred = alive.some(isOutside) ? free.filter(isOutside) : free;
    if (preferred.length === 0 && mayWait) return new Set(ids);
    const usable = free.length > 0 ? free : alive;
    const { assigned, batch } = assignEngines(fingerprint, usable, latest, nowMs);
    return mayWait && sinceMs < batch * settings.clearTimeMs
      ? new Set(ids)
      : excluding(ids, assigned);
  }

  /**
   * Divides the engines among the suspects of a death, so that no two run on the same engine. With
   * more suspects than engines, the suspects form batches: each batch starts `clearTimeMs` after
   * the one before it, enough to clear those suspects. The order depends on the engine that died,
   * so that two suspects which shared an engine are separated after the next death.
   */
  function assignEngines(
    fingerprint: Fingerprint,
    engines: readonly EngineLocation[],
    death: Death,
    nowMs: number,
  ): { readonly assigned: readonly EngineId[]; readonly batch: number } {
    // Suspects of several deaths come first and so get engines outside the failing domain.
    const candidates = sortByHash([...death.candidates.keys()], death.engineId);
    const countUnexplained = (id: Fingerprint): number => unexplainedDeathsOf(id, nowMs).length;
    candidates.sort((one, two) => countUnexplained(two) - countUnexplained(one));
    const isRecent = nowMs - death.atMs <= settings.domainLossWindowMs;
    const isLosing = (engine: EngineLocation): boolean =>
      isRecent && engine.failureDomain === death.failureDomain;
    const idsOf = (some: readonly EngineLocation[]): EngineId[] =>
      sortByHash(
        some.map(({ engineId }) => engineId),
        death.engineId,
      );
    // A failure domain that has just lost an engine may lose more to the same cause, so its engines
    // come last.
    const outside = idsOf(engines.filter((engine) => !isLosing(engine)));
    const ranked = [...outside, ...idsOf(engines.filter(isLosing))];
    const count = Math.min(candidates.length, ranked.length);
    const position = Math.max(0, candidates.indexOf(fingerprint));
    const part = ranked.filter((_, index) => index % count === position % count);
    const outsidePart = part.filter((engineId) => outside.includes(engineId));
    const assigned = outsidePart.length > 0 ? outsidePart : part;
    return { assigned, batch: Math.floor(position / count) };
  }

  /** Engines that run suspects of other deaths: one more death there would implicate both. */
  function enginesOfOtherDeaths(death: Death, nowMs: number): ReadonlySet<EngineId> {
    const occupied = [...suspects].flatMap(([fingerprint, { runner }]) => {
      const isRunning =
        runner !== undefined && runner.expiresAtMs > nowMs && runner.engineId !== '';
      const isOther = isRunning && !death.candidates.has(fingerprint);
      return isOther ? [asId<EngineId>(runner.engineId)] : [];
    });
    return new Set(occupied);
  }

  function sortByHash<T extends string>(ids: readonly T[], salt: string): T[] {
    const scored = ids.map((id) => ({ id, score: settings.hash(`${salt}${SEPARATOR}${id}`) }));
    scored.sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1));
    return scored.map(({ id }) => id);
  }

  return {
    onDeath,
    onItem,
    onProgress,
    onEnd,
    admit,
    onPlaced,
    enginesToAvoid,
    statusOf,
    takeItems: () => {
      const taken = items;
      items = [];
      return taken;
    },
    sizes: () => ({ suspects: suspects.size + culprits.size, deaths: deaths.size() }),
  };
}

function excluding<T>(all: readonly T[], kept: readonly T[]): ReadonlySet<T> {
  return new Set(all.filter((item) => !kept.includes(item)));
}

function runnerItem(fingerprint: Fingerprint, runner: Runner): SuspectItem {
  const payload = [runner.routerId, runner.requestId, runner.engineId].join(SEPARATOR);
  return { kind: 'runner', key: fingerprint, payload, expiresAtMs: runner.expiresAtMs };
}

function deathItem(
  death: DeathReport,
  routerId: RouterId,
  running: DeathReport['running'],
  expiresAtMs: number,
): SuspectItem {
  const streams = running.map(({ fingerprint, index }) => `${fingerprint}:${index}`);
  return {
    kind: 'death',
    key: [death.engineId, routerId, String(death.atMs), running[0]?.fingerprint ?? ''].join(
      SEPARATOR,
    ),
    payload: [death.failureDomain, ...streams].join(SEPARATOR),
    expiresAtMs,
  };
}

function parseDeathItem(
  item: SuspectItem,
): { readonly death: DeathReport; readonly routerId: RouterId } | undefined {
  const [engineId, routerId, atText] = item.key.split(SEPARATOR);
  const [failureDomain, ...streams] = item.payload.split(SEPARATOR);
  const atMs = Number(atText);
  if (engineId === undefined || routerId === undefined || failureDomain === undefined) {
    return undefined;
  }
  if (!Number.isFinite(atMs)) return undefined;
  return {
    routerId: asId<RouterId>(routerId),
    death: {
      engineId: asId<EngineId>(engineId),
      failureDomain: asId<FailureDomain>(failureDomain),
      atMs,
      running: streams.map(parseStream),
    },
  };
}

function parseStream(text: string): DeathReport['running'][number] {
  const [fingerprint = '', index] = text.split(':');
  return { fingerprint: asId<Fingerprint>(fingerprint), index: Number(index ?? 0) || 0 };
}
