import { spawn } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'node:http';
import { splitAddress } from '@mimosamill/adapters';
import { createGatewaySettings } from '@mimosamill/platform/standin';
import type { ChildProcess } from 'node:child_process';
import type { GatewaySettings } from '@mimosamill/router';

/** A router as a process of its own. */
export interface RouterProcess {
  readonly settings: GatewaySettings;
  readonly start: () => void;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly isRunning: () => boolean;
  /** Whether it says that it is ready. */
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
  bounds: Pick<GatewaySettings, 'revokeMs' | 'configMs' | 'drainMs' | 'graceMs'>,
  directory: string,
): Promise<RouterProcess> {
  const settings = await createGatewaySettings(storeAddress, {
    hostId: name,
    failureDomain,
    ...bounds,
  });
  const file = join(directory, `${name}.jsonc`);
  writeFileSync(file, JSON.stringify(settings));
  const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
  let child: ChildProcess | undefined;

  function start(): void {
    const started = spawn('node', [ROUTER_PROGRAM], {
      env: { ...process.env, [SETTINGS_VARIABLE]: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    started.stdout.pipe(log, { end: false });
    started.stderr.pipe(log, { end: false });
    started.once('exit', () => {
      if (child === started) child = undefined;
    });
    child = started;
  }

  return {
    settings,
    start,
    signal: (signal) => child?.kill(signal),
    isRunning: () => child !== undefined,
    isReady: () =>
      new Promise((resolve) => {
        const ask = request(
          { ...splitAddress(settings.readyAddress), path: '/readyz', timeout: READY_TIMEOUT_MS },
          (res) => {
            res.resume();
            resolve(res.statusCode === 200);
          },
        );
        ask.on('timeout', () => ask.destroy());
        ask.on('error', () => resolve(false));
        ask.end();
      }),
    stop: async () => {
      const running = child;
      if (running === undefined) return;
      const ended = new Promise((resolve) => {
        running.once('exit', resolve);
      });
      running.kill('SIGCONT');
      running.kill('SIGKILL');
      await ended;
    },
  };
}
