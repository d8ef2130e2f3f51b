import { describe, expect, it } from 'vitest';
import {
  asId,
  CONDEMNED_MS,
  CRASH_SETTLE_MS,
  createCrashSuspects,
  partSetId,
  QUARANTINE_MS,
} from '../../src/index';
import { id, requestId } from './fixtures';
import type {
  Condemnation,
  CrashSuspects,
  FailureDomain,
  Fingerprint,
  PromptPartId,
  ServerCrash,
  SuspectId,
  SuspectMember,
} from '../../src/index';

const SHARED = asId<PromptPartId>('shared');
const DEADLY = asId<PromptPartId>('deadly');
const OTHER = asId<PromptPartId>('other');
const DEADLY_AND_SHARED = partSetId([SHARED, DEADLY]);

const condemnation = (suspect: SuspectId, condemnedAtMs: number, outweighsAnswers = false) =>
  ({ suspect, condemnedAtMs, forMs: CONDEMNED_MS, outweighsAnswers }) satisfies Condemnation;

const crash = (atMs: number, request: string, domain: string, ...parts: PromptPartId[]) =>
  ({
    requestId: requestId(request),
    serverId: id(`${domain}-${atMs}`),
    failureDomain: asId<FailureDomain>(domain),
    isStream: true,
    fingerprint: asId<Fingerprint>(`content of ${request}`),
    parts,
    atMs,
  }) satisfies ServerCrash;

/** What the crash condemns, of which no other reports are to come. */
function condemnedBy(suspects: CrashSuspects, reported: ServerCrash): readonly SuspectId[] {
  const atOnce = suspects.onCrash(reported).condemned;
  const later = suspects.onSettled(reported, reported.atMs + CRASH_SETTLE_MS);
  return [...atOnce, ...later].map(({ suspect }) => suspect);
}

function findCondemned(
  suspects: CrashSuspects,
  held: readonly SuspectMember[],
  nowMs: number,
): SuspectId | undefined {
  return suspects.findCondemned(() => held, nowMs)?.suspect;
}

describe('a prompt part that crashes engines', () => {
  it('is condemned by the third crash that different requests met', () => {
    const suspects = createCrashSuspects();
    expect(condemnedBy(suspects, crash(1_000, 'r1', 'east', SHARED, DEADLY))).toEqual([]);
    suspects.onSurvived([SHARED], 1_500);
    expect(condemnedBy(suspects, crash(2_000, 'r1', 'west', SHARED, DEADLY))).toEqual([]);
    suspects.onSurvived([SHARED], 2_500);
    expect(condemnedBy(suspects, crash(3_000, 'r2', 'north', SHARED, DEADLY, OTHER))).toEqual([
      DEADLY,
    ]);
    expect(findCondemned(suspects, [OTHER], 3_000)).toBeUndefined();
    expect(findCondemned(suspects, [SHARED], 3_000)).toBeUndefined();
    expect(findCondemned(suspects, [SHARED, DEADLY], 3_000)).toBe(DEADLY);
  });

  it('is condemned only together with the parts that all crashed prompts had', () => {
    // Guards against refusing sound requests that share another part with the one that crashes engines.
    const suspects = createCrashSuspects();
    const condemned = ['east', 'west', 'north', 'east'].map((domain, at) =>
      condemnedBy(suspects, crash(1_000 + at * 1_000, `r${at % 2}`, domain, DEADLY, OTHER)),
    );
    expect(condemned).toEqual([[], [], [], [asId('deadly+other')]]);
    expect(findCondemned(suspects, [OTHER], 4_000)).toBeUndefined();
  });

  it('is not condemned by one crash that is reported again and again', () => {
    const suspects = createCrashSuspects();
    const report = crash(1_000, 'r1', 'east', DEADLY);
    condemnedBy(suspects, crash(900, 'r2', 'west', DEADLY, OTHER));
    for (let no = 0; no < 5; no += 1) {
      expect(condemnedBy(suspects, { ...report, atMs: 1_000 + no * 400 })).toEqual([]);
    }
  });

  it('is refused for two minutes, and condemned again by one more crash after that', () => {
    const suspects = createCrashSuspects();
    condemnedBy(suspects, crash(0, 'r1', 'east', DEADLY));
    condemnedBy(suspects, crash(100, 'r2', 'west', DEADLY, SHARED));
    condemnedBy(suspects, crash(200, 'r3', 'north', DEADLY, OTHER));
    expect(findCondemned(suspects, [DEADLY], 120_199)).toBe(DEADLY);
    expect(findCondemned(suspects, [DEADLY], 120_200)).toBeUndefined();
    expect(condemnedBy(suspects, crash(121_000, 'r4', 'east', DEADLY))).toEqual([DEADLY]);
  });

  it('is taken over from another router, unless an answer to it has begun since', () => {
    const suspects = createCrashSuspects();
    expect(suspects.condemn(condemnation(DEADLY, 500), 900)).toBe('adopted');
    expect(suspects.condemn(condemnation(DEADLY, 500), 900)).toBe('ignored');
    suspects.onSurvived([SHARED], 1_000);
    expect(suspects.condemn(condemnation(SHARED, 900), 1_100)).toBe('ignored');
    expect(suspects.condemned(1_200)).toEqual([condemnation(DEADLY, 500)]);
  });
});

describe('a sound prompt part', () => {
  it('is not condemned when whole failure domains are lost under its requests', () => {
    // Guards against refusing all requests of a service after a wave of engine losses.
    const suspects = createCrashSuspects();
    suspects.onSurvived([SHARED], 0);
    for (let no = 0; no < 40; no += 1) {
      const domain = ['east', 'west'][no % 2] ?? '';
      condemnedBy(suspects, crash(1_000 + no * 30, `r${no}`, domain, SHARED));
    }
    expect(findCondemned(suspects, [SHARED], 3_000)).toBeUndefined();
  });

  it('is cleared of earlier crashes when an answer to one of its requests begins', () => {
    const suspects = createCrashSuspects();
    condemnedBy(suspects, crash(1_000, 'r1', 'east', SHARED));
    condemnedBy(suspects, crash(3_000, 'r2', 'west', SHARED));
    expect(suspects.onSurvived([SHARED], 3_500)).toEqual([SHARED]);
    expect(suspects.onSurvived([SHARED], 3_600)).toEqual([]);
    expect(condemnedBy(suspects, crash(3_400, 'r3', 'north', SHARED))).toEqual([]);
    expect(condemnedBy(suspects, crash(5_000, 'r4', 'north', SHARED))).toEqual([]);
  });

  it('is served again as soon as an answer begins although it was condemned', () => {
    const suspects = createCrashSuspects();
    suspects.condemn(condemnation(SHARED, 500), 900);
    expect(suspects.onSurvived([SHARED], 1_000)).toEqual([SHARED]);
    expect(findCondemned(suspects, [SHARED], 1_000)).toBeUndefined();
  });

  // The two below guard against refusing all requests that share a sound part because of a router that
  // has answered none of them.
  it('is not condemned by a router that did not know of an answer shortly before', () => {
    const suspects = createCrashSuspects();
    suspects.onSurvived([SHARED], 1_000);
    expect(suspects.condemn(condemnation(SHARED, 2_000), 2_100)).toBe('refuted');
    expect(suspects.condemn(condemnation(SHARED, 61_000), 61_100)).toBe('adopted');
    expect(suspects.condemn(condemnation(DEADLY, 2_000), 2_100)).toBe('adopted');
  });

  it('is served again once an answer of shortly before its condemnation is known', () => {
    const suspects = createCrashSuspects();
    condemnedBy(suspects, crash(2_000, 'r1', 'east', SHARED, DEADLY));
    condemnedBy(suspects, crash(2_200, 'r1', 'west', SHARED, DEADLY));
    expect(condemnedBy(suspects, crash(2_400, 'r2', 'north', SHARED, DEADLY, OTHER))).toEqual([
      DEADLY_AND_SHARED,
    ]);
    expect(findCondemned(suspects, [SHARED], 2_500)).toBeUndefined();
    expect(findCondemned(suspects, [SHARED, DEADLY], 2_500)).toBe(DEADLY_AND_SHARED);
    // A router of an earlier release, or one that knew other crashes, may condemn the part alone.
    expect(suspects.condemn(condemnation(SHARED, 2_400), 2_500)).toBe('adopted');
    expect(suspects.onSurvived([SHARED], 1_000)).toEqual([SHARED]);
    expect(findCondemned(suspects, [SHARED], 2_500)).toBeUndefined();
    expect(findCondemned(suspects, [SHARED, DEADLY], 2_500)).toBe(DEADLY_AND_SHARED);
    // Six crashes count although a server answered a request with the part before.
    condemnedBy(suspects, crash(3_600, 'r3', 'east', SHARED));
    condemnedBy(suspects, crash(4_200, 'r4', 'west', SHARED, OTHER));
    const [last] = suspects.onCrash(crash(6_000, 'r5', 'north', SHARED)).condemned;
    expect(last).toEqual(condemnation(SHARED, 6_000, true));
    expect(suspects.onSurvived([SHARED], 1_500)).toEqual([]);
    expect(findCondemned(suspects, [SHARED], 6_100)).toBe(SHARED);
  });

  it('is vouched for by its last answer, from the second crash that counts on', () => {
    const suspects = createCrashSuspects();
    suspects.onSurvived([SHARED], 1_000);
    condemnedBy(suspects, crash(2_000, 'r1', 'east', SHARED, DEADLY));
    expect(suspects.answersInDoubt([SHARED, DEADLY], 2_000)).toEqual([]);
    condemnedBy(suspects, crash(2_200, 'r1', 'west', SHARED, DEADLY));
    expect(suspects.answersInDoubt([SHARED, DEADLY], 2_200)).toEqual([
      { suspect: SHARED, atMs: 1_000 },
    ]);
    expect(suspects.answersInDoubt([SHARED, DEADLY], 61_000)).toEqual([]);
  });
});

// Guards against refusing all sound requests of a customer: the part that they share was condemned together
// with the one that crashes engines if nobody had answered a request with it for a minute.
describe('a sound part that all crashed prompts have besides the deadly one', () => {
  const FIRST_DOCUMENT = asId<PromptPartId>('document1');
  const SECOND_DOCUMENT = asId<PromptPartId>('document2');

  function createCondemning(): CrashSuspects {
    const suspects = createCrashSuspects();
    condemnedBy(suspects, crash(1_000, 'r1', 'east', SHARED, FIRST_DOCUMENT, DEADLY));
    condemnedBy(suspects, crash(1_100, 'r1', 'west', SHARED, FIRST_DOCUMENT, DEADLY));
    const reported = crash(1_200, 'r2', 'north', SHARED, SECOND_DOCUMENT, DEADLY);
    expect(condemnedBy(suspects, reported)).toEqual([DEADLY_AND_SHARED]);
    return suspects;
  }

  it('is served on, and prompts with both are refused', () => {
    const suspects = createCondemning();
    expect(findCondemned(suspects, [SHARED], 1_300)).toBeUndefined();
    expect(findCondemned(suspects, [SHARED, FIRST_DOCUMENT], 1_300)).toBeUndefined();
    expect(findCondemned(suspects, [SHARED, OTHER, DEADLY], 1_300)).toBe(DEADLY_AND_SHARED);
  });

  it('is not condemned by crashes of requests that were sent before, nor by others at their engines', () => {
    const suspects = createCondemning();
    const late = ['east', 'west', 'north'].flatMap((domain, at) =>
      condemnedBy(suspects, crash(1_250 + at * 2_000, `r${at + 3}`, domain, SHARED, DEADLY)),
    );
    // A sound request was at one of the engines that the deadly ones crashed.
    const beside = { ...crash(1_205, 'r9', 'north', SHARED, OTHER), serverId: id('north-1200') };
    expect([...late, ...condemnedBy(suspects, beside)]).toEqual([]);
    expect(findCondemned(suspects, [SHARED, OTHER], 9_000)).toBeUndefined();
  });

  /** Both prompts were at the engine that crashed. */
  function crashTogether(suspects: CrashSuspects, atMs: number, deadly: string, sound: string) {
    const document = asId<PromptPartId>(`document of ${sound}`);
    const server = { serverId: id(`engine-${atMs}`) };
    const domain = ['east', 'west', 'north'][(atMs / 200) % 3] ?? '';
    const ofSound = { ...crash(atMs, sound, domain, SHARED, OTHER, document), ...server };
    const ofDeadly = { ...crash(atMs + 1, deadly, domain, SHARED, DEADLY), ...server };
    const atOnce = [ofSound, ofDeadly].flatMap((report) => suspects.onCrash(report).condemned);
    const later = [ofSound, ofDeadly].flatMap((report) =>
      suspects.onSettled(report, atMs + 1 + CRASH_SETTLE_MS),
    );
    return [...atOnce, ...later].map(({ suspect }) => suspect);
  }

  it('is not condemned because sound prompts were at the engines that one deadly request crashed', () => {
    // Guards against refusing all sound requests of a customer: they made the crashed prompts differ.
    const suspects = createCrashSuspects();
    const condemned = [1, 2, 3, 4, 5].flatMap((no) =>
      crashTogether(suspects, no * 200, 'r-deadly', `r-sound${no}`),
    );
    expect(condemned).toEqual([asId('content of r-deadly')]);
    expect(findCondemned(suspects, [SHARED, OTHER], 1_100)).toBeUndefined();
  });

  it('is not condemned because sound prompts were at the engines that several requests crashed', () => {
    const suspects = createCrashSuspects();
    const condemned = [1, 2, 3].flatMap((no) =>
      crashTogether(suspects, no * 200, `r-deadly${no}`, `r-sound${no}`),
    );
    // Nothing tells the other part of the sound prompts from the deadly one yet.
    expect(condemned).toEqual([]);
    const alone = crash(5_000, 'r-deadly4', 'west', SHARED, DEADLY);
    expect(condemnedBy(suspects, alone)).toEqual([DEADLY_AND_SHARED]);
    expect(findCondemned(suspects, [SHARED, OTHER], 5_100)).toBeUndefined();
  });

  it('is not condemned before the reports of the deadly request at the same engine arrive', () => {
    const suspects = createCrashSuspects();
    [1, 2, 3].forEach((no) => crashTogether(suspects, no * 200, `r${no}`, `r-sound${no}`));
    const sound = { ...crash(5_000, 'r9', 'east', SHARED), serverId: id('engine-9') };
    expect(suspects.onCrash(sound)).toEqual({ condemned: [], isUnsettled: true });
    const deadly = { ...crash(5_100, 'r4', 'east', SHARED, DEADLY), serverId: id('engine-9') };
    expect(condemnedBy(suspects, deadly)).toEqual([DEADLY_AND_SHARED]);
    expect(suspects.onSettled(sound, 5_100 + CRASH_SETTLE_MS)).toEqual([]);
  });

  it('is not condemned by one more crash of a sound request', () => {
    const suspects = createCondemning();
    expect(condemnedBy(suspects, crash(5_000, 'r5', 'west', SHARED, OTHER))).toEqual([]);
  });

  it('does not keep the deadly one from being condemned with other parts, by two more crashes', () => {
    const suspects = createCondemning();
    const others = ['other1', 'other2'].map((name) => asId<PromptPartId>(name));
    const condemned = others.map((part, at) =>
      condemnedBy(suspects, crash(5_000 + at * 2_000, `r${at + 5}`, 'west', part, DEADLY)),
    );
    expect(condemned).toEqual([[], [DEADLY]]);
  });

  it('is left out of what is condemned if it has been answered lately', () => {
    const suspects = createCrashSuspects();
    suspects.onSurvived([SHARED], 900);
    condemnedBy(suspects, crash(1_000, 'r1', 'east', SHARED, DEADLY));
    condemnedBy(suspects, crash(1_100, 'r1', 'west', SHARED, DEADLY));
    const third = crash(1_200, 'r2', 'north', SHARED, OTHER, DEADLY);
    expect(condemnedBy(suspects, third)).toEqual([DEADLY]);
  });

  it('is condemned with the deadly one again by one crash after the time, unless both are survived', () => {
    const suspects = createCondemning();
    const after = crash(122_000, 'r7', 'east', SHARED, DEADLY);
    expect(condemnedBy(suspects, after)).toEqual([DEADLY_AND_SHARED]);
    expect(suspects.onSurvived([SHARED, DEADLY], 123_000)).toContain(DEADLY_AND_SHARED);
    expect(findCondemned(suspects, [SHARED, DEADLY], 123_000)).toBeUndefined();
    // Another router that has not heard of it repeats what it condemned before.
    const earlier = condemnation(DEADLY_AND_SHARED, 122_000);
    expect(suspects.condemn(earlier, 123_100)).toBe('ignored');
  });
});

describe('a whole request that crashes servers', () => {
  const callCrash = (atMs: number, request: string, domain: string, content: string) =>
    ({
      ...crash(atMs, request, domain),
      isStream: false,
      fingerprint: asId<Fingerprint>(content),
    }) satisfies ServerCrash;

  const DEADLY_CALL = asId<Fingerprint>('deadly');

  it('is refused after two crashes of a call, and for long after a third one', () => {
    // Guards against a call that ends the few servers of a plain service, whoever repeats it.
    const suspects = createCrashSuspects();
    expect(suspects.onCrash(callCrash(1_000, 'r1', 'east', 'deadly')).condemned).toEqual([]);
    const [first] = suspects.onCrash(callCrash(1_300, 'r2', 'west', 'deadly')).condemned;
    expect(first?.forMs).toBe(QUARANTINE_MS);
    expect(findCondemned(suspects, [DEADLY_CALL], 1_300 + QUARANTINE_MS - 1)).toBe(DEADLY_CALL);
    expect(findCondemned(suspects, [DEADLY_CALL], 1_300 + QUARANTINE_MS)).toBeUndefined();
    const [second] = suspects.onCrash(callCrash(9_000, 'r3', 'west', 'deadly')).condemned;
    expect(second?.forMs).toBe(CONDEMNED_MS);
  });

  it('is condemned again by one more crash until a server answers it', () => {
    const suspects = createCrashSuspects();
    suspects.condemn(condemnation(DEADLY_CALL, 0, true), 0);
    expect(condemnedBy(suspects, callCrash(130_000, 'r1', 'east', 'deadly'))).toEqual([
      DEADLY_CALL,
    ]);
    suspects.condemn(condemnation(DEADLY_CALL, 130_000, true), 130_000);
    expect(suspects.onAnswered(() => DEADLY_CALL, 260_000)).toBe(true);
    expect(condemnedBy(suspects, callCrash(261_000, 'r2', 'east', 'deadly'))).toEqual([]);
  });

  it('condemns no prompt part that sound requests have too', () => {
    // Guards against refusing all streams with the first part of one deadly request.
    const suspects = createCrashSuspects();
    const condemned = ['east', 'west', 'north', 'east', 'west'].flatMap((domain, at) =>
      condemnedBy(suspects, crash(1_000 + at * 2_000, 'r1', domain, SHARED)),
    );
    expect(condemned).toEqual(['content of r1']);
    expect(findCondemned(suspects, [SHARED], 9_000)).toBeUndefined();
  });

  it('is not refused because one outage hit all servers while they ran equal calls', () => {
    const suspects = createCrashSuspects();
    ['east', 'west', 'north'].forEach((domain, no) => {
      const crashes = callCrash(1_000 + no * 5, `r${no}`, domain, 'popular');
      expect(condemnedBy(suspects, crashes)).toEqual([]);
    });
  });

  it('is not refused if a server has answered it between two crashes', () => {
    const suspects = createCrashSuspects();
    const popular = () => asId<Fingerprint>('popular');
    expect(suspects.onAnswered(popular, 500)).toBe(false);
    suspects.onCrash(callCrash(1_000, 'r1', 'east', 'popular'));
    expect(suspects.isSuspected(popular, 1_100)).toBe(true);
    expect(suspects.onAnswered(popular, 1_200)).toBe(true);
    expect(suspects.isSuspected(popular, 1_300)).toBe(false);
    // Reports are repeated.
    expect(condemnedBy(suspects, callCrash(1_000, 'r1', 'east', 'popular'))).toEqual([]);
    expect(condemnedBy(suspects, callCrash(3_000, 'r2', 'west', 'popular'))).toEqual([]);
  });
});
