import { createRandom } from '@mimosamill/fakes';

export type FaultKind =
  | 'fails_at_once'
  | 'fails_later'
  | 'slow_at_once'
  | 'slow_later'
  | 'fails_under_load'
  | 'slow_under_load'
  | 'fails_on_one_route'
  | 'slow_on_one_route'
  | 'crashes_engines';

export type NoiseKind = 'calm' | 'error_bursts' | 'slow_bursts' | 'engine_crash';

export interface Fault {
  readonly kind: FaultKind;
  /** When the version turns bad, as a part of the time to the deadline. */
  readonly onsetTimeRatio: number;
  readonly failureRatio: number;
  readonly slowFactor: number;
  /** Engine load from which the fault shows. */
  readonly minLoadRatio: number;
  /** Undefined for all routes. */
  readonly route: number | undefined;
  /** Time between two crashes of an engine that holds the version. */
  readonly crashEveryMs: number;
}

/** One move with everything that happens to it. */
export interface Scenario {
  readonly seed: number;
  readonly engineCount: number;
  readonly busyRatio: number;
  readonly requestsPerSec: number;
  readonly durationMs: number;
  readonly baseFailureRatio: number;
  /** Spread of the time to first token between requests, as the sigma of a lognormal. */
  readonly firstTokenSigma: number;
  readonly noise: NoiseKind;
  readonly fault: Fault | undefined;
  /** Traffic too thin to show most faults before the deadline. */
  readonly isSparse: boolean;
  readonly lostAnswerRatio: number;
  /** The controller that holds the lease stops or pauses at this part of the time. */
  readonly holderStopTimeRatio: number;
  readonly holderPauseMs: number;
}

export const ROUTE_WEIGHTS: readonly number[] = [0.5, 0.3, 0.2];

const FAULT_KINDS: readonly FaultKind[] = [
  'fails_at_once',
  'fails_later',
  'slow_at_once',
  'slow_later',
  'fails_under_load',
  'slow_under_load',
  'fails_on_one_route',
  'slow_on_one_route',
  'crashes_engines',
];
const WARM_UP_DRAWS = 32;
const NOISE_KINDS: readonly NoiseKind[] = ['calm', 'error_bursts', 'slow_bursts', 'engine_crash'];

/** Every second move has a fault; the kinds of faults and of noise take turns. */
export function createScenario(index: number, seed: number): Scenario {
  const random = createRandom(seed + index * 7_919);
  // The first numbers of neighbouring seeds are alike.
  for (let i = 0; i < WARM_UP_DRAWS; i += 1) random();
  const between = (low: number, high: number): number => low + random() * (high - low);
  const logBetween = (low: number, high: number): number =>
    Math.exp(between(Math.log(low), Math.log(high)));
  const isBad = index % 2 === 1;
  const turn = Math.floor(index / 2);
  const kind = FAULT_KINDS[turn % FAULT_KINDS.length] ?? 'fails_at_once';
  const isUnderLoad = isBad && kind.endsWith('under_load');
  const isSparse = turn % 10 === 9;
  return {
    seed: seed + index * 104_729,
    engineCount: Math.round(isUnderLoad ? logBetween(12, 100) : logBetween(4, 100)),
    busyRatio: isUnderLoad ? between(0.6, 0.8) : between(0.2, 0.8),
    requestsPerSec: isSparse ? logBetween(0.05, 2) : logBetween(5, 30),
    durationMs: 1_000 * Math.round(logBetween(600, 1_500)),
    baseFailureRatio: logBetween(0.0005, 0.02),
    firstTokenSigma: between(0.2, 0.6),
    noise: NOISE_KINDS[(turn + Math.floor(turn / 4)) % NOISE_KINDS.length] ?? 'calm',
    fault: isBad ? createFault(kind, between, random) : undefined,
    isSparse,
    lostAnswerRatio: between(0, 0.2),
    holderStopTimeRatio: between(0.02, 0.98),
    holderPauseMs: random() < 0.5 ? Number.POSITIVE_INFINITY : between(5_000, 60_000),
  };
}

function createFault(
  kind: FaultKind,
  between: (low: number, high: number) => number,
  random: () => number,
): Fault {
  const isSlow = kind.startsWith('slow');
  const isFailing = kind.startsWith('fails');
  return {
    kind,
    onsetTimeRatio: kind.endsWith('later') ? between(0.05, 0.7) : 0,
    failureRatio: isFailing ? between(0.1, 1) : 0,
    slowFactor: isSlow ? between(1.5, 4) : 1,
    minLoadRatio: kind.endsWith('under_load') ? 0.65 : 0,
    route: kind.endsWith('one_route') ? Math.floor(random() * ROUTE_WEIGHTS.length) : undefined,
    crashEveryMs: kind === 'crashes_engines' ? between(10_000, 40_000) : Number.POSITIVE_INFINITY,
  };
}
