// Builds the programs, runs the tests and then, on their own, those that load a whole process, and
// compares the failures with KNOWN-RED.txt. A failure of a test that is listed there is only printed.
// Any other failure, a skipped test, or a listed test that passes fails the run.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const KNOWN_RED_FILE = join(root, 'KNOWN-RED.txt');
/** One run after the other: the tests of the second need the machine for themselves. */
const CONFIG_FILES = ['vitest.config.ts', 'vitest.hostile.config.ts'];

/** Returns the names of the tests listed in KNOWN-RED.txt, one after each `test: `. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

function runBuild() {
  const { status } = spawnSync('node', ['scripts/build.mjs'], { cwd: root, stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
}

function runTests(configFile) {
  const dir = mkdtempSync(join(tmpdir(), 'mimosamill-test-'));
  const file = join(dir, 'result.json');
  const args = ['node_modules/vitest/vitest.mjs', 'run', '--reporter=default', '--reporter=json'];
  args.push('--config', configFile);
  const forwardedArgs = process.argv.slice(2);
  // A filter may name files of one run only.
  if (forwardedArgs.length > 0) args.push('--passWithNoTests');
  const run = spawnSync('node', [...args, `--outputFile.json=${file}`, ...forwardedArgs], {
    cwd: root,
    stdio: ['ignore', 'inherit', 'inherit'],
    env: { ...process.env, CI: 'true' },
  });
  const result = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : undefined;
  rmSync(dir, { recursive: true, force: true });
  return result && { ...result, exitStatus: run.status };
}

runBuild();
const results = CONFIG_FILES.map(runTests);
if (results.includes(undefined)) {
  console.error('vitest wrote no result file; see its output above');
  process.exit(1);
}
const testFiles = results.flatMap(({ testResults }) => testResults);

const knownRed = readKnownRed();
const tests = testFiles.flatMap((file) => file.assertionResults);
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
const passed = tests.filter((test) => test.status === 'passed').map((test) => test.fullName);
const skipped = tests.length - failed.length - passed.length;
const unexpected = failed.filter((name) => !knownRed.includes(name));
const recovered = knownRed.filter((name) => passed.includes(name));
const failedFiles = testFiles.filter(
  (file) => file.status === 'failed' && file.assertionResults.every((t) => t.status !== 'failed'),
);

for (const name of failed.filter((n) => knownRed.includes(n))) console.log(`known red: ${name}`);
for (const name of unexpected) console.error(`failed: ${name}`);
for (const name of recovered) console.error(`listed in KNOWN-RED.txt but passes: ${name}`);
for (const file of failedFiles) console.error(`could not run: ${file.name}: ${file.message}`);
// vitest also exits with an error after an error outside any test, such as an unhandled rejection.
const hasErrorOutsideTests = results.some(
  ({ exitStatus, testResults }) =>
    exitStatus !== 0 && testResults.every(({ status }) => status !== 'failed'),
);
if (hasErrorOutsideTests) console.error('failed: an error outside any test');
console.log(
  `${passed.length} passed, ${unexpected.length + failedFiles.length + (hasErrorOutsideTests ? 1 : 0)} failed`,
);

const isSuccess =
  unexpected.length === 0 &&
  recovered.length === 0 &&
  !hasErrorOutsideTests &&
  failedFiles.length === 0 &&
  skipped === 0 &&
  passed.length > 0;
process.exit(isSuccess ? 0 : 1);
