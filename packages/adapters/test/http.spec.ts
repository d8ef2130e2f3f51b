import { afterEach, describe, expect, it } from 'vitest';
import { createHttpClient, createHttpServer } from '../src/index';
import type { HttpClient, HttpServer } from '../src/index';

describe('the HTTP shell', () => {
  let shell: HttpServer;
  let http: HttpClient;

  afterEach(async () => {
    await shell.close();
    await http.close();
  });

  // Guards against a failure in a handler that ends the process and with it every other request.
  it.each([
    ['rejects', () => Promise.reject(new Error('broken'))],
    [
      'rejects after a wait',
      async () => {
        await Promise.resolve();
        throw new Error('broken');
      },
    ],
    [
      'throws',
      () => {
        throw new Error('broken');
      },
    ],
  ] as [string, () => Promise<void>][])(
    'answers a request whose handler %s with an unknown outcome',
    async (_name, handler) => {
      shell = createHttpServer();
      http = createHttpClient();
      shell.app.get('/broken', () => handler());
      const port = await shell.listen('127.0.0.1', 0);
      const answer = await http.fetch(`http://127.0.0.1:${port}/broken`, {
        method: 'GET',
        timeoutMs: 20_000,
      });
      expect(answer).toMatchObject({ kind: 'ok', status: 502 });
      const error = {
        code: 'backend_failed',
        message: 'broken',
        not_run: false,
        outcome: 'unknown',
      };
      expect(JSON.parse(answer.kind === 'ok' ? answer.body : '')).toEqual({ error });
    },
  );
});
