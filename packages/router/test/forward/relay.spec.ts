import { afterEach, describe, expect, it } from 'vitest';
import { createHttpClient, createHttpServer, sendText } from '@mimosamill/adapters';
import { UNKNOWN_ERA } from '@mimosamill/core';
import { createRelaySource } from '../../src/forward/relay';
import type { HttpClient, HttpServer } from '@mimosamill/adapters';

let server: HttpServer | undefined;
let http: HttpClient | undefined;

afterEach(async () => {
  await http?.close();
  await server?.close();
});

async function readFrom(answer: string) {
  server = createHttpServer();
  server.app.get('/*', (_req, res) => sendText(res, 200, 'application/json', answer));
  const port = await server.listen('127.0.0.1', 0);
  http = createHttpClient(1);
  const source = createRelaySource<string>(http, 'servers', `127.0.0.1:${port}`);
  return source.readChanges(
    { since: { era: UNKNOWN_ERA, revision: 1 }, knownAsOfMs: undefined, waitMs: 1 },
    AbortSignal.timeout(2_000),
  );
}

describe('a read from another router', () => {
  it('yields its rows', async () => {
    const answer = { changes: [{ key: 'a', value: 'a1' }, { key: 'b' }], isAll: false };
    const state = { revision: 7, storeAsOfMs: 4, sinceOutageMs: null };
    expect(await readFrom(JSON.stringify({ ...answer, ...state }))).toMatchObject({
      kind: 'relayed',
      changes: [{ key: 'a', value: 'a1' }, { key: 'b' }],
      revision: 7,
      sinceOutageMs: Infinity,
    });
  });

  it.each(['null', '[]', '7', '{}', '{"changes":7}', '{"changes":[null],"revision":1e999}', '<a>'])(
    'counts as failed if another process answers %s at its address',
    async (answer) => {
      expect((await readFrom(answer)).kind).toBe('unavailable');
    },
  );
});
