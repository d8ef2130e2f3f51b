import { describe, expect, it } from 'vitest';
import { asId, createCrashSuspects } from '../../src/index';
import { id, requestId } from './fixtures';
import type { FailureDomain, ServerCrash, PromptPartId } from '../../src/index';

const SHARED = asId<PromptPartId>('shared');
const DEADLY = asId<PromptPartId>('deadly');
const OTHER = asId<PromptPartId>('other');

const crash = (atMs: number, request: string, domain: string, ...parts: PromptPartId[]) =>
  ({
    requestId: requestId(request),
    engineId: id(`${domain}-${atMs}`),
    failureDomain: asId<FailureDomain>(domain),
    parts,
    combination: asId<PromptPartId>([...parts].sort().join('+')),
    atMs,
  }) satisfies ServerCrash;

describe('a prompt part that crashes engines', () => {
  it('is condemned by the third crash that different requests met', () => {
    const suspects = createCrashSuspects();
    expect(suspects.onCrash(crash(1_000, 'r1', 'east', SHARED, DEADLY))).toEqual([]);
    suspects.onBegun([SHARED], 1_500);
    expect(suspects.onCrash(crash(2_000, 'r1', 'west', SHARED, DEADLY))).toEqual([]);
    suspects.onBegun([SHARED], 2_500);
    expect(suspects.onCrash(crash(3_000, 'r2', 'north', SHARED, DEADLY, OTHER))).toEqual([DEADLY]);
    expect(suspects.findCondemned([OTHER], 3_000)).toBeUndefined();
    expect(suspects.findCondemned([SHARED], 3_000)).toBeUndefined();
    expect(suspects.findCondemned([SHARED, DEADLY], 3_000)).toBe(DEADLY);
  });

  it('is condemned only together with the parts that all crashed prompts had', () => {
    // Guards against refusing sound requests that share another part with the one that crashes engines.
    const suspects = createCrashSuspects();
    const condemned = ['east', 'west', 'north', 'east'].map((domain, at) =>
      suspects.onCrash(crash(1_000 + at * 1_000, 'r1', domain, DEADLY, OTHER)),
    );
    expect(condemned).toEqual([[], [], [], [asId('deadly+other')]]);
    expect(suspects.findCondemned([OTHER], 4_000)).toBeUndefined();
  });

  it('is not condemned by one crash that is reported again and again', () => {
    const suspects = createCrashSuspects();
    const report = crash(1_000, 'r1', 'east', DEADLY);
    suspects.onCrash(crash(900, 'r2', 'west', DEADLY, OTHER));
    for (let no = 0; no < 5; no += 1) {
      expect(suspects.onCrash({ ...report, atMs: 1_000 + no * 400 })).toEqual([]);
    }
  });

  it('is refused for two minutes, and condemned again by one more crash after that', () => {
    const suspects = createCrashSuspects();
    suspects.onCrash(crash(0, 'r1', 'east', DEADLY));
    suspects.onCrash(crash(100, 'r2', 'west', DEADLY, SHARED));
    suspects.onCrash(crash(200, 'r3', 'north', DEADLY, OTHER));
    expect(suspects.findCondemned([DEADLY], 120_199)).toBe(DEADLY);
    expect(suspects.findCondemned([DEADLY], 120_200)).toBeUndefined();
    expect(suspects.onCrash(crash(121_000, 'r4', 'east', DEADLY))).toEqual([DEADLY]);
  });

  it('is taken over from another router, unless an answer to it has begun since', () => {
    const suspects = createCrashSuspects();
    expect(suspects.condemn({ part: DEADLY, condemnedAtMs: 500 }, 900)).toBe(true);
    expect(suspects.condemn({ part: DEADLY, condemnedAtMs: 500 }, 900)).toBe(false);
    suspects.onBegun([SHARED], 1_000);
    expect(suspects.condemn({ part: SHARED, condemnedAtMs: 900 }, 1_100)).toBe(false);
    expect(suspects.condemned(1_200)).toEqual([{ part: DEADLY, condemnedAtMs: 500 }]);
  });
});

describe('a sound prompt part', () => {
  it('is not condemned when whole failure domains are lost under its requests', () => {
    // Guards against refusing all requests of a service after a wave of engine losses.
    const suspects = createCrashSuspects();
    suspects.onBegun([SHARED], 0);
    for (let no = 0; no < 40; no += 1) {
      const domain = ['east', 'west'][no % 2] ?? '';
      suspects.onCrash(crash(1_000 + no * 30, `r${no}`, domain, SHARED));
    }
    expect(suspects.findCondemned([SHARED], 3_000)).toBeUndefined();
  });

  it('is cleared of earlier crashes when an answer to one of its requests begins', () => {
    const suspects = createCrashSuspects();
    suspects.onCrash(crash(1_000, 'r1', 'east', SHARED));
    suspects.onCrash(crash(3_000, 'r2', 'west', SHARED));
    expect(suspects.onBegun([SHARED], 3_500)).toEqual([SHARED]);
    expect(suspects.onBegun([SHARED], 3_600)).toEqual([]);
    expect(suspects.onCrash(crash(3_400, 'r3', 'north', SHARED))).toEqual([]);
    expect(suspects.onCrash(crash(5_000, 'r4', 'north', SHARED))).toEqual([]);
  });

  it('is served again as soon as an answer begins although it was condemned', () => {
    const suspects = createCrashSuspects();
    suspects.condemn({ part: SHARED, condemnedAtMs: 500 }, 900);
    expect(suspects.onBegun([SHARED], 1_000)).toEqual([SHARED]);
    expect(suspects.findCondemned([SHARED], 1_000)).toBeUndefined();
  });
});
