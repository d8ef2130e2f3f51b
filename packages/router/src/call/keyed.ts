import {
  CALL_EXPIRY_MS,
  asAttemptNo,
  assertNever,
  callRowKey,
  callServiceKey,
  createKeyedCall,
  parseCallRecord,
} from '@mimosamill/core';
import { createWakeTimer, createDeferred, withFallback, withTimeout } from './async';
import { traceAttempt } from './trace';
import { reportCallResult } from './result';
import type {
  JsonValue,
  Row,
  ServiceCallOutcome,
  ServiceLookupOutcome,
} from '@mimosamill/adapters';
import type {
  CallResult,
  CustomerId,
  KeyedCall,
  KeyedCallEffect,
  KeyedCallEvent,
  OwnerAnswer,
  RequestId,
  ServiceName,
  VersionedRecord,
} from '@mimosamill/core';
import type { TracedRequest } from './trace';
import type { CallsPorts } from './ports';

/** A commit without an answer after this time counts as lost; it may still be applied. */
const TABLES_TIMEOUT_MS = 2_000;
const LOOKUP_TIMEOUT_MS = 1_000;
const OWNER_MAX_WAIT_MS = 1_000;
const OWNER_REPLY_MARGIN_MS = 1_000;
/** How long after the caller's deadline a late answer is still waited for, to be recorded. */
const LATE_ANSWER_WAIT_MS = 60_000;

export interface KeyedCallRequest extends TracedRequest {
  readonly service: ServiceName;
  readonly operation: string;
  readonly key: string;
  readonly body: string;
  readonly customerId: CustomerId;
  readonly deadlineMs: number;
}

/** A keyed call that is running on this router. */
export interface RunningKeyedCall {
  readonly attemptId: string;
  readonly rowKey: string;
  /** What the caller is told; always settles. */
  readonly result: Promise<CallResult>;
  /** Settles once the outcome is known or given up, and is 'running' no more. */
  readonly settled: Promise<OwnerAnswer>;
  /** Settles once nothing is left to do, records included. */
  readonly ended: Promise<void>;
  readonly ownerAnswer: () => OwnerAnswer;
  readonly hasUnconfirmedClaim: () => boolean;
}

/** Runs the claim protocol of one call over the ports. */
export function startKeyedCall(
  ports: CallsPorts,
  request: KeyedCallRequest,
  hasLookup: boolean,
  isLookupOnly: boolean,
): RunningKeyedCall {
  const { clock } = ports;
  const attemptId = ports.createId();
  const requestId = ports.createId() as RequestId;
  const rowKey = callRowKey(request.service, request.customerId, request.key);
  const serviceKey = callServiceKey(request.customerId, request.key);
  const deadlineAtMs = clock.monotonicMs() + request.deadlineMs;
  const refused = new Set<string>();
  const lookedUp = new Set<string>();
  const result = createDeferred<CallResult>();
  const settled = createDeferred<OwnerAnswer>();
  const ended = createDeferred<void>();
  let lastAddress: string | undefined;
  const alarm = createWakeTimer(clock, () => feed({ kind: 'tick' }));

  const call: KeyedCall = createKeyedCall({
    attemptId,
    routerId: ports.routerId,
    requestId,
    operation: request.operation,
    bodyHash: ports.hashBody(request.body),
    hasLookup,
    isLookupOnly,
    deadlineAtMs,
    wallClockMs: clock.nowMs(),
  });

  function feed(event: KeyedCallEvent): void {
    apply(call.onEvent(event, clock.monotonicMs()));
  }

  function apply(effects: readonly KeyedCallEffect[]): void {
    effects.forEach(perform);
    const answer = call.ownerAnswer();
    if (answer.kind !== 'running') settled.resolve(answer);
    if (call.hasEnded()) ended.resolve();
    alarm.set(call.wakeAtMs());
  }

  function perform(effect: KeyedCallEffect): void {
    switch (effect.kind) {
      case 'commit':
        void commit(effect);
        return;
      case 'read':
        void read();
        return;
      case 'ask_owner':
        void askOwner(effect);
        return;
      case 'lookup':
        void lookUp();
        return;
      case 'send':
        void send(effect.sendNo);
        return;
      case 'answer':
        result.resolve(effect.result);
        return;
      default:
        assertNever(effect);
    }
  }

  async function commit(effect: Extract<KeyedCallEffect, { kind: 'commit' }>): Promise<void> {
    const { purpose, replaces } = effect;
    const value: JsonValue = { ...effect.record };
    const expiresAtMs = clock.nowMs() + CALL_EXPIRY_MS;
    const outcome = await withTimeout(
      clock,
      ports.tables.commit({
        conditions: replaces === 'any' ? [] : [conditionOf(rowKey, replaces)],
        writes: [{ kind: 'put', key: rowKey, value, expiresAtMs }],
      }),
      TABLES_TIMEOUT_MS,
      { kind: 'unknown' as const, message: 'no answer in time' },
    );
    if (outcome.kind !== 'conflict') {
      feed({ kind: 'committed', purpose, outcome: outcome.kind });
      return;
    }
    const found = findRecord(outcome.rows);
    if (found === 'unreadable') feed({ kind: 'committed', purpose, outcome: 'unavailable' });
    else feed({ kind: 'conflict', purpose, found });
  }

  async function read(): Promise<void> {
    const outcome = await withTimeout(clock, ports.tables.read([rowKey]), TABLES_TIMEOUT_MS, {
      kind: 'unavailable' as const,
      message: 'no answer in time',
    });
    const found = outcome.kind === 'ok' ? findRecord(outcome.rows) : 'unreadable';
    if (found === 'unreadable') feed({ kind: 'read_failed' });
    else feed({ kind: 'read', found });
  }

  function findRecord(rows: readonly Row[]): VersionedRecord | undefined | 'unreadable' {
    const row = rows.find(({ key }) => key === rowKey);
    if (row === undefined) return undefined;
    const record = parseCallRecord(row.value);
    return record === undefined ? 'unreadable' : { version: row.version, record };
  }

  async function askOwner(effect: Extract<KeyedCallEffect, { kind: 'ask_owner' }>): Promise<void> {
    const remainingMs = Math.max(0, deadlineAtMs - clock.monotonicMs());
    const waitMs = Math.min(OWNER_MAX_WAIT_MS, remainingMs);
    const answer = await withTimeout(
      clock,
      ports.owners.ask(effect.routerId, {
        service: request.service,
        customerId: request.customerId,
        key: request.key,
        attemptId: effect.attemptId,
        waitMs,
      }),
      waitMs + OWNER_REPLY_MARGIN_MS,
      { kind: 'gone' as const },
    );
    feed({ kind: 'owner', answer });
  }

  async function lookUp(): Promise<void> {
    await Promise.resolve();
    const address = pickForLookup();
    const answer: ServiceLookupOutcome =
      address === undefined
        ? { kind: 'unavailable', message: 'no server' }
        : await withTimeout(clock, ports.services.lookup(address, serviceKey), LOOKUP_TIMEOUT_MS, {
            kind: 'unavailable' as const,
            message: 'no answer in time',
          });
    if (answer.kind === 'unavailable') feed({ kind: 'lookup', answer: { kind: 'unavailable' } });
    else feed({ kind: 'lookup', answer });
  }

  /** The server that was called first, then the others in turn. */
  function pickForLookup(): string | undefined {
    const isFirst = lastAddress !== undefined && !lookedUp.has(lastAddress);
    const address = isFirst ? lastAddress : ports.servers.pick(request.service, lookedUp);
    if (address === undefined) {
      lookedUp.clear();
      return ports.servers.pick(request.service, lookedUp);
    }
    lookedUp.add(address);
    return address;
  }

  async function send(sendNo: number): Promise<void> {
    const address = ports.servers.pick(request.service, refused, request.operation);
    if (address === undefined) {
      // After the effects in hand: the core expects answers one at a time.
      await Promise.resolve();
      feed({ kind: 'answer', sendNo, answer: { kind: 'not_sent', message: 'no server' } });
      return;
    }
    lastAddress = address;
    const sentAtMs = clock.monotonicMs();
    const remainingMs = Math.max(0, deadlineAtMs - sentAtMs);
    const trace = traceAttempt(request, address, sendNo);
    const answer: ServiceCallOutcome = await withFallback(
      ports.services.call(address, {
        operation: request.operation,
        requestId,
        attemptNo: asAttemptNo(sendNo),
        idempotencyKey: serviceKey,
        body: request.body,
        timeoutMs: remainingMs + LATE_ANSWER_WAIT_MS,
        ...trace.headers,
      }),
      { kind: 'unknown', message: 'the client failed' },
    );
    trace.end(answer);
    reportCallResult(ports, request, address, answer, clock.monotonicMs() - sentAtMs);
    if (answer.kind === 'not_sent') {
      refused.add(address);
      ports.servers.onRefused(request.service, address);
    }
    feed({ kind: 'answer', sendNo, answer });
  }

  apply(call.start(clock.monotonicMs()));
  return {
    attemptId,
    rowKey,
    result: result.promise,
    settled: settled.promise,
    ended: ended.promise,
    ownerAnswer: call.ownerAnswer,
    hasUnconfirmedClaim: call.hasUnconfirmedClaim,
  };
}

function conditionOf(
  key: string,
  replaces: number | 'absent',
): { kind: 'absent'; key: string } | { kind: 'version'; key: string; version: number } {
  return replaces === 'absent'
    ? { kind: 'absent', key }
    : { kind: 'version', key, version: replaces };
}
