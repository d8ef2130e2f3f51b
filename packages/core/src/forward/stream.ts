import { assertNever, createServeError } from '../outcome';
import { createSilenceDetector } from '../stream/silence-detector';
import { createEventSequence } from './events';
import type { ServeError } from '../outcome';
import type { ServerId } from '../ids';
import type { RetryBudget } from '../call/budget';
import type { StreamEvent } from './events';

/** How an attempt ended without finishing the stream. */
export type AttemptLoss =
  /** No connection: the engine has not seen the request. */
  | 'not_sent'
  /** Another process has the engine's address, and has not run the request. */
  | 'misdirected'
  /** The engine said that it has not run the request. */
  | 'rejected'
  /** The engine does not hold the copy that the attempt was to go on from. */
  | 'no_copy'
  /** The exchange broke off. */
  | 'reset'
  /** The bytes are no valid stream, or not the one that was asked for. */
  | 'garbled'
  /** The engine answered with a failure of its own. */
  | 'failed'
  | 'silent';

export interface ForwardStreamSettings {
  readonly startedAtMs: number;
  /** The caller is answered by then; the earlier of its own deadline and the route's timeout. */
  readonly deadlineAtMs: number;
  readonly targetMs: number;
  readonly gapTargetMs: number;
  readonly attemptsMax: number;
  readonly isResumable: boolean;
  readonly lastEventId: number | undefined;
  readonly budget: RetryBudget;
}

/** A copy of a run's memory on another engine, and how engines name it. */
export interface KvCacheCopy {
  readonly engineId: ServerId;
  readonly address: string;
  readonly id: string;
  /** The engine of the run makes it only when asked, instead of all the time. */
  readonly isOnDemand: boolean;
}

/** Where an attempt went. */
export interface PlacedAttempt {
  readonly engineId: ServerId;
  /** Copy that the engine makes while it runs the attempt. */
  readonly copy: KvCacheCopy | undefined;
  readonly expectedFirstEventMs: number;
}

export type ForwardStreamEvent =
  | { readonly kind: 'placed'; readonly attemptNo: number; readonly placed: PlacedAttempt }
  | {
      readonly kind: 'unplaced';
      readonly attemptNo: number;
      /** 'no_time': no engine could bring the stream to its end before its deadline. */
      readonly reason: 'no_engine' | 'no_time';
      readonly message: string;
    }
  | { readonly kind: 'events'; readonly attemptNo: number; readonly events: readonly StreamEvent[] }
  /** The engine ended the stream as complete. */
  | { readonly kind: 'end'; readonly attemptNo: number }
  | { readonly kind: 'lost'; readonly attemptNo: number; readonly loss: AttemptLoss }
  /** Many servers of the engine's failure domain were lost together. */
  | { readonly kind: 'engine_suspected' }
  /** The engine that kept the copy was lost. */
  | { readonly kind: 'copy_lost'; readonly engineId: ServerId }
  /** A copy that was asked for is complete. */
  | { readonly kind: 'copied'; readonly attemptNo: number; readonly copy: KvCacheCopy }
  | { readonly kind: 'not_copied'; readonly attemptNo: number }
  | { readonly kind: 'tick' };

export type ForwardStreamEffect =
  | {
      readonly kind: 'send';
      readonly attemptNo: number;
      readonly lastEventId: number | undefined;
      /** Copy of the run that the attempt goes on from; it goes to the engine that holds it. */
      readonly resumeFrom: KvCacheCopy | undefined;
      /** Engines that lost the stream. */
      readonly excluded: ReadonlySet<ServerId>;
      readonly cause: AttemptLoss | 'first';
    }
  /** Closes the attempt's connection; `loss` says why, undefined if the engine did nothing wrong. */
  | {
      readonly kind: 'cancel';
      readonly attemptNo: number;
      readonly loss: 'silent' | 'garbled' | undefined;
    }
  /** Asks the engine of the attempt for a copy of its run: a new one, or what a former one lacks. */
  | {
      readonly kind: 'copy';
      readonly attemptNo: number;
      readonly existingCopy: KvCacheCopy | undefined;
    }
  /** The attempt's status and header fields are the caller's. Once a stream. */
  | { readonly kind: 'begin'; readonly attemptNo: number }
  | { readonly kind: 'deliver'; readonly event: StreamEvent }
  | { readonly kind: 'finish' }
  /** The last attempt's own failure is the caller's answer. */
  | { readonly kind: 'pass_failure'; readonly attemptNo: number }
  /** Before `begin` an error for the caller, afterwards the stream is cut. */
  | { readonly kind: 'fail'; readonly error: ServeError };

export interface ForwardStream {
  readonly start: () => ForwardStreamEffect[];
  readonly onEvent: (event: ForwardStreamEvent, nowMs: number) => ForwardStreamEffect[];
  readonly wakeAtMs: () => number | undefined;
  readonly hasBegun: () => boolean;
  /** Attempts that may have run. */
  readonly runCount: () => number;
}

/** Part of the allowed gap after which a silent engine is given up; the rest is for going on. */
const SILENCE_MIN_RATIO = 0.36;
const SILENCE_MAX_RATIO = 0.6;
/** The same once many servers of the engine's failure domain were lost. */
const SUSPECTED_SILENCE_RATIO = 0.2;
/**
 * Wait for the first event, as a multiple of the expected one. Prompts of other routers may be ahead
 * in the engine, so a prompt is given up no sooner than reading it elsewhere would be on time.
 */
const FIRST_EVENT_WAIT_FACTOR = 2.2;
const REPEATED_PREFILL_FACTOR = 1.25;
const REPEATED_PREFILL_MARGIN_MS = 300;
const FIRST_EVENT_WAIT_MIN_MS = 400;
/** Wait for a sign of an engine that reads a prompt, once its failure domain seems lost. */
const SUSPECTED_PREFILL_WAIT_MS = 150;
/** Wait for the first event of an attempt that goes on from a copy. */
const COPY_RESUME_WAIT_MS = 900;
/** A run that has just begun is copied once its engine has settled. */
const COPY_START_DELAY_MS = 50;
/** A copy on demand is brought up to date so often; what it lacks has to be read again. */
const COPY_UPDATE_PERIOD_MS = 1_000;
const COPY_RETRY_DELAY_MS = 400;
/** Wait before engines are looked for again when none could be used. */
const PLACEMENT_RETRY_DELAY_MS = 100;
/** Sends of one request, those included that reached no engine. */
const SENDS_PER_ATTEMPT = 2;
const NOT_RUN_LOSSES: ReadonlySet<AttemptLoss> = new Set([
  'not_sent',
  'misdirected',
  'rejected',
  'no_copy',
]);
/** Retry-After of a refusal for which no better time is known. */
const RETRY_AFTER_MS = 1_000;

interface CurrentAttempt {
  readonly attemptNo: number;
  readonly isFromCopy: boolean;
  placed: PlacedAttempt | undefined;
  copy: KvCacheCopy | undefined;
  isCopying: boolean;
  /** When a copy is asked for next; undefined if there is no need. */
  copyAtMs: number | undefined;
  sentAtMs: number;
  hasEvents: boolean;
}

/** Decides how one stream is carried to its end over engines that fail. */
export function createForwardStream(settings: ForwardStreamSettings): ForwardStream {
  const sequence = createEventSequence(settings.lastEventId);
  const excluded = new Set<ServerId>();
  const pace = createSilenceDetector(
    {
      minMs: settings.gapTargetMs * SILENCE_MIN_RATIO,
      maxMs: settings.gapTargetMs * SILENCE_MAX_RATIO,
      firstTokenMs: settings.targetMs,
      resumeFirstTokenMs: settings.targetMs,
    },
    settings.startedAtMs,
  );
  let live: CurrentAttempt | undefined;
  let sends = 0;
  let runs = 0;
  let hasBegun = false;
  let hasEnded = false;
  let doubtedAtMs: number | undefined;
  let replaceAtMs: number | undefined;
  let lastCause: AttemptLoss | 'first' = 'first';
  let wasUnknown = false;

  function send(
    resumeFrom: KvCacheCopy | undefined,
    cause: AttemptLoss | 'first',
  ): ForwardStreamEffect[] {
    sends += 1;
    lastCause = cause;
    doubtedAtMs = undefined;
    replaceAtMs = undefined;
    live = {
      attemptNo: sends,
      isFromCopy: resumeFrom !== undefined,
      placed: undefined,
      copy: undefined,
      isCopying: false,
      copyAtMs: undefined,
      sentAtMs: 0,
      hasEvents: false,
    };
    pace.onAttemptPlacing();
    return [
      {
        kind: 'send',
        attemptNo: sends,
        lastEventId: sequence.lastId(),
        resumeFrom,
        excluded: new Set(excluded),
        cause,
      },
    ];
  }

  function end(effect: ForwardStreamEffect): ForwardStreamEffect[] {
    hasEnded = true;
    const cancels: ForwardStreamEffect[] =
      live === undefined ? [] : [{ kind: 'cancel', attemptNo: live.attemptNo, loss: undefined }];
    live = undefined;
    return [...cancels, effect];
  }

  function fail(message: string): ForwardStreamEffect[] {
    const isNotRun = !hasBegun && !wasUnknown;
    const error = isNotRun
      ? createServeError('no_backend', message, 'not_run', RETRY_AFTER_MS)
      : createServeError('backend_failed', message, 'unknown');
    return end({ kind: 'fail', error });
  }

  /** A repeat would be in vain, so no time for one is named. */
  function failForTime(message: string): ForwardStreamEffect[] {
    const runState = !hasBegun && !wasUnknown ? 'not_run' : 'unknown';
    return end({ kind: 'fail', error: createServeError('deadline_exceeded', message, runState) });
  }

  /** An attempt may have run unless the engine says otherwise; that forbids "not run" later. */
  function noteRun(loss: AttemptLoss): void {
    if (NOT_RUN_LOSSES.has(loss)) return;
    runs += 1;
    wasUnknown = true;
  }

  function next(attempt: CurrentAttempt, loss: AttemptLoss, nowMs: number): ForwardStreamEffect[] {
    noteRun(loss);
    live = undefined;
    const engineId = attempt.placed?.engineId;
    if (engineId !== undefined) excluded.add(engineId);
    const mayGoOn = settings.isResumable || (!hasBegun && !wasUnknown);
    if (nowMs >= settings.deadlineAtMs) return fail('the deadline passed');
    if (!mayGoOn || runs >= settings.attemptsMax || sends >= maxSends()) {
      return loss === 'failed' && !hasBegun ? passFailure(attempt) : fail(`lost: ${loss}`);
    }
    // An engine that could not be reached has got no request; all others draw on the budget.
    if (loss !== 'not_sent' && !settings.budget.tryTake()) {
      return loss === 'failed' && !hasBegun
        ? passFailure(attempt)
        : fail('the retry budget is used up');
    }
    return send(canUseCopy(attempt, loss) ? attempt.copy : undefined, loss);
  }

  function maxSends(): number {
    return settings.attemptsMax * SENDS_PER_ATTEMPT;
  }

  function passFailure(attempt: CurrentAttempt): ForwardStreamEffect[] {
    hasEnded = true;
    return [{ kind: 'pass_failure', attemptNo: attempt.attemptNo }];
  }

  /** Engines copy what they run, not what they still read; a copy that was refused is gone. */
  function canUseCopy(attempt: CurrentAttempt, loss: AttemptLoss): boolean {
    if (!attempt.hasEvents) return false;
    switch (loss) {
      case 'reset':
      case 'silent':
      case 'garbled':
        return true;
      case 'not_sent':
      case 'misdirected':
      case 'rejected':
      case 'no_copy':
      case 'failed':
        return false;
      default:
        return assertNever(loss);
    }
  }

  function onEvents(
    attempt: CurrentAttempt,
    events: readonly StreamEvent[],
    nowMs: number,
  ): ForwardStreamEffect[] {
    const effects: ForwardStreamEffect[] = [];
    for (const event of events) {
      const verdict = sequence.accept(event.id);
      if (verdict === 'gap') {
        effects.push({ kind: 'cancel', attemptNo: attempt.attemptNo, loss: 'garbled' });
        return [...effects, ...next(attempt, 'garbled', nowMs)];
      }
      if (!attempt.hasEvents) onFirstEvent(attempt, nowMs);
      attempt.hasEvents = true;
      doubtedAtMs = undefined;
      pace.onToken(nowMs);
      if (verdict === 'next') {
        if (!hasBegun) effects.push({ kind: 'begin', attemptNo: attempt.attemptNo });
        hasBegun = true;
        effects.push({ kind: 'deliver', event });
      }
    }
    return effects;
  }

  /** An engine copies a run only once it runs; a copy that was lost before is made now. */
  function onFirstEvent(attempt: CurrentAttempt, nowMs: number): void {
    if (attempt.copy === undefined) attempt.copyAtMs = nowMs + COPY_START_DELAY_MS;
  }

  function onCopyLost(attempt: CurrentAttempt, engineId: ServerId, nowMs: number): void {
    if (attempt.copy?.engineId !== engineId) return;
    attempt.copy = undefined;
    if (attempt.hasEvents) attempt.copyAtMs = nowMs;
  }

  function askForCopy(attempt: CurrentAttempt, nowMs: number): ForwardStreamEffect[] {
    if (attempt.copyAtMs === undefined || attempt.isCopying || nowMs < attempt.copyAtMs) return [];
    attempt.copyAtMs = undefined;
    attempt.isCopying = true;
    return [{ kind: 'copy', attemptNo: attempt.attemptNo, existingCopy: attempt.copy }];
  }

  function onCopied(attempt: CurrentAttempt, copy: KvCacheCopy | undefined, nowMs: number): void {
    attempt.isCopying = false;
    attempt.copy = copy;
    attempt.copyAtMs = nowMs + (copy === undefined ? COPY_RETRY_DELAY_MS : COPY_UPDATE_PERIOD_MS);
  }

  /** When the live attempt counts as silent. */
  function silentAtMs(): number {
    if (live?.placed === undefined) return Infinity;
    if (!live.hasEvents) {
      const atMs = live.sentAtMs + firstWaitMs(live, live.placed);
      return doubtedAtMs === undefined
        ? atMs
        : Math.min(atMs, doubtedAtMs + SUSPECTED_PREFILL_WAIT_MS);
    }
    const atMs = pace.silentAtMs();
    if (doubtedAtMs === undefined) return atMs;
    return Math.min(atMs, pace.lastActivityAtMs() + settings.gapTargetMs * SUSPECTED_SILENCE_RATIO);
  }

  function firstWaitMs(attempt: CurrentAttempt, placed: PlacedAttempt): number {
    if (attempt.isFromCopy && hasBegun) return COPY_RESUME_WAIT_MS;
    const expectedMs = placed.expectedFirstEventMs;
    const shortestMs = Math.max(FIRST_EVENT_WAIT_MIN_MS, expectedMs * FIRST_EVENT_WAIT_FACTOR);
    const rereadMs = expectedMs * REPEATED_PREFILL_FACTOR + REPEATED_PREFILL_MARGIN_MS;
    const latestMs = settings.startedAtMs + settings.targetMs - rereadMs - attempt.sentAtMs;
    // Once neither engine would be on time, the one that has begun to read is the better one.
    return latestMs >= shortestMs ? latestMs : Math.max(shortestMs, settings.targetMs);
  }

  function onTick(nowMs: number): ForwardStreamEffect[] {
    if (nowMs >= settings.deadlineAtMs) return fail('the deadline passed');
    if (live === undefined) {
      if (replaceAtMs === undefined || nowMs < replaceAtMs) return [];
      return send(undefined, lastCause);
    }
    if (nowMs < silentAtMs()) return askForCopy(live, nowMs);
    const silent = live;
    return [
      { kind: 'cancel', attemptNo: silent.attemptNo, loss: 'silent' },
      ...next(silent, 'silent', nowMs),
    ];
  }

  function onUnplaced(
    { reason, message }: Extract<ForwardStreamEvent, { kind: 'unplaced' }>,
    nowMs: number,
  ): ForwardStreamEffect[] {
    live = undefined;
    if (reason === 'no_time') return failForTime(message);
    // Engines that lost the stream may have restarted; better one of them than none.
    excluded.clear();
    const isHopeless =
      sends >= maxSends() || nowMs + PLACEMENT_RETRY_DELAY_MS >= settings.deadlineAtMs;
    if (!hasBegun || isHopeless) return fail(message);
    replaceAtMs = nowMs + PLACEMENT_RETRY_DELAY_MS;
    return [];
  }

  function onLive(
    attempt: CurrentAttempt,
    event: Exclude<ForwardStreamEvent, { kind: 'tick' | 'engine_suspected' | 'copy_lost' }>,
    nowMs: number,
  ): ForwardStreamEffect[] {
    switch (event.kind) {
      case 'placed':
        attempt.placed = event.placed;
        attempt.copy = event.placed.copy;
        attempt.sentAtMs = nowMs;
        pace.onAttemptSent(nowMs, sends === 1);
        return [];
      case 'unplaced':
        return onUnplaced(event, nowMs);
      case 'events':
        return onEvents(attempt, event.events, nowMs);
      case 'end': {
        runs += 1;
        live = undefined;
        hasEnded = true;
        const begin: ForwardStreamEffect[] = hasBegun
          ? []
          : [{ kind: 'begin', attemptNo: attempt.attemptNo }];
        hasBegun = true;
        return [...begin, { kind: 'finish' }];
      }
      case 'lost':
        return next(attempt, event.loss, nowMs);
      case 'copied':
        onCopied(attempt, event.copy, nowMs);
        return [];
      case 'not_copied':
        onCopied(attempt, undefined, nowMs);
        return [];
      default:
        return assertNever(event);
    }
  }

  return {
    start: () => {
      settings.budget.onRequest();
      return send(undefined, 'first');
    },
    onEvent: (event, nowMs) => {
      if (hasEnded) return [];
      switch (event.kind) {
        case 'tick':
          return onTick(nowMs);
        case 'engine_suspected':
          doubtedAtMs = nowMs;
          return onTick(nowMs);
        case 'copy_lost':
          if (live === undefined) return [];
          onCopyLost(live, event.engineId, nowMs);
          return askForCopy(live, nowMs);
        case 'copied':
        case 'not_copied':
        case 'placed':
        case 'unplaced':
        case 'events':
        case 'end':
        case 'lost':
          // Attempts that were given up no longer count.
          if (live?.attemptNo !== event.attemptNo) return [];
          return onLive(live, event, nowMs);
        default:
          return assertNever(event);
      }
    },
    wakeAtMs: () => {
      if (hasEnded) return undefined;
      const copyAtMs = live?.isCopying === false ? live.copyAtMs : undefined;
      return Math.min(
        settings.deadlineAtMs,
        replaceAtMs ?? Infinity,
        copyAtMs ?? Infinity,
        silentAtMs(),
      );
    },
    hasBegun: () => hasBegun,
    runCount: () => runs,
  };
}
