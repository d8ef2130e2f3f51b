import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createStreamWorld, ENGINE_IDS, TOKENS } from './stream-world';
import type { StreamWorld, TestCaller } from './stream-world';

type Fault = readonly [atMs: number, kind: string, engine: number];

const END_MS = 30_000;
/** From then on, all engines run and are reachable. */
const REPAIR_MS = 4_000;

function applyFault(world: StreamWorld, [, kind, engine]: Fault): void {
  const engineId = ENGINE_IDS[engine % ENGINE_IDS.length];
  if (engineId === undefined) return;
  const { engines } = world;
  if (kind === 'router') world.killRouter();
  if (kind === 'kill') engines.kill(engineId);
  if (kind === 'restart') engines.restart(engineId);
  if (kind === 'pause') engines.pause(engineId);
  if (kind === 'resume') engines.resume(engineId);
  if (kind === 'cut') engines.partition(engineId);
  if (kind === 'heal') engines.heal(engineId);
}

async function runWithFaults(
  faults: readonly Fault[],
  names: readonly string[],
): Promise<[StreamWorld, TestCaller[]]> {
  const world = createStreamWorld(5);
  const callers = names.map((name) => world.call(name));
  const repairs = ENGINE_IDS.flatMap((_, engine): Fault[] =>
    ['restart', 'resume', 'heal'].map((kind) => [REPAIR_MS, kind, engine]),
  );
  const ordered = [...faults].sort(([a], [b]) => a - b);
  for (const fault of [...ordered, ...repairs]) {
    await world.time.run(fault[0]);
    applyFault(world, fault);
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
  // Guards against missing, repeated or mixed tokens, and against streams that never end for their
  // callers, after any sequence of engine and router losses.
  it('give every caller its complete answer, or a correct prefix of it and an error', async () => {
    let completeCount = 0;
    let streamCount = 0;
    await fc.assert(
      fc.asyncProperty(fc.array(faultArbitrary, { maxLength: 12 }), async (faults) => {
        const names = ['a', 'b', 'c'];
        const [world, callers] = await runWithFaults(faults, names);
        callers.forEach((caller, index) => {
          const expected = world.expectedTexts(names[index] ?? '');
          expect(caller.texts).toEqual(expected.slice(0, caller.texts.length));
          expect(caller.end).toBeDefined();
          if (caller.end === 'finish') expect(caller.texts.length).toBe(TOKENS);
          streamCount += 1;
          completeCount += caller.end === 'finish' ? 1 : 0;
        });
      }),
      { seed: 11, numRuns: 150 },
    );
    // Without this limit, an implementation that fails at every fault would pass.
    expect(completeCount / streamCount).toBeGreaterThan(0.8);
  });

  // Guards against reporting "not_run" for a request that an engine may have run.
  it('report "not_run" only if no engine can have run the request', async () => {
    const all = (kind: string, atMs: number): Fault[] =>
      ENGINE_IDS.map((_, engine) => [atMs, kind, engine]);
    const refused = createStreamWorld(5);
    all('kill', 0).forEach((fault) => applyFault(refused, fault));
    const never = refused.call('a');
    await refused.time.run(END_MS);
    expect(never).toMatchObject({ end: 'backend_failed', runState: 'not_run' });

    const lost = createStreamWorld(5);
    const started = lost.call('a');
    // After the request has arrived, and before its first token.
    await lost.time.run(5);
    all('kill', 0).forEach((fault) => applyFault(lost, fault));
    await lost.time.run(END_MS);
    expect(started).toMatchObject({ texts: [], end: 'backend_failed', runState: 'unknown' });
  });

  // Guards against an outlier detector that never learns how fast an engine generates, and against
  // a concurrency limiter that keeps its limit while engines refuse requests for lack of capacity.
  it('report the tokens of each request and every refusal for lack of capacity', async () => {
    const world = createStreamWorld(5, { maxQueued: 1 });
    const callers = ['a', 'b', 'c', 'd', 'e'].map((name) => world.call(name));
    await world.time.run(END_MS);
    expect(callers.map(({ end }) => end)).toEqual(callers.map(() => 'finish'));
    const refused = world.requestEnds.filter((end) => end === 'refused 0').length;
    expect(refused).toBeGreaterThan(0);
    expect(world.overloadedCount()).toBe(refused);
    const completeCount = world.requestEnds.filter((end) => end === `ok ${TOKENS}`).length;
    expect(completeCount).toBe(callers.length);
  });

  // Guards against one stream whose handling fails in the router, and ends the process or never ends.
  it('end with an error if their handling fails, and leave the others alone', async () => {
    const world = createStreamWorld(5);
    let tokens = 0;
    const failing = world.call('a', {
      permit: {
        onFirstToken: () => undefined,
        onTokens: () => {
          tokens += 1;
          if (tokens === 3) throw new Error('the handling fails');
        },
        onOverloaded: () => undefined,
        onEnd: () => undefined,
      },
    });
    const sound = world.call('b');
    await world.time.run(END_MS);
    expect([failing.end, failing.runState]).toEqual(['backend_failed', 'unknown']);
    expect(failing.texts.length).toBeLessThan(TOKENS);
    expect([sound.end, sound.texts]).toEqual(['finish', world.expectedTexts('b')]);
  });

  // Guards against unintended changes in the order of losses, resumes and takeovers.
  it('match the recorded events of a killed engine, a paused one and a dead router', async () => {
    const [world, [caller]] = await runWithFaults(
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
