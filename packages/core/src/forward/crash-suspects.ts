import { evictOldest } from '../evict';
import type { FailureDomain, RequestId, ServerId } from '../ids';
import type { PromptPartId } from './types';

/** Crash of an engine before it had sent the first event of a request with these prompt parts. */
export interface ServerCrash {
  readonly requestId: RequestId;
  readonly engineId: ServerId;
  readonly failureDomain: FailureDomain;
  readonly parts: readonly PromptPartId[];
  /**
   * Stands for all these parts together. Crashes of equal prompts do not tell which of their parts is
   * at fault, so they condemn only this combination.
   */
  readonly combination: PromptPartId;
  readonly atMs: number;
}

/** A part whose requests are refused, because engines crash when they begin to answer them. */
export interface Condemnation {
  readonly part: PromptPartId;
  readonly condemnedAtMs: number;
}

/**
 * Finds prompt parts that crash engines. A part is suspected of each crash before the first event of
 * its request, and cleared of all earlier ones when an engine begins to answer any request with it.
 */
export interface CrashSuspects {
  /** Returns the parts that this crash condemns. */
  readonly onCrash: (crash: ServerCrash) => readonly PromptPartId[];
  /**
   * An engine has sent the first event of a request with these parts, here or at another router.
   * Returns those that were suspected or condemned.
   */
  readonly onBegun: (parts: readonly PromptPartId[], atMs: number) => readonly PromptPartId[];
  /**
   * Takes over a condemnation by another router; false if it is known, has expired, or an engine has
   * begun to answer a request with the part since.
   */
  readonly condemn: (condemned: Condemnation, nowMs: number) => boolean;
  /** The first of these parts that is condemned; undefined if none is. */
  readonly findCondemned: (
    parts: readonly PromptPartId[],
    nowMs: number,
  ) => PromptPartId | undefined;
  readonly condemned: (nowMs: number) => readonly Condemnation[];
}

/**
 * Crashes of one failure domain within this time count once, unless one request met them one after the
 * other: engines of a domain may be lost together, with whatever they were about to answer.
 */
const DOMAIN_MERGE_MS = 1_500;
/** Crashes are forgotten after this time. */
const CRASH_EXPIRY_MS = 60_000;
/** Crashes that condemn a part, if the prompts that met them differ in other parts. */
const CRASHES_MIN = 3;
/** Crashes that condemn a combination; a single request may have met failing engines by chance. */
const CRASHES_MIN_OF_COMBINATION = 4;
/** Crashes that condemn a part which engines could answer within the time before. */
const CRASHES_MIN_AFTER_ANSWER = 6;
/** Time for which requests with a condemned part are refused; then one may show whether it still holds. */
export const CONDEMNED_MS = 120_000;
/** Crashes kept of a part, the newest; more than condemn it in any case. */
const CRASHES_KEPT_MAX = 32;
/** The parts seen longest ago are forgotten beyond this number. */
const PARTS_MAX = 4_096;
const CONDEMNED_MAX = 256;

interface PartRecord {
  crashes: readonly CountedCrash[];
  lastBegunAtMs: number;
  /** The part was condemned, and no engine has begun to answer a request with it since. */
  isOnProbation: boolean;
}

interface CountedCrash extends Omit<ServerCrash, 'parts'> {
  /** Counts as one with an earlier crash of the failure domain. */
  readonly isMerged: boolean;
}

export function createCrashSuspects(): CrashSuspects {
  const records = new Map<PromptPartId, PartRecord>();
  const condemnedAtMsByPart = new Map<PromptPartId, number>();

  function recordOf(part: PromptPartId): PartRecord {
    const record = records.get(part) ?? {
      crashes: [],
      lastBegunAtMs: -Infinity,
      isOnProbation: false,
    };
    // Inserted again, so that the map is ordered by last use.
    records.delete(part);
    records.set(part, record);
    evictOldest(records, PARTS_MAX);
    return record;
  }

  function setCondemned(part: PromptPartId, atMs: number): void {
    condemnedAtMsByPart.set(part, atMs);
    evictOldest(condemnedAtMsByPart, CONDEMNED_MAX);
    recordOf(part).isOnProbation = true;
  }

  function expire(nowMs: number): void {
    condemnedAtMsByPart.forEach((atMs, part) => {
      if (nowMs - atMs >= CONDEMNED_MS) condemnedAtMsByPart.delete(part);
    });
  }

  /** Adds a crash; reports are repeated, so it may be known. */
  function addCrash(record: PartRecord, crash: ServerCrash): void {
    const { requestId, engineId, failureDomain, combination, atMs } = crash;
    const recent = record.crashes.filter((known) => atMs - known.atMs < CRASH_EXPIRY_MS);
    const isKnown = recent.some(
      (known) => known.requestId === requestId && known.engineId === engineId,
    );
    const isMerged = recent.some(
      (known) =>
        known.requestId !== requestId &&
        known.failureDomain === failureDomain &&
        Math.abs(atMs - known.atMs) < DOMAIN_MERGE_MS,
    );
    const added = { requestId, engineId, failureDomain, combination, atMs, isMerged };
    record.crashes = isKnown ? recent : [...recent, added].slice(-CRASHES_KEPT_MAX);
  }

  function isCulprit(part: PromptPartId, record: PartRecord, nowMs: number): boolean {
    const { length } = record.crashes.filter(({ isMerged }) => !isMerged);
    if (record.isOnProbation) return length > 0;
    if (nowMs - record.lastBegunAtMs < CRASH_EXPIRY_MS) return length >= CRASHES_MIN_AFTER_ANSWER;
    const combinations = new Set(record.crashes.map(({ combination }) => combination));
    if (combinations.size > 1) return length >= CRASHES_MIN;
    return combinations.has(part) && length >= CRASHES_MIN_OF_COMBINATION;
  }

  return {
    onCrash: (crash) => {
      expire(crash.atMs);
      return [...new Set([...crash.parts, crash.combination])].filter((part) => {
        const record = recordOf(part);
        if (crash.atMs <= record.lastBegunAtMs || condemnedAtMsByPart.has(part)) return false;
        addCrash(record, crash);
        if (!isCulprit(part, record, crash.atMs)) return false;
        setCondemned(part, crash.atMs);
        return true;
      });
    },
    onBegun: (parts, atMs) =>
      parts.filter((part) => {
        const record = recordOf(part);
        if (atMs <= record.lastBegunAtMs) return false;
        const wasSuspected = record.crashes.some((crash) => crash.atMs <= atMs);
        const condemnedAtMs = condemnedAtMsByPart.get(part);
        record.lastBegunAtMs = atMs;
        record.crashes = record.crashes.filter((crash) => crash.atMs > atMs);
        if (condemnedAtMs !== undefined && condemnedAtMs > atMs) return wasSuspected;
        record.isOnProbation = false;
        return condemnedAtMsByPart.delete(part) || wasSuspected;
      }),
    condemn: ({ part, condemnedAtMs }, nowMs) => {
      expire(nowMs);
      const isOutdated =
        nowMs - condemnedAtMs >= CONDEMNED_MS ||
        condemnedAtMs <= (records.get(part)?.lastBegunAtMs ?? -Infinity);
      if (isOutdated || condemnedAtMsByPart.has(part)) return false;
      setCondemned(part, condemnedAtMs);
      return true;
    },
    findCondemned: (parts, nowMs) => {
      if (condemnedAtMsByPart.size === 0) return undefined;
      expire(nowMs);
      return parts.find((part) => condemnedAtMsByPart.has(part));
    },
    condemned: (nowMs) => {
      expire(nowMs);
      return [...condemnedAtMsByPart].map(([part, condemnedAtMs]) => ({ part, condemnedAtMs }));
    },
  };
}
