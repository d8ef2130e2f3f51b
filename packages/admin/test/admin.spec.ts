import { spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { sha256Hex } from '@mimosamill/adapters';
import { startAdminFixture, FLEET_KEY } from './admin-fixture';
import type { AdminFixture } from './admin-fixture';

/** Needs the build of mimosactl, which has to run before the tests. */
const MIMOSACTL = join(import.meta.dirname, '../../../dist/mimosactl.mjs');
const TEAM_KEY = 'team-key';
const VIEWER_KEY = 'viewer-key';

const SETUP = [
  {
    kind: 'put_team',
    team: {
      id: 'guides',
      admins: [
        { name: 'bo', keyHash: sha256Hex(TEAM_KEY), role: 'team' },
        { name: 'vi', keyHash: sha256Hex(VIEWER_KEY), role: 'viewer' },
      ],
    },
  },
  {
    kind: 'put_service',
    service: {
      kind: 'engine',
      name: 'bench-guide',
      team: 'guides',
      model: 'guide',
      adapters: [],
      stableVersion: 'v1',
      fencing: 'enforced',
    },
  },
  {
    kind: 'put_customer',
    customer: {
      id: 'workshop',
      team: 'guides',
      keyHashes: [sha256Hex('workshop')],
      weight: 1,
      services: ['bench-guide'],
    },
  },
];

const EXCEPTION = {
  kind: 'put_exception',
  exception: {
    id: 'workshop-tokens',
    scope: { customer: 'workshop' },
    setting: 'tokensPerSec',
    value: 40_000,
    reason: 'exhibition week',
  },
};

function setRequestRate(value: number): unknown {
  return { kind: 'set_defaults', defaults: { requestsPerSec: value } };
}

describe('administration', () => {
  let fixture: AdminFixture;
  let dir: string;

  beforeEach(async () => {
    fixture = await startAdminFixture();
    dir = mkdtempSync(join(tmpdir(), 'mimosamill-admin-'));
  });

  afterEach(async () => {
    await fixture.close();
    rmSync(dir, { recursive: true, force: true });
  });

  function writeChangesFile(changes: unknown): string {
    const file = join(dir, 'changes.json');
    writeFileSync(file, JSON.stringify(changes));
    return file;
  }

  function createBody(
    operationId: string,
    baseRevision: number,
    changes: readonly unknown[],
  ): object {
    return { operationId, baseRevision, why: 'test', changes };
  }

  // Guards against unintended changes of the output that operators and their scripts read.
  it('serves a whole session of an operator', async () => {
    const session: string[] = [];
    const step = async (
      title: string,
      key: string,
      command: Parameters<AdminFixture['runCommand']>[1],
    ): Promise<void> => {
      session.push(`$ ${title}`, await fixture.runCommand(key, command), '');
    };
    const why = { why: 'opening', operationId: 'op-1' };
    await step('apply setup --dry-run', FLEET_KEY, (c) =>
      c.apply(writeChangesFile(SETUP), { ...why, dryRun: true }),
    );
    await step('apply setup', FLEET_KEY, (c) => c.apply(writeChangesFile(SETUP), why));
    await step('apply setup again', FLEET_KEY, (c) => c.apply(writeChangesFile(SETUP), why));
    await step('apply exception', TEAM_KEY, (c) =>
      c.apply(writeChangesFile([EXCEPTION]), { why: 'more room', operationId: 'op-2' }),
    );
    await step('apply defaults as a team', TEAM_KEY, (c) =>
      c.apply(writeChangesFile([setRequestRate(9)]), { why: 'mine', operationId: 'op-3' }),
    );
    await step('apply defaults on an old base', FLEET_KEY, (c) =>
      c.apply(writeChangesFile([setRequestRate(9)]), { why: 'late', operationId: 'op-4', base: 2 }),
    );
    await step('effective', TEAM_KEY, (c) => c.effective({ customer: 'workshop' }));
    await step('undo 3', TEAM_KEY, (c) => c.undo('3', { why: 'over', operationId: 'op-5' }));
    await step('undo 3 again', TEAM_KEY, (c) => c.undo('3', { why: 'over', operationId: 'op-6' }));
    await step('diff 2 3', VIEWER_KEY, (c) => c.diff('2', '3', {}));
    await step('history', VIEWER_KEY, (c) => c.history({ limit: 3 }));
    await step('list services', VIEWER_KEY, (c) => c.list('services', {}));
    await step('show customer', VIEWER_KEY, (c) => c.show('customers', 'workshop', {}));
    await step('status', VIEWER_KEY, (c) => c.status({}));
    const order = { by: '30m', reason: 'better answers', operationId: 'op-7' };
    await step('impossible move', FLEET_KEY, (c) =>
      c.orderMove('bench-guide', 'missing', { ...order, operationId: 'op-9' }),
    );
    await step('move order', TEAM_KEY, (c) => c.orderMove('bench-guide', 'v2', order));
    await step('move order again', TEAM_KEY, (c) => c.orderMove('bench-guide', 'v2', order));
    await step('second move', TEAM_KEY, (c) =>
      c.orderMove('bench-guide', 'v3', { ...order, operationId: 'op-8' }),
    );
    await step('move cancel', TEAM_KEY, (c) => c.cancelMove('m-op-7', { reason: 'wrong version' }));
    await step('move watch', VIEWER_KEY, (c) => c.watchMove('m-op-7', {}));
    await step('move list', VIEWER_KEY, (c) => c.listMoves({}));
    expect(session.join('\n')).toMatchSnapshot();
  });

  // Guards against calls that are answered without a valid key or role, and against refused calls
  // that the metrics do not show.
  it('refuses calls without the right key or role and counts them', async () => {
    const anonymous = await fetch(`http://${fixture.address}/v1/export`);
    expect(anonymous.status).toBe(401);
    await fixture.clientFor(FLEET_KEY).post('/v1/revisions', createBody('op-1', 1, SETUP));
    const codes = await Promise.all(
      [
        fixture.clientFor('wrong').get('/v1/export'),
        fixture.clientFor(TEAM_KEY).get('/v1/export'),
        fixture.clientFor(VIEWER_KEY).post('/v1/revisions', createBody('op-2', 2, [EXCEPTION])),
        fixture
          .clientFor(TEAM_KEY)
          .post('/v1/revisions', createBody('op-3', 2, [setRequestRate(1)])),
        fixture.clientFor(FLEET_KEY).get('/v1/export'),
      ].map(async (call) => {
        const answer = await call;
        return answer.kind === 'ok' ? 'ok' : answer.code;
      }),
    );
    expect(codes).toEqual(['unauthorized', 'forbidden', 'forbidden', 'forbidden', 'ok']);
    const denials = await fixture.metrics.registry
      .getSingleMetric('mimosamill_admin_denials_total')
      ?.get();
    const total = denials?.values.reduce((sum, { value }) => sum + value, 0);
    expect(total).toBe(5);
  });

  // Guards against a caller without a valid key who overloads the platform's tables: each unknown
  // key could be new in the configuration, so it would cause a read.
  it('reads the store at most once a second for unknown keys', async () => {
    await fixture.clientFor(FLEET_KEY).get('/v1/export');
    const before = fixture.tableReads();
    const startMs = performance.now();
    for (let call = 0; call < 50; call += 1) await fixture.clientFor('wrong').get('/v1/export');
    const seconds = Math.ceil((performance.now() - startMs) / 1_000);
    expect(fixture.tableReads() - before).toBeLessThanOrEqual(seconds + 1);
  });

  // Guards against two changes of the same revision that are both accepted, of which the second
  // would overwrite the first.
  it('accepts exactly one of two operators who read the same revision', async () => {
    const client = fixture.clientFor(FLEET_KEY);
    const answers = await Promise.all(
      [1, 2].map((value) =>
        client.post('/v1/revisions', createBody(`op-${value}`, 1, [setRequestRate(value)])),
      ),
    );
    expect(answers.map(({ kind }) => kind).sort()).toEqual(['error', 'ok']);
    const refused = answers.find(({ kind }) => kind === 'error');
    expect(refused).toMatchObject({
      code: 'conflict',
      details: { yours: [{ kind: 'set_defaults' }], theirs: [{ revision: 2 }] },
    });
  });

  // Guards against a change or move that is reported as failed, or stored twice, after the store
  // applied its commit and the answer was lost.
  it('finds an accepted change and an accepted move whose answers were lost', async () => {
    const client = fixture.clientFor(FLEET_KEY);
    fixture.setFaults({ lostAnswerRatio: 1 });
    const applied = await client.post('/v1/revisions', createBody('op-1', 1, SETUP));
    expect(applied).toMatchObject({ value: { revision: 2, wasLookedUp: true } });
    const order = {
      operationId: 'op-2',
      service: 'bench-guide',
      toVersion: 'v2',
      byMs: Date.UTC(2026, 11, 5),
      reason: 'test',
    };
    const moved = await client.post('/v1/moves', order);
    expect(moved).toMatchObject({ value: { move: { id: 'm-op-2', state: 'running' } } });
    const moves = await fixture.tables.scan('moves/', '', 10);
    expect(moves.kind === 'ok' && moves.rows.length).toBe(1);
  });

  // Guards against a store outage that is reported as an accepted change or as a missing entry.
  it('answers reads and refuses changes while the store is down', async () => {
    const client = fixture.clientFor(FLEET_KEY);
    await client.post('/v1/revisions', createBody('op-1', 1, SETUP));
    fixture.setFaults({ isDown: true });
    expect((await client.get('/v1/config/services/bench-guide')).kind).toBe('ok');
    const refused = await client.post('/v1/revisions', createBody('op-2', 2, [setRequestRate(1)]));
    expect(refused).toMatchObject({ code: 'store_unavailable' });
    fixture.setFaults({});
    const retried = await client.post('/v1/revisions', createBody('op-2', 2, [setRequestRate(1)]));
    expect(retried).toMatchObject({ value: { revision: 3 } });
  });

  // Guards against a restart with a different key in the settings that adds an administrator to an
  // existing configuration.
  it('creates the first administrator only once', async () => {
    expect(await fixture.createFirstAdministrator('another-key')).toBe('not_needed');
    expect(await fixture.clientFor('another-key').get('/v1/export')).toMatchObject({
      code: 'unauthorized',
    });
  });

  // Guards against lists that lose or repeat entries between pages, and against requests that are
  // processed without a check of their fields.
  it('pages lists and refuses malformed requests', async () => {
    const client = fixture.clientFor(FLEET_KEY);
    const teams = ['a', 'b', 'c', 'd'].map((id) => ({
      kind: 'put_team',
      team: { id, admins: [] },
    }));
    await client.post('/v1/revisions', createBody('op-1', 1, teams));
    const first = await client.get('/v1/config/teams', { limit: 3 });
    expect(first).toMatchObject({
      value: { items: [{ id: 'a' }, { id: 'b' }, { id: 'c' }], next: 'c' },
    });
    const second = await client.get('/v1/config/teams', { limit: 3, after: 'c' });
    expect(second).toMatchObject({
      value: { items: [{ id: 'd' }, { id: 'operators' }], next: null },
    });
    const noReason = {
      operationId: 'op-2',
      baseRevision: 2,
      why: ' ',
      changes: [setRequestRate(1)],
    };
    expect(await client.post('/v1/revisions', noReason)).toMatchObject({ code: 'bad_request' });
    const wrong = await client.post(
      '/v1/revisions',
      createBody('op-3', 2, [{ kind: 'set_defaults' }]),
    );
    expect(wrong).toMatchObject({
      code: 'invalid_change',
      details: { problems: [{ path: 'changes.0.defaults', message: 'is required' }] },
    });
    expect(await client.get('/v1/config/nothing')).toMatchObject({ code: 'not_found' });
  });

  // Guards against exit codes by which scripts cannot tell wrong arguments from a refused change.
  it('has help, version and exit codes on its command line', () => {
    const run = (...args: string[]): { status: number | null; text: string } => {
      const env = { ...process.env, MIMOSACTL_KEY: '' };
      const { status, stdout, stderr } = spawnSync(process.execPath, [MIMOSACTL, ...args], { env });
      return { status, text: `${stdout.toString()}${stderr.toString()}` };
    };
    expect(run('--version')).toMatchObject({ status: 0, text: expect.stringContaining('0.1.0') });
    expect(run('move', 'order', '--help')).toMatchObject({
      status: 0,
      text: expect.stringContaining('--by <time>'),
    });
    expect(run('move', 'watch').status).toBe(2);
    expect(run('nothing').status).toBe(2);
    expect(run('status')).toMatchObject({ status: 2, text: expect.stringContaining('no key') });
  });

  // Guards against an argument parser that drops "-", so that piped changes are ignored.
  it('applies changes from standard input', async () => {
    const child = spawn(
      process.execPath,
      [MIMOSACTL, 'apply', '-', '--why', 'pipe', '--server', fixture.address],
      { env: { ...process.env, MIMOSACTL_KEY: FLEET_KEY }, stdio: ['pipe', 'pipe', 'inherit'] },
    );
    child.stdin.end(JSON.stringify(SETUP));
    const printed: string[] = [];
    child.stdout.on('data', (chunk: Buffer) => printed.push(chunk.toString()));
    const [code] = (await once(child, 'close')) as [number];
    expect(code).toBe(0);
    expect(printed.join('')).toContain('accepted: revision 2');
  });

  // Guards against an OpenAPI description that misses a route or the kinds of changes.
  it('describes itself in OpenAPI', async () => {
    const answer = await fetch(`http://${fixture.address}/openapi.json`);
    const description = (await answer.json()) as { paths: Record<string, object> };
    const routes = Object.entries(description.paths).flatMap(([path, methods]) =>
      Object.keys(methods).map((method) => `${method} ${path}`),
    );
    expect(routes.sort()).toMatchSnapshot();
    expect(JSON.stringify(description)).toContain('put_exception');
  });
});
