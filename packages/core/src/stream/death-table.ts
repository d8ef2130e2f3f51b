import type { EngineId, FailureDomain, Fingerprint, RouterId } from '../ids';

/** What one router had running on an engine when it died. */
export interface DeathReport {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomain;
  readonly atMs: number;
  /** Next index of each stream, by fingerprint. */
  readonly running: readonly { readonly fingerprint: Fingerprint; readonly index: number }[];
}

/** One death of an engine, put together from the reports of several routers. */
export interface Death {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomain;
  readonly atMs: number;
  /** What ran on the engine. */
  readonly candidates: Map<Fingerprint, DeathCandidate>;
}

export interface DeathCandidate {
  /** Highest index that a router reported. */
  index: number;
  readonly reporters: Set<RouterId>;
}

/** Deaths of the recent past. */
export interface DeathTable {
  readonly add: (report: DeathReport, reporter: RouterId, nowMs: number) => Death;
  /** Forgets old deaths; true if there were any. */
  readonly expire: (nowMs: number) => boolean;
  /** Newest last. */
  readonly findByFingerprint: (fingerprint: Fingerprint) => readonly Death[];
  /** Other deaths in the same failure domain at about the same time. */
  readonly findConcurrentInDomain: (death: Death, withinMs: number) => readonly Death[];
  readonly hasDiedSince: (engineId: EngineId, sinceMs: number) => boolean;
  readonly size: () => number;
}

export interface DeathTableSettings {
  /** Reports of one engine within this time are of one death; a restart takes longer. */
  readonly mergeWindowMs: number;
  readonly expiryMs: number;
  readonly maxDeaths: number;
  readonly maxCandidatesPerDeath: number;
}

export function createDeathTable(settings: DeathTableSettings): DeathTable {
  let deaths: Death[] = [];
  let byFingerprint = new Map<Fingerprint, Death[]>();

  function index(): void {
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

  function find(report: DeathReport): Death | undefined {
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
    index();
    return true;
  }

  function add(report: DeathReport, reporter: RouterId, nowMs: number): Death {
    expire(nowMs);
    const death = find(report) ?? insert(report);
    report.running.forEach(({ fingerprint, index: reported }) => {
      const known = death.candidates.get(fingerprint);
      if (known === undefined && death.candidates.size >= settings.maxCandidatesPerDeath) return;
      const candidate = known ?? { index: reported, reporters: new Set() };
      candidate.index = Math.max(candidate.index, reported);
      candidate.reporters.add(reporter);
      death.candidates.set(fingerprint, candidate);
    });
    index();
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
