import { mkdirSync } from 'node:fs';
import { cac } from 'cac';
import { REGRESSION_SEEDS } from './regression-seeds';
import { runSeed } from './soak';
import type { SoakResult } from './soak';

interface SoakArguments {
  readonly seeds?: number;
  readonly seed?: number;
  readonly minutes?: number;
  readonly routers: number;
  readonly callers: number;
  readonly seconds: number;
}

const LOG_DIRECTORY = 'dist/soak';
const PROMISES = [
  'at most once',
  'a refusal is true',
  'removed keys are not served',
  'own and whole answers',
  'no event missing or repeated',
  'a short stream is not complete',
  'recovery',
  'a version move ends once, and not with a bad version',
];

/** Yields the seed of `--seed` only, or the regression seeds and then new ones. */
function* seedsToRun(options: SoakArguments): Generator<number> {
  if (options.seed !== undefined) {
    yield options.seed;
    return;
  }
  yield* REGRESSION_SEEDS.map(({ seed }) => seed);
  const endMs = options.minutes === undefined ? undefined : Date.now() + options.minutes * 60_000;
  const first = Date.now() % 1_000_000;
  for (let i = 0; endMs === undefined ? i < (options.seeds ?? 5) : Date.now() < endMs; i += 1) {
    yield first + i;
  }
}

async function run(options: SoakArguments): Promise<void> {
  mkdirSync(LOG_DIRECTORY, { recursive: true });
  const results: SoakResult[] = [];
  for (const seed of seedsToRun(options)) {
    const result = await runSeed({
      seed,
      faultDurationMs: options.seconds * 1_000,
      routerCount: options.routers,
      callerCount: options.callers,
      logDirectory: LOG_DIRECTORY,
    });
    results.push(result);
    const { requests, served, violations } = result;
    console.log(
      `seed ${seed}: ${requests} requests, ${served} served, ${violations.length} broken`,
    );
    violations.forEach((violation) => console.log(`  ${JSON.stringify(violation)}`));
  }
  console.log(JSON.stringify(summarise(results)));
  if (results.some(({ violations }) => violations.length > 0)) process.exitCode = 1;
}

function summarise(results: readonly SoakResult[]) {
  const faultsByKind: Record<string, number> = {};
  results.forEach((result) =>
    Object.entries(result.faultsByKind).forEach(([kind, count]) => {
      faultsByKind[kind] = (faultsByKind[kind] ?? 0) + count;
    }),
  );
  const sumOf = (field: (result: SoakResult) => number): number =>
    results.reduce((total, result) => total + field(result), 0);
  return {
    seeds: results.length,
    faults_by_kind: faultsByKind,
    requests: sumOf(({ requests }) => requests),
    served: sumOf(({ served }) => served),
    streams_resumed: sumOf(({ streamsResumed }) => streamsResumed),
    promises_checked: PROMISES,
    violations: sumOf(({ violations }) => violations.length),
  };
}

const cli = cac('soak');
cli
  .command('', 'Inject random faults into router processes and check what callers and servers see')
  .option('--seeds <count>', 'Number of new seeds to run', { default: 5 })
  .option('--seed <seed>', 'Run this seed only')
  .option('--minutes <minutes>', 'Run new seeds for this time, instead of --seeds')
  .option('--seconds <seconds>', 'Duration of faults for each seed, in seconds', { default: 8 })
  .option('--routers <count>', 'Number of routers', { default: 3 })
  .option('--callers <count>', 'Number of callers', { default: 9 })
  .action((options: SoakArguments) => run(options));
cli.help();
cli.parse();
