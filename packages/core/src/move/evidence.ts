/** Load offered to the compared engines when the request was sent. */
export type LoadLevel = 'low' | 'middle' | 'high';

export type EvidenceSignal = 'failure' | 'first_token' | 'pace';

/**
 * Counts of decided pairs from one router, for one route, load level and epoch. Within an epoch
 * counts only rise, so the larger of two reports is the newer one; reports of several routers are
 * added up.
 */
export interface EvidenceBucket {
  readonly routeHash: number;
  readonly level: LoadLevel;
  readonly epoch: number;
  readonly counts: Readonly<Record<EvidenceSignal, PairCounts>>;
  readonly newAttempts: number;
  readonly oldAttempts: number;
}

/** Number of pairs in which the new, and in which the old, version did worse. */
export interface PairCounts {
  readonly againstNew: number;
  readonly againstOld: number;
}

/** An engine that stopped answering; every router that noticed it reports it. */
export interface EngineDeath {
  readonly engineId: string;
  readonly isNew: boolean;
  /** Fraction of the service's engines that held the new version. */
  readonly newEngineRatio: number;
  readonly epoch: number;
}

export interface EvidenceSettings {
  readonly startMs: number;
  readonly deadlineMs: number;
  /** Upper bound on the probability of withdrawing a version that is no worse than the old one. */
  readonly falseAlarmRatio: number;
  /** Number of the service's routes, among whose tests the bound is divided. */
  readonly routeCount: number;
}

export interface EvidenceVerdict {
  readonly signal: EvidenceSignal | 'engine_deaths';
  /** Undefined when the test over all routes decided. */
  readonly routeHash: number | undefined;
  readonly level: LoadLevel | undefined;
  readonly counts: PairCounts;
}

/** Evidence of one move, merged from any number of routers. */
export interface EvidencePool {
  readonly merge: (routerId: string, buckets: readonly EvidenceBucket[]) => void;
  readonly addDeath: (death: EngineDeath) => void;
  /** The first test that crosses its bound. Repeated calls don't raise the false-alarm probability. */
  readonly verdict: (nowMs: number) => EvidenceVerdict | undefined;
}

export const LOAD_LEVELS: readonly LoadLevel[] = ['low', 'middle', 'high'];
export const EVIDENCE_SIGNALS: readonly EvidenceSignal[] = ['failure', 'first_token', 'pace'];

/** Size of an encoded bucket. */
export const EVIDENCE_BUCKET_BYTES = 48;

/** Highest probability that a pair is decided against a new version that is no worse. */
const NULL_PROBABILITY: Readonly<Record<EvidenceSignal, number>> = {
  // Odds of 1.2, since two equally good versions never fail exactly equally often.
  failure: 0.55,
  // The comparison of the two times already allows for some slowness.
  first_token: 0.5,
  pace: 0.5,
};

/** Alternative hypotheses that the e-process mixes with equal weights. */
const ALTERNATIVE_PROBABILITIES: readonly number[] = [0.62, 0.7, 0.8, 0.9, 0.97];

/** Alternative hypotheses for engine deaths: the new version's death rate relative to the old's. */
const DEATH_ODDS: readonly number[] = [4, 16, 64];

/** Shares of the false-alarm bound that the kinds of tests get; they add up to one. */
const DEATHS_BOUND_SHARE = 0.2;
const ALL_ROUTES_BOUND_SHARE = 0.4;
const ROUTE_BOUND_SHARE = 0.2;
const ROUTE_LOAD_BOUND_SHARE = 0.2;

/** Weight of the hypothesis of a fault from the start; the rest is for a fault that begins later. */
const INITIAL_FAULT_WEIGHT = 0.5;
const MIN_EPOCH_MS = 5_000;
const MAX_EPOCHS = 2_048;

/** Reports of an epoch are accepted until this many later epochs have begun. */
const OPEN_EPOCHS = 2;

/** Reports of an engine's death within this many epochs are of one death seen by several routers. */
const DEATH_DEDUP_EPOCHS = 6;

/** Length of an epoch, the resolution at which tests look for the beginning of a fault. */
export function epochLengthMs(startMs: number, deadlineMs: number): number {
  return Math.max(MIN_EPOCH_MS, (deadlineMs - startMs) / MAX_EPOCHS);
}

/** Epoch of a time; routers whose wall clocks nearly agree get the same one. */
export function epochAt(settings: EvidenceSettings, nowMs: number): number {
  const lengthMs = epochLengthMs(settings.startMs, settings.deadlineMs);
  return Math.max(0, Math.floor((nowMs - settings.startMs) / lengthMs));
}

/** Creates an empty pool. Each router also keeps one of only its own evidence. */
export function createEvidencePool(settings: EvidenceSettings): EvidencePool {
  const { startMs, deadlineMs, falseAlarmRatio, routeCount } = settings;
  const epochCount = Math.ceil((deadlineMs - startMs) / epochLengthMs(startMs, deadlineMs));
  const openEpochBuckets = new Map<number, Map<string, EvidenceBucket>>();
  const tests = new Map<string, SequentialTest>();
  const testsByBucket = new Map<string, Record<EvidenceSignal, readonly SequentialTest[]>>();
  /** Tests with new pairs against the new version; only their e-values can have risen. */
  const testsWithNewPairs = new Set<SequentialTest>();
  const totalsByEpoch = new Map<number, Map<SequentialTest, PairCounts>>();
  const deaths = createDeathTest();
  let firstOpenEpoch = 0;

  function testFor(signal: EvidenceSignal, routeHash?: number, level?: LoadLevel): SequentialTest {
    const key = `${signal}/${routeHash ?? ''}/${level ?? ''}`;
    const known = tests.get(key);
    if (known !== undefined) return known;
    const created = createSequentialTest({ signal, routeHash, level, epochCount });
    tests.set(key, created);
    return created;
  }

  /** Tests to which a bucket's pairs count: all routes, its route, and its route at its load. */
  function testsOf(bucket: EvidenceBucket): Record<EvidenceSignal, readonly SequentialTest[]> {
    const { routeHash, level } = bucket;
    const key = `${routeHash}/${level}`;
    const known = testsByBucket.get(key);
    if (known !== undefined) return known;
    const testsForSignal = (signal: EvidenceSignal): readonly SequentialTest[] => [
      testFor(signal),
      testFor(signal, routeHash),
      testFor(signal, routeHash, level),
    ];
    const created = {
      failure: testsForSignal('failure'),
      first_token: testsForSignal('first_token'),
      pace: testsForSignal('pace'),
    };
    testsByBucket.set(key, created);
    return created;
  }

  /** Sums the pair counts of an epoch's buckets per test. */
  function totals(epoch: number): ReadonlyMap<SequentialTest, PairCounts> {
    const known = totalsByEpoch.get(epoch);
    if (known !== undefined) return known;
    const sums = new Map<SequentialTest, PairCounts>();
    totalsByEpoch.set(epoch, sums);
    openEpochBuckets.get(epoch)?.forEach((bucket) => {
      EVIDENCE_SIGNALS.forEach((signal) => {
        testsOf(bucket)[signal].forEach((test) => {
          sums.set(test, addCounts(sums.get(test) ?? NO_PAIRS, bucket.counts[signal]));
        });
      });
    });
    return sums;
  }

  function markTestsWithNewPairs(bucket: EvidenceBucket, before: EvidenceBucket | undefined): void {
    EVIDENCE_SIGNALS.forEach((signal) => {
      const { againstNew } = bucket.counts[signal];
      if (againstNew === (before?.counts[signal].againstNew ?? 0)) return;
      testsOf(bucket)[signal].forEach((test) => testsWithNewPairs.add(test));
    });
  }

  function openEpochs(): number[] {
    const lastEpoch = Math.max(firstOpenEpoch, ...openEpochBuckets.keys());
    return Array.from({ length: lastEpoch - firstOpenEpoch + 1 }, (_, i) => firstOpenEpoch + i);
  }

  function closeEpochsBefore(epoch: number): void {
    for (; firstOpenEpoch < epoch; firstOpenEpoch += 1) {
      const sums = totals(firstOpenEpoch);
      sums.forEach((counts, test) => test.close(firstOpenEpoch, counts));
      openEpochBuckets.delete(firstOpenEpoch);
      totalsByEpoch.delete(firstOpenEpoch);
    }
  }

  function hasCrossedBound(
    test: SequentialTest,
    openSums: readonly ReadonlyMap<SequentialTest, PairCounts>[],
  ): boolean {
    const counts = openSums.map((sums) => sums.get(test) ?? NO_PAIRS);
    return test.logValue(firstOpenEpoch, counts) >= -Math.log(errorBoundOf(test));
  }

  function errorBoundOf(test: SequentialTest): number {
    const perSignal = falseAlarmRatio / EVIDENCE_SIGNALS.length;
    if (test.routeHash === undefined) return perSignal * ALL_ROUTES_BOUND_SHARE;
    if (test.level === undefined) return (perSignal * ROUTE_BOUND_SHARE) / routeCount;
    return (perSignal * ROUTE_LOAD_BOUND_SHARE) / (routeCount * LOAD_LEVELS.length);
  }

  return {
    merge: (routerId, buckets) => {
      buckets.forEach((bucket) => {
        if (bucket.epoch < firstOpenEpoch || bucket.epoch > epochCount) return;
        const epochBuckets =
          openEpochBuckets.get(bucket.epoch) ?? new Map<string, EvidenceBucket>();
        openEpochBuckets.set(bucket.epoch, epochBuckets);
        const key = `${routerId}/${bucket.routeHash}/${bucket.level}`;
        const known = epochBuckets.get(key);
        if (known !== undefined && countTotal(known) >= countTotal(bucket)) return;
        epochBuckets.set(key, bucket);
        markTestsWithNewPairs(bucket, known);
        totalsByEpoch.delete(bucket.epoch);
      });
    },
    addDeath: deaths.add,
    verdict: (nowMs) => {
      closeEpochsBefore(epochAt(settings, nowMs) - OPEN_EPOCHS);
      if (deaths.logValue() >= -Math.log(falseAlarmRatio * DEATHS_BOUND_SHARE)) {
        const counts = deaths.counts();
        return { signal: 'engine_deaths', routeHash: undefined, level: undefined, counts };
      }
      const openSums = openEpochs().map(totals);
      const crossedTest = [...testsWithNewPairs].find((test) => hasCrossedBound(test, openSums));
      testsWithNewPairs.clear();
      if (crossedTest === undefined) return undefined;
      const { signal, routeHash, level } = crossedTest;
      const openCounts = openSums.map((sums) => sums.get(crossedTest) ?? NO_PAIRS);
      return {
        signal,
        routeHash,
        level,
        counts: openCounts.reduce(addCounts, crossedTest.closed()),
      };
    },
  };
}

const NO_PAIRS: PairCounts = { againstNew: 0, againstOld: 0 };

interface SequentialTestSettings {
  readonly signal: EvidenceSignal;
  readonly routeHash: number | undefined;
  readonly level: LoadLevel | undefined;
  readonly epochCount: number;
}

/** A sequential test: one e-process over the decided pairs of one signal. */
interface SequentialTest {
  readonly signal: EvidenceSignal;
  readonly routeHash: number | undefined;
  readonly level: LoadLevel | undefined;
  readonly close: (epoch: number, counts: PairCounts) => void;
  /** Logarithm of the e-value, including the epochs that are still open. */
  readonly logValue: (nextEpoch: number, open: readonly PairCounts[]) => number;
  readonly closed: () => PairCounts;
}

/**
 * Mixes over the epochs the hypotheses that the fault begins there. The value after an epoch is
 * (value + weight of the epoch) × likelihood ratio of its pairs, so only one number per alternative
 * has to be kept for the closed epochs.
 */
function createSequentialTest(settings: SequentialTestSettings): SequentialTest {
  const { signal, routeHash, level, epochCount } = settings;
  const gains = LOG_LIKELIHOOD_RATIOS[signal];
  const laterWeight = (1 - INITIAL_FAULT_WEIGHT) / Math.max(1, epochCount);
  let logSums = gains.map(() => Number.NEGATIVE_INFINITY);
  let closedCounts = NO_PAIRS;
  let closedEpochs = 0;

  /** Log weight of the hypotheses that the fault begins in one of these epochs. */
  function logWeight(fromEpoch: number, count: number): number {
    if (count === 0) return Number.NEGATIVE_INFINITY;
    const first = fromEpoch === 0 ? INITIAL_FAULT_WEIGHT : laterWeight;
    return Math.log(first + (count - 1) * laterWeight);
  }

  /** Adds an epoch's pairs; the epochs before it without pairs only add their weight. */
  function addEpoch(
    sums: readonly number[],
    fromEpoch: number,
    epoch: number,
    counts: PairCounts,
  ): number[] {
    const weight = logWeight(fromEpoch, epoch - fromEpoch + 1);
    return sums.map((sum, i) => addLogs(sum, weight) + logLikelihoodRatio(gains[i], counts));
  }

  return {
    signal,
    routeHash,
    level,
    close: (epoch, counts) => {
      logSums = addEpoch(logSums, closedEpochs, epoch, counts);
      closedEpochs = epoch + 1;
      closedCounts = addCounts(closedCounts, counts);
    },
    logValue: (firstEpoch, open) => {
      let sums = logSums;
      let fromEpoch = closedEpochs;
      open.forEach((counts, i) => {
        if (counts === NO_PAIRS) return;
        sums = addEpoch(sums, fromEpoch, firstEpoch + i, counts);
        fromEpoch = firstEpoch + i + 1;
      });
      return sums.reduce(addLogs, Number.NEGATIVE_INFINITY) - Math.log(sums.length);
    },
    closed: () => closedCounts,
  };
}

/** Logarithms of the likelihood ratio of one pair under one alternative, by its outcome. */
interface LogLikelihoodRatios {
  readonly againstNew: number;
  readonly againstOld: number;
}

const LOG_LIKELIHOOD_RATIOS: Readonly<Record<EvidenceSignal, readonly LogLikelihoodRatios[]>> = {
  failure: logLikelihoodRatiosFor(NULL_PROBABILITY.failure),
  first_token: logLikelihoodRatiosFor(NULL_PROBABILITY.first_token),
  pace: logLikelihoodRatiosFor(NULL_PROBABILITY.pace),
};

function logLikelihoodRatiosFor(nullRatio: number): LogLikelihoodRatios[] {
  return ALTERNATIVE_PROBABILITIES.map((ratio) => ({
    againstNew: Math.log(ratio / nullRatio),
    againstOld: Math.log((1 - ratio) / (1 - nullRatio)),
  }));
}

function logLikelihoodRatio(gain: LogLikelihoodRatios | undefined, counts: PairCounts): number {
  if (gain === undefined) return 0;
  return counts.againstNew * gain.againstNew + counts.againstOld * gain.againstOld;
}

/** Creates the test for engine deaths; a death counts once, however many requests it failed. */
function createDeathTest() {
  const lastEpochs = new Map<string, number>();
  const logs = DEATH_ODDS.map(() => 0);
  let totals = NO_PAIRS;
  return {
    add: (death: EngineDeath): void => {
      const lastEpoch = lastEpochs.get(death.engineId);
      if (lastEpoch !== undefined && death.epoch - lastEpoch < DEATH_DEDUP_EPOCHS) return;
      lastEpochs.set(death.engineId, death.epoch);
      DEATH_ODDS.forEach((odds, i) => {
        const gain = death.isNew ? odds : 1;
        const expected = odds * death.newEngineRatio + 1 - death.newEngineRatio;
        logs[i] = (logs[i] ?? 0) + Math.log(gain / expected);
      });
      const one = death.isNew ? { againstNew: 1, againstOld: 0 } : { againstNew: 0, againstOld: 1 };
      totals = addCounts(totals, one);
    },
    logValue: (): number => {
      return logs.reduce(addLogs, Number.NEGATIVE_INFINITY) - Math.log(logs.length);
    },
    counts: (): PairCounts => totals,
  };
}

function addCounts(a: PairCounts, b: PairCounts): PairCounts {
  return {
    againstNew: a.againstNew + b.againstNew,
    againstOld: a.againstOld + b.againstOld,
  };
}

function countTotal(bucket: EvidenceBucket): number {
  const { failure, first_token: firstToken, pace } = bucket.counts;
  const all = addCounts(addCounts(failure, firstToken), pace);
  return all.againstNew + all.againstOld + bucket.newAttempts + bucket.oldAttempts;
}

function addLogs(a: number, b: number): number {
  const larger = Math.max(a, b);
  if (larger === Number.NEGATIVE_INFINITY) return larger;
  return larger + Math.log1p(Math.exp(Math.min(a, b) - larger));
}

/** Encodes buckets for a message between routers. */
export function encodeEvidenceBuckets(buckets: readonly EvidenceBucket[]): Uint8Array {
  const bytes = new Uint8Array(buckets.length * EVIDENCE_BUCKET_BYTES);
  const view = new DataView(bytes.buffer);
  buckets.forEach((bucket, i) => {
    const words = [
      bucket.routeHash,
      LOAD_LEVELS.indexOf(bucket.level),
      bucket.epoch,
      ...EVIDENCE_SIGNALS.flatMap((signal) => {
        const { againstNew, againstOld } = bucket.counts[signal];
        return [againstNew, againstOld];
      }),
      bucket.newAttempts,
      bucket.oldAttempts,
    ];
    words.forEach((word, j) => view.setUint32(i * EVIDENCE_BUCKET_BYTES + j * 4, word));
  });
  return bytes;
}

/** Decodes buckets; undefined if the bytes are truncated or hold an invalid load level. */
export function decodeEvidenceBuckets(bytes: Uint8Array): EvidenceBucket[] | undefined {
  if (bytes.length % EVIDENCE_BUCKET_BYTES !== 0) return undefined;
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const buckets: EvidenceBucket[] = [];
  for (let offset = 0; offset < bytes.length; offset += EVIDENCE_BUCKET_BYTES) {
    const word = (index: number) => view.getUint32(offset + index * 4);
    const level = LOAD_LEVELS[word(1)];
    if (level === undefined) return undefined;
    const pairCountsAt = (index: number) => ({
      againstNew: word(index),
      againstOld: word(index + 1),
    });
    buckets.push({
      routeHash: word(0),
      level,
      epoch: word(2),
      counts: { failure: pairCountsAt(3), first_token: pairCountsAt(5), pace: pairCountsAt(7) },
      newAttempts: word(9),
      oldAttempts: word(10),
    });
  }
  return buckets;
}
