import { createDirectCall, createLatencyWindow, assertNever } from '@mimosamill/core';
import { createWakeTimer, createDeferred } from '../call/async';
import { isSuccessStatus } from './status';
import type { IncomingHttpHeaders } from 'node:http';
import type { Exchange } from '@mimosamill/adapters';
import type {
  CallOutcome,
  CallResult,
  DirectCallEffect,
  LatencyWindow,
  SendCause,
  ServerAnswer,
  ServerId,
} from '@mimosamill/core';
import type { ForwardPorts, ForwardRequest } from './ports';

/** A server's whole answer. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array;
}

export interface RunningCall {
  readonly result: Promise<CallResult<BufferedResponse>>;
  /** Servers that it was sent to, in this order. */
  readonly servers: () => readonly ServerId[];
  /** The caller left: the servers are told to stop. */
  readonly abandon: () => void;
}

/** Forwards calls that are answered as a whole. */
export interface CallForwarder {
  readonly forward: (request: ForwardRequest) => RunningCall;
}

/** An idempotent call with one of these goes to another server, if it may. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);
const SERVER_ERROR = 500;
/** A second attempt starts once the first is slower than this part of recent calls. */
const HEDGE_QUANTILE = 0.95;
const LATENCY_WINDOW_MS = 10_000;
/** Part of the route's target after which a call is hedged while too few calls were measured. */
const DEFAULT_HEDGE_DELAY_RATIO = 0.5;
/** Answers are held as a whole, so that one that breaks off never looks complete. */
const RESPONSE_MAX_BYTES = 16_777_216;
/** A connection that is not made by then is given up; nothing has been sent on it. */
const CONNECT_TIMEOUT_MS = 300;

export function createCallForwarder(ports: ForwardPorts): CallForwarder {
  const latencies = new Map<string, LatencyWindow>();

  function latenciesOf(route: string): LatencyWindow {
    const known = latencies.get(route);
    if (known !== undefined) return known;
    const created = createLatencyWindow(LATENCY_WINDOW_MS);
    latencies.set(route, created);
    return created;
  }

  return { forward: (request) => forwardCall(ports, request, latenciesOf(request.route.name)) };
}

function forwardCall(
  ports: ForwardPorts,
  request: ForwardRequest,
  latencies: LatencyWindow,
): RunningCall {
  const { clock, fleet, decisions } = ports;
  const { head, route } = request;
  const result = createDeferred<CallResult<BufferedResponse>>();
  const excluded = new Set<ServerId>();
  const cancels = new Map<number, () => void>();
  const alarm = createWakeTimer(clock, () =>
    apply(call.onEvent({ kind: 'tick' }, clock.monotonicMs())),
  );
  const startedAtMs = clock.monotonicMs();
  const hedgeDelayMs =
    latencies.quantileMs(HEDGE_QUANTILE, startedAtMs) ?? route.targetMs * DEFAULT_HEDGE_DELAY_RATIO;

  const call = createDirectCall<BufferedResponse>({
    isIdempotent: route.kind === 'idempotent',
    deadlineAtMs: request.deadlineAtMs,
    hedgeAtMs: startedAtMs + hedgeDelayMs,
    budget: ports.retryBudgetOf(request.service.name),
    attemptsMax: route.attemptsMax,
    retriedStatuses: RETRYABLE_STATUSES,
  });

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
        cancels.get(effect.attemptNo)?.();
        return;
      case 'answer':
        result.resolve(effect.result);
        return;
      default:
        assertNever(effect);
    }
  }

  function feed(attemptNo: number, answer: ServerAnswer<BufferedResponse>): void {
    apply(call.onEvent({ kind: 'answer', attemptNo, answer }, clock.monotonicMs()));
  }

  /** Another server than those of earlier attempts, as long as there is one. */
  function pick(nowMs: number): ServerId | undefined {
    const input = { service: request.service.name, route: route.name };
    const byVersion = ports.versionMoves.excludedServers(request.service.name, ports.random());
    const all = new Set([...excluded, ...byVersion]);
    const fresh = ports.placer.placeCall({ ...input, excluded: all }, nowMs, ports.random);
    return fresh ?? ports.placer.placeCall({ ...input, excluded: byVersion }, nowMs, ports.random);
  }

  function send(attemptNo: number, cause: SendCause): void {
    const nowMs = clock.monotonicMs();
    const serverId = pick(nowMs);
    const belief = serverId === undefined ? undefined : fleet.get(serverId);
    if (serverId === undefined || belief === undefined) {
      // After the effects in hand: the core expects answers one at a time.
      queueMicrotask(() => feed(attemptNo, { kind: 'not_sent', message: 'no server is listed' }));
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
    sendTo(attemptNo, serverId, belief.server.address, nowMs);
  }

  function sendTo(attemptNo: number, serverId: ServerId, address: string, sentAtMs: number): void {
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    let answer: { status: number; headers: IncomingHttpHeaders } | undefined;
    const open: { exchange?: Exchange } = {};
    let isOver = false;

    function finish(outcome: ServerAnswer<BufferedResponse>, loss: string): void {
      if (isOver) return;
      isOver = true;
      cancelConnect();
      cancels.delete(attemptNo);
      fleet.onEnd(serverId, head.requestId, 0);
      note(outcome);
      if (outcome.kind !== 'ok') {
        ports.metrics.onLoss(loss);
        decisions.notable('call.attempt_lost', {
          request: head.requestId,
          attempt: attemptNo,
          server: serverId,
          loss,
          took_ms: Math.round(clock.monotonicMs() - sentAtMs),
        });
      }
      feed(attemptNo, outcome);
    }

    function note(outcome: ServerAnswer<BufferedResponse>): void {
      const nowMs = clock.monotonicMs();
      const tookMs = nowMs - sentAtMs;
      if (outcome.kind === 'ok' && outcome.status < SERVER_ERROR) latencies.record(tookMs, nowMs);
      if (outcome.kind === 'not_sent' || outcome.kind === 'rejected') return;
      const isSuccess = outcome.kind === 'ok' && outcome.status < SERVER_ERROR;
      const slownessRatio = tookMs / Math.max(1, route.targetMs / 2);
      noteEvidence({ isSuccess, slownessRatio }, nowMs);
      ports.versionMoves.onAnswer(serverId, !isSuccess, tookMs);
    }

    function noteEvidence(outcome: CallOutcome, nowMs: number): void {
      ports.callOutcomes.onOwnOutcome(serverId, route.name, outcome, nowMs);
      if (!outcome.isSuccess) ports.stateBroadcast.sendLater();
    }

    function onHead(status: number, headers: IncomingHttpHeaders): void {
      const nowMs = clock.monotonicMs();
      const said = ports.codec.parseResponse(status, headers);
      fleet.onBytesReceived(serverId, nowMs);
      if (said.load !== undefined) fleet.onLoadReport(serverId, said.load, nowMs);
      if (said.isMisdirected) {
        fleet.onFailure(serverId, 'misdirected', nowMs);
        ports.stateBroadcast.onServerFailure(serverId, 'misdirected');
        const message = 'another server has the address';
        finish({ kind: 'not_sent', message, hasArrived: true }, 'misdirected');
        return;
      }
      const isOurs = said.requestId === head.requestId || (said.wasNotRun && !said.requestId);
      if (!isOurs) {
        open.exchange?.cancel();
        finish({ kind: 'unknown' }, 'stray_answer');
        return;
      }
      if (said.wasNotRun) {
        finish({ kind: 'rejected' }, 'rejected');
        return;
      }
      const isSuccess = isSuccessStatus(status);
      if (isSuccess && (said.isEncoded || !said.isSigned)) {
        open.exchange?.cancel();
        finish({ kind: 'unknown' }, 'garbled');
        return;
      }
      answer = { status, headers };
    }

    const cancelConnect = clock.runAfter(CONNECT_TIMEOUT_MS, () => {
      open.exchange?.cancel();
      fleet.onFailure(serverId, 'refused', clock.monotonicMs());
      ports.stateBroadcast.onServerFailure(serverId, 'refused');
      finish({ kind: 'not_sent', message: 'no connection' }, 'no_connection');
    });
    cancels.set(attemptNo, () => {
      if (isOver) return;
      isOver = true;
      cancelConnect();
      cancels.delete(attemptNo);
      fleet.onEnd(serverId, head.requestId, 0);
      const nowMs = clock.monotonicMs();
      // Slow enough for a hedge that won; without this a slow server would never look slow.
      const slownessRatio = (nowMs - sentAtMs) / Math.max(1, route.targetMs / 2);
      noteEvidence({ isSuccess: true, slownessRatio }, nowMs);
      open.exchange?.cancel();
    });
    fleet.onSent(serverId, head.requestId, 0, sentAtMs);
    open.exchange = ports.upstream.send(
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
          isPrioritized: false,
        }),
        body: request.body,
      },
      {
        onSent: () => cancelConnect(),
        onHead,
        onData: (bytes) => {
          if (isOver) return;
          sizeBytes += bytes.length;
          chunks.push(bytes);
          if (sizeBytes <= RESPONSE_MAX_BYTES) return;
          open.exchange?.cancel();
          finish({ kind: 'unknown' }, 'answer_too_large');
        },
        onEnd: () => {
          if (answer === undefined) {
            finish({ kind: 'unknown' }, 'no_answer');
            return;
          }
          const body = Buffer.concat(chunks);
          finish({ kind: 'ok', status: answer.status, body: { ...answer, body } }, '');
        },
        onFailure: (failure, message) => {
          const nowMs = clock.monotonicMs();
          fleet.onFailure(serverId, failure === 'not_sent' ? 'refused' : 'reset', nowMs);
          // A reset may be about one call; only a refused connection says that the server is lost.
          if (failure === 'not_sent') ports.stateBroadcast.onServerFailure(serverId, 'refused');
          if (failure === 'not_sent') finish({ kind: 'not_sent', message }, 'no_connection');
          else finish({ kind: 'unknown' }, 'broken');
        },
      },
    );
  }

  apply(call.start(startedAtMs));
  return {
    result: result.promise,
    servers: () => [...excluded],
    abandon: () => {
      alarm.set(undefined);
      [...cancels.values()].forEach((cancel) => cancel());
    },
  };
}
