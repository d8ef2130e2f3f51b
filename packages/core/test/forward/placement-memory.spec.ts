import { describe, expect, it } from 'vitest';
import { asId, createFleet, createPeerRegistry, createPlacer } from '../../src/index';
import { CAPACITY, createRandom, hash32, requestId, server } from './fixtures';
import type { ServerId, ServiceName } from '../../src/index';

const ENGINES = ['a', 'b', 'c'].flatMap((domain) => [1, 2, 3, 4].map((no) => `${domain}${no}`));
const PROMPT_TOKENS = 5_200;
const STREAM_MS = 7_000;
const CALM_STREAMS_PER_SEC = 3.5;
const CROWD_STREAMS_PER_SEC = 10.5;
const CROWD_MS = 6_000;
const STEP_MS = 20;

interface Outcome {
  readonly streams: number;
  /** Streams that had a copy of their KV cache. */
  readonly copied: number;
  /** Streams that an engine pushed out of its memory for want of room. */
  readonly pushedOut: number;
}

/** Plays streams that come for `CROWD_MS` on engines that push out the newest when memory runs out. */
function playStreams(streamsPerSec: number): Outcome {
  const random = createRandom(7);
  const fleet = createFleet();
  fleet.setServers(
    ENGINES.map((name) => server(name)),
    0,
  );
  const placer = createPlacer(fleet, createPeerRegistry(), asId('host'), hash32);
  const used = new Map<ServerId, number>();
  const use = (serverId: ServerId, tokens: number): number => {
    const sum = (used.get(serverId) ?? 0) + tokens;
    used.set(serverId, sum);
    return sum;
  };
  const ends: { readonly atMs: number; readonly run: () => void }[] = [];
  let streams = 0;
  let copied = 0;
  let pushedOut = 0;
  for (let nowMs = 0; nowMs < CROWD_MS; nowMs += STEP_MS) {
    while ((ends[0]?.atMs ?? Infinity) <= nowMs) ends.shift()?.run();
    if (random() >= (streamsPerSec * STEP_MS) / 1_000) continue;
    const placement = placer.placeStream(
      {
        service: asId<ServiceName>('guide'),
        capacity: CAPACITY,
        promptTokens: PROMPT_TOKENS,
        excluded: new Set(),
        excludedCopyHolders: new Set(),
        limitDraw: 0,
      },
      nowMs,
      random,
    );
    if (placement.kind === 'none') continue;
    const { engineId, copyEngineId } = placement;
    const id = requestId(`r${streams}`);
    streams += 1;
    fleet.onSent(engineId, id, PROMPT_TOKENS, nowMs);
    if (use(engineId, PROMPT_TOKENS) > CAPACITY.memoryTokens) pushedOut += 1;
    if (copyEngineId !== undefined) {
      copied += 1;
      fleet.onCopy(copyEngineId, PROMPT_TOKENS, 1);
      if (use(copyEngineId, PROMPT_TOKENS) > CAPACITY.memoryTokens) pushedOut += 1;
    }
    ends.push({
      atMs: nowMs + STREAM_MS,
      run: () => {
        fleet.onEnd(engineId, id, PROMPT_TOKENS);
        use(engineId, -PROMPT_TOKENS);
        if (copyEngineId === undefined) return;
        fleet.onCopy(copyEngineId, PROMPT_TOKENS, -1);
        use(copyEngineId, -PROMPT_TOKENS);
      },
    });
  }
  return { streams, copied, pushedOut };
}

describe('the memory of engines', () => {
  it('is left to the streams themselves in a crowd of three times the traffic', () => {
    // Guards against copies that push running streams out: those fell silent, moved, and were read
    // again elsewhere, long after the crowd had gone.
    const { streams, copied, pushedOut } = playStreams(CROWD_STREAMS_PER_SEC);
    expect(pushedOut).toBe(0);
    expect(copied).toBeGreaterThan(streams / 3);
  });

  it('holds a copy of each stream at the usual traffic', () => {
    const { streams, copied, pushedOut } = playStreams(CALM_STREAMS_PER_SEC);
    expect([copied, pushedOut]).toEqual([streams, 0]);
  });
});
