/** Load that was offered to the compared engines when a request was sent. */
export type LoadLevel = 'low' | 'middle' | 'high';

export type EvidenceSignal = 'failure' | 'first_token' | 'pace';

/**
 * Decided pairs of one router, route, load level and epoch. Counts only rise while their epoch
 * lasts, so the larger of two reports is the newer one, and reports of routers add up.
 */
export interface EvidenceBucket {
  readonly routeHash: number;
  readonly level: LoadLevel;
  readonly epoch: number;
  readonly counts: Readonly<Record<EvidenceSignal, PairCounts>>;
  readonly newAttempts: number;
  readonly oldAttempts: number;
}

/** Pairs decided against the new and against the old version. */
export interface PairCounts {
  readonly againstNew: number;
  readonly againstOld: number;
}

/** An engine that stopped answering; reported by every router that saw it. */
export interface EngineDeath {
  readonly engineId: string;
  readonly isNew: boolean;
  /** Part of the service's engines that held the new version. */
  readonly newEngineRatio: number;
  readonly epoch: number;
}

export interface EvidenceSettings {
  readonly startMs: number;
  readonly deadlineMs: number;
  /** Bound on the probability that a version no worse than the old one is withdrawn. */
  readonly falseAlarmRatio: number;
  /** Routes of the service, for the division of the bound among them. */
  readonly routeCount: number;
}

export interface EvidenceVerdict {
  readonly signal: EvidenceSignal | 'engine_deaths';
  /** Undefined when all routes together decided. */
  readonly routeHash: number | undefined;
  readonly level: LoadLevel | undefined;
  readonly counts: PairCounts;
}

/** Evidence of one move, merged from any number of routers. */
export interface EvidencePool {
  readonly merge: (routerId: string, cells: readonly EvidenceBucket[]) => void;
  readonly addDeath: (death: EngineDeath) => void;
  /** The first test that crosses its bound; may be asked at any time and any number of times. */
  readonly verdict: (nowMs: number) => EvidenceVerdict | undefined;
}

export const LOAD_LEVELS: readonly LoadLevel[] = ['low', 'middle', 'high'];
export const EVIDENCE_SIGNALS: readonly EvidenceSignal[] = ['failure', 'first_token', 'pace'];

/** Size of an encoded cell. */
export const EVIDENCE_BUCKET_BYTES = 48;

/** Probability that a discordant pair is against the new version, at the edge of "no worse". */
const NULL_PROBABILITY: Readonly<Record<EvidenceSignal, number>> = {
  // Odds of 1.2: failures of two equal versions never come in exactly equal numbers.
  failure: 0.55,
  // The allowed slowness is part of the comparison of the two times.
  first_token: 0.5,
  pace: 0.5,
};

/** Alternatives that the e-process mixes, with equal weights. */
const ALTERNATIVE_PROBABILITIES: readonly number[] = [0.62, 0.7, 0.8, 0.9, 0.97];

/** Alternatives for engine deaths: how many times as often an engine with the new version dies. */
const DEATH_ODDS: readonly number[] = [4, 16, 64];

/** The bound is divided among the tests; the parts add up to one. */
const DEATHS_BOUND_SHARE = 0.2;
const ALL_ROUTES_BOUND_SHARE = 0.4;
const ROUTE_BOUND_SHARE = 0.2;
const ROUTE_LOAD_BOUND_SHARE = 0.2;

/** Half of the weight assumes a fault from the start, half one that begins in a later epoch. */
const INITIAL_FAULT_WEIGHT = 0.5;
const MIN_EPOCH_MS = 5_000;
const MAX_EPOCHS = 2_048;

/** Reports of an epoch are taken until this many later epochs have begun. */
const OPEN_EPOCHS = 2;

/** Deaths of one engine within as many epochs are one death seen by several routers. */
const DEATH_DEDUP_EPOCHS = 6;

/** Length of the periods over which a fault that begins later is looked for. */
export function epochLengthMs(startMs: number, deadlineMs: number): number {
  return Math.max(MIN_EPOCH_MS, (deadlineMs - startMs) / MAX_EPOCHS);
}

/** Epoch of a time; every router with about the same wall clock finds the same. */
export function epochAt(settings: EvidenceSettings, nowMs: number): number {
  const lengthMs = epochLengthMs(settings.startMs, settings.deadlineMs);
  return Math.max(0, Math.floor((nowMs - settings.startMs) / lengthMs));
}

/** Creates an empty pool; a router without peers uses one for its own evidence. */
export function createEvidencePool(settings: EvidenceSettings): EvidencePool {
  const { startMs, deadlineMs, falseAlarmRatio, routeCount } = settings;
  const epochCount = Math.ceil((deadlineMs - startMs) / epochLengthMs(startMs, deadlineMs));
  const openEpochBuckets = new Map<number, Map<string, EvidenceBucket>>();
  const tests = new Map<string, SequentialTest>();
  const testsByBucket = new Map<string, Record<EvidenceSignal, readonly SequentialTest[]>>();
  /** Tests with new pairs against the new version; the values of the others have not risen. */
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

  /** The tests that a cell's pairs belong to: all routes, its route, its route at its load. */
  function testsOf(cell: EvidenceBucket): Record<EvidenceSignal, readonly SequentialTest[]> {
    const { routeHash, level } = cell;
    const key = `${routeHash}/${level}`;
    const known = testsByBucket.get(key);
    if (known !== undefined) return known;
    const of = (signal: EvidenceSignal): readonly SequentialTest[] => [
      testFor(signal),
      testFor(signal, routeHash),
      testFor(signal, routeHash, level),
    ];
    const created = { failure: of('failure'), first_token: of('first_token'), pace: of('pace') };
    testsByBucket.set(key, created);
    return created;
  }

  /** Adds up the cells of an epoch per test. */
  function totals(epoch: number): ReadonlyMap<SequentialTest, PairCounts> {
    const known = totalsByEpoch.get(epoch);
    if (known !== undefined) return known;
    const sums = new Map<SequentialTest, PairCounts>();
    totalsByEpoch.set(epoch, sums);
    openEpochBuckets.get(epoch)?.forEach((cell) => {
      EVIDENCE_SIGNALS.forEach((signal) => {
        testsOf(cell)[signal].forEach((test) => {
          sums.set(test, addCounts(sums.get(test) ?? NO_PAIRS, cell.counts[signal]));
        });
      });
    });
    return sums;
  }

  function markTestsWithNewPairs(cell: EvidenceBucket, before: EvidenceBucket | undefined): void {
    EVIDENCE_SIGNALS.forEach((signal) => {
      const { againstNew } = cell.counts[signal];
      if (againstNew === (before?.counts[signal].againstNew ?? 0)) return;
      testsOf(cell)[signal].forEach((test) => testsWithNewPairs.add(test));
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
    merge: (routerId, cells) => {
      cells.forEach((cell) => {
        if (cell.epoch < firstOpenEpoch || cell.epoch > epochCount) return;
        const epochCells = openEpochBuckets.get(cell.epoch) ?? new Map<string, EvidenceBucket>();
        openEpochBuckets.set(cell.epoch, epochCells);
        const key = `${routerId}/${cell.routeHash}/${cell.level}`;
        const known = epochCells.get(key);
        if (known !== undefined && countTotal(known) >= countTotal(cell)) return;
        epochCells.set(key, cell);
        markTestsWithNewPairs(cell, known);
        totalsByEpoch.delete(cell.epoch);
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
      const crossed = [...testsWithNewPairs].find((test) => hasCrossedBound(test, openSums));
      testsWithNewPairs.clear();
      if (crossed === undefined) return undefined;
      const { signal, routeHash, level } = crossed;
      const recent = openSums.map((sums) => sums.get(crossed) ?? NO_PAIRS);
      return { signal, routeHash, level, counts: recent.reduce(addCounts, crossed.closed()) };
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

/** One e-process over the discordant pairs of one signal. */
interface SequentialTest {
  readonly signal: EvidenceSignal;
  readonly routeHash: number | undefined;
  readonly level: LoadLevel | undefined;
  readonly close: (epoch: number, counts: PairCounts) => void;
  /** Logarithm of the e-value, with the epochs that are still open. */
  readonly logValue: (nextEpoch: number, open: readonly PairCounts[]) => number;
  readonly closed: () => PairCounts;
}

/**
 * Mixes, for every epoch, the hypothesis that the fault begins there. The value after an epoch
 * is (value + weight of the epoch) × likelihood ratio of its pairs, so closed epochs need one
 * number per alternative.
 */
function createSequentialTest(settings: SequentialTestSettings): SequentialTest {
  const { signal, routeHash, level, epochCount } = settings;
  const gains = LOG_LIKELIHOOD_RATIOS[signal];
  const laterWeight = (1 - INITIAL_FAULT_WEIGHT) / Math.max(1, epochCount);
  let logSums = gains.map(() => Number.NEGATIVE_INFINITY);
  let closedCounts = NO_PAIRS;
  let closedEpochs = 0;

  /** Weight of the hypotheses that the fault begins in one of these epochs. */
  function logWeight(fromEpoch: number, count: number): number {
    if (count === 0) return Number.NEGATIVE_INFINITY;
    const first = fromEpoch === 0 ? INITIAL_FAULT_WEIGHT : laterWeight;
    return Math.log(first + (count - 1) * laterWeight);
  }

  /** Epochs without pairs add their weight and change nothing else. */
  function after(
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
      logSums = after(logSums, closedEpochs, epoch, counts);
      closedEpochs = epoch + 1;
      closedCounts = addCounts(closedCounts, counts);
    },
    logValue: (firstEpoch, open) => {
      let sums = logSums;
      let fromEpoch = closedEpochs;
      open.forEach((counts, i) => {
        if (counts === NO_PAIRS) return;
        sums = after(sums, fromEpoch, firstEpoch + i, counts);
        fromEpoch = firstEpoch + i + 1;
      });
      return sums.reduce(addLogs, Number.NEGATIVE_INFINITY) - Math.log(sums.length);
    },
    closed: () => closedCounts,
  };
}

/** Logarithms of the likelihood ratios of one pair, for one alternative. */
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

/** Deaths count once per engine, however many requests they hit. */
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

function countTotal(cell: EvidenceBucket): number {
  const { failure, first_token: firstToken, pace } = cell.counts;
  const all = addCounts(addCounts(failure, firstToken), pace);
  return all.againstNew + all.againstOld + cell.newAttempts + cell.oldAttempts;
}

function addLogs(a: number, b: number): number {
  const larger = Math.max(a, b);
  if (larger === Number.NEGATIVE_INFINITY) return larger;
  return larger + Math.log1p(Math.exp(Math.min(a, b) - larger));
}

/** Packs cells for a message between routers. */
export function encodeEvidenceBuckets(cells: readonly EvidenceBucket[]): Uint8Array {
  const bytes = new Uint8Array(cells.length * EVIDENCE_BUCKET_BYTES);
  const view = new DataView(bytes.buffer);
  cells.forEach((cell, i) => {
    const words = [
      cell.routeHash,
      LOAD_LEVELS.indexOf(cell.level),
      cell.epoch,
      ...EVIDENCE_SIGNALS.flatMap((signal) => {
        const { againstNew, againstOld } = cell.counts[signal];
        return [againstNew, againstOld];
      }),
      cell.newAttempts,
      cell.oldAttempts,
    ];
    words.forEach((word, j) => view.setUint32(i * EVIDENCE_BUCKET_BYTES + j * 4, word));
  });
  return bytes;
}

/** Reads packed cells; undefined if the bytes are not whole, valid cells. */
export function decodeEvidenceBuckets(bytes: Uint8Array): EvidenceBucket[] | undefined {
  if (bytes.length % EVIDENCE_BUCKET_BYTES !== 0) return undefined;
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const cells: EvidenceBucket[] = [];
  for (let at = 0; at < bytes.length; at += EVIDENCE_BUCKET_BYTES) {
    const word = (index: number) => view.getUint32(at + index * 4);
    const level = LOAD_LEVELS[word(1)];
    if (level === undefined) return undefined;
    const countsAt = (index: number) => ({ againstNew: word(index), againstOld: word(index + 1) });
    cells.push({
      routeHash: word(0),
      level,
      epoch: word(2),
      counts: { failure: countsAt(3), first_token: countsAt(5), pace: countsAt(7) },
      newAttempts: word(9),
      oldAttempts: word(10),
    });
  }
  return cells;
}
