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
  readonly candidates: Map<Fingerprint, Candidate>;
}

export interface Candidate {
  /** Highest index that a router reported. */
  index: number;
  readonly reporters: Set<RouterId>;
}

/** Deaths of the recent past. */
export interface DeathTable {
  readonly add: (report: DeathReport, reporter: RouterId, nowMs: number) => Death;
  /** Newest last. */
  readonly of: (fingerprint: Fingerprint) => readonly Death[];
  readonly isInfrastructureLoss: (death: Death) => boolean;
  /** Failure domains that lost an engine since the time. */
  readonly domainsLosingSince: (sinceMs: number) => ReadonlySet<FailureDomain>;
  readonly size: () => number;
}

export interface DeathTableSettings {
  /** Reports of one engine within this time are of one death; a restart takes longer. */
  readonly mergeMs: number;
  readonly infrastructureMs: number;
  readonly expiryMs: number;
  readonly maxDeaths: number;
  readonly maxFingerprints: number;
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

  function of(fingerprint: Fingerprint): readonly Death[] {
    return byFingerprint.get(fingerprint) ?? [];
  }

  function find(report: DeathReport): Death | undefined {
    return deaths.find(
      ({ engineId, atMs }) =>
        engineId === report.engineId && Math.abs(atMs - report.atMs) < settings.mergeMs,
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

  function add(report: DeathReport, reporter: RouterId, nowMs: number): Death {
    deaths = deaths.filter(({ atMs }) => nowMs - atMs < settings.expiryMs);
    const death = find(report) ?? insert(report);
    report.running.forEach(({ fingerprint, index: reported }) => {
      const known = death.candidates.get(fingerprint);
      if (known === undefined && death.candidates.size >= settings.maxFingerprints) return;
      const candidate = known ?? { index: reported, reporters: new Set() };
      candidate.index = Math.max(candidate.index, reported);
      candidate.reporters.add(reporter);
      death.candidates.set(fingerprint, candidate);
    });
    index();
    return death;
  }

  /**
   * Engines that die together by another cause than a request have no request in common, neither
   * with each other nor with another death.
   */
  function isInfrastructureLoss(death: Death): boolean {
    const isAlone = !deaths.some(
      (other) =>
        other !== death &&
        other.failureDomain === death.failureDomain &&
        Math.abs(other.atMs - death.atMs) <= settings.infrastructureMs,
    );
    if (isAlone) return false;
    return [...death.candidates.keys()].every((fingerprint) => of(fingerprint).length === 1);
  }

  return {
    add,
    of,
    isInfrastructureLoss,
    domainsLosingSince: (sinceMs) =>
      new Set(
        deaths.filter(({ atMs }) => atMs >= sinceMs).map(({ failureDomain }) => failureDomain),
      ),
    size: () => deaths.length,
  };
}
