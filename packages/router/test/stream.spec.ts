import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createStreamWorld, ENGINE_IDS, TOKENS } from './stream-world';
import type { StreamWorld, TestCaller } from './stream-world';

type Fault = readonly [atMs: number, what: string, engine: number];

const END_MS = 30_000;
/** Everything works again from then on. */
const REPAIR_MS = 4_000;

function apply(world: StreamWorld, [, what, engine]: Fault): void {
  const engineId = ENGINE_IDS[engine % ENGINE_IDS.length];
  if (engineId === undefined) return;
  const { engines } = world;
  if (what === 'router') world.killRouter();
  if (what === 'kill') engines.kill(engineId);
  if (what === 'restart') engines.restart(engineId);
  if (what === 'pause') engines.pause(engineId);
  if (what === 'resume') engines.resume(engineId);
  if (what === 'cut') engines.partition(engineId);
  if (what === 'heal') engines.heal(engineId);
}

async function run(
  faults: readonly Fault[],
  names: readonly string[],
): Promise<[StreamWorld, TestCaller[]]> {
  const world = createStreamWorld(5);
  const callers = names.map((name) => world.call(name));
  const repairs = ENGINE_IDS.flatMap((_, engine): Fault[] =>
    ['restart', 'resume', 'heal'].map((what) => [REPAIR_MS, what, engine]),
  );
  const ordered = [...faults].sort(([a], [b]) => a - b);
  for (const fault of [...ordered, ...repairs]) {
    await world.time.run(fault[0]);
    apply(world, fault);
  }
  await world.time.run(END_MS);
  return [world, callers];
}

const faultArbitrary: fc.Arbitrary<Fault> = fc.tuple(
  fc.integer({ min: 1, max: 1_500 }),
  fc.constantFrom('kill', 'restart', 'pause', 'resume', 'cut', 'heal', 'router'),
  fc.nat({ max: ENGINE_IDS.length - 1 }),
);

describe('streams', () => {
  // Guards against missing, repeated or mixed tokens, and against callers who never hear the end,
  // under any order of engine and router losses.
  it('give every caller its whole answer or a clear error after a true beginning', async () => {
    let whole = 0;
    let total = 0;
    await fc.assert(
      fc.asyncProperty(fc.array(faultArbitrary, { maxLength: 12 }), async (faults) => {
        const names = ['a', 'b', 'c'];
        const [world, callers] = await run(faults, names);
        callers.forEach((caller, index) => {
          const expected = world.expectedTexts(names[index] ?? '');
          expect(caller.texts).toEqual(expected.slice(0, caller.texts.length));
          expect(caller.end).toBeDefined();
          if (caller.end === 'finish') expect(caller.texts.length).toBe(TOKENS);
          total += 1;
          whole += caller.end === 'finish' ? 1 : 0;
        });
      }),
      { seed: 11, numRuns: 150 },
    );
    // An implementation that gives up at every fault would pass the property alone.
    expect(whole / total).toBeGreaterThan(0.8);
  });

  // Guards against saying "not run" of a request that an engine may have worked on.
  it('say that a request was not run only if no engine can have run it', async () => {
    const all = (what: string, atMs: number): Fault[] =>
      ENGINE_IDS.map((_, engine) => [atMs, what, engine]);
    const refused = createStreamWorld(5);
    all('kill', 0).forEach((fault) => apply(refused, fault));
    const never = refused.call('a');
    await refused.time.run(END_MS);
    expect(never).toMatchObject({ end: 'backend_failed', runState: 'not_run' });

    const lost = createStreamWorld(5);
    const started = lost.call('a');
    // After the request has arrived, and before its first token.
    await lost.time.run(5);
    all('kill', 0).forEach((fault) => apply(lost, fault));
    await lost.time.run(END_MS);
    expect(started).toMatchObject({ texts: [], end: 'backend_failed', runState: 'unknown' });
  });

  // Guards against an outlier judge that never sees an engine's pace, and against an admission window
  // that stays open while engines refuse for lack of room.
  it('pass on the tokens of each send and every refusal for lack of room', async () => {
    const world = createStreamWorld(5, { maxQueued: 1 });
    const callers = ['a', 'b', 'c', 'd', 'e'].map((name) => world.call(name));
    await world.time.run(END_MS);
    expect(callers.map(({ end }) => end)).toEqual(callers.map(() => 'finish'));
    const refused = world.requestEnds.filter((end) => end === 'refused 0').length;
    expect(refused).toBeGreaterThan(0);
    expect(world.overloadedCount()).toBe(refused);
    const whole = world.requestEnds.filter((end) => end === `ok ${TOKENS}`).length;
    expect(whole).toBe(callers.length);
  });

  // Guards against a change of the order in which a loss, a resume and a takeover happen.
  it('go through a killed engine, a paused one and a dead router as recorded', async () => {
    const [world, [caller]] = await run(
      [
        [150, 'kill', 1],
        [300, 'pause', 3],
        [800, 'router', 0],
      ],
      ['a'],
    );
    expect(caller?.texts).toEqual(world.expectedTexts('a'));
    expect(world.events.join('\n')).toMatchSnapshot();
  });
});
