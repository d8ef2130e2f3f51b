import { cac } from 'cac';
import * as z from 'zod';
import { createSystemClock, runProgram } from '@mimosamill/adapters';
import { createRandom } from '../random';
import { createHostListModel, createTableStoreModel, createWeightStoreModel } from './model';
import { createPlatformServer } from './server';
import type { ProgramOptions, RunningProgram } from '@mimosamill/adapters';

const settingsSchema = z.strictObject({
  ip: z.string(),
  port: z.number(),
  seed: z.number().default(1),
  hostListLagMs: z.number().default(2_000),
  weightsBytesPerSec: z.number().default(1e9),
  weightsSizeBytes: z.number().default(1e9),
});

async function start(settings: z.infer<typeof settingsSchema>): Promise<RunningProgram> {
  const server = createPlatformServer({
    tables: createTableStoreModel(),
    hosts: createHostListModel(settings.hostListLagMs),
    weights: createWeightStoreModel(settings.weightsBytesPerSec, settings.weightsSizeBytes),
    weightsBytesPerSec: settings.weightsBytesPerSec,
    clock: createSystemClock(),
    random: createRandom(settings.seed),
  });
  await server.listen(settings.ip, settings.port);
  process.stdout.write('ready\n');
  return { stop: server.close };
}

const cli = cac('fake-platform');
cli
  .command('', 'Serve the stand-in of the platform')
  .option('--config <file>', 'Settings file')
  .option('--check-config', 'Check the settings and exit')
  .action((options: ProgramOptions) => runProgram(options, settingsSchema, start));
cli.help();
cli.parse();
