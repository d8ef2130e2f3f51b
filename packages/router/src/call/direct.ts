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
  /** The caller's key of an idempotent call is passed on; it plays no part in this router. */
  readonly key?: string;
}

/** A second attempt starts once the first is slower than 95 in 100 calls, so 5% are hedged. */
const HEDGE_QUANTILE = 0.95;

/** Runs a call without a claim. */
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
  const aborts = new Map<number, AbortController>();
  const result = createDeferred<CallResult>();
  const hedgeDelayMs = latencies.quantileMs(HEDGE_QUANTILE, startedAtMs);
  const alarm = createWakeTimer(clock, () => feed({ kind: 'tick' }));

  const call = createDirectCall({
    isIdempotent,
    deadlineAtMs,
    hedgeAtMs: hedgeDelayMs === undefined ? undefined : startedAtMs + hedgeDelayMs,
    budget: ports.retryBudget,
  });

  function feed(event: DirectCallEvent): void {
    apply(call.onEvent(event, clock.monotonicMs()));
  }

  function apply(effects: readonly DirectCallEffect[]): void {
    effects.forEach(perform);
    alarm.set(call.wakeAtMs());
  }

  function perform(effect: DirectCallEffect): void {
    switch (effect.kind) {
      case 'send':
        void send(effect.attemptNo);
        return;
      case 'cancel':
        aborts.get(effect.attemptNo)?.abort();
        return;
      case 'answer':
        result.resolve(effect.result);
        return;
      default:
        assertNever(effect);
    }
  }

  async function send(attemptNo: number): Promise<void> {
    const address = pick();
    if (address === undefined) {
      // After the effects in hand: the core expects answers one at a time.
      await Promise.resolve();
      feed({ kind: 'answer', attemptNo, answer: { kind: 'not_sent', message: 'no server' } });
      return;
    }
    excluded.add(address);
    const abort = new AbortController();
    aborts.set(attemptNo, abort);
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
      { kind: 'unknown', message: 'the client failed' },
    );
    trace.end(answer);
    aborts.delete(attemptNo);
    if (answer.kind === 'not_sent') ports.servers.onRefused(request.service, address);
    const tookMs = clock.monotonicMs() - sentAtMs;
    if (!abort.signal.aborted || clock.monotonicMs() >= deadlineAtMs) {
      reportCallResult(ports, request, address, answer, tookMs);
    } else if (hedgeDelayMs !== undefined && tookMs >= hedgeDelayMs) {
      // Slow enough for a hedge that won; without this a slow server would never look slow.
      ports.servers.onResult(request.service, address, request.operation, {
        isSuccess: true,
        tookMs,
      });
    }
    if (answer.kind === 'ok') latencies.record(clock.monotonicMs() - sentAtMs, sentAtMs);
    feed({ kind: 'answer', attemptNo, answer });
  }

  /** Another server than those of earlier attempts, as long as there is one. */
  function pick(): string | undefined {
    const fresh = ports.servers.pick(request.service, excluded, request.operation);
    return fresh ?? ports.servers.pick(request.service, new Set(), request.operation);
  }

  apply(call.start(startedAtMs));
  return result.promise;
}
