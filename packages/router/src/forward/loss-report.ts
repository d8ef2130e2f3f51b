import type {
  AttemptLoss,
  FailureDomain,
  RetryBudget,
  ServerFailure,
  ServerId,
} from '@mimosamill/core';
import type { StreamAttempt } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** What the report of losses needs of its stream and of the streams of the process. */
export interface LossReportContext {
  readonly budget: RetryBudget;
  /** Time of the stream's last event from any engine. */
  readonly lastEventAtMs: () => number | undefined;
  readonly onDomainSuspected: (failureDomain: FailureDomain) => void;
  readonly onServerLost: (serverId: ServerId) => void;
}

/** Reports what the attempts of one stream show about engines to the fleet, other routers and the log. */
export interface StreamLossReport {
  /** Reports an attempt whose engine failed. */
  readonly onFailure: (
    attempt: StreamAttempt,
    failure: ServerFailure,
    nowMs: number,
    loss: AttemptLoss,
    message?: string,
  ) => void;
  /** Reports an attempt that was cancelled because its engine sent nothing for too long. */
  readonly onSilence: (attempt: StreamAttempt, nowMs: number) => void;
  /** Reports an attempt whose engine sends nothing, but which the stream can't leave. */
  readonly onHeld: (attempt: StreamAttempt) => void;
  /** Reports an attempt whose connection broke before its engine had survived the request. */
  readonly onBroken: (attempt: StreamAttempt) => Promise<void>;
}

export function createStreamLossReport(
  ports: ForwardPorts,
  request: ForwardRequest,
  { budget, lastEventAtMs, onDomainSuspected, onServerLost }: LossReportContext,
): StreamLossReport {
  const { clock, fleet, decisions } = ports;
  const { head, content } = request;
  const { requestId } = head;

  function silentMs(attempt: StreamAttempt, nowMs: number): number {
    return Math.round(nowMs - (lastEventAtMs() ?? attempt.sentAtMs));
  }

  /** The engine is avoided, but not taken for lost: its other streams could not be moved either. */
  function onHeld(attempt: StreamAttempt): void {
    const nowMs = clock.monotonicMs();
    const { avoidMs, suspectedDomain } = fleet.onFailure(attempt.engineId, 'unread', nowMs);
    ports.stateBroadcast.onServerFailure(attempt.engineId, 'unread');
    decisions.notable('stream.held', {
      request: requestId,
      attempt: attempt.attemptNo,
      engine: attempt.engineId,
      silent_ms: silentMs(attempt, nowMs),
      had_events: attempt.hasEvents,
      retries_left: budget.available(),
      avoid_ms: avoidMs,
    });
    reportSuspectedDomain(suspectedDomain);
  }

  /**
   * An engine that has sent events, or is lost or suspected, counts as silent; any other engine may
   * only be busy with prefills, so the attempt counts as unread.
   */
  function classifySilence(attempt: StreamAttempt, nowMs: number): ServerFailure {
    if (attempt.hasEvents) return 'silent';
    const state = fleet.get(attempt.engineId);
    if (state === undefined) return 'silent';
    return state.lostAtMs !== undefined || fleet.isSuspected(state, nowMs) ? 'silent' : 'unread';
  }

  function onFailure(
    attempt: StreamAttempt,
    failure: ServerFailure,
    nowMs: number,
    loss: AttemptLoss,
    message?: string,
  ): void {
    const state = fleet.get(attempt.engineId);
    const effect = fleet.onFailure(attempt.engineId, failure, nowMs);
    // The other connections to a silent engine are dead too, and each later request would have to
    // find that out by a timeout of its own.
    if (failure === 'silent' && state !== undefined) ports.upstream.reconnect(state.server.address);
    ports.metrics.onLoss(loss);
    ports.stateBroadcast.onServerFailure(attempt.engineId, failure);
    decisions.notable('stream.attempt_lost', {
      request: requestId,
      fingerprint: content.fingerprint(),
      attempt: attempt.attemptNo,
      engine: attempt.engineId,
      domain: state?.server.failureDomain,
      loss,
      message,
      silent_ms: silentMs(attempt, nowMs),
      had_events: attempt.hasEvents,
      parts: attempt.hasEvents ? undefined : head.sharedParts,
      avoid_ms: effect.avoidMs,
    });
    const lostEngineId = attempt.engineId;
    if (failure !== 'unread') queueMicrotask(() => onServerLost(lostEngineId));
    reportSuspectedDomain(effect.suspectedDomain);
  }

  function reportSuspectedDomain(domain: FailureDomain | undefined): void {
    if (domain === undefined) return;
    decisions.vital('domain.doubted', { domain, request: requestId });
    queueMicrotask(() => onDomainSuspected(domain));
  }

  /** The engine may have crashed on this prompt. */
  async function onBroken(attempt: StreamAttempt): Promise<void> {
    const state = fleet.get(attempt.engineId);
    if (state === undefined) return;
    await ports.crashGuard.onBrokenAttempt({
      requestId,
      isStream: true,
      serverId: attempt.engineId,
      address: attempt.engineAddress,
      failureDomain: state.server.failureDomain,
      content,
    });
  }

  return {
    onFailure,
    onSilence: (attempt, nowMs) => {
      onFailure(attempt, classifySilence(attempt, nowMs), nowMs, 'silent');
    },
    onHeld,
    onBroken,
  };
}
