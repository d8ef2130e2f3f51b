import { assertNever, createServeError, createStreamSession } from '@mimosamill/core';
import { createErrorBoundary } from '../error-boundary';
import { createAttempts } from './attempts';
import { condemnedError, journalLostError, noEngineError } from './failure';
import type { AttemptEvent } from '@mimosamill/adapters';
import type {
  AttemptNo,
  AttemptObserver,
  EngineId,
  FinishReason,
  Fingerprint,
  HeldReplica,
  Journal,
  LossCause,
  ReplicaMetadata,
  RouteRequest,
  RunState,
  ServeError,
  StreamSession,
  StreamSessionEffect,
  VersionGroup,
  VersionName,
} from '@mimosamill/core';
import type { StreamMetrics } from './metrics';
import type {
  EngineEndpoint,
  KnownEngine,
  LostRequest,
  StreamPorts,
  StreamReader,
  StreamRequest,
} from './ports';
import type { ResumeScheduler } from './resume-scheduler';

/** How a stream ended. */
export type StreamEnd =
  | { readonly kind: 'finish'; readonly reason: FinishReason }
  | { readonly kind: 'error'; readonly error: ServeError };

/** One request's generation at this router, with or without a connected caller. */
export interface RunningStream {
  readonly request: StreamRequest;
  readonly journal: () => Journal;
  readonly ended: () => StreamEnd | undefined;
  readonly start: () => void;
  /** Continues a stream of another router; the caller already has `receivedTokens` tokens. */
  readonly takeOver: (replica: HeldReplica, receivedTokens: number) => void;
  /** Stops because another router took the stream over; its requests at engines keep running. */
  readonly release: () => void;
  readonly isRunningOn: (engineId: EngineId) => boolean;
  readonly lostRequest: () => LostRequest;
  /** Connects the caller in place of an earlier connection. */
  readonly attach: (reader: StreamReader) => void;
  readonly detach: (reader: StreamReader) => void;
  readonly wakeAtMs: () => number | undefined;
  readonly wake: () => void;
  readonly detachedSinceMs: () => number | undefined;
  /** Ends the stream because its caller will not come back. */
  readonly abandon: () => void;
}

const MAX_ATTEMPTS = 12;
/** After this wait for a first token, another engine is tried as well. */
const FIRST_TOKEN_TIMEOUT_MS = 2_000;
/** The longest silence and three of these waits together stay within the 3 s limit on a resume. */
const RESUME_FIRST_TOKEN_TIMEOUT_MS = 650;
const PLACEMENT_RETRY_MS = 25;
/** Time limit to find an available engine; after a loss, output has to resume within 3 s. */
const PLACEMENT_TIMEOUT_MS = 2_500;

export function createRunningStream(
  ports: StreamPorts,
  resumes: ResumeScheduler,
  metrics: StreamMetrics,
  request: StreamRequest,
): RunningStream {
  const { clock, directory, engines, replicas, suspects, versions } = ports;
  const { requestId, service } = request;
  const fingerprint: Fingerprint = ports.fingerprintOf(
    `${service.model}\n${request.adapter}\n${request.seed}\n${request.maxTokens}\n${request.prompt}`,
  );
  const promptTokens = request.prompt.split(/\s+/u).length;
  const attempts = createAttempts(ports, requestId);
  const boundary = createErrorBoundary(reportError, (error) => {
    if (end === undefined) finish({ kind: 'error', error });
    reader?.onProgress();
  });
  /** Engines that failed or refused this request; tried again only if no other engine is left. */
  const avoidedEngines = new Set<EngineId>();
  /** Losses that are handled once a caller connects; nothing is generated for an absent caller. */
  let deferredLosses: (() => void)[] = [];
  let version: VersionName | undefined;
  /** Versions that failed this request before its first token, or that no engine has. */
  const failedVersions = new Set<VersionName>();
  let group: VersionGroup = 'other';
  /** Whether engines reserved for other groups may be used, because none of this group is left. */
  let mayUseReserved = false;
  /** Number of routers that served the stream before this one. */
  let takeoverCount = 0;
  let hasReplica = false;
  let earlierAttempts = 0;
  let session = createSession([]);
  let reader: StreamReader | undefined;
  let detachedSinceMs: number | undefined = clock.monotonicMs();
  let end: StreamEnd | undefined;
  let lossAtMs: number | undefined;
  /** Number of tokens that the caller has; an attempt that repeats them could generate others. */
  let callerTokens = 0;

  function reportError(cause: unknown): ServeError {
    const problem = cause instanceof Error ? cause.stack : String(cause);
    ports.log.error('the handling of a stream failed', { request: requestId, problem });
    const message = 'the router failed to handle the request';
    return createServeError('backend_failed', message, 'unknown');
  }

  function createSession(known: readonly string[]): StreamSession {
    return createStreamSession(
      {
        requestId,
        maxAttempts: MAX_ATTEMPTS,
        earlierAttempts,
        silence: {
          minMs: request.silenceMinMs,
          maxMs: request.silenceMaxMs,
          firstTokenMs: FIRST_TOKEN_TIMEOUT_MS,
          resumeFirstTokenMs: RESUME_FIRST_TOKEN_TIMEOUT_MS,
        },
        deadlineAtMs: request.deadlineAtMs,
        maxTokens: request.maxTokens,
        typicalGapMs: () => directory.typicalStepMs(service.name),
      },
      known,
      clock.monotonicMs(),
    );
  }

  function apply(effects: readonly StreamSessionEffect[]): void {
    effects.forEach((effect) => {
      switch (effect.kind) {
        case 'deliver':
          replicas.onToken(requestId, effect.index, effect.text);
          suspects.onProgress(fingerprint, effect.index);
          request.permit?.onFirstToken();
          request.permit?.onTokens(1);
          completeResume();
          break;
        case 'start_attempt':
          onStartAttempt(effect.attemptNo, effect.cause);
          break;
        case 'cancel_attempt':
          attempts.close(effect.attemptNo, 'cancelled');
          break;
        case 'finish':
          finish({ kind: 'finish', reason: effect.reason });
          break;
        case 'fail':
          finish({ kind: 'error', error: { ...effect.error, runState: runState() } });
          break;
        default:
          assertNever(effect);
      }
    });
    if (effects.length > 0) reader?.onProgress();
  }

  function onStartAttempt(attemptNo: AttemptNo, cause: LossCause | 'first'): void {
    if (session.journal().length() < callerTokens) {
      finish({ kind: 'error', error: journalLostError() });
      return;
    }
    const placeByMs = clock.monotonicMs() + PLACEMENT_TIMEOUT_MS;
    if (cause === 'first') {
      placeAttempt(attemptNo, placeByMs);
      return;
    }
    lossAtMs ??= clock.monotonicMs();
    metrics.onResumeStarted(cause);
    resumes.schedule(
      requestId,
      lossAtMs,
      boundary.wrap(() => placeAttempt(attemptNo, placeByMs)),
    );
  }

  function completeResume(): void {
    if (lossAtMs === undefined) return;
    resumes.onEnded(requestId);
    metrics.onResumeCompleted(clock.monotonicMs() - lossAtMs);
    lossAtMs = undefined;
  }

  function finish(outcome: StreamEnd): void {
    end = outcome;
    request.permit?.onEnd();
    resumes.onEnded(requestId);
    attempts.cancelAll();
    const failure = outcome.kind === 'error' ? outcome.error.code : undefined;
    metrics.onEnd(failure ?? 'ok');
    request.span.setAttributes({
      tokens: session.journal().length(),
      attempts: session.attemptCount(),
    });
    request.span.end(failure);
    suspects.onEnd(fingerprint, requestId, outcome.kind === 'finish' ? 'finished' : 'given_up');
    replicas.onEnd(requestId, outcome.kind === 'finish' ? outcome.reason : undefined);
  }

  function placeAttempt(attemptNo: AttemptNo, placeByMs: number): void {
    if (end !== undefined || !session.liveAttempts().includes(attemptNo)) {
      resumes.onEnded(requestId);
      return;
    }
    const admission = suspects.admit(fingerprint, requestId);
    switch (admission.kind) {
      case 'condemned':
        failAttempt(attemptNo, condemnedError(runState()));
        break;
      case 'wait':
        clock.runAfter(
          admission.delayMs,
          boundary.wrap(() => placeAttempt(attemptNo, placeByMs + admission.delayMs)),
        );
        break;
      case 'run':
        placeOnEngine(attemptNo, placeByMs);
        break;
      default:
        assertNever(admission);
    }
  }

  function placeOnEngine(attemptNo: AttemptNo, placeByMs: number): void {
    const chosenVersion = version ?? chooseVersion();
    if (chosenVersion === undefined) {
      failAttempt(attemptNo, noEngineError('no_version', runState()));
      return;
    }
    const routeRequest = toRouteRequest(chosenVersion);
    const found = directory.pick(routeRequest);
    if (found.kind === 'ok') {
      startAttempt(attemptNo, found, routeRequest, chosenVersion);
      return;
    }
    if (found.reason === 'all_excluded') relaxExclusions();
    if (found.reason === 'no_version') giveUpVersion();
    if (clock.monotonicMs() >= placeByMs) {
      failAttempt(attemptNo, noEngineError(found.reason, runState()));
      return;
    }
    const retry = boundary.wrap(() => placeAttempt(attemptNo, placeByMs));
    clock.runAfter(PLACEMENT_RETRY_MS, () => {
      if (lossAtMs === undefined) retry();
      else resumes.schedule(requestId, lossAtMs, retry);
    });
  }

  /**
   * Allows further engines, one kind at a time. Engines full of resumes are free again within the
   * time of a first token, so they are waited for first. Then reserved engines are allowed, and
   * after them the engines that failed this request.
   */
  function relaxExclusions(): void {
    if (lossAtMs !== undefined && resumes.fullEngines().size > 0) return;
    if (mayUseReserved) avoidedEngines.clear();
    mayUseReserved = true;
  }

  function runState(): RunState {
    if (session.journal().length() > 0) return 'ran';
    return attempts.mayHaveRun() ? 'unknown' : 'not_run';
  }

  function failAttempt(attemptNo: AttemptNo, error: ServeError): void {
    apply(session.onEvent({ kind: 'attempt_failed', attemptNo, error }, clock.monotonicMs()));
  }

  /**
   * Lets the request start on another version, unless tokens have been generated or an open
   * attempt may still deliver the first one.
   */
  function giveUpVersion(): void {
    const hasTokens = session.journal().length() > 0 || callerTokens > 0;
    if (version === undefined || hasTokens || attempts.size() > 0) return;
    failedVersions.add(version);
    version = undefined;
  }

  function chooseVersion(): VersionName | undefined {
    const choice = versions.chooseVersion(service, requestId, failedVersions);
    if (choice.kind === 'none') return undefined;
    version = choice.version;
    group = choice.group;
    return version;
  }

  function toRouteRequest(chosenVersion: VersionName): RouteRequest {
    const known = directory.enginesOf(service.name);
    const fullEngines = lossAtMs === undefined ? [] : resumes.fullEngines();
    const suspectEngines = suspects.enginesToAvoid(fingerprint, known);
    const reservedEngines = mayUseReserved
      ? []
      : versions.enginesToAvoid(service, group, known, meanLoadOf(known));
    return {
      model: service.model,
      version: chosenVersion,
      adapter: request.adapter,
      priority: request.priority,
      promptTokens: promptTokens + session.journal().length(),
      blockKeys: ports.blockKeysOf(request.prompt),
      excluded: new Set([
        ...avoidedEngines,
        ...attempts.engineIds(),
        ...suspectEngines,
        ...reservedEngines,
        ...fullEngines,
      ]),
    };
  }

  function startAttempt(
    attemptNo: AttemptNo,
    endpoint: EngineEndpoint,
    routeRequest: RouteRequest,
    chosenVersion: VersionName,
  ): void {
    const span = request.span.startChild('attempt', {
      engine: endpoint.engineId,
      attempt: attemptNo,
    });
    const texts = session.journal().texts();
    const handle = engines.generate(
      endpoint.address,
      {
        requestId,
        attemptNo,
        model: service.model,
        version: chosenVersion,
        adapter: request.adapter,
        prompt: request.prompt,
        generatedTokens: texts,
        maxTokens: request.maxTokens,
        seed: request.seed,
        priority: request.priority,
        traceparent: span.traceparent,
      },
      onAttemptEvent,
    );
    const routedRequest = directory.onSent(endpoint.engineId, routeRequest);
    attempts.add({
      attemptNo,
      engine: endpoint,
      handle,
      routedRequest,
      span,
      observer: observe(attemptNo, endpoint),
    });
    session.onEvent({ kind: 'attempt_sent', attemptNo }, clock.monotonicMs());
    suspects.onPlaced(fingerprint, endpoint.engineId);
    if (lossAtMs !== undefined) resumes.onStarted(requestId, endpoint.engineId);
    replicate({
      requestId,
      bodyHash: request.bodyHash,
      engineId: endpoint.engineId,
      engineAddress: endpoint.address,
      version: chosenVersion,
      attemptNo,
      takeoverCount,
    });
  }

  function replicate(metadata: ReplicaMetadata): void {
    if (hasReplica) replicas.onAttempt(metadata);
    else replicas.onStart(metadata, session.journal().texts());
    hasReplica = true;
  }

  function observe(attemptNo: AttemptNo, endpoint: EngineEndpoint): AttemptObserver {
    return versions.onAttempt({
      service: service.name,
      version: version ?? service.stableVersion,
      attemptNo,
      route: request.adapter,
      group,
      controlLoadRatio: controlLoadRatio(),
      engineId: endpoint.engineId,
    });
  }

  function meanLoadOf(candidates: readonly KnownEngine[]): number {
    if (candidates.length === 0) return 0;
    const sum = candidates.reduce(
      (total, { engineId }) => total + directory.loadRatioOf(engineId),
      0,
    );
    return sum / candidates.length;
  }

  function controlLoadRatio(): number {
    const known = directory.enginesOf(service.name);
    const others = versions.enginesToAvoid(service, 'control', known, meanLoadOf(known));
    return meanLoadOf(known.filter(({ engineId }) => !others.has(engineId)));
  }

  const onAttemptEvent = boundary.wrap((event: AttemptEvent): void => {
    if (end !== undefined) return;
    switch (event.kind) {
      case 'token':
        onToken(event);
        break;
      case 'finish':
        onFinish(event.attemptNo, event.reason);
        break;
      case 'lost':
        onLost(event.attemptNo, event.cause);
        break;
      case 'refused':
        onRefused(event.attemptNo, event.cause);
        break;
      default:
        assertNever(event);
    }
  });

  function onToken(event: Extract<AttemptEvent, { kind: 'token' }>): void {
    attempts.onToken(event.attemptNo);
    apply(session.onEvent(event, clock.monotonicMs()));
  }

  function onFinish(attemptNo: AttemptNo, reason: FinishReason): void {
    attempts.close(attemptNo, 'ok');
    apply(session.onEvent({ kind: 'finish', attemptNo, reason }, clock.monotonicMs()));
  }

  function onLost(attemptNo: AttemptNo, cause: 'connect_failed' | 'reset' | 'ended_early'): void {
    const endpoint = attempts.engineOf(attemptNo);
    if (endpoint === undefined) return;
    avoidedEngines.add(endpoint.engineId);
    // A request that never reached the engine cannot have crashed it, even if the engine is down.
    if (cause === 'connect_failed') attempts.closeAsNotRun(attemptNo, 'failed');
    // The requests of a dead engine become suspects, so its state is checked before the close.
    const whenKnown = directory.confirmDown(endpoint.engineId).then((isDown) => {
      attempts.close(attemptNo, 'failed', isDown ? 'lost' : 'failed');
      giveUpVersion();
      whileConnected(() => loseAttempt(attemptNo, cause));
    });
    boundary.watch(whenKnown);
  }

  function onRefused(
    attemptNo: AttemptNo,
    cause: Extract<AttemptEvent, { kind: 'refused' }>['cause'],
  ): void {
    const endpoint = attempts.engineOf(attemptNo);
    if (endpoint === undefined) return;
    avoidedEngines.add(endpoint.engineId);
    if (cause === 'overloaded') request.permit?.onOverloaded();
    if (cause === 'leaving') directory.onLeaving(endpoint.engineId);
    if (cause === 'failed') {
      attempts.close(attemptNo, 'failed');
      giveUpVersion();
    } else {
      attempts.closeAsNotRun(attemptNo, 'refused');
    }
    whileConnected(() => loseAttempt(attemptNo, 'refused'));
  }

  function loseAttempt(attemptNo: AttemptNo, cause: LossCause): void {
    apply(session.onEvent({ kind: 'attempt_lost', attemptNo, cause }, clock.monotonicMs()));
  }

  /** Runs the function now if a caller is connected, otherwise once one connects. */
  function whileConnected(fn: () => void): void {
    if (reader !== undefined) fn();
    else deferredLosses.push(fn);
  }

  function takeOver(replica: HeldReplica, receivedTokens: number): void {
    const {
      engineId,
      engineAddress,
      version: replicaVersion,
      attemptNo: lastAttemptNo,
    } = replica.metadata;
    version = replicaVersion;
    callerTokens = receivedTokens;
    takeoverCount = replica.metadata.takeoverCount + 1;
    earlierAttempts = lastAttemptNo;
    session = createSession(replica.texts);
    if (replica.reason !== undefined || replica.texts.length >= request.maxTokens) {
      finish({ kind: 'finish', reason: replica.reason ?? 'length' });
      return;
    }
    const [effect] = session.start();
    if (effect?.kind !== 'start_attempt') throw new Error('a new session must start an attempt');
    const { attemptNo } = effect;
    const span = request.span.startChild('attach', { engine: engineId, attempt: attemptNo });
    const fromIndex = replica.texts.length;
    const handle = engines.attach(engineAddress, requestId, attemptNo, fromIndex, onAttemptEvent);
    const routedRequest = directory.onSent(engineId, toRouteRequest(replicaVersion));
    const endpoint = { engineId, address: engineAddress };
    attempts.add({
      attemptNo,
      engine: endpoint,
      handle,
      routedRequest,
      span,
      observer: observe(attemptNo, endpoint),
    });
    session.onEvent({ kind: 'attempt_sent', attemptNo }, clock.monotonicMs());
    replicate({ ...replica.metadata, attemptNo, takeoverCount });
  }

  function release(): void {
    if (end !== undefined) return;
    attempts.abandonAll();
    request.permit?.onEnd();
    end = {
      kind: 'error',
      error: createServeError('shutting_down', 'another router has taken over the stream'),
    };
    request.span.end('released');
    // Ends the connection of a caller that has reconnected to another router.
    reader?.onProgress();
  }

  return {
    request,
    journal: () => session.journal(),
    ended: () => end,
    start: () => apply(session.start()),
    takeOver,
    release,
    isRunningOn: (engineId) => attempts.engineIds().includes(engineId),
    lostRequest: () => ({ fingerprint, requestId, tokenCount: session.journal().length() }),
    attach: (next) => {
      reader = next;
      detachedSinceMs = undefined;
      const losses = deferredLosses;
      deferredLosses = [];
      losses.forEach((fn) => fn());
      next.onProgress();
    },
    detach: (gone) => {
      if (reader !== gone) return;
      reader = undefined;
      detachedSinceMs = clock.monotonicMs();
    },
    wakeAtMs: () => (end === undefined ? session.wakeAtMs() : undefined),
    wake: boundary.wrap(() => {
      if (end !== undefined || reader === undefined) return;
      apply(session.onEvent({ kind: 'tick' }, clock.monotonicMs()));
    }),
    detachedSinceMs: () => detachedSinceMs,
    abandon: () => {
      if (end !== undefined) return;
      finish({
        kind: 'error',
        error: createServeError(
          'request_timeout',
          'the caller did not reconnect within the reconnect window',
          'ran',
        ),
      });
    },
  };
}
