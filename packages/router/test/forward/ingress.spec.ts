import { describe, expect, it } from 'vitest';
import { createIngress } from '../../src/forward/ingress';
import type { CallForwarder } from '../../src/forward/call';
import type { ForwardPorts } from '../../src/forward/ports';
import type { StreamForwarder } from '../../src/forward/stream';

describe('a request whose handling fails in the router', () => {
  it('is answered and logged, and the router serves on', async () => {
    const logged: string[] = [];
    const ports = {
      clock: { monotonicMs: () => performance.now() },
      codec: {
        parseRequest: () => {
          throw new Error('cannot be parsed');
        },
        toErrorResponse: () => ({ status: 502, headers: {}, body: 'failed' }),
      },
      decisions: { vital: (event: string) => logged.push(event) },
      metrics: { onAnswer: () => undefined },
    } as unknown as ForwardPorts;
    const config = {
      table: () => undefined,
      ageMs: () => 0,
      refresh: () => Promise.resolve(true),
    };
    const ingress = createIngress(ports, {} as CallForwarder, {} as StreamForwarder, config, {
      freshness: () => ({ serveMaxAgeMs: 1, denyMaxAgeMs: 1 }),
    });
    const port = await ingress.shell.listen('127.0.0.1', 0);
    const url = `http://127.0.0.1:${port}/`;
    const statuses = [(await fetch(url)).status, (await fetch(url)).status];
    await ingress.shell.close();
    expect([statuses, logged]).toEqual([
      [502, 502],
      ['request.handling_failed', 'request.handling_failed'],
    ]);
  });
});
