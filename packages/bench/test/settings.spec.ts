import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const EXIT_USAGE = 2;

interface CheckResult {
  readonly status: number | null;
  readonly stdout: string;
  readonly stderr: string;
  readonly file: string;
}

/** Runs a built binary with --check-config on a settings file with the given text. */
function check(binary: string, text: string): CheckResult {
  const folder = mkdtempSync(join(tmpdir(), 'mimosamill-'));
  const file = join(folder, 'settings.jsonc');
  writeFileSync(file, text);
  const args = [join(ROOT, `dist/${binary}.mjs`), '--config', file, '--check-config'];
  const { status, stdout, stderr } = spawnSync(process.execPath, args, { encoding: 'utf8' });
  rmSync(folder, { recursive: true, force: true });
  return { status, stdout, stderr, file };
}

function lineOf(text: string, part: string): number {
  return text.slice(0, text.indexOf(part)).split('\n').length;
}

describe.each(['router', 'admin', 'controller'])('settings of the %s binary', (binary) => {
  const path = join(ROOT, `packages/${binary}/${binary}.example.jsonc`);
  const example = readFileSync(path, 'utf8');

  // Guards against an example file that the binary no longer accepts.
  it('accept the example', () => {
    const result = check(binary, example);
    expect(result).toMatchObject({ status: 0, stdout: `${result.file}: ok\n`, stderr: '' });
  });

  // Guards against a misspelt key that is silently ignored.
  it('report a wrong key with file, line, key and what was expected', () => {
    const text = example.replace('"logLevel"', '"logLevle"');
    const { status, stderr, file } = check(binary, text);
    expect(status).toBe(EXIT_USAGE);
    const line = lineOf(text, '"logLevle"');
    expect(stderr).toMatch(new RegExp(`^${file}:${line}: logLevle: .*expected a known key`, 'u'));
  });

  // Guards against a message that does not name the missing key.
  it('report a missing key with file, line, key and what was expected', () => {
    const text = example.replace(/^ *"platform":.*$/mu, '');
    const { status, stderr, file } = check(binary, text);
    expect(status).toBe(EXIT_USAGE);
    const line = lineOf(text, '{\n');
    expect(stderr).toMatch(new RegExp(`^${file}:${line}: platform: .*expected string`, 'u'));
  });

  // Guards against a message that names the wrong line.
  it('report a wrong type with file, line, key and what was expected', () => {
    const text = example.replace(/"port": \d+/u, '"port": "high"');
    const { status, stderr, file } = check(binary, text);
    expect(status).toBe(EXIT_USAGE);
    const line = lineOf(text, '"port"');
    expect(stderr).toMatch(new RegExp(`^${file}:${line}: port: .*expected number`, 'u'));
  });
});
