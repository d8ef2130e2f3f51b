import type { Clock } from '@mimosamill/adapters';
import type { FailureDomain, ServiceName } from '@mimosamill/core';
import type { Admission } from './admission';

/** The properties of an engine from which the loss of a failure domain is detected. */
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

/** Losses within this time count as one event; the suspect tracker of the core uses the same window. */
const LOSS_WINDOW_MS = 2_000;
/** Part of a domain's engines that must be lost for the domain to count as lost. */
const MIN_LOST_RATIO = 0.5;

interface EngineLoss {
  readonly engine: DomainEngine;
  readonly atMs: number;
}

/**
 * Returns a function to be called for every lost engine. It tells the admission control when a
 * failure domain has lost at least half of its engines, and two or more, within the loss window.
 */
export function createDomainLossDetector(
  options: DomainLossDetectorOptions,
): (engine: DomainEngine) => void {
  const { clock, admission, enginesOf } = options;
  let losses: EngineLoss[] = [];

  return (engine) => {
    const nowMs = clock.monotonicMs();
    losses = losses.filter(({ atMs }) => nowMs - atMs < LOSS_WINDOW_MS);
    losses.push({ engine, atMs: nowMs });
    const isSameDomain = (other: DomainEngine): boolean =>
      other.service === engine.service && other.failureDomain === engine.failureDomain;
    const serviceEngines = enginesOf(engine.service);
    const domainEngineCount = serviceEngines.filter(isSameDomain).length;
    const domainLosses = losses.filter((loss) => isSameDomain(loss.engine));
    if (domainLosses.length < 2 || domainLosses.length < MIN_LOST_RATIO * domainEngineCount) return;
    admission.onCapacityLost(
      engine.service,
      1 - domainLosses.length / Math.max(domainLosses.length, serviceEngines.length),
    );
    // Forgets the reported losses, so that no engine is subtracted from the capacity twice.
    losses = losses.filter((loss) => !isSameDomain(loss.engine));
  };
}
