import { createLatencyWindow, createServeError } from '@mimosamill/core';
import { withTimeout } from './async';
import { runDirectCall } from './direct';
import { startKeyedCall } from './keyed';
import type {
  CallResult,
  CustomerId,
  LatencyWindow,
  OperationConfig,
  OwnerAnswer,
  PlainServiceConfig,
  RouterId,
  ServeError,
  ServiceName,
} from '@mimosamill/core';
import type { KeyedCallRequest, RunningKeyedCall } from './keyed';
import type { CallsPorts, OwnerQuestion } from './ports';

/** A call to a plain service; `key` is the caller's idempotency key. */
export interface CallRequest extends Omit<KeyedCallRequest, 'key'> {
  readonly key?: string;
}

/** Calls to plain services. */
export interface Calls {
  readonly run: (request: CallRequest) => Promise<CallResult>;
  /** The outcome of a customer's own earlier call. */
  readonly lookup: (
    customerId: CustomerId,
    service: ServiceName,
    key: string,
  ) => Promise<CallResult>;
  /** Answers another router that found this router's claim. */
  readonly answerAsOwner: (question: OwnerQuestion) => Promise<OwnerAnswer>;
  /**
   * Serves new calls for the grace period, then refuses them; resolves once every call has been
   * answered and recorded, or at the limit. Returns the number of calls left.
   */
  readonly drain: (graceMs: number, limitMs: number) => Promise<number>;
  readonly runningCount: () => number;
}

const LOOKUP_DEADLINE_MS = 5_000;
const MAX_KEY_CHARS = 256;
const MAX_DEADLINE_MS = 600_000;
const MAX_RUNNING_CALLS = 10_000;
/** How long an owner remembers that it never sent, while its lost claim may still appear. */
const NOT_SENT_RETENTION_MS = 600_000;
const MAX_NOT_SENT_ATTEMPTS = 4_096;
const LATENCY_WINDOW_MS = 30_000;
const DRAIN_CHECK_PERIOD_MS = 20;

export function createCalls(ownPorts: CallsPorts): Calls {
  const { clock } = ownPorts;
  const ports: CallsPorts = { ...ownPorts, owners: { ask: askOwner } };
  /** Keyed calls of this router whose outcome is not yet in the tables, by attempt id. */
  const running = new Map<string, RunningKeyedCall>();
  /** Attempts that were given up and never sent, with the time until which this is remembered. */
  const notSent = new Map<string, number>();
  const latencies = new Map<string, LatencyWindow>();
  let inFlight = 0;
  let isDraining = false;

  async function run(request: CallRequest): Promise<CallResult> {
    if (isDraining) return refuse('shutting_down', 'this router is stopping', 0);
    if (inFlight + running.size >= MAX_RUNNING_CALLS) {
      return refuse('overloaded', 'too many calls are running', 1_000);
    }
    const config = ports.serviceConfig(request.service);
    if (config === undefined) return refuse('unknown_service', 'no such plain service');
    const operation = findOperation(config, request.operation);
    if (operation === undefined) return refuse('not_found', 'the service has no such operation');
    const { key, ...rest } = request;
    if (key !== undefined && (key === '' || key.length > MAX_KEY_CHARS)) {
      return refuse('bad_request', `an idempotency key has 1 to ${MAX_KEY_CHARS} characters`);
    }
    if (!(request.deadlineMs > 0 && request.deadlineMs <= MAX_DEADLINE_MS)) {
      return refuse('bad_request', `the deadline has to be within ${MAX_DEADLINE_MS} ms`);
    }
    const isKeyed = key !== undefined && !operation.idempotent;
    if (isKeyed) return count(startKeyed({ ...rest, key }, config));
    return count(runDirectCall(ports, request, operation.idempotent, latenciesOf(rest)));
  }

  function count(result: Promise<CallResult>): Promise<CallResult> {
    inFlight += 1;
    return result.finally(() => {
      inFlight -= 1;
    });
  }

  function startKeyed(request: KeyedCallRequest, config: PlainServiceConfig): Promise<CallResult> {
    const call = startKeyedCall(ports, request, config.hasLookup, false);
    running.set(call.attemptId, call);
    void call.ended.then(() => {
      running.delete(call.attemptId);
      if (call.hasUnconfirmedClaim()) rememberNotSent(call.attemptId);
    });
    return call.result;
  }

  function rememberNotSent(attemptId: string): void {
    const nowMs = clock.monotonicMs();
    notSent.set(attemptId, nowMs + NOT_SENT_RETENTION_MS);
    for (const [oldest, untilMs] of notSent) {
      if (untilMs > nowMs && notSent.size <= MAX_NOT_SENT_ATTEMPTS) break;
      notSent.delete(oldest);
    }
  }

  function latenciesOf(request: { service: ServiceName; operation: string }): LatencyWindow {
    const name = `${request.service}/${request.operation}`;
    const known = latencies.get(name);
    if (known !== undefined) return known;
    const created = createLatencyWindow(LATENCY_WINDOW_MS);
    latencies.set(name, created);
    return created;
  }

  async function lookup(
    customerId: CustomerId,
    service: ServiceName,
    key: string,
  ): Promise<CallResult> {
    const config = ports.serviceConfig(service);
    if (config === undefined) return refuse('unknown_service', 'no such plain service');
    const request: KeyedCallRequest = {
      service,
      operation: '',
      key,
      body: '',
      customerId,
      deadlineMs: LOOKUP_DEADLINE_MS,
    };
    return count(startKeyedCall(ports, request, config.hasLookup, true).result);
  }

  async function askOwner(routerId: RouterId, question: OwnerQuestion): Promise<OwnerAnswer> {
    const isOwn = routerId === ownPorts.routerId;
    return isOwn ? answerAsOwner(question) : ownPorts.owners.ask(routerId, question);
  }

  async function answerAsOwner(question: OwnerQuestion): Promise<OwnerAnswer> {
    const call = running.get(question.attemptId);
    if (call === undefined) {
      return { kind: notSent.has(question.attemptId) ? 'not_sent' : 'gone' };
    }
    return withTimeout(clock, call.settled, question.waitMs, { kind: 'running' });
  }

  async function drain(graceMs: number, limitMs: number): Promise<number> {
    const startedAtMs = clock.monotonicMs();
    await wait(graceMs);
    isDraining = true;
    const isBusy = (): boolean => inFlight > 0 || running.size > 0;
    while (isBusy() && clock.monotonicMs() - startedAtMs < limitMs) {
      await wait(DRAIN_CHECK_PERIOD_MS);
    }
    return Math.max(inFlight, running.size);
  }

  function wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      clock.runAfter(delayMs, resolve);
    });
  }

  return {
    run,
    lookup,
    answerAsOwner,
    drain,
    runningCount: () => Math.max(inFlight, running.size),
  };
}

function findOperation(config: PlainServiceConfig, name: string): OperationConfig | undefined {
  return Object.hasOwn(config.operations, name) ? config.operations[name] : undefined;
}

function refuse(code: ServeError['code'], message: string, retryAfterMs?: number): CallResult {
  return { kind: 'error', error: createServeError(code, message, 'not_run', retryAfterMs) };
}
