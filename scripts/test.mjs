// Builds the binaries, runs the tests and compares the failures with KNOWN-RED.txt.
// A listed test may fail, and is printed; any other failure, or a listed test that passes, fails the run.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const KNOWN_RED = join(root, 'KNOWN-RED.txt');

/** Reads the names after `test:` in KNOWN-RED.txt. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return [];
  return readFileSync(KNOWN_RED, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

function runBuild() {
  const { status } = spawnSync('node', ['scripts/build.mjs'], { cwd: root, stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
}

function runTests() {
  const dir = mkdtempSync(join(tmpdir(), 'mimosamill-test-'));
  const file = join(dir, 'result.json');
  const args = ['node_modules/vitest/vitest.mjs', 'run', '--reporter=default', '--reporter=json'];
  const extra = process.argv.slice(2);
  const run = spawnSync('node', [...args, `--outputFile.json=${file}`, ...extra], {
    cwd: root,
    stdio: ['ignore', 'inherit', 'inherit'],
    env: { ...process.env, CI: 'true' },
  });
  const result = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : undefined;
  rmSync(dir, { recursive: true, force: true });
  return result && { ...result, exitStatus: run.status };
}

runBuild();
const result = runTests();
if (result === undefined) {
  console.error('the test runner wrote no result');
  process.exit(1);
}

const known = readKnownRed();
const tests = result.testResults.flatMap((file) => file.assertionResults);
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
const passed = tests.filter((test) => test.status === 'passed').map((test) => test.fullName);
const skipped = tests.length - failed.length - passed.length;
const unexpected = failed.filter((name) => !known.includes(name));
const recovered = known.filter((name) => passed.includes(name));
const brokenFiles = result.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.every((t) => t.status !== 'failed'),
);

for (const name of failed.filter((n) => known.includes(n))) console.log(`known red: ${name}`);
for (const name of unexpected) console.error(`failed: ${name}`);
for (const name of recovered) console.error(`listed in KNOWN-RED.txt but passes: ${name}`);
for (const file of brokenFiles) console.error(`could not run: ${file.name}: ${file.message}`);
// The runner also fails on errors outside any test, such as an unhandled rejection.
const hasStrayError = result.exitStatus !== 0 && failed.length + brokenFiles.length === 0;
if (hasStrayError) console.error('failed: an error outside any test');
console.log(
  `${passed.length} passed, ${unexpected.length + brokenFiles.length + (hasStrayError ? 1 : 0)} failed`,
);

const isGood =
  unexpected.length === 0 &&
  recovered.length === 0 &&
  !hasStrayError &&
  brokenFiles.length === 0 &&
  skipped === 0 &&
  passed.length > 0;
process.exit(isGood ? 0 : 1);
