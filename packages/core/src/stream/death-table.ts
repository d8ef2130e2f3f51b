import type { EngineId, FailureDomain, Fingerprint, RouterId } from '../ids';

/** The streams that one router had on an engine when the engine died. */
export interface DeathReport {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomain;
  readonly atMs: number;
  /** Fingerprint of each stream, and the index of its next token. */
  readonly running: readonly { readonly fingerprint: Fingerprint; readonly index: number }[];
}

/** One death of an engine, merged from the reports of several routers. */
export interface Death {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomain;
  readonly atMs: number;
  /** Requests that ran on the engine, any of which may have caused its death. */
  readonly candidates: Map<Fingerprint, DeathCandidate>;
}

export interface DeathCandidate {
  /** Highest next token index that a router reported for the request. */
  index: number;
  readonly reporters: Set<RouterId>;
}

/** Recent deaths of engines, indexed by the requests that ran on them. */
export interface DeathTable {
  readonly add: (report: DeathReport, reporter: RouterId, nowMs: number) => Death;
  /** Removes deaths that are at least `expiryMs` old; true if there were any. */
  readonly expire: (nowMs: number) => boolean;
  /** Deaths of engines that ran this request, newest last. */
  readonly findByFingerprint: (fingerprint: Fingerprint) => readonly Death[];
  /** Other deaths in the same failure domain, at most `withinMs` before or after this one. */
  readonly findConcurrentInDomain: (death: Death, withinMs: number) => readonly Death[];
  readonly hasDiedSince: (engineId: EngineId, sinceMs: number) => boolean;
  readonly size: () => number;
}

export interface DeathTableSettings {
  /**
   * Reports of one engine within this time count as one death: an engine takes longer to restart,
   * so it cannot have died twice.
   */
  readonly mergeWindowMs: number;
  readonly expiryMs: number;
  /** The oldest deaths are dropped beyond this number. */
  readonly maxDeaths: number;
  readonly maxCandidatesPerDeath: number;
}

export function createDeathTable(settings: DeathTableSettings): DeathTable {
  let deaths: Death[] = [];
  let byFingerprint = new Map<Fingerprint, Death[]>();

  function rebuildIndex(): void {
    byFingerprint = new Map();
    deaths.forEach((death) => {
      death.candidates.forEach((_, fingerprint) => {
        const known = byFingerprint.get(fingerprint) ?? [];
        known.push(death);
        byFingerprint.set(fingerprint, known);
      });
    });
  }

  function findByFingerprint(fingerprint: Fingerprint): readonly Death[] {
    return byFingerprint.get(fingerprint) ?? [];
  }

  function findMatching(report: DeathReport): Death | undefined {
    return deaths.find(
      ({ engineId, atMs }) =>
        engineId === report.engineId && Math.abs(atMs - report.atMs) < settings.mergeWindowMs,
    );
  }

  function insert(report: DeathReport): Death {
    const death: Death = {
      engineId: report.engineId,
      failureDomain: report.failureDomain,
      atMs: report.atMs,
      candidates: new Map(),
    };
    deaths.push(death);
    deaths.sort((a, b) => a.atMs - b.atMs);
    deaths = deaths.slice(-settings.maxDeaths);
    return death;
  }

  function expire(nowMs: number): boolean {
    const [oldest] = deaths;
    if (oldest === undefined || nowMs - oldest.atMs < settings.expiryMs) return false;
    deaths = deaths.filter(({ atMs }) => nowMs - atMs < settings.expiryMs);
    rebuildIndex();
    return true;
  }

  function add(report: DeathReport, reporter: RouterId, nowMs: number): Death {
    expire(nowMs);
    const death = findMatching(report) ?? insert(report);
    report.running.forEach(({ fingerprint, index: reported }) => {
      const known = death.candidates.get(fingerprint);
      if (known === undefined && death.candidates.size >= settings.maxCandidatesPerDeath) return;
      const candidate = known ?? { index: reported, reporters: new Set() };
      candidate.index = Math.max(candidate.index, reported);
      candidate.reporters.add(reporter);
      death.candidates.set(fingerprint, candidate);
    });
    rebuildIndex();
    return death;
  }

  return {
    add,
    expire,
    findByFingerprint,
    findConcurrentInDomain: (death, withinMs) =>
      deaths.filter(
        (other) =>
          other !== death &&
          other.failureDomain === death.failureDomain &&
          Math.abs(other.atMs - death.atMs) <= withinMs,
      ),
    hasDiedSince: (engineId, sinceMs) =>
      deaths.some((death) => death.engineId === engineId && death.atMs >= sinceMs),
    size: () => deaths.length,
  };
}
