// Installs the locked dependencies when they are missing or older than the lock file.
import { execFileSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const installedLock = join(root, 'node_modules', '.package-lock.json');
const lockFile = join(root, 'package-lock.json');

// npm rewrites its copy of the lock file in node_modules on every installation.
const isCurrent =
  existsSync(installedLock) && statSync(installedLock).mtimeMs >= statSync(lockFile).mtimeMs - 1000;

if (!isCurrent) {
  execFileSync('npm', ['ci', '--no-audit', '--no-fund'], { cwd: root, stdio: ['ignore', 2, 2] });
}
