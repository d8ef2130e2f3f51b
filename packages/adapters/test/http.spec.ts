import { afterEach, describe, expect, it } from 'vitest';
import { createHttpClient, createHttpServer } from '../src/index';
import type { HttpClient, HttpServer } from '../src/index';

describe('the HTTP server', () => {
  let server: HttpServer;
  let http: HttpClient;

  afterEach(async () => {
    await server.close();
    await http.close();
  });

  // Guards against a failing handler that ends the process, and with it all other requests.
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
    'reports an unknown outcome for a request whose handler %s',
    async (_name, handler) => {
      server = createHttpServer();
      http = createHttpClient();
      server.app.get('/broken', () => handler());
      const port = await server.listen('127.0.0.1', 0);
      const outcome = await http.fetch(`http://127.0.0.1:${port}/broken`, {
        method: 'GET',
        timeoutMs: 20_000,
      });
      expect(outcome).toMatchObject({ kind: 'ok', status: 502 });
      const error = {
        code: 'backend_failed',
        message: 'broken',
        not_run: false,
        outcome: 'unknown',
      };
      expect(JSON.parse(outcome.kind === 'ok' ? outcome.body : '')).toEqual({ error });
    },
  );

  // Guards against a part of a response that looks whole.
  it('breaks off the response of a handler that fails in the middle of it', async () => {
    server = createHttpServer();
    http = createHttpClient();
    server.app.get('/broken', (_req, res) => {
      res.writeHead(200, { 'content-type': 'text/plain' });
      res.write('part of');
      return new Promise((_resolve, reject) => {
        setTimeout(() => reject(new Error('broken')), 20);
      });
    });
    const port = await server.listen('127.0.0.1', 0);
    const url = `http://127.0.0.1:${port}/broken`;
    const outcome = await http.fetch(url, { method: 'GET', timeoutMs: 20_000 });
    expect(outcome.kind).toBe('no_answer');
  });
});
