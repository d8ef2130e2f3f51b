import { EventEmitter } from 'node:events';
import { createJournal } from '@mimosamill/core';
import { describe, expect, it } from 'vitest';
import { createSseConnection } from '../src/http/caller';
import { createCompletionEncoder } from '../src/http/completions';
import { createStreamWorld, ENGINE_IDS } from './stream-world';
import type { ServerResponse } from 'node:http';
import type { RunningStream } from '../src/stream/stream';

const TOKENS = 10_000;
const MAX_UNSENT_BYTES = 65_536;

/** A response whose socket takes data only when told to. */
function createSlowResponse() {
  const sent: string[] = [];
  const state = { writableLength: 0 };
  const response = Object.assign(new EventEmitter(), {
    destroyed: false,
    headersSent: true,
    write: (text: string) => {
      sent.push(text);
      state.writableLength += text.length;
    },
    end: () => undefined,
  });
  Object.defineProperty(response, 'writableLength', { get: () => state.writableLength });
  return {
    response: response as unknown as ServerResponse,
    sent,
    unsentBytes: () => state.writableLength,
    drain: () => {
      state.writableLength = 0;
      response.emit('drain');
    },
  };
}

describe('a connected caller', () => {
  // Guards against a slow caller whose whole answer piles up in the router's socket buffers.
  it('is handed no more than its socket takes, and misses nothing', () => {
    const journal = createJournal('r' as never);
    for (let index = 0; index < TOKENS; index += 1) journal.append(index, ` w${index}`);
    const stream = {
      journal: () => journal,
      ended: () => ({ kind: 'finish', reason: 'stop' }),
      detach: () => undefined,
    } as unknown as RunningStream;
    const slow = createSlowResponse();
    const writer = createCompletionEncoder('completion', 'r', 'guide');
    createSseConnection(slow.response, writer, 0).bind(stream);
    let rounds = 0;
    while (!slow.sent.join('').includes('[DONE]') && rounds < 1_000) {
      // One event may begin below the bound and end above it.
      expect(slow.unsentBytes()).toBeLessThan(MAX_UNSENT_BYTES + 1_024);
      slow.drain();
      rounds += 1;
    }
    expect(rounds).toBeGreaterThan(10);
    const ids = [...slow.sent.join('').matchAll(/^id: r\/(\d+)$/gmu)].map(([, id]) => Number(id));
    expect(ids).toEqual(Array.from({ length: TOKENS }, (_, index) => index));
  });

  // Guards against engines that go on generating for callers who will not come back.
  it('that stays away longer than the reconnect window ends its stream at the engine', async () => {
    const world = createStreamWorld(5);
    const caller = world.call('a', { maxTokens: 1_000_000 });
    await world.time.run(1_000);
    world.disconnect(caller);
    const running = (): number =>
      ENGINE_IDS.reduce(
        (sum, engineId) => sum + world.engines.model(engineId).runningRequestIds().length,
        0,
      );
    await world.time.run(20_000);
    expect(running()).toBe(1);
    await world.time.run(32_000);
    expect(running()).toBe(0);
  });
});
