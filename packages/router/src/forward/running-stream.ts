import { assertNever, createEventSplitter, createForwardStream, urgencyOf } from '@mimosamill/core';
import { createWakeTimer } from '../call/async';
import { createErrorBoundary } from '../error-boundary';
import { admitStream } from './admission';
import { createStreamAttempt } from './attempt';
import { createStreamKvCopies } from './copies';
import { condemnedMessage } from './crash-guard';
import { noteDepartingSend } from './departing';
import { createStreamEngineChoice } from './engine-choice';
import { reportHandlingError } from './handling-error';
import { createStreamLossReport } from './loss-report';
import { withRoomTime } from './room';
import { classifyResponseHead } from './response-head';
import { isSameServerRunning } from './server-identity';
import { applyServerStatus } from './server-status';
import { createStreamLog } from './stream-log';
import { createStreamTiming } from './stream-timing';
import type { ExchangeFailure, ExchangeHandler, ResponseHead } from '@mimosamill/adapters';
import type {
  AttemptLoss,
  FailureDomain,
  ForwardStreamEffect,
  ForwardStreamEvent,
  KvCacheCopy,
  RouteName,
  ServeError,
  ServerFailure,
  ServerId,
  StreamTimes,
} from '@mimosamill/core';
import type { PlacedEngine, StreamAttempt } from './attempt';
import type { RequestContent } from './content';
import type { ForwardPorts, ForwardRequest } from './ports';

/** The response to the caller of a stream. */
export interface StreamSink {
  readonly writeHead: (head: ResponseHead) => void;
  readonly write: (bytes: Uint8Array) => void;
  readonly end: () => void;
  /** Passes on an error response of a server, with its whole body. */
  readonly sendErrorResponse: (head: ResponseHead, body: Uint8Array) => void;
  /** Sends an error of the router; closes the connection if the response has begun. */
  readonly fail: (error: ServeError) => void;
  /** Closes the connection of a response that has begun and cannot be completed. */
  readonly abort: (reason: string) => void;
}

export interface RunningForwardStream {
  /**
   * Makes the engine stop when the caller has disconnected ('abandoned') or the router stops ('cut').
   */
  readonly abandon: (outcome: 'abandoned' | 'cut') => void;
}

/** A stream that has not ended, as the other streams of the process see it. */
export interface ActiveStream {
  readonly route: RouteName;
  readonly receivedAtMs: number;
  readonly engineId: () => ServerId | undefined;
  readonly copyEngineId: () => ServerId | undefined;
  readonly content: RequestContent;
  readonly notify: (event: ForwardStreamEvent) => void;
}

/** State shared by all streams of the process. */
export interface StreamRegistry {
  readonly active: Set<ActiveStream>;
  readonly times: StreamTimes;
  readonly onDomainSuspected: (failureDomain: FailureDomain) => void;
  readonly onServerLost: (serverId: ServerId) => void;
}

const CONNECT_TIMEOUT_MS = 200;
/** An engine that goes on for so long after the first event of an answer has survived the request. */
const SURVIVAL_MS = 1_000;
/** Losses with which the connection of an attempt ends when its engine crashes. */
const BROKEN_LOSSES: ReadonlySet<AttemptLoss> = new Set(['reset', 'garbled']);

/** Forwards one stream; when its engine fails, resumes it on another one. */
export function forwardStream(
  ports: ForwardPorts,
  request: ForwardRequest,
  sink: StreamSink,
  registry: StreamRegistry,
): RunningForwardStream {
  const { active, times } = registry;
  const { clock, fleet } = ports;
  const { head, route, service, content } = request;
  const { requestId } = head;
  const attempts = new Map<number, StreamAttempt>();
  const refusedBy = new Set<ServerId>();
  /** The attempt whose response head the caller has. */
  let begun: StreamAttempt | undefined;
  let current: StreamAttempt | undefined;
  let isOver = false;
  let failoverCount = 0;
  /** An engine has survived the request, so that it may go on elsewhere whatever is condemned. */
  let hasSurvived = false;
  let cancelWait: (() => void) | undefined;
  const { promptTokens } = head;
  const copies = createStreamKvCopies(ports, request);
  const log = createStreamLog(ports, request);
  const timing = createStreamTiming(ports, request);
  const engineChoice = createStreamEngineChoice(ports, request, {
    currentAttempt: () => current,
    hasBegun: () => stream.hasBegun(),
  });
  const boundary = createErrorBoundary(
    (cause) => reportHandlingError(ports.decisions, { request: requestId }, cause),
    endAfterError,
  );
  const alarm = createWakeTimer(clock, boundary.wrap(onAlarm));
  /** Attempts whose connections broke, and of which it is not known yet whether they crashed their engines. */
  let judgedCount = 0;

  ports.outputSizes.onRequest(route.name, head);
  const budget = ports.retryBudgetOf(service.name);
  const losses = createStreamLossReport(ports, request, {
    budget,
    lastEventAtMs: timing.lastEventAtMs,
    onDomainSuspected: registry.onDomainSuspected,
    onServerLost: registry.onServerLost,
  });
  const stream = createForwardStream({
    startedAtMs: request.receivedAtMs,
    deadlineAtMs: request.deadlineAtMs,
    targetMs: route.targetMs,
    gapTargetMs: route.gapTargetMs,
    attemptsMax: route.attemptsMax,
    isResumable: route.isResumable,
    lastEventId: head.lastEventId,
    budget,
    canPlaceElsewhere: engineChoice.canPlaceElsewhere,
  });
  const entry: ActiveStream = {
    route: route.name,
    receivedAtMs: request.receivedAtMs,
    engineId: () => current?.engineId,
    copyEngineId: () => current?.kvCopy?.engineId,
    content,
    notify: boundary.wrap(dispatch),
  };

  /** Ends the stream without a success: what the core counts as delivered may not have been written. */
  function endAfterError(error: ServeError): void {
    sink.fail(error);
    if (!isOver) end('failed', error);
    attempts.forEach((attempt) => {
      if (!attempt.isOver) attempt.exchange?.cancel();
      closeAttempt(attempt);
    });
  }

  /** Silence is expected while a loss is being judged; to go on elsewhere might crash another engine. */
  function onAlarm(): void {
    if (judgedCount > 0 && clock.monotonicMs() < request.deadlineAtMs) {
      alarm.set(request.deadlineAtMs);
      return;
    }
    dispatch({ kind: 'tick' });
  }

  function dispatch(event: ForwardStreamEvent): void {
    if (isOver) return;
    const nowMs = clock.monotonicMs();
    stream.onEvent(event, nowMs).forEach(perform);
    alarm.set(isOver ? undefined : stream.wakeAtMs());
  }

  function perform(effect: ForwardStreamEffect): void {
    switch (effect.kind) {
      case 'send':
        send(effect);
        return;
      case 'cancel':
        cancel(effect.attemptNo, effect.loss);
        return;
      case 'hold':
        onHeld(effect.attemptNo);
        return;
      case 'copy':
        boundary.watch(makeCopy(effect.attemptNo, effect.existingCopy));
        return;
      case 'begin':
        beginResponse(effect.attemptNo);
        return;
      case 'deliver':
        sink.write(effect.event.bytes);
        return;
      case 'finish':
        end('complete');
        sink.end();
        return;
      case 'pass_failure':
        passErrorResponse(effect.attemptNo);
        return;
      case 'fail':
        end('failed', effect.error);
        if (stream.hasBegun()) sink.abort(effect.error.message);
        else sink.fail(withRoomTime(ports, request, effect.error));
        return;
      default:
        assertNever(effect);
    }
  }

  function beginResponse(attemptNo: number): void {
    const attempt = attempts.get(attemptNo);
    if (attempt?.head === undefined) throw new Error('a stream begins without a response head');
    begun = attempt;
    ports.metrics.onFirstEvent(clock.monotonicMs() - request.receivedAtMs, attempt.promptSize);
    sink.writeHead(attempt.head);
  }

  function passErrorResponse(attemptNo: number): void {
    const attempt = attempts.get(attemptNo);
    end('server_failure');
    if (attempt?.head === undefined) throw new Error('there is no error response to pass on');
    sink.sendErrorResponse(attempt.head, attempt.errorBody.bytes());
  }

  function end(outcome: string, error?: ServeError): void {
    isOver = true;
    active.delete(entry);
    cancelWait?.();
    alarm.set(undefined);
    const tookMs = clock.monotonicMs() - request.receivedAtMs;
    ports.metrics.onAnswer('stream', outcome, tookMs);
    if (outcome === 'complete') {
      times.onCompleted(route.name, tookMs, clock.monotonicMs());
      timing.recordDuration(failoverCount);
    }
    const engineId = current?.engineId;
    log.onEnd({ outcome, tookMs, failoverCount, attemptCount: attempts.size, engineId, error });
  }

  function send(effect: Extract<ForwardStreamEffect, { kind: 'send' }>): void {
    const nowMs = clock.monotonicMs();
    const condemnation = hasSurvived ? undefined : ports.crashGuard.findCondemned(content);
    if (condemnation !== undefined) {
      reportUnplaced(effect.attemptNo, 'condemned', condemnedMessage(condemnation));
      return;
    }
    const wanted = { ...effect, isFailover: effect.cause !== 'first' };
    const choice = engineChoice.choose(wanted, nowMs);
    if (choice.kind === 'none') {
      reportUnplaced(effect.attemptNo, choice.reason, choice.message);
      return;
    }
    if (effect.cause === 'first' && !isAdmitted(effect, choice.placed, nowMs)) return;
    ports.metrics.onSend('stream', effect.cause);
    log.onPlaced(effect, choice.placed, timing.lastEventAtMs(), nowMs);
    if (effect.cause !== 'first') failoverCount += 1;
    openAttempt(effect, choice.placed, nowMs);
  }

  /** Sends the stream later, or refuses it, unless it is admitted now. */
  function isAdmitted(
    effect: Extract<ForwardStreamEffect, { kind: 'send' }>,
    placed: PlacedEngine,
    nowMs: number,
  ): boolean {
    const admission = admitStream(ports, request, placed, times.meanMs(route.name), nowMs);
    switch (admission.kind) {
      case 'send':
        return true;
      case 'wait':
        cancelWait = clock.runAfter(
          admission.waitMs,
          boundary.wrap(() => {
            if (isOver) return;
            send(effect);
            alarm.set(isOver ? undefined : stream.wakeAtMs());
          }),
        );
        return false;
      case 'refuse':
        dispatchLater({
          kind: 'not_admitted',
          attemptNo: effect.attemptNo,
          message: admission.message,
          retryAfterMs: admission.retryAfterMs,
        });
        return false;
      default:
        return assertNever(admission);
    }
  }

  function reportUnplaced(
    attemptNo: number,
    reason: 'no_engine' | 'no_time' | 'condemned',
    message: string,
  ): void {
    dispatchLater({ kind: 'unplaced', attemptNo, reason, message });
  }

  /** Defers an event until the current effects are performed: the core takes one event at a time. */
  function dispatchLater(event: ForwardStreamEvent): void {
    queueMicrotask(boundary.wrap(() => dispatch(event)));
  }

  function openAttempt(
    effect: Extract<ForwardStreamEffect, { kind: 'send' }>,
    placed: PlacedEngine,
    nowMs: number,
  ): void {
    const isFromCopy = effect.resumeFrom !== undefined;
    const engine = fleet.get(placed.engineId);
    const copyHolder =
      placed.copyEngineId === undefined ? undefined : fleet.get(placed.copyEngineId);
    if (engine === undefined) {
      reportUnplaced(effect.attemptNo, 'no_engine', 'the chosen engine is no longer listed');
      return;
    }
    const attempt = createStreamAttempt(
      effect.attemptNo,
      requestId,
      engine,
      copyHolder,
      isFromCopy,
      effect.lastEventId === undefined,
      engineChoice.memoryTokensOf(isFromCopy),
      placed,
      ports.versionMoves.trackAttempt(placed.engineId, 'answer'),
      ports.responseBuffers.open('event'),
      nowMs,
    );
    attempts.set(effect.attemptNo, attempt);
    current = attempt;
    const { expectedFirstEventMs } = placed;
    stream.onEvent(
      {
        kind: 'placed',
        attemptNo: effect.attemptNo,
        placed: {
          engineId: placed.engineId,
          copy: attempt.kvCopy,
          expectedFirstEventMs,
        },
      },
      nowMs,
    );
    const prefillTokens = isFromCopy ? 0 : promptTokens;
    fleet.onSent(placed.engineId, requestId, prefillTokens, nowMs, attempt.memoryTokens);
    fleet.limits.onSent(placed.engineId, nowMs);
    if (copyHolder !== undefined) fleet.onCopy(copyHolder.server.serverId, promptTokens, 1);
    ports.stateBroadcast.sendSoon();
    const connectTimeoutMs = ports.connections.timeoutMs(CONNECT_TIMEOUT_MS);
    attempt.cancelConnectTimeout = clock.runAfter(
      connectTimeoutMs,
      boundary.wrap(() => {
        attempt.exchange?.cancel();
        const isOwnTrouble = ports.connections.onTimeout(engine.server);
        failAttempt(attempt, 'not_sent', isOwnTrouble ? undefined : 'refused');
      }),
    );
    attempt.exchange = ports.upstream.send(
      {
        address: engine.server.address,
        method: head.method,
        path: head.path,
        headers: ports.codec.toServerHeaders(request.rawHeaders, {
          requestId,
          budgetMs: request.deadlineAtMs - nowMs,
          serverId: placed.engineId,
          customerId: request.customerId,
          lastEventId: effect.lastEventId,
          kvCopyAddress: copyHolder?.server.address,
          resumeFrom: effect.resumeFrom,
          urgency: urgencyOf({
            priorityClass: ports.servesUrgentFirst() ? request.admission?.priorityClass : undefined,
            hasBegun: stream.hasBegun(),
            isResumed: head.lastEventId !== undefined,
          }),
        }),
        body: request.body,
        confirmEnd: () => isSameServerRunning(ports, engine.server, service, requestId),
      },
      createHandler(attempt),
    );
  }

  function createHandler(attempt: StreamAttempt): ExchangeHandler {
    const splitter = createEventSplitter();
    return {
      onSent: boundary.wrap(() => {
        attempt.cancelConnectTimeout();
        ports.connections.onWriting(attempt.engine, attempt.sentAtMs);
        noteDepartingSend(ports, requestId, attempt.attemptNo, attempt.engineId);
      }),
      onHead: boundary.wrap((responseHead: ResponseHead) => onHead(attempt, responseHead)),
      onData: boundary.wrap((bytes: Uint8Array) => {
        if (attempt.isOver) return;
        if (attempt.isErrorResponse) {
          collectErrorBody(attempt, bytes);
          return;
        }
        const events = splitter.push(bytes);
        const isHeld = attempt.buffer.hold(splitter.heldBytes());
        if (events === undefined || !isHeld) {
          attempt.exchange?.cancel();
          const message = isHeld ? undefined : 'the router holds too many bytes of responses';
          // Lack of room here says nothing about the engine.
          failAttempt(attempt, 'garbled', isHeld ? 'reset' : undefined, message);
          return;
        }
        if (events.length > 0) onEvents(attempt, events);
      }),
      onEnd: boundary.wrap(() => {
        if (attempt.isOver) return;
        if (attempt.isErrorResponse) {
          failAttempt(attempt, 'failed', undefined);
          return;
        }
        if (attempt.head === undefined || splitter.pendingBytes() > 0) {
          failAttempt(attempt, 'garbled', 'reset');
          return;
        }
        if (!attempt.hasEvents && attempt.head.framing === 'connection') {
          failAttempt(attempt, 'reset', 'reset', 'the connection ended without an event');
          return;
        }
        // The rest of a stream may be too short for its engine to crash on it.
        if (attempt.isFromStart) onSurvived(attempt);
        closeAttempt(attempt);
        copies.release(attempt);
        dispatch({ kind: 'end', attemptNo: attempt.attemptNo });
      }),
      onFailure: boundary.wrap((failure: ExchangeFailure, message: string) => {
        if (failure === 'not_sent') failAttempt(attempt, 'not_sent', 'refused', message);
        else failAttempt(attempt, 'reset', 'reset', message);
      }),
    };
  }

  function onHead(attempt: StreamAttempt, responseHead: ResponseHead): void {
    if (attempt.isOver) return;
    const nowMs = clock.monotonicMs();
    const metadata = ports.codec.parseResponse(responseHead);
    const received = {
      requestId,
      head: responseHead,
      metadata,
      isResumedFromCopy: attempt.isResumedFromCopy,
      begun: begun?.head,
    };
    const meaning = classifyResponseHead(received);
    if (meaning.kind === 'other_request') {
      failUnreadable(attempt, meaning.message);
      return;
    }
    applyServerStatus(ports, attempt.engine, requestId, metadata);
    if (meaning.kind === 'misdirected') {
      failAttempt(attempt, 'misdirected', 'misdirected');
      return;
    }
    fleet.onBytesReceived(attempt.engineId, nowMs);
    if (metadata.wasNotRun) onRefusal(attempt);
    switch (meaning.kind) {
      case 'no_copy':
      case 'rejected':
        failAttempt(attempt, meaning.kind, undefined);
        return;
      case 'garbled':
        failUnreadable(attempt, meaning.message);
        return;
      case 'answer':
        attempt.head = responseHead;
        attempt.isErrorResponse = meaning.isError;
        return;
      default:
        assertNever(meaning);
    }
  }

  /** Gives up a response that can't be used; it does not count as a failure of the engine. */
  function failUnreadable(attempt: StreamAttempt, message: string): void {
    attempt.exchange?.cancel();
    failAttempt(attempt, 'garbled', undefined, message);
  }

  /** A second refusal may be the first one, written once more while the engine runs the request. */
  function onRefusal(attempt: StreamAttempt): void {
    if (refusedBy.has(attempt.engineId)) attempt.exchange?.cancel();
    refusedBy.add(attempt.engineId);
  }

  function collectErrorBody(attempt: StreamAttempt, bytes: Uint8Array): void {
    const { errorBody, buffer } = attempt;
    if (errorBody.fits(bytes.length) && buffer.hold(errorBody.capacityWith(bytes.length))) {
      errorBody.add(bytes);
      return;
    }
    attempt.exchange?.cancel();
    failAttempt(attempt, 'garbled', 'reset');
  }

  function onEvents(
    attempt: StreamAttempt,
    events: Extract<ForwardStreamEvent, { kind: 'events' }>['events'],
  ): void {
    const nowMs = clock.monotonicMs();
    fleet.onBytesReceived(attempt.engineId, nowMs);
    ports.connections.onReceived(attempt.engine);
    if (!attempt.hasEvents) {
      attempt.hasEvents = true;
      attempt.firstEventAtMs = nowMs;
      timing.startPacePhase(attempt);
      fleet.onFirstEvent(attempt.engineId, requestId, nowMs);
      ports.stateBroadcast.sendWithNext();
      if (attempt.isOnlyPrefill && !attempt.isResumedFromCopy) {
        const { engineId, wasEngineIdle } = attempt;
        const engine = { engineId, wasIdle: wasEngineIdle, nowMs };
        ports.placer.onPrefill(promptTokens, nowMs - attempt.sentAtMs, engine);
      }
      const lastEventAtMs = timing.lastEventAtMs();
      if (lastEventAtMs !== undefined) onResumed(attempt, nowMs - lastEventAtMs, nowMs);
    }
    if (nowMs - (attempt.firstEventAtMs ?? nowMs) >= SURVIVAL_MS) onSurvived(attempt);
    timing.onEvents(attempt, events.length, nowMs);
    dispatch({ kind: 'events', attemptNo: attempt.attemptNo, events });
  }

  /** An engine that crashes on a request may have sent the first events of its answer. */
  function onSurvived(attempt: StreamAttempt): void {
    if (attempt.hasSurvived) return;
    attempt.hasSurvived = true;
    hasSurvived = true;
    ports.crashGuard.onAnswered(content);
  }

  function onResumed(attempt: StreamAttempt, gapMs: number, nowMs: number): void {
    ports.metrics.onResumeGap(gapMs);
    log.onResumed(attempt, gapMs, nowMs);
  }

  async function makeCopy(attemptNo: number, existingCopy: KvCacheCopy | undefined): Promise<void> {
    const attempt = attempts.get(attemptNo);
    const copy = attempt === undefined ? undefined : await copies.create(attempt, existingCopy);
    if (isOver || attempt?.isOver === true) return;
    if (copy === undefined) dispatch({ kind: 'not_copied', attemptNo });
    else dispatch({ kind: 'copied', attemptNo, copy });
  }

  /** Removes an attempt from the load accounting. */
  function closeAttempt(attempt: StreamAttempt): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    attempt.buffer.release();
    attempt.timer.onCancelled();
    attempt.cancelConnectTimeout();
    fleet.onEnd(attempt.engineId, requestId, attempt.memoryTokens);
    if (attempt.kvCopy !== undefined) fleet.onCopy(attempt.kvCopy.engineId, promptTokens, -1);
    ports.stateBroadcast.sendWithNext();
  }

  function cancel(attemptNo: number, loss: 'silent' | 'garbled' | undefined): void {
    const attempt = attempts.get(attemptNo);
    if (attempt === undefined || attempt.isOver) return;
    attempt.exchange?.cancel();
    const nowMs = clock.monotonicMs();
    if (loss === 'silent') {
      attempt.timer.onGivenUp();
      losses.onSilence(attempt, nowMs);
    } else if (loss === 'garbled') losses.onFailure(attempt, 'reset', nowMs, loss);
    closeAttempt(attempt);
  }

  function onHeld(attemptNo: number): void {
    const attempt = attempts.get(attemptNo);
    if (attempt === undefined || attempt.isOver) return;
    losses.onHeld(attempt);
  }

  function failAttempt(
    attempt: StreamAttempt,
    loss: AttemptLoss,
    failure: ServerFailure | undefined,
    message?: string,
  ): void {
    if (attempt.isOver) return;
    const nowMs = clock.monotonicMs();
    if (loss === 'failed' || loss === 'garbled') attempt.timer.onAnswered(true);
    closeAttempt(attempt);
    if (failure !== undefined) losses.onFailure(attempt, failure, nowMs, loss, message);
    else ports.metrics.onLoss(loss);
    const lost: ForwardStreamEvent = { kind: 'lost', attemptNo: attempt.attemptNo, loss };
    if (attempt.hasSurvived || !BROKEN_LOSSES.has(loss)) dispatch(lost);
    else boundary.watch(judgeLoss(attempt, lost));
  }

  /** The next engine is chosen once it is known whether the stream crashed this one. */
  async function judgeLoss(attempt: StreamAttempt, lost: ForwardStreamEvent): Promise<void> {
    judgedCount += 1;
    await losses.onBroken(attempt).finally(() => {
      judgedCount -= 1;
    });
    dispatch(lost);
  }

  const start = boundary.wrap(() => {
    stream.start().forEach(perform);
    alarm.set(stream.wakeAtMs());
  });

  active.add(entry);
  start();
  return {
    abandon: boundary.wrap((outcome: 'abandoned' | 'cut') => {
      if (isOver) return;
      isOver = true;
      if (current !== undefined) cancel(current.attemptNo, undefined);
      end(outcome);
    }),
  };
}
