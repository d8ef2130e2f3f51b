import { describe, expect, it } from 'vitest';
import { asStoreEra, createStoreEras } from '@mimosamill/core';
import { createHttpClient } from '@mimosamill/adapters';
import { createRelayServer, createRelaySource } from '../../src/forward/relay';
import type { HttpClient } from '@mimosamill/adapters';

const ANSWER = { changes: [], isAll: true, revision: 1, storeAsOfMs: 1, sinceOutageMs: null };

describe('an era of the store that only another process names', () => {
  it('does not make the answers of the store itself count as older', async () => {
    const eras = createStoreEras();
    eras.observe(asStoreEra(3));
    const table = { name: 'operator', waitForNewer: () => Promise.resolve(undefined) };
    const relay = createRelayServer([table], eras);
    const port = await relay.listen('127.0.0.1', 0);
    const http = createHttpClient(1);
    await http.fetch(`http://127.0.0.1:${port}/relay/operator?since=0&era=999&wait_ms=1`, {
      method: 'GET',
      timeoutMs: 1_000,
    });
    await http.close();
    await relay.close();
    expect(eras.observe(asStoreEra(3))).not.toBe('older');
  });

  it.each(['7', -1, 1.5, null, {}])('is not taken from a relay that names %j', async (era) => {
    const http = {
      fetch: () =>
        Promise.resolve({
          kind: 'ok',
          status: 200,
          headers: {},
          body: JSON.stringify({ ...ANSWER, era }),
        }),
    } as unknown as HttpClient;
    const source = createRelaySource(http, 'operator', '127.0.0.1:1');
    const since = { era: asStoreEra(3), revision: 0 };
    const query = { since, knownAsOfMs: undefined, waitMs: 1 };
    const answer = await source.readChanges(query, new AbortController().signal);
    expect(answer.kind === 'unavailable' || answer.era === 3).toBe(true);
  });
});
