import { createBodyBuffer } from '@mimosamill/adapters';
import { createDirectCall, createLatencyWindow, assertNever } from '@mimosamill/core';
import { createWakeTimer, createDeferred } from '../call/async';
import { createErrorBoundary } from '../error-boundary';
import { condemnedMessage } from './crash-guard';
import { noteDepartingSend } from './departing';
import { reportHandlingError } from './handling-error';
import { withRoomTime } from './room';
import { isSameServerRunning } from './server-identity';
import { applyServerStatus } from './server-status';
import { isSuccessStatus } from './status';
import type { Exchange, ExchangeFailure, ResponseHead } from '@mimosamill/adapters';
import type {
  CallOutcome,
  CallResult,
  DirectCallEffect,
  ForwardServer,
  LatencyWindow,
  SendCause,
  ServerAnswer,
  ServerId,
} from '@mimosamill/core';
import type { RequestContent } from './content';
import type { ForwardPorts, ForwardRequest } from './ports';

/** A server's response, held completely in memory. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
}

export interface RunningCall {
  readonly result: Promise<CallResult<BufferedResponse>>;
  /** Servers that the call was sent to, in the order of the attempts. */
  readonly servers: () => readonly ServerId[];
  /** Called when the caller disconnects: makes the servers stop. */
  readonly abandon: () => void;
}

/** Forwards calls whose response is buffered, as opposed to streamed. */
export interface CallForwarder {
  readonly forward: (request: ForwardRequest) => RunningCall;
  /** Called when something is condemned: ends its calls. */
  readonly onCondemned: () => void;
}

/** State shared by all calls of the process. */
interface CallRegistry {
  readonly active: Set<ActiveCall>;
}

interface ActiveCall {
  readonly content: RequestContent;
  readonly onCondemned: (message: string) => void;
}

/** An idempotent call answered with one of these is retried on another server. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);
const SERVER_ERROR = 500;
/** A call is hedged once it has taken longer than this quantile of the recent calls of its route. */
const HEDGE_QUANTILE = 0.95;
const LATENCY_WINDOW_MS = 10_000;
/** Hedge delay, as a part of the route's latency target, until enough calls were measured. */
const DEFAULT_HEDGE_DELAY_RATIO = 0.5;
/** Responses are buffered, so that a truncated one never reaches the caller as complete. */
const RESPONSE_MAX_BYTES = 16_777_216;
/** Time limit for connecting; at that point nothing of the request has been sent. */
const CONNECT_TIMEOUT_MS = 300;

export function createCallForwarder(ports: ForwardPorts): CallForwarder {
  const latencies = new Map<string, LatencyWindow>();
  const registry: CallRegistry = { active: new Set() };

  function latencyWindowOf(route: string): LatencyWindow {
    const known = latencies.get(route);
    if (known !== undefined) return known;
    const created = createLatencyWindow(LATENCY_WINDOW_MS);
    latencies.set(route, created);
    return created;
  }

  return {
    forward: (request) =>
      forwardCall(ports, request, latencyWindowOf(request.route.name), registry),
    onCondemned: () => {
      [...registry.active].forEach(({ content, onCondemned }) => {
        const condemnation = ports.crashGuard.findCondemned(content);
        if (condemnation !== undefined) onCondemned(condemnedMessage(condemnation));
      });
    },
  };
}

function forwardCall(
  ports: ForwardPorts,
  request: ForwardRequest,
  latencies: LatencyWindow,
  { active }: CallRegistry,
): RunningCall {
  const { clock, fleet, decisions, crashGuard } = ports;
  const { head, route, content } = request;
  const result = createDeferred<CallResult<BufferedResponse>>();
  const excluded = new Set<ServerId>();
  const refusedBy = new Set<ServerId>();
  /** Cancels an attempt that is still running, and says why. */
  const cancels = new Map<number, (cause: 'overtaken' | 'abandoned') => void>();
  const boundary = createErrorBoundary(
    (cause) => reportHandlingError(decisions, { request: head.requestId }, cause),
    (error) => {
      result.resolve({ kind: 'error', error });
      abandon();
    },
  );
  const alarm = createWakeTimer(
    clock,
    boundary.wrap(() => apply(call.onEvent({ kind: 'tick' }, clock.monotonicMs()))),
  );
  const startedAtMs = clock.monotonicMs();
  /** Attempts whose outcome is near: the response has begun, or the connection broke. */
  const endingAttempts = new Set<number>();
  const hedgeDelayMs =
    latencies.quantileMs(HEDGE_QUANTILE, startedAtMs) ?? route.targetMs * DEFAULT_HEDGE_DELAY_RATIO;

  const call = createDirectCall<BufferedResponse>({
    isIdempotent: route.kind === 'idempotent',
    deadlineAtMs: request.deadlineAtMs,
    // A hedge would crash a second server before the first crash is known.
    hedgeAtMs: crashGuard.isSuspected(content) ? undefined : startedAtMs + hedgeDelayMs,
    budget: ports.retryBudgetOf(request.service.name),
    attemptsMax: route.attemptsMax,
    retriedStatuses: RETRYABLE_STATUSES,
  });

  const entry: ActiveCall = {
    content,
    onCondemned: boundary.wrap((message: string) => {
      // A response that has begun is delivered, and a broken attempt leads to the same end.
      if (endingAttempts.size === 0) endCondemned(message);
    }),
  };

  function endCondemned(message: string): void {
    apply(call.onEvent({ kind: 'condemned', message }, clock.monotonicMs()));
  }

  function apply(effects: readonly DirectCallEffect<BufferedResponse>[]): void {
    effects.forEach(perform);
    alarm.set(call.wakeAtMs());
  }

  function perform(effect: DirectCallEffect<BufferedResponse>): void {
    switch (effect.kind) {
      case 'send':
        send(effect.attemptNo, effect.cause);
        return;
      case 'cancel':
        cancels.get(effect.attemptNo)?.('overtaken');
        return;
      case 'answer':
        active.delete(entry);
        result.resolve(withReturnTime(effect.result));
        return;
      default:
        assertNever(effect);
    }
  }

  function withReturnTime(outcome: CallResult<BufferedResponse>): CallResult<BufferedResponse> {
    if (outcome.kind === 'ok') return outcome;
    return { kind: 'error', error: withRoomTime(ports, request, outcome.error) };
  }

  function dispatch(attemptNo: number, answer: ServerAnswer<BufferedResponse>): void {
    apply(call.onEvent({ kind: 'answer', attemptNo, answer }, clock.monotonicMs()));
  }

  /**
   * Prefers servers that this call was not sent to yet, and leaves out those that refused it: such a
   * refusal, written once more, could not be told from the answer to another attempt.
   */
  function pickServer(isOptional: boolean, nowMs: number): ServerId | undefined {
    const input = {
      service: request.service.name,
      route: route.name,
      isOptional,
      limitDraw: request.limitDraw,
    };
    const excludedByVersion = ports.versionMoves.excludedServers(
      request.service.name,
      ports.random(),
    );
    const all = new Set([...excluded, ...excludedByVersion]);
    const untriedServerId = ports.placer.placeCall(
      { ...input, excluded: all },
      nowMs,
      ports.random,
    );
    return (
      untriedServerId ??
      ports.placer.placeCall(
        { ...input, excluded: new Set([...refusedBy, ...excludedByVersion]) },
        nowMs,
        ports.random,
      )
    );
  }

  function send(attemptNo: number, cause: SendCause): void {
    const nowMs = clock.monotonicMs();
    const condemnation = crashGuard.findCondemned(content);
    if (condemnation !== undefined) {
      queueMicrotask(boundary.wrap(() => endCondemned(condemnedMessage(condemnation))));
      return;
    }
    const serverId = pickServer(cause === 'hedge', nowMs);
    const state = serverId === undefined ? undefined : fleet.get(serverId);
    if (serverId === undefined || state === undefined) {
      // Deferred until the current effects are performed: the core takes one event at a time.
      const message = 'no server can take the call now';
      queueMicrotask(boundary.wrap(() => dispatch(attemptNo, { kind: 'not_sent', message })));
      return;
    }
    excluded.add(serverId);
    ports.metrics.onSend(route.kind, cause);
    if (cause !== 'first') {
      decisions.notable('call.retry', {
        request: head.requestId,
        attempt: attemptNo,
        cause,
        server: serverId,
        elapsed_ms: Math.round(nowMs - request.receivedAtMs),
      });
    }
    sendTo(attemptNo, state.server, nowMs);
  }

  function sendTo(attemptNo: number, server: ForwardServer, sentAtMs: number): void {
    const { serverId, address, failureDomain } = server;
    const body = createBodyBuffer(undefined, RESPONSE_MAX_BYTES);
    const held = ports.responseBuffers.open('answer');
    let answer: ResponseHead | undefined;
    const connection: { exchange?: Exchange } = {};
    let isOver = false;
    const answerTimer = ports.versionMoves.trackAttempt(serverId, 'answer');

    function endAttempt(): void {
      isOver = true;
      held.release();
      cancelConnectTimeout();
      cancels.delete(attemptNo);
      endingAttempts.delete(attemptNo);
      fleet.onEnd(serverId, head.requestId, 0);
    }

    function finishAttempt(outcome: ServerAnswer<BufferedResponse>, loss: string): void {
      if (isOver) return;
      endAttempt();
      recordResult(outcome);
      if (outcome.kind !== 'ok') {
        ports.metrics.onLoss(loss);
        decisions.notable('call.attempt_lost', {
          request: head.requestId,
          fingerprint: content.fingerprint(),
          route: route.name,
          attempt: attemptNo,
          server: serverId,
          domain: failureDomain,
          loss,
          took_ms: Math.round(clock.monotonicMs() - sentAtMs),
        });
      }
      dispatch(attemptNo, outcome);
    }

    /** Ends the attempt once it is known whether the call crashed its server: a repeat would too. */
    async function onBroken(): Promise<void> {
      cancelConnectTimeout();
      endingAttempts.add(attemptNo);
      // Also behind the head of an answer: a server may crash while it writes the rest.
      const { requestId } = head;
      const attempt = { requestId, isStream: false, serverId, address, failureDomain, content };
      await crashGuard.onBrokenAttempt(attempt);
      finishAttempt({ kind: 'unknown' }, 'broken');
      // Another attempt of the call may be running.
      const condemnation = crashGuard.findCondemned(content);
      if (condemnation !== undefined) endCondemned(condemnedMessage(condemnation));
    }

    function recordResult(outcome: ServerAnswer<BufferedResponse>): void {
      const nowMs = clock.monotonicMs();
      const tookMs = nowMs - sentAtMs;
      if (outcome.kind === 'ok' && outcome.status < SERVER_ERROR) latencies.record(tookMs, nowMs);
      if (outcome.kind === 'not_sent' || outcome.kind === 'rejected') {
        answerTimer.onCancelled();
        return;
      }
      if (outcome.kind === 'ok') crashGuard.onAnswered(content);
      const isSuccess = outcome.kind === 'ok' && outcome.status < SERVER_ERROR;
      const slownessRatio = tookMs / Math.max(1, route.targetMs / 2);
      recordOutcome({ isSuccess, slownessRatio }, nowMs);
      answerTimer.onAnswered(!isSuccess);
    }

    function recordOutcome(outcome: CallOutcome, nowMs: number): void {
      ports.callOutcomes.onOwnOutcome(serverId, route.name, outcome, nowMs);
      if (!outcome.isSuccess) ports.stateBroadcast.sendLater();
    }

    function onHead(responseHead: ResponseHead): void {
      const nowMs = clock.monotonicMs();
      const metadata = ports.codec.parseResponse(responseHead);
      // Also holds for refusals: a server may write an earlier one once more on a kept connection.
      if (metadata.requestId !== head.requestId) {
        connection.exchange?.cancel();
        finishAttempt({ kind: 'unknown' }, 'stray_answer');
        return;
      }
      fleet.onBytesReceived(serverId, nowMs);
      applyServerStatus(ports, server, head.requestId, metadata);
      if (metadata.isMisdirected) {
        fleet.onFailure(serverId, 'misdirected', nowMs);
        ports.stateBroadcast.onServerFailure(serverId, 'misdirected');
        const message = 'the address now belongs to another server';
        finishAttempt({ kind: 'not_sent', message, hasArrived: true }, 'misdirected');
        return;
      }
      if (metadata.wasNotRun) {
        refusedBy.add(serverId);
        finishAttempt({ kind: 'rejected' }, 'rejected');
        return;
      }
      if (isSuccessStatus(responseHead.status) && (metadata.isEncoded || !metadata.isSigned)) {
        connection.exchange?.cancel();
        finishAttempt({ kind: 'unknown' }, 'garbled');
        return;
      }
      answer = responseHead;
      endingAttempts.add(attemptNo);
    }

    const connectTimeoutMs = ports.connections.timeoutMs(CONNECT_TIMEOUT_MS);
    const cancelConnectTimeout = clock.runAfter(
      connectTimeoutMs,
      boundary.wrap(() => {
        connection.exchange?.cancel();
        if (!ports.connections.onTimeout(server)) {
          fleet.onFailure(serverId, 'refused', clock.monotonicMs());
          ports.stateBroadcast.onServerFailure(serverId, 'refused');
        }
        const message = 'no connection within the connect timeout';
        finishAttempt({ kind: 'not_sent', message }, 'no_connection');
      }),
    );
    cancels.set(attemptNo, (cause) => {
      if (isOver) return;
      endAttempt();
      const nowMs = clock.monotonicMs();
      // An attempt that lost against its hedge was slow. Without this record, a slow server whose
      // attempts are always cancelled would never look slow.
      const slownessRatio = (nowMs - sentAtMs) / Math.max(1, route.targetMs / 2);
      recordOutcome({ isSuccess: true, slownessRatio }, nowMs);
      if (cause === 'overtaken') answerTimer.onOvertaken();
      else answerTimer.onCancelled();
      connection.exchange?.cancel();
    });
    fleet.onSent(serverId, head.requestId, 0, sentAtMs);
    if (fleet.limits.onSent(serverId, sentAtMs)) ports.stateBroadcast.sendSoon();
    connection.exchange = ports.upstream.send(
      {
        address,
        method: head.method,
        path: head.path,
        headers: ports.codec.toServerHeaders(request.rawHeaders, {
          requestId: head.requestId,
          budgetMs: request.deadlineAtMs - sentAtMs,
          serverId,
          customerId: request.customerId,
          lastEventId: head.lastEventId,
          kvCopyAddress: undefined,
          resumeFrom: undefined,
          urgency: 'ordinary',
        }),
        body: request.body,
        confirmEnd: () => isSameServerRunning(ports, server, request.service, head.requestId),
      },
      {
        onSent: boundary.wrap(() => {
          cancelConnectTimeout();
          ports.connections.onWriting(server, sentAtMs);
          noteDepartingSend(ports, head.requestId, attemptNo, serverId);
        }),
        onHead: boundary.wrap(onHead),
        onData: boundary.wrap((bytes: Uint8Array) => {
          if (isOver) return;
          if (body.fits(bytes.length) && held.hold(body.capacityWith(bytes.length))) {
            body.add(bytes);
            return;
          }
          connection.exchange?.cancel();
          finishAttempt({ kind: 'unknown' }, 'answer_too_large');
        }),
        onEnd: boundary.wrap(() => {
          if (answer === undefined) {
            finishAttempt({ kind: 'unknown' }, 'no_answer');
            return;
          }
          const response = { head: answer, body: body.bytes() };
          finishAttempt({ kind: 'ok', status: answer.status, body: response }, '');
        }),
        onFailure: boundary.wrap((failure: ExchangeFailure, message: string) => {
          const nowMs = clock.monotonicMs();
          fleet.onFailure(serverId, failure === 'not_sent' ? 'refused' : 'reset', nowMs);
          // A reset may concern this call only; a refused connection means that the server is lost.
          if (failure === 'not_sent') ports.stateBroadcast.onServerFailure(serverId, 'refused');
          if (failure === 'not_sent') finishAttempt({ kind: 'not_sent', message }, 'no_connection');
          else boundary.watch(onBroken());
        }),
      },
    );
  }

  function abandon(): void {
    active.delete(entry);
    alarm.set(undefined);
    [...cancels.values()].forEach((cancel) => cancel('abandoned'));
  }

  active.add(entry);
  apply(call.start(startedAtMs));
  return { result: result.promise, servers: () => [...excluded], abandon };
}
