import { formatProblem, loadSettings } from './settings';
import type { z } from 'zod';

export interface RunningProgram {
  /** Stops gracefully. Resolves when nothing is running any more. */
  readonly stop: () => Promise<void>;
}

export interface ProgramOptions {
  readonly config: string;
  readonly checkConfig?: boolean;
}

/** Exit code for invalid settings or arguments. */
export const EXIT_USAGE = 2;

/** Validates the settings, starts the program and stops it gracefully on SIGTERM or SIGINT. */
export async function runProgram<S extends z.ZodType>(
  options: ProgramOptions,
  schema: S,
  start: (settings: z.infer<S>) => Promise<RunningProgram>,
): Promise<void> {
  const loaded = loadSettings(options.config, schema);
  if (loaded.kind === 'invalid') {
    loaded.problems.forEach((problem) => process.stderr.write(`${formatProblem(problem)}\n`));
    process.exitCode = EXIT_USAGE;
    return;
  }
  if (options.checkConfig === true) {
    process.stdout.write(`${options.config}: ok\n`);
    return;
  }
  const program = await start(loaded.settings);
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) return;
    isStopping = true;
    void program.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
