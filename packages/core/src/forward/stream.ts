import { assertNever, createServeError } from '../outcome';
import { createSilenceDetector } from '../stream/silence-detector';
import { createEventSequence } from './events';
import type { RunState, ServeError } from '../outcome';
import type { ServerId } from '../ids';
import type { RetryBudget } from '../call/budget';
import type { StreamEvent } from './events';

/** Why an attempt ended before the stream was complete. */
export type AttemptLoss =
  /** No connection could be made, so the engine has not received the request. */
  | 'not_sent'
  /** Another process listens at the engine's address and refused the request without running it. */
  | 'misdirected'
  /** The engine answered that it has not run the request. */
  | 'rejected'
  /** The engine no longer holds the KV cache copy from which the attempt was to resume. */
  | 'no_copy'
  /** The connection broke after the request had been sent. */
  | 'reset'
  /** The bytes are not a valid event stream, or event ids are missing from it. */
  | 'garbled'
  /** The engine answered with an error status. */
  | 'failed'
  /** No event arrived within the allowed time. */
  | 'silent';

/** The attempt that would replace a silent one. */
export interface ReplacementAttempt {
  readonly silentEngineId: ServerId;
  /** Engines that must not run it; contains the silent one. */
  readonly excluded: ReadonlySet<ServerId>;
  readonly resumeFrom: KvCacheCopy | undefined;
  readonly lastEventId: number | undefined;
}

export interface ForwardStreamSettings {
  readonly startedAtMs: number;
  /** The earlier of the caller's own deadline and the route's timeout. */
  readonly deadlineAtMs: number;
  readonly targetMs: number;
  readonly gapTargetMs: number;
  readonly attemptsMax: number;
  readonly isResumable: boolean;
  readonly lastEventId: number | undefined;
  readonly budget: RetryBudget;
  /**
   * Whether an engine can be chosen for the replacement now. Also true if the process of the silent
   * engine that ran the attempt is gone, so that it is useless to wait for it.
   */
  readonly canPlaceElsewhere: (replacement: ReplacementAttempt, nowMs: number) => boolean;
}

/**
 * A copy of an attempt's KV cache on another engine, from which that engine can resume the stream.
 * Engines identify the copy by `address` and `id`.
 */
export interface KvCacheCopy {
  readonly engineId: ServerId;
  readonly address: string;
  readonly id: string;
  /**
   * The copy is made and updated on request only, instead of continuously by the running engine.
   */
  readonly isOnDemand: boolean;
}

/** The engines chosen for an attempt. */
export interface PlacedAttempt {
  readonly engineId: ServerId;
  /** Copy that the engine maintains by itself while it runs the attempt. */
  readonly copy: KvCacheCopy | undefined;
  readonly expectedFirstEventMs: number;
}

export type ForwardStreamEvent =
  | { readonly kind: 'placed'; readonly attemptNo: number; readonly placed: PlacedAttempt }
  | {
      readonly kind: 'unplaced';
      readonly attemptNo: number;
      /**
       * 'no_time': no engine could complete the stream before its deadline; 'condemned': engines crash
       * when they begin to answer its prompt.
       */
      readonly reason: 'no_engine' | 'no_time' | 'condemned';
      readonly message: string;
    }
  /** The stream is not sent now, as its service has no room for it. */
  | {
      readonly kind: 'not_admitted';
      readonly attemptNo: number;
      readonly message: string;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'events'; readonly attemptNo: number; readonly events: readonly StreamEvent[] }
  /** The engine sent the complete stream. */
  | { readonly kind: 'end'; readonly attemptNo: number }
  | { readonly kind: 'lost'; readonly attemptNo: number; readonly loss: AttemptLoss }
  /** The attempt's engine may be lost: it failed for others, or many in its failure domain did. */
  | { readonly kind: 'engine_suspected' }
  /** The engine that held the KV cache copy was lost, or is leaving. */
  | { readonly kind: 'copy_lost'; readonly engineId: ServerId }
  /** Engines crash when they begin to answer the prompt. */
  | { readonly kind: 'prompt_condemned'; readonly message: string }
  /** A requested copy is complete. */
  | { readonly kind: 'copied'; readonly attemptNo: number; readonly copy: KvCacheCopy }
  | { readonly kind: 'not_copied'; readonly attemptNo: number }
  | { readonly kind: 'tick' };

export type ForwardStreamEffect =
  | {
      readonly kind: 'send';
      readonly attemptNo: number;
      readonly lastEventId: number | undefined;
      /** Copy to resume from; the attempt is then sent to the engine that holds the copy. */
      readonly resumeFrom: KvCacheCopy | undefined;
      /** Engines on which an earlier attempt was lost. */
      readonly excluded: ReadonlySet<ServerId>;
      readonly cause: AttemptLoss | 'first';
    }
  /** Closes the attempt's connection; `loss` is the engine's fault, undefined if it has none. */
  | {
      readonly kind: 'cancel';
      readonly attemptNo: number;
      readonly loss: 'silent' | 'garbled' | undefined;
    }
  /** The attempt's engine has fallen silent; the attempt is kept, as no other one can be sent. */
  | { readonly kind: 'hold'; readonly attemptNo: number }
  /** Asks the attempt's engine for a KV cache copy: a new one, or an update of `existingCopy`. */
  | {
      readonly kind: 'copy';
      readonly attemptNo: number;
      readonly existingCopy: KvCacheCopy | undefined;
    }
  /** Passes the attempt's status and header fields to the caller; at most once per stream. */
  | { readonly kind: 'begin'; readonly attemptNo: number }
  | { readonly kind: 'deliver'; readonly event: StreamEvent }
  | { readonly kind: 'finish' }
  /** Passes the attempt's error response to the caller as it is. */
  | { readonly kind: 'pass_failure'; readonly attemptNo: number }
  /** Before `begin` the caller gets the error; afterwards its connection is closed. */
  | { readonly kind: 'fail'; readonly error: ServeError };

export interface ForwardStream {
  readonly start: () => ForwardStreamEffect[];
  readonly onEvent: (event: ForwardStreamEvent, nowMs: number) => ForwardStreamEffect[];
  /** When the next `tick` is due; undefined once the stream has ended. */
  readonly wakeAtMs: () => number | undefined;
  readonly hasBegun: () => boolean;
  /** Number of attempts that an engine may have run. */
  readonly runCount: () => number;
}

/**
 * Least and greatest silence after which an engine is given up, as parts of the allowed gap between
 * events; in between, the stream's own pace decides. The remainder of the gap is left for resuming
 * on another engine.
 */
const SILENCE_MIN_RATIO = 0.36;
const SILENCE_MAX_RATIO = 0.6;
/** Part of the allowed gap after which a suspected engine is given up. */
const SUSPECTED_SILENCE_RATIO = 0.2;
/**
 * Shortest wait for the first event, as a multiple of the expected time. Prompts that other routers
 * sent may be ahead in the engine's queue, so the wait lasts as long as a prefill on another engine
 * would still meet the target.
 */
const FIRST_EVENT_WAIT_FACTOR = 2.2;
/**
 * Time reserved for a prefill on another engine: this multiple of the expected time, plus the
 * margin.
 */
const REPEATED_PREFILL_FACTOR = 1.25;
const REPEATED_PREFILL_MARGIN_MS = 300;
const FIRST_EVENT_WAIT_MIN_MS = 400;
/** Wait for the first event of a suspected engine, counted from the suspicion. */
const SUSPECTED_PREFILL_WAIT_MS = 150;
/**
 * Wait for the first event of an attempt that resumes from a KV cache copy: it needs no prefill.
 */
const COPY_RESUME_WAIT_MS = 900;
/**
 * Delay from an attempt's first event to its first copy, so that the engine's batch has settled.
 */
const COPY_START_DELAY_MS = 50;
/**
 * Period of updates of a copy; tokens that the copy lacks need a prefill when the stream resumes.
 */
const COPY_UPDATE_PERIOD_MS = 1_000;
const COPY_RETRY_DELAY_MS = 400;
/** Delay before a begun stream is placed anew when no engine was usable or the budget is used up. */
const PLACEMENT_RETRY_DELAY_MS = 100;
/** Delay until it is looked again whether a silent attempt can be replaced by another one. */
const HOLD_RECHECK_MS = 100;
/**
 * Sends allowed per attempt of the route's limit, including those that reached no engine. A begun
 * stream sends on after that, but with a delay.
 */
const SENDS_PER_ATTEMPT = 2;
/**
 * An engine may repeat events that the caller has; one that repeats more than this sends no answer.
 */
const DUPLICATES_MAX = 2_000;
const NOT_RUN_LOSSES: ReadonlySet<AttemptLoss> = new Set([
  'not_sent',
  'misdirected',
  'rejected',
  'no_copy',
]);
/** Retry-After of a stream that found no usable engine; when one will be usable is unknown. */
const RETRY_AFTER_MS = 1_000;

interface CurrentAttempt {
  readonly attemptNo: number;
  readonly isFromCopy: boolean;
  placed: PlacedAttempt | undefined;
  copy: KvCacheCopy | undefined;
  isCopying: boolean;
  /** When the next copy or update is requested; undefined if none is due. */
  copyAtMs: number | undefined;
  sentAtMs: number;
  hasEvents: boolean;
  /** Events that the caller already has. */
  duplicates: number;
}

interface NextAttempt {
  readonly resumeFrom: KvCacheCopy | undefined;
  readonly cause: AttemptLoss | 'first';
  /** Whether a retry has still to be taken from the budget for it. */
  readonly needsBudget: boolean;
}

/** State machine that delivers one stream completely while its engines may fail. */
export function createForwardStream(settings: ForwardStreamSettings): ForwardStream {
  const sequence = createEventSequence(settings.lastEventId);
  const excluded = new Set<ServerId>();
  const silenceDetector = createSilenceDetector(
    {
      minMs: settings.gapTargetMs * SILENCE_MIN_RATIO,
      maxMs: settings.gapTargetMs * SILENCE_MAX_RATIO,
      firstTokenMs: settings.targetMs,
      resumeFirstTokenMs: settings.targetMs,
    },
    settings.startedAtMs,
  );
  let current: CurrentAttempt | undefined;
  let sendCount = 0;
  let runCount = 0;
  let hasBegun = false;
  let hasEnded = false;
  let suspectedAtMs: number | undefined;
  let placeAtMs: number | undefined;
  /** What a begun stream sends at `placeAtMs`. */
  let next: NextAttempt = { resumeFrom: undefined, cause: 'first', needsBudget: false };
  /** Until then the current attempt is kept although it is silent. */
  let heldUntilMs = -Infinity;
  let mayHaveRun = false;

  function send(
    resumeFrom: KvCacheCopy | undefined,
    cause: AttemptLoss | 'first',
  ): ForwardStreamEffect[] {
    sendCount += 1;
    next = { resumeFrom: undefined, cause, needsBudget: false };
    suspectedAtMs = undefined;
    placeAtMs = undefined;
    heldUntilMs = -Infinity;
    current = {
      attemptNo: sendCount,
      isFromCopy: resumeFrom !== undefined,
      placed: undefined,
      copy: undefined,
      isCopying: false,
      copyAtMs: undefined,
      sentAtMs: 0,
      hasEvents: false,
      duplicates: 0,
    };
    silenceDetector.onAttemptPlacing();
    return [
      {
        kind: 'send',
        attemptNo: sendCount,
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
      current === undefined
        ? []
        : [{ kind: 'cancel', attemptNo: current.attemptNo, loss: undefined }];
    current = undefined;
    return [...cancels, effect];
  }

  /** An engine may have run the stream also if it has the current attempt and has not answered yet. */
  function runState(): RunState {
    const isPlaced = current?.placed !== undefined;
    return hasBegun || mayHaveRun || isPlaced ? 'unknown' : 'not_run';
  }

  function fail(message: string): ForwardStreamEffect[] {
    const error =
      runState() === 'not_run'
        ? createServeError('no_backend', message, 'not_run', RETRY_AFTER_MS)
        : createServeError('backend_failed', message, 'unknown');
    return end({ kind: 'fail', error });
  }

  /** Fails without a Retry-After, because a repeat would miss the same deadline. */
  function failForDeadline(message: string): ForwardStreamEffect[] {
    return end({ kind: 'fail', error: createServeError('deadline_exceeded', message, runState()) });
  }

  /** Ends the stream without another attempt, and stops the current one before it crashes its engine. */
  function failCondemned(message: string): ForwardStreamEffect[] {
    return end({ kind: 'fail', error: createServeError('request_condemned', message, runState()) });
  }

  /** Counts an attempt that the engine may have run; from then on no error may claim `not_run`. */
  function countRun(loss: AttemptLoss): void {
    if (NOT_RUN_LOSSES.has(loss)) return;
    runCount += 1;
    mayHaveRun = true;
  }

  function tryNext(
    attempt: CurrentAttempt,
    loss: AttemptLoss,
    nowMs: number,
  ): ForwardStreamEffect[] {
    countRun(loss);
    current = undefined;
    const engineId = attempt.placed?.engineId;
    if (engineId !== undefined) excluded.add(engineId);
    const mayResume = settings.isResumable || (!hasBegun && !mayHaveRun);
    if (nowMs >= settings.deadlineAtMs) return fail('the deadline passed before the stream ended');
    if (!mayResume || runCount >= settings.attemptsMax || (!hasBegun && sendCount >= maxSends())) {
      return loss === 'failed' && !hasBegun
        ? passFailure(attempt)
        : fail(`the attempt was lost (${loss}), and the route allows no other one`);
    }
    const resumeFrom = canUseCopy(attempt, loss) ? attempt.copy : undefined;
    // A request that reached no engine adds no load, so only other repeats draw on the retry
    // budget.
    const needsBudget = loss !== 'not_sent';
    if (needsBudget && !settings.budget.tryTake()) {
      if (hasBegun) return sendLater({ resumeFrom, cause: loss, needsBudget }, nowMs);
      return loss === 'failed'
        ? passFailure(attempt)
        : fail('the attempt was lost, and the retry budget for another one is used up');
    }
    if (sendCount >= maxSends()) {
      return sendLater({ resumeFrom, cause: loss, needsBudget: false }, nowMs);
    }
    return send(resumeFrom, loss);
  }

  /** A begun stream goes on trying until its deadline: an error can no longer be sent. */
  function sendLater(attempt: NextAttempt, nowMs: number): ForwardStreamEffect[] {
    next = attempt;
    placeAtMs = nowMs + PLACEMENT_RETRY_DELAY_MS;
    return [];
  }

  function sendDue(nowMs: number): ForwardStreamEffect[] {
    if (next.needsBudget && !settings.budget.tryTake()) return sendLater(next, nowMs);
    return send(next.resumeFrom, next.cause);
  }

  /** A silent engine may go on, so its attempt is given up only if another one can be sent. */
  function canReplaceSilent(silent: CurrentAttempt, nowMs: number): boolean {
    return (
      settings.isResumable &&
      runCount + 1 < settings.attemptsMax &&
      (hasBegun || sendCount < maxSends()) &&
      settings.budget.available() > 0 &&
      canPlaceElsewhere(silent, nowMs)
    );
  }

  function canPlaceElsewhere(silent: CurrentAttempt, nowMs: number): boolean {
    if (silent.placed === undefined) return false;
    const silentEngineId = silent.placed.engineId;
    const replacement = {
      silentEngineId,
      // A begun stream that finds no engine tries those again on which it was lost before.
      excluded: new Set(hasBegun ? [silentEngineId] : [...excluded, silentEngineId]),
      resumeFrom: canUseCopy(silent, 'silent') ? silent.copy : undefined,
      lastEventId: sequence.lastId(),
    };
    return settings.canPlaceElsewhere(replacement, nowMs);
  }

  function hold(silent: CurrentAttempt, nowMs: number): ForwardStreamEffect[] {
    const isNew = heldUntilMs < silentAtMs();
    heldUntilMs = nowMs + HOLD_RECHECK_MS;
    const effects = requestCopy(silent, nowMs);
    return isNew ? [{ kind: 'hold', attemptNo: silent.attemptNo }, ...effects] : effects;
  }

  function giveUpAtMs(): number {
    return Math.max(silentAtMs(), heldUntilMs);
  }

  function maxSends(): number {
    return settings.attemptsMax * SENDS_PER_ATTEMPT;
  }

  function passFailure(attempt: CurrentAttempt): ForwardStreamEffect[] {
    hasEnded = true;
    return [{ kind: 'pass_failure', attemptNo: attempt.attemptNo }];
  }

  /**
   * Engines copy the KV cache only after the prefill, and a copy that an engine refused is gone.
   */
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
      if (verdict === 'duplicate') attempt.duplicates += 1;
      if (verdict === 'gap' || attempt.duplicates > DUPLICATES_MAX) {
        effects.push({ kind: 'cancel', attemptNo: attempt.attemptNo, loss: 'garbled' });
        return [...effects, ...tryNext(attempt, 'garbled', nowMs)];
      }
      if (!attempt.hasEvents) onFirstEvent(attempt, nowMs);
      attempt.hasEvents = true;
      suspectedAtMs = undefined;
      silenceDetector.onToken(nowMs);
      if (verdict === 'next') {
        if (!hasBegun) effects.push({ kind: 'begin', attemptNo: attempt.attemptNo });
        hasBegun = true;
        effects.push({ kind: 'deliver', event });
      }
    }
    return effects;
  }

  /** Requests a copy if the attempt has none; engines can copy only after the prefill. */
  function onFirstEvent(attempt: CurrentAttempt, nowMs: number): void {
    if (attempt.copy === undefined) attempt.copyAtMs = nowMs + COPY_START_DELAY_MS;
  }

  function onCopyLost(attempt: CurrentAttempt, engineId: ServerId, nowMs: number): void {
    if (attempt.copy?.engineId !== engineId) return;
    attempt.copy = undefined;
    if (attempt.hasEvents) attempt.copyAtMs = nowMs;
  }

  function requestCopy(attempt: CurrentAttempt, nowMs: number): ForwardStreamEffect[] {
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

  /** Time at which the current attempt counts as silent. */
  function silentAtMs(): number {
    if (current?.placed === undefined) return Infinity;
    if (!current.hasEvents) {
      const atMs = current.sentAtMs + firstWaitMs(current, current.placed);
      return suspectedAtMs === undefined
        ? atMs
        : Math.min(atMs, suspectedAtMs + SUSPECTED_PREFILL_WAIT_MS);
    }
    const atMs = silenceDetector.silentAtMs();
    if (suspectedAtMs === undefined) return atMs;
    return Math.min(
      atMs,
      silenceDetector.lastActivityAtMs() + settings.gapTargetMs * SUSPECTED_SILENCE_RATIO,
    );
  }

  function firstWaitMs(attempt: CurrentAttempt, placed: PlacedAttempt): number {
    if (attempt.isFromCopy && hasBegun) return COPY_RESUME_WAIT_MS;
    const expectedMs = placed.expectedFirstEventMs;
    const shortestMs = Math.max(FIRST_EVENT_WAIT_MIN_MS, expectedMs * FIRST_EVENT_WAIT_FACTOR);
    const repeatedPrefillMs = expectedMs * REPEATED_PREFILL_FACTOR + REPEATED_PREFILL_MARGIN_MS;
    const latestMs =
      settings.startedAtMs + settings.targetMs - repeatedPrefillMs - attempt.sentAtMs;
    // If another engine would miss the target too, the one that has started the prefill is faster.
    return latestMs >= shortestMs ? latestMs : Math.max(shortestMs, settings.targetMs);
  }

  function onTick(nowMs: number): ForwardStreamEffect[] {
    if (nowMs >= settings.deadlineAtMs) return fail('the deadline passed before the stream ended');
    if (current === undefined) {
      if (placeAtMs === undefined || nowMs < placeAtMs) return [];
      return sendDue(nowMs);
    }
    if (nowMs < giveUpAtMs()) return requestCopy(current, nowMs);
    if (!canReplaceSilent(current, nowMs)) return hold(current, nowMs);
    const silent = current;
    return [
      { kind: 'cancel', attemptNo: silent.attemptNo, loss: 'silent' },
      ...tryNext(silent, 'silent', nowMs),
    ];
  }

  function onUnplaced(
    { reason, message }: Extract<ForwardStreamEvent, { kind: 'unplaced' }>,
    nowMs: number,
  ): ForwardStreamEffect[] {
    current = undefined;
    if (reason === 'no_time') return failForDeadline(message);
    if (reason === 'condemned') return failCondemned(message);
    // Engines on which attempts were lost may have restarted, and no other engine is usable.
    excluded.clear();
    return hasBegun ? sendLater(next, nowMs) : fail(message);
  }

  function onNotAdmitted({
    message,
    retryAfterMs,
  }: Extract<ForwardStreamEvent, { kind: 'not_admitted' }>): ForwardStreamEffect[] {
    current = undefined;
    const error = createServeError('overloaded', message, runState(), retryAfterMs);
    return end({ kind: 'fail', error });
  }

  function onAttemptEvent(
    attempt: CurrentAttempt,
    event: Extract<ForwardStreamEvent, { attemptNo: number }>,
    nowMs: number,
  ): ForwardStreamEffect[] {
    switch (event.kind) {
      case 'placed':
        attempt.placed = event.placed;
        attempt.copy = event.placed.copy;
        attempt.sentAtMs = nowMs;
        silenceDetector.onAttemptSent(nowMs, sendCount === 1);
        return [];
      case 'unplaced':
        return onUnplaced(event, nowMs);
      case 'not_admitted':
        return onNotAdmitted(event);
      case 'events':
        return onEvents(attempt, event.events, nowMs);
      case 'end': {
        runCount += 1;
        current = undefined;
        hasEnded = true;
        const begin: ForwardStreamEffect[] = hasBegun
          ? []
          : [{ kind: 'begin', attemptNo: attempt.attemptNo }];
        hasBegun = true;
        return [...begin, { kind: 'finish' }];
      }
      case 'lost':
        return tryNext(attempt, event.loss, nowMs);
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
          suspectedAtMs = nowMs;
          return onTick(nowMs);
        case 'copy_lost':
          if (current === undefined) return [];
          onCopyLost(current, event.engineId, nowMs);
          return requestCopy(current, nowMs);
        case 'prompt_condemned':
          // A stream that has begun keeps its engine; whether it may go on elsewhere is asked then.
          return hasBegun ? [] : failCondemned(event.message);
        case 'copied':
        case 'not_copied':
        case 'placed':
        case 'unplaced':
        case 'not_admitted':
        case 'events':
        case 'end':
        case 'lost':
          // Ignores late events of attempts that were given up.
          if (current?.attemptNo !== event.attemptNo) return [];
          return onAttemptEvent(current, event, nowMs);
        default:
          return assertNever(event);
      }
    },
    wakeAtMs: () => {
      if (hasEnded) return undefined;
      const copyAtMs = current?.isCopying === false ? current.copyAtMs : undefined;
      return Math.min(
        settings.deadlineAtMs,
        placeAtMs ?? Infinity,
        copyAtMs ?? Infinity,
        giveUpAtMs(),
      );
    },
    hasBegun: () => hasBegun,
    runCount: () => runCount,
  };
}
