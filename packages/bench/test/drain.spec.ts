import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { loadHashFunctions } from '@mimosamill/adapters';
import { expectedTokenTexts } from '@mimosamill/fakes';
import { commitSampleConfig, readStream, SAMPLE, startEngines, startFleet } from '../src/index';
import type { CallerResult, Fleet, FleetNode } from '../src/index';

const PROMPT = 'The third rib has lifted from the base ring. What do I clamp first?';
const STREAMS = 4;
const TOKENS = 200;
const DRAIN_NOTICE_MS = 1_500;

describe('graceful shutdown of real processes', () => {
  let fleet: Fleet;
  let engines: FleetNode[];
  let service: FleetNode;
  let router: FleetNode;

  beforeEach(async () => {
    fleet = await startFleet();
    engines = await startEngines(fleet, ['jabal-weibdeh', 'marka'], { baseStepMs: 30 });
    service = await fleet.startService('shop-0', 'guild-shop', 'marka');
    await commitSampleConfig(fleet);
    router = await fleet.startRouter({
      id: 'router-0',
      failureDomain: 'marka',
      settings: { drainNoticeMs: DRAIN_NOTICE_MS },
    });
    await fleet.waitReady([router]);
    // The host list is served with a lag, and calls to a service without a listed server are refused.
    await expect
      .poll(() => send('/v1/services/guild-shop/lookup', {}), { timeout: 30_000 })
      .toMatchObject({ kind: 'ok', status: 200 });
  });

  afterEach(() => fleet.stop());

  /** Starts streams; resolves once each has received its first token. */
  async function startStreams(): Promise<Promise<CallerResult>[]> {
    const results: Promise<CallerResult>[] = [];
    const begun = Array.from(
      { length: STREAMS },
      (_, seed) =>
        new Promise<void>((resolve) => {
          results.push(
            readStream({
              dispatcher: fleet.http.dispatcher,
              key: SAMPLE.key,
              body: { model: 'guide', prompt: PROMPT, max_tokens: TOKENS, seed },
              routerFor: (connection) => (connection === 0 ? router.address : undefined),
              onToken: () => resolve(),
            }),
          );
        }),
    );
    await Promise.all(begun);
    return results;
  }

  async function expectComplete(results: readonly Promise<CallerResult>[]): Promise<void> {
    const { hash32 } = await loadHashFunctions();
    for (const [seed, result] of (await Promise.all(results)).entries()) {
      expect(result).toMatchObject({ end: 'done', misnumbered: 0, reconnects: 0 });
      const source = { model: 'guide', version: 'v1', adapter: '', prompt: PROMPT, seed };
      expect(result.texts).toEqual(expectedTokenTexts(source, TOKENS, hash32));
    }
  }

  function send(path: string, body: object): ReturnType<Fleet['http']['fetch']> {
    return fleet.http.fetch(`http://${router.address}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${SAMPLE.key}` },
      body: JSON.stringify(body),
      timeoutMs: 30_000,
    });
  }

  const isRefused = (answer: Awaited<ReturnType<typeof send>>): boolean =>
    answer.kind === 'not_sent' || (answer.kind === 'ok' && answer.status === 503);

  // Guards against a stopping router that cuts off running requests or accepts new ones.
  it('of a router lets streams and calls finish and refuses new requests as not run', async () => {
    await fleet.post(service.address, '/faults', { delayMs: 3_000 });
    const results = await startStreams();
    const call = send('/v1/services/guild-shop/book', { slot: 7 });
    await expect
      .poll(() => fleet.get(service.address, '/load'), { timeout: 30_000 })
      .toMatchObject({ running: 1 });
    const stopped = router.process.stop();
    await expect
      .poll(() => fleet.get(router.address, '/readyz'), { timeout: 30_000, interval: 10 })
      .toEqual({ status: 'not_ready', reason: 'this router is stopping' });
    const refused = await Promise.all([
      send('/v1/completions', { model: 'guide', prompt: PROMPT, max_tokens: 3 }),
      send('/v1/services/guild-shop/book', { slot: 8 }),
    ]);
    refused.forEach((answer) => {
      expect(isRefused(answer)).toBe(true);
      if (answer.kind !== 'ok') return;
      expect(JSON.parse(answer.body)).toMatchObject({ error: { not_run: true } });
    });
    await expectComplete(results);
    expect(await call).toMatchObject({ kind: 'ok', status: 200 });
    await stopped;
    const { runs } = (await fleet.get(service.address, '/runs')) as {
      runs: { operation: string }[];
    };
    expect(runs.filter(({ operation }) => operation === 'book')).toHaveLength(1);
    expect(router.process.stderr()).toContain('router stopped');
  });

  // Guards against streams lost when their engine stops, and against new requests sent to it.
  it('of an engine cuts off no stream and sends it no new request', async () => {
    const results = await startStreams();
    const [leaving] = engines as [FleetNode];
    /** Prompt tokens that the engine has processed; running streams add none, only new requests do. */
    const promptTokens = async (): Promise<number> => {
      const work = (await fleet.get(leaving.address, '/v1/work')) as Record<string, number>;
      return (work['prefill_tokens'] ?? 0) + (work['cached_tokens'] ?? 0);
    };
    const before = await promptTokens();
    const stopped = leaving.process.stop();
    await expect
      .poll(() => fleet.get(leaving.address, '/v1/load'), { timeout: 30_000, interval: 10 })
      .toMatchObject({ state: 'leaving' });
    const later = await Promise.all(
      Array.from({ length: STREAMS }, () =>
        send('/v1/completions', { model: 'guide', prompt: PROMPT, max_tokens: 10 }),
      ),
    );
    later.forEach((answer) => expect(answer).toMatchObject({ kind: 'ok', status: 200 }));
    // On a slow machine the engine may have ended already, so that its count cannot be read.
    expect(await promptTokens().catch(() => before)).toBe(before);
    await expectComplete(results);
    await stopped;
    expect(
      await send('/v1/completions', { model: 'guide', prompt: PROMPT, max_tokens: 3 }),
    ).toMatchObject({ kind: 'ok', status: 200 });
  });
});
