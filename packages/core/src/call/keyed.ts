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
  /** Unique for all time. Identifies the claim after a commit without an answer. */
  readonly attemptId: string;
  readonly routerId: RouterId;
  readonly requestId: RequestId;
  readonly operation: string;
  readonly bodyHash: string;
  /** Whether the service can be asked if it has run the call with this key. */
  readonly hasLookup: boolean;
  /** Only reports the outcome of an earlier call; never claims or sends. */
  readonly isLookupOnly: boolean;
  readonly deadlineAtMs: number;
  /** Wall-clock time that is stored in the record. */
  readonly wallClockMs: number;
}

export type WritePurpose = 'claim' | 'done' | 'unknown' | 'released';

/** An event that the router reports to a keyed call. */
export type KeyedCallEvent =
  | {
      readonly kind: 'committed';
      readonly purpose: WritePurpose;
      readonly outcome: 'ok' | 'unavailable' | 'unknown';
    }
  | {
      readonly kind: 'conflict';
      readonly purpose: WritePurpose;
      /** The row that caused the conflict; undefined if it no longer exists. */
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

/**
 * An action that the router carries out for a keyed call. At most one read, commit, lookup or
 * question to an owner is outstanding at any time.
 */
export type KeyedCallEffect =
  | {
      readonly kind: 'commit';
      readonly purpose: WritePurpose;
      /** Expected version of the row; 'absent' if there must be none, 'any' for no condition. */
      readonly replaces: number | 'absent' | 'any';
      readonly record: CallRecord;
    }
  | { readonly kind: 'read' }
  | { readonly kind: 'ask_owner'; readonly routerId: RouterId; readonly attemptId: string }
  | { readonly kind: 'lookup' }
  | { readonly kind: 'send'; readonly sendNo: number }
  /** The result for the caller, at most once; writes of the record may follow it. */
  | { readonly kind: 'answer'; readonly result: CallResult };

/**
 * The protocol by which a call with an idempotency key runs at most once: a router sends the call
 * only after it has claimed the key in the store. Does no I/O itself.
 */
export interface KeyedCall {
  readonly start: (nowMs: number) => KeyedCallEffect[];
  readonly onEvent: (event: KeyedCallEvent, nowMs: number) => KeyedCallEffect[];
  /** When to report the next 'tick'; undefined while the call waits only for other events. */
  readonly wakeAtMs: () => number | undefined;
  /** The answer to another router that asks for the state of this claim. */
  readonly ownerAnswer: () => OwnerAnswer;
  /** True if the call will not be sent, but a claim whose commit had no answer may still appear. */
  readonly hasUnconfirmedClaim: () => boolean;
  readonly hasEnded: () => boolean;
}

type Phase =
  /** Reads the row of a call that is only looked up. */
  | 'first_read'
  | 'claiming'
  /** Reads the row, to see whether a claim whose commit had no answer was applied. */
  | 'reading_back'
  | 'asking'
  /** Reads the row again: its owner is gone, but may have recorded the outcome before. */
  | 'rereading'
  | 'looking_up'
  | 'sent'
  | 'recording'
  | 'ended';

/** Sends that may reach no server before the call ends as not run. */
const SENDS_MAX = 3;
/** Claim commits that may go without an answer before the call ends as not run. */
const LOST_CLAIMS_MAX = 3;
const LOOKUPS_MAX = 4;
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 5_000;
/** Longer than the usual outages of the store. After it, the claim stays in the row. */
const RECORDING_TIMEOUT_MS = 600_000;

/** Times, other than `wallClockMs`, must come from a monotonic clock. */
export function createKeyedCall(settings: KeyedCallSettings): KeyedCall {
  let phase: Phase = 'claiming';
  let replaces: number | 'absent' = 'absent';
  let lostClaims = 0;
  let lookups = 0;
  let sends = 0;
  let hasAnswered = false;
  let ownsClaim = false;
  let mustNotSend = false;
  let outcome: OwnerAnswer = { kind: 'running' };
  let foundRow: VersionedRecord | undefined;
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

  function scheduleRetry(effect: KeyedCallEffect, nowMs: number): KeyedCallEffect[] {
    retry = { atMs: nowMs + delayMs, effect };
    delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
    return [];
  }

  function claim(nowMs: number): KeyedCallEffect[] {
    if (settings.isLookupOnly) return end(noRunRecorded(), { kind: 'not_sent' });
    if (mustNotSend || nowMs >= settings.deadlineAtMs) {
      return end(expiredBeforeSend(), { kind: 'not_sent' });
    }
    phase = 'claiming';
    return [{ kind: 'commit', purpose: 'claim', replaces, record: recordOf('claimed') }];
  }

  function send(nowMs: number): KeyedCallEffect[] {
    ownsClaim = true;
    // If the router was paused between claim and send, the caller may have given up meanwhile.
    if (mustNotSend || nowMs >= settings.deadlineAtMs) return release(expiredBeforeSend(), nowMs);
    sends += 1;
    phase = 'sent';
    return [{ kind: 'send', sendNo: sends }];
  }

  /** Ends the call without a send; a claim that turns out to have been applied is released. */
  function abandon(result: CallResult, nowMs: number): KeyedCallEffect[] {
    mustNotSend = true;
    outcome = { kind: 'not_sent' };
    phase = 'reading_back';
    recordingUntilMs = nowMs + RECORDING_TIMEOUT_MS;
    scheduleRetry({ kind: 'read' }, nowMs);
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
    return [...answer(okResult(status, body, !ownsClaim)), doneCommit(status, body)];
  }

  /** Unconditional: a call that ran is never claimed again, so no newer claim can be lost. */
  function doneCommit(status: number, body: string): KeyedCallEffect {
    const own = recordOf('done', status, body);
    const claimant = ownsClaim || foundRow === undefined ? own : foundRow.record;
    const record = { ...own, ...claimIdentityOf(claimant) };
    return { kind: 'commit', purpose: 'done', replaces: 'any', record };
  }

  function onRow(row: VersionedRecord, nowMs: number): KeyedCallEffect[] {
    const { record } = row;
    foundRow = row;
    if (record.attemptId === settings.attemptId && record.state === 'claimed') return send(nowMs);
    if (mustNotSend) return end(storeUnavailable(), { kind: 'not_sent' });
    const isSame = record.bodyHash === settings.bodyHash && record.operation === settings.operation;
    if (!isSame && !settings.isLookupOnly) return end(keyReused(), { kind: 'not_sent' });
    switch (record.state) {
      case 'done':
        return end(replayResult(record), { kind: 'not_sent' });
      case 'released':
        replaces = row.version;
        return claim(nowMs);
      case 'unknown':
        return startLookup(nowMs);
      case 'claimed':
        phase = 'asking';
        return [askOwner(record)];
      default:
        return assertNever(record.state);
    }
  }

  function startLookup(nowMs: number): KeyedCallEffect[] {
    if (!settings.hasLookup || lookups >= LOOKUPS_MAX) return endWithoutOutcome(nowMs);
    lookups += 1;
    phase = 'looking_up';
    return [{ kind: 'lookup' }];
  }

  function endWithoutOutcome(nowMs: number): KeyedCallEffect[] {
    return ownsClaim ? recordUnknown(nowMs) : end(outcomeUnknown(), { kind: 'not_sent' });
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
    return retryRecording(nowMs);
  }

  function retryRecording(nowMs: number): KeyedCallEffect[] {
    if (nowMs >= recordingUntilMs) {
      phase = 'ended';
      return [];
    }
    const effect: KeyedCallEffect =
      outcome.kind === 'done' ? doneCommit(outcome.status, outcome.body) : { kind: 'read' };
    return scheduleRetry(effect, nowMs);
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
    return isCurrent ? retryRecording(nowMs) : [];
  }

  function onRead(row: VersionedRecord | undefined, nowMs: number): KeyedCallEffect[] {
    if (phase === 'recording') return overwriteOwnClaim(row);
    if (phase === 'reading_back') {
      // The earlier commit may still be applied. Committing the same claim again is harmless, since
      // the call is sent only once a claim is confirmed.
      if (row === undefined) return claim(nowMs);
      const isUnchanged = row.version === replaces;
      return isUnchanged ? claim(nowMs) : onRow(row, nowMs);
    }
    if (phase === 'first_read') return row === undefined ? claim(nowMs) : onRow(row, nowMs);
    if (phase !== 'rereading') return [];
    if (row === undefined) return endWithoutOutcome(nowMs);
    const isSameClaim = row.record.attemptId === foundRow?.record.attemptId;
    return isSameClaim && row.record.state === 'claimed' ? startLookup(nowMs) : onRow(row, nowMs);
  }

  /** Writes 'released' or 'unknown', but only over the claim of this attempt. */
  function overwriteOwnClaim(row: VersionedRecord | undefined): KeyedCallEffect[] {
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
    if (phase === 'recording') return retryRecording(nowMs);
    if (phase === 'first_read') return end(lookupUnavailable(), { kind: 'not_sent' });
    if (phase === 'reading_back') {
      if (nowMs >= settings.deadlineAtMs + RECORDING_TIMEOUT_MS) {
        return end(storeUnavailable(), { kind: 'not_sent' });
      }
      return scheduleRetry({ kind: 'read' }, nowMs);
    }
    return phase === 'rereading' ? startLookup(nowMs) : [];
  }

  function onOwner(reply: OwnerAnswer, nowMs: number): KeyedCallEffect[] {
    if (phase !== 'asking' || foundRow === undefined) return [];
    switch (reply.kind) {
      case 'done':
        return end(okResult(reply.status, reply.body, true), { kind: 'not_sent' });
      case 'running':
        return scheduleRetry(askOwner(foundRow.record), nowMs);
      case 'not_sent':
        replaces = foundRow.version;
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
    // 'not_seen' does not mean not run: a paused server may still read the call from its socket.
    if (lookups >= LOOKUPS_MAX) return endWithoutOutcome(nowMs);
    lookups += 1;
    return scheduleRetry({ kind: 'lookup' }, nowMs);
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
        return phase === 'sent' ? startLookup(nowMs) : [];
      default:
        return assertNever(event.answer);
    }
  }

  function onDeadline(): KeyedCallEffect[] {
    switch (phase) {
      case 'claiming':
      case 'reading_back':
        mustNotSend = true;
        outcome = { kind: 'not_sent' };
        return answer(expiredBeforeSend());
      case 'first_read':
        return end(lookupUnavailable(), { kind: 'not_sent' });
      case 'asking':
        return end(callInProgress(), { kind: 'not_sent' });
      case 'rereading':
        return end(outcomeUnknown(), { kind: 'not_sent' });
      case 'looking_up':
        return ownsClaim ? answer(outcomeUnknown()) : end(outcomeUnknown(), { kind: 'not_sent' });
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
    hasUnconfirmedClaim: () => lostClaims > 0 && !ownsClaim && outcome.kind === 'not_sent',
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

/** Identity of a claim. An outcome found by a lookup is recorded under the original claim. */
function claimIdentityOf(
  record: CallRecord,
): Pick<CallRecord, 'attemptId' | 'routerId' | 'requestId' | 'operation' | 'bodyHash'> {
  const { attemptId, routerId, requestId, operation, bodyHash } = record;
  return { attemptId, routerId, requestId, operation, bodyHash };
}
