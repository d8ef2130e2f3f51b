import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { ChildProcess } from 'node:child_process';

/** A child process of this one. */
export interface FleetProcess {
  readonly name: string;
  readonly pid: number;
  /** Sends SIGKILL, so that the process ends without draining; resolves when it has ended. */
  readonly kill: () => Promise<void>;
  readonly pause: () => void;
  readonly resume: () => void;
  /** Sends SIGTERM; resolves when the process has ended. */
  readonly stop: () => Promise<void>;
  readonly isRunning: () => boolean;
  readonly stderr: () => string;
}

export type BinaryName =
  | 'router'
  | 'controller'
  | 'admin'
  | 'fake-engine'
  | 'fake-service'
  | 'fake-platform'
  | 'baseline-relay'
  | 'bench-empty';

const SIGNAL_EXIT_CODE = 130;
const READY_TIMEOUT_MS = 15_000;
const MAX_STDERR_CHARS = 200_000;
/** A crash prints a whole line of the bundle first; the error stands at the end. */
const ERROR_STDERR_CHARS = 1_500;

/** Folder of the bundled binaries: that of this file if it is bundled itself, else dist/ at the root. */
const DIST_FOLDER = import.meta.url.endsWith('.mjs')
  ? dirname(fileURLToPath(import.meta.url))
  : join(dirname(fileURLToPath(import.meta.url)), '../../../../dist');

const runningChildren = new Set<ChildProcess>();

// The children must not outlive this process if it ends early.
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));

/** Starts a binary with a settings file and waits until it prints that it is ready. */
export async function startBinary(
  binary: BinaryName,
  name: string,
  settings: object,
): Promise<FleetProcess> {
  const settingsFolder = mkdtempSync(join(tmpdir(), 'mimosamill-'));
  const file = join(settingsFolder, `${name}.jsonc`);
  writeFileSync(file, JSON.stringify(settings, undefined, 2));
  const child = spawn(process.execPath, [join(DIST_FOLDER, `${binary}.mjs`), '--config', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  runningChildren.add(child);
  child.once('exit', () => runningChildren.delete(child));
  let stderr = '';
  child.stderr.on('data', (chunk: Buffer) => {
    stderr = (stderr + chunk.toString('utf8')).slice(-MAX_STDERR_CHARS);
  });
  try {
    await waitForReady(child, name, () => stderr);
  } finally {
    rmSync(settingsFolder, { recursive: true, force: true });
  }
  return toFleetProcess(child, name, () => stderr);
}

async function waitForReady(
  child: ChildProcess,
  name: string,
  stderr: () => string,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const fail = (reason: string): void =>
      reject(new Error(`${name} ${reason}: ${stderr().slice(-ERROR_STDERR_CHARS)}`));
    const timer = setTimeout(
      () => fail('did not print "ready" within the time-out'),
      READY_TIMEOUT_MS,
    );
    child.stdout?.on('data', (chunk: Buffer) => {
      if (!chunk.toString('utf8').includes('ready')) return;
      clearTimeout(timer);
      resolve();
    });
    child.once('exit', (code) => {
      clearTimeout(timer);
      fail(`ended with exit code ${String(code)} before it was ready`);
    });
  });
}

function toFleetProcess(child: ChildProcess, name: string, stderr: () => string): FleetProcess {
  const isRunning = (): boolean => child.exitCode === null && child.signalCode === null;
  const end = async (signal: NodeJS.Signals): Promise<void> => {
    if (!isRunning()) return;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
  };
  return {
    name,
    pid: child.pid ?? 0,
    kill: () => end('SIGKILL'),
    pause: () => {
      child.kill('SIGSTOP');
    },
    resume: () => {
      child.kill('SIGCONT');
    },
    stop: () => end('SIGTERM'),
    isRunning,
    stderr,
  };
}

/** Exits on SIGINT and SIGTERM through `process.exit`, whose `exit` event also kills the children. */
export function exitOnSignals(): void {
  (['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
    process.once(signal, () => process.exit(SIGNAL_EXIT_CODE));
  });
}
