import { asAttemptNo, assertNever, callServiceKey, createDirectCall } from '@mimosamill/core';
import { createWakeTimer, createDeferred, withFallback } from './async';
import { traceAttempt } from './trace';
import { reportCallResult } from './result';
import type {
  CallResult,
  CustomerId,
  DirectCallEffect,
  DirectCallEvent,
  LatencyWindow,
  RequestId,
  ServiceName,
} from '@mimosamill/core';
import type { ServiceCallOutcome } from '@mimosamill/adapters';
import type { TracedRequest } from './trace';
import type { CallsPorts } from './ports';

export interface DirectCallRequest extends TracedRequest {
  readonly service: ServiceName;
  readonly operation: string;
  readonly body: string;
  readonly customerId: CustomerId;
  readonly deadlineMs: number;
  /** The caller's idempotency key, which is only passed on to the server. */
  readonly key?: string;
}

/**
 * A second attempt, the hedge, starts once the first is slower than 95% of the recent calls, so about
 * 5% are hedged.
 */
const HEDGE_QUANTILE = 0.95;

/** Runs a call without a claim in the tables: an idempotent one, or one without a key. */
export function runDirectCall(
  ports: CallsPorts,
  request: DirectCallRequest,
  isIdempotent: boolean,
  latencies: LatencyWindow,
): Promise<CallResult> {
  const { clock } = ports;
  const startedAtMs = clock.monotonicMs();
  const deadlineAtMs = startedAtMs + request.deadlineMs;
  const requestId = ports.createId() as RequestId;
  const serviceKey =
    request.key === undefined ? '' : callServiceKey(request.customerId, request.key);
  const excluded = new Set<string>();
  const abortControllers = new Map<number, AbortController>();
  const result = createDeferred<CallResult>();
  const hedgeDelayMs = latencies.quantileMs(HEDGE_QUANTILE, startedAtMs);
  const wakeTimer = createWakeTimer(clock, () => onEvent({ kind: 'tick' }));

  const call = createDirectCall({
    isIdempotent,
    deadlineAtMs,
    hedgeAtMs: hedgeDelayMs === undefined ? undefined : startedAtMs + hedgeDelayMs,
    budget: ports.retryBudget,
  });

  function onEvent(event: DirectCallEvent): void {
    apply(call.onEvent(event, clock.monotonicMs()));
  }

  function apply(effects: readonly DirectCallEffect[]): void {
    effects.forEach(perform);
    wakeTimer.set(call.wakeAtMs());
  }

  function perform(effect: DirectCallEffect): void {
    switch (effect.kind) {
      case 'send':
        void send(effect.attemptNo);
        return;
      case 'cancel':
        abortControllers.get(effect.attemptNo)?.abort();
        return;
      case 'answer':
        result.resolve(effect.result);
        return;
      default:
        assertNever(effect);
    }
  }

  async function send(attemptNo: number): Promise<void> {
    const address = pickServer();
    if (address === undefined) {
      // The core handles one event at a time, so the answer waits until all effects are applied.
      await Promise.resolve();
      onEvent({
        kind: 'answer',
        attemptNo,
        answer: { kind: 'not_sent', message: 'no server of the service is available' },
      });
      return;
    }
    excluded.add(address);
    const abort = new AbortController();
    abortControllers.set(attemptNo, abort);
    const sentAtMs = clock.monotonicMs();
    const trace = traceAttempt(request, address, attemptNo);
    const answer: ServiceCallOutcome = await withFallback(
      ports.services.call(
        address,
        {
          operation: request.operation,
          requestId,
          attemptNo: asAttemptNo(attemptNo),
          idempotencyKey: serviceKey,
          body: request.body,
          timeoutMs: Math.max(1, deadlineAtMs - sentAtMs),
          ...trace.headers,
        },
        abort.signal,
      ),
      {
        kind: 'unknown',
        message: 'the service client threw an error before it received an answer',
      },
    );
    trace.end(answer);
    abortControllers.delete(attemptNo);
    if (answer.kind === 'not_sent') ports.servers.onRefused(request.service, address);
    const tookMs = clock.monotonicMs() - sentAtMs;
    if (!abort.signal.aborted || clock.monotonicMs() >= deadlineAtMs) {
      reportCallResult(ports, request, address, answer, tookMs);
    } else if (hedgeDelayMs !== undefined && tookMs >= hedgeDelayMs) {
      // Cancelled because another attempt answered first, although this one was slow enough to be
      // hedged. Without this result a slow server would never count as slow.
      ports.servers.onResult(request.service, address, request.operation, {
        isSuccess: true,
        tookMs,
      });
    }
    if (answer.kind === 'ok') latencies.record(clock.monotonicMs() - sentAtMs, sentAtMs);
    onEvent({ kind: 'answer', attemptNo, answer });
  }

  /** Prefers a server that no earlier attempt used. */
  function pickServer(): string | undefined {
    const unused = ports.servers.pick(request.service, excluded, request.operation);
    return unused ?? ports.servers.pick(request.service, new Set(), request.operation);
  }

  apply(call.start(startedAtMs));
  return result.promise;
}
