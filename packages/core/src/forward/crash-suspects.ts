import { evictOldest } from '../evict';
import type { FailureDomain, Fingerprint, RequestId, ServerId } from '../ids';
import type { PromptPartId } from './types';

/** What may crash servers: the whole content of a request, a part of a prompt, or all its parts. */
export type SuspectId = Fingerprint | PromptPartId;

/** Crash of a server that was running a request and had not begun to answer it. */
export interface ServerCrash {
  readonly requestId: RequestId;
  readonly serverId: ServerId;
  readonly failureDomain: FailureDomain;
  readonly isStream: boolean;
  /** Stands for the whole content. Crashes of equal requests condemn nothing else. */
  readonly fingerprint: Fingerprint;
  /** Parts of the prompt; a plain call has none. */
  readonly parts: readonly PromptPartId[];
  /**
   * Stands for all these parts together. Crashes of equal prompts do not tell which of their parts is
   * at fault, so they condemn only this combination. Undefined without parts.
   */
  readonly combination: PromptPartId | undefined;
  readonly atMs: number;
}

/** Requests with the suspect are refused for some time, because servers crash when they run them. */
export interface Condemnation {
  readonly suspect: SuspectId;
  readonly condemnedAtMs: number;
  readonly forMs: number;
  /** Holds although a server answered a request with the suspect within the time before the crashes. */
  readonly outweighsAnswers: boolean;
}

/** When a server last began to answer a request with the suspect, as far as is known. */
export interface SuspectAnswer {
  readonly suspect: SuspectId;
  readonly atMs: number;
}

/** 'refuted': a server answered a request with the suspect shortly before. */
export type CondemnOutcome = 'adopted' | 'ignored' | 'refuted';

/**
 * Finds requests and prompt parts that crash servers. The content and the prompt parts of a request are
 * suspected of each crash under it, and cleared of all earlier ones when a server begins to answer a
 * request with them. Fingerprints are passed as functions, because hashing a body is costly and they
 * are needed only while there are suspects.
 */
export interface CrashSuspects {
  /** Returns what this crash condemns. */
  readonly onCrash: (crash: ServerCrash) => readonly Condemnation[];
  /**
   * A server has begun to answer a request with these, here or at another router. Returns those that
   * were suspected or condemned. An answer of shortly before a condemnation lifts it as well, unless
   * that outweighs answers.
   */
  readonly onBegun: (suspects: readonly SuspectId[], atMs: number) => readonly SuspectId[];
  /** Likewise for a whole content; true if it was suspected. */
  readonly onAnswered: (fingerprint: () => Fingerprint, atMs: number) => boolean;
  /**
   * Takes over a condemnation by another router; 'ignored' if it is known, has expired, or a server has
   * begun to answer a request with the suspect since.
   */
  readonly condemn: (condemnation: Condemnation, nowMs: number) => CondemnOutcome;
  /**
   * The last answers to requests with these parts, for those parts that the next crash could condemn at
   * a router which does not know of the answer.
   */
  readonly answersInDoubt: (
    parts: readonly PromptPartId[],
    nowMs: number,
  ) => readonly SuspectAnswer[];
  readonly lastAnswer: (suspect: SuspectId) => SuspectAnswer | undefined;
  /** The first of these that is condemned; undefined if none is. */
  readonly findCondemned: (
    suspects: () => readonly SuspectId[],
    nowMs: number,
  ) => Condemnation | undefined;
  /** Whether a server crashed under a request with this content and none has answered one since. */
  readonly isSuspected: (fingerprint: () => Fingerprint, nowMs: number) => boolean;
  readonly condemned: (nowMs: number) => readonly Condemnation[];
}

/**
 * Crashes of one failure domain within this time count once, unless equal requests met them one after
 * the other: servers of a domain may be lost together, with whatever they were about to answer.
 */
const DOMAIN_MERGE_MS = 1_500;
/**
 * Crashes of any domains within this time count once, unless one request met them one after the other:
 * an outage may hit all servers at one moment, and equal requests on them.
 */
const OUTAGE_MERGE_MS = 80;
/** Crashes are forgotten after this time. */
const CRASH_EXPIRY_MS = 60_000;
/** Crashes that condemn a part, if the prompts that met them differ in other parts. */
const CRASHES_MIN = 3;
/**
 * Crashes that condemn a combination, or the whole content of a stream. A prefill takes a second, so
 * that one stream may meet several failing engines by chance.
 */
const CRASHES_MIN_OF_PROMPT = 4;
/**
 * Crashes that condemn the whole content of a call for `QUARANTINE_MS`. Calls take milliseconds and
 * rarely meet two crashes by chance, and the few servers of a plain service would all be lost by more.
 */
const CRASHES_MIN_OF_CALL = 2;
/** Crashes that condemn a part which engines could answer within the time before. */
const CRASHES_MIN_AFTER_ANSWER = 6;
/** From this number of crashes on, and by any crash after a condemnation, the full time applies. */
const CRASHES_MIN_OF_FULL_TIME = 3;
/** Long enough for crashed servers to restart, so that one more crash leaves others up. */
export const QUARANTINE_MS = 5_000;
/** Time for which a suspect is refused; then one request may show whether it still holds. */
export const CONDEMNED_MS = 120_000;
/** Crashes kept of a suspect, the newest; more than condemn it in any case. */
const CRASHES_KEPT_MAX = 32;
/** The suspects seen longest ago are forgotten beyond this number. */
const SUSPECTS_MAX = 4_096;
const ANSWERED_MAX = 4_096;
const CONDEMNED_MAX = 256;

interface SuspectRecord {
  crashes: readonly CountedCrash[];
  /** End of its last condemnation; undefined if a server has answered a request with it since. */
  condemnedUntilMs: number | undefined;
}

interface CountedCrash extends Omit<ServerCrash, 'parts'> {
  /** Counts as one with an earlier crash of the same outage. */
  readonly isMerged: boolean;
}

export function createCrashSuspects(): CrashSuspects {
  const records = new Map<SuspectId, SuspectRecord>();
  /** When a server last began to answer a request with the suspect. */
  const answeredAtMs = new Map<SuspectId, number>();
  const condemnations = new Map<SuspectId, Condemnation>();

  function recordOf(suspect: SuspectId): SuspectRecord {
    const record = records.get(suspect) ?? { crashes: [], condemnedUntilMs: undefined };
    // Inserted again, so that the map is ordered by last use.
    records.delete(suspect);
    records.set(suspect, record);
    evictOldest(records, SUSPECTS_MAX);
    return record;
  }

  function setCondemned(condemnation: Condemnation): void {
    const { suspect, condemnedAtMs, forMs } = condemnation;
    condemnations.set(suspect, condemnation);
    evictOldest(condemnations, CONDEMNED_MAX);
    recordOf(suspect).condemnedUntilMs = condemnedAtMs + forMs;
  }

  function expire(nowMs: number): void {
    condemnations.forEach(({ condemnedAtMs, forMs }, suspect) => {
      if (nowMs - condemnedAtMs >= forMs) condemnations.delete(suspect);
    });
  }

  /** Adds a crash; reports are repeated, so it may be known. */
  function addCrash(record: SuspectRecord, crash: ServerCrash): void {
    const { requestId, serverId, failureDomain, isStream, fingerprint, combination, atMs } = crash;
    const recent = record.crashes.filter((known) => atMs - known.atMs < CRASH_EXPIRY_MS);
    const isKnown = recent.some(
      (known) => known.requestId === requestId && known.serverId === serverId,
    );
    const isMerged = recent.some((known) => isOneOutage(known, crash));
    const added = { requestId, serverId, failureDomain, isStream, fingerprint, combination, atMs };
    record.crashes = isKnown
      ? recent
      : [...recent, { ...added, isMerged }].slice(-CRASHES_KEPT_MAX);
  }

  /** Number of crashes that condemn a suspect for the first time; Infinity for never. */
  function crashesMin(suspect: SuspectId, record: SuspectRecord, nowMs: number): number {
    const [latest] = record.crashes.slice(-1);
    if (suspect === latest?.fingerprint) {
      return latest.isStream ? CRASHES_MIN_OF_PROMPT : CRASHES_MIN_OF_CALL;
    }
    const fingerprints = new Set(record.crashes.map(({ fingerprint }) => fingerprint));
    if (fingerprints.size < 2) return Infinity;
    const lastAnsweredAtMs = answeredAtMs.get(suspect) ?? -Infinity;
    if (nowMs - lastAnsweredAtMs < CRASH_EXPIRY_MS) return CRASHES_MIN_AFTER_ANSWER;
    const combinations = new Set(record.crashes.map(({ combination }) => combination));
    if (combinations.size > 1) return CRASHES_MIN;
    return suspect === latest?.combination ? CRASHES_MIN_OF_PROMPT : Infinity;
  }

  /** The condemnation that follows from the suspect's crashes up to its last one. */
  function judge(
    suspect: SuspectId,
    record: SuspectRecord,
    condemnedAtMs: number,
  ): Condemnation | undefined {
    const count = countUnmerged(record);
    const isRepeated = record.condemnedUntilMs !== undefined;
    if (count < (isRepeated ? 1 : crashesMin(suspect, record, condemnedAtMs))) return undefined;
    const isContent = suspect === record.crashes.at(-1)?.fingerprint;
    return {
      suspect,
      condemnedAtMs,
      forMs: isRepeated || count >= CRASHES_MIN_OF_FULL_TIME ? CONDEMNED_MS : QUARANTINE_MS,
      outweighsAnswers: isRepeated || isContent || count >= CRASHES_MIN_AFTER_ANSWER,
    };
  }

  function onCrashUnder(suspect: SuspectId, crash: ServerCrash): Condemnation | undefined {
    const lastAnsweredAtMs = answeredAtMs.get(suspect) ?? -Infinity;
    if (crash.atMs <= lastAnsweredAtMs || condemnations.has(suspect)) return undefined;
    const record = recordOf(suspect);
    // The request was sent before the condemnation, and its crash is reported late.
    if (crash.atMs < (record.condemnedUntilMs ?? -Infinity)) return undefined;
    addCrash(record, crash);
    const condemnation = judge(suspect, record, crash.atMs);
    if (condemnation !== undefined) setCondemned(condemnation);
    return condemnation;
  }

  /** Forgets the suspect's crashes and its condemnation up to this time; true if there were any. */
  function clear(suspect: SuspectId, atMs: number): boolean {
    const record = records.get(suspect);
    if (record === undefined) return false;
    const wasSuspected = record.crashes.some((crash) => crash.atMs <= atMs);
    record.crashes = record.crashes.filter((crash) => crash.atMs > atMs);
    const condemnation = condemnations.get(suspect);
    if (condemnation !== undefined && condemnation.condemnedAtMs > atMs) {
      if (!isRefuted(condemnation, atMs)) return wasSuspected;
    }
    record.condemnedUntilMs = undefined;
    return condemnations.delete(suspect) || wasSuspected;
  }

  function lastAnswer(suspect: SuspectId): SuspectAnswer | undefined {
    const atMs = answeredAtMs.get(suspect);
    return atMs === undefined ? undefined : { suspect, atMs };
  }

  function onSurvived(suspect: SuspectId, atMs: number): boolean {
    if (atMs <= (answeredAtMs.get(suspect) ?? -Infinity)) return false;
    answeredAtMs.delete(suspect);
    answeredAtMs.set(suspect, atMs);
    evictOldest(answeredAtMs, ANSWERED_MAX);
    return clear(suspect, atMs);
  }

  return {
    onCrash: (crash) => {
      expire(crash.atMs);
      const { parts, combination, fingerprint } = crash;
      const suspects = [...parts, ...(combination === undefined ? [] : [combination]), fingerprint];
      return [...new Set<SuspectId>(suspects)].flatMap(
        (suspect) => onCrashUnder(suspect, crash) ?? [],
      );
    },
    onBegun: (suspects, atMs) => suspects.filter((suspect) => onSurvived(suspect, atMs)),
    // Few contents are suspected, and the others need no record of their answers.
    onAnswered: (fingerprint, atMs) =>
      records.size > 0 && records.has(fingerprint()) && onSurvived(fingerprint(), atMs),
    condemn: (condemnation, nowMs) => {
      expire(nowMs);
      const { suspect, condemnedAtMs, forMs } = condemnation;
      const lastAnsweredAtMs = answeredAtMs.get(suspect) ?? -Infinity;
      const isOutdated = nowMs - condemnedAtMs >= forMs || condemnedAtMs <= lastAnsweredAtMs;
      if (isOutdated || condemnations.has(suspect)) return 'ignored';
      if (isRefuted(condemnation, lastAnsweredAtMs)) return 'refuted';
      setCondemned(condemnation);
      return 'adopted';
    },
    answersInDoubt: (parts, nowMs) =>
      parts.flatMap((part) => {
        const record = records.get(part);
        const isInDoubt = record !== undefined && countUnmerged(record) >= CRASHES_MIN - 1;
        const answer = isInDoubt ? lastAnswer(part) : undefined;
        return answer !== undefined && nowMs - answer.atMs < CRASH_EXPIRY_MS ? [answer] : [];
      }),
    lastAnswer,
    findCondemned: (suspects, nowMs) => {
      if (condemnations.size === 0) return undefined;
      expire(nowMs);
      const condemned = suspects().find((suspect) => condemnations.has(suspect));
      return condemned === undefined ? undefined : condemnations.get(condemned);
    },
    isSuspected: (fingerprint, nowMs) => {
      const { crashes = [] } = records.size === 0 ? {} : (records.get(fingerprint()) ?? {});
      return crashes.some(({ atMs }) => nowMs - atMs < CRASH_EXPIRY_MS);
    },
    condemned: (nowMs) => {
      expire(nowMs);
      return [...condemnations.values()];
    },
  };
}

function countUnmerged({ crashes }: SuspectRecord): number {
  return crashes.filter(({ isMerged }) => !isMerged).length;
}

/** Whether the condemnation would not have come about with the knowledge of this answer before it. */
function isRefuted({ condemnedAtMs, outweighsAnswers }: Condemnation, answerAtMs: number): boolean {
  return !outweighsAnswers && condemnedAtMs - answerAtMs < CRASH_EXPIRY_MS;
}

/** Whether an outage of several servers explains both crashes. */
function isOneOutage(known: CountedCrash, crash: ServerCrash): boolean {
  if (known.requestId === crash.requestId) return false;
  const apartMs = Math.abs(crash.atMs - known.atMs);
  // Counted from the first crash: requests that come one after the other are no outage.
  if (!known.isMerged && apartMs < OUTAGE_MERGE_MS) return true;
  const isOneDomain = known.failureDomain === crash.failureDomain;
  return isOneDomain && known.fingerprint !== crash.fingerprint && apartMs < DOMAIN_MERGE_MS;
}
