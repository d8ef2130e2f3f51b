import { spawn } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'node:http';
import { splitAddress } from '@mimosamill/adapters';
import { createGatewaySettings } from '@mimosamill/platform/standin';
import type { ChildProcess } from 'node:child_process';
import type { GatewaySettings } from '@mimosamill/router';

/** A router that runs as a separate process. */
export interface RouterProcess {
  readonly settings: GatewaySettings;
  readonly start: () => void;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly isRunning: () => boolean;
  /** Asks the router whether it is ready; false if it does not answer in time. */
  readonly isReady: () => Promise<boolean>;
  readonly stop: () => Promise<void>;
}

const READY_TIMEOUT_MS = 300;
const ROUTER_PROGRAM = 'dist/platform-router.mjs';
const SETTINGS_VARIABLE = 'MIMOSAMILL_BOOT';

export async function createRouterProcess(
  name: string,
  failureDomain: string,
  storeAddress: string,
  timeLimits: Pick<GatewaySettings, 'revokeMs' | 'configMs' | 'drainMs' | 'graceMs'>,
  directory: string,
): Promise<RouterProcess> {
  const settings = await createGatewaySettings(storeAddress, {
    hostId: name,
    failureDomain,
    ...timeLimits,
  });
  const file = join(directory, `${name}.jsonc`);
  writeFileSync(file, JSON.stringify(settings));
  const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
  let child: ChildProcess | undefined;

  function start(): void {
    const spawned = spawn('node', [ROUTER_PROGRAM], {
      env: { ...process.env, [SETTINGS_VARIABLE]: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    spawned.stdout.pipe(log, { end: false });
    spawned.stderr.pipe(log, { end: false });
    spawned.once('exit', (code, signal) => {
      // A process that ends before its first line would leave no trace.
      log.write(`${JSON.stringify({ event: 'soak.process_ended', host: name, code, signal })}\n`);
      if (child === spawned) child = undefined;
    });
    child = spawned;
  }

  return {
    settings,
    start,
    signal: (signal) => child?.kill(signal),
    isRunning: () => child !== undefined,
    isReady: () =>
      new Promise((resolve) => {
        const req = request(
          { ...splitAddress(settings.readyAddress), path: '/readyz', timeout: READY_TIMEOUT_MS },
          (res) => {
            res.resume();
            resolve(res.statusCode === 200);
          },
        );
        req.on('timeout', () => req.destroy());
        req.on('error', () => resolve(false));
        req.end();
      }),
    stop: async () => {
      const running = child;
      if (running === undefined) return;
      const exited = new Promise((resolve) => {
        running.once('exit', resolve);
      });
      running.kill('SIGCONT');
      running.kill('SIGKILL');
      await exited;
    },
  };
}
