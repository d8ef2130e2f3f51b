import { cac } from 'cac';
import * as z from 'zod';
import { createSystemClock, runProgram } from '@mimosamill/adapters';
import { createRandom } from '../random';
import { createServiceModel } from './model';
import { createServiceServer } from './server';
import type { ProgramOptions, RunningProgram } from '@mimosamill/adapters';

const DRAIN_TIMEOUT_MS = 30_000;

const settingsSchema = z.strictObject({
  ip: z.string(),
  port: z.number(),
  seed: z.number().default(1),
  /** Time between the announcement that the server leaves and the start of its drain. */
  leaveNoticeMs: z.number().default(1_000),
});

async function start(settings: z.infer<typeof settingsSchema>): Promise<RunningProgram> {
  const model = createServiceModel();
  const clock = createSystemClock();
  const server = createServiceServer(model, clock, createRandom(settings.seed));
  await server.listen(settings.ip, settings.port);
  process.stdout.write('ready\n');
  return {
    stop: async () => {
      model.leave();
      // Until the drain starts, the load report and `not_run` refusals tell routers of the departure.
      await new Promise<void>((resolve) => {
        clock.runAfter(settings.leaveNoticeMs, resolve);
      });
      await server.drain(DRAIN_TIMEOUT_MS);
    },
  };
}

const cli = cac('fake-service');
cli
  .command('', 'Run a fake plain service')
  .option('--config <file>', 'Settings file')
  .option('--check-config', 'Check the settings and exit')
  .action((options: ProgramOptions) => runProgram(options, settingsSchema, start));
cli.help();
cli.parse();
