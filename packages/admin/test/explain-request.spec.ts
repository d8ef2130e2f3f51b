import { createServer } from 'node:http';
import { describe, expect, it } from 'vitest';
import { explainRequest } from '../src/cli/explain-request';
import type { AddressInfo } from 'node:net';
import type { ExplainRequestOptions } from '../src/cli/explain-request';

const ANSWER = {
  host: 'h1',
  draw: 0.5,
  configuration: { revision: 7, ageMs: 100 },
  serverListAgeMs: 200,
  route: { name: 'chat', kind: 'stream' },
  service: 'guide',
  admission: { level: 1, levels: 2, sendRatio: 0.4, waitRatio: 0.6, refuseRatio: 0 },
  placement: {
    chosenId: 'e1',
    isProbe: false,
    randomMaxMs: 30,
    candidates: [
      {
        serverId: 'e1',
        failureDomain: 'd1',
        version: 'v1',
        costMs: 110.4,
        parts: { streams: 60, rank: 50.4 },
        expectedFirstEventMs: 160,
        loadReportAgeMs: 20,
      },
    ],
    candidateCount: 1,
    excluded: [{ serverId: 'e3', reasons: ['leaving', 'paused'] }],
    excludedCount: 1,
    copyCandidates: [{ serverId: 'e2', costMs: 15, isInSpread: true }],
    copyCandidateCount: 1,
  },
  notChecked: ['key'],
};
const REFUSED = {
  ...ANSWER,
  admission: undefined,
  placement: undefined,
  refusal: {
    check: 'no_server_listed',
    message: 'no server of the service is listed',
    retryAfterMs: { min: 500, max: 500 },
  },
};

/** Runs the command against a router that gives this answer. */
async function run(status: number, answer: unknown, options: ExplainRequestOptions = {}) {
  const urls: string[] = [];
  const router = createServer((req, res) => {
    urls.push(req.url ?? '');
    res.writeHead(status).end(JSON.stringify(answer));
  });
  await new Promise<void>((resolve) => {
    router.listen(0, '127.0.0.1', resolve);
  });
  const lines: string[] = [];
  const exitCode = await explainRequest(
    'a.test',
    '/chat',
    { ...options, router: `127.0.0.1:${(router.address() as AddressInfo).port}` },
    { print: (text) => lines.push(text), printError: (text) => lines.push(`error: ${text}`) },
  );
  router.close();
  return { exitCode, urls, output: lines.join('\n').replaceAll(/127\.0\.0\.1:\d+/g, 'ROUTER') };
}

describe('mimosactl explain-request', () => {
  it('prints the decision, the candidates and the excluded servers', async () => {
    // Guards against a table without the reason why a request goes to its server.
    const options = { promptTokens: 400, customer: 7 };
    expect(await run(200, ANSWER, options)).toMatchSnapshot();
    expect(await run(200, REFUSED)).toMatchSnapshot();
  });

  it('prints the whole answer as JSON', async () => {
    // Guards against scripts that have to read the table.
    const { output } = await run(200, ANSWER, { json: true });
    expect(JSON.parse(output)).toEqual(ANSWER);
  });

  it('passes on what is wrong with a query', async () => {
    // Guards against scripts that take a refused query for an explanation.
    const { exitCode, output } = await run(400, { error: { message: 'draw: too large' } });
    expect([exitCode, output]).toEqual([2, expect.stringContaining('draw: too large')]);
  });
});
