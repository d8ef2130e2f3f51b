import { readdirSync, readlinkSync } from 'node:fs';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { loadHashFunctions } from '@mimosamill/adapters';
import { expectedTokenTexts } from '@mimosamill/fakes';
import {
  commitSampleConfig,
  readStream,
  SAMPLE,
  SAMPLE_DOMAINS,
  startEngines,
  startFleet,
  startRouters,
} from '../src/index';
import type { HashFunctions } from '@mimosamill/adapters';
import type { CallerResult, Fleet, FleetNode } from '../src/index';

const PROMPT = 'The third rib has lifted from the base ring. What do I clamp first?';

describe('requests from end to end over real processes', () => {
  let hashes: HashFunctions;
  let fleet: Fleet;
  let engines: FleetNode[];
  let routers: FleetNode[];

  beforeAll(async () => {
    hashes = await loadHashFunctions();
    fleet = await startFleet();
    engines = await startEngines(fleet, SAMPLE_DOMAINS, { baseStepMs: 5 });
    await fleet.startService('shop-0', 'guild-shop', 'marka');
    await commitSampleConfig(fleet);
    routers = await startRouters(fleet);
  });

  afterAll(() => fleet.stop());

  function expected(maxTokens: number): string[] {
    const source = { model: 'guide', version: 'v1', adapter: '', prompt: PROMPT, seed: 0 };
    return expectedTokenTexts(source, maxTokens, hashes.hash32);
  }

  function read(maxTokens: number, onToken?: (index: number) => void): Promise<CallerResult> {
    return readStream({
      dispatcher: fleet.http.dispatcher,
      key: SAMPLE.key,
      body: { model: 'guide', prompt: PROMPT, max_tokens: maxTokens },
      routerFor: (connection) => routers[connection % routers.length]?.address,
      ...(onToken === undefined ? {} : { onToken }),
    });
  }

  // Guards against tokens that are lost, repeated or misnumbered although nothing fails.
  it('streams a complete answer', async () => {
    const result = await read(50);
    expect(result).toMatchObject({ end: 'done', misnumbered: 0, reconnects: 0 });
    expect(result.texts).toEqual(expected(50));
  });

  // Guards against a Node.js release that uses io_uring by default.
  it('serves without io_uring', () => {
    const folder = `/proc/${routers[0]?.process.pid}/fd`;
    const targets = readdirSync(folder).map((fd) => readlinkSync(`${folder}/${fd}`));
    expect(targets.some((target) => target.includes('eventpoll'))).toBe(true);
    expect(targets.filter((target) => target.includes('io_uring'))).toEqual([]);
  });

  // Guards against double runs and against answering a booking with another booking's answer.
  it('runs a booking once and repeats its answer for the same key', async () => {
    const book = (router: number): Promise<unknown> =>
      fleet.http
        .fetch(`http://${routers[router]?.address}/v1/services/guild-shop/book`, {
          method: 'POST',
          headers: { authorization: `Bearer ${SAMPLE.key}`, 'idempotency-key': 'slot-7' },
          body: '{"slot":7}',
          timeoutMs: 5_000,
        })
        .then((answer) => (answer.kind === 'ok' ? JSON.parse(answer.body) : answer));
    const first = await book(0);
    const again = await book(1);
    expect(first).toEqual({
      operation: 'book',
      key: expect.any(String),
      run: 1,
      echo: { slot: 7 },
    });
    expect(again).toEqual(first);
  });

  // Guards against an unknown key reaching a backend server.
  it('refuses an unknown key', async () => {
    const answer = await fleet.http.fetch(`http://${routers[0]?.address}/v1/completions`, {
      method: 'POST',
      headers: { authorization: 'Bearer wrong' },
      body: JSON.stringify({ model: 'guide', prompt: PROMPT }),
      timeoutMs: 5_000,
    });
    expect(answer).toMatchObject({ kind: 'ok', status: 401 });
  });

  // Guards against tokens lost or repeated when the engine of a running stream is killed.
  it('completes an answer whose engine is killed', async () => {
    const killed: Promise<void>[] = [];
    const result = await read(300, (index) => {
      if (index !== 100) return;
      // Kills all engines but one, so that the stream's engine is probably among them.
      killed.push(...engines.slice(0, 2).map((engine) => engine.process.kill()));
    });
    await Promise.all(killed);
    expect(result).toMatchObject({ end: 'done', misnumbered: 0, reconnects: 0 });
    expect(result.texts).toEqual(expected(300));
  });

  // Guards against losing a stream when its router is killed: a journal copy and the engine remain.
  it('continues an answer at another router when its router is killed', async () => {
    const killed: Promise<void>[] = [];
    const result = await read(300, (index) => {
      if (index === 120) killed.push(routers[0]?.process.kill() ?? Promise.resolve());
    });
    await Promise.all(killed);
    expect(result).toMatchObject({ end: 'done', misnumbered: 0, error: expect.any(String) });
    expect(result.reconnects).toBeGreaterThan(0);
    expect(result.texts).toEqual(expected(300));
  });
});
