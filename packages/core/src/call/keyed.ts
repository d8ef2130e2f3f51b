import { assertNever } from '../outcome';
import { RECORDED_BODY_MAX_CHARS } from './record';
import {
  answerNotRecorded,
  callInProgress,
  expiredAfterSend,
  expiredBeforeSend,
  keyReused,
  lookupUnavailable,
  noBackend,
  noRunRecorded,
  okResult,
  outcomeUnknown,
  storeUnavailable,
} from './result';
import type { RequestId, RouterId } from '../ids';
import type { CallRecord, CallState, VersionedRecord } from './record';
import type { CallResult, OwnerAnswer } from './result';

export interface KeyedCallSettings {
  /** Identifies this claim for ever; a claim whose commit had no answer is recognised by it. */
  readonly attemptId: string;
  readonly routerId: RouterId;
  readonly requestId: RequestId;
  readonly operation: string;
  readonly bodyHash: string;
  readonly hasLookup: boolean;
  /** Reports an earlier call's outcome; never claims or sends. */
  readonly isLookupOnly: boolean;
  readonly deadlineAtMs: number;
  /** Wall-clock time, for the record. */
  readonly wallClockMs: number;
}

export type WritePurpose = 'claim' | 'done' | 'unknown' | 'released';

/** What the shell tells a keyed call. */
export type KeyedCallEvent =
  | {
      readonly kind: 'committed';
      readonly purpose: WritePurpose;
      readonly outcome: 'ok' | 'unavailable' | 'unknown';
    }
  | {
      readonly kind: 'conflict';
      readonly purpose: WritePurpose;
      /** Undefined if the row exists no longer. */
      readonly found: VersionedRecord | undefined;
    }
  | { readonly kind: 'read'; readonly found: VersionedRecord | undefined }
  | { readonly kind: 'read_failed' }
  | { readonly kind: 'owner'; readonly answer: OwnerAnswer }
  | {
      readonly kind: 'lookup';
      readonly answer:
        | { readonly kind: 'ran'; readonly status: number; readonly body: string }
        | { readonly kind: 'not_seen' }
        | { readonly kind: 'unavailable' };
    }
  | {
      readonly kind: 'answer';
      readonly sendNo: number;
      readonly answer:
        | { readonly kind: 'ok'; readonly status: number; readonly body: string }
        | { readonly kind: 'not_sent'; readonly message: string }
        | { readonly kind: 'unknown' };
    }
  | { readonly kind: 'tick' };

/** What the shell has to do. Reads, commits, questions and lookups are outstanding one at a time. */
export type KeyedCallEffect =
  | {
      readonly kind: 'commit';
      readonly purpose: WritePurpose;
      /** Version of the row replaced; 'absent' if there must be none, 'any' for no condition. */
      readonly replaces: number | 'absent' | 'any';
      readonly record: CallRecord;
    }
  | { readonly kind: 'read' }
  | { readonly kind: 'ask_owner'; readonly routerId: RouterId; readonly attemptId: string }
  | { readonly kind: 'lookup' }
  | { readonly kind: 'send'; readonly sendNo: number }
  /** Once a call, unless the call ended earlier; the call may have records to write after it. */
  | { readonly kind: 'answer'; readonly result: CallResult };

/** The claim protocol of one keyed call on one router. */
export interface KeyedCall {
  readonly start: (nowMs: number) => KeyedCallEffect[];
  readonly onEvent: (event: KeyedCallEvent, nowMs: number) => KeyedCallEffect[];
  /** When 'tick' has work to do next; undefined if only an event helps. */
  readonly wakeAtMs: () => number | undefined;
  /** What another router that asks for this attempt is told. */
  readonly ownerAnswer: () => OwnerAnswer;
  /** True for a call that never sends while a claim of it may still be applied late. */
  readonly hasUnconfirmedClaim: () => boolean;
  /** True if nothing more will happen. */
  readonly hasEnded: () => boolean;
}

type Phase =
  /** Of a call that is only looked up. */
  | 'first_read'
  | 'claiming'
  /** Finds out whether a claim whose commit had no answer was applied. */
  | 'reading_back'
  | 'asking'
  /** The owner is gone: it may have recorded the outcome since the row was read. */
  | 'rereading'
  | 'looking_up'
  | 'sent'
  | 'recording'
  | 'ended';

/** Connections that may be refused before the call is given up as not run. */
const SENDS_MAX = 3;
/** Claim commits without an answer before the call is given up as not run. */
const LOST_CLAIMS_MAX = 3;
const LOOKUPS_MAX = 4;
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 5_000;
/** Records are tried for longer than the store's usual outages; after it, the claim row remains. */
const RECORDING_TIMEOUT_MS = 600_000;

/** Creates the claim protocol of a call; times are those of a clock that never jumps. */
export function createKeyedCall(settings: KeyedCallSettings): KeyedCall {
  let phase: Phase = 'claiming';
  let replaces: number | 'absent' = 'absent';
  let lostClaims = 0;
  let lookups = 0;
  let sends = 0;
  let hasAnswered = false;
  let isOwner = false;
  let isAbandoned = false;
  let outcome: OwnerAnswer = { kind: 'running' };
  let found: VersionedRecord | undefined;
  let retry: { readonly atMs: number; readonly effect: KeyedCallEffect } | undefined;
  let delayMs = INITIAL_RETRY_DELAY_MS;
  let recordingUntilMs = 0;

  function recordOf(state: CallState, status?: number, body?: string): CallRecord {
    return {
      state,
      attemptId: settings.attemptId,
      routerId: settings.routerId,
      requestId: settings.requestId,
      operation: settings.operation,
      bodyHash: settings.bodyHash,
      atMs: settings.wallClockMs,
      ...(status === undefined ? {} : { status }),
      ...(body === undefined || body.length > RECORDED_BODY_MAX_CHARS ? {} : { body }),
    };
  }

  function answer(result: CallResult): KeyedCallEffect[] {
    if (hasAnswered) return [];
    hasAnswered = true;
    return [{ kind: 'answer', result }];
  }

  function end(result: CallResult, final: OwnerAnswer): KeyedCallEffect[] {
    phase = 'ended';
    outcome = final;
    retry = undefined;
    return answer(result);
  }

  function later(effect: KeyedCallEffect, nowMs: number): KeyedCallEffect[] {
    retry = { atMs: nowMs + delayMs, effect };
    delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
    return [];
  }

  function claim(nowMs: number): KeyedCallEffect[] {
    if (settings.isLookupOnly) return end(noRunRecorded(), { kind: 'not_sent' });
    if (isAbandoned || nowMs >= settings.deadlineAtMs) {
      return end(expiredBeforeSend(), { kind: 'not_sent' });
    }
    phase = 'claiming';
    return [{ kind: 'commit', purpose: 'claim', replaces, record: recordOf('claimed') }];
  }

  function send(nowMs: number): KeyedCallEffect[] {
    isOwner = true;
    // A router that was paused between claim and send must not send for a caller that gave up.
    if (isAbandoned || nowMs >= settings.deadlineAtMs) return release(expiredBeforeSend(), nowMs);
    sends += 1;
    phase = 'sent';
    return [{ kind: 'send', sendNo: sends }];
  }

  /** Never sends; a claim that was applied nevertheless is released. */
  function abandon(result: CallResult, nowMs: number): KeyedCallEffect[] {
    isAbandoned = true;
    outcome = { kind: 'not_sent' };
    phase = 'reading_back';
    recordingUntilMs = nowMs + RECORDING_TIMEOUT_MS;
    later({ kind: 'read' }, nowMs);
    return answer(result);
  }

  function release(result: CallResult, nowMs: number): KeyedCallEffect[] {
    outcome = { kind: 'not_sent' };
    phase = 'recording';
    recordingUntilMs = nowMs + RECORDING_TIMEOUT_MS;
    return [...answer(result), { kind: 'read' }];
  }

  function recordUnknown(nowMs: number): KeyedCallEffect[] {
    outcome = { kind: 'unknown' };
    phase = 'recording';
    recordingUntilMs = nowMs + RECORDING_TIMEOUT_MS;
    return [...answer(outcomeUnknown()), { kind: 'read' }];
  }

  function recordDone(status: number, body: string, nowMs: number): KeyedCallEffect[] {
    outcome = { kind: 'done', status, body };
    phase = 'recording';
    retry = undefined;
    recordingUntilMs = nowMs + RECORDING_TIMEOUT_MS;
    return [...answer(okResult(status, body, !isOwner)), doneCommit(status, body)];
  }

  /** Without a condition: a call that ran is never claimed again, so no newer claim is replaced. */
  function doneCommit(status: number, body: string): KeyedCallEffect {
    const own = recordOf('done', status, body);
    const claimant = isOwner || found === undefined ? own : found.record;
    const record = { ...own, ...claimIdentityOf(claimant) };
    return { kind: 'commit', purpose: 'done', replaces: 'any', record };
  }

  function onRow(row: VersionedRecord, nowMs: number): KeyedCallEffect[] {
    const { record } = row;
    found = row;
    if (record.attemptId === settings.attemptId && record.state === 'claimed') return send(nowMs);
    if (isAbandoned) return end(storeUnavailable(), { kind: 'not_sent' });
    const isSame = record.bodyHash === settings.bodyHash && record.operation === settings.operation;
    if (!isSame && !settings.isLookupOnly) return end(keyReused(), { kind: 'not_sent' });
    switch (record.state) {
      case 'done':
        return end(replayResult(record), { kind: 'not_sent' });
      case 'released':
        replaces = row.version;
        return claim(nowMs);
      case 'unknown':
        return lookUp(nowMs);
      case 'claimed':
        phase = 'asking';
        return [askOwner(record)];
      default:
        return assertNever(record.state);
    }
  }

  function lookUp(nowMs: number): KeyedCallEffect[] {
    if (!settings.hasLookup || lookups >= LOOKUPS_MAX) return giveUp(nowMs);
    lookups += 1;
    phase = 'looking_up';
    return [{ kind: 'lookup' }];
  }

  function giveUp(nowMs: number): KeyedCallEffect[] {
    return isOwner ? recordUnknown(nowMs) : end(outcomeUnknown(), { kind: 'not_sent' });
  }

  function onCommitted(
    event: Extract<KeyedCallEvent, { kind: 'committed' }>,
    nowMs: number,
  ): KeyedCallEffect[] {
    if (event.purpose === 'claim' && phase === 'claiming') {
      if (event.outcome === 'ok') return send(nowMs);
      if (event.outcome === 'unavailable') {
        if (lostClaims > 0) return abandon(storeUnavailable(), nowMs);
        return end(storeUnavailable(), { kind: 'not_sent' });
      }
      lostClaims += 1;
      if (lostClaims >= LOST_CLAIMS_MAX) return abandon(storeUnavailable(), nowMs);
      phase = 'reading_back';
      return [{ kind: 'read' }];
    }
    if (phase !== 'recording' || event.purpose !== recordingPurpose()) return [];
    if (event.outcome === 'ok') {
      phase = 'ended';
      return [];
    }
    return recordAgain(nowMs);
  }

  function recordAgain(nowMs: number): KeyedCallEffect[] {
    if (nowMs >= recordingUntilMs) {
      phase = 'ended';
      return [];
    }
    const effect: KeyedCallEffect =
      outcome.kind === 'done' ? doneCommit(outcome.status, outcome.body) : { kind: 'read' };
    return later(effect, nowMs);
  }

  function recordingPurpose(): WritePurpose {
    if (outcome.kind === 'done') return 'done';
    return outcome.kind === 'not_sent' ? 'released' : 'unknown';
  }

  function onConflict(
    event: Extract<KeyedCallEvent, { kind: 'conflict' }>,
    nowMs: number,
  ): KeyedCallEffect[] {
    if (event.purpose === 'claim' && phase === 'claiming') {
      if (event.found !== undefined) return onRow(event.found, nowMs);
      replaces = 'absent';
      return claim(nowMs);
    }
    const isCurrent = phase === 'recording' && event.purpose === recordingPurpose();
    return isCurrent ? recordAgain(nowMs) : [];
  }

  function onRead(row: VersionedRecord | undefined, nowMs: number): KeyedCallEffect[] {
    if (phase === 'recording') return recordOver(row);
    if (phase === 'reading_back') {
      // The first commit may still be applied: committing the same claim again is harmless, and
      // only a confirmed claim is sent.
      if (row === undefined) return claim(nowMs);
      const isUnchanged = row.version === replaces;
      return isUnchanged ? claim(nowMs) : onRow(row, nowMs);
    }
    if (phase === 'first_read') return row === undefined ? claim(nowMs) : onRow(row, nowMs);
    if (phase !== 'rereading') return [];
    if (row === undefined) return giveUp(nowMs);
    const isSameClaim = row.record.attemptId === found?.record.attemptId;
    return isSameClaim && row.record.state === 'claimed' ? lookUp(nowMs) : onRow(row, nowMs);
  }

  /** Writes 'released' or 'unknown' over this attempt's own claim only. */
  function recordOver(row: VersionedRecord | undefined): KeyedCallEffect[] {
    if (outcome.kind === 'done') return [];
    const isOwn =
      row !== undefined &&
      row.record.attemptId === settings.attemptId &&
      row.record.state === 'claimed';
    if (!isOwn) {
      phase = 'ended';
      return [];
    }
    const state = outcome.kind === 'not_sent' ? 'released' : 'unknown';
    return [{ kind: 'commit', purpose: state, replaces: row.version, record: recordOf(state) }];
  }

  function onReadFailed(nowMs: number): KeyedCallEffect[] {
    if (phase === 'recording') return recordAgain(nowMs);
    if (phase === 'first_read') return end(lookupUnavailable(), { kind: 'not_sent' });
    if (phase === 'reading_back') {
      if (nowMs >= settings.deadlineAtMs + RECORDING_TIMEOUT_MS) {
        return end(storeUnavailable(), { kind: 'not_sent' });
      }
      return later({ kind: 'read' }, nowMs);
    }
    return phase === 'rereading' ? lookUp(nowMs) : [];
  }

  function onOwner(reply: OwnerAnswer, nowMs: number): KeyedCallEffect[] {
    if (phase !== 'asking' || found === undefined) return [];
    switch (reply.kind) {
      case 'done':
        return end(okResult(reply.status, reply.body, true), { kind: 'not_sent' });
      case 'running':
        return later(askOwner(found.record), nowMs);
      case 'not_sent':
        replaces = found.version;
        return claim(nowMs);
      case 'unknown':
      case 'gone':
        phase = 'rereading';
        return [{ kind: 'read' }];
      default:
        return assertNever(reply);
    }
  }

  function onLookup(
    reply: Extract<KeyedCallEvent, { kind: 'lookup' }>['answer'],
    nowMs: number,
  ): KeyedCallEffect[] {
    if (phase !== 'looking_up') return [];
    if (reply.kind === 'ran') return recordDone(reply.status, reply.body, nowMs);
    // 'not_seen' proves nothing: a paused server may still run the call from its receive buffer.
    if (lookups >= LOOKUPS_MAX) return giveUp(nowMs);
    lookups += 1;
    return later({ kind: 'lookup' }, nowMs);
  }

  function onAnswer(
    event: Extract<KeyedCallEvent, { kind: 'answer' }>,
    nowMs: number,
  ): KeyedCallEffect[] {
    if (event.sendNo !== sends || outcome.kind === 'done') return [];
    switch (event.answer.kind) {
      case 'ok':
        return recordDone(event.answer.status, event.answer.body, nowMs);
      case 'not_sent':
        if (phase !== 'sent') return [];
        if (sends < SENDS_MAX && nowMs < settings.deadlineAtMs) return send(nowMs);
        return release(noBackend(event.answer.message), nowMs);
      case 'unknown':
        return phase === 'sent' ? lookUp(nowMs) : [];
      default:
        return assertNever(event.answer);
    }
  }

  function onDeadline(): KeyedCallEffect[] {
    switch (phase) {
      case 'claiming':
      case 'reading_back':
        isAbandoned = true;
        outcome = { kind: 'not_sent' };
        return answer(expiredBeforeSend());
      case 'first_read':
        return end(lookupUnavailable(), { kind: 'not_sent' });
      case 'asking':
        return end(callInProgress(), { kind: 'not_sent' });
      case 'rereading':
        return end(outcomeUnknown(), { kind: 'not_sent' });
      case 'looking_up':
        return isOwner ? answer(outcomeUnknown()) : end(outcomeUnknown(), { kind: 'not_sent' });
      case 'sent':
        return answer(expiredAfterSend());
      case 'recording':
      case 'ended':
        return [];
      default:
        return assertNever(phase);
    }
  }

  function onTick(nowMs: number): KeyedCallEffect[] {
    const expired = !hasAnswered && nowMs >= settings.deadlineAtMs ? onDeadline() : [];
    if (retry === undefined || nowMs < retry.atMs || phase === 'ended') return expired;
    const { effect } = retry;
    retry = undefined;
    return [...expired, effect];
  }

  return {
    start: (nowMs) => {
      if (!settings.isLookupOnly) return claim(nowMs);
      phase = 'first_read';
      return [{ kind: 'read' }];
    },
    onEvent: (event, nowMs) => {
      if (phase === 'ended' && event.kind !== 'answer') return [];
      switch (event.kind) {
        case 'committed':
          return onCommitted(event, nowMs);
        case 'conflict':
          return onConflict(event, nowMs);
        case 'read':
          return onRead(event.found, nowMs);
        case 'read_failed':
          return onReadFailed(nowMs);
        case 'owner':
          return onOwner(event.answer, nowMs);
        case 'lookup':
          return onLookup(event.answer, nowMs);
        case 'answer':
          return onAnswer(event, nowMs);
        case 'tick':
          return onTick(nowMs);
        default:
          return assertNever(event);
      }
    },
    wakeAtMs: () => {
      if (phase === 'ended') return undefined;
      const deadlineAtMs = hasAnswered ? Infinity : settings.deadlineAtMs;
      const atMs = Math.min(deadlineAtMs, retry?.atMs ?? Infinity);
      return atMs === Infinity ? undefined : atMs;
    },
    ownerAnswer: () => outcome,
    hasUnconfirmedClaim: () => lostClaims > 0 && !isOwner && outcome.kind === 'not_sent',
    hasEnded: () => phase === 'ended',
  };
}

function askOwner(record: CallRecord): KeyedCallEffect {
  return {
    kind: 'ask_owner',
    routerId: record.routerId as RouterId,
    attemptId: record.attemptId,
  };
}

function replayResult(record: CallRecord): CallResult {
  if (record.status === undefined || record.body === undefined) return answerNotRecorded();
  return okResult(record.status, record.body, true);
}

/** Whose claim it was; an outcome found by a lookup is recorded under the original claim. */
function claimIdentityOf(
  record: CallRecord,
): Pick<CallRecord, 'attemptId' | 'routerId' | 'requestId' | 'operation' | 'bodyHash'> {
  const { attemptId, routerId, requestId, operation, bodyHash } = record;
  return { attemptId, routerId, requestId, operation, bodyHash };
}
