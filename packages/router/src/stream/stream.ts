import { assertNever, createServeError, createStreamSession } from '@mimosamill/core';
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
  /** Goes on with what another router left. */
  readonly takeOver: (left: HeldReplica, haveTokens: number) => void;
  /** Another router serves the stream now; nothing is cancelled at the engine. */
  readonly release: () => void;
  readonly isRunningOn: (engineId: EngineId) => boolean;
  readonly lostRequest: () => LostRequest;
  /** Connects the caller; an earlier connection is dropped. */
  readonly attach: (reader: StreamReader) => void;
  readonly detach: (reader: StreamReader) => void;
  readonly wakeAtMs: () => number | undefined;
  readonly wake: () => void;
  readonly detachedSinceMs: () => number | undefined;
  /** Ends the stream because its caller will not come back. */
  readonly abandon: () => void;
}

const MAX_ATTEMPTS = 12;
/** Allowed wait for a first token; beyond it another engine is tried as well. */
const FIRST_TOKEN_TIMEOUT_MS = 2_000;
/** Three waits of this length after the longest silence stay within the 3 s bound on a resume. */
const RESUME_FIRST_TOKEN_TIMEOUT_MS = 650;
const PLACEMENT_RETRY_MS = 25;
/** With no engine for this long the stream fails; output must go on within 3 s of a loss. */
const PLACEMENT_TIMEOUT_MS = 2_500;

export function createRunningStream(
  ports: StreamPorts,
  resumes: ResumeScheduler,
  counters: StreamMetrics,
  request: StreamRequest,
): RunningStream {
  const { clock, directory, engines, replicas, suspects, versions } = ports;
  const { requestId, service } = request;
  const fingerprint: Fingerprint = ports.fingerprintOf(
    `${service.model}\n${request.adapter}\n${request.seed}\n${request.maxTokens}\n${request.prompt}`,
  );
  const promptTokens = request.prompt.split(/\s+/u).length;
  const attempts = createAttempts(ports, requestId);
  /** Engines that were lost or refused this request; tried again only if no other is left. */
  const avoided = new Set<EngineId>();
  /** Losses while no caller is connected; nothing is generated for a caller who is gone. */
  let deferred: (() => void)[] = [];
  let version: VersionName | undefined;
  /** Versions that failed this request before its first token, or that no engine has. */
  const failedVersions = new Set<VersionName>();
  let group: VersionGroup = 'other';
  /** No engine of the group is left, so those reserved for other groups may be used. */
  let mayUseReserved = false;
  /** Routers that served the stream before this one. */
  let takeoverCount = 0;
  let hasReplica = false;
  let earlierAttempts = 0;
  let session = createSessionAfter([]);
  let reader: StreamReader | undefined;
  let detachedSinceMs: number | undefined = clock.monotonicMs();
  let end: StreamEnd | undefined;
  let lossAtMs: number | undefined;
  /** Tokens that the caller already has. A new attempt before them could generate others. */
  let callerTokens = 0;

  function createSessionAfter(known: readonly string[]): StreamSession {
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
          noteResumed();
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
    const untilMs = clock.monotonicMs() + PLACEMENT_TIMEOUT_MS;
    if (cause === 'first') {
      place(attemptNo, untilMs);
      return;
    }
    lossAtMs ??= clock.monotonicMs();
    counters.onResumeStarted(cause);
    resumes.schedule(requestId, lossAtMs, () => place(attemptNo, untilMs));
  }

  function noteResumed(): void {
    if (lossAtMs === undefined) return;
    resumes.onEnded(requestId);
    counters.onResumeCompleted(clock.monotonicMs() - lossAtMs);
    lossAtMs = undefined;
  }

  function finish(outcome: StreamEnd): void {
    end = outcome;
    request.permit?.onEnd();
    resumes.onEnded(requestId);
    attempts.cancelAll();
    const failure = outcome.kind === 'error' ? outcome.error.code : undefined;
    counters.onEnd(failure ?? 'ok');
    request.span.setAttributes({
      tokens: session.journal().length(),
      attempts: session.attemptCount(),
    });
    request.span.end(failure);
    suspects.onEnd(fingerprint, requestId, outcome.kind === 'finish' ? 'finished' : 'given_up');
    replicas.onEnd(requestId, outcome.kind === 'finish' ? outcome.reason : undefined);
  }

  function place(attemptNo: AttemptNo, untilMs: number): void {
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
        clock.runAfter(admission.delayMs, () => place(attemptNo, untilMs + admission.delayMs));
        break;
      case 'run':
        placeNow(attemptNo, untilMs);
        break;
      default:
        assertNever(admission);
    }
  }

  function placeNow(attemptNo: AttemptNo, untilMs: number): void {
    const chosen = version ?? chooseVersion();
    if (chosen === undefined) {
      failAttempt(attemptNo, noEngineError('no_version', runState()));
      return;
    }
    const routeRequest = toRouteRequest(chosen);
    const found = directory.pick(routeRequest);
    if (found.kind === 'ok') {
      startAttempt(attemptNo, found, routeRequest, chosen);
      return;
    }
    if (found.reason === 'all_excluded') relaxExclusions();
    if (found.reason === 'no_version') giveUpVersion();
    if (clock.monotonicMs() >= untilMs) {
      failAttempt(attemptNo, noEngineError(found.reason, runState()));
      return;
    }
    clock.runAfter(PLACEMENT_RETRY_MS, () => {
      if (lossAtMs === undefined) place(attemptNo, untilMs);
      else resumes.schedule(requestId, lossAtMs, () => place(attemptNo, untilMs));
    });
  }

  /**
   * Full engines have room again within a first token's time; only when no engine is full are the
   * reserved ones used, and then those that this request has lost.
   */
  function relaxExclusions(): void {
    if (lossAtMs !== undefined && resumes.fullEngines().size > 0) return;
    if (mayUseReserved) avoided.clear();
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
   * Lets the request start on another version, as long as nothing has been generated and no
   * attempt is left that could still deliver the first token.
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

  function toRouteRequest(chosen: VersionName): RouteRequest {
    const known = directory.enginesOf(service.name);
    const full = lossAtMs === undefined ? [] : resumes.fullEngines();
    const apart = suspects.enginesToAvoid(fingerprint, known);
    const reserved = mayUseReserved
      ? []
      : versions.enginesToAvoid(service, group, known, meanLoadOf(known));
    return {
      model: service.model,
      version: chosen,
      adapter: request.adapter,
      priority: request.priority,
      promptTokens: promptTokens + session.journal().length(),
      blockKeys: ports.blockKeysOf(request.prompt),
      excluded: new Set([...avoided, ...attempts.engineIds(), ...apart, ...reserved, ...full]),
    };
  }

  function startAttempt(
    attemptNo: AttemptNo,
    where: EngineEndpoint,
    routeRequest: RouteRequest,
    chosen: VersionName,
  ): void {
    const span = request.span.startChild('attempt', { engine: where.engineId, attempt: attemptNo });
    const texts = session.journal().texts();
    const handle = engines.generate(
      where.address,
      {
        requestId,
        attemptNo,
        model: service.model,
        version: chosen,
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
    const routedRequest = directory.onSent(where.engineId, routeRequest);
    attempts.add({
      attemptNo,
      engine: where,
      handle,
      routedRequest,
      span,
      observer: observe(attemptNo, where),
    });
    session.onEvent({ kind: 'attempt_sent', attemptNo }, clock.monotonicMs());
    suspects.onPlaced(fingerprint, where.engineId);
    if (lossAtMs !== undefined) resumes.onStarted(requestId, where.engineId);
    replicate({
      requestId,
      bodyHash: request.bodyHash,
      engineId: where.engineId,
      engineAddress: where.address,
      version: chosen,
      attemptNo,
      takeoverCount,
    });
  }

  function replicate(start: ReplicaMetadata): void {
    if (hasReplica) replicas.onAttempt(start);
    else replicas.onStart(start, session.journal().texts());
    hasReplica = true;
  }

  function observe(attemptNo: AttemptNo, where: EngineEndpoint): AttemptObserver {
    return versions.onAttempt({
      service: service.name,
      version: version ?? service.stableVersion,
      attemptNo,
      route: request.adapter,
      group,
      controlLoadRatio: controlLoadRatio(),
      engineId: where.engineId,
    });
  }

  function meanLoadOf(some: readonly KnownEngine[]): number {
    if (some.length === 0) return 0;
    const sum = some.reduce((total, { engineId }) => total + directory.loadRatioOf(engineId), 0);
    return sum / some.length;
  }

  function controlLoadRatio(): number {
    const known = directory.enginesOf(service.name);
    const others = versions.enginesToAvoid(service, 'control', known, meanLoadOf(known));
    return meanLoadOf(known.filter(({ engineId }) => !others.has(engineId)));
  }

  function onAttemptEvent(event: AttemptEvent): void {
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
  }

  function onToken(event: Extract<AttemptEvent, { kind: 'token' }>): void {
    attempts.onToken(event.attemptNo);
    apply(session.onEvent(event, clock.monotonicMs()));
  }

  function onFinish(attemptNo: AttemptNo, reason: FinishReason): void {
    attempts.close(attemptNo, 'ok');
    apply(session.onEvent({ kind: 'finish', attemptNo, reason }, clock.monotonicMs()));
  }

  function onLost(attemptNo: AttemptNo, cause: 'connect_failed' | 'reset' | 'ended_early'): void {
    const where = attempts.engineOf(attemptNo);
    if (where === undefined) return;
    avoided.add(where.engineId);
    // A request that never reached the engine is no suspect, even if the engine is down.
    if (cause === 'connect_failed') attempts.closeAsNotRun(attemptNo, 'failed');
    // Whether the engine died decides if its requests are suspects, so it is settled first.
    void directory.confirmDown(where.engineId).then((isDown) => {
      attempts.close(attemptNo, 'failed', isDown ? 'lost' : 'failed');
      giveUpVersion();
      whileConnected(() => loseAttempt(attemptNo, cause));
    });
  }

  function onRefused(
    attemptNo: AttemptNo,
    cause: Extract<AttemptEvent, { kind: 'refused' }>['cause'],
  ): void {
    const where = attempts.engineOf(attemptNo);
    if (where === undefined) return;
    avoided.add(where.engineId);
    if (cause === 'overloaded') request.permit?.onOverloaded();
    if (cause === 'leaving') directory.onLeaving(where.engineId);
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

  /** Runs now, or once a caller is connected again. */
  function whileConnected(fn: () => void): void {
    if (reader !== undefined) fn();
    else deferred.push(fn);
  }

  function takeOver(left: HeldReplica, haveTokens: number): void {
    const { engineId, engineAddress, version: leftVersion, attemptNo: leftNo } = left.metadata;
    version = leftVersion;
    callerTokens = haveTokens;
    takeoverCount = left.metadata.takeoverCount + 1;
    earlierAttempts = leftNo;
    session = createSessionAfter(left.texts);
    if (left.reason !== undefined || left.texts.length >= request.maxTokens) {
      finish({ kind: 'finish', reason: left.reason ?? 'length' });
      return;
    }
    const [effect] = session.start();
    if (effect?.kind !== 'start_attempt') throw new Error('a new session must start an attempt');
    const { attemptNo } = effect;
    const span = request.span.startChild('attach', { engine: engineId, attempt: attemptNo });
    const fromIndex = left.texts.length;
    const handle = engines.attach(engineAddress, requestId, attemptNo, fromIndex, onAttemptEvent);
    const send = directory.onSent(engineId, toRouteRequest(leftVersion));
    const where = { engineId, address: engineAddress };
    attempts.add({
      attemptNo,
      engine: where,
      handle,
      routedRequest: send,
      span,
      observer: observe(attemptNo, where),
    });
    session.onEvent({ kind: 'attempt_sent', attemptNo }, clock.monotonicMs());
    replicate({ ...left.metadata, attemptNo, takeoverCount });
  }

  function release(): void {
    if (end !== undefined) return;
    attempts.abandonAll();
    request.permit?.onEnd();
    end = { kind: 'error', error: createServeError('shutting_down', 'another router serves it') };
    request.span.end('released');
    // Ends the connection of a caller that has come back elsewhere.
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
      const waiting = deferred;
      deferred = [];
      waiting.forEach((fn) => fn());
      next.onProgress();
    },
    detach: (gone) => {
      if (reader !== gone) return;
      reader = undefined;
      detachedSinceMs = clock.monotonicMs();
    },
    wakeAtMs: () => (end === undefined ? session.wakeAtMs() : undefined),
    wake: () => {
      if (end !== undefined || reader === undefined) return;
      apply(session.onEvent({ kind: 'tick' }, clock.monotonicMs()));
    },
    detachedSinceMs: () => detachedSinceMs,
    abandon: () => {
      if (end !== undefined) return;
      finish({
        kind: 'error',
        error: createServeError('request_timeout', 'the caller left', 'ran'),
      });
    },
  };
}
