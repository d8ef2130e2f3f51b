import { asId } from '../ids';
import { createDeathTable } from './death-table';
import type { EngineId, FailureDomain, Fingerprint, RequestId, RouterId } from '../ids';
import type { Hash32 } from '../hash/rendezvous';
import type { Death, DeathReport } from './death-table';

export interface SuspectTrackerSettings {
  readonly routerId: RouterId;
  readonly hash: Hash32;
  /** Tokens beyond the index of the death after which a stream is not its cause. */
  readonly clearAfterTokens: number;
  /** Engines of one failure domain lost within this time share a cause that is no request. */
  readonly domainLossWindowMs: number;
  /** Wait before a suspect resumes, for other routers' reports of the same death. */
  readonly reportWaitMs: number;
  /** Wait before a request is condemned, for the reports of routers that are slow to tell. */
  readonly condemnDelayMs: number;
  /** Time for a suspect to be cleared: a prefill and 32 tokens at 32 ms. */
  readonly clearTimeMs: number;
  /** Longest wait for an engine without another suspect: two waves, to stay within 3 s. */
  readonly maxEngineWaitMs: number;
  /** Longest wait for the other suspects to be cleared. */
  readonly maxHoldMs: number;
  /** Turn of each router that waits to run a suspect nobody runs any longer. */
  readonly turnIntervalMs: number;
  /** How long a router counts as running a suspect after its last sign. */
  readonly runnerTimeoutMs: number;
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

/** Something every router has to learn; spread by gossip, and at once to the nearest peers. */
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

/** Whether a request may run now. */
export type SuspectAdmission =
  | { readonly kind: 'run' }
  /** The outcome of the same request elsewhere, or of the other suspects, decides. */
  | { readonly kind: 'wait'; readonly untilMs: number }
  | { readonly kind: 'condemned' };

export type SuspectStatus = 'clear' | 'suspect' | 'held' | 'condemned';

/**
 * Requests that were on engines that died, and those found to be the cause. Times are wall-clock
 * times, because they are compared with those of other routers.
 */
export interface SuspectTracker {
  /** An engine that ran requests of this router has died: reset or refused, not merely silent. */
  readonly onDeath: (death: DeathReport, nowMs: number) => void;
  /** An item of another router. */
  readonly onItem: (item: SuspectItem, nowMs: number) => void;
  /** A request of this router has received the token with this index. */
  readonly onProgress: (fingerprint: Fingerprint, index: number, nowMs: number) => void;
  /** A request of this router has ended: completely, or given up by its caller. */
  readonly onEnd: (
    fingerprint: Fingerprint,
    requestId: RequestId,
    how: 'finished' | 'given_up',
    nowMs: number,
  ) => void;
  /** Asked before each attempt; `rank` is this router's place in an order all routers share. */
  readonly admit: (
    fingerprint: Fingerprint,
    requestId: RequestId,
    rank: number,
    nowMs: number,
  ) => SuspectAdmission;
  /** An admitted request was given to an engine. */
  readonly onPlaced: (fingerprint: Fingerprint, engineId: EngineId) => void;
  /** Engines that an attempt has to leave to the other suspects of the same death. */
  readonly enginesToAvoid: (
    fingerprint: Fingerprint,
    engines: readonly EngineLocation[],
    nowMs: number,
  ) => ReadonlySet<EngineId>;
  readonly statusOf: (fingerprint: Fingerprint, nowMs: number) => SuspectStatus;
  /** Items to be spread, each returned once. */
  readonly takeItems: () => SuspectItem[];
  readonly sizes: () => { readonly suspects: number; readonly deaths: number };
}

/** Who runs a suspect, and where; an empty request id stands for nobody. */
interface Runner {
  readonly routerId: string;
  readonly requestId: string;
  engineId: string;
  readonly expiresAtMs: number;
}

interface Suspect {
  clearedAtMs: number;
  runner: Runner | undefined;
  /** When a run ended without a verdict. */
  idleSinceMs: number;
}

const DEATH_MERGE_WINDOW_MS = 5_000;
const MAX_DEATHS = 256;
const MAX_CANDIDATES_PER_DEATH = 256;
/** Keeps an item of reports below the largest item that gossip carries. */
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
  /** Culprits with the time until which they are refused. */
  const culprits = new Map<Fingerprint, number>();
  let items: SuspectItem[] = [];
  /** Blame by fingerprint, until something changes. */
  const blames = new Map<Fingerprint, readonly Death[]>();

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

  /** Forgets deaths and culprits whose time is over, and what followed from them. */
  function expire(nowMs: number): void {
    let hasChanged = deaths.expire(nowMs);
    for (const [fingerprint, untilMs] of culprits) {
      if (untilMs > nowMs) break;
      culprits.delete(fingerprint);
      hasChanged = true;
    }
    if (hasChanged) blames.clear();
  }

  /** Deaths of which this request is a possible cause. */
  function blamedFor(fingerprint: Fingerprint, nowMs: number): readonly Death[] {
    const known = blames.get(fingerprint);
    if (known !== undefined) return known;
    const blamed = deaths
      .findByFingerprint(fingerprint)
      .filter((death) => isOpen(fingerprint, death, nowMs) && !isInfrastructureLoss(death, nowMs));
    blames.set(fingerprint, blamed);
    return blamed;
  }

  function openDeathsOf(fingerprint: Fingerprint, nowMs: number): readonly Death[] {
    return deaths
      .findByFingerprint(fingerprint)
      .filter((death) => isOpen(fingerprint, death, nowMs));
  }

  /** Not cleared of this death, which no condemned request explains. */
  function isOpen(fingerprint: Fingerprint, death: Death, nowMs: number): boolean {
    if (isClearedOf(fingerprint, death)) return false;
    return !othersOf(fingerprint, death).some((other) => isCondemned(other, nowMs));
  }

  /**
   * Engines that die together by another cause than a request have no request in common, neither
   * with each other nor with another death.
   */
  function isInfrastructureLoss(death: Death, nowMs: number): boolean {
    if (hasCommonRequest(death, nowMs)) return false;
    const near = deaths.findConcurrentInDomain(death, settings.domainLossWindowMs);
    return near.some((other) => !hasCommonRequest(other, nowMs));
  }

  function hasCommonRequest(death: Death, nowMs: number): boolean {
    return [...death.candidates.keys()].some((fingerprint) => {
      const isRepeated = deaths.findByFingerprint(fingerprint).length > 1;
      return isRepeated && openDeathsOf(fingerprint, nowMs).length > 1;
    });
  }

  /**
   * Deaths in one failure domain within a short time count once: the domain may be failing, and a
   * stream that was resumed within it meets the next loss without being its cause.
   */
  function countIncidents(blamed: readonly Death[]): number {
    const counted: Death[] = [];
    blamed.forEach((death) => {
      const near = deaths.findConcurrentInDomain(death, settings.domainLossWindowMs);
      if (!near.some((other) => counted.includes(other))) counted.push(death);
    });
    return counted.length;
  }

  function othersOf(fingerprint: Fingerprint, death: Death): Fingerprint[] {
    return [...death.candidates.keys()].filter((other) => other !== fingerprint);
  }

  function isLast(fingerprint: Fingerprint, death: Death): boolean {
    return othersOf(fingerprint, death).every((other) => isClearedOf(other, death));
  }

  function statusOf(fingerprint: Fingerprint, nowMs: number): SuspectStatus {
    expire(nowMs);
    if (isCondemned(fingerprint, nowMs)) return 'condemned';
    const blamed = blamedFor(fingerprint, nowMs);
    const latest = blamed.at(-1);
    if (latest === undefined) return 'clear';
    if (countIncidents(blamed) < 2 || hasTwin(fingerprint, blamed, latest, nowMs)) {
      return 'suspect';
    }
    const waitedMs = nowMs - latest.atMs;
    if (waitedMs < settings.condemnDelayMs) return 'held';
    // It was on every one of these deaths. Once all others of one of them are cleared, it is the
    // cause of that one.
    const isCause = blamed.some((death) => isLast(fingerprint, death));
    if (!isCause && waitedMs < settings.maxHoldMs) return 'held';
    // The others had their time: now the number of deaths decides, or one more run.
    if (!isCause && !isMostBlamed(fingerprint, blamed.length, latest, nowMs)) return 'suspect';
    condemn(fingerprint, nowMs);
    return 'condemned';
  }

  /** Another suspect of the same deaths, from which only a run apart can tell this one. */
  function hasTwin(
    fingerprint: Fingerprint,
    blamed: readonly Death[],
    latest: Death,
    nowMs: number,
  ): boolean {
    return othersOf(fingerprint, latest).some((other) => {
      if (isClearedOf(other, latest)) return false;
      const otherBlamed = blamedFor(other, nowMs);
      return blamed.every((death) => otherBlamed.includes(death));
    });
  }

  function isMostBlamed(
    fingerprint: Fingerprint,
    count: number,
    death: Death,
    nowMs: number,
  ): boolean {
    return othersOf(fingerprint, death).every(
      (other) => isClearedOf(other, death) || blamedFor(other, nowMs).length < count,
    );
  }

  function condemn(fingerprint: Fingerprint, nowMs: number): void {
    const expiresAtMs = nowMs + settings.culpritExpiryMs;
    culprits.set(fingerprint, expiresAtMs);
    evictOldest(culprits, settings.maxSuspects);
    blames.clear();
    items.push({ kind: 'culprit', key: fingerprint, payload: '', expiresAtMs });
  }

  function clear(fingerprint: Fingerprint, nowMs: number): void {
    const suspect = suspectOf(fingerprint);
    suspect.clearedAtMs = nowMs;
    blames.clear();
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
    blames.clear();
    death.running.forEach(({ fingerprint }) => suspectOf(fingerprint));
    for (let from = 0; from < death.running.length; from += STREAMS_PER_ITEM) {
      const part = death.running.slice(from, from + STREAMS_PER_ITEM);
      items.push(deathItem(death, settings.routerId, part, nowMs + settings.culpritExpiryMs));
    }
  }

  function onItem(item: SuspectItem, nowMs: number): void {
    if (item.expiresAtMs <= nowMs) return;
    blames.clear();
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
      // An item of a kind that a newer router sends.
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
    const isTaken =
      runner !== undefined && runner.expiresAtMs > nowMs && runner.routerId < routerId;
    if (!isTaken) suspect.runner = { routerId, requestId, engineId, expiresAtMs: item.expiresAtMs };
  }

  function onProgress(fingerprint: Fingerprint, index: number, nowMs: number): void {
    if (!suspects.has(fingerprint)) return;
    expire(nowMs);
    const open = openDeathsOf(fingerprint, nowMs);
    const diedAt = open.map((death) => death.candidates.get(fingerprint)?.index ?? 0);
    if (open.length === 0 || index < Math.max(...diedAt) + settings.clearAfterTokens) return;
    clear(fingerprint, nowMs);
  }

  function onEnd(
    fingerprint: Fingerprint,
    requestId: RequestId,
    how: 'finished' | 'given_up',
    nowMs: number,
  ): void {
    const suspect = suspects.get(fingerprint);
    const isRunner =
      suspect?.runner?.routerId === settings.routerId && suspect.runner.requestId === requestId;
    if (suspect === undefined || !isRunner) return;
    if (how === 'finished') {
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
    // Also before a loss of infrastructure is believed: the reports may show a common request.
    const lastDeathMs = openDeathsOf(fingerprint, nowMs).at(-1)?.atMs ?? -Infinity;
    const settledAtMs = lastDeathMs + settings.reportWaitMs;
    if (nowMs < settledAtMs) return { kind: 'wait', untilMs: settledAtMs };
    const latest = blamedFor(fingerprint, nowMs).at(-1);
    if (current === 'clear' || latest === undefined) return { kind: 'run' };
    if (current === 'held') return { kind: 'wait', untilMs: nowMs + settings.reportWaitMs };
    const suspect = suspectOf(fingerprint);
    const { runner } = suspect;
    if (runner !== undefined && runner.expiresAtMs > nowMs) {
      const isOwn = runner.routerId === settings.routerId && runner.requestId === requestId;
      if (!isOwn) return { kind: 'wait', untilMs: nowMs + settings.reportWaitMs };
    }
    const turnAtMs = turnOf(fingerprint, suspect, latest, rank);
    if (nowMs < turnAtMs) return { kind: 'wait', untilMs: turnAtMs };
    const untilMs = nowMs + settings.runnerTimeoutMs;
    suspect.runner = { routerId: settings.routerId, requestId, engineId: '', expiresAtMs: untilMs };
    // Others wait from now on, although the request may have to wait for an engine.
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
   * Routers that had the request on the dead engine come first, in the order of their ids, then
   * the others by rank. Each sees the earlier one's start before its own turn comes.
   */
  function turnOf(fingerprint: Fingerprint, suspect: Suspect, latest: Death, rank: number): number {
    const reporters = [...(latest.candidates.get(fingerprint)?.reporters ?? [])].sort();
    const place = reporters.indexOf(settings.routerId);
    const turn = place >= 0 ? place : reporters.length + rank;
    const startMs = Math.max(latest.atMs + settings.reportWaitMs, suspect.idleSinceMs);
    return startMs + turn * settings.turnIntervalMs;
  }

  function enginesToAvoid(
    fingerprint: Fingerprint,
    engines: readonly EngineLocation[],
    nowMs: number,
  ): ReadonlySet<EngineId> {
    const latest = openDeathsOf(fingerprint, nowMs).at(-1);
    const ids = engines.map(({ engineId }) => engineId);
    if (latest === undefined || ids.length === 0) return new Set();
    // The caller's view of its engines may be older than the deaths.
    const up = engines.filter(
      ({ engineId }) => !deaths.hasDiedSince(engineId, nowMs - DEATH_MERGE_WINDOW_MS),
    );
    if (up.length === 0) return new Set();
    if (isInfrastructureLoss(latest, nowMs)) {
      return excluding(ids, ownPart(fingerprint, up, latest, nowMs).own);
    }
    // A first death is mostly a failure of the engine, and its streams go on at once. After a
    // death with a request in common, waiting for an engine is cheaper than losing another.
    const sinceMs = nowMs - latest.atMs;
    const mayWait = hasCommonRequest(latest, nowMs) && sinceMs < settings.maxEngineWaitMs;
    const taken = enginesOfOtherDeaths(latest, nowMs);
    const left = up.filter(({ engineId }) => !taken.has(engineId));
    const isOutside = ({ failureDomain }: EngineLocation): boolean =>
      failureDomain !== latest.failureDomain;
    const wanted = up.some(isOutside) ? left.filter(isOutside) : left;
    if (wanted.length === 0 && mayWait) return new Set(ids);
    const pool = left.length > 0 ? left : up;
    const { own, wave } = ownPart(fingerprint, pool, latest, nowMs);
    return mayWait && sinceMs < wave * settings.clearTimeMs ? new Set(ids) : excluding(ids, own);
  }

  /**
   * A share of the engines that no other suspect of the death has. With more suspects than
   * engines, the later waves take the engines once the earlier ones are cleared. Each further
   * death shuffles anew, so that two that had to share an engine part.
   */
  function ownPart(
    fingerprint: Fingerprint,
    engines: readonly EngineLocation[],
    death: Death,
    nowMs: number,
  ): { readonly own: readonly EngineId[]; readonly wave: number } {
    // The likelier causes come first, and so outside the domain that is losing engines.
    const group = sortByHash([...death.candidates.keys()], death.engineId);
    const countOpen = (id: Fingerprint): number => openDeathsOf(id, nowMs).length;
    group.sort((one, two) => countOpen(two) - countOpen(one));
    const isRecent = nowMs - death.atMs <= settings.domainLossWindowMs;
    const isLosing = (engine: EngineLocation): boolean =>
      isRecent && engine.failureDomain === death.failureDomain;
    const idsOf = (some: readonly EngineLocation[]): EngineId[] =>
      sortByHash(
        some.map(({ engineId }) => engineId),
        death.engineId,
      );
    // A failure domain that has just lost an engine may lose the next one to the same cause, so
    // its engines come last.
    const outside = idsOf(engines.filter((engine) => !isLosing(engine)));
    const ranked = [...outside, ...idsOf(engines.filter(isLosing))];
    const count = Math.min(group.length, ranked.length);
    const place = Math.max(0, group.indexOf(fingerprint));
    const part = ranked.filter((_, index) => index % count === place % count);
    const outsidePart = part.filter((engineId) => outside.includes(engineId));
    const own = outsidePart.length > 0 ? outsidePart : part;
    return { own, wave: Math.floor(place / count) };
  }

  /** Engines that run suspects of other deaths: a death there would make both look guilty. */
  function enginesOfOtherDeaths(death: Death, nowMs: number): ReadonlySet<EngineId> {
    const taken = [...suspects].flatMap(([fingerprint, { runner }]) => {
      const isRunning =
        runner !== undefined && runner.expiresAtMs > nowMs && runner.engineId !== '';
      const isOther = isRunning && !death.candidates.has(fingerprint);
      return isOther ? [asId<EngineId>(runner.engineId)] : [];
    });
    return new Set(taken);
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

/** Drops the oldest entries of a map that has grown beyond its bound. */
function evictOldest<K, V>(map: Map<K, V>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
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
