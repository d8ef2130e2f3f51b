import { createRandom } from '@mimosamill/fakes';
import { ROUTE_WEIGHTS } from './scenario';
import type { Scenario } from './scenario';

/** What one attempt on a version would show. */
export interface SimulatedAttempt {
  readonly route: number;
  readonly startMs: number;
  readonly firstTokenMs: number;
  readonly gapMs: number;
  readonly gapCount: number;
  readonly hasFailed: boolean;
  /** Whether the version's fault changed the attempt. */
  readonly isAffected: boolean;
}

export interface Traffic {
  /** Start times of the requests of a second. */
  readonly drawArrivals: (fromMs: number) => number[];
  readonly simulateAttempt: (
    version: 'new' | 'old',
    engineLoadRatio: number,
    nowMs: number,
  ) => SimulatedAttempt;
  /** Whether an engine with the version dies in this second, for a version or a host fault. */
  readonly drawEngineDeath: (version: 'new' | 'old', engineCount: number, nowMs: number) => boolean;
  readonly random: () => number;
}

const SECOND_MS = 1_000;
const FIRST_TOKEN_MEDIAN_MS = 200;
const GAP_MEDIAN_MS = 25;
const GAP_SIGMA = 0.15;
const MIN_GAPS = 12;
const MEAN_GAPS = 60;

/** Bursts in which all versions fail or slow down, as parts of the time to the deadline. */
const BURST_INTERVAL_MS = 90_000;
const BURST_DURATION_MS = 20_000;
const BURST_FAILURE_RATIO = 0.3;
const BURST_SLOW_FACTOR = 3;

/** Hardware deaths per engine and second on a day with engine crashes: one in 20 minutes. */
const HARDWARE_DEATHS_PER_SEC = 1 / 1_200;

export function createTraffic(scenario: Scenario): Traffic {
  const random = createRandom(scenario.seed);
  const { fault } = scenario;
  let nextCrashMs = fault?.crashEveryMs ?? Number.POSITIVE_INFINITY;

  function normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random()));
    return radius * Math.cos(2 * Math.PI * random());
  }

  function poisson(mean: number): number {
    if (mean > 30) return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal()));
    const limit = Math.exp(-mean);
    let product = random();
    let count = 0;
    while (product > limit) {
      product *= random();
      count += 1;
    }
    return count;
  }

  function pickRoute(): number {
    let left = random();
    return ROUTE_WEIGHTS.findIndex((weight) => {
      left -= weight;
      return left < 0;
    });
  }

  function isBurst(kind: Scenario['noise'], nowMs: number): boolean {
    return scenario.noise === kind && nowMs % BURST_INTERVAL_MS < BURST_DURATION_MS;
  }

  function isFaulty(route: number, engineLoadRatio: number, nowMs: number): boolean {
    if (fault === undefined || nowMs < fault.onsetTimeRatio * scenario.durationMs) return false;
    const isOnRoute = fault.route === undefined || fault.route === route;
    return isOnRoute && engineLoadRatio >= fault.minLoadRatio;
  }

  return {
    random,
    drawArrivals: (fromMs) => {
      const count = poisson(scenario.requestsPerSec);
      const times = Array.from({ length: count }, () => fromMs + random() * SECOND_MS);
      return times.sort((a, b) => a - b);
    },
    simulateAttempt: (version, engineLoadRatio, nowMs) => {
      const route = Math.max(0, pickRoute());
      const isAffected = version === 'new' && isFaulty(route, engineLoadRatio, nowMs);
      const faultSlow = isAffected ? (fault?.slowFactor ?? 1) : 1;
      const faultFailure = isAffected ? (fault?.failureRatio ?? 0) : 0;
      const burstSlow = isBurst('slow_bursts', nowMs) ? BURST_SLOW_FACTOR : 1;
      const burstFailure = isBurst('error_bursts', nowMs) ? BURST_FAILURE_RATIO : 0;
      // Engines slow down as they fill up.
      const loadFactor = 1 + engineLoadRatio;
      const slow = faultSlow * burstSlow * loadFactor;
      const survival = (1 - scenario.baseFailureRatio) * (1 - burstFailure) * (1 - faultFailure);
      return {
        route,
        startMs: nowMs,
        firstTokenMs: FIRST_TOKEN_MEDIAN_MS * slow * Math.exp(scenario.firstTokenSigma * normal()),
        gapMs: GAP_MEDIAN_MS * slow * Math.exp(GAP_SIGMA * normal()),
        gapCount: MIN_GAPS + Math.floor(-Math.log(1 - random()) * MEAN_GAPS),
        hasFailed: random() > survival,
        isAffected,
      };
    },
    drawEngineDeath: (version, engineCount, nowMs) => {
      const isNoisy = scenario.noise === 'engine_crash';
      if (isNoisy && random() < engineCount * HARDWARE_DEATHS_PER_SEC) return true;
      if (version === 'old' || engineCount === 0 || nowMs < nextCrashMs) return false;
      nextCrashMs = nowMs + (fault?.crashEveryMs ?? Number.POSITIVE_INFINITY);
      return true;
    },
  };
}
