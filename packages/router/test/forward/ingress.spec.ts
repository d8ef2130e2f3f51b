import { request } from 'node:http';
import { describe, expect, it } from 'vitest';
import { createMemoryBudget, createServeError } from '@mimosamill/core';
import { toFields } from '@mimosamill/adapters';
import { createIngress } from '../../src/forward/ingress';
import type { IncomingMessage } from 'node:http';
import type { CallForwarder, RunningCall } from '../../src/forward/call';
import type { CurrentConfig } from '../../src/forward/ingress';
import type { ForwardPorts } from '../../src/forward/ports';
import type { StreamForwarder } from '../../src/forward/stream';

describe('a request whose handling fails in the router', () => {
  it('is answered and logged, and the router serves on', async () => {
    const logged: string[] = [];
    const ports = {
      clock: { monotonicMs: () => performance.now() },
      memory: createMemoryBudget(Infinity),
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

/** An ingress that receives calls, and the ends of calls that it logs and counts. */
function createCallIngress(forward: CallForwarder['forward']) {
  const ends: unknown[] = [];
  const counted: string[] = [];
  const logEnd = (event: string, { outcome }: { readonly outcome?: unknown }): void => {
    if (event === 'call.end') ends.push(outcome);
  };
  const route = {
    name: 'r',
    kind: 'once',
    timeoutMs: 10_000,
    targets: [{ service: 's', weight: 1 }],
  };
  const table = {
    config: { limits: { bodyMaxBytes: 1_000 } },
    match: () => route,
    service: () => ({ name: 's' }),
  };
  const ports = {
    clock: { monotonicMs: () => performance.now(), runAfter: () => () => undefined },
    memory: createMemoryBudget(Infinity),
    random: () => 0,
    codec: {
      parseRequest: () => ({ kind: 'ok', head: { requestId: 'r1', sharedParts: [] } }),
      toErrorResponse: () => ({ status: 502, headers: {}, body: 'failed' }),
      toCallerHeaders: () => ({}),
    },
    crashGuard: { findCondemned: () => undefined },
    fleet: {
      usable: () => [{ server: { serverId: 's1' } }],
      withRoom: () => [{}],
      limits: { onWanted: () => undefined },
    },
    decisions: { routine: logEnd, notable: logEnd, vital: logEnd },
    metrics: { onAnswer: (_kind: string, outcome: string) => counted.push(outcome) },
  } as unknown as ForwardPorts;
  const config = {
    table: () => table,
    ageMs: () => 0,
    refresh: () => Promise.resolve(true),
  } as unknown as CurrentConfig;
  const ingress = createIngress(
    ports,
    { forward } as CallForwarder,
    {} as StreamForwarder,
    config,
    {
      freshness: () => ({ serveMaxAgeMs: 1_000, denyMaxAgeMs: 1_000 }),
    },
  );
  return { ingress, ends, counted };
}

/** Sends a request and reads nothing of its response until `read` is called. */
async function callWithoutReading(port: number) {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    request({ host: '127.0.0.1', port, agent: false }, resolve).once('error', reject).end();
  });
  return {
    status: response.statusCode,
    read: async () => {
      let sizeBytes = 0;
      for await (const chunk of response) sizeBytes += (chunk as Buffer).length;
      return sizeBytes;
    },
  };
}

describe('a router that cuts off its running requests', () => {
  it('neither ends nor counts a call again whose answer is still being read', async () => {
    const body = Buffer.alloc(16_000_000);
    const { ingress, ends, counted } = createCallIngress(() => ({
      result: Promise.resolve({
        kind: 'ok',
        status: 200,
        isReplay: false,
        body: { head: { status: 200, fields: toFields({}), framing: 'length' as const }, body },
      }),
      servers: () => [],
      abandon: () => undefined,
    }));
    const port = await ingress.shell.listen('127.0.0.1', 0);
    const answer = await callWithoutReading(port);
    expect(ingress.activeCount()).toBe(1);
    ingress.cutAll();
    expect(await answer.read()).toBe(body.length);
    await ingress.shell.close();
    expect([ends, counted]).toEqual([['complete'], ['complete']]);
  });

  it('logs and counts a call once that ends because it is cut off', async () => {
    let abandon = (): void => undefined;
    const result = new Promise<Awaited<RunningCall['result']>>((resolve) => {
      const error = createServeError('backend_failed', 'abandoned', 'unknown');
      abandon = () => resolve({ kind: 'error', error });
    });
    const { ingress, ends, counted } = createCallIngress(() => ({
      result,
      servers: () => [],
      abandon: () => abandon(),
    }));
    const port = await ingress.shell.listen('127.0.0.1', 0);
    const answer = callWithoutReading(port);
    while (ingress.activeCount() === 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    ingress.cutAll();
    const { status, read } = await answer;
    await read();
    await ingress.shell.close();
    expect([status, ends, counted]).toEqual([502, ['cut'], ['cut']]);
  });
});
