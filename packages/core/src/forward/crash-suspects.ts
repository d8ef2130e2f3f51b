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

/** What follows from a crash at once. */
export interface CrashVerdict {
  readonly condemned: readonly Condemnation[];
  /** Reports that are still to come may decide which of several parts is at fault. */
  readonly isUnsettled: boolean;
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
  readonly onCrash: (crash: ServerCrash) => CrashVerdict;
  /** Returns what a crash condemns of which all reports have had time to arrive. */
  readonly onSettled: (crash: ServerCrash, nowMs: number) => readonly Condemnation[];
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
/** Time in which the reports of other routers on the same crash arrive. */
export const CRASH_SETTLE_MS = 150;
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
 * Crashes that condemn further parts, beside those that a condemned set explains. One alone may be chance, and
 * would refuse all sound requests with a part of the set.
 */
const CRASHES_MIN_BESIDE_EXPLAINED = 2;
/** Crashes that condemn parts although others were at the same servers each time. */
const CRASHES_MIN_OF_TIED = 6;
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
  /** A set of parts was condemned for it. */
  readonly isExplained: boolean;
}

/** Parts that may be condemned together, as far as the crashes under one of them tell. */
interface Candidate {
  readonly suspect: SuspectId;
  readonly members: readonly PromptPartId[];
  /** All parts that the crashed prompts have in common, also those that were answered lately. */
  readonly common: ReadonlySet<SuspectMember>;
  readonly crashes: readonly CountedCrash[];
  readonly count: number;
  readonly crashesMin: number;
}

/** What else may be at fault in the crashes under it. */
interface Rival {
  readonly isContent: boolean;
  readonly crashes: readonly CountedCrash[];
  /** Parts that its crashed prompts have in common. */
  readonly parts: ReadonlySet<SuspectMember>;
}

/**
 * How a candidate compares with others that explain all of its crashes. 'beaten': one of them explains more, or
 * refuses fewer prompts. 'tied': there is no telling which of them is at fault.
 */
type Rivalry = 'none' | 'tied' | 'beaten';

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

  /** Adds a crash; false if it is known, since reports are repeated, or answered since. */
  function addCrash(member: SuspectMember, crash: ServerCrash): boolean {
    if (crash.atMs <= (answeredAtMs.get(member) ?? -Infinity)) return false;
    const record = recordOf(member);
    const recent = record.crashes.filter((known) => crash.atMs - known.atMs < CRASH_EXPIRY_MS);
    const isKnown = recent.some((known) => isSameReport(known, crash));
    const isMerged = recent.some((known) => isOneOutage(known, crash));
    record.crashes = isKnown
      ? recent
      : [...recent, { ...crash, isMerged, isExplained: false }].slice(-CRASHES_KEPT_MAX);
    return !isKnown;
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

  function recentCrashes(member: SuspectMember, nowMs: number): readonly CountedCrash[] {
    const crashes = records.get(member)?.crashes ?? [];
    return crashes.filter(({ atMs }) => nowMs - atMs < CRASH_EXPIRY_MS);
  }

  /** What the crashes under a part tell about it, and about the parts that come with it each time. */
  function candidateOf(part: PromptPartId, nowMs: number): Candidate {
    const crashes = recentCrashes(part, nowMs);
    const common = commonParts(crashes);
    const doubtful = common.filter((other) => !answeredSince(other, nowMs - CRASH_EXPIRY_MS));
    const members = doubtful.length > 0 ? doubtful : common;
    return {
      suspect: partSetId(members),
      members,
      common: new Set(common),
      crashes,
      count: countUnmerged(crashes),
      crashesMin: doubtful.length > 0 ? crashesMin(crashes) : CRASHES_MIN_AFTER_ANSWER,
    };
  }

  function isDue(candidate: Candidate, nowMs: number): boolean {
    const { suspect, crashes, count } = candidate;
    if (count < candidate.crashesMin || condemnations.has(suspect)) return false;
    const unexplained = crashes.filter(({ isExplained }) => !isExplained);
    const isNarrowed = unexplained.length < crashes.length;
    if (isNarrowed && countUnmerged(unexplained) < CRASHES_MIN_BESIDE_EXPLAINED) return false;
    switch (rivalryOf(candidate, nowMs)) {
      case 'none':
        return true;
      case 'tied':
        return count >= CRASHES_MIN_OF_TIED;
      case 'beaten':
        return false;
    }
  }

  /** Several requests may be at a server that crashes, and each is reported by itself. */
  function rivalryOf({ common, crashes }: Candidate, nowMs: number): Rivalry {
    let rivalry: Rivalry = 'none';
    for (const rival of rivalsOf(common, nowMs)) {
      if (explainsAll(rival.crashes, crashes)) {
        const explainsMore = !explainsAll(crashes, rival.crashes);
        if (rival.isContent || explainsMore || isNarrower(rival.parts, common)) return 'beaten';
        if (!isNarrower(common, rival.parts)) rivalry = 'tied';
      }
    }
    return rivalry;
  }

  /** Whether a report of the last crash that is still to come may show that something else is at fault. */
  function mayBeBeaten({ common, crashes }: Candidate): boolean {
    const last = latestOf(crashes);
    const earlier = crashes.filter((crash) => last !== undefined && !isSameCrash(crash, last));
    if (last === undefined || earlier.length === 0) return false;
    const rivals = rivalsOf(common, last.atMs);
    return rivals.some(
      (rival) => explainsAll(rival.crashes, earlier) && !isNarrower(common, rival.parts),
    );
  }

  /** Contents and parts, but those in `common`, that may be at fault in crashes that are known. */
  function rivalsOf(common: ReadonlySet<SuspectMember>, nowMs: number): Rival[] {
    return [...records.keys()].flatMap((member): Rival[] => {
      const crashes = common.has(member) ? [] : recentCrashes(member, nowMs);
      if (crashes.length === 0) return [];
      const isContent = crashes.some(({ fingerprint }) => fingerprint === member);
      if (!isContent && answeredSince(member, nowMs - CRASH_EXPIRY_MS)) return [];
      return [{ isContent, crashes, parts: new Set(commonParts(crashes)) }];
    });
  }

  /** The parts that the crash condemns. Of those that are due, the set that fewest prompts have comes first. */
  function judgeParts(crash: ServerCrash, nowMs: number): CrashVerdict {
    const due = crash.parts
      .filter((part) => recentCrashes(part, crash.atMs).length > 0)
      .map((part) => candidateOf(part, crash.atMs))
      .filter((candidate) => isDue(candidate, crash.atMs))
      .filter(({ suspect }, at, all) => all.findIndex((each) => each.suspect === suspect) === at)
      .sort((a, b) => b.members.length - a.members.length || b.count - a.count);
    const [first] = due.filter((each) => isSettled(each, nowMs) || !mayBeBeaten(each));
    if (first === undefined) return { condemned: [], isUnsettled: due.length > 0 };
    const condemned = due
      .filter((each) => each === first || isTied(each, first))
      .map((each) => {
        const condemnation = createCondemnation(each.suspect, crash.atMs, each.count, false, false);
        setCondemned(condemnation);
        return condemnation;
      });
    condemned.forEach(({ suspect }) => explainCrashes(suspect));
    const rest = judgeParts(crash, nowMs);
    return { ...rest, condemned: [...condemned, ...rest.condemned] };
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
      record.crashes = record.crashes.map((crash) => {
        // A content that has crashed servers stays suspected, whatever is at fault in it.
        const isOfContent = id === crash.fingerprint;
        const isHere = hasAll(crash.parts, members) || wasAtSameServer(crash);
        return isHere && !isOfContent ? { ...crash, isExplained: true } : crash;
      });
    });
  }

  /** Whether a crash that is explained has ended the same server. */
  function wasAtSameServer(crash: ServerCrash): boolean {
    return explained.some((known) => isSameCrash(known, crash));
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
      if (hasExplanation(crash)) return { condemned: [], isUnsettled: false };
      const members = [...new Set<SuspectMember>([...parts, fingerprint])];
      const isNew = members.map((member) => addCrash(member, crash)).includes(true);
      if (!isNew) return { condemned: [], isUnsettled: false };
      const content = judgeContent(crash);
      if (content !== undefined) setCondemned(content);
      const repeated = judgeRepeated(crash);
      const ofParts =
        repeated.length > 0
          ? { condemned: repeated, isUnsettled: false }
          : judgeParts(crash, crash.atMs);
      const condemned = [...ofParts.condemned, ...(content === undefined ? [] : [content])];
      return { ...ofParts, condemned };
    },
    onSettled: (crash, nowMs) => {
      expire(nowMs);
      return hasExplanation(crash) ? [] : judgeParts(crash, nowMs).condemned;
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

/** Whether all reports of the candidate's crashes have had time to arrive. */
function isSettled({ crashes }: Candidate, nowMs: number): boolean {
  return crashes.every(({ atMs }) => nowMs - atMs >= CRASH_SETTLE_MS);
}

function latestOf(crashes: readonly CountedCrash[]): CountedCrash | undefined {
  return [...crashes].sort((a, b) => b.atMs - a.atMs)[0];
}

/** Parts that all of the crashed prompts have. */
function commonParts(crashes: readonly ServerCrash[]): readonly PromptPartId[] {
  const [first] = crashes;
  return (first?.parts ?? []).filter((part) => crashes.every(({ parts }) => parts.includes(part)));
}

/** Whether both are reports of one crash: of requests that were at the server together. */
function isSameCrash(one: ServerCrash, other: ServerCrash): boolean {
  return one.serverId === other.serverId && Math.abs(one.atMs - other.atMs) < DOMAIN_MERGE_MS;
}

/** Whether some of these are reports of each of the crashes. */
function explainsAll(reports: readonly ServerCrash[], crashes: readonly ServerCrash[]): boolean {
  return crashes.every((crash) => reports.some((report) => isSameCrash(report, crash)));
}

/** Whether crashes can't tell which of two candidates is at fault, and neither is a part of the other. */
function isTied(one: Candidate, other: Candidate): boolean {
  return (
    one.suspect !== other.suspect &&
    explainsAll(one.crashes, other.crashes) &&
    explainsAll(other.crashes, one.crashes) &&
    !isNarrower(one.common, other.common) &&
    !isNarrower(other.common, one.common)
  );
}

/** Whether all of the others' parts are among these, and more: fewer prompts have them. */
function isNarrower(
  parts: ReadonlySet<SuspectMember>,
  others: ReadonlySet<SuspectMember>,
): boolean {
  return parts.size > others.size && [...others].every((part) => parts.has(part));
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
