import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { sha256Hex } from '@mimosamill/adapters';
import { startFleet } from '../../fleet/fleet';
import { startBinary } from '../../fleet/process';
import { medianOf, round } from '../stats';
import { readMemory } from './status';
import type { ChildProcess } from 'node:child_process';
import type { Fleet } from '../../fleet/fleet';
import type { Measurement, MeasureOptions, MeasureResult } from '../measurement';
import type { MemoryReading } from './status';

const SAMPLES = 3;
const FULL_SAMPLES = 9;
/** Long enough for the start's garbage collections to pass. */
const IDLE_MS = 5_000;
const FULL_IDLE_MS = 20_000;

type Samples = Map<string, MemoryReading[]>;

/** Idle memory of each binary, beside a bare Node.js process in the same run. */
export const memoryMeasurement: Measurement = {
  name: 'memory',
  summary: 'Resident, anonymous and file-backed memory of each idle binary',
  run: measureMemory,
};

async function measureMemory(options: MeasureOptions): Promise<MeasureResult> {
  const samples: Samples = new Map();
  const count = options.isFull ? FULL_SAMPLES : SAMPLES;
  const idleMs = options.isFull ? FULL_IDLE_MS : IDLE_MS;
  for (let index = 0; index < count; index += 1) await sample(options.seed, idleMs, samples);
  const processes = Object.fromEntries([...samples].map(([name, list]) => [name, median(list)]));
  return { samples: count, idle_ms: idleMs, node: process.version, processes };
}

/** Every sample uses new processes, because the heap's size varies from start to start. */
async function sample(seed: number, idleMs: number, samples: Samples): Promise<void> {
  const fleet = await startFleet({ seed });
  const bare = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1e6)'], { stdio: 'ignore' });
  try {
    const pids = await startAll(fleet, bare);
    await new Promise((resolve) => {
      setTimeout(resolve, idleMs);
    });
    pids.forEach(([name, pid]) => {
      samples.set(name, [...(samples.get(name) ?? []), readMemory(pid)]);
    });
  } finally {
    bare.kill('SIGKILL');
    await fleet.stop();
  }
}

async function startAll(fleet: Fleet, bare: ChildProcess): Promise<[string, number][]> {
  const empty = await startBinary('bench-empty', 'empty', {});
  fleet.addProcess(empty);
  const admin = await fleet.startAdmin({
    platform: fleet.platformAddress,
    routerPeer: '127.0.0.1:1',
    logLevel: 'warn',
    firstAdministrator: {
      team: 'guild',
      name: 'bench',
      keyHash: sha256Hex(randomBytes(8).toString('hex')),
    },
  });
  const router = await fleet.startRouter({ id: 'router-1', failureDomain: 'marka' });
  await fleet.waitReady([router]);
  const controller = await fleet.startController({
    hostId: 'host-1',
    platform: fleet.platformAddress,
    routerPeerAddress: router.peerAddress,
    logLevel: 'warn',
  });
  return [
    ['bare_node', bare.pid ?? 0],
    ['empty_bundle', empty.pid],
    ['router', router.process.pid],
    ['controller', controller.process.pid],
    ['admin', admin.process.pid],
  ];
}

function median(list: readonly MemoryReading[]): Readonly<Record<string, number>> {
  const of = (pick: (reading: MemoryReading) => number): number =>
    round(medianOf(list.map(pick)), 1);
  return {
    resident_mb: of((reading) => reading.residentMb),
    anonymous_mb: of((reading) => reading.anonymousMb),
    file_mb: of((reading) => reading.fileMb),
  };
}
