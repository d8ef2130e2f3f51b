import type { PriorityClass } from './priority';

/** Load of all routers together on the engines of one service, by the newest reports. */
export interface ServiceLoad {
  /** Part of the slots of all engines that are not avoided or lost, from 0. */
  readonly slotsRatio: number;
  /** Part of the memory of these engines, by known tokens. */
  readonly memoryRatio: number;
  /** Mean time until one of these engines has done the prefills that were sent to it. */
  readonly prefillMs: number;
  /** An engine lately reported that requests wait there. */
  readonly hasWaiting: boolean;
}

export interface StreamAdmissionInput {
  readonly priorityClass: PriorityClass;
  readonly load: ServiceLoad;
  readonly targetMs: number;
  /** Time since this router received the request. */
  readonly usedMs: number;
  /** Time until the request's deadline. */
  readonly leftMs: number;
  /** Expected time from the send to the first event, at the engine that would be chosen. */
  readonly expectedFirstEventMs: number;
  /** Mean time from a stream's request to its end; undefined if it is unknown. */
  readonly durationMs: number | undefined;
  /** The request's own random number from 0 to 1, the same at each decision. */
  readonly draw: number;
}

export type StreamAdmission =
  | { readonly kind: 'send' }
  /** To be decided anew after this time. */
  | { readonly kind: 'wait'; readonly waitMs: number }
  | {
      readonly kind: 'refuse';
      readonly reason: 'yields' | 'late';
      readonly retryAfterMs: number;
    };

/**
 * Less urgent streams see no more room once a prompt waits at an engine for the second of these parts
 * of their target: then they could not begin in time, and would only take room from others.
 */
const YIELD_FROM_TARGET_RATIO = 0.5;
const YIELD_FULL_TARGET_RATIO = 1;
/** Part of the less urgent streams that is admitted like the most urgent ones, so that none starve. */
const ADMITTED_MIN_RATIO = 1 / 3;
/** Callers that are refused later than this part of their target can't find room elsewhere in time. */
const WAIT_MAX_TARGET_RATIO = 1 / 8;
/** Period of new decisions, spread by each request's draw; the reports are about as old. */
const RECHECK_MS = 120;
/** With more of the slots free and nothing waiting, refusing a caller would leave engines unused. */
const BUSY_SLOTS_RATIO = 0.5;
/** A shorter wait changes nothing, and a rounded one could be repeated without end. */
const WAIT_MIN_MS = 5;
const RETRY_MIN_MS = 250;
/** Callers come back after a Retry-After of up to about this part of the time they have left. */
const RETRY_MAX_LEFT_RATIO = 0.3;
const DEFAULT_DURATION_MS = 5_000;

/**
 * Answers a crowd of streams of several priorities that together exceed what the engines can serve.
 * The most urgent are sent at once. All others compare the load with a ceiling of their own, which
 * falls with the priority and varies with the request's draw: the fuller the engines, the fewer of
 * them see room. As all routers compare the same load, their waiting requests act as one queue, and
 * when room opens it goes to one ceiling after the other instead of to all at once.
 */
export function decideStreamAdmission(input: StreamAdmissionInput): StreamAdmission {
  const { priorityClass, load, draw } = input;
  if (priorityClass.level === 0) return { kind: 'send' };
  const pressure = pressureOf(input);
  if (pressure <= 0) return { kind: 'send' };
  const ceiling = ceilingOf(input);
  const isLate = input.usedMs + expectedStartMs(input) > input.targetMs;
  if (pressure < ceiling && (!isLate || ceiling === Infinity)) return { kind: 'send' };
  if (!isBusy(load, input)) return { kind: 'send' };
  const waitLeftMs = Math.min(
    input.targetMs * WAIT_MAX_TARGET_RATIO - input.usedMs,
    input.leftMs - input.expectedFirstEventMs,
  );
  if (!isLate && waitLeftMs >= WAIT_MIN_MS) {
    return { kind: 'wait', waitMs: Math.min(waitLeftMs, RECHECK_MS * (0.5 + draw)) };
  }
  return {
    kind: 'refuse',
    reason: isLate ? 'late' : 'yields',
    retryAfterMs: retryAfterMsOf(input),
  };
}

/** From 0, where all streams see room, to 1 and more, where only the most urgent ones do. */
function pressureOf(input: StreamAdmissionInput): number {
  const waitRatio = engineWaitMs(input) / Math.max(1, input.targetMs);
  return (
    (waitRatio - YIELD_FROM_TARGET_RATIO) / (YIELD_FULL_TARGET_RATIO - YIELD_FROM_TARGET_RATIO)
  );
}

/**
 * Mean wait of a less urgent prompt at an engine: until the prefills sent there are done, and until
 * streams have ended whose place or memory it needs.
 */
function engineWaitMs({ load, durationMs }: StreamAdmissionInput): number {
  const excessRatio = Math.max(load.slotsRatio, load.memoryRatio) - 1;
  return Math.max(load.prefillMs, excessRatio * (durationMs ?? DEFAULT_DURATION_MS));
}

/** The chosen engine may be better than the mean, but what other routers send there comes first. */
function expectedStartMs(input: StreamAdmissionInput): number {
  return Math.max(input.expectedFirstEventMs, engineWaitMs(input));
}

/**
 * Pressure below which the request is sent. It rises as the time runs out in which the stream can
 * still begin within its target, so that of equal requests the one with the least time left goes first.
 */
function ceilingOf(input: StreamAdmissionInput): number {
  const { level, levels } = input.priorityClass;
  if (input.draw < ADMITTED_MIN_RATIO) return Infinity;
  const share = (1 - input.draw) / (1 - ADMITTED_MIN_RATIO);
  const neededMs = input.usedMs + expectedStartMs(input);
  const needRatio = Math.min(1, neededMs / Math.max(1, input.targetMs));
  const own = share + (1 - share) * needRatio * 0.5;
  return (levels - 1 - level + own) / (levels - 1);
}

function isBusy(load: ServiceLoad, { expectedFirstEventMs }: StreamAdmissionInput): boolean {
  const hasQueue = load.hasWaiting || load.prefillMs > expectedFirstEventMs;
  const isFull = load.memoryRatio >= 1;
  return hasQueue || isFull || load.slotsRatio >= BUSY_SLOTS_RATIO;
}

/**
 * Spreads the returns over the time in which room is expected and the stream can still begin within
 * its target; a stream that can't comes back as late as callers do.
 */
function retryAfterMsOf(input: StreamAdmissionInput): number {
  const { draw, targetMs, usedMs } = input;
  const roomInMs = Math.max(RETRY_MIN_MS, engineWaitMs(input) - targetMs * YIELD_FROM_TARGET_RATIO);
  const latestMs = Math.max(RETRY_MIN_MS, input.leftMs * RETRY_MAX_LEFT_RATIO);
  const inTargetMs = targetMs - usedMs - input.expectedFirstEventMs;
  const lastMs = inTargetMs > RETRY_MIN_MS ? Math.min(latestMs, inTargetMs) : latestMs;
  const firstMs = Math.min(roomInMs, lastMs / 2);
  // The draws of refused requests lie above the admitted share.
  const spread = Math.min(1, Math.max(0, (draw - ADMITTED_MIN_RATIO) / (1 - ADMITTED_MIN_RATIO)));
  return firstMs + spread * (Math.min(lastMs, 2 * roomInMs + RETRY_MIN_MS) - firstMs);
}
