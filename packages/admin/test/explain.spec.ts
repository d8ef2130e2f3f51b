import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

/** Needs the build of mimosactl, which has to run before the tests. */
const MIMOSACTL = join(import.meta.dirname, '../../../dist/mimosactl.mjs');

const logLine = (second: number, host: string, event: string, fields: object): string =>
  JSON.stringify({ time: `2026-03-05T02:44:${second}.000Z`, host, event, ...fields });

const LINES = [
  logLine(10, 'host-1', 'store.lost', { table: 'operator', age_ms: 900 }),
  logLine(11, 'host-2', 'store.lost', { table: 'operator', age_ms: 800 }),
  logLine(12, 'host-1', 'stream.place', { request: 'r1', engine: 'e1', copy_at: 'e2' }),
  'not a log line of a router',
  `12.1 host-1 ${logLine(13, 'host-1', 'stream.move', { request: 'r1', cause: 'silent', engine: 'e2' })}`,
  logLine(14, 'host-1', 'stream.end', {
    request: 'r1',
    outcome: 'failed',
    took_ms: 2_000,
    reason: 'lost: reset',
    run: 'unknown',
  }),
  logLine(15, 'host-1', 'request.refused', {
    request: 'r2',
    code: 'unauthorized',
    reason: 'the key is not known',
  }),
];

describe('mimosactl explain', () => {
  let directory = '';

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'mimosamill-explain-'));
    writeFileSync(join(directory, 'log'), LINES.join('\n'));
  });

  afterEach(() => {
    rmSync(directory, { recursive: true, force: true });
  });

  function explain(args: readonly string[], input = ''): { status: number | null; stdout: string } {
    const run = spawnSync('node', [MIMOSACTL, 'explain', ...args], { input, encoding: 'utf8' });
    return { status: run.status, stdout: run.stdout };
  }

  it('explains a request with the events of its router, and omits those of other routers', () => {
    // Guards against an explanation without its cause, here the lost store of the same router, and
    // against one that blames events of another router.
    const { status, stdout } = explain(['r1', join(directory, 'log')]);
    expect(status).toBe(0);
    expect(stdout).toMatchSnapshot();
  });

  it('reads standard input, and needs no key', () => {
    // Guards against a command that only operators with a key can use on logs they already have.
    const { status, stdout } = explain(['r2'], LINES.join('\n'));
    expect(status).toBe(0);
    expect(stdout).toContain('=> refused by host-1 (unauthorized): the key is not known; not run');
  });

  it('fails for a request that no log line names, and for a file that cannot be read', () => {
    // Guards against scripts that take an empty explanation for a found request.
    expect(explain(['r9', join(directory, 'log')]).status).toBe(1);
    expect(explain(['r1', join(directory, 'none')]).status).toBe(2);
  });
});
