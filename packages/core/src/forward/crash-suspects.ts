import { evictOldest } from '../evict';
import { isHeldBy, membersOf, partSetId } from './suspect';
import type { FailureDomain, Fingerprint, RequestId, ServerId } from '../ids';
import type { SuspectId, SuspectMember } from './suspect';
import type { PromptPartId } from './types';

/** Crash of a server that was running a request and had not proven to survive it. */
export interface ServerCrash {
  readonly requestId: RequestId;
  readonly serverId: ServerId;
  readonly failureDomain: FailureDomain;
  readonly isStream: boolean;
  /** Stands for the whole content. Crashes of equal requests condemn nothing else. */
  readonly fingerprint: Fingerprint;
  /** Parts of the prompt; a plain call has none. */
  readonly parts: readonly PromptPartId[];
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

/** When a server last proved to survive a request with the suspect, as far as is known. */
export interface SuspectAnswer {
  readonly suspect: SuspectId;
  readonly atMs: number;
}

/** 'refuted': a server answered a request with the suspect shortly before. */
export type CondemnOutcome = 'adopted' | 'ignored' | 'refuted';

/**
 * Finds requests and prompt parts that crash servers. The content and the prompt parts of a request are
 * suspected of each crash under it, and cleared of all earlier ones when a server survives a request with
 * them. Crashes do not tell apart the parts that all crashed prompts have, so they condemn only prompts that
 * have all of these parts. A crash that a condemnation explains is no evidence against anything else.
 *
 * Fingerprints are passed as functions, because hashing a body is costly and they are needed only while
 * there are suspects.
 */
export interface CrashSuspects {
  /** Returns what this crash condemns. */
  readonly onCrash: (crash: ServerCrash) => readonly Condemnation[];
  /**
   * A server has survived a request with all of these, here or at another router. Returns what was
   * suspected or condemned. An answer of shortly before a condemnation lifts it as well, unless that
   * outweighs answers.
   */
  readonly onSurvived: (suspects: readonly SuspectId[], atMs: number) => readonly SuspectId[];
  /** Likewise for a whole content; true if it was suspected. */
  readonly onAnswered: (fingerprint: () => Fingerprint, atMs: number) => boolean;
  /**
   * Takes over a condemnation by another router; 'ignored' if it is known, has expired, or a server has
   * survived a request with the suspect since.
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
  /** A condemnation of a request that has all of these; undefined if there is none. */
  readonly findCondemned: (
    members: () => readonly SuspectMember[],
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
/** Crashes that condemn the parts which the prompts that met them have in common, if the prompts differ. */
const CRASHES_MIN = 3;
/**
 * Crashes that condemn these parts if the prompts have equal ones, or the whole content of a stream. A
 * prefill takes a second, so that one stream may meet several failing engines by chance.
 */
const CRASHES_MIN_OF_PROMPT = 4;
/**
 * Crashes that condemn the whole content of a call for `QUARANTINE_MS`. Calls take milliseconds and
 * rarely meet two crashes by chance, and the few servers of a plain service would all be lost by more.
 */
const CRASHES_MIN_OF_CALL = 2;
/** Crashes that condemn parts all of which engines could answer within the time before. */
const CRASHES_MIN_AFTER_ANSWER = 6;
/**
 * Crashes that condemn a part of a condemned set for itself, beside those that the set explains. One alone
 * may be chance, and would refuse all sound requests with the part.
 */
const CRASHES_MIN_BESIDE_EXPLAINED = 2;
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
/** More than the crashes that condemn a set, for some sets in a row. */
const EXPLAINED_MAX = 64;

/** Crashes under one content or prompt part. */
interface SuspectRecord {
  crashes: readonly CountedCrash[];
}

interface CountedCrash extends ServerCrash {
  /** Counts as one with an earlier crash of the same outage. */
  readonly isMerged: boolean;
  /** The prompt has a set of parts that was condemned for it. */
  readonly isExplained: boolean;
}

/** Parts that may be condemned together, as far as the crashes under one of them tell. */
interface Candidate {
  readonly suspect: SuspectId;
  readonly members: readonly PromptPartId[];
  readonly count: number;
  readonly isDue: boolean;
}

export function createCrashSuspects(): CrashSuspects {
  const records = new Map<SuspectMember, SuspectRecord>();
  /** When a server last survived a request with the suspect. */
  const answeredAtMs = new Map<SuspectId, number>();
  const condemnations = new Map<SuspectId, Condemnation>();
  /** End of each condemnation, which outlives it until a server has answered a request with the suspect. */
  const condemnedUntilMs = new Map<SuspectId, number>();
  /** Crashes that a condemnation explains; others may be reported of the same servers later. */
  let explained: readonly ServerCrash[] = [];

  function recordOf(member: SuspectMember): SuspectRecord {
    const record = records.get(member) ?? { crashes: [] };
    // Inserted again, so that the map is ordered by last use.
    records.delete(member);
    records.set(member, record);
    evictOldest(records, SUSPECTS_MAX);
    return record;
  }

  function setCondemned(condemnation: Condemnation): void {
    const { suspect, condemnedAtMs, forMs } = condemnation;
    condemnations.set(suspect, condemnation);
    evictOldest(condemnations, CONDEMNED_MAX);
    condemnedUntilMs.delete(suspect);
    condemnedUntilMs.set(suspect, condemnedAtMs + forMs);
    evictOldest(condemnedUntilMs, SUSPECTS_MAX);
  }

  function expire(nowMs: number): void {
    condemnations.forEach(({ condemnedAtMs, forMs }, suspect) => {
      if (nowMs - condemnedAtMs >= forMs) condemnations.delete(suspect);
    });
  }

  function answeredSince(member: SuspectMember, sinceMs: number): boolean {
    return (answeredAtMs.get(member) ?? -Infinity) > sinceMs;
  }

  /** Adds a crash; reports are repeated, so it may be known. */
  function addCrash(member: SuspectMember, crash: ServerCrash): void {
    if (crash.atMs <= (answeredAtMs.get(member) ?? -Infinity)) return;
    const record = recordOf(member);
    const recent = record.crashes.filter((known) => crash.atMs - known.atMs < CRASH_EXPIRY_MS);
    const isKnown = recent.some((known) => isSameReport(known, crash));
    const isMerged = recent.some((known) => isOneOutage(known, crash));
    record.crashes = isKnown
      ? recent
      : [...recent, { ...crash, isMerged, isExplained: false }].slice(-CRASHES_KEPT_MAX);
  }

  /** Condemns the whole content by its crashes, or by one more after an earlier condemnation. */
  function judgeContent(crash: ServerCrash): Condemnation | undefined {
    const { fingerprint, isStream, atMs } = crash;
    if (condemnations.has(fingerprint)) return undefined;
    const count = countUnmerged(records.get(fingerprint)?.crashes ?? []);
    const isRepeated = isCondemnedAgain(fingerprint, crash);
    const min = isStream ? CRASHES_MIN_OF_PROMPT : CRASHES_MIN_OF_CALL;
    if (count < (isRepeated ? 1 : min)) return undefined;
    return createCondemnation(fingerprint, atMs, count, isRepeated, true);
  }

  /** Whether one more crash condemns it again: it was sent after the end of the last time. */
  function isCondemnedAgain(suspect: SuspectId, crash: ServerCrash): boolean {
    const untilMs = condemnedUntilMs.get(suspect);
    return untilMs !== undefined && crash.atMs >= untilMs;
  }

  /** What the crashes under a part tell about it, and about the parts that come with it each time. */
  function candidateOf(part: PromptPartId, nowMs: number): Candidate | undefined {
    const crashes = (records.get(part)?.crashes ?? []).filter(
      ({ atMs }) => nowMs - atMs < CRASH_EXPIRY_MS,
    );
    const [first] = crashes;
    if (first === undefined) return undefined;
    const common = first.parts.filter((other) =>
      crashes.every(({ parts }) => parts.includes(other)),
    );
    const doubtful = common.filter((other) => !answeredSince(other, nowMs - CRASH_EXPIRY_MS));
    const members = doubtful.length > 0 ? doubtful : common;
    const count = countUnmerged(crashes);
    const unexplained = crashes.filter(({ isExplained }) => !isExplained);
    const isNew = unexplained.length === crashes.length;
    const min = doubtful.length > 0 ? crashesMin(crashes) : CRASHES_MIN_AFTER_ANSWER;
    const isDue =
      new Set(crashes.map(({ fingerprint }) => fingerprint)).size > 1 &&
      count >= min &&
      (isNew || countUnmerged(unexplained) >= CRASHES_MIN_BESIDE_EXPLAINED);
    return { suspect: partSetId(members), members, count, isDue };
  }

  /** The parts that the crash condemns. Of those that are due, the set that fewest prompts have comes first. */
  function judgeParts(crash: ServerCrash): Condemnation[] {
    const due = crash.parts
      .flatMap((part) => candidateOf(part, crash.atMs) ?? [])
      .filter(({ suspect, isDue }) => isDue && !condemnations.has(suspect))
      .sort((a, b) => b.members.length - a.members.length || b.count - a.count);
    const [candidate] = due;
    if (candidate === undefined) return [];
    const { suspect, count } = candidate;
    const condemnation = createCondemnation(suspect, crash.atMs, count, false, false);
    setCondemned(condemnation);
    explainCrashes(suspect);
    return [condemnation, ...judgeParts(crash)];
  }

  /** Sets that were condemned before, and crash servers again. */
  function judgeRepeated(crash: ServerCrash): Condemnation[] {
    const held = new Set<SuspectMember>(crash.parts);
    return [...condemnedUntilMs.keys()]
      .filter((suspect) => isHeldBy(suspect, held) && isCondemnedAgain(suspect, crash))
      .map((suspect) => {
        const condemnation = createCondemnation(suspect, crash.atMs, 1, true, false);
        setCondemned(condemnation);
        explainCrashes(suspect);
        return condemnation;
      });
  }

  /**
   * Takes the crashes under prompts with the condemned set for explained. Crashes of the same servers under
   * other prompts are explained too: these were only at the same place.
   */
  function explainCrashes(suspect: SuspectId): void {
    const members = new Set<SuspectMember>(membersOf(suspect));
    const [member] = members;
    const known = member === undefined ? undefined : records.get(member);
    const crashes = (known?.crashes ?? []).filter(({ parts }) => hasAll(parts, members));
    explained = [...explained, ...crashes].slice(-EXPLAINED_MAX);
    records.forEach((record, id) => {
      record.crashes = record.crashes.flatMap((crash) => {
        // A content that has crashed servers stays suspected, whatever is at fault in it.
        if (id === crash.fingerprint) return [crash];
        if (hasAll(crash.parts, members)) {
          return members.has(id) ? [{ ...crash, isExplained: true }] : [];
        }
        return wasAtSameServer(crash) ? [] : [crash];
      });
    });
  }

  /** Whether a crash that is explained has ended the same server. */
  function wasAtSameServer({ serverId, atMs }: ServerCrash): boolean {
    return explained.some(
      (known) => known.serverId === serverId && Math.abs(known.atMs - atMs) < DOMAIN_MERGE_MS,
    );
  }

  /** Whether a condemned set of parts explains the crash, so that it is evidence against nothing else. */
  function hasExplanation(crash: ServerCrash): boolean {
    const held = new Set<SuspectMember>(crash.parts);
    const hasCondemned = [...condemnedUntilMs].some(
      ([suspect, untilMs]) => crash.atMs < untilMs && isHeldBy(suspect, held),
    );
    return hasCondemned || wasAtSameServer(crash);
  }

  /** Forgets crashes up to this time, and that the suspect was condemned; true if there was any of it. */
  function clearMember(member: SuspectMember, atMs: number): boolean {
    const record = records.get(member);
    if (record === undefined) return false;
    const wasSuspected = record.crashes.some((crash) => crash.atMs <= atMs);
    record.crashes = record.crashes.filter((crash) => crash.atMs > atMs);
    return wasSuspected;
  }

  /** Lifts a condemnation, or forgets one that has expired; false if it holds all the same. */
  function lift(suspect: SuspectId, atMs: number): boolean {
    const condemnation = condemnations.get(suspect);
    if (condemnation !== undefined && condemnation.condemnedAtMs > atMs) {
      if (!isRefuted(condemnation, atMs)) return false;
    }
    condemnedUntilMs.delete(suspect);
    return condemnations.delete(suspect);
  }

  function noteAnswer(suspect: SuspectId, atMs: number): boolean {
    if (atMs <= (answeredAtMs.get(suspect) ?? -Infinity)) return false;
    answeredAtMs.delete(suspect);
    answeredAtMs.set(suspect, atMs);
    evictOldest(answeredAtMs, ANSWERED_MAX);
    return true;
  }

  function lastAnswer(suspect: SuspectId): SuspectAnswer | undefined {
    const atMs = answeredAtMs.get(suspect);
    return atMs === undefined ? undefined : { suspect, atMs };
  }

  function onSurvived(suspects: readonly SuspectId[], atMs: number): readonly SuspectId[] {
    const members = [...new Set(suspects.flatMap(membersOf))];
    const cleared = new Set<SuspectId>(
      members.filter((member) => noteAnswer(member, atMs) && clearMember(member, atMs)),
    );
    const held = new Set(members);
    [...condemnedUntilMs.keys()]
      .filter((suspect) => isHeldBy(suspect, held))
      .forEach((suspect) => {
        noteAnswer(suspect, atMs);
        if (lift(suspect, atMs)) cleared.add(suspect);
      });
    return [...cleared];
  }

  return {
    onCrash: (crash) => {
      expire(crash.atMs);
      const { parts, fingerprint } = crash;
      // The request was sent before the condemnation, or its crash is reported late.
      if (hasExplanation(crash)) return [];
      new Set<SuspectMember>([...parts, fingerprint]).forEach((member) => addCrash(member, crash));
      const content = judgeContent(crash);
      if (content !== undefined) setCondemned(content);
      const repeated = judgeRepeated(crash);
      const ofParts = repeated.length > 0 ? repeated : judgeParts(crash);
      return [...ofParts, ...(content === undefined ? [] : [content])];
    },
    onSurvived,
    // Few contents are suspected, and the others need no record of their answers.
    onAnswered: (fingerprint, atMs) =>
      (records.size > 0 || condemnedUntilMs.size > 0) &&
      (records.has(fingerprint()) || condemnedUntilMs.has(fingerprint())) &&
      onSurvived([fingerprint()], atMs).length > 0,
    condemn: (condemnation, nowMs) => {
      expire(nowMs);
      const { suspect, condemnedAtMs, forMs } = condemnation;
      const lastAnsweredAtMs = answeredAtMs.get(suspect) ?? -Infinity;
      const isOutdated = nowMs - condemnedAtMs >= forMs || condemnedAtMs <= lastAnsweredAtMs;
      if (isOutdated || condemnations.has(suspect)) return 'ignored';
      if (isRefuted(condemnation, lastAnsweredAtMs)) return 'refuted';
      setCondemned(condemnation);
      explainCrashes(suspect);
      return 'adopted';
    },
    answersInDoubt: (parts, nowMs) =>
      parts.flatMap((part) => {
        const isInDoubt = countUnmerged(records.get(part)?.crashes ?? []) >= CRASHES_MIN - 1;
        const answer = isInDoubt ? lastAnswer(part) : undefined;
        return answer !== undefined && nowMs - answer.atMs < CRASH_EXPIRY_MS ? [answer] : [];
      }),
    lastAnswer,
    findCondemned: (members, nowMs) => {
      if (condemnations.size === 0) return undefined;
      expire(nowMs);
      const held = new Set(members());
      const condemned = [...condemnations.keys()].find((suspect) => isHeldBy(suspect, held));
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

function createCondemnation(
  suspect: SuspectId,
  condemnedAtMs: number,
  count: number,
  isRepeated: boolean,
  isContent: boolean,
): Condemnation {
  return {
    suspect,
    condemnedAtMs,
    forMs: isRepeated || count >= CRASHES_MIN_OF_FULL_TIME ? CONDEMNED_MS : QUARANTINE_MS,
    outweighsAnswers: isRepeated || isContent || count >= CRASHES_MIN_AFTER_ANSWER,
  };
}

/** Number of crashes that condemn the parts which their prompts have in common. */
function crashesMin(crashes: readonly ServerCrash[]): number {
  const prompts = new Set(crashes.map(({ parts }) => partSetId(parts)));
  return prompts.size > 1 ? CRASHES_MIN : CRASHES_MIN_OF_PROMPT;
}

function countUnmerged(crashes: readonly CountedCrash[]): number {
  return crashes.filter(({ isMerged }) => !isMerged).length;
}

function hasAll(parts: readonly PromptPartId[], members: ReadonlySet<SuspectMember>): boolean {
  return [...members].every((member) => parts.some((part) => part === member));
}

function isSameReport(known: ServerCrash, crash: ServerCrash): boolean {
  return known.requestId === crash.requestId && known.serverId === crash.serverId;
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
