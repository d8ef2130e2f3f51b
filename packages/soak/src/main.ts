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

/** The seeds of a run: one to play again, or the regressions and fresh ones. */
function* seedsToRun(options: SoakArguments): Generator<number> {
  if (options.seed !== undefined) {
    yield options.seed;
    return;
  }
  yield* REGRESSION_SEEDS.map(({ seed }) => seed);
  const endMs = options.minutes === undefined ? undefined : Date.now() + options.minutes * 60_000;
  const first = Date.now() % 1_000_000;
  for (let no = 0; endMs === undefined ? no < (options.seeds ?? 5) : Date.now() < endMs; no += 1) {
    yield first + no;
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
  const sum = (of: (result: SoakResult) => number): number =>
    results.reduce((total, result) => total + of(result), 0);
  return {
    seeds: results.length,
    faults_by_kind: faultsByKind,
    requests: sum(({ requests }) => requests),
    served: sum(({ served }) => served),
    streams_resumed: sum(({ streamsResumed }) => streamsResumed),
    promises_checked: PROMISES,
    violations: sum(({ violations }) => violations.length),
  };
}

const cli = cac('soak');
cli
  .command('', 'Play random faults on real routers and check what callers and servers see')
  .option('--seeds <count>', 'Fresh seeds to play', { default: 5 })
  .option('--seed <seed>', 'Play this seed only')
  .option('--minutes <minutes>', 'Play fresh seeds for this time')
  .option('--seconds <seconds>', 'Time of faults in each seed', { default: 8 })
  .option('--routers <count>', 'Routers', { default: 3 })
  .option('--callers <count>', 'Callers', { default: 9 })
  .action((options: SoakArguments) => run(options));
cli.help();
cli.parse();
