import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

const CLI = join(import.meta.dirname, '../../../dist/mimosactl.mjs');

function runCli(args: readonly string[], input: string): { status: number | null; stderr: string } {
  const env = { ...process.env, MIMOSACTL_KEY: 'key', MIMOSACTL_SERVER: '127.0.0.1:1' };
  return spawnSync(process.execPath, [CLI, ...args], { env, input, encoding: 'utf8' });
}

describe('mimosactl', () => {
  // Guards against an argument parser that drops "-", so that "apply -" becomes a usage error.
  it('reads changes from standard input', () => {
    const broken = runCli(['apply', '-', '--why', 'test'], '[{');
    expect(broken.stderr).toContain('expected JSON with comments, but it does not parse');
    const sent = runCli(['apply', '-', '--why', 'test'], '[]');
    expect(sent.stderr).toContain('ECONNREFUSED');
  });

  // Guards against exit code 0 for a mistyped command, which scripts would take for success.
  it('exits with the usage error code for an unknown command', () => {
    expect(runCli(['aply'], '').status).toBe(2);
  });
});
