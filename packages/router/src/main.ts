import '@mimosamill/adapters/flags';
import { cac } from 'cac';
import { runProgram } from '@mimosamill/adapters';
import { startRouter } from './compose';
import { routerSettingsSchema } from './settings';
import type { ProgramOptions } from '@mimosamill/adapters';

const cli = cac('router');
cli
  .command('', 'Serve callers and route to backend servers')
  .option('--config <file>', 'Settings file (JSON with comments)')
  .option('--check-config', 'Check the settings and exit')
  .action((options: ProgramOptions) => runProgram(options, routerSettingsSchema, startRouter));
cli.help();
cli.version('0.1.0');
cli.parse();
