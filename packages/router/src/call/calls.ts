import { createServeError } from '@mimosamill/core';
import { startKeyedCall } from './keyed';
import type {
  CallResult,
  CustomerId,
  OwnerAnswer,
  PlainServiceConfig,
  ServeError,
  ServiceName,
} from '@mimosamill/core';
import type { KeyedRequest, RunningCall } from './keyed';
import type { CallsPorts, OwnerQuestion } from './ports';

/** A call to a plain service; `key` is the caller's idempotency key. */
export interface CallRequest extends Omit<KeyedRequest, 'key'> {
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
  readonly answerOwner: (question: OwnerQuestion) => Promise<OwnerAnswer>;
  /** Refuses new calls, waits for the running ones and for their records. */
  readonly drain: () => Promise<void>;
  readonly runningCount: () => number;
}

const LOOKUP_DEADLINE_MS = 5_000;
const KEY_MAX_CHARS = 256;

export function createCalls(ports: CallsPorts): Calls {
  /** Claims of this router whose outcome is not yet in the tables, by row key. */
  const running = new Map<string, RunningCall>();
  let isDraining = false;

  async function run(request: CallRequest): Promise<CallResult> {
    if (isDraining) return refuse('shutting_down', 'this router is stopping');
    const config = ports.serviceConfig(request.service);
    if (config === undefined) return refuse('unknown_service', 'no such plain service');
    const operation = config.operations[request.operation];
    if (operation === undefined) return refuse('not_found', 'the service has no such operation');
    const { key } = request;
    if (key === undefined || key === '' || key.length > KEY_MAX_CHARS) {
      return refuse('bad_request', `the idempotency key needs 1 to ${KEY_MAX_CHARS} characters`);
    }
    return runKeyed({ ...request, key }, config);
  }

  async function runKeyed(request: KeyedRequest, config: PlainServiceConfig): Promise<CallResult> {
    const call = startKeyedCall(ports, request, config.hasLookup, false);
    running.set(call.attemptId, call);
    void call.ended.then(() => running.delete(call.attemptId));
    return call.result;
  }

  async function lookup(
    customerId: CustomerId,
    service: ServiceName,
    key: string,
  ): Promise<CallResult> {
    const config = ports.serviceConfig(service);
    if (config === undefined) return refuse('unknown_service', 'no such plain service');
    const request: KeyedRequest = {
      service,
      operation: '',
      key,
      body: '',
      customerId,
      deadlineMs: LOOKUP_DEADLINE_MS,
    };
    return startKeyedCall(ports, request, config.hasLookup, true).result;
  }

  async function answerOwner(question: OwnerQuestion): Promise<OwnerAnswer> {
    const call = running.get(question.attemptId);
    if (call === undefined) return { kind: 'gone' };
    return Promise.race([call.settled, after(question.waitMs, { kind: 'running' as const })]);
  }

  function after<T>(delayMs: number, value: T): Promise<T> {
    return new Promise((resolve) => {
      ports.clock.after(delayMs, () => resolve(value));
    });
  }

  async function drain(): Promise<void> {
    isDraining = true;
    await Promise.all([...running.values()].map(({ ended }) => ended));
  }

  return { run, lookup, answerOwner, drain, runningCount: () => running.size };
}

function refuse(code: ServeError['code'], message: string): CallResult {
  return { kind: 'error', error: createServeError(code, message) };
}
