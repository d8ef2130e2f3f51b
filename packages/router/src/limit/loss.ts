import type { Clock } from '@mimosamill/adapters';
import type { FailureDomain, ServiceName } from '@mimosamill/core';
import type { Admission } from './admission';

/** The part of an engine that tells a loss of a failure domain. */
export interface DomainEngine {
  readonly engineId: string;
  readonly service: ServiceName;
  readonly failureDomain: FailureDomain;
}

export interface DomainLossDetectorOptions {
  readonly clock: Clock;
  readonly admission: Pick<Admission, 'onCapacityLost'>;
  readonly enginesOf: (service: ServiceName) => readonly DomainEngine[];
}

/** Deaths that lie closer together have one cause; the design page uses the same time. */
const LOSS_WINDOW_MS = 2_000;
/** Part of a domain's engines that has to be lost. */
const MIN_LOST_RATIO = 0.5;

interface EngineLoss {
  readonly engine: DomainEngine;
  readonly atMs: number;
}

/** Tells the admission when most of a failure domain's engines are lost at once. */
export function createDomainLossDetector(
  options: DomainLossDetectorOptions,
): (engine: DomainEngine) => void {
  const { clock, admission, enginesOf } = options;
  let deaths: EngineLoss[] = [];

  return (engine) => {
    const nowMs = clock.monotonicMs();
    deaths = deaths.filter(({ atMs }) => nowMs - atMs < LOSS_WINDOW_MS);
    deaths.push({ engine, atMs: nowMs });
    const isSameDomain = (other: DomainEngine): boolean =>
      other.service === engine.service && other.failureDomain === engine.failureDomain;
    const all = enginesOf(engine.service);
    const domainCount = all.filter(isSameDomain).length;
    const lost = deaths.filter((death) => isSameDomain(death.engine));
    if (lost.length < 2 || lost.length < MIN_LOST_RATIO * domainCount) return;
    admission.onCapacityLost(engine.service, 1 - lost.length / Math.max(lost.length, all.length));
    // Each further death counts from here, so that no engine is subtracted twice.
    deaths = deaths.filter((death) => !isSameDomain(death.engine));
  };
}
