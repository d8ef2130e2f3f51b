import { spawn } from 'node:child_process';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Runs `mimosactl` commands in a child process. */
export interface Cli {
  /** Resolves with the standard output; rejects on an exit code other than 0. */
  readonly run: (args: readonly string[], input?: string) => Promise<string>;
  /** Passes each line of output to `onLine` while the command runs. */
  readonly follow: (args: readonly string[], onLine: (line: string) => void) => Promise<void>;
}

export function createCli(server: string, key: string): Cli {
  const file = join(dirname(fileURLToPath(import.meta.url)), 'mimosactl.mjs');
  const env = { ...process.env, MIMOSACTL_SERVER: server, MIMOSACTL_KEY: key };

  function runCommand(
    args: readonly string[],
    input: string,
    onText: (text: string) => void,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      const child = spawn(process.execPath, [file, ...args], { env, stdio: 'pipe' });
      let errors = '';
      child.stdout.on('data', (chunk: Buffer) => onText(chunk.toString('utf8')));
      child.stderr.on('data', (chunk: Buffer) => {
        errors += chunk.toString('utf8');
      });
      child.once('exit', (code) => {
        if (code === 0) resolve();
        else reject(new Error(`mimosactl ${args.join(' ')}: exit code ${String(code)}: ${errors}`));
      });
      child.stdin.end(input);
    });
  }

  return {
    run: async (args, input = '') => {
      let output = '';
      await runCommand(args, input, (text) => {
        output += text;
      });
      return output;
    },
    follow: async (args, onLine) => {
      let rest = '';
      await runCommand(args, '', (text) => {
        const lines = (rest + text).split('\n');
        rest = lines.pop() ?? '';
        lines.forEach(onLine);
      });
    },
  };
}
