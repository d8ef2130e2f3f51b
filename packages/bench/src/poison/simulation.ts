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
  /** Mean time between culprits. */
  readonly culpritIntervalMs: number;
  /** Culprits that arrive at the same time. */
  readonly culpritsAtOnce: number;
  /** Routers to which a culprit's caller sends it at once. */
  readonly copies: number;
  /** An engine dies in place of each culprit's arrival, for no request's fault. */
  readonly hasUnrelatedCrashes: boolean;
  /** One failure domain is lost halfway. */
  readonly hasDomainLoss: boolean;
  /** Time for a router's report to reach the others. */
  readonly reportDelayMs: number;
  /** False for the baseline: every lost stream is retried on any engine. */
  readonly hasProtection: boolean;
  readonly hash: Hash32;
  /** Receives a line for each death, and for each verdict on a request. */
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
  /** From the loss of an engine to the stream's next token. */
  readonly resumeDelaysMs: readonly number[];
}

interface Stream {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
  readonly router: Router;
  readonly culprit: Culprit | undefined;
  readonly tokenCount: number;
  /** Next index. */
  nextIndex: number;
  attempts: number;
  lostAtMs: number | undefined;
  isDone: boolean;
}

interface Culprit {
  readonly fingerprint: Fingerprint;
  /** The engine that computes this token dies. */
  readonly killsAtIndex: number;
  enginesLost: number;
  /** What the design allows, from the suspects and engines at the first death. */
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
const MAX_DETECTION_MS = 5;
const ENGINE_RESTART_MS = 20_000;
const STREAMS_PER_ENGINE = 8;
const MIN_TOKENS = 60;
const MAX_EXTRA_TOKENS = 400;
const KILL_INDEX_SPAN = 80;
/** As in the stream session. */
const MAX_ATTEMPTS = 8;
const CALLER_RESENDS = 10;
const RESEND_INTERVAL_MS = 400;
const DOMAINS = ['jabal-weibdeh', 'marka', 'sweileh'];
const EPOCH_MS = 1_796_342_400_000;

/** Further engines until one suspect is alone: each death leaves 1 in `engines` of them together. */
export function roundsToIsolate(suspects: number, engines: number): number {
  if (suspects <= engines) return 1;
  return Math.ceil(Math.log(suspects) / Math.log(Math.max(2, engines)));
}

/** Ordinary streams and culprits on engines of three failure domains, in simulated time. */
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

  function note(line: string): void {
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
    // A router waits for reports a little longer than they take to arrive.
    const settings = {
      ...SUSPECT_TRACKER_DEFAULTS,
      reportWaitMs: Math.min(SUSPECT_TRACKER_DEFAULTS.reportWaitMs, options.reportDelayMs * 4),
      condemnDelayMs: Math.max(SUSPECT_TRACKER_DEFAULTS.condemnDelayMs, options.reportDelayMs * 2),
      routerId,
      hash: options.hash,
    };
    return { routerId, rank, suspects: createSuspectTracker(settings) };
  }

  function pickOne<T>(items: readonly T[]): T {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }

  function spread(router: Router): void {
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
    place(stream);
    return stream;
  }

  function place(stream: Stream): void {
    const { suspects, rank } = stream.router;
    if (options.hasProtection) {
      const admission = suspects.admit(stream.fingerprint, stream.requestId, rank, wallMs());
      spread(stream.router);
      if (admission.kind === 'condemned') {
        note(`${stream.router.routerId} refuses ${stream.fingerprint}: request_condemned`);
        end(stream, condemned);
        return;
      }
      if (admission.kind === 'wait') {
        time.clock.runAfter(Math.max(1, admission.untilMs - wallMs()), () => place(stream));
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
    const first = pickOne(allowed);
    const second = pickOne(allowed);
    const engine = first.running.size <= second.running.size ? first : second;
    if (stream.attempts > 1 || avoided.size > 0) {
      note(`${stream.router.routerId} resumes ${stream.fingerprint} on ${engine.engineId}`);
    }
    engine.running.add(stream);
    stream.router.suspects.onPlaced(stream.fingerprint, engine.engineId);
    spread(stream.router);
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
    spread(stream.router);
  }

  function kill(engine: Engine): void {
    const lost = [...engine.running];
    const names = lost.map(({ fingerprint, router }) => `${fingerprint}@${router.routerId}`);
    note(`${engine.engineId} in ${engine.failureDomain} dies, running ${names.join(' ')}`);
    engine.isAlive = false;
    engine.running = new Set();
    enginesLost += 1;
    const atMs = time.clock.monotonicMs();
    time.clock.runAfter(ENGINE_RESTART_MS, () => {
      engine.isAlive = true;
    });
    routers.forEach((router) => {
      const own = lost.filter((stream) => stream.router === router);
      if (own.length > 0)
        time.clock.runAfter(MAX_DETECTION_MS * random(), () => notice(router, own));
    });

    function notice(router: Router, own: readonly Stream[]): void {
      const { engineId, failureDomain } = engine;
      const running = own.map(({ fingerprint, nextIndex }) => ({ fingerprint, index: nextIndex }));
      router.suspects.onDeath({ engineId, failureDomain, atMs: wallMs(), running }, wallMs());
      spread(router);
      own.forEach((stream) => {
        stream.lostAtMs ??= atMs;
        place(stream);
      });
    }
  }

  /** A caller sends its culprit to one or several routers at once. */
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
    const apart = engines.filter(
      ({ isAlive, failureDomain }) => isAlive && failureDomain !== engine.failureDomain,
    );
    culprit.enginesAllowed = options.copies + roundsToIsolate(engine.running.size, apart.length);
    resendOften(culprit);
  }

  /** A caller that lost patience sends the culprit again and again, to two routers each time. */
  function resendOften(culprit: Culprit): void {
    for (let resend = 1; resend <= CALLER_RESENDS; resend += 1) {
      time.clock.runAfter(resend * RESEND_INTERVAL_MS, () => {
        startStream(pickOne(routers), culprit);
        startStream(pickOne(routers), culprit);
      });
    }
  }

  function keepBusy(): void {
    const target = engines.filter(({ isAlive }) => isAlive).length * STREAMS_PER_ENGINE;
    const ordinary = streams.filter(({ isDone, culprit }) => !isDone && culprit === undefined);
    for (let count = ordinary.length; count < target; count += 1) {
      startStream(pickOne(routers), undefined);
    }
  }

  const { clock } = time;
  clock.runEvery(STEP_MS * 4, () => {
    if (clock.monotonicMs() < options.durationMs) keepBusy();
  });
  keepBusy();
  for (let atMs = 3_000; atMs < options.durationMs - 30_000; atMs += options.culpritIntervalMs) {
    const jitterMs = random() * options.culpritIntervalMs * 0.5;
    if (options.hasUnrelatedCrashes) {
      clock.runAfter(atMs + jitterMs, () =>
        kill(pickOne(engines.filter(({ isAlive }) => isAlive))),
      );
    }
    for (let index = 0; index < options.culpritsAtOnce; index += 1) {
      clock.runAfter(atMs + jitterMs + random() * 300, startCulprit);
    }
  }
  // One failure domain loses all its engines within a second: no request is to blame.
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
