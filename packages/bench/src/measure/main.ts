import { cac } from 'cac';
import { exitOnSignals } from '../fleet/process';
import { MEASUREMENTS } from './registry';

const DEFAULT_SEED = 20261204;

function list(): void {
  MEASUREMENTS.forEach(({ name, summary }) => console.log(`${name.padEnd(12)} ${summary}`));
}

async function run(name: string, seed: number, isFull: boolean): Promise<number> {
  const measurement = MEASUREMENTS.find((candidate) => candidate.name === name);
  if (measurement === undefined) {
    console.error(`unknown measurement "${name}"; run without a name to list them`);
    return 2;
  }
  exitOnSignals();
  const figures = await measurement.run({ seed, isFull });
  console.log(JSON.stringify({ measurement: name, seed, full: isFull, ...figures }));
  return 0;
}

const cli = cac('measure');
cli
  .command('[name]', 'Run a measurement, or list them')
  .option('--seed <number>', 'Seed of the random numbers', { default: DEFAULT_SEED })
  .option('--full', 'Run longer')
  .action(async (name: string | undefined, options: { seed: number; full?: boolean }) => {
    if (name === undefined) {
      list();
      return;
    }
    process.exitCode = await run(name, Number(options.seed), options.full === true);
    // A measurement may leave keep-alive sockets open.
    process.exit();
  });
cli.help();
cli.parse();
