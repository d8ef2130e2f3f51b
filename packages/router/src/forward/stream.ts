import { assertNever, createEventSplitter, createForwardStream } from '@mimosamill/core';
import { createWakeTimer } from '../call/async';
import { createStreamAttempt } from './attempt';
import { createStreamKvCopies } from './copies';
import { isSuccessStatus } from './status';
import type { IncomingHttpHeaders } from 'node:http';
import type {
  AttemptLoss,
  FailureDomain,
  ForwardStreamEffect,
  ForwardStreamEvent,
  KvCacheCopy,
  ServeError,
  ServerState,
  ServerFailure,
  ServerId,
  StreamPlacement,
} from '@mimosamill/core';
import type { StreamAttempt } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** Where a stream's answer goes. */
export interface StreamSink {
  readonly writeHead: (status: number, headers: IncomingHttpHeaders) => void;
  readonly write: (bytes: Uint8Array) => void;
  readonly end: () => void;
  /** A server's own failure, as a whole. */
  readonly sendErrorResponse: (
    status: number,
    headers: IncomingHttpHeaders,
    body: Uint8Array,
  ) => void;
  /** An error before the answer has begun. */
  readonly fail: (error: ServeError) => void;
  /** The answer has begun and cannot be finished: its connection is closed. */
  readonly abort: (reason: string) => void;
}

export interface RunningForwardStream {
  /** The caller left: the engine is told to stop. */
  readonly abandon: () => void;
}

/** Forwards streams, and carries each to its end over engines that fail. */
export interface StreamForwarder {
  readonly forward: (request: ForwardRequest, sink: StreamSink) => RunningForwardStream;
  /** Many engines of a failure domain were lost together. */
  readonly onDomainSuspected: (failureDomain: FailureDomain) => void;
  /** An engine was lost, or started anew. */
  readonly onServerLost: (serverId: ServerId) => void;
  readonly activeCount: () => number;
  /** Mean time of a stream from its request to its end. */
  readonly meanDurationMs: () => number;
}

interface ActiveStream {
  readonly engineId: () => ServerId | undefined;
  readonly copyEngineId: () => ServerId | undefined;
  readonly notify: (event: ForwardStreamEvent) => void;
}

/** A failure's body is passed on up to this size. */
const ERROR_BODY_MAX_BYTES = 65_536;
/** A part of a prompt may be in the engine's memory already. */
const PREFILL_TIME_MIN_RATIO = 0.8;
const CONNECT_TIMEOUT_MS = 200;
/** Mean time of streams until some have ended. */
const INITIAL_MEAN_DURATION_MS = 5_000;
const MEAN_SMOOTHING_RATIO = 0.1;

export function createStreamForwarder(ports: ForwardPorts): StreamForwarder {
  const active = new Set<ActiveStream>();
  let meanMs = INITIAL_MEAN_DURATION_MS;

  function onComplete(tookMs: number): void {
    meanMs += MEAN_SMOOTHING_RATIO * (tookMs - meanMs);
  }

  function onDomainSuspected(failureDomain: FailureDomain): void {
    const nowMs = ports.clock.monotonicMs();
    doubtThose((belief) => {
      const isThere = belief.server.failureDomain === failureDomain;
      return isThere && ports.fleet.isSuspected(belief, nowMs);
    });
  }

  function doubtThose(isMeant: (belief: ServerState) => boolean): void {
    const nowMs = ports.clock.monotonicMs();
    [...active].forEach((stream) => {
      const engineId = stream.engineId();
      const belief = engineId === undefined ? undefined : ports.fleet.get(engineId);
      if (belief === undefined || !isMeant(belief)) return;
      if (ports.fleet.hasSpareCapacity(belief.server.service, nowMs))
        stream.notify({ kind: 'engine_suspected' });
    });
  }

  function onServerLost(serverId: ServerId): void {
    doubtThose(({ server }) => server.serverId === serverId);
    [...active].forEach((stream) => {
      if (stream.copyEngineId() === serverId)
        stream.notify({ kind: 'copy_lost', engineId: serverId });
    });
  }

  return {
    onServerLost,
    forward: (request, sink) =>
      forwardStream(ports, request, sink, { active, onDomainSuspected, onServerLost, onComplete }),
    onDomainSuspected,
    activeCount: () => active.size,
    meanDurationMs: () => meanMs,
  };
}

/** What a stream shares with the others of the process. */
interface StreamRegistry {
  readonly active: Set<ActiveStream>;
  readonly onDomainSuspected: (failureDomain: FailureDomain) => void;
  readonly onServerLost: (serverId: ServerId) => void;
  readonly onComplete: (tookMs: number) => void;
}

type PlacedEngine = Extract<StreamPlacement, { kind: 'ok' }>;

function forwardStream(
  ports: ForwardPorts,
  request: ForwardRequest,
  sink: StreamSink,
  all: StreamRegistry,
): RunningForwardStream {
  const { active, onDomainSuspected, onServerLost, onComplete } = all;
  const { clock, fleet, decisions } = ports;
  const { head, route, service } = request;
  const { requestId } = head;
  const attempts = new Map<number, StreamAttempt>();
  let current: StreamAttempt | undefined;
  let isOver = false;
  let firstEventAtMs: number | undefined;
  let lastEventAtMs: number | undefined;
  let eventCount = 0;
  let moves = 0;
  const tokens = head.promptTokens;
  const copies = createStreamKvCopies(ports, request);
  const alarm = createWakeTimer(clock, () => notify({ kind: 'tick' }));

  const stream = createForwardStream({
    startedAtMs: request.receivedAtMs,
    deadlineAtMs: request.deadlineAtMs,
    targetMs: route.targetMs,
    gapTargetMs: route.gapTargetMs,
    attemptsMax: route.attemptsMax,
    isResumable: route.isResumable,
    lastEventId: head.lastEventId,
    budget: ports.retryBudgetOf(service.name),
  });
  const entry: ActiveStream = {
    engineId: () => current?.engineId,
    copyEngineId: () => current?.kvCopy?.engineId,
    notify,
  };

  function notify(event: ForwardStreamEvent): void {
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
      case 'copy':
        void makeCopy(effect.attemptNo, effect.existingCopy);
        return;
      case 'begin':
        onBegin(effect.attemptNo);
        return;
      case 'deliver':
        sink.write(effect.event.bytes);
        return;
      case 'finish':
        end('complete');
        sink.end();
        return;
      case 'pass_failure':
        onPassFailure(effect.attemptNo);
        return;
      case 'fail':
        end('failed', effect.error);
        if (stream.hasBegun()) sink.abort(effect.error.message);
        else sink.fail(effect.error);
        return;
      default:
        assertNever(effect);
    }
  }

  function onBegin(attemptNo: number): void {
    const attempt = attempts.get(attemptNo);
    if (attempt === undefined) return;
    ports.metrics.onFirstEvent(clock.monotonicMs() - request.receivedAtMs);
    sink.writeHead(attempt.status, attempt.headers);
  }

  function onPassFailure(attemptNo: number): void {
    const attempt = attempts.get(attemptNo);
    end('server_failure');
    if (attempt === undefined) return;
    sink.sendErrorResponse(attempt.status, attempt.headers, Buffer.concat(attempt.errorBody));
  }

  function end(outcome: string, error?: ServeError): void {
    isOver = true;
    active.delete(entry);
    alarm.set(undefined);
    const tookMs = clock.monotonicMs() - request.receivedAtMs;
    ports.metrics.onAnswer('stream', outcome, tookMs);
    const fields = {
      request: requestId,
      route: route.name,
      outcome,
      took_ms: Math.round(tookMs),
      moves,
      attempts: attempts.size,
      engine: current?.engineId,
      reason: error?.message,
      run: error?.runState,
    };
    if (outcome === 'complete') {
      onComplete(tookMs);
      noteDuration();
      decisions.routine('stream.end', fields);
    } else decisions.notable('stream.end', fields);
  }

  /** Learns from streams that one engine carried from the first event to the last. */
  function noteDuration(): void {
    if (moves > 0 || head.lastEventId !== undefined) return;
    if (firstEventAtMs === undefined || lastEventAtMs === undefined) return;
    const tookMs = lastEventAtMs - firstEventAtMs;
    ports.streamDurations.onCompleted(route.name, { events: eventCount, tookMs });
  }

  function send(effect: Extract<ForwardStreamEffect, { kind: 'send' }>): void {
    const nowMs = clock.monotonicMs();
    const capacity = service.engine;
    if (capacity === undefined) {
      unplaced(effect.attemptNo, 'no_engine', 'the service has no engines');
      return;
    }
    const input = {
      service: service.name,
      capacity,
      promptTokens: tokens,
      isFailover: effect.cause !== 'first',
      excluded: new Set([
        ...effect.excluded,
        ...ports.versionMoves.excludedServers(service.name, ports.random()),
      ]),
    };
    const placement = ports.placer.placeStream(
      effect.resumeFrom === undefined
        ? input
        : { ...input, fixedEngineId: effect.resumeFrom.engineId },
      nowMs,
      ports.random,
    );
    if (placement.kind === 'none') {
      const message = `no engine can take the stream: ${placement.reason}`;
      unplaced(effect.attemptNo, 'no_engine', message);
      return;
    }
    const lackingMs = lackingTimeMs(effect, placement, nowMs);
    if (lackingMs > 0) {
      const message = `the stream would end ${Math.round(lackingMs)} ms after its deadline`;
      unplaced(effect.attemptNo, 'no_time', message);
      return;
    }
    noteSend(effect, placement, nowMs);
    openAttempt(effect, placement, nowMs);
  }

  /**
   * Time by which the stream would miss its deadline, as far as that is sure enough to refuse it.
   * That it would not even begin always is; that it would not end is an estimate, on which it is
   * refused only where it would take an engine from others.
   */
  function lackingTimeMs(
    effect: Extract<ForwardStreamEffect, { kind: 'send' }>,
    placed: PlacedEngine,
    nowMs: number,
  ): number {
    // A copy is at hand at once, and its events are the caller's as far as they come.
    if (effect.resumeFrom !== undefined) return 0;
    const restMs = placed.isLightlyLoaded
      ? 0
      : ports.streamDurations.minRemainingMs(route.name, effect.lastEventId);
    const endAtMs = nowMs + placed.expectedFirstEventMs * PREFILL_TIME_MIN_RATIO + restMs;
    return endAtMs - request.deadlineAtMs;
  }

  function unplaced(attemptNo: number, reason: 'no_engine' | 'no_time', message: string): void {
    feedLater({ kind: 'unplaced', attemptNo, reason, message });
  }

  /** The core expects events one at a time, after the effects in hand. */
  function feedLater(event: ForwardStreamEvent): void {
    queueMicrotask(() => notify(event));
  }

  function noteSend(
    effect: Extract<ForwardStreamEffect, { kind: 'send' }>,
    placed: PlacedEngine,
    nowMs: number,
  ): void {
    ports.metrics.onSend('stream', effect.cause);
    const belief = fleet.get(placed.engineId);
    const fields = {
      request: requestId,
      attempt: effect.attemptNo,
      cause: effect.cause,
      engine: placed.engineId,
      domain: belief?.server.failureDomain,
      copy_at: placed.copyEngineId,
      from_copy: effect.resumeFrom !== undefined,
      after_event: effect.lastEventId,
      expected_ms: Math.round(placed.expectedFirstEventMs),
      own_running: belief?.ownRunning,
      report_age_ms:
        belief?.report === undefined ? undefined : Math.round(nowMs - belief.report.atMs),
      since_event_ms: lastEventAtMs === undefined ? undefined : Math.round(nowMs - lastEventAtMs),
    };
    if (effect.cause === 'first') {
      decisions.routine('stream.place', fields);
      return;
    }
    moves += 1;
    decisions.notable('stream.move', fields);
  }

  function openAttempt(
    effect: Extract<ForwardStreamEffect, { kind: 'send' }>,
    placed: PlacedEngine,
    nowMs: number,
  ): void {
    const isFromCopy = effect.resumeFrom !== undefined;
    const engine = fleet.get(placed.engineId);
    const copyAt = placed.copyEngineId === undefined ? undefined : fleet.get(placed.copyEngineId);
    if (engine === undefined) {
      unplaced(effect.attemptNo, 'no_engine', 'the engine has left');
      return;
    }
    const attempt = createStreamAttempt(
      effect.attemptNo,
      requestId,
      engine,
      copyAt,
      isFromCopy,
      nowMs,
    );
    attempts.set(effect.attemptNo, attempt);
    current = attempt;
    const { expectedFirstEventMs } = placed;
    stream.onEvent(
      {
        kind: 'placed',
        attemptNo: effect.attemptNo,
        placed: { engineId: placed.engineId, copy: attempt.kvCopy, expectedFirstEventMs },
      },
      nowMs,
    );
    fleet.onSent(placed.engineId, requestId, isFromCopy ? 0 : tokens, nowMs);
    if (copyAt !== undefined) fleet.onCopy(copyAt.server.serverId, tokens, 1);
    ports.stateBroadcast.sendSoon();
    attempt.cancelConnectTimeout = clock.runAfter(CONNECT_TIMEOUT_MS, () => {
      attempt.exchange?.cancel();
      lose(attempt, 'not_sent', 'refused');
    });
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
          kvCopyAddress: copyAt?.server.address,
          resumeFrom: effect.resumeFrom,
          isPrioritized: stream.hasBegun(),
        }),
        body: request.body,
      },
      handlerOf(attempt),
    );
  }

  function handlerOf(attempt: StreamAttempt) {
    const splitter = createEventSplitter();
    return {
      onSent: () => attempt.cancelConnectTimeout(),
      onHead: (status: number, headers: IncomingHttpHeaders) => onHead(attempt, status, headers),
      onData: (bytes: Uint8Array) => {
        if (attempt.isOver) return;
        if (attempt.isErrorResponse) {
          keepFailure(attempt, bytes);
          return;
        }
        const events = splitter.push(bytes);
        if (events === undefined) {
          attempt.exchange?.cancel();
          lose(attempt, 'garbled', 'reset');
          return;
        }
        if (events.length > 0) onEvents(attempt, events);
      },
      onEnd: () => {
        if (attempt.isOver) return;
        if (attempt.isErrorResponse) {
          lose(attempt, 'failed', undefined);
          return;
        }
        if (attempt.status === 0 || splitter.pendingBytes() > 0) {
          lose(attempt, 'garbled', 'reset');
          return;
        }
        close(attempt);
        copies.release(attempt);
        notify({ kind: 'end', attemptNo: attempt.attemptNo });
      },
      onFailure: (failure: 'not_sent' | 'broken', message: string) => {
        if (failure === 'not_sent') lose(attempt, 'not_sent', 'refused', message);
        else lose(attempt, 'reset', 'reset', message);
      },
    };
  }

  function onHead(attempt: StreamAttempt, status: number, headers: IncomingHttpHeaders): void {
    if (attempt.isOver) return;
    const nowMs = clock.monotonicMs();
    const said = ports.codec.parseResponse(status, headers);
    if (said.load !== undefined) fleet.onLoadReport(attempt.engineId, said.load, nowMs);
    if (said.isMisdirected) {
      lose(attempt, 'misdirected', 'misdirected');
      return;
    }
    fleet.onBytesReceived(attempt.engineId, nowMs);
    const isOurs = said.requestId === requestId || (said.wasNotRun && !said.requestId);
    if (!isOurs) {
      attempt.exchange?.cancel();
      lose(attempt, 'garbled', undefined, 'the answer belongs to another request');
      return;
    }
    const isSuccess = isSuccessStatus(status);
    if (!isSuccess && attempt.isResumedFromCopy) {
      lose(attempt, 'no_copy', undefined);
      return;
    }
    if (said.wasNotRun) {
      lose(attempt, 'rejected', undefined);
      return;
    }
    if (isSuccess && (said.isEncoded || !said.isSigned)) {
      attempt.exchange?.cancel();
      lose(attempt, 'garbled', undefined, 'the answer is not what the engine made');
      return;
    }
    attempt.status = status;
    attempt.headers = headers;
    attempt.isErrorResponse = !isSuccess;
  }

  function keepFailure(attempt: StreamAttempt, bytes: Uint8Array): void {
    attempt.errorBodyBytes += bytes.length;
    if (attempt.errorBodyBytes <= ERROR_BODY_MAX_BYTES) {
      attempt.errorBody.push(bytes);
      return;
    }
    attempt.exchange?.cancel();
    lose(attempt, 'garbled', 'reset');
  }

  function onEvents(
    attempt: StreamAttempt,
    events: Extract<ForwardStreamEvent, { kind: 'events' }>['events'],
  ): void {
    const nowMs = clock.monotonicMs();
    fleet.onBytesReceived(attempt.engineId, nowMs);
    if (!attempt.hasEvents) {
      attempt.hasEvents = true;
      ports.versionMoves.onAnswer(attempt.engineId, false, nowMs - attempt.sentAtMs);
      fleet.onFirstEvent(attempt.engineId, requestId, nowMs);
      ports.stateBroadcast.sendLater();
      if (attempt.isOnlyPrefill && !attempt.isResumedFromCopy) {
        ports.placer.onPrefill(tokens, nowMs - attempt.sentAtMs);
      }
      if (lastEventAtMs !== undefined) noteResumed(attempt, nowMs - lastEventAtMs, nowMs);
    }
    firstEventAtMs ??= nowMs;
    lastEventAtMs = nowMs;
    eventCount += events.length;
    notify({ kind: 'events', attemptNo: attempt.attemptNo, events });
  }

  function noteResumed(attempt: StreamAttempt, gapMs: number, nowMs: number): void {
    ports.metrics.onResumeGap(gapMs);
    decisions.notable('stream.resumed', {
      request: requestId,
      attempt: attempt.attemptNo,
      engine: attempt.engineId,
      from_copy: attempt.isResumedFromCopy,
      gap_ms: Math.round(gapMs),
      since_send_ms: Math.round(nowMs - attempt.sentAtMs),
    });
  }

  async function makeCopy(attemptNo: number, renewed: KvCacheCopy | undefined): Promise<void> {
    const attempt = attempts.get(attemptNo);
    const copy = attempt === undefined ? undefined : await copies.create(attempt, renewed);
    if (isOver || attempt?.isOver === true) return;
    if (copy === undefined) notify({ kind: 'not_copied', attemptNo });
    else notify({ kind: 'copied', attemptNo, copy });
  }

  /** Ends the bookkeeping of an attempt. */
  function close(attempt: StreamAttempt): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    attempt.cancelConnectTimeout();
    fleet.onEnd(attempt.engineId, requestId, attempt.isResumedFromCopy ? 0 : tokens);
    if (attempt.kvCopy !== undefined) fleet.onCopy(attempt.kvCopy.engineId, tokens, -1);
    ports.stateBroadcast.sendLater();
  }

  function cancel(attemptNo: number, loss: 'silent' | 'garbled' | undefined): void {
    const attempt = attempts.get(attemptNo);
    if (attempt === undefined || attempt.isOver) return;
    attempt.exchange?.cancel();
    const nowMs = clock.monotonicMs();
    if (loss === 'silent') noteFailure(attempt, silentFailure(attempt, nowMs), nowMs, loss);
    else if (loss === 'garbled') noteFailure(attempt, 'reset', nowMs, loss);
    close(attempt);
  }

  /** An engine that seems lost is; any other one may only have too much to read. */
  function silentFailure(attempt: StreamAttempt, nowMs: number): ServerFailure {
    if (attempt.hasEvents) return 'silent';
    const belief = fleet.get(attempt.engineId);
    if (belief === undefined) return 'silent';
    return belief.lostAtMs !== undefined || fleet.isSuspected(belief, nowMs) ? 'silent' : 'unread';
  }

  function noteFailure(
    attempt: StreamAttempt,
    failure: ServerFailure,
    nowMs: number,
    loss: string,
    message?: string,
  ): void {
    const belief = fleet.get(attempt.engineId);
    const news = fleet.onFailure(attempt.engineId, failure, nowMs);
    // A silent engine's other connections are as dead; they would only be found one by one.
    if (failure === 'silent' && belief !== undefined)
      ports.upstream.reconnect(belief.server.address);
    ports.metrics.onLoss(loss);
    ports.stateBroadcast.onServerFailure(attempt.engineId, failure);
    decisions.notable('stream.attempt_lost', {
      request: requestId,
      attempt: attempt.attemptNo,
      engine: attempt.engineId,
      domain: belief?.server.failureDomain,
      loss,
      message,
      silent_ms: Math.round(nowMs - (lastEventAtMs ?? attempt.sentAtMs)),
      avoid_ms: news.avoidMs,
    });
    const lostId = attempt.engineId;
    if (failure !== 'unread') queueMicrotask(() => onServerLost(lostId));
    if (news.suspectedDomain === undefined) return;
    decisions.vital('domain.doubted', { domain: news.suspectedDomain, request: requestId });
    const domain = news.suspectedDomain;
    queueMicrotask(() => onDomainSuspected(domain));
  }

  function lose(
    attempt: StreamAttempt,
    loss: AttemptLoss,
    failure: ServerFailure | undefined,
    message?: string,
  ): void {
    if (attempt.isOver) return;
    const nowMs = clock.monotonicMs();
    close(attempt);
    if (loss === 'failed' || loss === 'garbled') {
      ports.versionMoves.onAnswer(attempt.engineId, true, nowMs - attempt.sentAtMs);
    }
    if (failure !== undefined) noteFailure(attempt, failure, nowMs, loss, message);
    else ports.metrics.onLoss(loss);
    notify({ kind: 'lost', attemptNo: attempt.attemptNo, loss });
  }

  active.add(entry);
  stream.start().forEach(perform);
  alarm.set(stream.wakeAtMs());
  return {
    abandon: () => {
      if (isOver) return;
      isOver = true;
      if (current !== undefined) cancel(current.attemptNo, undefined);
      end('abandoned');
    },
  };
}
