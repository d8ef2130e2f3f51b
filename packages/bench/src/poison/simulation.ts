import { createRandom, createVirtualTime } from '@mimosamill/fakes';
import { asId, createSuspectTracker, SUSPECT_TRACKER_DEFAULTS } from '@mimosamill/core';
import type {
  EngineId,
  FailureDomain,
  Fingerprint,
  Hash32,
  RequestId,
  RouterId,
  SuspectItem,
  SuspectTracker,
} from '@mimosamill/core';

export interface PoisonOptions {
  readonly seed: number;
  readonly routers: number;
  readonly engines: number;
  readonly durationMs: number;
  /** Time between arrivals of culprits, to each of which up to half of it is added at random. */
  readonly culpritIntervalMs: number;
  /** Culprits that arrive within 300 ms of each other. */
  readonly culpritsAtOnce: number;
  /** Routers to which a caller sends the same culprit at the same time. */
  readonly copies: number;
  /** One engine also dies at each arrival time, without any request causing it. */
  readonly hasUnrelatedCrashes: boolean;
  /** One failure domain is lost after half of the duration. */
  readonly hasDomainLoss: boolean;
  /** Mean time for a router's report to reach the others. */
  readonly reportDelayMs: number;
  /** False for the baseline, in which every lost stream is retried on any engine. */
  readonly hasProtection: boolean;
  readonly hash: Hash32;
  /** Receives a line for each engine death, resumption and refusal. */
  readonly onLine?: (line: string) => void;
}

export interface PoisonSimulationResult {
  readonly culprits: number;
  readonly culpritsCondemned: number;
  readonly enginesLost: number;
  readonly enginesLostPerCulpritMax: number;
  readonly enginesLostPerCulpritMean: number;
  readonly culpritsOverBound: number;
  readonly innocents: number;
  readonly innocentFailed: number;
  readonly innocentCondemned: number;
  /** Times from the loss of an engine to the next token of each ordinary stream on it. */
  readonly resumeDelaysMs: readonly number[];
}

interface Stream {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
  readonly router: Router;
  readonly culprit: Culprit | undefined;
  readonly tokenCount: number;
  /** Index of the next token. */
  nextIndex: number;
  attempts: number;
  lostAtMs: number | undefined;
  isDone: boolean;
}

interface Culprit {
  readonly fingerprint: Fingerprint;
  /** Index of the token whose computation crashes the engine. */
  readonly killsAtIndex: number;
  enginesLost: number;
  /** The design's bound, from the numbers of suspects and engines at the first death. */
  enginesAllowed: number;
  isCondemned: boolean;
}

interface Engine {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomain;
  isAlive: boolean;
  running: Set<Stream>;
}

interface Router {
  readonly routerId: RouterId;
  readonly rank: number;
  readonly suspects: SuspectTracker;
}

const STEP_MS = 32;
const PREFILL_MS = 150;
const DETECTION_MS = 5;
const ENGINE_RESTART_MS = 20_000;
const STREAMS_PER_ENGINE = 8;
const MIN_TOKENS = 60;
const MAX_EXTRA_TOKENS = 400;
const KILL_INDEX_SPAN = 80;
/** The same limit as in the stream session. */
const MAX_ATTEMPTS = 8;
const CALLER_RESENDS = 10;
const RESEND_INTERVAL_MS = 400;
const DOMAINS = ['jabal-weibdeh', 'marka', 'sweileh'];
const EPOCH_MS = 1_796_342_400_000;

/**
 * Further engine deaths until one suspect is isolated: the suspects spread over `engines` engines, so
 * each death leaves 1 in `engines` of them.
 */
export function roundsToIsolate(suspects: number, engines: number): number {
  if (suspects <= engines) return 1;
  return Math.ceil(Math.log(suspects) / Math.log(Math.max(2, engines)));
}

/** Simulates ordinary streams and culprits on engines in three failure domains. */
export function runPoisonSimulation(options: PoisonOptions): PoisonSimulationResult {
  const random = createRandom(options.seed);
  const time = createVirtualTime();
  const engines = Array.from({ length: options.engines }, (_, index) => createEngine(index));
  const routers = Array.from({ length: options.routers }, (_, index) => createRouter(index));
  const culprits: Culprit[] = [];
  const streams: Stream[] = [];
  const resumeDelaysMs: number[] = [];
  const failed = new Set<Stream>();
  const condemned = new Set<Stream>();
  let enginesLost = 0;
  let ids = 0;

  function emitLine(line: string): void {
    options.onLine?.(`${time.clock.monotonicMs().toFixed(0)} ms ${line}`);
  }

  function wallMs(): number {
    return EPOCH_MS + time.clock.monotonicMs();
  }

  function createEngine(index: number): Engine {
    return {
      engineId: asId<EngineId>(`e${index}`),
      failureDomain: asId<FailureDomain>(DOMAINS[index % DOMAINS.length] ?? ''),
      isAlive: true,
      running: new Set(),
    };
  }

  function createRouter(rank: number): Router {
    const routerId = asId<RouterId>(`r${rank}`);
    // A report takes up to 1.5 times `reportDelayMs`, and a router must wait longer than that.
    const settings = {
      ...SUSPECT_TRACKER_DEFAULTS,
      reportWaitMs: Math.min(SUSPECT_TRACKER_DEFAULTS.reportWaitMs, options.reportDelayMs * 4),
      condemnDelayMs: Math.max(SUSPECT_TRACKER_DEFAULTS.condemnDelayMs, options.reportDelayMs * 2),
      routerId,
      hash: options.hash,
    };
    return { routerId, rank, suspects: createSuspectTracker(settings) };
  }

  function pickRandom<T>(items: readonly T[]): T {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }

  function sendReports(router: Router): void {
    const items: SuspectItem[] = router.suspects.takeItems();
    if (items.length === 0) return;
    routers
      .filter((other) => other !== router)
      .forEach((other) => {
        time.clock.runAfter(options.reportDelayMs * (0.5 + random()), () => {
          items.forEach((item) => other.suspects.onItem(item, wallMs()));
        });
      });
  }

  function startStream(router: Router, culprit: Culprit | undefined): Stream {
    ids += 1;
    const stream: Stream = {
      requestId: asId<RequestId>(`q${ids}`),
      fingerprint: culprit?.fingerprint ?? asId<Fingerprint>(`f${ids}`),
      router,
      culprit,
      tokenCount: MIN_TOKENS + Math.floor(random() * MAX_EXTRA_TOKENS),
      nextIndex: 0,
      attempts: 0,
      lostAtMs: undefined,
      isDone: false,
    };
    streams.push(stream);
    placeStream(stream);
    return stream;
  }

  function placeStream(stream: Stream): void {
    const { suspects, rank } = stream.router;
    if (options.hasProtection) {
      const admission = suspects.admit(stream.fingerprint, stream.requestId, rank, wallMs());
      sendReports(stream.router);
      if (admission.kind === 'condemned') {
        emitLine(`${stream.router.routerId} refuses ${stream.fingerprint}: request_condemned`);
        end(stream, condemned);
        return;
      }
      if (admission.kind === 'wait') {
        time.clock.runAfter(Math.max(1, admission.untilMs - wallMs()), () => placeStream(stream));
        return;
      }
    }
    if (stream.attempts >= MAX_ATTEMPTS) {
      end(stream, failed);
      return;
    }
    stream.attempts += 1;
    startAttempt(stream);
  }

  function end(stream: Stream, as: Set<Stream>): void {
    stream.isDone = true;
    as.add(stream);
    if (as === condemned && stream.culprit !== undefined) stream.culprit.isCondemned = true;
    stream.router.suspects.onEnd(stream.fingerprint, stream.requestId, 'given_up', wallMs());
  }

  function startAttempt(stream: Stream): void {
    const alive = engines.filter(({ isAlive }) => isAlive);
    const avoided = options.hasProtection
      ? stream.router.suspects.enginesToAvoid(stream.fingerprint, alive, wallMs())
      : new Set<EngineId>();
    const allowed = alive.filter(({ engineId }) => !avoided.has(engineId));
    if (allowed.length === 0) {
      time.clock.runAfter(STEP_MS, () => startAttempt(stream));
      return;
    }
    const first = pickRandom(allowed);
    const second = pickRandom(allowed);
    const engine = first.running.size <= second.running.size ? first : second;
    if (stream.attempts > 1 || avoided.size > 0) {
      emitLine(`${stream.router.routerId} resumes ${stream.fingerprint} on ${engine.engineId}`);
    }
    engine.running.add(stream);
    stream.router.suspects.onPlaced(stream.fingerprint, engine.engineId);
    sendReports(stream.router);
    time.clock.runAfter(PREFILL_MS, () => step(stream, engine));
  }

  function step(stream: Stream, engine: Engine): void {
    if (!engine.running.has(stream)) return;
    const { culprit } = stream;
    if (culprit !== undefined && stream.nextIndex >= culprit.killsAtIndex) {
      culprit.enginesLost += 1;
      if (culprit.enginesLost === 1) onFirstLoss(culprit, engine);
      kill(engine);
      return;
    }
    if (stream.lostAtMs !== undefined) {
      if (culprit === undefined) resumeDelaysMs.push(time.clock.monotonicMs() - stream.lostAtMs);
      stream.lostAtMs = undefined;
    }
    stream.router.suspects.onProgress(stream.fingerprint, stream.nextIndex, wallMs());
    stream.nextIndex += 1;
    if (stream.nextIndex >= stream.tokenCount) {
      stream.isDone = true;
      engine.running.delete(stream);
      stream.router.suspects.onEnd(stream.fingerprint, stream.requestId, 'finished', wallMs());
    } else {
      time.clock.runAfter(STEP_MS, () => step(stream, engine));
    }
    sendReports(stream.router);
  }

  function kill(engine: Engine): void {
    const lost = [...engine.running];
    const names = lost.map(({ fingerprint, router }) => `${fingerprint}@${router.routerId}`);
    emitLine(`${engine.engineId} in ${engine.failureDomain} dies, running ${names.join(' ')}`);
    engine.isAlive = false;
    engine.running = new Set();
    enginesLost += 1;
    const atMs = time.clock.monotonicMs();
    time.clock.runAfter(ENGINE_RESTART_MS, () => {
      engine.isAlive = true;
    });
    routers.forEach((router) => {
      const own = lost.filter((stream) => stream.router === router);
      if (own.length > 0) time.clock.runAfter(DETECTION_MS * random(), () => onLoss(router, own));
    });

    function onLoss(router: Router, own: readonly Stream[]): void {
      const { engineId, failureDomain } = engine;
      const running = own.map(({ fingerprint, nextIndex }) => ({ fingerprint, index: nextIndex }));
      router.suspects.onDeath({ engineId, failureDomain, atMs: wallMs(), running }, wallMs());
      sendReports(router);
      own.forEach((stream) => {
        stream.lostAtMs ??= atMs;
        placeStream(stream);
      });
    }
  }

  /** Sends a new culprit to one or several routers at once. */
  function startCulprit(): void {
    ids += 1;
    const culprit: Culprit = {
      fingerprint: asId<Fingerprint>(`c${ids}`),
      killsAtIndex: Math.floor(random() * KILL_INDEX_SPAN),
      enginesLost: 0,
      enginesAllowed: 0,
      isCondemned: false,
    };
    culprits.push(culprit);
    const order = [...routers].sort(() => random() - 0.5);
    order.slice(0, options.copies).forEach((router) => startStream(router, culprit));
  }

  function onFirstLoss(culprit: Culprit, engine: Engine): void {
    const enginesInOtherDomains = engines.filter(
      ({ isAlive, failureDomain }) => isAlive && failureDomain !== engine.failureDomain,
    );
    culprit.enginesAllowed =
      options.copies + roundsToIsolate(engine.running.size, enginesInOtherDomains.length);
    resendCulprit(culprit);
  }

  /** Resends the culprit at a fixed interval, through two routers each time. */
  function resendCulprit(culprit: Culprit): void {
    for (let resend = 1; resend <= CALLER_RESENDS; resend += 1) {
      time.clock.runAfter(resend * RESEND_INTERVAL_MS, () => {
        startStream(pickRandom(routers), culprit);
        startStream(pickRandom(routers), culprit);
      });
    }
  }

  function startOrdinaryStreams(): void {
    const target = engines.filter(({ isAlive }) => isAlive).length * STREAMS_PER_ENGINE;
    const ordinary = streams.filter(({ isDone, culprit }) => !isDone && culprit === undefined);
    for (let count = ordinary.length; count < target; count += 1) {
      startStream(pickRandom(routers), undefined);
    }
  }

  const { clock } = time;
  clock.runEvery(STEP_MS * 4, () => {
    if (clock.monotonicMs() < options.durationMs) startOrdinaryStreams();
  });
  startOrdinaryStreams();
  for (let atMs = 3_000; atMs < options.durationMs - 30_000; atMs += options.culpritIntervalMs) {
    const jitterMs = random() * options.culpritIntervalMs * 0.5;
    if (options.hasUnrelatedCrashes) {
      clock.runAfter(atMs + jitterMs, () =>
        kill(pickRandom(engines.filter(({ isAlive }) => isAlive))),
      );
    }
    for (let index = 0; index < options.culpritsAtOnce; index += 1) {
      clock.runAfter(atMs + jitterMs + random() * 300, startCulprit);
    }
  }
  // One failure domain loses all its engines within a second, without any request causing it.
  clock.runAfter(options.durationMs / 2, () => {
    if (!options.hasDomainLoss) return;
    engines
      .filter(({ failureDomain, isAlive }) => failureDomain === DOMAINS[1] && isAlive)
      .forEach((engine) => clock.runAfter(random() * 1_000, () => engine.isAlive && kill(engine)));
  });
  time.runSync(options.durationMs + 30_000);

  const innocents = streams.filter(({ culprit }) => culprit === undefined);
  const lostBy = culprits.map((culprit) => culprit.enginesLost);
  return {
    culprits: culprits.length,
    culpritsCondemned: culprits.filter(({ isCondemned }) => isCondemned).length,
    enginesLost,
    enginesLostPerCulpritMax: Math.max(0, ...lostBy),
    enginesLostPerCulpritMean:
      lostBy.reduce((sum, lost) => sum + lost, 0) / Math.max(1, lostBy.length),
    culpritsOverBound: culprits.filter((c) => c.enginesLost > c.enginesAllowed).length,
    innocents: innocents.length,
    innocentFailed: innocents.filter((s) => failed.has(s) || condemned.has(s)).length,
    innocentCondemned: innocents.filter((s) => condemned.has(s)).length,
    resumeDelaysMs,
  };
}
