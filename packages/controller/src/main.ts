import '@mimosamill/adapters/flags';
import 'reflect-metadata';
import { cac } from 'cac';
import { runProgram } from '@mimosamill/adapters';
import { startController } from './compose';
import { controllerSettingsSchema } from './settings';
import type { ProgramOptions } from '@mimosamill/adapters';

const cli = cac('mimosamill-controller');
cli
  .command('', 'Run version moves and send orders to engines')
  .option('--config <file>', 'Settings file (JSON with comments)')
  .option('--check-config', 'Check the settings and exit')
  .action((options: ProgramOptions) =>
    runProgram(options, controllerSettingsSchema, startController),
  );
cli.help();
cli.version('0.1.0');
cli.parse();
